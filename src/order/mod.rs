//! Orders to engines, to load the weights versions in the manifest and to unload other versions where
//! that is safe.

mod plan;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use plan::{Assignment, Permissions, plan};

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number. Engines that check it refuse a lower one than they have seen.
    pub fence: u64,
    /// Action to execute.
    #[serde(flatten)]
    pub action: Action,
}

/// Action of an engine. All actions are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum Action {
    /// Load a weights version of a model, in addition to the loaded ones.
    Load {
        /// The model.
        model: String,
        /// The weights version.
        weights: String,
        /// The adapter, if any.
        adapter: Option<String>,
    },
    /// Unload a weights version of a model.
    Unload {
        /// The model.
        model: String,
        /// The weights version.
        weights: String,
    },
}
