//! Lease on the log. It selects the daemon that may send orders to engines, and its fence.
//!
//! Each record names the offset up to which its writer has read the log, and is accepted if and only if it lies there.
//! A daemon that has not read a renewal thus can't take the lease. Whether a record is accepted follows from the record
//! alone, so that all daemons agree also once the log has dropped all earlier ones. The fence is the offset of the record that took the lease. The holder stops early by its own
//! clock. Others take the lease only [`Terms::ttl`] plus [`Terms::margin`] after they read the last
//! accepted record.

mod record;
mod state;
#[cfg(test)]
mod tests;

pub use record::{Body, Record};
pub use state::{Holder, State};

use crate::prelude::*;

/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Time for which the lease lasts after an accepted record.
    pub ttl: Duration,
    /// Time by which the holder stops early and others wait longer, to allow for clock drift.
    pub margin: Duration,
    /// Time between two renewals.
    pub renewal_interval: Duration,
}

impl Terms {
    /// Durations for a log that answers within about a second.
    pub const DEFAULT: Self = Self {
        ttl: Duration::from_secs(5),
        margin: Duration::from_secs(1),
        renewal_interval: Duration::from_millis(1_500),
    };
}
