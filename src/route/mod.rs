//! Routes: the pools of backend servers that serve a request, and the limits that apply to it.
//!
//! A [`Table`] is one published configuration, validated and indexed. It is immutable; a newer
//! version replaces it as a whole.

mod cohort;
mod table;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

pub use cohort::Cohort;
pub use table::{Error, Lookup, Table};

use crate::prelude::*;
use crate::quota::Quota;

/// Rule for repeating the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once. After its first byte was sent, a failure's outcome is unknown.
    AtMostOnce,
    /// The answer is a stream, which another server can continue after the last delivered event.
    Resumable,
}

/// Share of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// Name of the pool that serves this share.
    pub pool: String,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// Requests to one host and path prefix, and how they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the requests' paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Rule for repeating requests.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub is_streaming: bool,
    /// Maximum time from a request to its answer.
    pub timeout: Duration,
    /// Target latency of answers.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Pools that share the traffic; at least one.
    pub splits: Vec<Split>,
    /// Maximum number of backend servers to run one request on.
    pub max_attempts: u32,
    /// Whether requests without a key are accepted.
    pub is_public: bool,
}

impl Route {
    /// Whether several pools share the traffic.
    pub(crate) fn is_split(&self) -> bool {
        let used = self.splits.iter().filter(|split| split.weight > 0);
        let mut pools = used.map(|split| split.pool.as_str());
        let first = pools.next();
        pools.any(|pool| Some(pool) != first)
    }
}

/// Properties that all engines of a pool share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens.
    pub kv_capacity_tokens: u64,
    /// Bytes of KV cache per token.
    pub kv_token_bytes: u64,
    /// Bandwidth of an engine's network link, in bytes per second.
    pub link_bytes_per_s: u64,
}

/// External store for KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvStore {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone; empty if unknown.
    pub zone: String,
    /// Capacity in tokens; 0 if unknown.
    pub capacity_tokens: u64,
    /// Bandwidth of its network link, in bytes per second.
    pub link_bytes_per_s: u64,
}

/// Kind of a pool's servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Plain servers, which report their slots when they register.
    Plain,
    /// Model engines.
    Engine(Engine),
    /// External store for KV cache.
    KvStore(KvStore),
}

/// Pool of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Kind of its servers.
    pub kind: Kind,
    /// Maximum number of connections that one server accepts from all routers together.
    pub max_connections: u32,
}

/// Workspace, identified by its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name in the configuration.
    pub name: String,
    /// Priority of its requests; overrides the route's priority if set.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompts with other workspaces.
    pub isolated: bool,
    /// Quota; `None` if unlimited.
    pub quota: Option<Quota>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits before the first configuration is read: 16 KiB, 4 MiB, 3 s and 15 s.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
