//! An amount that refills with time, as far as a burst may go.

use crate::prelude::*;

/// What is left of it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Allowance {
    remaining: f64,
    refilled_at: Time,
}

impl Allowance {
    /// An allowance of which `max` is left.
    pub(crate) const fn full(now: Time, max: f64) -> Self {
        Self { remaining: max, refilled_at: now }
    }

    /// Adds what came since the last call, at `rate` a second, up to `max`.
    pub(crate) fn refill(&mut self, now: Time, rate: f64, max: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.remaining = (self.remaining + rate * elapsed).min(max);
    }

    /// What is left.
    pub(crate) const fn remaining(&self) -> f64 {
        self.remaining
    }

    /// Takes an amount off, also where less is left: the next has to wait for it.
    pub(crate) const fn take(&mut self, amount: f64) {
        self.remaining -= amount;
    }

    /// Takes an amount off where as much is left; whether it was.
    pub(crate) fn try_take(&mut self, amount: f64) -> bool {
        let enough = self.remaining >= amount;
        if enough {
            self.take(amount);
        }
        enough
    }
}
