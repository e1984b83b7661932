//! A random series of overlapping faults, determined by a seed.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use skylark_standin::typed::group::Group;
use skylark_standin::typed::group::MemberState;
use skylark_standin::typed::platform::Platform;
use skylark_standin::typed::platform::PlatformMode;
use tokio::sync::Mutex;
use tokio::time;

use crate::organisations::Organisations;
use crate::process::Proxy;
use crate::relay::Relay;
use crate::relay::RelayMode;

/// The earliest start time of members that restart without data, in milliseconds of Unix time. A random
/// offset makes each start time different.
const BASE_START_TIME_MS: u64 = 1_700_000_000_000;

/// The time within which a member that restarted without data has to catch up. After it, the member counts as
/// stuck, and the next such fault may start.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(60);

/// The number of availability zones.
pub const ZONES: usize = 3;

/// The maximum time that a target which is to leave waits for its replacement to catch up.
const DRAIN_LIMIT: Duration = Duration::from_secs(8);

/// The interval between checks whether the member has caught up.
const CATCH_UP_POLL: Duration = Duration::from_millis(50);

/// The processes, links and stand-ins that faults are applied to.
#[derive(Clone, Debug)]
pub struct SystemUnderTest {
    /// The proxy processes.
    pub proxies: Vec<Arc<Mutex<Proxy>>>,
    /// The relay between each proxy and the platform.
    pub to_platform: Vec<Relay>,
    /// The relay in front of each target, by its index in the group.
    pub to_targets: Vec<Relay>,
    /// The group of targets.
    pub group: Arc<Group>,
    /// All groups of the run, each with the relays in front of its targets.
    pub groups: Vec<(Arc<Group>, Vec<Relay>)>,
    /// The platform's stand-in.
    pub platform: Arc<Platform>,
    /// The organisations, if the run has any.
    pub organisations: Option<Arc<Organisations>>,
    /// Locked while a member restarts without data, so that at most one does.
    pub rebirth_lock: Arc<Mutex<()>>,
}

/// A kind of fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    Pause,
    Kill,
    Stop,
    Reload,
    PlatformLink(RelayMode),
    TargetLink(RelayMode),
    ResetTargets,
    TargetStops,
    TargetCut,
    TargetLeaves,
    /// The primary announces its stop while a replica does not receive commits.
    LaggingHandover,
    TargetLosesAnswers,
    Platform(PlatformMode),
    ForgetHistory,
    /// A replica restarts under the same name, without its log.
    ReplicaLosesData,
    /// A replica restarts without its log, and the primary stops just before the replica's restart.
    ReplicaLosesDataAndPrimaryStops,
    /// A late order lets a paused target receive again.
    ResumedLate,
    /// A target starts again and is listed this many milliseconds later.
    UnlistedStart(u64),
    /// The entry of a target that goes on running is removed for a time.
    EntryRemoved,
    /// The primary does not reach some or all of its replicas, by turns. Its callers and the store reach it.
    PrimaryCut,
    /// The primary stops, and starts again with its log.
    PrimaryStops,
    /// The primary announces its stop for a time.
    PrimaryLeaves,
    /// A new target joins and is listed late, and then another target leaves, often the primary.
    Replacement,
    /// An availability zone is cut off. Callers may go on reaching its targets.
    ZoneCut,
    /// An organisation's key is replaced, so that the old key is invalid.
    KeyReplaced,
    /// An organisation's limit is lowered, or raised again.
    LimitChanged,
}

/// A set of fault kinds.
///
/// The series of a seed depends on the kinds in the set. New kinds are put in a new set, so that existing
/// seeds keep their series.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultSet {
    /// Faults of processes, connections, targets and the platform.
    Usual,
    /// The usual faults, and targets that restart without data.
    WithDataLoss,
    /// The usual faults, and changes of organisations' keys and limits.
    WithOrganisations,
    /// The usual faults, late promotion calls and orders, and targets that receive before they are listed. The
    /// platform checks tokens.
    WithLateCalls,
    /// The usual faults, and targets that receive for seconds without being listed. Primaries acknowledge
    /// commits with them that no driver can know of, so only successes that callers received have to be kept.
    WithLateListings,
    /// Takeovers in series at several services, while promotion calls and orders arrive late or get no answer.
    /// Targets are listed late, so only successes that callers received have to be kept.
    Takeovers,
}

