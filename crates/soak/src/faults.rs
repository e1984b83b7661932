//! A series of overlapping faults out of a seed.

use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use skylark_standin::typed::group::Group;
use skylark_standin::typed::platform::Mood;
use skylark_standin::typed::platform::Platform;
use tokio::sync::Mutex;
use tokio::time;

use crate::organisations::Organisations;
use crate::process::Proxy;
use crate::relay::Relay;
use crate::relay::RelayMode;

/// When members start again, in milliseconds of Unix time at least: each time another.
const BASE_START_TIME_MS: u64 = 1_700_000_000_000;

/// How long a member that started with nothing may take to catch up before it counts as stuck.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(60);

/// How often it is looked whether it has.
const CATCH_UP_POLL: Duration = Duration::from_millis(50);

/// What faults are done to.
#[derive(Clone, Debug)]
pub struct SystemUnderTest {
    /// The proxies.
    pub proxies: Vec<Arc<Mutex<Proxy>>>,
    /// The way of each proxy to the platform.
    pub to_platform: Vec<Relay>,
    /// The way to each target.
    pub to_targets: Vec<Relay>,
    /// The targets.
    pub group: Arc<Group>,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The organisations, if there are any.
    pub organisations: Option<Arc<Organisations>>,
    /// Held while a member starts again with nothing.
    pub rebirth_lock: Arc<Mutex<()>>,
}

/// One kind of fault.
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
    /// A replica receives nothing while the primary is to be replaced.
    LaggingHandover,
    TargetLosesAnswers,
    Platform(Mood),
    ForgetHistory,
    /// A replica starts again under its name, and holds nothing of before.
    ReplicaLosesData,
    /// The same, and the primary dies just before the replica is back.
    ReplicaLosesDataAndPrimaryStops,
    /// An organisation's key is withdrawn, and it gets another one.
    KeyReplaced,
    /// An organisation's limit is lowered, or raised again.
    LimitChanged,
}

/// Which kinds of fault come. What a seed does follows from its kinds, so kinds that are added later make
/// a set of their own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultSet {
    /// The first kinds.
    Usual,
    /// The first kinds, and targets that start again with nothing.
    WithDataLoss,
    /// The first kinds, and changes of organisations' keys and limits.
    WithOrganisations,
}

impl FaultSet {
    /// The names on the command line.
    pub const NAMES: [&'static str; 3] = ["usual", "rebirths", "organisations"];

    /// The set of this name.
    pub fn from_name(name: &str) -> Option<FaultSet> {
        match name {
            "usual" => Some(FaultSet::Usual),
            "rebirths" => Some(FaultSet::WithDataLoss),
            "organisations" => Some(FaultSet::WithOrganisations),
            _ => None,
        }
    }

    fn faults(self) -> Vec<Fault> {
        match self {
            FaultSet::Usual => USUAL_FAULTS.to_vec(),
            FaultSet::WithDataLoss => [USUAL_FAULTS.as_slice(), &DATA_LOSS_FAULTS].concat(),
            FaultSet::WithOrganisations => [USUAL_FAULTS.as_slice(), &ORGANISATION_FAULTS].concat(),
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
    Fault::Platform(Mood::Silent),
    Fault::Platform(Mood::LosesAnswers),
    Fault::ForgetHistory,
];

/// Brings faults about, each for a while, until the time is over; returns once all have ended.
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
        time::sleep(Duration::from_millis(rng.random_range(150..1_200))).await;
    }
    for fault in running {
        // One that was broken off has ended.
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
            group.change(target, |member| {
                member.alive = true;
                member.paused_term = 0;
                member.start += 1;
            });
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
        Fault::Platform(mood) => {
            system.platform.set_mood(mood);
            time::sleep(duration).await;
            system.platform.set_mood(Mood::Serving);
        }
        Fault::ForgetHistory => system.platform.objects.forget_history(),
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

/// A replica starts again with nothing. One at a time, and not before the one before has caught up: a commit is
/// acknowledged by two members, so it would be lost if both lost their logs.
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
    group.start_with_nothing(replica, BASE_START_TIME_MS + choice as u64 % BASE_START_TIME_MS);
    group.change(replica, |member| member.alive = true);
    time::sleep(duration).await;
    if stops_primary {
        group.change(leader, |member| {
            member.alive = true;
            member.paused_term = 0;
            member.start += 1;
        });
    }
    let deadline = time::Instant::now() + CATCH_UP_LIMIT;
    while !has_caught_up(group, replica) && time::Instant::now() < deadline {
        time::sleep(CATCH_UP_POLL).await;
    }
}

fn has_caught_up(group: &Group, replica: usize) -> bool {
    group.leader().is_some_and(|leader| {
        let (there, here) = (group.member(leader).log.len(), group.member(replica).log.len());
        leader != replica && here >= there
    })
}

async fn restart_proxy(proxy: &Mutex<Proxy>, signal: Signal, pause: Duration) {
    let mut proxy = proxy.lock().await;
    // One that stands still would not notice a request to stop.
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
