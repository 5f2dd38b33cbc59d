//! Failed attempts by the daemon that saw them, for the daemon that places requests.
//!
//! A failed attempt shows that a server or the path to it has failed. Only the daemon that saw it
//! knows the path, so the server is avoided for that daemon alone, and shortly for all; a failure
//! that another daemon sees too counts against the server. A daemon that fails at several servers
//! without a success in between has probably lost its paths, and what it sees is not counted.

use super::request::Request;
use super::{Key, Node, server};
use crate::prelude::*;

/// Time for which a server is avoided for a daemon after its first failure there.
const AVOIDANCE_BASE: Duration = Duration::from_millis(200);
/// Maximum time for which a server is avoided for a daemon.
const AVOIDANCE_MAX: Duration = Duration::from_secs(4);
/// Number of servers at which a daemon fails without a success in between from which its path is
/// doubted.
const MAX_FAILED_SERVERS: usize = 2;
/// Time after its last failure from which nothing is remembered of a daemon.
const MEMORY: Duration = Duration::from_secs(5);
/// Maximum number of servers that are remembered of a daemon.
const MAX_AVOIDED_SERVERS: usize = 64;

/// Failures of a daemon at a server.
#[derive(Debug, Clone, Copy)]
struct Avoidance {
    failures: u32,
    until: Time,
}

/// Recent failures of a daemon.
#[derive(Debug, Default)]
struct Witness {
    avoided: BTreeMap<server::Key, Avoidance>,
    /// Servers at which it failed since its last success.
    failed: BTreeSet<server::Key>,
    last_at: Time,
}

/// Recent failures by daemon.
#[derive(Debug, Default)]
pub(super) struct Failures {
    witnesses: BTreeMap<String, Witness>,
}

impl Failures {
    /// Records a failure of `daemon` at a server. Returns the servers at which its path is now
    /// doubted; none if the failure counts.
    fn record(&mut self, now: Time, daemon: &str, server: server::Key) -> Vec<server::Key> {
        self.witnesses.retain(|_, witness| now < witness.last_at + MEMORY);
        let witness = self.witnesses.entry(daemon.to_owned()).or_default();
        witness.last_at = now;
        witness.failed.insert(server);
        if witness.avoided.len() >= MAX_AVOIDED_SERVERS {
            witness.avoided.retain(|_, avoided| now < avoided.until);
        }
        let first = Avoidance { failures: 0, until: Time::ZERO };
        let avoided = witness.avoided.entry(server).or_insert(first);
        let wait = AVOIDANCE_BASE.saturating_mul(1 << avoided.failures.min(8)).min(AVOIDANCE_MAX);
        *avoided = Avoidance { failures: avoided.failures + 1, until: now + wait };
        match witness.failed.len() >= MAX_FAILED_SERVERS {
            true => witness.failed.iter().copied().collect(),
            false => Vec::new(),
        }
    }

    fn record_success(&mut self, daemon: &str, server: server::Key) {
        if let Some(witness) = self.witnesses.get_mut(daemon) {
            witness.failed.clear();
            witness.avoided.remove(&server);
        }
    }

    /// Whether requests of `daemon` are not sent to a server now.
    fn avoids(&self, now: Time, daemon: &str, server: server::Key) -> bool {
        let witness = self.witnesses.get(daemon);
        let avoided = witness.and_then(|witness| witness.avoided.get(&server));
        avoided.is_some_and(|avoided| now < avoided.until)
    }
}

impl Node {
    /// The daemon that received a request.
    pub(super) fn receiver<'a>(&'a self, request: &'a Request) -> &'a str {
        request.origin.as_ref().map_or(&self.identity.id, |origin| origin.daemon())
    }

    /// Records that an attempt of a request failed at a server, or on the way to it.
    pub(super) fn record_failed_attempt(&mut self, now: Time, key: Key, server: server::Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let daemon = self.receiver(request).to_owned();
        let doubted = self.failures.record(now, &daemon, server);
        if doubted.is_empty() {
            if let Some(server) = self.servers.get_mut(server) {
                server.record_failure_of(now, &daemon);
            }
            return;
        }
        for key in doubted {
            if let Some(server) = self.servers.get_mut(key) {
                server.forget_failures_of(&daemon);
            }
        }
    }

    /// Records that a server answered an attempt of a request.
    pub(super) fn record_answered_attempt(&mut self, key: Key, server: server::Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let daemon = self.receiver(request).to_owned();
        self.failures.record_success(&daemon, server);
    }

    /// Whether a request is not sent to a server because its daemon failed there.
    pub(super) fn avoids(&self, now: Time, request: &Request, server: server::Key) -> bool {
        self.failures.avoids(now, self.receiver(request), server)
    }
}
