//! The monotonic clock of a process.

use rustix::time::{ClockId, clock_gettime};

use crate::prelude::*;

/// Measures the time since its start, including time for which the VM was suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Duration);

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self(boot_time())
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        boot_time().saturating_sub(self.0)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(time.tv_nsec).unwrap_or(0))
}
