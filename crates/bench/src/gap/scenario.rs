//! The failure scenarios of a run.

/// A way for a group to lose its primary.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scenario {
    /// The primary's process is killed.
    Killed,
    /// The primary's availability zone is partitioned from the other zones and from the platform.
    Isolated,
    /// The primary's process is paused. Its connections stay open.
    Paused,
    /// The platform goes down, and immediately afterwards the primary is killed.
    PlatformDown,
    /// The primary is killed, then the proxy that drives the failover is killed before completing it.
    DriverKilled,
    /// An operator requests a planned move of the primary to another member.
    PlannedMove,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 6] = [
        Scenario::Killed,
        Scenario::Isolated,
        Scenario::Paused,
        Scenario::PlatformDown,
        Scenario::DriverKilled,
        Scenario::PlannedMove,
    ];

    /// Returns the name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Killed => "killed",
            Scenario::Isolated => "isolated",
            Scenario::Paused => "paused",
            Scenario::PlatformDown => "platform-down",
            Scenario::DriverKilled => "driver-killed",
            Scenario::PlannedMove => "planned-move",
        }
    }

    /// Returns the scenario with the given name.
    pub fn from_name(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|scenario| scenario.name() == name)
    }
}
