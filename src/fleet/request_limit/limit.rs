//! The last statements of servers.

use super::bucket::Bucket;
use crate::fleet::{Incarnation, server};
use crate::prelude::*;

/// Time for which a statement is kept that no other follows. A server with the lowest limit that is used in full still
/// answers several requests within it, and all copies of an older statement are gone after it.
const LIFETIME: Duration = Duration::from_secs(20);

/// What a server stated, as reported to other daemons.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// The server.
    pub server: Incarnation,
    /// Requests per second that it takes from all daemons together; `None` if it stated no limit.
    pub per_s: Option<f64>,
    /// Time since the answer that states it.
    pub age: Duration,
}

/// What a server stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Limit {
    /// Requests per second that it takes from all daemons together; `None` if it stated no limit.
    pub(super) per_s: Option<f64>,
    /// When the answer arrived.
    pub(super) stated_at: Time,
    /// Whether this daemon received the answer.
    pub(super) is_own: bool,
}

/// The last statement of each server that has stated a limit, with the tokens left for it, until it expires.
#[derive(Debug, Default)]
pub(super) struct Limits {
    stated: BTreeMap<server::Key, (Limit, Bucket)>,
}

impl Limits {
    /// Merges a statement; returns whether another limit is in force now. The newest statement counts.
    pub(super) fn merge(&mut self, now: Time, key: server::Key, limit: Limit) -> bool {
        if now >= limit.stated_at + LIFETIME {
            return false;
        }
        let known = self.stated.get(&key).copied();
        if known.is_some_and(|(known, _)| known.stated_at >= limit.stated_at) {
            return false;
        }
        let before = known.and_then(|(known, _)| known.per_s);
        let bucket = known.filter(|_| before.is_some()).map(|(_, bucket)| bucket);
        self.stated.insert(key, (limit, bucket.unwrap_or_else(|| Bucket::new(now))));
        before != limit.per_s
    }

    /// The limit in force, in requests per second, and the tokens left for it.
    pub(super) fn get(&self, key: server::Key) -> Option<(f64, Bucket)> {
        if self.stated.is_empty() {
            return None;
        }
        let (limit, bucket) = self.stated.get(&key)?;
        Some((limit.per_s?, *bucket))
    }

    /// The tokens left for a server with a limit.
    pub(super) fn bucket_mut(&mut self, key: server::Key) -> Option<&mut Bucket> {
        self.stated.get_mut(&key).map(|(_, bucket)| bucket)
    }

    /// Whether there is no statement.
    pub(super) fn is_empty(&self) -> bool {
        self.stated.is_empty()
    }

    /// Whether a limit is in force, or was a moment ago.
    pub(super) fn is_known(&self, key: server::Key) -> bool {
        self.stated.contains_key(&key)
    }

    /// Keeps the recent statements of some servers.
    pub(super) fn retain(&mut self, now: Time, is_kept: impl Fn(server::Key) -> bool) {
        self.stated.retain(|key, (limit, _)| now < limit.stated_at + LIFETIME && is_kept(*key));
    }

    /// The last statements, newest first.
    pub(super) fn newest(&self) -> Vec<(server::Key, Limit)> {
        let mut all: Vec<(server::Key, Limit)> =
            self.stated.iter().map(|(key, (limit, _))| (*key, *limit)).collect();
        all.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.stated_at));
        all
    }
}
