//! Counters of the traffic threads: plain atomics indexed by reason.
//!
//! Every refusal, every reason for a retry, and every place where a read was served has its own
//! counter. The control thread reads them all with [`Counters::snapshot`] for metrics and status.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::routing::ReadReason;

macro_rules! counted {
    ($(#[$enum_doc:meta])* $enum_name:ident { $($(#[$doc:meta])* $variant:ident = $name:literal,)* }) => {
        $(#[$enum_doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
        pub enum $enum_name {
            $($(#[$doc])* $variant,)*
        }

        impl $enum_name {
            /// Every value, in the order of its index.
            pub const ALL: &'static [$enum_name] = &[$($enum_name::$variant,)*];

            /// The name in metrics and status.
            pub fn name(self) -> &'static str {
                match self {
                    $($enum_name::$variant => $name,)*
                }
            }
        }
    };
}

pub(crate) use counted;

counted! {
    /// Why a request was tried again. Each reason proves that it did not run, or that it is a read.
    RetryReason {
        /// The target refused a write because it is not the primary.
        NotPrimary = "retry.not_primary",
        /// The target refused work because it is leaving.
        Leaving = "retry.leaving",
        /// The target had no room for the connection.
        NoRoom = "retry.no_room",
        /// No connection came about.
        ConnectFailed = "retry.connect_failed",
        /// The connection broke under a read before any of its answer reached the caller.
        ReadLost = "retry.read_lost",
        /// The target's log lacked the position that the read must see.
        Lagging = "retry.lagging",
        /// The target had too much to do.
        Busy = "retry.busy",
        /// The target no longer knew a prepared statement.
        PreparedLost = "retry.prepared_lost",
    }
}

counted! {
    /// Other events.
    Event {
        /// Callers accepted.
        CallersAccepted = "callers.accepted",
        /// Callers that ended.
        CallersEnded = "callers.ended",
        /// Cancel requests that were passed on.
        CancelsForwarded = "cancels.forwarded",
        /// Cancel requests for no running request.
        CancelsIgnored = "cancels.ignored",
        /// Simple queries and batches answered.
        Requests = "requests",
        /// Requests that are not declared reads.
        WritesRouted = "requests.not_reads",
        /// Requests sent to another proxy.
        Forwarded = "forwards.sent",
        /// Statements answered by the proxy itself.
        AnsweredLocally = "requests.local",
        /// Writes acknowledged after a majority confirmed them.
        WritesAcknowledged = "writes.acknowledged",
        /// Requests received from another proxy.
        ForwardsReceived = "forwards.received",
        /// Connections opened to targets and proxies.
        ConnectionsOpened = "connections.opened",
        /// Connections that did not come about.
        ConnectionsFailed = "connections.failed",
        /// Connections closed.
        ConnectionsClosed = "connections.closed",
        /// Requests that found an idle connection.
        ConnectionsFound = "connections.found",
        /// Requests that had to wait for a connection.
        ConnectionsMissed = "connections.missed",
        /// Idle connections closed in favour of another user's.
        ConnectionsReplaced = "connections.replaced",
        /// Operations that were granted without asking another VM.
        LimitsGrantedHere = "limits.granted_here",
        /// Questions to another VM whether an organisation's limit has room.
        GrantsRequested = "limits.asked",
        /// Such questions that brought no answer in time.
        LimitsUnanswered = "limits.unanswered",
        /// Sessions that ended because their key was withdrawn.
        KeysWithdrawn = "callers.key_withdrawn",
        /// Connections reset after a transaction that may have changed their session.
        ConnectionsReset = "connections.reset",
        /// Abandoned answers drained to idle.
        AnswersDrained = "answers.drained",
        /// Abandoned answers whose connection was closed.
        AnswersCut = "answers.cut",
        /// Reads or writes that waited for the session's own writes to show.
        FloorWaits = "waits.floor",
        /// Requests that waited for a primary that moves or changes.
        PrimaryWaits = "waits.primary",
        /// Members asked how they stand.
        StatusRequested = "words.asked",
        /// Homes asked for a position of a primary.
        PositionsRequested = "positions.asked",
        /// Checks of the paths to a target.
        PathsChecked = "paths.checked",
        /// Times that the paths to a target were set anew.
        PathsReplaced = "paths.set",
        /// Targets of other availability zones asked, since no VM there answered.
        OtherZoneTargetsProbed = "zones.targets_asked",
        /// Leads that other members' words proved.
        LeadsProved = "leads.proved",
        /// Leads that too few words could be had for.
        LeadsUnproved = "leads.unproved",
        /// Targets that answered as primary after another was promoted.
        LeadsSuperseded = "leads.superseded",
        /// Prepared statements prepared again on another connection.
        StatementsPrepared = "statements.prepared_again",
        /// Bytes that a watcher sent to those that it tells.
        FeedBytes = "feed.bytes_sent",
        /// Watchers that were given up by those that they told, or should have told.
        FeedsAbandoned = "feed.given_up",
    }
}

counted! {
    /// Calls to the platform's store by what they ask for.
    StoreCall {
        /// The configuration, read whole.
        ReadConfiguration = "store.calls.configuration_read",
        /// Changes of the configuration, waited for.
        WatchConfiguration = "store.calls.configuration_watch",
        /// All targets.
        ListTargets = "store.calls.targets_list",
        /// Changes of targets, waited for.
        WatchTargets = "store.calls.targets_watch",
        /// All VMs.
        ListVms = "store.calls.vms_list",
        /// This VM's address, written.
        RegisterVm = "store.calls.vm_write",
        /// Whether the store answers.
        Probe = "store.calls.probe",
        /// The claim of a service.
        ReadClaim = "store.calls.claim_read",
        /// The claim of a service, written.
        WriteClaim = "store.calls.claim_write",
    }
}

counted! {
    /// Why a call to the platform's store has to be made again.
    StoreTrouble {
        /// Another change came first.
        Conflict = "store.again.conflict",
        /// The history that a watch goes on from is gone.
        HistoryGone = "store.again.history_gone",
        /// The store refused it.
        Refused = "store.again.refused",
        /// No answer came.
        NoAnswer = "store.again.no_answer",
        /// The answer was not understood.
        Malformed = "store.again.malformed",
    }
}

/// The counters of one process.
#[derive(Debug)]
pub struct Counters {
    refusals: Vec<AtomicU64>,
    retries: Vec<AtomicU64>,
    store_calls: Vec<AtomicU64>,
    store_troubles: Vec<AtomicU64>,
    reads: Vec<AtomicU64>,
    events: Vec<AtomicU64>,
}

impl Default for Counters {
    fn default() -> Counters {
        let zeros = |count| (0..count).map(|_| AtomicU64::new(0)).collect();
        Counters {
            refusals: zeros(ErrorKind::ALL.len()),
            retries: zeros(RetryReason::ALL.len()),
            store_calls: zeros(StoreCall::ALL.len()),
            store_troubles: zeros(StoreTrouble::ALL.len()),
            reads: zeros(ReadReason::ALL.len()),
            events: zeros(Event::ALL.len()),
        }
    }
}

impl Counters {
    /// Counts a refusal or a request given up.
    pub fn refusal(&self, kind: ErrorKind) {
        add(&self.refusals[kind as usize]);
    }

    /// Counts a retry.
    pub fn retry(&self, reason: RetryReason) {
        add(&self.retries[reason as usize]);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: StoreCall) {
        add(&self.store_calls[call as usize]);
    }

    /// Counts a call to the store that has to be made again.
    pub fn store_trouble(&self, trouble: StoreTrouble) {
        add(&self.store_troubles[trouble as usize]);
    }

    /// Counts a read by where it was served or why it was not.
    pub fn read(&self, reason: ReadReason) {
        add(&self.reads[reason.index()]);
    }

    /// Counts another event.
    pub fn event(&self, event: Event) {
        add(&self.events[event as usize]);
    }

    /// Adds to another event's counter.
    pub fn add(&self, event: Event, amount: u64) {
        self.events[event as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// How often this kind was answered.
    pub fn refusals_of(&self, kind: ErrorKind) -> u64 {
        self.refusals[kind as usize].load(Ordering::Relaxed)
    }

    /// How often this retry was made.
    pub fn retries_of(&self, reason: RetryReason) -> u64 {
        self.retries[reason as usize].load(Ordering::Relaxed)
    }

    /// How many such calls to the store were made.
    pub fn store_calls_of(&self, call: StoreCall) -> u64 {
        self.store_calls[call as usize].load(Ordering::Relaxed)
    }

    /// How many calls to the store have to be made again for this reason.
    pub fn store_troubles_of(&self, trouble: StoreTrouble) -> u64 {
        self.store_troubles[trouble as usize].load(Ordering::Relaxed)
    }

    /// How many reads went there for this reason.
    pub fn reads_of(&self, reason: ReadReason) -> u64 {
        self.reads[reason.index()].load(Ordering::Relaxed)
    }

    /// How often this event happened.
    pub fn events_of(&self, event: Event) -> u64 {
        self.events[event as usize].load(Ordering::Relaxed)
    }

    /// Every counter by name.
    pub fn snapshot(&self) -> Vec<(String, u64)> {
        let mut all = Vec::new();
        for kind in ErrorKind::ALL {
            all.push((format!("refused.{}", kind.answer().name), self.refusals_of(*kind)));
        }
        for reason in RetryReason::ALL {
            all.push((reason.name().to_owned(), self.retries_of(*reason)));
        }
        for reason in ReadReason::ALL {
            all.push((format!("reads.{}", reason.name()), self.reads_of(*reason)));
        }
        for call in StoreCall::ALL {
            all.push((call.name().to_owned(), self.store_calls_of(*call)));
        }
        for trouble in StoreTrouble::ALL {
            all.push((trouble.name().to_owned(), self.store_troubles_of(*trouble)));
        }
        for event in Event::ALL {
            all.push((event.name().to_owned(), self.events_of(*event)));
        }
        all
    }
}

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
