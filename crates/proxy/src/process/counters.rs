//! Event counters of one process: relaxed atomics, indexed by an enum value.
//!
//! Each kind of refusal, reason for a retry and routing decision of a read has its own counter. The
//! control thread reads all of them with [`Counters::snapshot`] for metrics and status.

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
            /// All values, in the order of their discriminants, which index the counters.
            pub const ALL: &'static [$enum_name] = &[$($enum_name::$variant,)*];

            /// Returns the name in metrics and status.
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
    /// Why a request was retried. A retry is safe for each reason: the request did not run, or is a read.
    RetryReason {
        /// The target refused a write because it is not the primary.
        NotPrimary = "retry.not_primary",
        /// The target refused work because it is leaving.
        Leaving = "retry.leaving",
        /// The target had no free connection: its limit or the limit of its queue was reached.
        NoRoom = "retry.no_room",
        /// The connection to the target could not be opened.
        ConnectFailed = "retry.connect_failed",
        /// The connection was lost during a read before any part of the answer reached the caller.
        ReadLost = "retry.read_lost",
        /// The target had not yet applied the position that the read must see.
        Lagging = "retry.lagging",
        /// The target was overloaded.
        Busy = "retry.busy",
        /// The target no longer had a prepared statement.
        PreparedLost = "retry.prepared_lost",
    }
}

