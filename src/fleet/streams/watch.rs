//! Proves that one software version alone has served a pool, from an unbroken view of the servers' registrations.
//!
//! A view that is a little old can lack a version that has just appeared. Daemons therefore begin no stream at such a
//! version before every daemon knows it, or can no longer prove anything from a view without it.

use super::Software;
use super::software::{MAX_STREAM_AGE, Spread};
use crate::fleet::peer::Peer;
use crate::fleet::{Digest, Node, Topic};
use crate::prelude::*;

/// Maximum age of a view from which anything is proven. Reads that wait for records, one after another, keep it younger.
pub(super) const MAX_VIEW_AGE: Duration = Duration::from_secs(3);
/// Time without a tick after which this daemon was frozen.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Longest wait of a daemon that has started for a peer's digest, which states the settled versions.
const FIRST_DIGEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of peers up to which each daemon gets digests from all of them.
pub(super) const MAX_PEERS_WITH_ALL_DIGESTS: usize = 8;

/// What this daemon knows of the servers' registrations.
#[derive(Debug, Default)]
pub(in crate::fleet) struct View {
    /// When it first had all registrations.
    copied_at: Option<Time>,
    /// Since when it has known all registrations without interruption.
    watched_since: Option<Time>,
    /// Time up to which it has all registrations, by reads of its own.
    read_until: Option<Time>,
    /// The same by reads of its own or of peers.
    complete_until: Option<Time>,
    /// Time up to which it has all registrations that any peer has.
    agreed_until: Option<Time>,
    last_tick_at: Option<Time>,
    /// Whether it was up to date at the last tick.
    was_current: bool,
}

impl View {
    /// Time up to which it includes every version that can have begun a stream.
    fn time(&self) -> Option<Time> {
        self.complete_until.max(self.agreed_until)
    }

    fn is_current(&self, now: Time) -> bool {
        self.time().is_some_and(|at| now < at + MAX_VIEW_AGE)
    }

    /// Whether this daemon has not run for a moment, and no tick has come since.
    fn was_frozen(&self, now: Time) -> bool {
        self.last_tick_at.is_none_or(|at| now >= at + MAX_TICK_GAP)
    }

    fn begin(&mut self, now: Time) {
        self.copied_at.get_or_insert(now);
        self.watched_since.get_or_insert(now);
    }

    /// Begins the watch anew if this daemon was frozen or its view is not current. Returns whether the latter is new.
    fn tick(&mut self, now: Time) -> bool {
        let is_current = self.is_current(now);
        let is_interrupted = !is_current || self.was_frozen(now);
        if let Some(since) = self.watched_since.as_mut().filter(|_| is_interrupted) {
            *since = now;
        }
        self.last_tick_at = Some(now);
        std::mem::replace(&mut self.was_current, is_current) && !is_current
    }

    /// The view includes everything up to `at`. Versions may have come and gone in a long gap before.
    fn extend(&mut self, at: Time) {
        let has_gap = self.time().is_none_or(|known| at >= known + MAX_VIEW_AGE);
        if let Some(since) = self.watched_since.as_mut().filter(|_| has_gap) {
            *since = at.max(*since);
        }
    }
}

impl Node {
    /// The version of a pool's servers, if it is proven that no other began a stream that can still be taken up.
    pub(super) fn proven_software(&self, now: Time, pool: &str) -> Option<Software> {
        self.pools.get(pool).filter(|_| self.has_watched(now))?.versions.only(now)
    }

    /// Whether this daemon has known all servers since before any stream that can still be taken up.
    pub(super) fn has_watched(&self, now: Time) -> bool {
        let is_long = self.watched_time(now) >= MAX_STREAM_AGE;
        is_long && !self.streams.view.was_frozen(now) && self.has_current_view(now)
    }

    /// Whether this daemon knows the servers that are registered now, but for those that joined in the last moments.
    pub(super) fn has_current_view(&self, now: Time) -> bool {
        self.streams.view.is_current(now)
    }

