//! Faults of a deployment, by name.

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

/// A fault to bring about or to end.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// A target exchanges no bytes with anybody; its connections stay open.
    IsolateTarget {
        /// The target.
        target: String,
        /// Whether the fault is on.
        on: bool,
    },
    /// A target's process is stopped; its connections stay open.
    PauseTarget {
        /// The target.
        target: String,
        /// Whether the fault is on.
        on: bool,
    },
    /// A target's process is gone: its connections are reset, and new ones refused. Ending the
    /// fault starts it again with its log and its terms.
    KillTarget {
        /// The target.
        target: String,
        /// Whether the fault is on.
        on: bool,
    },
    /// A target is leaving.
    LeaveTarget {
        /// The target.
        target: String,
        /// Whether the fault is on.
        on: bool,
    },
    /// Sets the replication's delays towards a target.
    LagTarget {
        /// The target.
        target: String,
        /// Until it holds a record, in microseconds.
        hold_us: u64,
        /// From then until reads see it, in microseconds.
        #[serde(default)]
        apply_us: u64,
    },
    /// Two zones exchange no bytes.
    CutZones {
        /// One zone.
        zone: String,
        /// The other zone.
        other: String,
        /// Whether the fault is on.
        on: bool,
    },
    /// A zone exchanges no bytes with the other zones and the platform.
    IsolateZone {
        /// The zone.
        zone: String,
        /// Whether the fault is on.
        on: bool,
    },
    /// The platform answers every call as unavailable.
    PlatformDown {
        /// Whether the fault is on.
        on: bool,
    },
    /// Each call to the platform waits first.
    PlatformSlow {
        /// How long, in milliseconds.
        slow_ms: u64,
    },
    /// The platform's next updates take effect and their answers are lost.
    PlatformLosesAnswers {
        /// How many.
        count: u32,
    },
    /// The platform gets no calls from a zone.
    PlatformRefusesZone {
        /// The zone.
        zone: String,
        /// Whether the fault is on.
        on: bool,
    },
    /// Sets how long a change of the VMs takes to show in the platform's list.
    VmListLag {
        /// How long, in milliseconds.
        lag_ms: u64,
    },
    /// Ends isolation, pauses, cuts and all of the platform's faults; starts killed targets.
    HealAll {},
}

/// Why a fault could not be brought about.
#[derive(Debug)]
pub enum FaultError {
    /// There is no target of this name.
    UnknownTarget(String),
    /// There is no zone of this name.
    UnknownZone(String),
    /// A target can't listen again.
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
    /// Brings a fault about, or ends it.
    ///
    /// # Errors
    ///
    /// When it names what isn't there, or when a target can't be started again.
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
