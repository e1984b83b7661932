//! Where a request goes: to which member, through which pool.
//!
//! The member is chosen by `skylark_core::request::routing`, from what the control thread publishes.
//! A proxy that does not track the group leaves the choice to one that does.

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
use crate::request::context::RequestContext;
use crate::request::context::Scene;
use crate::request::refusal::Refusal;
use crate::version::published::GroupView;
use crate::version::published::Leader;

/// How often a waiting request looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(2);

/// Where a request goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Place {
    /// To a target that this VM is home to.
    Target(TargetId),
    /// To another proxy, which sends it to the target if one is chosen.
    Peer(VmId, Option<TargetId>),
}

/// A routed request.
#[derive(Clone, Debug)]
pub struct Route {
    /// The version whose indices the route uses.
    pub scene: Scene,
    /// Where it goes.
    pub place: Place,
    /// Why there, in a word that `SHOW skylark.last_reason` shows.
    pub reason: &'static str,
}

impl Route {
    /// Whether another proxy serves the request.
    pub fn is_peer(&self) -> bool {
        matches!(self.place, Place::Peer(..))
    }
}

/// What earlier tries of the same request found out.
#[derive(Clone, Debug, Default)]
pub struct Tried {
    /// Members that failed.
    pub targets: Vec<TargetId>,
    /// Proxies that failed.
    pub peers: Vec<VmId>,
    /// The primary that failed or refused, and the answer if no other takes its place.
    pub primary: Option<(Option<Term>, TargetId, ErrorKind)>,
}

/// Chooses where a request goes; waits a little where that helps.
pub async fn choose(
    traffic: &Arc<Traffic>,
    group_name: &str,
    context: &RequestContext,
    tried: &Tried,
) -> Result<Route, Refusal> {
    let mut search = Search::new(traffic, context, tried);
    loop {
        let scene = Scene::now(traffic, group_name)?;
        let step = search.step(&scene)?;
        let wait = match step {
            Step::Go(place, reason) => return Ok(Route { scene, place, reason }),
            Step::Wait(wait) => wait,
        };
        search.waiting_since.get_or_insert_with(Instant::now);
        if Instant::now() + wait >= context.deadline {
            return Err(ErrorKind::WaitTimedOut.into());
        }
        time::sleep(wait).await;
    }
}

/// Whether a request that has waited for its turn may still go to the target that was chosen for
/// it before.
///
/// Meanwhile the target's data grew older, another primary may lead, or confirmations stall. Sent
/// now it would show data older than the caller accepts, or end as unknown where it could still be
/// refused as not run.
pub fn is_still_fit(traffic: &Traffic, context: &RequestContext, route: &Route) -> bool {
    let Place::Target(target) = route.place else { return true };
    let group_name = &route.scene.published.topology.group(route.scene.group).name;
    let Ok(scene) = Scene::now(traffic, group_name) else { return false };
    // Another version may number targets differently; the request is routed again by it.
    if !Arc::ptr_eq(&scene.published.topology, &route.scene.published.topology) {
        return false;
    }
    let view = scene.published.group(scene.group);
    if !context.is_read() {
        let leads = view.leader.is_some_and(|leader| leader.target == target);
        return leads && (context.only_reads || !view.moving && !view.stalled);
    }
    let tried = Tried::default();
    let search = Search::new(traffic, context, &tried);
    let members = search.members(&scene, view);
    let member = members.iter().find(|member| member.target == target);
    let leader = view.leader.map(leader_view);
    let now_us = traffic.clock.now_us();
    member.is_some_and(|member| {
        routing::shortfall(&search.read_request(), leader, member, now_us).is_none()
    })
}

enum Step {
    Go(Place, &'static str),
    Wait(Duration),
}

struct Search<'a> {
    traffic: &'a Traffic,
    context: &'a RequestContext,
    tried: &'a Tried,
    waiting_since: Option<Instant>,
    spread: u32,
    counted_wait: bool,
}

