//! Noticing for a whole availability zone that it is cut off from the others.
//!
//! Each VM that watches the store for its zone asks one VM of each other zone a few times a second. Where none
//! of the zones answers, it asks targets there as well, and tells the VMs of its zone what comes of it along
//! with what else there is to tell (`feed`). `skylark_core::process::isolation` decides.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use skylark_core::FastMap;
use skylark_core::process::jitter;
use skylark_core::version::routes::TargetRecord;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

use crate::connection::socket;
use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::Said;
use crate::sessions::store::VmAddress;

/// The question, which is its own answer.
const QUESTION: &[u8] = b"REACH\n";

/// How often each other zone is asked.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// How many questions one VM is asked before the next one is.
const QUESTIONS_EACH: usize = 25;

/// The time that a VM of another zone has to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);

/// How often it is looked at what was heard.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// How often targets are asked while no VM of another zone answers.
const TARGETS_INTERVAL: Duration = Duration::from_millis(500);

/// How long one who asks may stay silent before its connection is closed.
const SILENCE: Duration = Duration::from_secs(5);

/// Whether another VM asks whether this one is reached.
pub fn is_question(message: &[u8]) -> bool {
    message == QUESTION
}

/// Answers one who asks until it goes.
pub async fn answer(stream: &TcpStream, mut input: BytesMut) {
    // What came with the first question counts as asked already.
    input.clear();
    loop {
        if socket::write_all(stream, QUESTION, ANSWER_LIMIT).await.is_err() {
            return;
        }
        match time::timeout(SILENCE, socket::read_some(stream, &mut input)).await {
            Ok(Ok(1..)) => input.clear(),
            _ => return,
        }
    }
}

/// Asks other zones for as long as this process watches for its own.
pub async fn follow<C>(gateway: Arc<Gateway<C>>)
where
    C: Codec,
{
    let mut follower = Follower {
        gateway,
        asking: FastMap::default(),
        targets_asked_us: 0,
        turn: 0,
        watches: false,
    };
    let mut looks = time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        follower.look();
    }
}

/// The questions to the other zones.
struct Follower<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    asking: FastMap<Arc<str>, JoinHandle<()>>,
    targets_asked_us: u64,
    /// How often targets were asked.
    turn: usize,
    /// Whether this process watches for its zone. One that does not is told.
    watches: bool,
}

impl<C> Follower<C>
where
    C: Codec,
{
    fn look(&mut self) {
        let gateway = &self.gateway;
        let watched = std::mem::replace(&mut self.watches, gateway.is_watcher());
        if !self.watches && !watched {
            return;
        }
        let zones = if self.watches { gateway.other_zones() } else { Vec::new() };
        self.asking.retain(|zone, task| {
            let is_asked = zones.contains(zone);
            if !is_asked {
                task.abort();
            }
            is_asked
        });
        for zone in &zones {
            self.asking
                .entry(Arc::clone(zone))
                .or_insert_with(|| tokio::spawn(ask_zone(Arc::clone(gateway), Arc::clone(zone))));
        }
        let now_us = gateway.clock.now_us();
        let (is_suspect, is_cut_off) = {
            let mut reach = gateway.zone_reach.lock();
            reach.set_zones(&zones);
            (reach.is_suspect(now_us), reach.is_cut_off(now_us))
        };
        let interval_us = TARGETS_INTERVAL.as_micros() as u64;
        if is_suspect && now_us >= self.targets_asked_us + interval_us {
            self.targets_asked_us = now_us;
            self.turn = self.turn.wrapping_add(1);
            ask_targets(gateway, self.turn);
        }
        if gateway.set_zone_is_cut(is_cut_off) {
            slog::warn!(gateway.log, "no other availability zone is reached by this one's watcher";
                "is_cut_off" => is_cut_off, "zones" => zones.len());
        }
    }
}

/// Asks one VM of a zone after the other, each as long as it answers.
async fn ask_zone<C>(gateway: Arc<Gateway<C>>, zone: Arc<str>)
where
    C: Codec,
{
    let mut turn = jitter::seed_of(&gateway.vm) as usize;
    loop {
        let vms = gateway.vms_of(&zone);
        if let Some(vm) = vms.get(turn % vms.len().max(1)) {
            ask_vm(&gateway, &zone, vm).await;
        }
        turn = turn.wrapping_add(1);
        time::sleep(ASK_INTERVAL).await;
    }
}

/// Asks one VM until it does not answer, or for long enough.
async fn ask_vm<C>(gateway: &Gateway<C>, zone: &str, vm: &VmAddress)
where
    C: Codec,
{
    gateway.zone_reach.lock().asked(zone, gateway.clock.now_us());
    let connected = time::timeout(ANSWER_LIMIT, TcpStream::connect(vm.peer_address)).await;
    let Ok(Ok(stream)) = connected else { return };
    let mut input = BytesMut::new();
    for _ in 0..QUESTIONS_EACH {
        gateway.zone_reach.lock().asked(zone, gateway.clock.now_us());
        if socket::write_all(&stream, QUESTION, ANSWER_LIMIT).await.is_err() {
            return;
        }
        match time::timeout(ANSWER_LIMIT, socket::read_some(&stream, &mut input)).await {
            Ok(Ok(1..)) => gateway.zone_reach.lock().answered(zone),
            _ => return,
        }
        input.clear();
        time::sleep(ASK_INTERVAL).await;
    }
}

/// Asks one target of each other zone, the next one each time: one that is dead says nothing of its zone.
fn ask_targets<C>(gateway: &Arc<Gateway<C>>, turn: usize)
where
    C: Codec,
{
    let mut by_zone: FastMap<Arc<str>, Vec<Arc<TargetRecord>>> = FastMap::default();
    for target in gateway.targets().all().filter(|target| target.record.zone != gateway.zone) {
        let record = Arc::clone(&target.record);
        by_zone.entry(Arc::clone(&record.zone)).or_default().push(record);
    }
    for (zone, records) in by_zone {
        let record = Arc::clone(&records[turn % records.len()]);
        gateway.counters.event(Event::OtherZonesAsked);
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move {
            let vm = &gateway.vm;
            let said =
                target_calls::ask_within::<C>(&record, vm, &Query::ImmediateStatus, ANSWER_LIMIT);
            if said.await != Said::Nothing {
                gateway.zone_reach.lock().answered(&zone);
            }
        });
    }
}
