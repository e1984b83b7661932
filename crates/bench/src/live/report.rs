//! The live cases by name, and their slopes.

use std::pin::Pin;

use crate::live::cases;
use crate::live::site::SiteError;
use crate::slopes::case::Point;
use crate::slopes::case::Slope;
use crate::slopes::case::Unit;
use crate::slopes::line::Line;
use crate::slopes::measure::Spread;

type Measuring = Pin<Box<dyn Future<Output = Result<Spread, SiteError>>>>;

/// One cost of running proxies.
pub struct LiveCase {
    /// The name, by which a case is chosen.
    pub name: &'static str,
    /// What is measured.
    pub what: &'static str,
    /// What the size counts.
    pub size_of: &'static str,
    /// The sizes.
    pub sizes: &'static [u64],
    /// The unit of the values.
    pub unit: Unit,
    run: fn(u64) -> Measuring,
}

const GROUPS: &[u64] = &[2, 8, 16, 32];
const WRITES: &[u64] = &[0, 100, 200, 400];
const EXCHANGES: &[u64] = &[2, 20, 40, 100];
const VMS: &[u64] = &[4, 8, 16, 32];

/// Every live case.
pub const CASES: &[LiveCase] = &[
    LiveCase {
        name: "live_control_by_groups",
        what: "control processor time a second, idle",
        size_of: "tracked groups",
        sizes: GROUPS,
        unit: Unit::Us,
        run: |size| Box::pin(cases::control_by_groups(size)),
    },
    LiveCase {
        name: "live_member_bytes_by_groups",
        what: "bytes a second to and from members, idle",
        size_of: "tracked groups",
        sizes: GROUPS,
        unit: Unit::Bytes,
        run: |size| Box::pin(cases::member_bytes_by_groups(size)),
    },
    LiveCase {
        name: "live_control_by_writes",
        what: "control processor time a second, one tracked group",
        size_of: "writes a second",
        sizes: WRITES,
        unit: Unit::Us,
        run: |size| Box::pin(cases::control_by_writes(size)),
    },
    LiveCase {
        name: "live_member_bytes_by_writes",
        what: "bytes a second to and from members, one tracked group",
        size_of: "writes a second",
        sizes: WRITES,
        unit: Unit::Bytes,
        run: |size| Box::pin(cases::member_bytes_by_writes(size)),
    },
    LiveCase {
        name: "live_control_by_exchanges",
        what: "control processor time a second at each of four proxies",
        size_of: "exchanges that a proxy begins a second",
        sizes: EXCHANGES,
        unit: Unit::Us,
        run: |size| Box::pin(cases::control_by_exchanges(size)),
    },
    LiveCase {
        name: "live_peer_bytes_by_exchanges",
        what: "bytes a second of exchanges, for each proxy",
        size_of: "exchanges that a proxy begins a second",
        sizes: EXCHANGES,
        unit: Unit::Bytes,
        run: |size| Box::pin(cases::peer_bytes_by_exchanges(size)),
    },
    LiveCase {
        name: "live_platform_calls_by_vms",
        what: "calls a second that reach the platform, idle",
        size_of: "proxies in two zones",
        sizes: VMS,
        unit: Unit::Count,
        run: |size| Box::pin(cases::platform_calls_by_vms(size)),
    },
    LiveCase {
        name: "live_settings_by_vms",
        what: "time until an accepted update is in force at all",
        size_of: "proxies of one zone",
        sizes: VMS,
        unit: Unit::Us,
        run: |size| Box::pin(cases::settings_by_vms(size)),
    },
    LiveCase {
        name: "live_fan_out_cpu_by_vms",
        what: "processor time of all control threads for one update",
        size_of: "proxies of one zone",
        sizes: VMS,
        unit: Unit::Us,
        run: |size| Box::pin(cases::fan_out_cpu_by_vms(size)),
    },
    LiveCase {
        name: "live_memory_by_vms",
        what: "resident memory, idle",
        size_of: "proxies in this process",
        sizes: VMS,
        unit: Unit::Bytes,
        run: |size| Box::pin(cases::memory_by_vms(size)),
    },
    LiveCase {
        name: "live_cold_start_by_vms",
        what: "time until all serve, each call to the platform waits 1 s",
        size_of: "proxies in two zones",
        sizes: VMS,
        unit: Unit::Us,
        run: |size| Box::pin(cases::cold_start_by_vms(size)),
    },
    LiveCase {
        name: "live_cold_start_calls_by_vms",
        what: "calls that reach the platform until all serve, each waits 1 s",
        size_of: "proxies in two zones",
        sizes: VMS,
        unit: Unit::Count,
        run: |size| Box::pin(cases::cold_start_calls_by_vms(size)),
    },
];

impl LiveCase {
    /// Measures at all sizes.
    pub async fn measure(&self) -> Result<Slope, SiteError> {
        let mut points = Vec::new();
        for &size in self.sizes {
            points.push(Point { size, value: (self.run)(size).await? });
        }
        let medians: Vec<(f64, f64)> =
            points.iter().map(|point| (point.size as f64, point.value.median)).collect();
        Ok(Slope {
            name: self.name.to_owned(),
            what: self.what.to_owned(),
            size_of: self.size_of.to_owned(),
            unit: self.unit,
            points,
            line: Line::through(&medians),
        })
    }
}
