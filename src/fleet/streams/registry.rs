//! The software versions of streams that callers may take up.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::software::MAX_STREAM_AGE;
use super::watch::View;
use super::{Binding, Software};
use crate::fleet::Key;
use crate::prelude::*;

/// Maximum number of bindings at a daemon. At 8,200 streams a second, each with three replicas at 32 daemons for 15 s, a
/// daemon has some 12,000.
const MAX_STREAMS: usize = 65_536;

/// Hash of a workspace and of the id of the caller's attempt that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that the attempt `id` of `workspace` began.
    ///
    /// ```
    /// use cardamomvalve::fleet::StreamId;
    /// assert_ne!(StreamId::of("lab", "r-1"), StreamId::of("court", "r-1"));
    /// ```
    pub fn of(workspace: &str, id: &str) -> Self {
        Self(xxh3_64_with_seed(id.as_bytes(), xxh3_64(workspace.as_bytes())))
    }
}

/// The binding of one stream.
#[derive(Debug, Clone, Copy)]
struct Entry {
    software: Software,
    expires_at: Time,
    /// Whether this daemon serves or served the stream.
    is_own: bool,
}

/// The bindings at this daemon, and the requests whose streams are looked up.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Streams {
    entries: BTreeMap<StreamId, Entry>,
    by_expiry: BTreeSet<(Time, StreamId)>,
    /// Requests that wait for replies to lookups.
    pub(in crate::fleet) lookups: BTreeSet<Key>,
    pub(in crate::fleet) view: View,
    /// The daemons among which replicas are chosen.
    pub(super) candidates: Vec<String>,
    pub(super) candidates_listed_at: Option<Time>,
}

impl Streams {
    /// Adds a binding. If there are too many, the one that expires first is dropped.
    pub(super) fn insert(&mut self, now: Time, binding: Binding, is_own: bool) {
        self.remove_expired(now);
        let Binding { stream, software, time_left } = binding;
        let expires_at = now + time_left.min(MAX_STREAM_AGE);
        self.remove(stream);
        if self.entries.len() >= MAX_STREAMS
            && let Some((_, first)) = self.by_expiry.first().copied()
        {
            self.remove(first);
        }
        self.entries.insert(stream, Entry { software, expires_at, is_own });
        self.by_expiry.insert((expires_at, stream));
    }

    pub(super) fn remove(&mut self, stream: StreamId) {
        if let Some(entry) = self.entries.remove(&stream) {
            self.by_expiry.remove(&(entry.expires_at, stream));
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((expires_at, stream)) = self.by_expiry.first().copied() {
            if now < expires_at {
                return;
            }
            self.remove(stream);
        }
    }

    /// The version that began a stream.
    pub(super) fn software(&self, now: Time, stream: StreamId) -> Option<Software> {
        let entry = self.entries.get(&stream).filter(|entry| now < entry.expires_at);
        entry.map(|entry| entry.software)
    }

    /// All bindings, or only those of this daemon's streams.
    pub(super) fn list(&self, now: Time, only_own: bool) -> Vec<Binding> {
        let listed = self.entries.iter().filter(|(_, entry)| entry.is_own || !only_own);
        let listed = listed.filter(|(_, entry)| now < entry.expires_at);
        let bindings = listed.map(|(stream, entry)| Binding {
            stream: *stream,
            software: entry.software,
            time_left: entry.expires_at - now,
        });
        bindings.collect()
    }

    /// Number of bindings.
    pub(in crate::fleet) fn len(&self) -> usize {
        self.entries.len()
    }
}
