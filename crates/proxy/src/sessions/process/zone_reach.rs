//! Detects for a whole availability zone that it is partitioned from the others.
//!
//! Each watcher probes one VM of each other zone a few times a second. If no zone answers, it also probes
//! targets there, and publishes the result to the VMs of its zone (`feed`).
//! `skylark_core::process::isolation` defines the rules.

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
use crate::sessions::store::VmAddress;

/// The message of a probe, which is echoed as its answer.
const PROBE: &[u8] = b"REACH\n";

/// Interval between probes of a zone.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of probes to one VM before the next one is probed.
const PROBES_PER_VM: usize = 25;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between probes of targets while no VM of another zone answers.
const TARGET_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a peer may send no probe before its connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a message is a probe.
pub fn is_probe(message: &[u8]) -> bool {
    message == PROBE
}

/// Answers the probes of one peer until it disconnects or is silent.
pub async fn echo(stream: &TcpStream, mut input: BytesMut) {
    // Probes that arrived together with the first one are answered with it.
    input.clear();
    loop {
        if socket::write_all(stream, PROBE, PROBE_TIMEOUT).await.is_err() {
            return;
        }
        match time::timeout(SILENCE_TIMEOUT, socket::read_some(stream, &mut input)).await {
            Ok(Ok(1..)) => input.clear(),
            _ => return,
        }
    }
}

/// The probes of the other zones, while this process is a watcher.
pub struct ReachProber<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    probes: FastMap<Arc<str>, JoinHandle<()>>,
    targets_probed_us: u64,
    /// Number of rounds in which targets were probed.
    next_index: usize,
    /// Whether this process is a watcher. Other processes get the result through the feed.
    is_probing: bool,
}

impl<C> ReachProber<C>
where
    C: Codec,
{
    /// Creates the prober of a process that is no watcher yet.
    pub fn new(gateway: &Arc<Gateway<C>>) -> ReachProber<C> {
        ReachProber {
            gateway: Arc::clone(gateway),
            probes: FastMap::default(),
            targets_probed_us: 0,
            next_index: 0,
            is_probing: false,
        }
    }

    /// Starts and ends probes as this process becomes a watcher or stops being one, and evaluates their
    /// results.
    pub fn check(&mut self) {
        let gateway = &self.gateway;
        let watched = std::mem::replace(&mut self.is_probing, gateway.is_watcher());
        if !self.is_probing && !watched {
            return;
        }
        let zones = if self.is_probing { gateway.other_zones() } else { Vec::new() };
        self.probes.retain(|zone, task| {
            let is_probed = zones.contains(zone);
            if !is_probed {
                task.abort();
            }
            is_probed
        });
        for zone in &zones {
            self.probes
                .entry(Arc::clone(zone))
                .or_insert_with(|| tokio::spawn(probe_zone(Arc::clone(gateway), Arc::clone(zone))));
        }
        let now_us = gateway.clock.now_us();
        let (is_suspect, is_cut_off) = {
            let mut reach = gateway.zone_reach.lock();
            reach.set_zones(&zones);
            (reach.is_suspect(now_us), reach.is_cut_off(now_us))
        };
        let interval_us = TARGET_PROBE_INTERVAL.as_micros() as u64;
        if is_suspect && now_us >= self.targets_probed_us + interval_us {
            self.targets_probed_us = now_us;
            self.next_index = self.next_index.wrapping_add(1);
            probe_targets(gateway, self.next_index);
        }
        if gateway.set_zone_is_cut(is_cut_off) {
            slog::warn!(gateway.log, "reachability of the other availability zones changed";
                "is_cut_off" => is_cut_off, "zones" => zones.len());
        }
    }
}

/// Probes the VMs of a zone one after the other, each for as long as it answers.
async fn probe_zone<C>(gateway: Arc<Gateway<C>>, zone: Arc<str>)
where
    C: Codec,
{
    let mut next_index = jitter::seed_of(&gateway.vm) as usize;
    loop {
        let vms = gateway.vms_of(&zone);
        if let Some(vm) = vms.get(next_index % vms.len().max(1)) {
            probe_vm(&gateway, &zone, vm).await;
        }
        next_index = next_index.wrapping_add(1);
        time::sleep(PROBE_INTERVAL).await;
    }
}

/// Probes one VM until it does not answer, at most [`PROBES_PER_VM`] times.
async fn probe_vm<C>(gateway: &Gateway<C>, zone: &str, vm: &VmAddress)
where
    C: Codec,
{
    gateway.zone_reach.lock().asked(zone, gateway.clock.now_us());
    let connected = time::timeout(PROBE_TIMEOUT, TcpStream::connect(vm.peer_address)).await;
    let Ok(Ok(stream)) = connected else { return };
    let mut input = BytesMut::new();
    for _ in 0..PROBES_PER_VM {
        gateway.zone_reach.lock().asked(zone, gateway.clock.now_us());
        if socket::write_all(&stream, PROBE, PROBE_TIMEOUT).await.is_err() {
            return;
        }
        match time::timeout(PROBE_TIMEOUT, socket::read_some(&stream, &mut input)).await {
            Ok(Ok(1..)) => gateway.zone_reach.lock().answered(zone),
            _ => return,
        }
        input.clear();
        time::sleep(PROBE_INTERVAL).await;
    }
}

/// Probes one target of each other zone, a different one in each round, since the failure of a single target
/// says nothing about its zone.
fn probe_targets<C>(gateway: &Arc<Gateway<C>>, next_index: usize)
where
    C: Codec,
{
    let mut by_zone: FastMap<Arc<str>, Vec<Arc<TargetRecord>>> = FastMap::default();
    for target in gateway.targets().all().filter(|target| target.record.zone != gateway.zone) {
        let record = Arc::clone(&target.record);
        by_zone.entry(Arc::clone(&record.zone)).or_default().push(record);
    }
    for (zone, records) in by_zone {
        let record = Arc::clone(&records[next_index % records.len()]);
        gateway.counters.event(Event::OtherZoneTargetsProbed);
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move {
            let vm = &gateway.vm;
            let reply = target_calls::ask_with_timeout::<C>(
                &record,
                vm,
                &Query::ImmediateStatus,
                PROBE_TIMEOUT,
            );
            if reply.await.shows_life() {
                gateway.zone_reach.lock().answered(&zone);
            }
        });
    }
}
