//! Servers that turn a daemon's requests away and want none of it for a while.
//!
//! A rest binds the daemon that got the answer alone, so it is kept by daemon and server: for its own requests at that daemon,
//! and for those of other daemons at the scheduler that places them. It belongs to an incarnation, as the registration of a
//! server may end and come back, and a restarted server is another.

use super::pool::Pool;
use super::request::Request;
use super::{Incarnation, Node, Server, server};
use crate::prelude::*;

/// Maximum number of rests that are kept for a daemon.
const MAX_RESTS: usize = 1_024;

/// The times until which servers want no requests, by daemon.
#[derive(Debug, Default)]
pub(super) struct Rests {
    until: BTreeMap<String, BTreeMap<Incarnation, Time>>,
}

impl Rests {
    /// Records that a server wants no requests of a daemon until a time. An earlier rest that lasts longer stays in force.
    fn record(&mut self, now: Time, daemon: &str, server: &Incarnation, until: Time) {
        self.until.retain(|_, rests| {
            rests.retain(|_, until| now < *until);
            !rests.is_empty()
        });
        let rests = self.until.entry(daemon.to_owned()).or_default();
        if rests.len() >= MAX_RESTS && !rests.contains_key(server) {
            return;
        }
        let known = rests.entry(server.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether a daemon was asked for rest by any server.
    fn has_any(&self, daemon: &str) -> bool {
        self.until.contains_key(daemon)
    }

    /// The time for which a server still wants no requests of a daemon.
    fn remaining(&self, now: Time, daemon: &str, server: &Incarnation) -> Option<Duration> {
        let until = self.until.get(daemon)?.get(server)?;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

impl Node {
    /// Records that a server wants no requests of the daemon that received a request.
    pub(super) fn note_rest(&mut self, now: Time, daemon: &str, key: server::Key, rest: Duration) {
        let Some(server) = self.servers.get(key) else { return };
        let until = now.saturating_add(rest);
        self.rests.record(now, daemon, &server.entry.incarnation, until);
    }

    /// The time for which a server still wants none of the requests of this daemon.
    pub(super) fn own_rest(&self, now: Time, server: &Server) -> Option<Duration> {
        self.rests.remaining(now, &self.identity.id, &server.entry.incarnation)
    }

    /// Whether a server wants none of the requests of a request's daemon.
    pub(super) fn rests_from(&self, now: Time, request: &Request, server: &Server) -> bool {
        self.rest_from(now, request, server).is_some()
    }

    fn rest_from(&self, now: Time, request: &Request, server: &Server) -> Option<Duration> {
        self.rests.remaining(now, self.receiver(request), &server.entry.incarnation)
    }

    /// The time until some server of a request's pool takes it, if all that accept work now want rest from its daemon.
    pub(super) fn rest_of_pool(&self, now: Time, request: &Request) -> Option<Duration> {
        if !self.rests.has_any(self.receiver(request)) {
            return None;
        }
        let keys = self.pools.get(&request.pool).map(Pool::keys).unwrap_or_default();
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        // A short pause after a refusal does not make a server one that will not take the request.
        let staying = servers.filter(|(_, server)| !server.entry.draining);
        let mut least = None;
        for (_, server) in staying {
            let rest = self.rest_from(now, request, server)?;
            least = Some(least.map_or(rest, |least: Duration| least.min(rest)));
        }
        least
    }
}
