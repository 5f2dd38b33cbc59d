//! Fair shares: how the room of a pool is divided among workspaces while there is too little of it.
//!
//! Load answered: one or a few workspaces ask for several times their usual, clients repeat refused
//! requests at once, or a part of the servers is gone, while other workspaces send as ever.
//!
//! Room is measured in milliseconds of server time. Within a priority, waiting requests are ordered
//! by start-time fair queueing: each request gets a virtual start time, which advances for its
//! workspace by cost over weight, and the lowest goes first. What a workspace leaves unused the
//! others have, and a workspace that was idle has saved up nothing. See `docs/design/contention.md`.

mod ledger;
#[cfg(test)]
mod tests;

pub use ledger::{Claim, Ledger, Start, Usage};

use serde::Deserialize;

use crate::quota::Quota;

/// When the room of pools is divided among workspaces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Never: requests of a priority are served in the order in which they came.
    #[default]
    Off,
    /// While the configuration in force has quotas of workspaces.
    WithQuotas,
    /// Always; workspaces without a quota have equal weights.
    Always,
}

/// Weight of a workspace relative to others; finite and above 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Weight(f64);

impl Weight {
    /// Weight of a workspace without a quota, or of the mean quota.
    pub const ONE: Self = Self(1.0);

    /// Returns the weight of a quota, relative to the mean rate of all quotas; `None` if the
    /// workspace has no quota.
    ///
    /// ```
    /// use cardamomvalve::fairness::Weight;
    /// use cardamomvalve::quota::{Quota, Unit};
    /// let quota = Quota { rate: 600, burst: 0, unit: Unit::Requests };
    /// assert_eq!(Weight::of(Some(quota), 300.0).value(), 2.0);
    /// assert_eq!(Weight::of(None, 300.0), Weight::ONE);
    /// ```
    pub fn of(quota: Option<Quota>, mean_rate: f64) -> Self {
        let weight = quota.map(|quota| quota.rate as f64 / mean_rate);
        Self(weight.filter(|weight| weight.is_finite() && *weight > 0.0).unwrap_or(1.0))
    }

    /// Returns the weight as a number.
    pub fn value(self) -> f64 {
        self.0
    }
}
