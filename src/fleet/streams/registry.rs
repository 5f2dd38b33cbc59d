//! The software versions of streams that callers may take up.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::software::MAX_STREAM_AGE;
use super::{Kept, Software};
use crate::fleet::Key;
use crate::prelude::*;

/// Maximum number of streams of which a daemon knows the version: some 6 MB. At 8,200 streams a second that ask 32
/// daemons to keep their versions for 15 s, three each, a daemon keeps some 12,000.
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

/// What is known of one stream.
#[derive(Debug, Clone, Copy)]
struct Known {
    software: Software,
    expires_at: Time,
    /// Whether this daemon serves or served it.
    is_own: bool,
}

/// The streams whose version this daemon knows, and the requests that wait for a version.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Streams {
    known: BTreeMap<StreamId, Known>,
    by_expiry: BTreeSet<(Time, StreamId)>,
    /// Requests that wait for the answers of keepers.
    pub(in crate::fleet) lookups: BTreeSet<Key>,
    /// When this daemon first knew the servers.
    pub(in crate::fleet) watched_since: Option<Time>,
    /// The daemons from which keepers are drawn.
    pub(super) keepers: Vec<String>,
    pub(super) keepers_listed_at: Option<Time>,
}

impl Streams {
    /// Notes the version of a stream. If there are too many, those that expire first are dropped.
    pub(super) fn insert(&mut self, now: Time, kept: Kept, is_own: bool) {
        self.remove_expired(now);
        let Kept { stream, software, time_left } = kept;
        let expires_at = now + time_left.min(MAX_STREAM_AGE);
        self.remove(stream);
        if self.known.len() >= MAX_STREAMS
            && let Some((_, first)) = self.by_expiry.first().copied()
        {
            self.remove(first);
        }
        self.known.insert(stream, Known { software, expires_at, is_own });
        self.by_expiry.insert((expires_at, stream));
    }

    pub(super) fn remove(&mut self, stream: StreamId) {
        if let Some(known) = self.known.remove(&stream) {
            self.by_expiry.remove(&(known.expires_at, stream));
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

    /// The version of a stream.
    pub(super) fn software(&self, now: Time, stream: StreamId) -> Option<Software> {
        let known = self.known.get(&stream).filter(|known| now < known.expires_at);
        known.map(|known| known.software)
    }

    /// The streams that are known, or only those of this daemon.
    pub(super) fn list(&self, now: Time, only_own: bool) -> Vec<Kept> {
        let listed = self.known.iter().filter(|(_, known)| known.is_own || !only_own);
        let kept = listed.map(|(stream, known)| Kept {
            stream: *stream,
            software: known.software,
            time_left: known.expires_at.saturating_sub(now),
        });
        kept.filter(|kept| kept.time_left > Duration::ZERO).collect()
    }

    /// Number of streams whose version is known.
    pub(in crate::fleet) fn len(&self) -> usize {
        self.known.len()
    }
}
