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
use crate::relay::Treatment;

/// When members start again, in milliseconds of Unix time at least: each time another.
const BORN_MS: u64 = 1_700_000_000_000;

/// How long a member that started with nothing may take to catch up before it counts as stuck.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(60);

/// How often it is looked whether it has.
const CATCH_UP_LOOK: Duration = Duration::from_millis(50);

/// What faults are done to.
#[derive(Clone, Debug)]
pub struct Victims {
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
    pub reborn: Arc<Mutex<()>>,
}

/// One kind of fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Fault {
    Pause,
    Kill,
    Stop,
    Hangup,
    PlatformWay(Treatment),
    TargetWay(Treatment),
    ResetTargets,
    TargetDies,
    TargetCut,
    TargetLeaves,
    /// A replica receives nothing while the primary is to be replaced.
    LaggingHandover,
    LosesAnswers,
    Platform(Mood),
    ForgetHistory,
    /// A replica starts again under its name, and holds nothing of before.
    ReplicaReborn,
    /// The same, and the primary dies just before the replica is back.
    ReplicaRebornAndPrimaryDies,
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
    WithRebirths,
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
            "rebirths" => Some(FaultSet::WithRebirths),
            "organisations" => Some(FaultSet::WithOrganisations),
            _ => None,
        }
    }

    fn faults(self) -> Vec<Fault> {
        match self {
            FaultSet::Usual => FAULTS.to_vec(),
            FaultSet::WithRebirths => [FAULTS.as_slice(), &REBIRTHS].concat(),
            FaultSet::WithOrganisations => [FAULTS.as_slice(), &ORGANISATION_CHANGES].concat(),
        }
    }
}

const REBIRTHS: [Fault; 6] = [
    Fault::ReplicaReborn,
    Fault::ReplicaReborn,
    Fault::ReplicaReborn,
    Fault::ReplicaRebornAndPrimaryDies,
    Fault::ReplicaRebornAndPrimaryDies,
    Fault::ReplicaRebornAndPrimaryDies,
];

const ORGANISATION_CHANGES: [Fault; 6] = [
    Fault::KeyReplaced,
    Fault::KeyReplaced,
    Fault::KeyReplaced,
    Fault::LimitChanged,
    Fault::LimitChanged,
    Fault::LimitChanged,
];

const FAULTS: [Fault; 20] = [
    Fault::Pause,
    Fault::Kill,
    Fault::Stop,
    Fault::Hangup,
    Fault::PlatformWay(Treatment::Silent),
    Fault::PlatformWay(Treatment::OneWay),
    Fault::PlatformWay(Treatment::Delay(150)),
    Fault::TargetWay(Treatment::Silent),
    Fault::TargetWay(Treatment::OneWay),
    Fault::TargetWay(Treatment::Delay(40)),
    Fault::ResetTargets,
    Fault::TargetDies,
    Fault::TargetCut,
    Fault::TargetLeaves,
    Fault::LaggingHandover,
    Fault::LaggingHandover,
    Fault::LosesAnswers,
    Fault::Platform(Mood::Silent),
    Fault::Platform(Mood::LosesAnswers),
    Fault::ForgetHistory,
];

/// Brings faults about, each for a while, until the time is over; returns once all have ended.
pub async fn series(victims: Victims, set: FaultSet, seed: u64, length: Duration) {
    let faults = set.faults();
    let mut rng = StdRng::seed_from_u64(seed);
    let until = time::Instant::now() + length;
    let mut under_way = Vec::new();
    while time::Instant::now() < until {
        let fault = faults[rng.random_range(0..faults.len())];
        let lasts = Duration::from_millis(rng.random_range(200..2_500));
        let (victims, which) = (victims.clone(), rng.random_range(0..usize::MAX));
        under_way.push(tokio::spawn(async move { bring(&victims, fault, which, lasts).await }));
        time::sleep(Duration::from_millis(rng.random_range(150..1_200))).await;
    }
    for fault in under_way {
        // One that was broken off has ended.
        let _ = fault.await;
    }
}

