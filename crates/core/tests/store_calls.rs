//! Simulates the load of a fleet on the store while the store does not answer, and checks that all
//! VMs learn its contents in time.
//!
//! The store fails, or refuses some VMs, while VMs are partitioned from each other or all start at
//! the same time. A fleet whose VMs each kept calling several times a second prolonged such an
//! outage: 295 of them made 35,600 calls in 41 s. Fleets of 1 to 1,000 VMs are simulated in steps,
//! with the decision functions that the proxies use.

use skylark_core::process::homes::WATCHERS_PER_ZONE;
use skylark_core::process::jitter;
use skylark_core::process::store_calls;
use skylark_core::process::store_calls::StoreAccess;
use skylark_core::process::store_calls::StoreStatus;

/// The time between two steps, in microseconds.
const STEP_US: u64 = 20_000;

/// The simulated time, in microseconds.
const SIMULATED_US: u64 = 20_000_000;

/// The largest fleet in which every VM polls the store.
const MAX_DIRECT_VMS: usize = 16;

/// The time within which each VM that has a path to a new version must know it, in microseconds.
const VERSION_DEADLINE_US: u64 = 6_000_000;

/// How long a polling VM goes without an answer of the store before it asks other VMs, in
/// microseconds.
const HELP_AFTER_US: u64 = 1_000_000;

/// The limit on the calls per second of each polling VM.
const CALLS_PER_POLLING_VM: usize = 10;

/// The limit on the calls per second of all other VMs together, and the fraction of them that may
/// make an additional call in the same second: VMs whose pauses have reached their limit call more
/// often.
const CALLS_OF_OTHER_VMS: usize = 80;
const EXTRA_CALLS_DIVISOR: usize = 2;

/// The VMs that the store refuses, and the time of the outage.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from_us: u64,
    to_us: u64,
    /// The percentage of the VMs that the store refuses.
    percent: u64,
}

impl Outage {
    fn is_at(&self, at_us: u64) -> bool {
        (self.from_us..self.to_us).contains(&at_us)
    }
}

#[derive(Clone, Debug)]
struct Vm {
    zone: usize,
    seed: u64,
    /// VMs in the same partition reach each other.
    partition: u64,
    polls_store: bool,
    peer_status: Option<StoreStatus>,
    no_peer_since_us: u64,
    failures: u32,
    failing_since_us: Option<u64>,
    answers: bool,
    next_call_us: u64,
    version_us: u64,
}

#[derive(Clone, Debug)]
struct Fleet {
    vms: Vec<Vm>,
    watchers: Vec<usize>,
    outage: Outage,
}

/// Returns the highest number of failed calls within one second.
fn max_calls_per_second(calls_us: &[u64]) -> usize {
    let within =
        |at_us: u64| calls_us.iter().filter(move |call| (at_us..at_us + 1_000_000).contains(*call));
    (0..SIMULATED_US).step_by(500_000).map(|at_us| within(at_us).count()).max().unwrap_or(0)
}

impl Fleet {
    fn new(count: usize, zones: usize, partitions: u64, outage: Outage, seed: u64) -> Fleet {
        let has_many = count > MAX_DIRECT_VMS;
        let vm = |index: usize| Vm {
            zone: index % zones,
            seed: jitter::below_us(seed, index as u64, u64::MAX),
            partition: jitter::below_us(seed ^ 1, index as u64, partitions),
            polls_store: !has_many || index < zones * WATCHERS_PER_ZONE,
            peer_status: None,
            no_peer_since_us: 0,
            failures: 0,
            failing_since_us: None,
            answers: false,
            next_call_us: 0,
            version_us: 0,
        };
        let vms: Vec<Vm> = (0..count).map(vm).collect();
        let watchers = (0..count).filter(|index| vms[*index].polls_store).collect();
        Fleet { vms, watchers, outage }
    }

    fn is_refused(&self, index: usize, at_us: u64) -> bool {
        self.outage.is_at(at_us)
            && jitter::below_us(self.vms[index].seed, 2, 100) < self.outage.percent
    }

