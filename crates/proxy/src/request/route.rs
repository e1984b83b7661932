//! Routing: selects the member that serves a request and the connection pool that leads to it.
//!
//! The member is chosen by `skylark_core::request::routing` from the state that the control thread
//! publishes. A proxy that does not track the group forwards the request to one that does.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use skylark_core::ids::TargetId;
use skylark_core::ids::VmId;
use skylark_core::ids::ZoneId;
use skylark_core::log_position::Term;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::routing;
use skylark_core::request::routing::LeaderView;
use skylark_core::request::routing::MemberView;
use skylark_core::request::routing::Nearness;
use skylark_core::request::routing::ReadReason;
use skylark_core::request::routing::ReadRequest;
use skylark_core::request::routing::ReadVerdict;
use skylark_core::request::routing::RoutingPolicy;
use tokio::time;

use crate::process::counters::Event;
use crate::process::traffic::Traffic;
use crate::request::context::GroupSnapshot;
use crate::request::context::RequestContext;
use crate::request::refusal::Refusal;
use crate::version::published::GroupView;
use crate::version::published::Leader;

/// The interval at which a waiting request checks its routing again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The destination of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Destination {
    /// A target that this VM is home to.
    Target(TargetId),
    /// Another proxy, with the target if this proxy has chosen one.
    Peer(VmId, Option<TargetId>),
}

/// The route of a request.
#[derive(Clone, Debug)]
pub struct Route {
    /// The version in which the ids of the route are valid.
    pub snapshot: GroupSnapshot,
    /// The destination.
    pub destination: Destination,
    /// The reason for the choice, as shown by `SHOW skylark.last_reason`.
    pub reason: &'static str,
}

impl Route {
    /// Returns whether the request is forwarded to another proxy.
    pub fn is_peer(&self) -> bool {
        matches!(self.destination, Destination::Peer(..))
    }
}

/// The failures of earlier attempts of the same request, which routing avoids.
#[derive(Clone, Debug, Default)]
pub struct RetryState {
    /// Members that failed.
    pub targets: Vec<TargetId>,
    /// Proxies that failed.
    pub peers: Vec<VmId>,
    /// Proxies that could not be connected to.
    pub unreachable_peers: Vec<VmId>,
    /// The primary that failed or refused the request, with its term, and the error to answer with if
    /// no other primary replaces it.
    pub primary: Option<(Option<Term>, TargetId, ErrorKind)>,
}

/// Chooses the destination of a request. Waits for a bounded time where the situation is expected to
/// change, for example during a failover.
pub async fn choose(
    traffic: &Arc<Traffic>,
    group_name: &str,
    context: &RequestContext,
    retry_state: &RetryState,
) -> Result<Route, Refusal> {
    let mut search = Search::new(traffic, context, retry_state);
    loop {
        let snapshot = GroupSnapshot::latest(traffic, group_name)?;
        let step = search.step(&snapshot)?;
        let wait = match step {
            Step::Dispatch(destination, reason) => {
                return Ok(Route { snapshot, destination, reason });
            }
            Step::Wait(wait) => wait,
        };
        search.waiting_since.get_or_insert_with(Instant::now);
        if Instant::now() + wait >= context.deadline {
            return Err(ErrorKind::WaitTimedOut.into());
        }
        time::sleep(wait).await;
    }
}

/// Returns whether a request that has waited for admission may still be sent to the target chosen for
/// it.
///
/// In the meantime the target's data may have become too old, another primary may have taken over, or
/// confirmations may have stalled. Sent now, the request could read data older than the caller accepts,
/// or end with an unknown outcome although it can still be refused as not run.
pub fn is_still_eligible(traffic: &Traffic, context: &RequestContext, route: &Route) -> bool {
    let Destination::Target(target) = route.destination else { return true };
    let group_name = &route.snapshot.published.topology.group(route.snapshot.group).name;
    let Ok(snapshot) = GroupSnapshot::latest(traffic, group_name) else { return false };
    // Target ids of another version may differ, so the request is routed again.
    if !Arc::ptr_eq(&snapshot.published.topology, &route.snapshot.published.topology) {
        return false;
    }
    let view = snapshot.published.group(snapshot.group);
    if !context.is_read() {
        let leads = view.leader.is_some_and(|leader| leader.target == target);
        return leads && (context.only_reads || !view.moving && !view.stalled);
    }
    let retry_state = RetryState::default();
    let search = Search::new(traffic, context, &retry_state);
    let members = search.members(&snapshot, view);
    let member = members.iter().find(|member| member.target == target);
    let leader = view.leader.map(leader_view);
    let now_us = traffic.clock.now_us();
    member.is_some_and(|member| {
        routing::shortfall(&search.read_request(), leader, member, now_us).is_none()
    })
}

