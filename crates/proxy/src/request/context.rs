//! What is known of a request before it is routed.

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

/// A request that is about to be routed.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// For a declared read the oldest age of its data.
    pub max_age_us: Option<u64>,
    /// Whether the request can't lead to a write, declared a read or not.
    pub only_reads: bool,
    /// The class's name.
    pub class: String,
    /// The caller's user name.
    pub user: Box<str>,
    /// The caller as the queues know it.
    pub caller: CallerId,
    /// The session's identity, under which its writes are recorded.
    pub identity: Option<Box<str>>,
    /// Whether `floor` is all that the session must see.
    pub floor_known: bool,
    /// What the session must see.
    pub floor: LogPosition,
    /// The time limit of each statement of the transaction.
    pub deadline_ms: u64,
    /// When the request is given up.
    pub deadline: Instant,
    /// The same on the process's clock.
    pub deadline_us: u64,
    /// How often it was forwarded to get here.
    pub hops: u8,
    /// The target that the sender chose.
    pub preferred_target: Option<String>,
    /// The session's settings of the target's parameters.
    pub settings: Vec<String>,
}

impl RequestContext {
    /// The context of a request outside a transaction.
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

    /// Whether the request is a declared read.
    pub fn is_read(&self) -> bool {
        self.max_age_us.is_some()
    }

    /// How the request asks for a turn.
    pub fn admission_request(&self, published: &Published, group: GroupId) -> AdmissionRequest {
        let class = published.topology.service_of(group).class(&self.class);
        AdmissionRequest {
            class: class.unwrap_or(ClassId(0)),
            caller: self.caller,
            deadline_us: self.deadline_us,
        }
    }

    /// What is said to the proxy that the request is forwarded to.
    pub fn forward(
        &self,
        revision: u64,
        target: Option<String>,
        max_hops: u8,
    ) -> Result<Forward, Refusal> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_us = left.as_micros() as u64;
        let reserve_us =
            (left_us / HOP_RESERVE_DIVISOR).clamp(MIN_HOP_RESERVE_US, MAX_HOP_RESERVE_US);
        let deadline_ms =
            retry::hop_deadline_ms(left_us, reserve_us).ok_or(ErrorKind::WaitTimedOut)?;
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

/// What a hop keeps of the deadline for the way back: a part of it, within bounds. Then the answer
/// that comes in time is that of the home, which knows more about the outcome.
const HOP_RESERVE_DIVISOR: u64 = 10;
const MIN_HOP_RESERVE_US: u64 = 5_000;
const MAX_HOP_RESERVE_US: u64 = 50_000;

fn deadline_after(traffic: &Traffic, deadline_ms: u64) -> (Instant, u64) {
    let deadline = Instant::now() + Duration::from_millis(deadline_ms);
    (deadline, traffic.clock.now_us() + deadline_ms * MS_US)
}

/// The oldest age that the caller declared, if the text only reads. `None` for what may write.
fn declared_max_age_us(
    session: &Session,
    service: &Service,
    traits: &StatementTraits,
) -> Option<u64> {
    if !traits.only_reads {
        return None;
    }
    if traits.begins == Some(Access::ReadOnly) {
        // A read-only transaction names no kind, so it gets the strictest age of the service.
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

/// A version with the group that a request is for.
#[derive(Clone, Debug)]
pub struct GroupSnapshot {
    /// The version.
    pub published: Arc<Published>,
    /// The group.
    pub group: GroupId,
}

impl GroupSnapshot {
    /// The newest version, if it still has the group.
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
