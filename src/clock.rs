//! The clock that a process measures with.

use rustix::time::{ClockId, clock_gettime};

use crate::prelude::*;

/// Time since its start, which goes on while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Duration);

impl Clock {
    /// A clock that starts now.
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