enum Step {
    Dispatch(Destination, &'static str),
    Wait(Duration),
}

struct Search<'a> {
    traffic: &'a Traffic,
    context: &'a RequestContext,
    retry_state: &'a RetryState,
    waiting_since: Option<Instant>,
    tie_breaker: u32,
    counted_wait: bool,
}

impl<'a> Search<'a> {
    fn new(
        traffic: &'a Traffic,
        context: &'a RequestContext,
        retry_state: &'a RetryState,
    ) -> Search<'a> {
        Search {
            traffic,
            context,
            retry_state,
            waiting_since: None,
            tie_breaker: traffic.next_spread(),
            counted_wait: false,
        }
    }

    fn waited(&self) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn step(&mut self, snapshot: &GroupSnapshot) -> Result<Step, Refusal> {
        let view = snapshot.published.group(snapshot.group);
        if !view.tracked {
            return self.route_to_any_home(snapshot, view);
        }
        match self.context.is_read() {
            true => self.route_read(snapshot, view),
            false => self.route_to_primary(snapshot, view),
        }
    }

    /// Routes a request on a proxy that does not track the group: to a home of the nearest member, or
    /// of the primary if the request may write.
    fn route_to_any_home(
        &mut self,
        snapshot: &GroupSnapshot,
        view: &GroupView,
    ) -> Result<Step, Refusal> {
        let topology = &snapshot.published.topology;
        let own_zone = topology.zone_id(&self.traffic.zone);
        let primary = view.leader.map(|leader| leader.target);
        let mut members = topology.group(snapshot.group).members.clone();
        members.sort_by_key(|member| {
            let is_preferred = !self.context.is_read() && primary == Some(*member);
            let is_near = own_zone == Some(topology.target(*member).zone);
            (!is_preferred, !is_near)
        });
        let homes = members.iter().flat_map(|member| snapshot.published.homes_of(*member));
        self.forward_to_home(snapshot, homes, None, "forwarded")
    }

    /// Forwards the request to one of these homes. Waits if none is known yet, and if none of them could
    /// be connected to, since the pools keep trying: a start, or a home that is busy for a moment, would
    /// otherwise cause refusals of requests that have time left.
    fn forward_to_home<'b, I>(
        &mut self,
        snapshot: &GroupSnapshot,
        homes: I,
        target: Option<TargetId>,
        reason: &'static str,
    ) -> Result<Step, Refusal>
    where
        I: Iterator<Item = &'b VmId> + Clone,
    {
        if self.context.hops >= self.traffic.limits.max_hops {
            return Err(ErrorKind::TooManyHops.into());
        }
        let topology = &snapshot.published.topology;
        let RetryState { peers, unreachable_peers, .. } = self.retry_state;
        // After a start the list of VMs may reach this thread after the members do.
        let is_unknown = homes.clone().next().is_none();
        let usable =
            homes.filter(|home| Some(**home) != snapshot.published.own_vm && !peers.contains(home));
        let untried = usable.clone().filter(|home| !unreachable_peers.contains(home));
        // A leaving VM still serves requests, so it is only the second choice.
        let staying = untried.clone().find(|home| !topology.vm(**home).leaving);
        let reachable_again =
            || usable.clone().find(|home| !self.refuses_forwards(snapshot, **home));
        let chosen = staying.or_else(|| untried.clone().next()).or_else(reachable_again);
        if let Some(home) = chosen {
            return Ok(Step::Dispatch(Destination::Peer(*home, target), reason));
        }
        match is_unknown || usable.clone().next().is_some() {
            true => self.wait_for_home(),
            false => Err(ErrorKind::TargetUnreachable.into()),
        }
    }

    /// Returns whether this VM's last attempt to connect to another proxy for the group failed.
    fn refuses_forwards(&self, snapshot: &GroupSnapshot, vm: VmId) -> bool {
        self.traffic.pools.peer(&snapshot.published, vm, snapshot.group).is_failing()
    }

    fn route_read(&mut self, snapshot: &GroupSnapshot, view: &GroupView) -> Result<Step, Refusal> {
        let members = self.members(snapshot, view);
        let request = self.read_request();
        let now_us = self.traffic.clock.now_us();
        let leader = view.leader.map(leader_view);
        if let Some(preferred_target) =
            self.eligible_preferred(snapshot, &request, leader, &members, now_us)
        {
            return Ok(Step::Dispatch(Destination::Target(preferred_target), "chosen_by_sender"));
        }
        let policy = RoutingPolicy::default();
        let verdict = routing::route(&policy, &request, leader, &members, now_us);
        match verdict {
            ReadVerdict::Send { target, reason } => {
                let step = self.send_to(snapshot, target, reason.name())?;
                if let Step::Dispatch(..) = step {
                    self.traffic.counters.read(reason);
                }
                Ok(step)
            }
            ReadVerdict::Wait { wait_us, reason, .. } => {
                self.count_wait(reason);
                let wait = Duration::from_micros(wait_us).min(RECHECK_INTERVAL);
                Ok(Step::Wait(wait))
            }
            ReadVerdict::Refuse { kind, retry_after_us, reason } => {
                self.traffic.counters.read(reason);
                Err(Refusal::with_retry_after(kind, retry_after_us.div_ceil(1_000)))
            }
        }
    }

    fn count_wait(&mut self, reason: ReadReason) {
        if !self.counted_wait {
            self.counted_wait = true;
            self.traffic.counters.read(reason);
        }
    }

    fn read_request(&self) -> ReadRequest {
        ReadRequest {
            floor: self.context.floor,
            max_age_us: self.context.max_age_us.unwrap_or(routing::NO_AGE_BOUND),
            deadline_us: self.context.deadline_us,
            waited_us: self.waited().as_micros() as u64,
            tie_breaker: self.tie_breaker,
        }
    }

    /// Returns the member that the forwarding proxy chose, if this VM is home to it and it is eligible.
    fn eligible_preferred(
        &self,
        snapshot: &GroupSnapshot,
        request: &ReadRequest,
        leader: Option<LeaderView>,
        members: &[MemberView],
        now_us: u64,
    ) -> Option<TargetId> {
        let preferred_target =
            snapshot.published.topology.target_id(self.context.preferred_target.as_deref()?)?;
        if !snapshot.published.is_home(preferred_target) {
            return None;
        }
        let member = members.iter().find(|member| member.target == preferred_target)?;
        routing::shortfall(request, leader, member, now_us).is_none().then_some(preferred_target)
    }

    fn members(&self, snapshot: &GroupSnapshot, view: &GroupView) -> Vec<MemberView> {
        let topology = &snapshot.published.topology;
        let own_zone = topology.zone_id(&self.traffic.zone);
        let ids = &topology.group(snapshot.group).members;
        let pairs = ids.iter().zip(&view.live.members);
        pairs
            .map(|(target, live)| MemberView {
                target: *target,
                applied: *live.applied.lock(),
                fresh_as_of_us: live.fresh_as_of_us.load(Ordering::Acquire),
                lag_us: nonzero(&live.lag_us),
                catch_up_us: nonzero(&live.catch_up_us),
                reachable: live.reachable.load(Ordering::Relaxed)
                    && !self.retry_state.targets.contains(target)
                    && !self.refuses_connections(snapshot, *target),
                leaving: live.leaving.load(Ordering::Relaxed),
                nearness: nearness(own_zone, topology.target(*target).zone),
                predicted_wait_us: self.predicted_wait_us(snapshot, *target),
            })
            .collect()
    }

    /// Returns whether this VM's last attempt to connect to the target failed.
    ///
    /// The control thread notices a failed target only at its next probes. Until then each read sent
    /// there would spend a retry, and reads would be refused once the retry budget is exhausted,
    /// although another member could serve them. The pool keeps trying to connect and clears the flag
    /// on success.
    fn refuses_connections(&self, snapshot: &GroupSnapshot, target: TargetId) -> bool {
        let published = &snapshot.published;
        published.is_home(target) && self.traffic.pools.target(published, target).pool.is_failing()
    }

    fn predicted_wait_us(&self, snapshot: &GroupSnapshot, target: TargetId) -> u64 {
        if !snapshot.published.is_home(target) {
            return 0;
        }
        let entry = self.traffic.pools.target(&snapshot.published, target);
        entry
            .queue
            .predicted_wait_us(&self.context.admission_request(&snapshot.published, snapshot.group))
    }

    /// Routes a request that is not a declared read: it goes to the primary.
    fn route_to_primary(
        &mut self,
        snapshot: &GroupSnapshot,
        view: &GroupView,
    ) -> Result<Step, Refusal> {
        let Some(leader) = view.leader else {
            return self.wait_for_primary(ErrorKind::NoPrimary);
        };
        if let Some((term, target, kind)) = self.retry_state.primary {
            let is_same = target == leader.target && term == Some(leader.term);
            if is_same && !self.is_reachable_again(snapshot, target, kind) {
                return self.wait_for_primary(kind);
            }
        }
        if view.moving && !self.context.only_reads {
            return self.wait_for_primary(ErrorKind::PrimaryMoving);
        }
        if view.stalled && !self.context.only_reads {
            return Err(ErrorKind::ConfirmationsStalled.into());
        }
        // An isolated former primary still answers, but lacks what the session wrote on a newer one.
        if leader.term < self.context.floor.term {
            return self.wait_for_floor();
        }
        let step = self.send_to(snapshot, leader.target, "primary")?;
        if let Step::Dispatch(..) = step {
            self.traffic.counters.event(Event::WritesRouted);
        }
        Ok(step)
    }

    /// Returns whether a primary that could not be connected to is reachable again. One that refused
    /// the request itself is avoided until the control thread publishes a change.
    fn is_reachable_again(
        &self,
        snapshot: &GroupSnapshot,
        target: TargetId,
        kind: ErrorKind,
    ) -> bool {
        kind == ErrorKind::TargetUnreachable
            && snapshot.published.is_home(target)
            && !self.refuses_connections(snapshot, target)
    }

    fn wait_for_primary(&mut self, kind: ErrorKind) -> Result<Step, Refusal> {
        self.wait_up_to(self.traffic.limits.primary_wait_ms, Event::PrimaryWaits, kind)
    }

    fn wait_for_home(&mut self) -> Result<Step, Refusal> {
        let kind = ErrorKind::TargetUnreachable;
        self.wait_up_to(self.traffic.limits.primary_wait_ms, Event::HomeWaits, kind)
    }

    fn wait_for_floor(&mut self) -> Result<Step, Refusal> {
        let kind = ErrorKind::FloorUnreachable;
        self.wait_up_to(self.traffic.limits.floor_wait_ms, Event::FloorWaits, kind)
    }

    fn wait_up_to(
        &mut self,
        limit_ms: u64,
        event: Event,
        kind: ErrorKind,
    ) -> Result<Step, Refusal> {
        if self.waited() >= Duration::from_millis(limit_ms) {
            return Err(kind.into());
        }
        if !self.counted_wait {
            self.counted_wait = true;
            self.traffic.counters.event(event);
        }
        Ok(Step::Wait(RECHECK_INTERVAL))
    }

    fn send_to(
        &mut self,
        snapshot: &GroupSnapshot,
        target: TargetId,
        reason: &'static str,
    ) -> Result<Step, Refusal> {
        if snapshot.published.is_home(target) {
            return Ok(Step::Dispatch(Destination::Target(target), reason));
        }
        let homes = snapshot.published.homes_of(target);
        self.forward_to_home(snapshot, homes.iter(), Some(target), reason)
    }
}

fn leader_view(leader: Leader) -> LeaderView {
    LeaderView { target: leader.target, term: leader.term }
}

/// Returns a published duration in microseconds, in which zero stands for unknown.
fn nonzero(published: &AtomicU64) -> Option<u64> {
    Some(published.load(Ordering::Relaxed)).filter(|time_us| *time_us > 0)
}

fn nearness(own_zone: Option<ZoneId>, zone: ZoneId) -> Nearness {
    match own_zone == Some(zone) {
        true => Nearness::SameZone,
        false => Nearness::OtherZone,
    }
}
