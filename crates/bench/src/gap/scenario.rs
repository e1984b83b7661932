//! What fails in a run.

/// A way for a group to lose its primary.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scenario {
    /// The primary's process is killed.
    Killed,
    /// The primary's zone is cut off from the other zones and from the platform.
    Isolated,
    /// The primary's process is stopped; its connections stay open.
    Paused,
    /// The platform goes down and the primary is killed at the same moment.
    PlatformDown,
    /// The primary is killed, and then the proxy that drives the change, midway.
    DriverKilled,
    /// An operator asks for another primary.
    PlannedMove,
}

impl Scenario {
    /// Every scenario.
    pub const ALL: [Scenario; 6] = [
        Scenario::Killed,
        Scenario::Isolated,
        Scenario::Paused,
        Scenario::PlatformDown,
        Scenario::DriverKilled,
        Scenario::PlannedMove,
    ];

    /// The name on the command line and in reports.
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

    /// The scenario with this name.
    pub fn from_name(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|scenario| scenario.name() == name)
    }
}
