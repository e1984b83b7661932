//! What is measured at running proxies.

use std::time::Duration;
use std::time::Instant;

use skylark_core::version::objects::ObjectKind;
use tokio::time;

use crate::live::site::Site;
use crate::live::site::SiteError;
use crate::live::site::SiteSpec;
use crate::live::threads;
use crate::load::caller::Caller;
use crate::load::caller::CallerSettings;
use crate::load::caller::Declaration;
use crate::slopes::measure;
use crate::slopes::measure::Spread;

/// How long one sample lasts, and how many there are.
const SAMPLE: Duration = Duration::from_millis(1500);
const SAMPLES: usize = 5;

/// How long a site may take to become quiet after its start.
const QUIET: Duration = Duration::from_millis(1500);

const CONTROL_THREAD: &str = "control";
const PATIENCE: Duration = Duration::from_secs(30);
const NS_PER_US: f64 = 1000.0;

/// What a sample reads at a site; its growth over a second is the value.
type Reading = fn(&Site) -> f64;

/// Samples how much a reading grows in a second.
async fn per_second(site: &Site, reading: Reading) -> Spread {
    time::sleep(QUIET).await;
    let mut values = Vec::with_capacity(SAMPLES);
    for _ in 0..SAMPLES {
        let (start, before) = (Instant::now(), reading(site));
        time::sleep(SAMPLE).await;
        values.push((reading(site) - before) / start.elapsed().as_secs_f64());
    }
    Spread::of(values)
}

fn control_us_per_proxy(site: &Site) -> f64 {
    threads::cpu_ns(CONTROL_THREAD) as f64 / NS_PER_US / site.proxies.len() as f64
}

fn member_bytes_per_proxy(site: &Site) -> f64 {
    site.member_bytes.bytes() as f64 / site.proxies.len() as f64
}

fn peer_bytes_per_proxy(site: &Site) -> f64 {
    site.peer_bytes.bytes() as f64 / site.proxies.len() as f64
}

fn platform_calls(site: &Site) -> f64 {
    let counters = &site.deployment.platform().platform().counters;
    let kinds = [
        &counters.gets,
        &counters.puts,
        &counters.snapshots,
        &counters.watches,
        &counters.vm_lists,
    ];
    kinds.into_iter().map(|counter| counter.get() as f64).sum()
}

/// Control processor time of one proxy that tracks this many idle groups, in microseconds a second.
pub async fn control_by_groups(groups: u64) -> Result<Spread, SiteError> {
    let site = Site::start(&SiteSpec { groups: groups as usize, ..SiteSpec::default() }).await?;
    Ok(per_second(&site, control_us_per_proxy).await)
}

/// Bytes between one proxy and the members of this many idle groups, a second.
pub async fn member_bytes_by_groups(groups: u64) -> Result<Spread, SiteError> {
    let groups = groups as usize;
    let site = Site::start(&SiteSpec { groups, relayed: true, ..SiteSpec::default() }).await?;
    Ok(per_second(&site, member_bytes_per_proxy).await)
}

/// Control processor time of a proxy that tracks one group with this many writes a second.
pub async fn control_by_writes(writes: u64) -> Result<Spread, SiteError> {
    let site = Site::start(&SiteSpec { groups: 1, ..SiteSpec::default() }).await?;
    under_writes(&site, writes, control_us_per_proxy).await
}

/// Bytes between a proxy and the members of one group with this many writes a second.
pub async fn member_bytes_by_writes(writes: u64) -> Result<Spread, SiteError> {
    let spec = SiteSpec { groups: 1, relayed: true, ..SiteSpec::default() };
    let site = Site::start(&spec).await?;
    under_writes(&site, writes, member_bytes_per_proxy).await
}

/// Control processor time by exchanges of versions a second that a proxy begins; as many reach it.
pub async fn control_by_exchanges(exchanges: u64) -> Result<Spread, SiteError> {
    let site = Site::start(&exchange_spec(exchanges, false)).await?;
    Ok(per_second(&site, control_us_per_proxy).await)
}

/// Bytes of exchanges of versions, by those that each proxy begins a second.
pub async fn peer_bytes_by_exchanges(exchanges: u64) -> Result<Spread, SiteError> {
    let site = Site::start(&exchange_spec(exchanges, true)).await?;
    Ok(per_second(&site, peer_bytes_per_proxy).await)
}

/// A proxy exchanges with one of its zone and one of another at each interval.
fn exchange_spec(exchanges: u64, relayed: bool) -> SiteSpec {
    let peer_interval_ms = 2 * 1000 / exchanges.max(1);
    SiteSpec { vms: 4, zones: 2, groups: 1, peer_interval_ms, relayed, ..SiteSpec::default() }
}

/// The platform's calls a second while nothing happens, by proxies in two zones.
pub async fn platform_calls_by_vms(vms: u64) -> Result<Spread, SiteError> {
    let spec = SiteSpec { vms: vms as usize, zones: 2, groups: 1, ..SiteSpec::default() };
    let site = Site::start(&spec).await?;
    Ok(per_second(&site, platform_calls).await)
}

