//! The context of a request that routing, admission and forwarding work with.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use skylark_core::ids::ClassId;
use skylark_core::ids::GroupId;
use skylark_core::log_position::LogPosition;
use skylark_core::process::jitter;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry;
use skylark_core::version::topology::Service;

use crate::connection::admission::AdmissionRequest;
use crate::connection::session::Session;
use crate::process::traffic::Traffic;
use crate::request::forward::Forward;
use crate::request::refusal::Refusal;
use crate::request::statement::Access;
use crate::request::statement::StatementTraits;
use crate::version::published::Published;

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;

/// The routing context of a request outside of a transaction.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// The maximum age of the data for a declared read, in microseconds; `None` if the request may
    /// write.
    pub max_age_us: Option<u64>,
    /// Whether the request can't write, regardless of whether it is declared a read.
    pub only_reads: bool,
    /// The name of the request's class.
    pub class: String,
    /// The caller's user name, passed on with a forwarded request.
    pub user: Box<str>,
    /// The hash of the user name by which admission queues distinguish callers.
    pub caller: CallerId,
    /// The session's identity, under which its writes are recorded; `None` if it declared none.
    pub identity: Option<Box<str>>,
    /// Whether `floor` is complete. Otherwise the control thread has to be asked for the session's
    /// floor.
    pub floor_known: bool,
    /// The log position that a read of this session must cover.
    pub floor: LogPosition,
    /// The time limit of each statement of the transaction, in milliseconds.
    pub deadline_ms: u64,
    /// The deadline of the request.
    pub deadline: Instant,
    /// The deadline in microseconds of the process's clock.
    pub deadline_us: u64,
    /// The number of times that the request was forwarded before it arrived here.
    pub hops: u8,
    /// The target chosen by the forwarding proxy.
    pub preferred_target: Option<String>,
    /// The session's settings of target parameters, each a complete `SET` statement.
    pub settings: Vec<String>,
}

impl RequestContext {
    /// Creates the context of a request outside of a transaction.
    ///
    /// On a connection from another proxy the context comes from `SET skylark.forward`; without one the
    /// request is refused.
    pub fn new(
        traffic: &Traffic,
        session: &mut Session,
        traits: &StatementTraits,
        published: &Published,
        group: GroupId,
    ) -> Result<RequestContext, Refusal> {
        if session.forwarded_by.is_some() {
            let Some(forward) = session.forward.take() else {
                let note = "a forwarded transaction begins with `SET skylark.forward`".to_owned();
                return Err(Refusal::with_note(ErrorKind::ProtocolViolation, note));
            };
            return Ok(RequestContext::from_forward(traffic, *forward, traits));
        }
        let service = published.topology.service_of(group);
        let deadline_ms = session.declared.deadline_ms.unwrap_or(traffic.limits.deadline_ms);
        let (deadline, deadline_us) = deadline_after(traffic, deadline_ms);
        let identity = session.declared.identity.clone();
        Ok(RequestContext {
            max_age_us: declared_max_age_us(session, service, traits),
            only_reads: traits.only_reads && !traits.opens_writable,
            floor_known: session.declared.has_token || identity.is_none(),
            class: declared_class(session, service),
            user: session.user.clone(),
            caller: session.caller,
            identity,
            floor: session.floor,
            deadline_ms,
            deadline,
            deadline_us,
            hops: 0,
            preferred_target: None,
            settings: session.settings.iter().map(|set| set.to_string()).collect(),
        })
    }

    fn from_forward(
        traffic: &Traffic,
        forward: Forward,
        traits: &StatementTraits,
    ) -> RequestContext {
        let (deadline, deadline_us) = deadline_after(traffic, forward.deadline_ms);
        let max_age_us = forward.max_age_ms.filter(|_| traits.only_reads);
        RequestContext {
            max_age_us: max_age_us.map(|age_ms| age_ms * MS_US),
            only_reads: traits.only_reads && !traits.opens_writable,
            floor_known: forward.floor_known || forward.session.is_none(),
            class: forward.class,
            caller: CallerId(jitter::seed_of(&forward.caller)),
            user: forward.caller.into(),
            identity: forward.session.map(Box::from),
            floor: forward.floor,
            deadline_ms: forward.deadline_ms,
            deadline,
            deadline_us,
            hops: forward.hops,
            preferred_target: forward.target,
            settings: forward.settings,
        }
    }

