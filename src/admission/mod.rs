//! Admission control: the queue of a pool, its order, and when requests are refused.

mod budget;
mod queue;
#[cfg(test)]
mod tests;

pub use budget::Budget;
pub use queue::{Entry, Full, Queue};

use crate::manifest::Priority;

/// Returns how many of a server's `max_in_flight` slots requests of `priority` may use.
///
/// The rest is reserved for higher classes, so that these find a server that is not busy with a
/// long prefill of a lower one.
///
/// ```
/// use cardamomvalve::admission::max_slots;
/// use cardamomvalve::manifest::Priority;
/// assert_eq!(max_slots(Priority::Urgent, 8), 8);
/// assert_eq!(max_slots(Priority::Background, 8), 4);
/// ```
pub fn max_slots(priority: Priority, max_in_flight: u32) -> u32 {
    let reserved = match priority {
        Priority::Urgent => 0,
        Priority::Normal => max_in_flight / 8,
        Priority::Background => max_in_flight / 2,
    };
    (max_in_flight - reserved).max(1)
}

/// Converts milliseconds to whole seconds for a `Retry-After`, from 1 to 60.
///
/// ```
/// assert_eq!(cardamomvalve::admission::retry_after_seconds(1_200.0), 2);
/// ```
pub fn retry_after_seconds(ms: f64) -> u32 {
    (ms / 1_000.0).ceil().clamp(1.0, 60.0) as u32
}
