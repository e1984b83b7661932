//! The lead record as this process knows it.

use super::PlatformCall;
use crate::log_position::Term;
use crate::version::objects::LeadRecord;

/// What a call to the platform is for.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) enum CallKind {
    /// A conditional update with this record.
    Update(LeadRecord),
    /// Reading the record.
    Read,
}

/// The call that is under way.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct OpenCall {
    pub(super) call: PlatformCall,
    pub(super) kind: CallKind,
    pub(super) sent_us: u64,
}

/// The newest version of the lead record, and the call about it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct LeadView {
    /// The version that an update would expect; unknown before the first sight of it and after
    /// an update whose effect is not known.
    pub(super) version: Option<u64>,
    record: Option<LeadRecord>,
    seen_version: u64,
    /// When this version was first seen.
    seen_us: u64,
    pub(super) open: Option<OpenCall>,
}

impl LeadView {
    pub(super) fn record(&self) -> Option<&LeadRecord> {
        self.record.as_ref()
    }

    /// The newest version seen.
    pub(super) fn seen_version(&self) -> u64 {
        self.seen_version
    }

    pub(super) fn seen_us(&self) -> u64 {
        self.seen_us
    }

    /// Takes in a version from the watch. Late sights of older versions change nothing.
    pub(super) fn observe_version(
        &mut self,
        now_us: u64,
        version: u64,
        record: Option<&LeadRecord>,
    ) {
        if version < self.seen_version {
            return;
        }
        let known = self.version.is_some() || self.record.is_some();
        if version > self.seen_version || !known {
            self.seen_us = now_us;
            self.record = record.cloned();
        }
        self.seen_version = version;
        self.version = Some(version);
    }

    /// When another driver's claim of a term above the leader's was seen.
    pub(super) fn rival_claim_us(&self, name: &str, leader_term: Term) -> Option<u64> {
        let record = self.record.as_ref()?;
        let rival = record.term > leader_term && record.driver != name && record.primary.is_empty();
        rival.then_some(self.seen_us)
    }
}
