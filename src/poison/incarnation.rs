//! Identifies the incarnation of a server that crashed.

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// Max time between two daemons' observations of the same crash, where the server's starts can't be
/// told apart.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// One incarnation of a backend server, identified alike by all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// Hash of the server's id.
    pub server: u64,
    /// Hash of the identifier of its start; `None` if there is none, so that one value stands for
    /// several starts.
    pub start: Option<u64>,
}

impl Incarnation {
    /// Returns the incarnation of server `id` that `start` identifies.
    ///
    /// ```
    /// use cardamomvalve::poison::Incarnation;
    /// assert_ne!(Incarnation::of("s-1", Some("5")), Incarnation::of("s-1", Some("6")));
    /// ```
    pub fn of(id: &str, start: Option<&str>) -> Self {
        // 0 means a missing start on the wire.
        let start = start.map(|start| xxh3_64(start.as_bytes()).max(1));
        Self { server: xxh3_64(id.as_bytes()), start }
    }

    /// Whether crashes observed at `first` and at `second` are the same crash.
    pub fn is_same_crash(&self, first: Time, second: Time) -> bool {
        self.start.is_some() || second <= first + SAME_CRASH_WINDOW
    }
}
