//! Sums the work of all daemons at a server.

use super::request::Request;
use super::{Node, Server, Workload, server};
use crate::prelude::*;
use crate::route::Kind;

/// Work at a server, of the peers or of all daemons.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) pending_tokens: u32,
    pub(super) loading: bool,
    heard_at: Option<Time>,
    unanswered_since: Option<Time>,
    /// Arrival of the oldest peer report that is included.
    reported_at: Option<Time>,
}

impl Load {
    /// Arrival of the oldest peer report that is included; `None` if no peer has work there.
    pub(super) fn reported_at(&self) -> Option<Time> {
        self.reported_at
    }

    /// Adds what a peer reported at time `reported`.
    pub(super) fn add(&mut self, reported: Time, busy: &Workload) {
        let before = |ms: Option<u32>| {
            ms.map(|ms| reported.saturating_sub(Duration::from_millis(u64::from(ms))))
        };
        self.running = self.running.saturating_add(busy.running);
        self.pending_tokens = self.pending_tokens.saturating_add(busy.pending_tokens);
        self.loading |= busy.loading_weights;
        self.reported_at = earlier(self.reported_at, Some(reported));
        self.heard_at = self.heard_at.max(before(busy.last_answer_age_ms));
        self.unanswered_since = earlier(self.unanswered_since, before(busy.unanswered_ms));
    }

    /// Time for which the server has answered no daemon although requests wait for it.
    pub(super) fn silence(&self, now: Time) -> Duration {
        let Some(since) = self.unanswered_since else { return Duration::ZERO };
        now.saturating_sub(self.heard_at.map_or(since, |heard| heard.max(since)))
    }
}

fn earlier(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl Node {
    /// The work of all daemons at a server.
    pub(super) fn load(&self, key: server::Key, server: &Server) -> Load {
        let others = self.peer_loads.get(&key).copied().unwrap_or_default();
        Load {
            running: others.running.saturating_add(server.running),
            pending_tokens: others.pending_tokens.saturating_add(server.pending_tokens),
            loading: others.loading,
            heard_at: others.heard_at.max(server.last_answer_at),
            unanswered_since: earlier(others.unanswered_since, server.unanswered_since),
            reported_at: others.reported_at,
        }
    }

    /// Whether a server may receive requests: it is up, is not leaving and loads no weights.
    pub(super) fn accepts_work(&self, now: Time, key: server::Key, server: &Server) -> bool {
        server.is_usable(now) && !self.load(key, server).loading
    }

    /// Whether a server has a slot for one more request, and stays within its limits.
    pub(super) fn has_room(&self, now: Time, key: server::Key, server: &Server) -> bool {
        self.accepts_work(now, key, server)
            && self.load(key, server).running < self.slots(server)
            && self.bears_reject(now, key, server)
            && self.takes_request(now, key, server)
    }

    /// Number of requests that a server runs at once.
    pub(super) fn slots(&self, server: &Server) -> u32 {
        let pool = self.table.as_ref().and_then(|table| table.pool(&server.entry.pool));
        match pool.map(|pool| &pool.kind) {
            Some(Kind::Engine(engine)) => engine.slots,
            _ => server.entry.slots,
        }
    }

    /// Whether a server has room for this request: a slot, and no more requests at once than serve
    /// callers best. A request that would be refused, or has waited for half of its
    /// maximum wait, may use all slots.
    pub(super) fn has_room_for(
        &self,
        now: Time,
        request: &Request,
        key: server::Key,
        server: &Server,
    ) -> bool {
        self.has_room(now, key, server)
            && (request.may_fill_server
                || self.has_waited_for_home(now, request)
                || self.load(key, server).running < self.preferred_slots(now, server))
    }

    /// Number of requests at once at which a server serves callers best.
    fn preferred_slots(&self, now: Time, server: &Server) -> u32 {
        let slots = self.slots(server);
        let is_plain = server.entry.weights.is_empty();
        match self.policy.learns_capacity && is_plain {
            true => server.concurrency.limit(now, slots),
            false => slots,
        }
    }
}