/// The time from an accepted update of a service until it is in force at all proxies of one zone,
/// in microseconds.
pub async fn settings_by_vms(vms: u64) -> Result<Spread, SiteError> {
    let spec = SiteSpec { vms: vms as usize, groups: 1, ..SiteSpec::default() };
    let site = Site::start(&spec).await?;
    time::sleep(QUIET).await;
    let mut values = Vec::new();
    for _ in 0..SAMPLES * 3 {
        values.push(time_to_force(&site).await?);
        time::sleep(Duration::from_millis(50)).await;
    }
    Ok(Spread::of(values))
}

async fn time_to_force(site: &Site) -> Result<f64, SiteError> {
    let store = &site.deployment.platform().platform().store;
    let group = Site::group_name(0);
    let stored = store.get(ObjectKind::Group, &group);
    let stored = stored.ok_or_else(|| failed("the group's object is gone"))?;
    let start = Instant::now();
    let put = store.put(ObjectKind::Group, &group, stored.version, stored.body);
    let revision = put.map_err(|_| failed("the group's object was changed by somebody else"))?;
    while site.lowest_revision() < revision {
        if start.elapsed() > PATIENCE {
            return Err(failed("the update is not in force everywhere"));
        }
        time::sleep(Duration::from_millis(1)).await;
    }
    Ok(start.elapsed().as_micros() as f64)
}

/// Processor time of all control threads together for one update of the configuration, in
/// microseconds, by proxies of one zone.
pub async fn fan_out_cpu_by_vms(vms: u64) -> Result<Spread, SiteError> {
    const UPDATES: u32 = 40;
    let spec = SiteSpec { vms: vms as usize, groups: 1, ..SiteSpec::default() };
    let site = Site::start(&spec).await?;
    let idle = per_second(&site, |_| threads::cpu_ns(CONTROL_THREAD) as f64 / NS_PER_US).await;
    let mut values = Vec::new();
    for _ in 0..SAMPLES {
        let (start, before) = (Instant::now(), threads::cpu_ns(CONTROL_THREAD));
        for _ in 0..UPDATES {
            time_to_force(&site).await?;
        }
        time::sleep(Duration::from_millis(100)).await;
        let spent_us = (threads::cpu_ns(CONTROL_THREAD) - before) as f64 / NS_PER_US;
        let idle_us = idle.median * start.elapsed().as_secs_f64();
        values.push((spent_us - idle_us) / f64::from(UPDATES));
    }
    Ok(Spread::of(values))
}

/// Resident memory of the process by proxies in it, each with one traffic thread, in bytes.
pub async fn memory_by_vms(vms: u64) -> Result<Spread, SiteError> {
    let spec = SiteSpec { vms: vms as usize, groups: 1, ..SiteSpec::default() };
    let before_bytes = measure::resident_bytes();
    let site = Site::start(&spec).await?;
    time::sleep(QUIET).await;
    let grown = measure::resident_bytes().saturating_sub(before_bytes);
    // Kept until the process ends: pages that a smaller site gave back would make a larger one look
    // smaller.
    std::mem::forget(site);
    Ok(Spread::exact(grown as f64))
}

/// The time until all proxies of two zones serve, when all start at once and each call to the
/// platform waits a second, in microseconds.
pub async fn cold_start_by_vms(vms: u64) -> Result<Spread, SiteError> {
    let start = Instant::now();
    let spec = SiteSpec {
        vms: vms as usize,
        zones: 2,
        groups: 1,
        platform_slow_ms: 1000,
        ..SiteSpec::default()
    };
    Site::start(&spec).await?;
    Ok(Spread::exact(start.elapsed().as_micros() as f64))
}

/// The platform's calls from the start of all proxies until they serve, under the same conditions.
pub async fn cold_start_calls_by_vms(vms: u64) -> Result<Spread, SiteError> {
    let spec = SiteSpec {
        vms: vms as usize,
        zones: 2,
        groups: 1,
        platform_slow_ms: 1000,
        ..SiteSpec::default()
    };
    let site = Site::start(&spec).await?;
    Ok(Spread::exact(platform_calls(&site)))
}

async fn under_writes(site: &Site, writes: u64, reading: Reading) -> Result<Spread, SiteError> {
    let address = site.proxies[0].listen_address();
    let group = Site::group_name(0);
    let connect = || async {
        let settings = CallerSettings { address, group: &group, user: "", session: None };
        Caller::connect(&settings).await.map_err(|refusal| failed(refusal.reason.name()))
    };
    let mut first = connect().await?;
    let create = "CREATE TABLE IF NOT EXISTS loans (chair INTEGER)";
    let created = first.run(Declaration::default(), create, PATIENCE).await;
    created.map_err(|refusal| failed(refusal.reason.name()))?;
    let mut writers = tokio::task::JoinSet::new();
    // A writer keeps to its pace as long as a write takes less than 20 ms.
    let each = 50;
    for _ in 0..writes / each {
        let caller = connect().await?;
        writers.spawn(write_steadily(caller, each));
    }
    let value = per_second(site, reading).await;
    writers.abort_all();
    Ok(value)
}

async fn write_steadily(mut caller: Caller, per_s: u64) {
    let mut ticks = time::interval(Duration::from_micros(1_000_000 / per_s));
    loop {
        ticks.tick().await;
        let write = "INSERT INTO loans VALUES (7)";
        if caller.run(Declaration::default(), write, PATIENCE).await.is_err() {
            return;
        }
    }
}

fn failed(reason: &str) -> SiteError {
    SiteError::new(reason)
}