    fn status_of(&self, index: usize) -> StoreStatus {
        let vm = &self.vms[index];
        store_calls::status_for_peers(vm.answers, vm.peer_status.filter(|_| vm.polls_store))
    }

    /// Returns the VMs that can serve this one, best first.
    fn peers(&self, index: usize) -> Vec<usize> {
        let vm = &self.vms[index];
        let reached = |other: &usize| *other != index && self.vms[*other].partition == vm.partition;
        let mut peers: Vec<usize> = self.watchers.iter().copied().filter(reached).collect();
        peers.sort_by_key(|other| {
            (self.status_of(*other) == StoreStatus::Unavailable, self.vms[*other].zone != vm.zone)
        });
        peers
    }

    fn poll_peers(&mut self, index: usize, at_us: u64) {
        let polls_store = self.vms[index].polls_store;
        let needs = !polls_store
            || self.vms[index]
                .failing_since_us
                .is_some_and(|since_us| at_us >= since_us + HELP_AFTER_US);
        let peers = if needs { self.peers(index) } else { Vec::new() };
        let peer = peers
            .into_iter()
            .find(|peer| !polls_store || self.status_of(*peer) == StoreStatus::Answers);
        let peer_status = peer.map(|peer| (self.status_of(peer), self.vms[peer].version_us));
        let vm = &mut self.vms[index];
        let was_via_peer =
            store_calls::store_access(polls_store, vm.peer_status) == StoreAccess::ViaPeer;
        vm.peer_status = peer_status.map(|(store_status, _)| store_status);
        if let Some((StoreStatus::Answers | StoreStatus::Relayed, version_us)) = peer_status {
            vm.version_us = vm.version_us.max(version_us);
            (vm.answers, vm.failing_since_us) =
                (vm.answers && polls_store, vm.failing_since_us.filter(|_| polls_store));
        } else if was_via_peer {
            vm.no_peer_since_us = at_us;
        }
    }

    /// Calls the store if a call is due. Returns whether a call was made and failed.
    fn call_store(&mut self, index: usize, at_us: u64) -> bool {
        let (is_refused, count) = (self.is_refused(index, at_us), self.vms.len());
        let vm = &mut self.vms[index];
        let store_access = store_calls::store_access(vm.polls_store, vm.peer_status);
        let direct_call_delay_us = store_calls::direct_call_delay_us(store_access, count, vm.seed);
        if store_access == StoreAccess::ViaPeer
            || at_us < vm.no_peer_since_us + direct_call_delay_us
        {
            return false;
        }
        if is_refused {
            vm.answers = false;
            vm.failing_since_us.get_or_insert(at_us);
            if at_us < vm.next_call_us {
                return false;
            }
            vm.failures += 1;
            let pause_us = store_calls::retry_pause_us(store_access, count, vm.failures, vm.seed);
            vm.next_call_us = at_us + pause_us;
            return true;
        }
        // A watch that waits at the store delivers a change immediately; after a failure, the pause
        // must end first.
        if vm.failures == 0 || at_us >= vm.next_call_us {
            (vm.answers, vm.failures, vm.failing_since_us) = (true, 0, None);
            vm.version_us = at_us;
        }
        false
    }

    /// Runs the simulation. Returns the times of the failed calls, and the violations.
    fn simulate(&mut self) -> (Vec<u64>, Vec<String>) {
        let (mut failed_calls_us, mut violations) = (Vec::new(), Vec::new());
        let mut has_path_since_us = vec![Some(0); self.vms.len()];
        for at_us in (0..SIMULATED_US).step_by(STEP_US as usize) {
            for index in 0..self.vms.len() {
                self.poll_peers(index, at_us);
                if self.call_store(index, at_us) {
                    failed_calls_us.push(at_us);
                }
            }
            let served: Vec<u64> = (0..self.vms.len())
                .filter(|index| !self.is_refused(*index, at_us))
                .filter(|index| self.vms[*index].polls_store)
                .map(|index| self.vms[index].partition)
                .collect();
            for (index, since_us) in has_path_since_us.iter_mut().enumerate() {
                let has_path =
                    !self.is_refused(index, at_us) || served.contains(&self.vms[index].partition);
                *since_us = has_path.then(|| since_us.unwrap_or(at_us));
                let due_us = since_us.map(|since_us| since_us + VERSION_DEADLINE_US);
                let age_us = at_us - self.vms[index].version_us;
                if due_us.is_some_and(|due_us| at_us >= due_us) && age_us > VERSION_DEADLINE_US {
                    violations.push(format!("VM {index} is {age_us} us behind at {at_us}"));
                }
            }
        }
        (failed_calls_us, violations)
    }
}

