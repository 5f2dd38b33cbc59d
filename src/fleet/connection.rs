//! Which daemons have an idle connection to which servers, as the daemon that places their requests
//! knows it.
//!
//! Load answered: many daemons before many servers, where each daemon meets a server so seldom that
//! its connection is closed in between. A new connection costs a round trip before the request can
//! be sent, and takes a slot of the server for a moment. Among servers that would answer about as
//! soon, one to which the request's daemon has a connection is better.

use xxhash_rust::xxh3::xxh3_64;

use super::request::Request;
use super::{Key, Node, server};
use crate::prelude::*;

/// Time for which an idle connection is likely to be kept; servers state whole seconds, and a
/// daemon gives a connection up well before.
const LIKELY_KEPT_FOR: Duration = Duration::from_secs(2);
/// Milliseconds that a new connection costs: a round trip to another zone, and the server's accept.
const CONNECT_MS: f64 = 3.0;
/// Time between two removals of old entries.
const TRIM_INTERVAL: Duration = Duration::from_secs(1);

/// The idle connections of daemons to servers.
#[derive(Debug, Default)]
pub(super) struct Connections {
    /// When the last exchange of a daemon, by the hash of its id, ended at a server.
    idle_since: BTreeMap<(server::Key, u64), Time>,
    next_trim: Time,
}

impl Connections {
    /// Records that an exchange has ended and its connection is idle.
    fn note_idle(&mut self, now: Time, server: server::Key, daemon: u64) {
        if now >= self.next_trim {
            self.next_trim = now + TRIM_INTERVAL;
            self.idle_since.retain(|_, since| now < *since + LIKELY_KEPT_FOR);
        }
        self.idle_since.insert((server, daemon), now);
    }

    /// Records that a daemon uses its connection to a server.
    fn note_used(&mut self, server: server::Key, daemon: u64) {
        self.idle_since.remove(&(server, daemon));
    }

    fn has_idle(&self, now: Time, server: server::Key, daemon: u64) -> bool {
        let since = self.idle_since.get(&(server, daemon));
        since.is_some_and(|since| now < *since + LIKELY_KEPT_FOR)
    }
}

impl Node {
    /// The hash of the id of the daemon that sends a request to its server.
    fn sender(&self, request: &Request) -> u64 {
        let origin = request.origin.as_ref();
        let daemon = origin.map_or(self.identity.id.as_str(), |origin| origin.daemon());
        xxh3_64(daemon.as_bytes())
    }

    /// Milliseconds for which a request waits for a new connection to a server.
    pub(super) fn connect_ms(&self, now: Time, request: &Request, server: server::Key) -> f64 {
        let counts = self.policy.prefers_open_connections;
        let is_open = || self.connections.has_idle(now, server, self.sender(request));
        if !counts || is_open() { 0.0 } else { CONNECT_MS }
    }

    /// Records that a request was sent to a server.
    pub(super) fn note_connection_used(&mut self, key: Key, server: server::Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let daemon = self.sender(request);
        self.connections.note_used(server, daemon);
    }

    /// Records that the answer to a request is complete.
    pub(super) fn note_connection_idle(&mut self, now: Time, key: Key, server: server::Key) {
        let Some(request) = self.requests.get(&key) else { return };
        if self.policy.prefers_open_connections {
            let daemon = self.sender(request);
            self.connections.note_idle(now, server, daemon);
        }
    }
}