impl FaultSet {
    /// All sets.
    pub const ALL: [FaultSet; 6] = [
        FaultSet::Usual,
        FaultSet::WithDataLoss,
        FaultSet::WithOrganisations,
        FaultSet::WithLateCalls,
        FaultSet::WithLateListings,
        FaultSet::Takeovers,
    ];

    /// Returns the name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            FaultSet::Usual => "usual",
            FaultSet::WithDataLoss => "rebirths",
            FaultSet::WithOrganisations => "organisations",
            FaultSet::WithLateCalls => "late-calls",
            FaultSet::WithLateListings => "late-listings",
            FaultSet::Takeovers => "takeovers",
        }
    }

    /// Returns the set with this name.
    pub fn from_name(name: &str) -> Option<FaultSet> {
        FaultSet::ALL.into_iter().find(|set| set.name() == name)
    }

    /// Whether the platform refuses promotion calls with an outdated token.
    pub fn checks_tokens(self) -> bool {
        matches!(self, FaultSet::WithLateCalls | FaultSet::Takeovers)
    }

    /// Whether drivers know every target that receives, so that no commit may be lost that a primary
    /// acknowledged.
    pub fn lists_in_time(self) -> bool {
        !matches!(self, FaultSet::WithLateListings | FaultSet::Takeovers)
    }

    /// The number of services, each with its own group of targets and its own series of faults.
    pub fn services(self) -> u32 {
        if self == FaultSet::Takeovers { 3 } else { 1 }
    }

    /// The number of targets of each group that don't run at first and replace others later.
    pub fn spares(self) -> u32 {
        if self == FaultSet::Takeovers { 2 } else { 0 }
    }

    fn faults(self) -> Vec<Fault> {
        match self {
            FaultSet::Usual => USUAL_FAULTS.to_vec(),
            FaultSet::WithDataLoss => [USUAL_FAULTS.as_slice(), &DATA_LOSS_FAULTS].concat(),
            FaultSet::WithOrganisations => [USUAL_FAULTS.as_slice(), &ORGANISATION_FAULTS].concat(),
            FaultSet::WithLateCalls => [USUAL_FAULTS.as_slice(), &LATE_FAULTS].concat(),
            FaultSet::WithLateListings => [USUAL_FAULTS.as_slice(), &UNLISTED_FAULTS].concat(),
            FaultSet::Takeovers => TAKEOVER_FAULTS.to_vec(),
        }
    }
}

const DATA_LOSS_FAULTS: [Fault; 6] = [
    Fault::ReplicaLosesData,
    Fault::ReplicaLosesData,
    Fault::ReplicaLosesData,
    Fault::ReplicaLosesDataAndPrimaryStops,
    Fault::ReplicaLosesDataAndPrimaryStops,
    Fault::ReplicaLosesDataAndPrimaryStops,
];

const LATE_FAULTS: [Fault; 8] = [
    Fault::Platform(PlatformMode::PromotesLate(600)),
    Fault::Platform(PlatformMode::PromotesLate(1_500)),
    Fault::Platform(PlatformMode::PromotesLate(4_000)),
    Fault::ResumedLate,
    Fault::ResumedLate,
    Fault::UnlistedStart(SOON_LISTED_MS),
    Fault::UnlistedStart(SOON_LISTED_MS),
    Fault::UnlistedStart(SOON_LISTED_MS),
];

const UNLISTED_FAULTS: [Fault; 10] = [
    Fault::UnlistedStart(1_000),
    Fault::UnlistedStart(2_000),
    Fault::UnlistedStart(3_000),
    Fault::UnlistedStart(3_000),
    Fault::EntryRemoved,
    Fault::EntryRemoved,
    Fault::EntryRemoved,
    Fault::TargetCut,
    Fault::TargetCut,
    Fault::TargetStops,
];

const TAKEOVER_FAULTS: [Fault; 28] = [
    Fault::PrimaryCut,
    Fault::PrimaryCut,
    Fault::PrimaryCut,
    Fault::PrimaryCut,
    Fault::PrimaryLeaves,
    Fault::PrimaryLeaves,
    Fault::PrimaryStops,
    Fault::Replacement,
    Fault::PrimaryCut,
    Fault::PrimaryCut,
    Fault::PrimaryCut,
    Fault::PrimaryCut,
    Fault::PrimaryCut,
    Fault::Replacement,
    Fault::Replacement,
    Fault::Replacement,
    Fault::PrimaryLeaves,
    Fault::PrimaryLeaves,
    Fault::PrimaryStops,
    Fault::PrimaryStops,
    Fault::ZoneCut,
    Fault::TargetCut,
    Fault::TargetLink(RelayMode::Silent),
    Fault::Pause,
    Fault::Kill,
    Fault::Platform(PlatformMode::Silent),
    Fault::PlatformLink(RelayMode::Silent),
    Fault::PlatformLink(RelayMode::Delay(150)),
];

