//! What a workspace may have.

use crate::prelude::*;

/// The part of its keeper's savings that a new keeper begins with, as long as the old one may be there too.
pub(super) const TAKEN_OVER: f64 = 0.25;
/// The part of what it is lent that a new keeper counts until the one before has noticed.
pub(super) const TAKING_OVER: f64 = 0.5;
/// The part of a workspace's savings that each other scheduler may use.
pub(super) const DEPUTY: f64 = 0.125;
/// The same for all other daemons together.
pub(super) const OTHERS: f64 = 0.125;
/// Schedulers beside the keeper.
const DEPUTIES: f64 = 2.0;
/// What daemons may use at worst at a time, as a multiple of a workspace's savings.
const AT_WORST: f64 = 1.0 + TAKEN_OVER + DEPUTIES * DEPUTY + OTHERS;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest answer; a request that tells of none counts as `plain`.
    Tokens {
        /// Tokens of a request that tells of none.
        plain: u32,
    },
}

/// What a workspace may have in any window: `rate` for each of its seconds, and `burst` besides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Units a second.
    pub rate: u64,
    /// Units besides.
    pub burst: u64,
    /// What is counted.
    pub unit: Unit,
}

/// How operators hold quotas against what ran.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The window.
    pub window: Duration,
    /// The part by which a window may be over the quota.
    pub overage: f64,
    /// Units by which it may be over besides.
    pub slack: f64,
}

impl Default for Terms {
    /// Eight seconds, and nothing beyond the quota.
    fn default() -> Self {
        Self { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 }
    }
}

impl Quota {
    /// Units that a request counts as, by its tokens where it tells of some.
    ///
    /// ```
    /// use cardamomvalve::quota::{Quota, Unit};
    /// let quota = Quota { rate: 1_000, burst: 500, unit: Unit::Tokens { plain: 200 } };
    /// assert_eq!((quota.units(Some(9_200)), quota.units(None)), (9_200, 200));
    /// ```
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)),
        }
    }

    /// Units that may run in any window.
    ///
    /// ```
    /// use cardamomvalve::quota::{Quota, Terms, Unit};
    /// let quota = Quota { rate: 100, burst: 200, unit: Unit::Requests };
    /// assert_eq!(quota.most(Terms::default()), 1_000.0);
    /// ```
    pub fn most(&self, terms: Terms) -> f64 {
        let quota = self.rate as f64 * terms.window.as_secs_f64() + self.burst as f64;
        quota * (1.0 + terms.overage) + terms.slack
    }

    /// Units of a window that may come at once: what may be over the quota, or half of the burst where that is more.
    pub(super) fn at_once(&self, terms: Terms) -> f64 {
        let quota = self.rate as f64 * terms.window.as_secs_f64() + self.burst as f64;
        (self.most(terms) - quota).max(self.burst as f64 / 2.0)
    }

    /// Units a second that a workspace may have run on and on. Its burst is there in each window, so a workspace
    /// that always asks for more than its rate may have it spread out.
    ///
    /// ```
    /// use cardamomvalve::quota::{Quota, Terms, Unit};
    /// let quota = Quota { rate: 100, burst: 80, unit: Unit::Requests };
    /// assert_eq!(quota.steady(Terms::default()), 105.0);
    /// ```
    pub fn steady(&self, terms: Terms) -> f64 {
        (self.most(terms) - self.at_once(terms)) / terms.window.as_secs_f64()
    }

    /// Units that a workspace may save up: as much as leaves room in a window for what runs steadily, and for
    /// whatever daemons may use that do not know of each other; one request in any case.
    pub fn saved(&self, terms: Terms) -> f64 {
        (self.at_once(terms) / AT_WORST).max(1.0)
    }
}
