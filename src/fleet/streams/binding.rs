//! Binds streams to software versions, and replicates the bindings to other daemons.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::watch::MAX_PEERS_WITH_ALL_DIGESTS;
use super::{Binding, Message, StreamId};
use crate::fleet::request::Phase;
use crate::fleet::scheduling::Rank;
use crate::fleet::{Effect, Frame, Key, Node};
use crate::prelude::*;

/// Number of daemons with a replica of a binding, besides the one that serves the stream.
const REPLICAS_PER_STREAM: usize = 3;
/// Number of daemons that are asked for a binding. Daemons that know different peers choose different replicas.
const MAX_ASKED: usize = 8;
/// Number of daemons among which replicas are chosen. It bounds the connections of each daemon for this.
const MAX_CANDIDATES: usize = 32;
/// Interval at which these are listed again.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

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
        let is_placed_here = matches!(request.phase, Phase::Sent { .. });
        // A scheduler does not know which stream a request takes up.
        let Some(stream) = request.stream().filter(|_| is_own || is_first) else { return };
        let time_left = request.arrival.deadline.saturating_sub(now);
        let binding = Binding { stream, software, time_left };
        let pool = self.pools.get(&request.pool);
        let has_several = pool.is_some_and(|pool| pool.versions.count(now) > 1);
        // Lookups go to the schedulers, too. Without proof of one version, they need the binding.
        if is_own || has_several || !self.has_watched(now) {
            self.streams.insert(now, binding, is_own);
        }
        // A daemon that placed the stream itself may be the only one with its binding.
        let is_only_record = is_placed_here && !self.has_watched(now);
        if is_own && (has_several || is_only_record || !self.has_current_view(now)) {
            self.replicate(now, vec![binding]);
        }
    }

    /// Removes the binding of a stream that its caller has completely.
    pub(in crate::fleet) fn unbind_stream(&mut self, key: Key) {
        if let Some(stream) = self.requests.get(&key).and_then(|request| request.stream()) {
            self.streams.remove(stream);
        }
    }

    /// Replicates the bindings of this daemon's streams, because a second version has appeared or other daemons may no
    /// longer be able to prove that there is none.
    pub(in crate::fleet) fn replicate_own_streams(&mut self, now: Time) {
        let bindings = self.streams.list(now, true);
        self.replicate(now, bindings);
    }

    /// Replicates bindings of this daemon's streams to a daemon that has lost its replicas in a restart.
    pub(in crate::fleet) fn restore_replicas(&mut self, now: Time, id: &str) {
        let Some(address) = self.peer_address(id).filter(|_| self.needs_replicas(now)) else {
            return;
        };
        let mut bindings = self.streams.list(now, true);
        bindings.retain(|binding| self.replicas(now, binding.stream).iter().any(|it| it == id));
        if !bindings.is_empty() {
            let frame = Frame::Streams(Message::Replicate(bindings));
            self.effects.push(Effect::Send(vec![address], frame));
        }
    }

    /// Replicates all bindings that this daemon has because it is stopping.
    pub(in crate::fleet) fn replicate_all_streams(&mut self, now: Time) {
        if self.needs_replicas(now) {
            let bindings = self.streams.list(now, false);
            self.replicate(now, bindings);
        }
    }

    /// Whether servers of a pool have had several versions recently, or may have had.
    fn needs_replicas(&self, now: Time) -> bool {
        !self.has_current_view(now) || self.pools.values().any(|pool| pool.versions.count(now) > 1)
    }

    /// Stores replicas of another daemon's bindings.
    pub(super) fn store_replicas(&mut self, now: Time, bindings: Vec<Binding>) {
        for binding in bindings {
            self.streams.insert(now, binding, false);
        }
    }

    fn replicate(&mut self, now: Time, bindings: Vec<Binding>) {
        let mut by_replica: BTreeMap<SocketAddr, Vec<Binding>> = BTreeMap::new();
        for binding in bindings {
            let replicas = self.replicas(now, binding.stream);
            for address in replicas.iter().filter_map(|id| self.peer_address(id)) {
                by_replica.entry(address).or_default().push(binding);
            }
        }
        for (address, bindings) in by_replica {
            let frame = Frame::Streams(Message::Replicate(bindings));
            self.effects.push(Effect::Send(vec![address], frame));
        }
    }

    /// The daemons that get replicas of a stream's binding.
    fn replicas(&mut self, now: Time, stream: StreamId) -> Vec<String> {
        let mut replicas = self.ranked_candidates(now, stream);
        replicas.retain(|id| self.may_be_replica(now, id));
        replicas.truncate(REPLICAS_PER_STREAM);
        replicas
    }

    /// Whether a daemon is not known to be silent or stopping. In a large fleet, a daemon gets no digests from most
    /// others, and one that has just started has got none.
    fn may_be_replica(&self, now: Time, id: &str) -> bool {
        let Some(peer) = self.peers.get(id) else { return false };
        let shows_silence =
            self.peers.len() <= MAX_PEERS_WITH_ALL_DIGESTS && peer.heard_at.is_some();
        !peer.is_draining() && (!shows_silence || peer.is_fresh(now))
    }

    /// Addresses of the daemons that may have the binding of a stream.
    pub(super) fn daemons_to_ask(&mut self, now: Time, stream: StreamId) -> BTreeSet<SocketAddr> {
        let candidates = self.ranked_candidates(now, stream);
        let asked = candidates.iter().take(MAX_ASKED).filter_map(|id| self.peer_address(id));
        // The scheduler that placed the stream has it, too.
        asked.chain(self.scheduler_addresses(now)).collect()
    }

    /// The candidates for replicas, in the order in which this stream prefers them.
    fn ranked_candidates(&mut self, now: Time, stream: StreamId) -> Vec<String> {
        self.list_candidates(now);
        let score = |id: &String| xxh3_64_with_seed(id.as_bytes(), stream.0);
        let mut candidates = self.streams.candidates.clone();
        candidates.sort_by_cached_key(|id| Reverse(score(id)));
        candidates
    }

    /// Lists the peers on the largest VMs.
    fn list_candidates(&mut self, now: Time) {
        if self.streams.candidates_listed_at.is_some_and(|at| now < at + LIST_INTERVAL) {
            return;
        }
        self.streams.candidates_listed_at = Some(now);
        let ranked = self.peers.iter().filter_map(|(id, peer)| Some((peer.standing?, id)));
        let mut ranked: Vec<(Rank, &String)> = ranked.collect();
        ranked.sort_by(|(a, _), (b, _)| a.compare(b));
        let candidates = ranked.into_iter().take(MAX_CANDIDATES).map(|(_, id)| id.clone());
        self.streams.candidates = candidates.collect();
    }
}