/// The number of cuts between a primary and its replicas that follow one another.
const CUTS_IN_SERIES: usize = 6;

/// The duration of each of these cuts, in milliseconds. Commits count as stuck after 400 ms.
const CUT_MS: Range<u64> = 250..900;

/// The maximum time that a new target runs before it is listed, in milliseconds.
const LATE_LISTING_MS: usize = 600;

/// How long a target usually runs before it is listed, in milliseconds. Takeovers allow for 150 ms.
const SOON_LISTED_MS: u64 = 60;

const ORGANISATION_FAULTS: [Fault; 6] = [
    Fault::KeyReplaced,
    Fault::KeyReplaced,
    Fault::KeyReplaced,
    Fault::LimitChanged,
    Fault::LimitChanged,
    Fault::LimitChanged,
];

const USUAL_FAULTS: [Fault; 20] = [
    Fault::Pause,
    Fault::Kill,
    Fault::Stop,
    Fault::Reload,
    Fault::PlatformLink(RelayMode::Silent),
    Fault::PlatformLink(RelayMode::OneWay),
    Fault::PlatformLink(RelayMode::Delay(150)),
    Fault::TargetLink(RelayMode::Silent),
    Fault::TargetLink(RelayMode::OneWay),
    Fault::TargetLink(RelayMode::Delay(40)),
    Fault::ResetTargets,
    Fault::TargetStops,
    Fault::TargetCut,
    Fault::TargetLeaves,
    Fault::LaggingHandover,
    Fault::LaggingHandover,
    Fault::TargetLosesAnswers,
    Fault::Platform(PlatformMode::Silent),
    Fault::Platform(PlatformMode::LosesAnswers),
    Fault::ForgetHistory,
];

/// Starts random faults for the time `length`, each with a random duration. Returns when all have ended.
pub async fn run_series(system: SystemUnderTest, set: FaultSet, seed: u64, length: Duration) {
    let faults = set.faults();
    let mut rng = StdRng::seed_from_u64(seed);
    let deadline = time::Instant::now() + length;
    let mut running = Vec::new();
    while time::Instant::now() < deadline {
        let fault = faults[rng.random_range(0..faults.len())];
        let duration = Duration::from_millis(rng.random_range(200..2_500));
        let (system, choice) = (system.clone(), rng.random_range(0..usize::MAX));
        running.push(tokio::spawn(async move { apply(&system, fault, choice, duration).await }));
        time::sleep(Duration::from_millis(rng.random_range(150..1_200)) * set.services()).await;
    }
    for fault in running {
        // An error means that the task panicked or was aborted, which also ends the fault.
        let _ = fault.await;
    }
}

