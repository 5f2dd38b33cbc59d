//! What servers stated last.

use crate::fleet::server;
use crate::prelude::*;

/// Time for which a statement is kept that no other follows. A server with the lowest limit that is used in full still
/// answers several requests within it, and all copies of an older statement are gone after it.
const LIFETIME: Duration = Duration::from_secs(20);

/// What a server stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second that it takes from all daemons together; `None` if it stated no limit.
    pub per_s: Option<f64>,
    /// When the answer arrived.
    pub stated_at: Time,
}

/// The last statement of each server that has stated a limit lately.
#[derive(Debug, Default)]
pub(super) struct Limits {
    stated: BTreeMap<server::Key, Limit>,
}

impl Limits {
    /// Merges a statement; returns whether another limit is in force now. The newest statement counts.
    pub(super) fn merge(&mut self, key: server::Key, limit: Limit) -> bool {
        let known = self.stated.get(&key).copied();
        if known.is_some_and(|known| known.stated_at >= limit.stated_at) {
            return false;
        }
        if known.is_none() && limit.per_s.is_none() {
            return false;
        }
        self.stated.insert(key, limit);
        known.and_then(|known| known.per_s) != limit.per_s
    }

    /// The limit in force, in requests per second.
    pub(super) fn get(&self, key: server::Key) -> Option<f64> {
        self.stated.get(&key)?.per_s
    }

    /// Whether a limit is in force, or was a moment ago.
    pub(super) fn is_known(&self, key: server::Key) -> bool {
        self.stated.contains_key(&key)
    }

    /// Keeps the recent statements of some servers.
    pub(super) fn retain(&mut self, now: Time, is_kept: impl Fn(server::Key) -> bool) {
        self.stated.retain(|key, limit| now < limit.stated_at + LIFETIME && is_kept(*key));
    }
}