counted! {
    /// Events that are not refusals, retries, reads or store calls.
    Event {
        /// Callers accepted.
        CallersAccepted = "callers.accepted",
        /// Caller sessions that ended.
        CallersEnded = "callers.ended",
        /// Cancel requests that were forwarded to a target.
        CancelsForwarded = "cancels.forwarded",
        /// Cancel requests that matched no running request.
        CancelsIgnored = "cancels.ignored",
        /// Simple queries and extended-protocol batches that were answered.
        Requests = "requests",
        /// Requests that were not declared as reads, and so were routed as writes.
        WritesRouted = "requests.not_reads",
        /// Requests sent to another proxy.
        Forwarded = "forwards.sent",
        /// Statements that the proxy answered without a target.
        AnsweredLocally = "requests.local",
        /// Writes that were acknowledged after a majority had confirmed them.
        WritesAcknowledged = "writes.acknowledged",
        /// Requests received from another proxy.
        ForwardsReceived = "forwards.received",
        /// Connections opened to targets and other proxies.
        ConnectionsOpened = "connections.opened",
        /// Connections that could not be opened.
        ConnectionsFailed = "connections.failed",
        /// Connections to targets and other proxies that were closed.
        ConnectionsClosed = "connections.closed",
        /// Requests that got an idle pooled connection.
        ConnectionsFound = "connections.found",
        /// Requests that had to wait for a connection.
        ConnectionsMissed = "connections.missed",
        /// Idle connections closed to make room for a connection of another user.
        ConnectionsReplaced = "connections.replaced",
        /// Operations admitted under an organisation's limit without asking another VM.
        LimitsGrantedHere = "limits.granted_here",
        /// Requests to another VM for admission under an organisation's limit.
        GrantsRequested = "limits.asked",
        /// Requests for admission under an organisation's limit that were not answered in time.
        LimitsUnanswered = "limits.unanswered",
        /// Sessions that were closed because their key was withdrawn.
        KeysWithdrawn = "callers.key_withdrawn",
        /// Restores of the store from an earlier state.
        StoreRestored = "store.restored",
        /// Connections reset after a transaction that may have changed their session state.
        ConnectionsReset = "connections.reset",
        /// Abandoned answers that were read to the end, so that the connection became idle again.
        AnswersDrained = "answers.drained",
        /// Abandoned answers whose connection was closed instead.
        AnswersCut = "answers.cut",
        /// Requests that waited until a target had applied the session's own writes.
        FloorWaits = "waits.floor",
        /// Requests that waited during a change of primary.
        PrimaryWaits = "waits.primary",
        /// Requests that waited until a home could be connected to.
        HomeWaits = "waits.home",
        /// Queries to members for their status.
        MembersAsked = "words.asked",
        /// Queries to homes for the log position of a primary.
        PositionsRequested = "positions.asked",
        /// Checks of the connection paths to a target.
        PathsChecked = "paths.checked",
        /// Times that the connection paths to a target were set up again.
        PathsReplaced = "paths.set",
        /// Targets of other availability zones that were queried directly because no VM there answered.
        OtherZoneTargetsProbed = "zones.targets_asked",
        /// Primaries whose lead was proved by the status of other members.
        LeadsProved = "leads.proved",
        /// Primaries whose lead could not be proved because too few members answered.
        LeadsUnproved = "leads.unproved",
        /// Targets that answered as primary after another target had been promoted.
        LeadsSuperseded = "leads.superseded",
        /// Acknowledged commits that a listed member reported to have received.
        CommitsConfirmed = "commits.confirmed",
        /// Acknowledged commits that no listed member reported to have received in time.
        CommitsUnconfirmed = "commits.unconfirmed",
        /// Acknowledged commits that no listed member had when one reported a later term.
        CommitsSuperseded = "commits.superseded",
        /// Takeovers begun because the primary announced its shutdown.
        TakeoversBegunLeaving = "takeovers.begun.leaving",
        /// Takeovers begun because the primary did not answer.
        TakeoversBegunSilent = "takeovers.begun.silent",
        /// Takeovers begun because the primary acknowledged no commits.
        TakeoversBegunCommitsStuck = "takeovers.begun.commits_stuck",
        /// Takeovers begun because no target was listed as primary.
        TakeoversBegunUnled = "takeovers.begun.unled",
        /// Takeovers that ended with another primary, or with an accepted call for one.
        TakeoversPromoted = "takeovers.ended.promoted",
        /// Takeovers that ended because they were no longer needed.
        TakeoversNotNeeded = "takeovers.ended.not_needed",
        /// Takeovers that ended at their time limit.
        TakeoversGaveUp = "takeovers.ended.gave_up",
        /// Takeovers that ended because the claim was lost.
        TakeoversClaimLost = "takeovers.ended.claim_lost",
        /// Calls to promote a target that the platform accepted.
        PromotionsAccepted = "promotions.accepted",
        /// Calls to promote a target that the platform refused.
        PromotionsRefused = "promotions.refused",
        /// Calls to promote a target that got no answer.
        PromotionsUnanswered = "promotions.no_answer",
        /// Calls to promote a target that the overloaded platform did not carry out.
        PromotionsOverloaded = "promotions.overloaded",
        /// Calls to promote a target that were no longer allowed when a connection was available.
        PromotionsNotSent = "promotions.not_sent",
        /// Calls that only fence off earlier ones and that the platform accepted.
        FencingsAccepted = "fencings.accepted",
        /// Calls that only fence off earlier ones and that the platform refused.
        FencingsRefused = "fencings.refused",
        /// Calls that only fence off earlier ones and that got no answer.
        FencingsUnanswered = "fencings.no_answer",
        /// Calls that only fence off earlier ones and that the overloaded platform did not carry out.
        FencingsOverloaded = "fencings.overloaded",
        /// Calls that only fence off earlier ones and that were no longer allowed when connected.
        FencingsNotSent = "fencings.not_sent",
        /// Fencing tokens that rose because a driver acquired the claim.
        TokensRaisedByDriver = "tokens.raised.new_driver",
        /// Fencing tokens that rose because a promotion call was refused.
        TokensRaisedAfterRefusal = "tokens.raised.refused",
        /// Fencing tokens that rose because a promotion call got no answer.
        TokensRaisedWithoutAnswer = "tokens.raised.no_answer",
        /// Statements that were prepared again on another connection.
        StatementsPrepared = "statements.prepared_again",
        /// Bytes that a watcher sent to its subscribers.
        FeedBytes = "feed.bytes_sent",
        /// Lists of targets, whole or changes, that this VM received as a subscriber.
        FeedListsReceived = "feed.lists_received",
        /// Updates of the list of targets that were sent with the changes only.
        FeedTargetChangesSent = "feed.targets_sent.changes",
        /// Updates with the parts that differ from the list that a returning subscriber knew.
        FeedTargetPartsSent = "feed.targets_sent.parts",
        /// Whole lists of targets sent to subscribers that knew none.
        FeedTargetListsFirst = "feed.targets_sent.first_list",
        /// Whole lists of targets sent since most of the list that the subscriber knew differed.
        FeedTargetListsDiffering = "feed.targets_sent.differing_list",
        /// Times that a subscriber abandoned its watcher.
        FeedsAbandoned = "feed.given_up",
    }
}

