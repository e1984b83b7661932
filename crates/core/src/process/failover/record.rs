//! The lead record as this process knows it.

use super::PlatformCall;
use crate::log_position::Term;
use crate::version::objects::LeadRecord;

/// The purpose of a call to the platform.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) enum CallKind {
    /// A conditional update with this record.
    Update(LeadRecord),
    /// A read of the record.
    Read,
}

/// The call in progress.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct OpenCall {
    pub(super) call: PlatformCall,
    pub(super) kind: CallKind,
    pub(super) sent_us: u64,
}

/// The newest known version of the lead record, and the call in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct LeadView {
    /// The version that an update expects; unknown before the first observation and after an update
    /// with an unknown result.
    pub(super) version: Option<u64>,
    record: Option<LeadRecord>,
    seen_version: u64,
    /// The time at which this version was first seen.
    seen_us: u64,
    pub(super) open: Option<OpenCall>,
}

impl LeadView {
    pub(super) fn record(&self) -> Option<&LeadRecord> {
        self.record.as_ref()
    }

    /// Returns the newest version that was seen.
    pub(super) fn seen_version(&self) -> u64 {
        self.seen_version
    }

    pub(super) fn seen_us(&self) -> u64 {
        self.seen_us
    }

    /// Records a version of the record that was seen. Versions older than the newest one are
    /// ignored.
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

    /// Returns when another driver's claim of a term above the leader's was seen.
    pub(super) fn rival_claim_us(&self, name: &str, leader_term: Term) -> Option<u64> {
        let record = self.record.as_ref()?;
        let rival = record.term > leader_term && record.driver != name && record.primary.is_empty();
        rival.then_some(self.seen_us)
    }
}
