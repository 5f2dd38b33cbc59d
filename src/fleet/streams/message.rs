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

/// What a daemon knows of the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The stream is bound to this version.
    Bound(Software),
    /// No other version has served for as long as a stream can be taken up.
    Proven(Software),
    /// The daemon has no binding, and several versions have served.
    Ambiguous,
    /// The daemon has no binding, and may not know all versions.
    Unknown,
}

/// A message about software versions of streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Replicas of bindings.
    Replicate(Vec<Binding>),
    /// A query.
    Lookup(Lookup),
    /// The reply: the request and the stream of the query, and what the daemon knows.
    Found(Key, StreamId, Finding),
}
