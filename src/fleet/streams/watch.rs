//! Proves that one software version alone has served a pool, from an unbroken watch of the servers.

use super::Software;
use super::software::MAX_STREAM_AGE;
use crate::fleet::{Node, Topic};
use crate::prelude::*;

/// Age of the last known read of the servers from which this daemon may have missed a new version. A daemon that knows of
/// no recent read makes one sooner than that.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);
/// Time without a tick after which this daemon was frozen, and its peers' digests may arrive before what it has missed.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Number of peers whose digests a daemon of a large fleet gets at least, unless it is partitioned.
const MIN_FRESH_PEERS: usize = 8;

impl Node {
    /// The version of a pool's servers, if it is proven that no other began a stream that can still be taken up.
    pub(super) fn proven_software(&self, now: Time, pool: &str) -> Option<Software> {
        self.pools.get(pool).filter(|_| self.has_watched(now))?.versions.only(now)
    }

    /// Whether this daemon has known all servers since before any stream that can still be taken up.
    pub(super) fn has_watched(&self, now: Time) -> bool {
        let is_long = self.watched_time(now) >= MAX_STREAM_AGE;
        is_long && !self.was_frozen(now) && self.sees_servers(now)
    }

    /// Whether this daemon knows the servers that are registered now: by a recent read, its own or a peer's. While
    /// the store is down for all, no server is added. A daemon with few fresh peers may be partitioned instead.
    fn sees_servers(&self, now: Time) -> bool {
        let read_at = self.read_at.get(&Topic::Servers);
        let needed = self.peers.len().div_ceil(2).min(MIN_FRESH_PEERS);
        read_at.is_some_and(|at| now < *at + MAX_VIEW_AGE) || self.fresh_peer_count(now) >= needed
    }

    /// Time for which this daemon has known all registered servers without interruption.
    pub(in crate::fleet) fn watched_time(&self, now: Time) -> Duration {
        self.streams.watched_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether this daemon has not run for a moment, and no tick has come since.
    fn was_frozen(&self, now: Time) -> bool {
        self.streams.last_tick_at.is_none_or(|at| now >= at + MAX_TICK_GAP)
    }

    /// Restarts the time for which the servers have been known if there was an interruption.
    pub(in crate::fleet) fn watch_servers(&mut self, now: Time) {
        let is_interrupted = self.was_frozen(now) || !self.sees_servers(now);
        if is_interrupted && self.streams.watched_since.is_some() {
            self.streams.watched_since = Some(now);
        }
        self.streams.last_tick_at = Some(now);
    }
}
