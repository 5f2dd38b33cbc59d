//! Fair shares: how the room of a pool is divided among workspaces while there is too little of it.
//!
//! Load answered: one or a few workspaces ask for several times their usual, clients repeat refused
//! requests at once, or a part of the servers is gone, while other workspaces send as ever.
//!
//! Room is measured in milliseconds of server time. Within a priority, waiting requests are ordered
//! by start-time fair queueing: each request gets a virtual start time, which advances for its
//! workspace by cost over weight, and the lowest goes first. What a workspace leaves unused the
//! others have, and a workspace that was idle has saved up nothing. See `docs/design/contention.md`.

mod account;
mod ledger;
mod level;
#[cfg(test)]
mod tests;
mod weight;

pub use ledger::{Claim, Ledger, Start, Total, Usage};
pub use weight::Weight;

use serde::Deserialize;

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

impl Mode {
    /// Whether the room of pools is divided, given whether the configuration has quotas.
    ///
    /// ```
    /// use cardamomvalve::fairness::Mode;
    /// assert!(Mode::WithQuotas.is_on(true) && !Mode::WithQuotas.is_on(false));
    /// ```
    pub fn is_on(self, has_quotas: bool) -> bool {
        match self {
            Self::Off => false,
            Self::WithQuotas => has_quotas,
            Self::Always => true,
        }
    }
}
