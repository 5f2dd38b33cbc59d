//! Messages between daemons about the software versions of streams.

use super::{Software, StreamId};
use crate::fleet::Key;
use crate::prelude::*;

/// The software version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Binding {
    /// The stream.
    pub stream: StreamId,
    /// The version.
    pub software: Software,
    /// Time for which the stream can still be taken up.
    pub time_left: Duration,
}

/// A query for the version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The daemon that sends it.
    pub daemon: String,
    /// Its key of the request that takes the stream up.
    pub request: Key,
    /// The stream.
    pub stream: StreamId,
    /// The pool of the request.
    pub pool: String,
}

/// A message about software versions of streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Replicas of bindings.
    Replicate(Vec<Binding>),
    /// A query.
    Lookup(Lookup),
    /// The reply: the request and the stream of the query, and the version if the daemon has it.
    Found(Key, StreamId, Option<Software>),
}
