//! Messages between daemons about the software versions of streams.

use super::{Software, StreamId};
use crate::fleet::Key;
use crate::prelude::*;

/// The version of a stream that a daemon has others keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kept {
    /// The stream.
    pub stream: StreamId,
    /// The version that began it.
    pub software: Software,
    /// Time for which it can be taken up.
    pub time_left: Duration,
}

/// A question for the version of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// The daemon that asks.
    pub daemon: String,
    /// Its key of the request that takes the stream up.
    pub request: Key,
    /// The stream.
    pub stream: StreamId,
    /// The pool of the request.
    pub pool: String,
    /// The longest time since the stream has begun.
    pub max_age: Duration,
}

/// A message about software versions of streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Versions to keep.
    Keep(Vec<Kept>),
    /// A question.
    Lookup(Lookup),
    /// The answer: the request and the stream of the question, and the version if it is known.
    Found(Key, StreamId, Option<Software>),
}