    /// Time for which this daemon has known all registered servers without interruption.
    pub(in crate::fleet) fn watched_time(&self, now: Time) -> Duration {
        self.streams.view.watched_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Age of this daemon's view of the servers.
    pub(in crate::fleet) fn view_age(&self, now: Time) -> Option<Duration> {
        self.streams.view.time().map(|at| now.saturating_sub(at))
    }

    /// Begins to watch the servers: this daemon has a first copy of all registrations.
    pub(in crate::fleet) fn begin_watch(&mut self, now: Time) {
        self.streams.view.begin(now);
        let digests = self.peers.values().filter_map(|peer| peer.digest.as_ref());
        let settled: Vec<Software> =
            digests.flat_map(|digest| digest.settled_versions.iter().copied()).collect();
        self.adopt_settled_versions(&settled);
        self.settle_versions(now);
    }

    /// Time since this daemon last had all registrations by a read of its own, for its digests. Ages that peers have
    /// stated are not passed on, as each daemon on the way would make them a little lower.
    pub(in crate::fleet) fn registrations_age(&self, now: Time) -> Option<Duration> {
        self.streams.view.read_until.map(|at| now.saturating_sub(at))
    }

    /// This daemon has read all registrations up to the time `at`, which end at offset `to`.
    pub(in crate::fleet) fn note_registrations_read(&mut self, at: Time, to: u64) {
        if self.catalog.end(Topic::Servers) >= to {
            let read_until = &mut self.streams.view.read_until;
            *read_until = (*read_until).max(Some(at));
            self.note_registrations(at);
        }
    }

    /// A peer has all registrations up to some time, and this daemon has all that the peer has.
    pub(in crate::fleet) fn note_peer_registrations(
        &mut self,
        now: Time,
        digest: &Digest,
        delay: Option<Duration>,
    ) {
        let end = digest.end_offsets.get(Topic::Servers as usize).copied();
        let has_all = end.is_some_and(|end| end <= self.catalog.end(Topic::Servers));
        let age = digest.registrations_age.zip(delay).filter(|_| has_all);
        if let Some(at) = age.and_then(|(age, delay)| now.checked_sub(age.saturating_add(delay))) {
            self.note_registrations(at);
        }
    }

    fn note_registrations(&mut self, at: Time) {
        let view = &mut self.streams.view;
        view.extend(at);
        view.complete_until = view.complete_until.max(Some(at));
    }

    /// Updates the view of the servers. If it is interrupted, peers get the bindings that this daemon alone has.
    pub(in crate::fleet) fn watch_servers(&mut self, now: Time) {
        if let Some(at) = self.agreed_until(now) {
            self.streams.view.extend(at);
            self.streams.view.agreed_until = self.streams.view.agreed_until.max(Some(at));
        }
        if self.streams.view.tick(now) {
            self.replicate_own_streams(now);
        }
        self.settle_versions(now);
    }

    /// Time up to which this daemon has all registrations that any peer has, if it gets digests from all of them. While
    /// the store is down for all, no daemon knows more.
    fn agreed_until(&self, now: Time) -> Option<Time> {
        let topic = Topic::Servers;
        let end = self.catalog.end(topic);
        if self.peers.len() > MAX_PEERS_WITH_ALL_DIGESTS || !self.catalog.is_contiguous(topic) {
            return None;
        }
        let heard_at = |peer: &Peer| {
            let at = peer.heard_at.filter(|_| peer.end_offset(topic) <= end)?;
            at.checked_sub(peer.known_digest_delay()?)
        };
        let heard: Option<Vec<Time>> = self.registered_peers().map(heard_at).collect();
        heard?.into_iter().min().filter(|at| now < *at + MAX_VIEW_AGE)
    }

    /// Peers with an id. Addresses of the settings may be those of no daemon.
    fn registered_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(|(id, peer)| **id != peer.address.to_string())
            .map(|(_, peer)| peer)
    }

    /// Whether no stream may begin at a version yet.
    pub(super) fn is_version_held_back(&self, now: Time, pool: &str, version: Software) -> bool {
        let Some(pool) = self.pools.get(pool).filter(|pool| pool.versions.has_unsettled()) else {
            return false;
        };
        let copied_at = self.streams.view.copied_at;
        let may_guess = copied_at.is_some_and(|at| now >= at + FIRST_DIGEST_TIMEOUT);
        pool.versions.is_held_back(now, version, may_guess)
    }

    /// Settled software versions, for this daemon's digests.
    pub(in crate::fleet) fn settled_versions(&self) -> Vec<Software> {
        self.pools.values().flat_map(|pool| pool.versions.settled()).collect()
    }

    /// Settles the software versions that a peer states as settled.
    pub(in crate::fleet) fn adopt_settled_versions(&mut self, versions: &[Software]) {
        if !self.pools.values().any(|pool| pool.versions.has_unsettled()) {
            return;
        }
        for version in versions {
            self.pools.values_mut().for_each(|pool| pool.versions.adopt(*version));
        }
    }

    /// Settles software versions. Few ticks have any to settle.
    fn settle_versions(&mut self, now: Time) {
        if !self.pools.values().any(|pool| pool.versions.has_unsettled()) {
            return;
        }
        let spread = self.spread(now);
        let mut settled = Vec::new();
        for (name, pool) in &mut self.pools {
            for version in pool.versions.settle(now, spread, &self.servers, &self.catalog) {
                let server = pool.versions.servers_of(version).first();
                let server = server.and_then(|(key, _)| self.servers.get(*key));
                let software = server.map(|server| server.entry.software.clone());
                let detail = Detail::of("pool", name.as_str()).and_some("software", software);
                settled.push(detail);
            }
        }
        for detail in settled {
            self.event(Event::SoftwareSettled, detail);
        }
    }

    /// What this daemon knows of the others' copies of the registrations. A walk over all peers, while a version is not
    /// settled.
    fn spread(&self, now: Time) -> Spread {
        let topic = Topic::Servers;
        let end = self.catalog.end(topic);
        let mut peers = self.registered_peers().peekable();
        let hears_any = peers.peek().is_none() || peers.any(|peer| peer.is_fresh(now));
        let knows_peers = self.known_topics.contains(&Topic::Routers);
        let peer_ends = self.registered_peers().map(|peer| peer.end_offset(topic));
        let (lowest, highest) = peer_ends
            .fold((end, 0), |(lowest, highest), peer| (peer.min(lowest), peer.max(highest)));
        Spread {
            own_end: Some(end).filter(|_| self.catalog.is_contiguous(topic)),
            peers_end: Some(lowest).filter(|_| knows_peers && highest <= end),
            complete_until: self.streams.view.complete_until.filter(|_| hears_any),
        }
    }
}
