//! Limits of a workspace, and the bucket sizes that follow from them.

use crate::prelude::*;

/// Part of the capacity that a new keeper begins with while the old one may still be active.
pub(super) const NEW_KEEPER_CAPACITY_PART: f64 = 0.25;
/// Part of its lent rate that a new keeper uses until the old one has noticed the change.
pub(super) const NEW_KEEPER_RATE_PART: f64 = 0.5;
/// Part of the capacity that each other scheduler may use.
pub(super) const DEPUTY_CAPACITY_PART: f64 = 0.125;
/// Part of the capacity for all other daemons together.
pub(super) const OTHERS_CAPACITY_PART: f64 = 0.125;
/// Number of schedulers besides the keeper.
const DEPUTY_COUNT: f64 = 2.0;
/// Max units that all daemons may use at once, as a multiple of the capacity.
const WORST_CASE_CAPACITIES: f64 =
    1.0 + NEW_KEEPER_CAPACITY_PART + DEPUTY_COUNT * DEPUTY_CAPACITY_PART + OTHERS_CAPACITY_PART;

/// The unit that a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest answer; a request without token counts uses
    /// `default_tokens`.
    Tokens {
        /// Tokens of a request without token counts.
        default_tokens: u32,
    },
}

/// Limit of a workspace: `rate` for each second of any window, plus `burst`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Units a second.
    pub rate: u64,
    /// Additional units per window.
    pub burst: u64,
    /// The unit counted.
    pub unit: Unit,
}

/// How operators compare quotas with actual usage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Length of the window.
    pub window: Duration,
    /// Fraction by which a window may exceed the quota.
    pub overage: f64,
    /// Additional units by which it may exceed the quota.
    pub slack: f64,
}

impl Default for Policy {
    /// A window of eight seconds without tolerance.
    fn default() -> Self {
        Self { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 }
    }
}

impl Quota {
    /// Returns the units of a request, by its token count if it has one.
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

    /// Returns the max units in any window.
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

    /// Returns the max units of a window that may arrive at once: the tolerance over the quota, or
    /// half of the burst if that is more.
    pub(super) fn max_burst(&self, policy: Policy) -> f64 {
        let quota = self.rate as f64 * policy.window.as_secs_f64() + self.burst as f64;
        (self.max_in_window(policy) - quota).max(self.burst as f64 / 2.0)
    }

    /// Returns the sustained rate in units per second. The burst is available in each window, so a
    /// workspace that always demands more than its rate may spread it out.
    ///
    /// ```
    /// use cardamomvalve::quota::{Quota, Policy, Unit};
    /// let quota = Quota { rate: 100, burst: 80, unit: Unit::Requests };
    /// assert_eq!(quota.steady_rate(Policy::default()), 105.0);
    /// ```
    pub fn steady_rate(&self, policy: Policy) -> f64 {
        (self.max_in_window(policy) - self.max_burst(policy)) / policy.window.as_secs_f64()
    }

    /// Returns the bucket capacity: as much as leaves room in a window for the sustained rate, and
    /// for what daemons may use that don't know of each other; one request in any case.
    pub fn capacity(&self, policy: Policy) -> f64 {
        (self.max_burst(policy) / WORST_CASE_CAPACITIES).max(1.0)
    }
}