    /// Returns whether the request is a declared read.
    pub fn is_read(&self) -> bool {
        self.max_age_us.is_some()
    }

    /// Returns the admission request for the queue in front of a target.
    pub fn admission_request(&self, published: &Published, group: GroupId) -> AdmissionRequest {
        let class = published.topology.service_of(group).class(&self.class);
        AdmissionRequest {
            class: class.unwrap_or(ClassId(0)),
            caller: self.caller,
            deadline_us: self.deadline_us,
        }
    }

    /// Returns the context to send to the proxy that the request is forwarded to.
    ///
    /// Fails if too little time is left for another hop, or if `max_hops` is reached.
    pub fn forward(
        &self,
        revision: u64,
        target: Option<String>,
        max_hops: u8,
    ) -> Result<Forward, Refusal> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let remaining_us = left.as_micros() as u64;
        let reserve_us =
            (remaining_us / HOP_RESERVE_DIVISOR).clamp(MIN_HOP_RESERVE_US, MAX_HOP_RESERVE_US);
        let deadline_ms =
            retry::hop_deadline_ms(remaining_us, reserve_us).ok_or(ErrorKind::WaitTimedOut)?;
        if self.hops >= max_hops {
            return Err(ErrorKind::TooManyHops.into());
        }
        Ok(Forward {
            class: self.class.clone(),
            caller: self.user.to_string(),
            deadline_ms,
            floor: self.floor,
            max_age_ms: self.max_age_us.map(|age_us| age_us / MS_US),
            hops: self.hops + 1,
            target,
            session: self.identity.as_deref().map(str::to_owned),
            floor_known: self.floor_known,
            settings: self.settings.clone(),
            revision,
        })
    }
}

/// The share of the remaining time that a hop reserves for the answer's return trip, with its bounds.
/// The forwarded deadline is earlier by this reserve, so that a timeout is reported by the home, which
/// knows more about the outcome.
const HOP_RESERVE_DIVISOR: u64 = 10;
const MIN_HOP_RESERVE_US: u64 = 5_000;
const MAX_HOP_RESERVE_US: u64 = 50_000;

fn deadline_after(traffic: &Traffic, deadline_ms: u64) -> (Instant, u64) {
    let deadline = Instant::now() + Duration::from_millis(deadline_ms);
    (deadline, traffic.clock.now_us() + deadline_ms * MS_US)
}

/// Returns the maximum age that the caller declared, if the text only reads; `None` for one that may
/// write.
fn declared_max_age_us(
    session: &Session,
    service: &Service,
    traits: &StatementTraits,
) -> Option<u64> {
    if !traits.only_reads {
        return None;
    }
    if traits.begins == Some(Access::ReadOnly) {
        // `BEGIN READ ONLY` names no read kind, so the strictest age of the service applies.
        return service.read_kinds.iter().map(|kind| kind.max_age_ms * MS_US).min();
    }
    let kind = service.read_kind(session.declared.read_kind.as_deref()?)?;
    Some(service.read_kinds[kind.index()].max_age_ms * MS_US)
}

fn declared_class(session: &Session, service: &Service) -> String {
    if let Some(class) = &session.declared.class {
        return class.to_string();
    }
    let kind = session.declared.read_kind.as_deref().and_then(|kind| service.read_kind(kind));
    let of_kind = kind.and_then(|kind| service.read_kinds[kind.index()].class.clone());
    of_kind.unwrap_or_else(|| service.classes[0].name.clone())
}

/// A published version together with the group that a request is for. Group and target ids are valid
/// only within this version.
#[derive(Clone, Debug)]
pub struct GroupSnapshot {
    /// The published version.
    pub published: Arc<Published>,
    /// The id of the group within the version.
    pub group: GroupId,
}

impl GroupSnapshot {
    /// Returns the newest version, or a refusal if it does not contain the group.
    pub fn latest(traffic: &Traffic, group_name: &str) -> Result<GroupSnapshot, Refusal> {
        let published = traffic.slot.load_full();
        let group = published.topology.group_id(group_name);
        let group = group.filter(|group| group.index() < published.groups.len());
        match group {
            Some(group) => Ok(GroupSnapshot { published, group }),
            None if published.ready => Err(ErrorKind::UnknownGroup.into()),
            None => Err(ErrorKind::NotReady.into()),
        }
    }
}
