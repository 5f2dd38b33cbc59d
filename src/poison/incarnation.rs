//! A server that ended.

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Time in which daemons notice the same end of a server whose starts can't be told apart.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// One life of a server, as all daemons name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Hash of the server's id.
    pub server: u64,
    /// Hash of what tells its starts apart; `None` where nothing does, so that it may end several times.
    pub start: Option<u64>,
}

impl Incarnation {
    /// The life of server `id` that `start` names.
    ///
    /// ```
    /// use cardamomvalve::poison::Incarnation;
    /// assert_ne!(Incarnation::of("s-1", Some("5")), Incarnation::of("s-1", Some("6")));
    /// ```
    pub fn of(id: &str, start: Option<&str>) -> Self {
        // 0 stands for no start on the wire.
        let start = start.map(|start| xxh3_64(start.as_bytes()).max(1));
        Self { server: xxh3_64(id.as_bytes()), start }
    }

    /// Whether an end of it that was noticed at `first` and one that was at `second` are the same.
    pub fn is_same_crash(&self, first: Time, second: Time) -> bool {
        self.start.is_some() || second <= first + SAME_CRASH_WINDOW
    }
}
