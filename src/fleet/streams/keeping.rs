//! Binds streams to software versions, and has other daemons keep these.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Kept, Message, StreamId};
use crate::fleet::scheduling::Rank;
use crate::fleet::{Effect, Frame, Key, Node};
use crate::prelude::*;

/// Number of daemons that keep the version of a stream, besides the one that serves it.
const KEEPERS_PER_STREAM: usize = 3;
/// Number of daemons that are asked. Daemons that know different peers draw different keepers.
const MAX_ASKED: usize = 8;
/// Number of daemons from which keepers are drawn. It bounds the connections of each daemon for this.
const MAX_KEEPERS: usize = 32;
/// Interval at which these are listed again.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers up to which each daemon hears from all of them, so that silent ones are known.
const MAX_PEERS_HEARD: usize = 8;

impl Node {
    /// Binds a stream to the version of the server whose answer has begun.
    pub(in crate::fleet) fn bind_stream(&mut self, now: Time, key: Key, attempt: u32) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(software) = request.software_of(attempt) else { return };
        if !request.arrival.route.is_streaming {
            return;
        }
        let is_first = request.software.replace(software).is_none();
        let is_own = request.origin.is_none();
        // A scheduler does not know which stream a request takes up.
        let Some(stream) = request.stream().filter(|_| is_own || is_first) else { return };
        let time_left = request.arrival.deadline.saturating_sub(now);
        let kept = Kept { stream, software, time_left };
        let pool = self.pools.get(&request.pool);
        let is_mixed = pool.is_some_and(|pool| pool.versions.count(now) > 1);
        if is_own || is_mixed {
            self.streams.insert(now, kept, is_own);
        }
        if is_own && is_mixed {
            self.send_to_keepers(now, vec![kept]);
        }
    }

    /// Forgets the version of a stream that its caller has completely.
    pub(in crate::fleet) fn forget_stream(&mut self, key: Key) {
        if let Some(stream) = self.requests.get(&key).and_then(|request| request.stream()) {
            self.streams.remove(stream);
        }
    }

    /// Has others keep the versions of this daemon's streams, since servers of a second version have come.
    pub(in crate::fleet) fn send_own_streams(&mut self, now: Time) {
        let streams = self.streams.list(now, true);
        self.send_to_keepers(now, streams);
    }

    /// Has a daemon that has started again keep the versions of this daemon's streams that it has lost.
    pub(in crate::fleet) fn send_own_streams_to(&mut self, now: Time, id: &str) {
        let Some(address) = self.peer_address(id).filter(|_| self.has_several_versions(now)) else {
            return;
        };
        let mut streams = self.streams.list(now, true);
        streams.retain(|kept| self.keepers(now, kept.stream).iter().any(|keeper| keeper == id));
        if !streams.is_empty() {
            let frame = Frame::Streams(Message::Keep(streams));
            self.effects.push(Effect::Send(vec![address], frame));
        }
    }

    /// Whether servers of a pool have had several versions recently.
    fn has_several_versions(&self, now: Time) -> bool {
        self.pools.values().any(|pool| pool.versions.count(now) > 1)
    }

    /// Has others keep all versions that this daemon knows, since it stops.
    pub(in crate::fleet) fn hand_over_streams(&mut self, now: Time) {
        if self.has_several_versions(now) {
            let streams = self.streams.list(now, false);
            self.send_to_keepers(now, streams);
        }
    }

    /// Notes versions that another daemon has this one keep.
    pub(super) fn keep_streams(&mut self, now: Time, streams: Vec<Kept>) {
        for kept in streams {
            self.streams.insert(now, kept, false);
        }
    }

    fn send_to_keepers(&mut self, now: Time, streams: Vec<Kept>) {
        let mut by_keeper: BTreeMap<SocketAddr, Vec<Kept>> = BTreeMap::new();
        for kept in streams {
            let keepers = self.keepers(now, kept.stream);
            for address in keepers.iter().filter_map(|id| self.peer_address(id)) {
                by_keeper.entry(address).or_default().push(kept);
            }
        }
        for (address, streams) in by_keeper {
            let frame = Frame::Streams(Message::Keep(streams));
            self.effects.push(Effect::Send(vec![address], frame));
        }
    }

    /// The daemons that are to keep the version of a stream.
    fn keepers(&mut self, now: Time, stream: StreamId) -> Vec<String> {
        let mut keepers = self.ranked_keepers(now, stream);
        keepers.retain(|id| self.may_keep(now, id));
        keepers.truncate(KEEPERS_PER_STREAM);
        keepers
    }

    /// Whether nothing is known against a keeper. In a large fleet, a daemon does not hear from most others, and one
    /// that has just started has heard from none.
    fn may_keep(&self, now: Time, id: &str) -> bool {
        let hears_all = self.peers.len() <= MAX_PEERS_HEARD;
        let Some(peer) = self.peers.get(id) else { return false };
        let is_silent = hears_all && peer.heard_at.is_some() && !peer.is_fresh(now);
        !peer.is_draining() && !is_silent
    }

    /// Addresses of the daemons that may know the version of a stream.
    pub(super) fn daemons_to_ask(&mut self, now: Time, stream: StreamId) -> BTreeSet<SocketAddr> {
        let keepers = self.ranked_keepers(now, stream);
        let asked = keepers.iter().take(MAX_ASKED).filter_map(|id| self.peer_address(id));
        // The scheduler that placed the stream knows it, too.
        asked.chain(self.scheduler_addresses(now)).collect()
    }

    /// The other daemons from which keepers are drawn, in the order in which this stream draws them.
    fn ranked_keepers(&mut self, now: Time, stream: StreamId) -> Vec<String> {
        self.list_keepers(now);
        let score = |id: &String| xxh3_64_with_seed(id.as_bytes(), stream.0);
        let mut keepers = self.streams.keepers.clone();
        keepers.sort_by_cached_key(|id| Reverse(score(id)));
        keepers
    }

    /// Lists the largest VMs, this daemon's own aside.
    fn list_keepers(&mut self, now: Time) {
        if self.streams.keepers_listed_at.is_some_and(|at| now < at + LIST_INTERVAL) {
            return;
        }
        self.streams.keepers_listed_at = Some(now);
        let ranked = self.peers.iter().filter_map(|(id, peer)| Some((peer.standing?, id)));
        let mut ranked: Vec<(Rank, &String)> = ranked.collect();
        ranked.sort_by(|(a, _), (b, _)| a.compare(b));
        let keepers = ranked.into_iter().take(MAX_KEEPERS).map(|(_, id)| id.clone());
        self.streams.keepers = keepers.collect();
    }
}