counted! {
    /// Calls to the platform's store, by operation.
    StoreCall {
        /// Read the whole configuration.
        ReadConfiguration = "store.calls.configuration_read",
        /// Wait for changes of the configuration.
        WatchConfiguration = "store.calls.configuration_watch",
        /// Read the list of all targets.
        ListTargets = "store.calls.targets_list",
        /// Wait for changes of targets.
        WatchTargets = "store.calls.targets_watch",
        /// Read the list of all VMs.
        ListVms = "store.calls.vms_list",
        /// Write this VM's address.
        RegisterVm = "store.calls.vm_write",
        /// Check whether the store answers.
        Probe = "store.calls.probe",
        /// Read the claim of a service.
        ReadClaim = "store.calls.claim_read",
        /// Write the claim of a service.
        WriteClaim = "store.calls.claim_write",
    }
}

counted! {
    /// Why a call to the platform's store has to be retried.
    StoreRetryReason {
        /// A concurrent change was applied first.
        Conflict = "store.again.conflict",
        /// The store no longer has the history from which a watch would continue.
        HistoryGone = "store.again.history_gone",
        /// The store refused the call.
        Refused = "store.again.refused",
        /// The store did not answer.
        NoAnswer = "store.again.no_answer",
        /// The answer could not be parsed.
        Malformed = "store.again.malformed",
    }
}

/// The counters of one process.
#[derive(Debug)]
pub struct Counters {
    refusals: Vec<AtomicU64>,
    retries: Vec<AtomicU64>,
    store_calls: Vec<AtomicU64>,
    store_retries: Vec<AtomicU64>,
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
            store_retries: zeros(StoreRetryReason::ALL.len()),
            reads: zeros(ReadReason::ALL.len()),
            events: zeros(Event::ALL.len()),
        }
    }
}

impl Counters {
    /// Counts a request that ended with an error of this kind.
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

    /// Counts a call to the store that has to be retried.
    pub fn store_retry(&self, trouble: StoreRetryReason) {
        add(&self.store_retries[trouble as usize]);
    }

    /// Counts a read by the reason for its routing or refusal.
    pub fn read(&self, reason: ReadReason) {
        add(&self.reads[reason.index()]);
    }

    /// Counts one event.
    pub fn event(&self, event: Event) {
        add(&self.events[event as usize]);
    }

    /// Adds `amount` to the counter of an event.
    pub fn add(&self, event: Event, amount: u64) {
        self.events[event as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns how many requests ended with an error of this kind.
    pub fn refusals_of(&self, kind: ErrorKind) -> u64 {
        self.refusals[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns how many retries were made for this reason.
    pub fn retries_of(&self, reason: RetryReason) -> u64 {
        self.retries[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns how many such calls to the store were made.
    pub fn store_calls_of(&self, call: StoreCall) -> u64 {
        self.store_calls[call as usize].load(Ordering::Relaxed)
    }

    /// Returns how many calls to the store had to be retried for this reason.
    pub fn store_retries_of(&self, trouble: StoreRetryReason) -> u64 {
        self.store_retries[trouble as usize].load(Ordering::Relaxed)
    }

    /// Returns how many reads were routed or refused for this reason.
    pub fn reads_of(&self, reason: ReadReason) -> u64 {
        self.reads[reason.index()].load(Ordering::Relaxed)
    }

    /// Returns the counter of this event.
    pub fn events_of(&self, event: Event) -> u64 {
        self.events[event as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters with their names in metrics and status.
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
        for trouble in StoreRetryReason::ALL {
            all.push((trouble.name().to_owned(), self.store_retries_of(*trouble)));
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
