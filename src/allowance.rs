//! Token bucket: an amount that refills at a rate, up to the size of a burst.

use crate::prelude::*;

/// A token bucket.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Allowance {
    remaining: f64,
    refilled_at: Time,
}

impl Allowance {
    /// Creates an allowance that holds `max`.
    pub(crate) const fn full(now: Time, max: f64) -> Self {
        Self { remaining: max, refilled_at: now }
    }

    /// Adds `rate` for each second since the last refill, up to `max` in total.
    pub(crate) fn refill(&mut self, now: Time, rate: f64, max: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.remaining = (self.remaining + rate * elapsed).min(max);
    }

    /// The amount that remains; negative after [`take`](Self::take) took more than there was.
    pub(crate) const fn remaining(&self) -> f64 {
        self.remaining
    }

    /// Deducts `amount` even if less remains. Later users wait until the debt is refilled.
    pub(crate) const fn take(&mut self, amount: f64) {
        self.remaining -= amount;
    }

    /// Deducts `amount` if that much remains. Returns whether it did.
    pub(crate) fn try_take(&mut self, amount: f64) -> bool {
        let enough = self.remaining >= amount;
        if enough {
            self.take(amount);
        }
        enough
    }
}
