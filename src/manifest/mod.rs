//! The manifest, in which operators define workspaces, models, services and pools.
//!
//! A record names the generation that it replaces. It is accepted if and only if this generation is
//! in force and the body is valid, which makes the manifest in force depend on the log order alone.

mod checks;
mod record;
mod state;
#[cfg(test)]
mod tests;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use checks::{Fault, parse};
pub use record::{Body, Record, merge_patch};
pub use state::{Revision, State, Verdict};

use crate::prelude::*;

/// Version of the manifest format and of its validation rules.
pub const FORMAT: u32 = 1;
/// Default for [`Manifest::idempotency_window_s`].
pub const DEFAULT_IDEMPOTENCY_WINDOW_S: u64 = 86_400;

/// Everything that operators decide.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Version of the format; 1.
    pub format: u32,
    /// Pools of backend servers, by the name that the VM list gives them.
    pub pools: BTreeMap<String, Pool>,
    /// Models, by name.
    #[serde(default)]
    pub models: BTreeMap<String, Model>,
    /// Plain services, by name.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// Workspaces, by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Seconds for which an idempotency key is remembered.
    #[serde(default = "default_idempotency_window_s")]
    pub idempotency_window_s: u64,
}

fn default_idempotency_window_s() -> u64 {
    DEFAULT_IDEMPOTENCY_WINDOW_S
}

/// Limits of one pool of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Requests that one backend server is given at a time, over all routers.
    pub max_in_flight: u32,
    /// Requests that one router lets wait for this pool.
    pub max_waiting: u32,
    /// Whether its engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// One model, in the version that is served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The pool whose engines serve it.
    pub pool: String,
    /// The weights version that answers must come from.
    pub weights: String,
    /// Versions that engines are to load besides, before they are put in force.
    #[serde(default)]
    pub preload: Vec<String>,
    /// The adapter; none by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// What placement minimises first.
    pub objective: Objective,
    /// Milliseconds within which an answer must begin, where the caller does not say.
    pub default_deadline_ms: u64,
}

/// What placement minimises first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Objective {
    /// Prefill of tokens that some engine already held.
    WastedRecomputation,
    /// Tail latency of the time to first token.
    TimeToFirstToken,
}

/// One plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool whose backend servers run it.
    pub pool: String,
    /// HTTP methods whose requests may be repeated safely.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
    /// Whether the service itself runs a request with a known Idempotency-Key only once.
    #[serde(default)]
    pub deduplicates: bool,
    /// Milliseconds within which a request must be sent, where the caller does not say.
    pub default_deadline_ms: u64,
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 digests of its bearer keys, 64 hexadecimal digits each.
    pub keys_sha256: Vec<String>,
    /// Its share of busy servers relative to other workspaces; 1 to 1000.
    pub share: u32,
    /// The models granted to it.
    #[serde(default)]
    pub models: Vec<String>,
    /// The services granted to it.
    #[serde(default)]
    pub services: Vec<String>,
    /// The priority of requests that name none.
    pub default_priority: Priority,
    /// The highest priority that its requests are given.
    pub highest_priority: Priority,
}

/// Priority classes, the most urgent first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all else.
    Urgent,
    /// The usual.
    Normal,
    /// May wait long.
    Background,
}

impl Priority {
    /// All classes, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];

    /// Returns the name in manifests and headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Background => "background",
        }
    }

    /// Returns the class of this name, if any.
    ///
    /// ```
    /// use cardamomvalve::manifest::Priority;
    /// assert_eq!(Priority::from_name("urgent"), Some(Priority::Urgent));
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|priority| priority.as_str() == name)
    }
}

/// Returns the SHA-256 hash of `bytes` in hexadecimal.
///
/// ```
/// assert!(cardamomvalve::manifest::sha256_hex(b"key").starts_with("2c70e12b"));
/// ```
pub fn sha256_hex(bytes: &[u8]) -> String {
    use sha2::{Digest, Sha256};
    use std::fmt::Write;
    Sha256::digest(bytes).iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").ok();
        text
    })
}
