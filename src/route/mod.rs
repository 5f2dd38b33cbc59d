//! Routes: which pool of backend servers serves a request, and under which bounds.
//!
//! A [`Table`] is one published configuration, checked and indexed. It is immutable: a newer
//! version replaces it whole.

mod table;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

pub use table::{Error, Lookup, Table};

use crate::prelude::*;
use crate::quota::Quota;

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once; after its first byte left, a failure's outcome is unknown.
    AtMostOnce,
    /// A stream that another server can continue after the last event that was delivered.
    Resumable,
}

/// One part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    /// The pool that serves it.
    pub pool: String,
    /// Its share relative to the route's other parts.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name in the configuration.
    pub name: String,
    /// The host that requests name, in lower case.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// How long a request may be kept waiting for its answer.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub target_latency: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The pools that share its traffic; at least one.
    pub splits: Vec<Split>,
    /// Backend servers that one request may be run on.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// What a pool's engines have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub kv_capacity_tokens: u64,
    /// Bytes of KV cache for one token.
    pub kv_token_bytes: u64,
    /// Bytes a second over one engine's link.
    pub link_bytes_per_s: u64,
}

/// A store that keeps KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvStore {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone; empty where it is not known.
    pub zone: String,
    /// Bytes a second over its link.
    pub link_bytes_per_s: u64,
}

/// What a pool consists of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Plain servers, which tell their slots when they register.
    Plain,
    /// Model engines.
    Engine(Engine),
    /// A store that keeps KV cache.
    KvStore(KvStore),
}

/// One pool of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// What it consists of.
    pub kind: Kind,
    /// Connections that one server accepts from all routers together.
    pub max_connections: u32,
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// The rank of its requests where it goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt with other workspaces.
    pub isolated: bool,
    /// What it may have run, where that is limited.
    pub quota: Option<Quota>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds until the first configuration is read: 16 KiB, 4 MiB, 3 s and 15 s.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
