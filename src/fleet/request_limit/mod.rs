//! Request limits that servers state.
//!
//! A server in need states in its answers how many requests per second it takes from all daemons together, for as long
//! as it states it. The limit is that of one server, and ends with an answer that does not state it. All daemons
//! together stay within it: each has a share of the limit as the rate of a token bucket, and the first scheduler of the
//! pool has most. Digests carry the newest statements.

mod bucket;
mod limit;

pub(super) use bucket::rate;
pub use limit::Statement;
use limit::{Limit, Limits};

use super::{Node, Server, server};
use crate::prelude::*;

/// Interval between walks over the statements, and over the servers of a pool if each has a limit.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a daemon that is no scheduler reports a statement: longer than its interval between digests.
const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of statements in a digest.
const MAX_STATEMENTS: usize = 64;
/// Maximum number of statements in a scheduler's digest to all daemons. The newest ones change, so others follow.
pub(super) const MAX_ANNOUNCED_STATEMENTS: usize = 16;

/// The request limits of servers.
#[derive(Debug, Default)]
pub(super) struct State {
    limits: Limits,
    /// Requests per second that this daemon may send to pools whose servers all have a limit.
    pool_rates: BTreeMap<String, f64>,
    next_update: Time,
}

impl Node {
    /// Handles what a server stated in an answer to this daemon: its request limit, or none.
    pub(super) fn note_request_limit(
        &mut self,
        now: Time,
        server: server::Key,
        per_s: Option<f64>,
    ) {
        self.merge_request_limit(now, server, Limit { per_s, stated_at: now, is_own: true });
    }

    /// Merges statements that a peer reported.
    pub(super) fn merge_limit_statements(&mut self, now: Time, statements: &[Statement]) {
        for statement in statements {
            if let Some(server) = self.incarnations.server(&statement.server) {
                let stated_at = now.saturating_sub(statement.age);
                let limit = Limit { per_s: statement.per_s, stated_at, is_own: false };
                self.merge_request_limit(now, server, limit);
            }
        }
    }

    fn merge_request_limit(&mut self, now: Time, key: server::Key, limit: Limit) {
        let Some(server) = self.servers.get(key) else { return };
        if !self.request_limits.limits.merge(now, key, limit) {
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

    /// The newest statements, to include them in digests: all at a scheduler, at any other daemon those in answers that
    /// it received itself.
    pub(super) fn limit_statements(&self, now: Time) -> Vec<Statement> {
        let schedules = self.is_scheduler(now);
        let newest = self.request_limits.limits.newest().into_iter();
        let reported = newest
            .filter(|(_, limit)| schedules || limit.is_own && now < limit.stated_at + REPORT_TIME);
        let statements = reported.take(MAX_STATEMENTS).filter_map(|(key, limit)| {
            Some(Statement {
                server: self.servers.get(key)?.entry.incarnation.clone(),
                per_s: limit.per_s,
                age: now.saturating_sub(limit.stated_at),
            })
        });
        statements.collect()
    }

    /// Whether a server has stated a request limit, or may still be thought to.
    pub(super) fn has_stated_request_limit(&self, server: server::Key) -> bool {
        self.request_limits.limits.is_known(server)
    }

    /// The request limit of a server, in requests per second.
    pub(super) fn request_limit(&self, server: server::Key) -> Option<f64> {
        self.request_limits.limits.get(server).map(|(per_s, _)| per_s)
    }

    /// Requests per second that this daemon may send to a server that has stated a limit.
    pub(super) fn request_rate(&self, key: server::Key, server: &Server) -> Option<f64> {
        let limit = self.request_limit(key)?;
        let share = self.share(&server.entry.pool);
        Some(rate(share, limit, &server.entry.incarnation.id))
    }

    /// Whether a server stays within its request limit if it gets one more request from this daemon.
    pub(super) fn takes_request(&self, now: Time, key: server::Key, server: &Server) -> bool {
        let Some((_, bucket)) = self.request_limits.limits.get(key) else { return true };
        let rate = self.request_rate(key, server).unwrap_or_default();
        rate > 0.0 && bucket.tokens(now, rate) >= 1.0
    }

    /// Charges a request that is sent to a server to the server's limit.
    pub(super) fn charge_request_limit(&mut self, now: Time, key: server::Key) {
        let Some(server) = self.servers.get(key) else { return };
        let Some(rate) = self.request_rate(key, server) else { return };
        if let Some(bucket) = self.request_limits.limits.bucket_mut(key) {
            bucket.take(now, rate);
        }
    }

    /// Drops the limits of servers that are gone and expired statements, and updates the rates of pools.
    pub(super) fn maintain_request_limits(&mut self, now: Time) {
        if now < self.request_limits.next_update {
            return;
        }
        self.request_limits.next_update = now + UPDATE_INTERVAL;
        let servers = &self.servers;
        self.request_limits.limits.retain(now, |key| servers.contains_key(key));
        self.request_limits.pool_rates = self.limited_pools();
    }

    /// Requests per second that this daemon may send to a pool, if all servers of it have a limit.
    pub(super) fn pool_request_rate(&self, pool: &str) -> Option<f64> {
        self.request_limits.pool_rates.get(pool).copied()
    }

    fn limited_pools(&self) -> BTreeMap<String, f64> {
        if self.request_limits.limits.is_empty() {
            return BTreeMap::new();
        }
        let pools = self.pools.iter();
        pools
            .filter_map(|(name, pool)| Some((name.clone(), self.total_rate(pool.keys())?)))
            .collect()
    }

    /// Requests per second that this daemon may send to the servers that stay; `None` if one of them has no limit, or
    /// none stays.
    fn total_rate(&self, keys: &[server::Key]) -> Option<f64> {
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let mut staying = servers.filter(|(_, server)| !server.entry.draining).peekable();
        staying.peek()?;
        staying.map(|(key, server)| self.request_rate(key, server)).sum()
    }
}
