//! Rate limits for log lines. A flood of one event must neither fill the log nor crowd out other events;
//! dropped lines are counted.

use crate::allowance::Allowance;
use crate::prelude::*;

/// Rate limits for the log lines of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Maximum rate of lines per event.
    pub lines_per_s: u32,
    /// Maximum rate of bytes over all lines. Warnings and errors are admitted even beyond it.
    pub bytes_per_s: u32,
}

/// Maximum size of a burst, in seconds at the maximum rate.
const BURST_S: f64 = 2.0;

/// The remaining allowances for log lines, and the counts of dropped lines.
#[derive(Debug)]
pub struct Budget {
    rate: Rate,
    lines: BTreeMap<Event, Allowance>,
    bytes: Allowance,
    dropped: BTreeMap<&'static str, u64>,
}

/// Key in the counts for lines that were admitted but found the queue to the writer thread full.
const UNWRITTEN_KEY: &str = "unwritten";

impl Budget {
    /// Creates a budget whose allowances are full at `now`.
    pub fn new(now: Time, rate: Rate) -> Self {
        Self {
            rate,
            lines: BTreeMap::new(),
            bytes: Allowance::full(now, f64::from(rate.bytes_per_s) * BURST_S),
            dropped: BTreeMap::new(),
        }
    }

    /// Returns whether a line of `event` may be written, and counts it as dropped if not.
    pub fn admit(&mut self, now: Time, event: Event) -> bool {
        let rate = f64::from(self.rate.lines_per_s);
        let lines = self.lines.entry(event).or_insert_with(|| Allowance::full(now, rate * BURST_S));
        lines.refill(now, rate, rate * BURST_S);
        let bytes_rate = f64::from(self.rate.bytes_per_s);
        self.bytes.refill(now, bytes_rate, bytes_rate * BURST_S);
        let bytes_left = self.bytes.remaining() > 0.0 || event.level() <= log::Level::Warn;
        if !bytes_left || !lines.try_take(1.0) {
            *self.dropped.entry(event.name()).or_default() += 1;
            return false;
        }
        true
    }

    /// Charges the size of a written line to the byte allowance.
    pub fn record_written(&mut self, bytes: usize) {
        self.bytes.take(bytes as f64);
    }

    /// Counts a line that was admitted but could not be queued for writing.
    pub fn count_unwritten(&mut self) {
        *self.dropped.entry(UNWRITTEN_KEY).or_default() += 1;
    }

    /// Returns the number of dropped lines by event name since the last call.
    pub fn take_dropped(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.dropped)
    }
}
