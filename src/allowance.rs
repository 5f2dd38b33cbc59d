//! An amount that refills with time, as far as a burst may go.

use crate::prelude::*;

/// What is left of it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Allowance {
    left: f64,
    at: Time,
}

impl Allowance {
    /// An allowance of which `most` is left.
    pub(crate) const fn full(now: Time, most: f64) -> Self {
        Self { left: most, at: now }
    }

    /// Adds what came since the last call, at `rate` a second, up to `most`.
    pub(crate) fn refill(&mut self, now: Time, rate: f64, most: f64) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.left = (self.left + rate * passed).min(most);
    }

    /// What is left.
    pub(crate) const fn left(&self) -> f64 {
        self.left
    }

    /// Takes an amount off, also where less is left: the next has to wait for it.
    pub(crate) const fn take(&mut self, amount: f64) {
        self.left -= amount;
    }

    /// Takes an amount off where as much is left; whether it was.
    pub(crate) fn spend(&mut self, amount: f64) -> bool {
        let enough = self.left >= amount;
        if enough {
            self.take(amount);
        }
        enough
    }
}