fn check_fleet(count: usize, zones: usize, partitions: u64, outage: Outage, seed: u64) {
    let mut fleet = Fleet::new(count, zones, partitions, outage, seed);
    let polling_vms = fleet.watchers.len();
    let (failed_calls_us, violations) = fleet.simulate();
    let case =
        format!("{count} VMs in {zones} zones in {partitions} partitions, {outage:?}, seed {seed}");
    assert!(violations.is_empty(), "{case}: {}", violations[0]);
    let most = max_calls_per_second(&failed_calls_us);
    let mut bound = polling_vms * CALLS_PER_POLLING_VM + CALLS_OF_OTHER_VMS;
    bound += (count - polling_vms) / EXTRA_CALLS_DIVISOR;
    // A VM without a peer can't learn otherwise that a single call failed, so its quick retries are
    // allowed.
    let is_split = partitions > 1 || outage.from_us == 0;
    let quick = if is_split { 4 * (count - polling_vms) } else { 0 };
    assert!(most <= bound + quick, "{case}: {most} calls in a second");
}

const FOR_ALL: Outage = Outage { from_us: 4_000_000, to_us: 11_000_000, percent: 100 };
const FOR_A_THIRD: Outage = Outage { percent: 35, ..FOR_ALL };
const FOR_NEARLY_ALL: Outage = Outage { percent: 97, ..FOR_ALL };
const AT_THE_START: Outage = Outage { from_us: 0, ..FOR_ALL };

macro_rules! fleets {
    ($($(#[$doc:meta])* $name:ident: $partitions:expr, $outage:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            for (index, count) in [1, 2, 6, 16, 17, 40, 86, 295, 550, 1_000].into_iter().enumerate() {
                for zones in [1, 3, 8] {
                    check_fleet(count, zones, $partitions, $outage, index as u64 * 8 + zones as u64);
                }
            }
        })*
    };
}

fleets! {
    /// All VMs lose the store. The polling VMs keep trying, and the others learn from them of the
    /// outage and of its end.
    store_unavailable_for_all: 1, FOR_ALL;
    /// The store refuses a third of the VMs: the others serve them.
    store_refuses_a_third: 1, FOR_A_THIRD;
    /// The store answers only a few VMs, most of which do not poll: each of these must still use
    /// its own path.
    store_answers_a_few: 1, FOR_NEARLY_ALL;
    /// All VMs start during the outage, without any peer.
    store_unavailable_at_the_start: 1, AT_THE_START;
    /// The VMs are partitioned from each other during the outage.
    store_unavailable_during_a_partition: 5, FOR_ALL;
    /// The VMs are partitioned from each other, and the store refuses a third of them.
    store_refuses_a_third_during_a_partition: 5, FOR_A_THIRD;
    /// No VM reaches another one: each calls the store directly, but not too often.
    all_vms_are_isolated: u64::MAX, FOR_ALL;
}

/// A polling VM never passes on second-hand information: two VMs that lost the store would keep
/// telling each other that it answers.
#[test]
fn relayed_status_is_not_relayed_again() {
    assert_eq!(
        store_calls::status_for_peers(false, Some(StoreStatus::Answers)),
        StoreStatus::Relayed
    );
    assert_eq!(
        store_calls::status_for_peers(false, Some(StoreStatus::Relayed)),
        StoreStatus::Unavailable
    );
    assert_eq!(
        store_calls::status_for_peers(true, Some(StoreStatus::Unavailable)),
        StoreStatus::Answers
    );
}
