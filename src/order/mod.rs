//! Orders to engines: the weights versions that the manifest asks for are loaded, and those that it
//! no longer names are unloaded where that is safe.

mod plan;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

pub use plan::{Assignment, Permissions, plan};

/// One order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number; engines that check it refuse a lower one than they have seen.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// What an engine is ordered to do. Both are convergent: done twice, they change nothing more.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum Action {
    /// Load a weights version of a model, beside those that are loaded.
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
