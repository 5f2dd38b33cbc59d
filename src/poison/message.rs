//! Messages between daemons about requests that may crash servers.

use super::{Fingerprint, Incarnation};
use crate::prelude::*;

/// A request that was running at a server when the server crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Interruption {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that others may share, if its answer had not begun.
    pub parts: Vec<Fingerprint>,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// Hash of the server's pool.
    pub pool: u64,
    /// Number of servers in that pool.
    pub servers: u32,
    /// How long the request had been running there.
    pub run_time: Duration,
    /// How long ago the server crashed.
    pub age: Duration,
    /// Whether the request was to run there without others.
    pub ran_alone: bool,
}

/// A request that all daemons refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Blocked {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long it has been blocked.
    pub age: Duration,
}

/// A message about suspects and blocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Requests that crashes interrupted.
    Interruptions(Vec<Interruption>),
    /// A request was answered, so it doesn't crash servers.
    Served(Fingerprint),
    /// Blocked requests.
    Blocked(Vec<Blocked>),
}
