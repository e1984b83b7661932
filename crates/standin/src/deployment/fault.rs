//! Named faults of a deployment, and their injection.

use std::fmt;
use std::io;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::network::Faults;
use crate::network::insert_or_remove;
use crate::platform::faults::PlatformFaultState;
use crate::target::options::Lag;
use crate::target::server::TargetServer;

use super::Deployment;

/// A fault to inject or to end, in the JSON form that the endpoint takes.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Isolates a target: it exchanges no bytes with callers or other targets; its connections stay open.
    IsolateTarget {
        /// The name of the target.
        target: String,
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Suspends a target's process; its connections stay open.
    PauseTarget {
        /// The name of the target.
        target: String,
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Kills a target's process: its connections are reset, and new ones refused. Ending the fault
    /// restarts the target with its log and its terms.
    KillTarget {
        /// The name of the target.
        target: String,
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Marks a target as leaving: it accepts no new connections of callers and no new transactions.
    LeaveTarget {
        /// The name of the target.
        target: String,
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Sets the replication delays of a target.
    LagTarget {
        /// The name of the target.
        target: String,
        /// The delay from a record's commit until the target has received it, in microseconds.
        hold_us: u64,
        /// The delay from receiving a record until reads see it, in microseconds.
        #[serde(default)]
        apply_us: u64,
    },
    /// Partitions two zones from each other.
    CutZones {
        /// The name of one zone.
        zone: String,
        /// The name of the other zone.
        other: String,
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Partitions a zone from all other zones and from the platform.
    IsolateZone {
        /// The name of the zone.
        zone: String,
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Makes the platform answer every call with 503.
    PlatformDown {
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Delays each call to the platform.
    PlatformSlow {
        /// The delay, in milliseconds; zero ends the fault.
        slow_ms: u64,
    },
    /// Makes the platform's next updates take effect while their answers are lost.
    PlatformLosesAnswers {
        /// The number of updates affected.
        count: u32,
    },
    /// Partitions a zone from the platform.
    PlatformRefusesZone {
        /// The name of the zone.
        zone: String,
        /// Whether to inject the fault; false ends it.
        on: bool,
    },
    /// Sets the delay after which a change of the VMs becomes visible in the platform's list.
    VmListLag {
        /// The delay, in milliseconds.
        lag_ms: u64,
    },
    /// Ends isolations, pauses, partitions and the platform's faults, and restarts killed targets. The
    /// lag of targets and of the list of VMs stays as set, and so do leaving targets.
    HealAll {},
}

/// The reason why a fault could not be injected or ended.
#[derive(Debug)]
pub enum FaultError {
    /// There is no target of this name.
    UnknownTarget(String),
    /// There is no zone of this name.
    UnknownZone(String),
    /// A restarted target can't listen on its address.
    Listen(io::Error),
}

impl fmt::Display for FaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultError::UnknownTarget(name) => write!(f, "there is no target `{name}`"),
            FaultError::UnknownZone(name) => write!(f, "there is no zone `{name}`"),
            FaultError::Listen(error) => write!(f, "the target can't listen again: {error}"),
        }
    }
}

impl Deployment {
    /// Injects or ends a fault.
    ///
    /// # Errors
    ///
    /// Fails if the named target or zone doesn't exist, or if a target can't be restarted.
    pub async fn inject(&self, fault: &Fault) -> Result<(), FaultError> {
        match fault {
            Fault::IsolateTarget { target, on } => {
                self.require_target(target)?;
                self.network().change(|faults| insert_or_remove(&mut faults.isolated, target, *on));
            }
            Fault::PauseTarget { target, on } => {
                self.require_target(target)?;
                self.network().change(|faults| insert_or_remove(&mut faults.paused, target, *on));
            }
            Fault::KillTarget { target, on: true } => self.require_target(target)?.kill(),
            Fault::KillTarget { target, on: false } => {
                self.require_target(target)?.restart().await.map_err(FaultError::Listen)?;
            }
            Fault::LeaveTarget { target, on } => {
                self.require_target(target)?.target().set_leaving(*on);
            }
            Fault::LagTarget { target, hold_us, apply_us } => {
                let lag = Lag { hold_us: *hold_us, apply_us: *apply_us };
                self.require_target(target)?.target().set_lag(lag);
            }
            Fault::CutZones { zone, other, on } => {
                self.require_zone(zone)?;
                self.require_zone(other)?;
                self.network().change(|faults| faults.set_cut(zone, other, *on));
            }
            Fault::IsolateZone { zone, on } => self.isolate_zone(zone, *on)?,
            Fault::HealAll {} => self.heal_all().await?,
            fault => self.platform_fault(fault),
        }
        Ok(())
    }

    fn platform_fault(&self, fault: &Fault) {
        let platform = self.platform().platform();
        let change = |state: &mut PlatformFaultState| match fault {
            Fault::PlatformDown { on } => state.down = *on,
            Fault::PlatformSlow { slow_ms } => state.slow = Duration::from_millis(*slow_ms),
            Fault::PlatformLosesAnswers { count } => state.lose_answers = *count,
            Fault::PlatformRefusesZone { zone, on } => {
                insert_or_remove(&mut state.refused_zones, zone, *on);
            }
            _ => {}
        };
        platform.faults.change(change);
        if let Fault::VmListLag { lag_ms } = fault {
            platform.store.set_vm_lag(Duration::from_millis(*lag_ms));
        }
    }

    fn isolate_zone(&self, zone: &str, on: bool) -> Result<(), FaultError> {
        self.require_zone(zone)?;
        let others = self.settings().zones.iter().map(|other| &other.zone);
        self.network().change(|faults| {
            for other in others.filter(|other| *other != zone) {
                faults.set_cut(zone, other, on);
            }
        });
        self.platform_fault(&Fault::PlatformRefusesZone { zone: zone.to_owned(), on });
        Ok(())
    }

    async fn heal_all(&self) -> Result<(), FaultError> {
        for server in self.targets() {
            server.restart().await.map_err(FaultError::Listen)?;
        }
        self.network().change(|faults| *faults = Faults::default());
        self.platform().platform().faults.change(|state| *state = PlatformFaultState::default());
        Ok(())
    }

    fn require_target(&self, target: &str) -> Result<&TargetServer, FaultError> {
        self.target(target).ok_or_else(|| FaultError::UnknownTarget(target.to_owned()))
    }

    fn require_zone(&self, zone: &str) -> Result<(), FaultError> {
        let is_known = self.settings().zones.iter().any(|known| known.zone == zone);
        is_known.then_some(()).ok_or_else(|| FaultError::UnknownZone(zone.to_owned()))
    }
}
