//! How many log lines may be written: a flood of one kind must neither fill the log nor hide another
//! kind, and lines that are left out are counted.

use crate::allowance::Allowance;
use crate::prelude::*;

/// Bounds on the lines of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Lines a second of each event.
    pub lines_per_s: u32,
    /// Bytes a second of all lines that are not warnings.
    pub bytes_per_s: u32,
}

/// Seconds of an allowance that may be saved up for a burst.
const BURST_S: f64 = 2.0;

/// What may still be written, and what was left out.
#[derive(Debug)]
pub struct Budget {
    rate: Rate,
    lines: BTreeMap<Event, Allowance>,
    bytes: Allowance,
    dropped: BTreeMap<&'static str, u64>,
}

/// The name under which lines are counted that found the queue to the writing thread full.
const UNWRITTEN: &str = "unwritten";

impl Budget {
    /// A budget that is full at `now`.
    pub fn new(now: Time, rate: Rate) -> Self {
        Self {
            rate,
            lines: BTreeMap::new(),
            bytes: Allowance::full(now, f64::from(rate.bytes_per_s) * BURST_S),
            dropped: BTreeMap::new(),
        }
    }

    /// Whether a line of `event` may be written; one that may not is counted.
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

    /// Notes the size of a line that was written.
    pub fn wrote(&mut self, bytes: usize) {
        self.bytes.take(bytes as f64);
    }

    /// Counts a line that was admitted and could not be written.
    pub fn lose(&mut self) {
        *self.dropped.entry(UNWRITTEN).or_default() += 1;
    }

    /// What was left out since the last call, by the event's name.
    pub fn take_dropped(&mut self) -> BTreeMap<&'static str, u64> {
        std::mem::take(&mut self.dropped)
    }
}
