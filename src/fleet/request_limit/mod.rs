//! Request limits that servers state.
//!
//! A server in need states in its answers how many requests per second it takes from all daemons together, for as long
//! as it states it. The limit is that of one server, and ends with an answer that does not state it.

mod limit;

pub use limit::Limit;
use limit::Limits;

use super::{Key, Node, server};
use crate::prelude::*;

/// The request limits of servers.
#[derive(Debug, Default)]
pub(super) struct State {
    limits: Limits,
}

impl Node {
    /// Handles what a server stated in its answer to an attempt: its request limit, or none.
    pub(super) fn note_request_limit(
        &mut self,
        now: Time,
        key: Key,
        attempt: u32,
        per_s: Option<f64>,
    ) {
        let request = self.requests.get(&key).filter(|request| request.sends == attempt);
        let Some(server) = request.and_then(|request| request.tried.last().copied()) else {
            return;
        };
        self.merge_request_limit(now, server, Limit { per_s, stated_at: now });
    }

    /// Merges what a server stated.
    fn merge_request_limit(&mut self, now: Time, key: server::Key, limit: Limit) {
        let Some(server) = self.servers.get(key) else { return };
        if !self.request_limits.limits.merge(key, limit) {
            return;
        }
        let detail = Detail::of("server", server.entry.incarnation.id.as_str())
            .and("pool", server.entry.pool.as_str())
            .and("stated_ms_ago", now.saturating_sub(limit.stated_at));
        match limit.per_s {
            Some(per_s) => self.event(Event::RequestLimitStated, detail.and("per_s", per_s)),
            None => self.event(Event::RequestLimitEnded, detail),
        }
    }

    /// Whether a server has stated a request limit, or may still be thought to.
    pub(super) fn has_stated_request_limit(&self, server: server::Key) -> bool {
        self.request_limits.limits.is_known(server)
    }

    /// The request limit of a server, in requests per second.
    pub(super) fn request_limit(&self, server: server::Key) -> Option<f64> {
        self.request_limits.limits.get(server)
    }

    /// Drops the limits of servers that are gone, and those that no server has stated for long.
    pub(super) fn maintain_request_limits(&mut self, now: Time) {
        let servers = &self.servers;
        self.request_limits.limits.retain(now, |key| servers.contains_key(key));
    }
}
