//! Bounds how many requests a server that states a reject limit has to reject in a second.
//!
//! A reject limit is the number of requests per second that a server can reject for lack of capacity
//! without crashing. All daemons together stay within it: each has a share, and sends a request only
//! if the server would stay within that share even if it rejected all requests whose acceptance is
//! unknown. Limits are kept by pool, so that one answer of one server protects all of them; state by
//! server exists only in pools that have a limit.

mod exposure;
mod limit;
mod part;

use exposure::Exposure;
pub use limit::Limit;
use limit::Limits;
pub(super) use part::rejects;

use super::request::Phase;
use super::share::Share;
use super::{Key, Node, Server, server};
use crate::prelude::*;
use crate::route::Kind;

/// The limits in force, and the rejects that servers may still cause.
#[derive(Debug, Default)]
pub(super) struct State {
    limits: Limits,
    exposures: BTreeMap<server::Key, Exposure>,
}

impl State {
    /// The limits in force, to include them in digests.
    pub(super) fn limits(&self, now: Time) -> Vec<Limit> {
        self.limits.in_force(now).collect()
    }

    /// The number of rejects in the last second at the server that had most.
    fn max_rejects(&self, now: Time, servers: &[server::Key]) -> usize {
        let exposures = servers.iter().filter_map(|server| self.exposures.get(server));
        exposures.map(|exposure| exposure.rejects(now)).max().unwrap_or_default()
    }
}

impl Node {
    /// Handles the reject limit that a server stated in its answer to a request of this daemon.
    pub(super) fn note_reject_limit(&mut self, now: Time, key: Key, rejects: u32) {
        let Some(request) = self.requests.get(&key) else { return };
        let limit = Limit { pool: request.pool.clone(), rejects, age: Duration::ZERO };
        self.merge_reject_limits(now, &[limit]);
    }

    /// Merges reject limits that a peer reported.
    pub(super) fn merge_reject_limits(&mut self, now: Time, limits: &[Limit]) {
        for limit in limits {
            if self.rejection.limits.merge(now, limit) {
                let detail = Detail::of("pool", limit.pool.as_str()).and("rejects", limit.rejects);
                self.event(Event::RejectLimitStated, detail);
            }
        }
    }

    /// Ends limits that no server has stated for long, and drops state that no longer matters.
    pub(super) fn maintain_rejection(&mut self, now: Time) {
        for pool in self.rejection.limits.remove_lapsed(now) {
            self.event(Event::RejectLimitEnded, Detail::of("pool", pool.as_str()));
        }
        let servers = &self.servers;
        self.rejection
            .exposures
            .retain(|key, exposure| servers.contains_key(*key) && !exposure.is_idle(now));
    }

    /// Whether a server stays within its reject limit if it gets one more request from this daemon.
    pub(super) fn bears_reject(&self, now: Time, key: server::Key, server: &Server) -> bool {
        let Some(limit) = self.rejection.limits.get(now, &server.entry.pool) else { return true };
        let share = self.share(&server.entry.pool);
        let allowed = rejects(share, limit, &server.entry.incarnation.id) as usize;
        let Some(exposure) = self.rejection.exposures.get(&key) else {
            return allowed > 0
                || self.held_capacity(server, None) > self.load(key, server).running;
        };
        let unaccepted = exposure.unaccepted(now);
        // Requests whose callers have left do not count as running.
        let running = unaccepted.max(self.load(key, server).running as usize);
        let capacity = self.held_capacity(server, exposure.capacity(now)) as usize;
        let beyond_capacity = (running + 1).saturating_sub(capacity);
        let possible = beyond_capacity.min(unaccepted + 1);
        possible == 0 || exposure.rejects(now) + possible <= allowed
    }

    /// Number of requests that a server is sure to hold. A plain server runs as many as it has slots,
    /// unless it has shown otherwise. An engine may lack memory with slots free, and a daemon that is
    /// not the first scheduler does not know what others send at the same time.
    fn held_capacity(&self, server: &Server, shown: Option<u32>) -> u32 {
        let pool = self.table.as_ref().and_then(|table| table.pool(&server.entry.pool));
        match (self.share(&server.entry.pool), pool.map(|pool| &pool.kind)) {
            (Share::Scheduler(0), Some(Kind::Plain)) => shown.unwrap_or(server.entry.slots),
            _ => 0,
        }
    }

    /// Records that a request is sent to a server.
    pub(super) fn note_possible_reject(&mut self, now: Time, key: Key, server: server::Key) {
        let pool = self.servers.get(server).map(|server| server.entry.pool.as_str());
        if pool.is_some_and(|pool| self.rejection.limits.get(now, pool).is_some()) {
            self.rejection.exposures.entry(server).or_default().note_sent(now, key);
        }
    }

    /// Records that it is known whether its server has rejected a request.
    pub(super) fn settle_possible_reject(&mut self, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let Phase::Sent { server, .. } = request.phase else { return };
        if let Some(exposure) = self.rejection.exposures.get_mut(&server) {
            exposure.settle(key);
        }
    }

    /// Records that a server rejected a request for lack of capacity.
    pub(super) fn note_reject(&mut self, now: Time, key: server::Key) {
        let Some(server) = self.servers.get(key) else { return };
        if self.rejection.limits.get(now, &server.entry.pool).is_none() {
            return;
        }
        // The rejected request still counts as running.
        let held = self.load(key, server).running.saturating_sub(1);
        self.rejection.exposures.entry(key).or_default().note_rejected(now, held);
    }

    /// The limit in force for a pool, and the rejects in the last second at its server with most.
    pub(super) fn reject_figures(&self, now: Time, pool: &str) -> Option<(u32, usize)> {
        let limit = self.rejection.limits.get(now, pool)?;
        let servers = self.pools.get(pool)?.keys();
        Some((limit, self.rejection.max_rejects(now, servers)))
    }
}