async fn apply(system: &SystemUnderTest, fault: Fault, choice: usize, duration: Duration) {
    let proxy = &system.proxies[choice % system.proxies.len()];
    let target = choice % system.to_targets.len();
    let group = &system.group;
    match fault {
        Fault::Pause => {
            proxy.lock().await.signal(Signal::SIGSTOP);
            time::sleep(duration).await;
            proxy.lock().await.signal(Signal::SIGCONT);
        }
        Fault::Kill => restart_proxy(proxy, Signal::SIGKILL, duration).await,
        Fault::Stop => restart_proxy(proxy, Signal::SIGTERM, duration).await,
        Fault::Reload => proxy.lock().await.reload(),
        Fault::PlatformLink(mode) => {
            let relay = &system.to_platform[choice % system.to_platform.len()];
            set_mode_for(relay, mode, duration).await;
        }
        Fault::TargetLink(mode) => {
            set_mode_for(&system.to_targets[target], mode, duration).await;
        }
        Fault::ResetTargets => system.to_targets.iter().for_each(Relay::reset),
        Fault::TargetStops => {
            group.change(target, |member| member.alive = false);
            time::sleep(duration).await;
            group.change(target, start_again);
        }
        Fault::ResumedLate => group.change(target, |member| member.paused_term = 0),
        Fault::EntryRemoved => {
            group.change(target, |member| member.unlisted = true);
            time::sleep(duration).await;
            group.change(target, |member| member.unlisted = false);
        }
        Fault::UnlistedStart(unlisted_ms) => {
            group.change(target, |member| member.alive = false);
            time::sleep(duration).await;
            group.change(target, |member| {
                member.unlisted = true;
                start_again(member);
            });
            time::sleep(Duration::from_millis(unlisted_ms)).await;
            group.change(target, |member| member.unlisted = false);
        }
        Fault::TargetCut => {
            group.change(target, |member| member.cut = true);
            time::sleep(duration).await;
            group.change(target, |member| member.cut = false);
        }
        Fault::TargetLeaves => {
            group.change(target, |member| member.leaving = true);
            time::sleep(duration).await;
            group.change(target, |member| member.leaving = false);
        }
        Fault::LaggingHandover => {
            let Some(leader) = group.leader() else { return };
            let replica = (leader + 1 + choice % 2) % system.to_targets.len();
            group.change(replica, |member| member.cut = true);
            time::sleep(duration / 2).await;
            group.change(leader, |member| member.leaving = true);
            time::sleep(duration).await;
            group.change(replica, |member| member.cut = false);
            group.change(leader, |member| member.leaving = false);
        }
        Fault::TargetLosesAnswers => {
            group.change(target, |member| member.lose_answers += choice as u32 % 5 + 1);
        }
        Fault::Platform(platform_mode) => {
            system.platform.set_platform_mode(platform_mode);
            time::sleep(duration).await;
            system.platform.set_platform_mode(PlatformMode::Serving);
        }
        Fault::ForgetHistory => system.platform.objects.forget_history(),
        Fault::PrimaryCut => cut_primary(group, choice).await,
        Fault::PrimaryStops => {
            let _guard = system.rebirth_lock.lock().await;
            let Some(leader) = running_leader(group) else { return };
            group.change(leader, |member| member.alive = false);
            time::sleep(duration).await;
            group.change(leader, start_again);
        }
        Fault::PrimaryLeaves => {
            let Some(leader) = group.leader() else { return };
            group.change(leader, |member| member.leaving = true);
            time::sleep(duration).await;
            group.change(leader, |member| member.leaving = false);
        }
        Fault::Replacement => replace_target(system, choice, duration).await,
        Fault::ZoneCut => cut_zone(system, choice, duration).await,
        Fault::KeyReplaced => {
            system.organisations.iter().for_each(|it| it.replace_key(choice));
        }
        Fault::LimitChanged => system.organisations.iter().for_each(|it| it.change_limit()),
        Fault::ReplicaLosesData => restart_without_data(system, choice, duration, false).await,
        Fault::ReplicaLosesDataAndPrimaryStops => {
            restart_without_data(system, choice, duration, true).await
        }
    }
}

/// Starts a stopped member again, which ends its pause.
fn start_again(member: &mut MemberState) {
    member.alive = true;
    member.paused_term = 0;
    member.start += 1;
}

fn running_leader(group: &Group) -> Option<usize> {
    group.leader().filter(|leader| group.member(*leader).alive)
}

/// Cuts the primary off from all its replicas, then from all but one, and so on. Commits get stuck, and a primary
/// that is promoted once more during the takeover acknowledges commits with one replica alone.
async fn cut_primary(group: &Group, choice: usize) {
    let mut rng = StdRng::seed_from_u64(choice as u64);
    let mut primary = 0;
    for number in 0..CUTS_IN_SERIES {
        // One that stepped down may be promoted once more, so it is cut off until another one leads.
        primary = group.leader().unwrap_or(primary);
        let members = 0..group.options.members.len();
        let is_replica = |member: &usize| *member != primary && group.member(*member).alive;
        let replicas: Vec<usize> = members.filter(is_replica).collect();
        let linked = rng.random_range(0..replicas.len().max(1));
        let linked = replicas.get(linked).filter(|_| number % 2 == 1);
        let cut_from = linked.map_or(u64::MAX, |linked| !(1 << linked));
        group.change(primary, |member| member.cut_from = cut_from);
        time::sleep(Duration::from_millis(rng.random_range(CUT_MS))).await;
        group.change(primary, |member| member.cut_from = 0);
    }
}

