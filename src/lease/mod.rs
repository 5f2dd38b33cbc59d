//! The lease on the log: which daemon may order engines about, and with which fencing number.
//!
//! Each record names the last accepted one that its writer has read, and is accepted if and only if
//! that is still the last: so a daemon that has not read a renewal can't take the lease past it. The
//! fence is the offset of the record that took the lease. The holder stops early by its own clock;
//! others take over only a whole [`Terms::ttl`] and [`Terms::margin`] after they read the last
//! accepted record.

mod record;
mod state;
#[cfg(test)]
mod tests;

pub use record::{Body, Record};
pub use state::{Holder, State};

use crate::prelude::*;

/// The times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Time for which an accepted record holds the lease.
    pub ttl: Duration,
    /// Time by which the holder stops early and others wait longer, for clocks that run apart.
    pub margin: Duration,
    /// Time between two renewals.
    pub renewal_interval: Duration,
}

impl Terms {
    /// Times for a log that answers within a second or so.
    pub const DEFAULT: Self = Self {
        ttl: Duration::from_secs(5),
        margin: Duration::from_secs(1),
        renewal_interval: Duration::from_millis(1_500),
    };
}
