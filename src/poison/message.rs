//! What daemons tell each other about requests that may end servers.

use super::{Fingerprint, Incarnation};
use crate::prelude::*;

/// A request was running at a server when that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interruption {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server.
    pub incarnation: Incarnation,
    /// Hash of the server's pool.
    pub pool: u64,
    /// Servers of that pool.
    pub servers: u32,
    /// For how long the request had been there.
    pub run_time: Duration,
    /// How long ago the server ended.
    pub age: Duration,
}

/// A request that is blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Blocked {
    /// The request.
    pub fingerprint: Fingerprint,
    /// For how long it has been blocked.
    pub age: Duration,
}

/// A daemon's word on such requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Servers ended under these.
    Interruptions(Vec<Interruption>),
    /// This one was answered: it ends no servers.
    Served(Fingerprint),
    /// These are blocked.
    Blocked(Vec<Blocked>),
}
