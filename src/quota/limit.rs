//! What a workspace may have.

use crate::prelude::*;

/// The part of its keeper's savings that a new keeper begins with, as long as the old one may be there too.
pub(super) const NEW_KEEPER_CAPACITY_PART: f64 = 0.25;
/// The part of what it is lent that a new keeper counts until the one before has noticed.
pub(super) const NEW_KEEPER_RATE_PART: f64 = 0.5;
/// The part of a workspace's savings that each other scheduler may use.
pub(super) const DEPUTY_CAPACITY_PART: f64 = 0.125;
/// The same for all other daemons together.
pub(super) const OTHERS_CAPACITY_PART: f64 = 0.125;
/// Schedulers beside the keeper.
const DEPUTY_COUNT: f64 = 2.0;
/// What daemons may use at worst at a time, as a multiple of a workspace's savings.
const WORST_CASE_CAPACITIES: f64 =
    1.0 + NEW_KEEPER_CAPACITY_PART + DEPUTY_COUNT * DEPUTY_CAPACITY_PART + OTHERS_CAPACITY_PART;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest answer; a request that tells of none counts as `default_tokens`.
    Tokens {
        /// Tokens of a request that tells of none.
        default_tokens: u32,
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
pub struct Policy {
    /// The window.
    pub window: Duration,
    /// The part by which a window may be over the quota.
    pub overage: f64,
    /// Units by which it may be over besides.
    pub slack: f64,
}

impl Default for Policy {
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
    /// let quota = Quota { rate: 1_000, burst: 500, unit: Unit::Tokens { default_tokens: 200 } };
    /// assert_eq!((quota.units(Some(9_200)), quota.units(None)), (9_200, 200));
    /// ```
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { default_tokens } => tokens.unwrap_or(u64::from(default_tokens)),
        }
    }

    /// Units that may run in any window.
    ///
    /// ```
    /// use cardamomvalve::quota::{Quota, Policy, Unit};
    /// let quota = Quota { rate: 100, burst: 200, unit: Unit::Requests };
    /// assert_eq!(quota.max_in_window(Policy::default()), 1_000.0);
    /// ```
    pub fn max_in_window(&self, policy: Policy) -> f64 {
        let quota = self.rate as f64 * policy.window.as_secs_f64() + self.burst as f64;
        quota * (1.0 + policy.overage) + policy.slack
    }

    /// Units of a window that may come at once: what may be over the quota, or half of the burst where that is more.
    pub(super) fn max_burst(&self, policy: Policy) -> f64 {
        let quota = self.rate as f64 * policy.window.as_secs_f64() + self.burst as f64;
        (self.max_in_window(policy) - quota).max(self.burst as f64 / 2.0)
    }

    /// Units a second that a workspace may have run on and on. Its burst is there in each window, so a workspace
    /// that always asks for more than its rate may have it spread out.
    ///
    /// ```
    /// use cardamomvalve::quota::{Quota, Policy, Unit};
    /// let quota = Quota { rate: 100, burst: 80, unit: Unit::Requests };
    /// assert_eq!(quota.steady_rate(Policy::default()), 105.0);
    /// ```
    pub fn steady_rate(&self, policy: Policy) -> f64 {
        (self.max_in_window(policy) - self.max_burst(policy)) / policy.window.as_secs_f64()
    }

    /// Units that a workspace may save up: as much as leaves room in a window for what runs steadily, and for
    /// whatever daemons may use that do not know of each other; one request in any case.
    pub fn capacity(&self, policy: Policy) -> f64 {
        (self.max_burst(policy) / WORST_CASE_CAPACITIES).max(1.0)
    }
}