/// Starts a spare target without data, which is listed late. Then the primary or another target announces its
/// stop, and ends for good once another one leads and the new one has caught up.
async fn replace_target(system: &SystemUnderTest, choice: usize, duration: Duration) {
    let group = &system.group;
    let _guard = system.rebirth_lock.lock().await;
    let members = 0..system.to_targets.len();
    let is_spare = |member: &usize| !group.member(*member).alive && group.leader() != Some(*member);
    let Some(joining) = members.clone().find(is_spare) else { return };
    let running: Vec<usize> = members.filter(|member| group.member(*member).alive).collect();
    group.restart_empty(joining, BASE_START_TIME_MS + choice as u64 % BASE_START_TIME_MS);
    group.change(joining, |member| {
        member.unlisted = true;
        member.alive = true;
    });
    time::sleep(Duration::from_millis((choice % LATE_LISTING_MS) as u64)).await;
    group.change(joining, |member| member.unlisted = false);
    time::sleep(duration / 4).await;
    let leader = running_leader(group)
        .filter(|leader| running.contains(leader) && !choice.is_multiple_of(3));
    let Some(leaving) = leader.or_else(|| running.get(choice % running.len().max(1)).copied())
    else {
        return;
    };
    group.change(leaving, |member| member.leaving = true);
    time::sleep(duration).await;
    let deadline = time::Instant::now() + DRAIN_LIMIT;
    let may_leave = || group.leader() != Some(leaving) && has_log_of_leader(group, joining);
    while !may_leave() && time::Instant::now() < deadline {
        time::sleep(CATCH_UP_POLL).await;
    }
    let leaves = may_leave();
    group.change(leaving, |member| {
        member.leaving = false;
        member.alive = !leaves;
    });
}

/// Cuts the VMs of a zone off from the platform, and its targets from the others.
async fn cut_zone(system: &SystemUnderTest, choice: usize, duration: Duration) {
    let zone = choice % ZONES;
    let set_cut = |is_cut: bool| {
        let mode = if is_cut { RelayMode::Silent } else { RelayMode::Forward };
        let in_zone = |number: usize| number % ZONES == zone;
        // The numbers of VMs begin at 1.
        let vms = system.to_platform.iter().zip(1..).filter(|(_, number)| in_zone(*number));
        vms.for_each(|(relay, _)| relay.set_mode(mode));
        for (group, relays) in &system.groups {
            for member in (0..relays.len()).filter(|member| in_zone(*member)) {
                group.change(member, |state| state.cut = is_cut);
                if choice.is_multiple_of(2) {
                    relays[member].set_mode(mode);
                }
            }
        }
    };
    set_cut(true);
    time::sleep(duration).await;
    set_cut(false);
}

/// Restarts a replica without its log, and waits until it has caught up.
///
/// Only one replica at a time may be without data: a commit is acknowledged once two members have it, so it
/// would be lost if both lost their logs.
async fn restart_without_data(
    system: &SystemUnderTest,
    choice: usize,
    duration: Duration,
    stops_primary: bool,
) {
    let group = &system.group;
    let _guard = system.rebirth_lock.lock().await;
    let Some(leader) = group.leader() else { return };
    let replica = (leader + 1 + choice % 2) % system.to_targets.len();
    group.change(replica, |member| member.alive = false);
    time::sleep(duration / 4).await;
    if stops_primary {
        group.change(leader, |member| member.alive = false);
    }
    group.restart_empty(replica, BASE_START_TIME_MS + choice as u64 % BASE_START_TIME_MS);
    group.change(replica, |member| member.alive = true);
    time::sleep(duration).await;
    if stops_primary {
        group.change(leader, start_again);
    }
    let deadline = time::Instant::now() + CATCH_UP_LIMIT;
    while !has_caught_up(group, replica) && time::Instant::now() < deadline {
        time::sleep(CATCH_UP_POLL).await;
    }
}

fn has_log_of_leader(group: &Group, member: usize) -> bool {
    group.leader() == Some(member) || has_caught_up(group, member)
}

fn has_caught_up(group: &Group, replica: usize) -> bool {
    group.leader().is_some_and(|leader| {
        let (leader_len, replica_len) =
            (group.member(leader).log.len(), group.member(replica).log.len());
        leader != replica && replica_len >= leader_len
    })
}

async fn restart_proxy(proxy: &Mutex<Proxy>, signal: Signal, pause: Duration) {
    let mut proxy = proxy.lock().await;
    // A process that is stopped by SIGSTOP does not handle SIGTERM until it continues.
    proxy.signal(Signal::SIGCONT);
    proxy.signal(signal);
    proxy.wait().await;
    time::sleep(pause / 4).await;
    proxy.restart().expect("the program was started before");
}

async fn set_mode_for(relay: &Relay, mode: RelayMode, duration: Duration) {
    relay.set_mode(mode);
    time::sleep(duration).await;
    relay.set_mode(RelayMode::Forward);
}