impl<'a> Search<'a> {
    fn new(traffic: &'a Traffic, context: &'a RequestContext, tried: &'a Tried) -> Search<'a> {
        Search {
            traffic,
            context,
            tried,
            waiting_since: None,
            spread: traffic.next_spread(),
            counted_wait: false,
        }
    }

    fn waited(&self) -> Duration {
        self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn step(&mut self, scene: &Scene) -> Result<Step, Refusal> {
        let view = scene.published.group(scene.group);
        if !view.tracked {
            return self.any_home(scene, view);
        }
        match self.context.is_read() {
            true => self.read(scene, view),
            false => self.at_primary(scene, view),
        }
    }

    /// A proxy that does not track the group leaves the choice to a home of the nearest member, or
    /// of the primary for what may write.
    fn any_home(&mut self, scene: &Scene, view: &GroupView) -> Result<Step, Refusal> {
        let topology = &scene.published.topology;
        let own_zone = topology.zone_id(&self.traffic.zone);
        let primary = view.leader.map(|leader| leader.target);
        let mut members = topology.group(scene.group).members.clone();
        members.sort_by_key(|member| {
            let is_wanted = !self.context.is_read() && primary == Some(*member);
            let is_near = own_zone == Some(topology.target(*member).zone);
            (!is_wanted, !is_near)
        });
        let homes = members.iter().flat_map(|member| scene.published.homes_of(*member));
        let chosen = self.usable_home(scene, homes)?;
        Ok(Step::Go(Place::Peer(chosen, None), "forwarded"))
    }

    fn usable_home<'b, I>(&self, scene: &Scene, homes: I) -> Result<VmId, Refusal>
    where
        I: Iterator<Item = &'b VmId> + Clone,
    {
        if self.context.hops >= self.traffic.limits.max_hops {
            return Err(ErrorKind::TooManyHops.into());
        }
        let topology = &scene.published.topology;
        let mut candidates = homes.filter(|home| {
            Some(**home) != scene.published.own_vm && !self.tried.peers.contains(home)
        });
        // A VM that leaves still answers; it is only better to ask another.
        let staying = candidates.clone().find(|home| !topology.vm(**home).leaving);
        let chosen = staying.or_else(|| candidates.next());
        chosen.copied().ok_or_else(|| ErrorKind::TargetUnreachable.into())
    }

    fn read(&mut self, scene: &Scene, view: &GroupView) -> Result<Step, Refusal> {
        let members = self.members(scene, view);
        let request = self.read_request();
        let now_us = self.traffic.clock.now_us();
        let leader = view.leader.map(leader_view);
        if let Some(wanted) = self.fit_wanted(scene, &request, leader, &members, now_us) {
            return Ok(Step::Go(Place::Target(wanted), "chosen_by_sender"));
        }
        let policy = RoutingPolicy::default();
        let verdict = routing::route(&policy, &request, leader, &members, now_us);
        match verdict {
            ReadVerdict::Send { target, reason } => {
                self.traffic.counters.read(reason);
                Ok(Step::Go(self.place_of(scene, target)?, reason.name()))
            }
            ReadVerdict::Wait { wait_us, reason, .. } => {
                self.count_wait(reason);
                let wait = Duration::from_micros(wait_us).min(LOOK_AGAIN);
                Ok(Step::Wait(wait))
            }
            ReadVerdict::Refuse { kind, retry_after_us, reason } => {
                self.traffic.counters.read(reason);
                Err(Refusal::after(kind, retry_after_us.div_ceil(1_000)))
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
            spread: self.spread,
        }
    }

    /// The member that the sender chose, if this VM is home to it and it is fit.
    fn fit_wanted(
        &self,
        scene: &Scene,
        request: &ReadRequest,
        leader: Option<LeaderView>,
        members: &[MemberView],
        now_us: u64,
    ) -> Option<TargetId> {
        let wanted = scene.published.topology.target_id(self.context.wanted.as_deref()?)?;
        if !scene.published.is_home(wanted) {
            return None;
        }
        let member = members.iter().find(|member| member.target == wanted)?;
        routing::shortfall(request, leader, member, now_us).is_none().then_some(wanted)
    }

    fn members(&self, scene: &Scene, view: &GroupView) -> Vec<MemberView> {
        let topology = &scene.published.topology;
        let own_zone = topology.zone_id(&self.traffic.zone);
        let ids = &topology.group(scene.group).members;
        let pairs = ids.iter().zip(&view.live.members);
        pairs
            .map(|(target, live)| MemberView {
                target: *target,
                applied: *live.applied.lock(),
                fresh_as_of_us: live.fresh_as_of_us.load(Ordering::Acquire),
                lag_us: known_us(&live.lag_us),
                catch_up_us: known_us(&live.catch_up_us),
                reachable: live.reachable.load(Ordering::Relaxed)
                    && !self.tried.targets.contains(target)
                    && !self.refuses_connections(scene, *target),
                leaving: live.leaving.load(Ordering::Relaxed),
                nearness: nearness(own_zone, topology.target(*target).zone),
                predicted_wait_us: self.predicted_wait_us(scene, *target),
            })
            .collect()
    }

    /// Whether this VM's last try to connect to the target failed.
    ///
    /// The control side notices a target that is gone only with its next probes. Reads sent there
    /// meanwhile each spend a retry, and once the budget is spent they are refused although another
    /// member could serve them. The pool's own tries go on and clear the mark.
    fn refuses_connections(&self, scene: &Scene, target: TargetId) -> bool {
        let published = &scene.published;
        published.is_home(target) && self.traffic.pools.target(published, target).pool.is_failing()
    }

    fn predicted_wait_us(&self, scene: &Scene, target: TargetId) -> u64 {
        if !scene.published.is_home(target) {
            return 0;
        }
        let entry = self.traffic.pools.target(&scene.published, target);
        entry.queue.predicted_wait_us(&self.context.turn(&scene.published, scene.group))
    }

    /// What is not declared a read goes to the primary.
    fn at_primary(&mut self, scene: &Scene, view: &GroupView) -> Result<Step, Refusal> {
        let Some(leader) = view.leader else {
            return self.wait_for_primary(ErrorKind::NoPrimary);
        };
        if let Some((term, target, kind)) = self.tried.primary {
            let is_same = target == leader.target && term == Some(leader.term);
            if is_same && !self.is_back(scene, target, kind) {
                return self.wait_for_primary(kind);
            }
        }
        if view.moving && !self.context.only_reads {
            return self.wait_for_primary(ErrorKind::PrimaryMoving);
        }
        if view.stalled && !self.context.only_reads {
            return Err(ErrorKind::ConfirmationsStalled.into());
        }
        // An isolated old primary answers, and lacks what the session wrote at a newer one.
        if leader.term < self.context.floor.term {
            return self.wait_for_floor();
        }
        self.traffic.counters.event(Event::WritesRouted);
        Ok(Step::Go(self.place_of(scene, leader.target)?, "primary"))
    }

    /// Whether a primary that could not be connected to can be again. One that refused the work
    /// itself does so until the control side says otherwise.
    fn is_back(&self, scene: &Scene, target: TargetId, kind: ErrorKind) -> bool {
        kind == ErrorKind::TargetUnreachable
            && scene.published.is_home(target)
            && !self.refuses_connections(scene, target)
    }

    fn wait_for_primary(&mut self, kind: ErrorKind) -> Result<Step, Refusal> {
        self.wait_up_to(self.traffic.limits.primary_wait_ms, Event::PrimaryWaits, kind)
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
        Ok(Step::Wait(LOOK_AGAIN))
    }

    fn place_of(&self, scene: &Scene, target: TargetId) -> Result<Place, Refusal> {
        if scene.published.is_home(target) {
            return Ok(Place::Target(target));
        }
        let homes = scene.published.homes_of(target);
        let home = self.usable_home(scene, homes.iter())?;
        Ok(Place::Peer(home, Some(target)))
    }
}

fn leader_view(leader: Leader) -> LeaderView {
    LeaderView { target: leader.target, term: leader.term }
}

/// A published time; zero stands for unknown.
fn known_us(published: &AtomicU64) -> Option<u64> {
    Some(published.load(Ordering::Relaxed)).filter(|time_us| *time_us > 0)
}

fn nearness(own_zone: Option<ZoneId>, zone: ZoneId) -> Nearness {
    match own_zone == Some(zone) {
        true => Nearness::SameZone,
        false => Nearness::OtherZone,
    }
}