async fn bring(victims: &Victims, fault: Fault, which: usize, lasts: Duration) {
    let proxy = &victims.proxies[which % victims.proxies.len()];
    let target = which % victims.to_targets.len();
    let group = &victims.group;
    match fault {
        Fault::Pause => {
            proxy.lock().await.signal(Signal::SIGSTOP);
            time::sleep(lasts).await;
            proxy.lock().await.signal(Signal::SIGCONT);
        }
        Fault::Kill => end_and_start(proxy, Signal::SIGKILL, lasts).await,
        Fault::Stop => end_and_start(proxy, Signal::SIGTERM, lasts).await,
        Fault::Hangup => proxy.lock().await.hang_up(),
        Fault::PlatformWay(treatment) => {
            let relay = &victims.to_platform[which % victims.to_platform.len()];
            treat_for(relay, treatment, lasts).await;
        }
        Fault::TargetWay(treatment) => {
            treat_for(&victims.to_targets[target], treatment, lasts).await;
        }
        Fault::ResetTargets => victims.to_targets.iter().for_each(Relay::reset),
        Fault::TargetDies => {
            group.change(target, |member| member.alive = false);
            time::sleep(lasts).await;
            group.change(target, |member| {
                member.alive = true;
                member.paused_term = 0;
                member.start += 1;
            });
        }
        Fault::TargetCut => {
            group.change(target, |member| member.cut = true);
            time::sleep(lasts).await;
            group.change(target, |member| member.cut = false);
        }
        Fault::TargetLeaves => {
            group.change(target, |member| member.leaving = true);
            time::sleep(lasts).await;
            group.change(target, |member| member.leaving = false);
        }
        Fault::LaggingHandover => {
            let Some(leader) = group.leader() else { return };
            let replica = (leader + 1 + which % 2) % victims.to_targets.len();
            group.change(replica, |member| member.cut = true);
            time::sleep(lasts / 2).await;
            group.change(leader, |member| member.leaving = true);
            time::sleep(lasts).await;
            group.change(replica, |member| member.cut = false);
            group.change(leader, |member| member.leaving = false);
        }
        Fault::LosesAnswers => {
            group.change(target, |member| member.lose_answers += which as u32 % 5 + 1);
        }
        Fault::Platform(mood) => {
            victims.platform.set_mood(mood);
            time::sleep(lasts).await;
            victims.platform.set_mood(Mood::Serving);
        }
        Fault::ForgetHistory => victims.platform.objects.forget_history(),
        Fault::KeyReplaced => {
            victims.organisations.iter().for_each(|it| it.replace_key(which));
        }
        Fault::LimitChanged => victims.organisations.iter().for_each(|it| it.change_limit()),
        Fault::ReplicaReborn => reborn(victims, which, lasts, false).await,
        Fault::ReplicaRebornAndPrimaryDies => reborn(victims, which, lasts, true).await,
    }
}

/// A replica starts again with nothing. One at a time, and not before the one before has caught up: a commit is
/// acknowledged by two members, so it would be lost if both lost their logs.
async fn reborn(victims: &Victims, which: usize, lasts: Duration, primary_dies: bool) {
    let group = &victims.group;
    let _only_one = victims.reborn.lock().await;
    let Some(leader) = group.leader() else { return };
    let replica = (leader + 1 + which % 2) % victims.to_targets.len();
    group.change(replica, |member| member.alive = false);
    time::sleep(lasts / 4).await;
    if primary_dies {
        group.change(leader, |member| member.alive = false);
    }
    group.start_with_nothing(replica, BORN_MS + which as u64 % BORN_MS);
    group.change(replica, |member| member.alive = true);
    time::sleep(lasts).await;
    if primary_dies {
        group.change(leader, |member| {
            member.alive = true;
            member.paused_term = 0;
            member.start += 1;
        });
    }
    let until = time::Instant::now() + CATCH_UP_LIMIT;
    while !has_caught_up(group, replica) && time::Instant::now() < until {
        time::sleep(CATCH_UP_LOOK).await;
    }
}

fn has_caught_up(group: &Group, replica: usize) -> bool {
    group.leader().is_some_and(|leader| {
        let (there, here) = (group.member(leader).log.len(), group.member(replica).log.len());
        leader != replica && here >= there
    })
}

async fn end_and_start(proxy: &Mutex<Proxy>, signal: Signal, pause: Duration) {
    let mut proxy = proxy.lock().await;
    // One that stands still would not notice a request to stop.
    proxy.signal(Signal::SIGCONT);
    proxy.signal(signal);
    proxy.wait().await;
    time::sleep(pause / 4).await;
    proxy.start_again().expect("the program was started before");
}

async fn treat_for(relay: &Relay, treatment: Treatment, lasts: Duration) {
    relay.treat(treatment);
    time::sleep(lasts).await;
    relay.treat(Treatment::Pass);
}
