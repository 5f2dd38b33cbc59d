//! Weights of workspaces.

use crate::quota::Quota;

/// Millionths in a weight of 1.
const ONE_MILLIONTHS: u32 = 1_000_000;
/// Bounds of a weight: a wrong quota neither starves its workspace nor gives it a whole pool.
const MIN_WEIGHT: f64 = 0.01;
const MAX_WEIGHT: f64 = 100.0;

/// Weight of a workspace relative to others, from 0.01 to 100; kept in millionths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u32);

impl Default for Weight {
    fn default() -> Self {
        Self::ONE
    }
}

impl Weight {
    /// Weight of a workspace without a quota, or of the mean quota.
    pub const ONE: Self = Self(ONE_MILLIONTHS);

    /// Returns the weight closest to a number; `None` unless that is finite and above 0.
    ///
    /// ```
    /// use cardamomvalve::fairness::Weight;
    /// assert_eq!(Weight::new(2.5).map(Weight::value), Some(2.5));
    /// assert_eq!(Weight::new(f64::NAN), None);
    /// ```
    pub fn new(value: f64) -> Option<Self> {
        let is_valid = value.is_finite() && value > 0.0;
        let millionths = value.clamp(MIN_WEIGHT, MAX_WEIGHT) * f64::from(ONE_MILLIONTHS);
        is_valid.then_some(Self(millionths.round() as u32))
    }

    /// Returns the weight of a quota, relative to `mean_rate`, the mean rate of the quotas with the
    /// same unit; 1 if the workspace
    /// has no quota.
    ///
    /// ```
    /// use cardamomvalve::fairness::Weight;
    /// use cardamomvalve::quota::{Quota, Unit};
    /// let quota = Quota { rate: 600, burst: 0, unit: Unit::Requests };
    /// assert_eq!(Weight::of(Some(quota), 300.0).value(), 2.0);
    /// assert_eq!(Weight::of(None, 300.0), Weight::ONE);
    /// ```
    pub fn of(quota: Option<Quota>, mean_rate: f64) -> Self {
        quota.and_then(|quota| Self::new(quota.rate as f64 / mean_rate)).unwrap_or(Self::ONE)
    }

    /// Returns the weight as a number.
    pub fn value(self) -> f64 {
        f64::from(self.0) / f64::from(ONE_MILLIONTHS)
    }

    /// The weight in millionths, for sums without rounding.
    pub(super) fn millionths(self) -> u64 {
        u64::from(self.0)
    }

    /// Virtual microseconds in which the workspace is given some microseconds.
    pub(super) fn virtual_us(self, us: u64) -> u64 {
        us.saturating_mul(u64::from(ONE_MILLIONTHS)) / self.millionths()
    }
}
