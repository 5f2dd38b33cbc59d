//! What goes wrong in a replay, and when.

use clap::ValueEnum;

/// One fault of a replay; times are parts of the trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Nothing.
    None,
    /// A fifth of the engines crash to a cold cache at a quarter, and come back after 5 s.
    EngineCrash,
    /// A fifth of all reports lose events.
    EventGaps,
    /// All daemons restart at once at the half.
    HerdRestart,
    /// The engines and daemons of one availability zone are gone from 40% to 60%.
    ZoneLost,
    /// Log service and VM list are down from 30% to 70%.
    PlatformOutage,
    /// Digests between daemons are lost from 30% to 70%.
    DigestsCut,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 7] = [
        Self::None,
        Self::EngineCrash,
        Self::EventGaps,
        Self::HerdRestart,
        Self::ZoneLost,
        Self::PlatformOutage,
        Self::DigestsCut,
    ];

    /// Its name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::EngineCrash => "engine-crash",
            Self::EventGaps => "event-gaps",
            Self::HerdRestart => "herd-restart",
            Self::ZoneLost => "zone-lost",
            Self::PlatformOutage => "platform-outage",
            Self::DigestsCut => "digests-cut",
        }
    }
}
