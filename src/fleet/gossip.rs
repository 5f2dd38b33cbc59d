//! Peers: their work, the weights they saw, and records that the store does not give this daemon.

use std::net::SocketAddr;

use super::{Batch, Busy, Digest, Effect, Frame, Life, Node, Topic};
use crate::prelude::*;

/// Time between two digests.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a peer's digest no longer counts, beyond the time between two of its digests.
const LIFETIME: Duration = Duration::from_millis(1_250);
/// Rounds of digests in which every peer is sent one: what is told of a server's work is stale by
/// then, since a short answer takes no longer. Measured at 61 daemons: with 3, engines reject a quarter
/// more.
const ROUNDS: usize = 2;
/// Peers that one digest goes to at most, to bound what many daemons cost each other.
const MAX_FANOUT: usize = 32;
/// Peers that one digest goes to at least.
const MIN_FANOUT: usize = 8;
/// Time between two digests to a peer that was not heard of.
const SILENT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the store may be behind a peer before the peer is asked.
const BEHIND: Duration = Duration::from_millis(250);
/// Time for which weights that were seen are told.
const TELL_WEIGHTS: Duration = Duration::from_millis(2_500);
/// Time between two digests that tell of hot parts: work is measured over some ten seconds.
const HEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which what a peer told of hot parts counts: with many peers each hears seldom of one.
const HEAT_LIFETIME: Duration = Duration::from_secs(15);
/// Parts that a digest tells of: more than can be hot at a time.
const HEAT_PARTS: usize = 24;
/// Peers that are told of new records at once: those told tell as many each, so that some 19 of 20
/// daemons hear of them within a few crossings.
const TOLD_PEERS: usize = 3;
/// Daemons that are assumed to share the retry budget until their registrations are read.
const ASSUMED_DAEMONS: usize = 16;

/// What is known of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    address: SocketAddr,
    digest: Option<Digest>,
    heard: Option<Time>,
    /// When a frame was last sent to it.
    sent: Option<Time>,
    /// Its work by part, and when it told of it.
    heat: BTreeMap<u64, f32>,
    heat_at: Time,
}

impl Peer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            digest: None,
            heard: None,
            sent: None,
            heat: BTreeMap::new(),
            heat_at: Time::ZERO,
        }
    }

    /// Peers that may be at these addresses, under the address until their ids are known.
    pub(super) fn seeds(seeds: &[SocketAddr], own: SocketAddr) -> BTreeMap<String, Self> {
        let others = seeds.iter().filter(|seed| **seed != own);
        others.map(|seed| (seed.to_string(), Self::new(*seed))).collect()
    }

    fn is_fresh(&self, now: Time, lifetime: Duration) -> bool {
        self.heard.is_some_and(|heard| now < heard + lifetime)
    }
}

impl Node {
    /// Takes over that another daemon registered.
    pub(super) fn meet(&mut self, now: Time, id: String, address: SocketAddr) {
        if id == self.identity.id {
            return;
        }
        let known = self.peers.get(&id).is_some_and(|known| known.address == address);
        if !known {
            self.peers.remove(&address.to_string());
            self.peers.insert(id, Peer::new(address));
            self.next_digest = now;
        }
    }

    /// Peers that one digest goes to.
    fn fanout(&self) -> usize {
        self.peers.len().div_ceil(ROUNDS).clamp(MIN_FANOUT, MAX_FANOUT)
    }

    /// Time after which a peer's digest no longer counts.
    fn lifetime(&self) -> Duration {
        let rounds = self.peers.len().div_ceil(self.fanout()).max(1);
        LIFETIME + INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Peers that were heard of lately.
    fn fresh(&self, now: Time) -> impl Iterator<Item = (&String, &Peer)> {
        let lifetime = self.lifetime();
        self.peers.iter().filter(move |(_, peer)| peer.is_fresh(now, lifetime))
    }

    /// Daemons that share the retry budget.
    pub(super) fn daemons(&self) -> usize {
        if self.known.contains(&Topic::Routers) { self.peers.len() + 1 } else { ASSUMED_DAEMONS }
    }

    /// Peers that were heard of, and when.
    pub(super) fn heard_peers(&self) -> impl Iterator<Item = (&str, Time)> {
        self.peers.iter().filter_map(|(id, peer)| Some((id.as_str(), peer.heard?)))
    }

    /// How many peers were heard of lately.
    pub(super) fn fresh_peers(&self, now: Time) -> usize {
        self.fresh(now).count()
    }

    /// Where the peers listen that were heard of lately.
    pub(super) fn fresh_addresses(&self, now: Time) -> Vec<SocketAddr> {
        self.fresh(now).map(|(_, peer)| peer.address).collect()
    }

    /// Where a peer listens.
    pub(super) fn peer_address(&self, daemon: &str) -> Option<SocketAddr> {
        self.peers.get(daemon).map(|peer| peer.address)
    }

    /// Peers that were heard of lately and are not stopping.
    pub(super) fn staying_peers(&self, now: Time) -> impl Iterator<Item = &str> {
        let staying = self
            .fresh(now)
            .filter(|(_, peer)| !peer.digest.as_ref().is_some_and(|digest| digest.draining));
        staying.map(|(id, _)| id.as_str())
    }

    /// How many daemons go before this one in taking the lease.
    pub(super) fn rank_among_daemons(&self, now: Time) -> u32 {
        let before = self.staying_peers(now).filter(|id| **id < *self.identity.id);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Sends digests that are due, and asks for records that peers know of and this daemon doesn't.
    pub(super) fn gossip(&mut self, now: Time) {
        if now >= self.next_digest {
            // Peers that have fallen silent no longer count.
            self.others_are_stale = true;
            self.send_digests(now);
        }
        self.ask_for_records(now);
    }

    /// Sends a digest to some peers.
    pub(super) fn send_digests(&mut self, now: Time) {
        self.next_digest = now + INTERVAL;
        self.rollout.seen.retain(|(.., at)| now < *at + TELL_WEIGHTS);
        let mut digest = self.digest(now);
        if now >= self.next_heat {
            self.next_heat = now + HEAT_INTERVAL;
            let hottest = self.heat.top(now, HEAT_PARTS).into_iter();
            digest.heat = hottest.map(|(part, work_ms)| (part.0, work_ms as f32)).collect();
        }
        let due = self.due(now);
        let addresses = due.iter().filter_map(|id| {
            let peer = self.peers.get_mut(id)?;
            peer.sent = Some(now);
            Some(peer.address)
        });
        let addresses: Vec<SocketAddr> = addresses.collect();
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Digest(digest)));
        }
    }

    /// The peers that a digest goes to now: those that have waited longest for one.
    fn due(&self, now: Time) -> Vec<String> {
        let lifetime = self.lifetime();
        let due = self.peers.iter().filter(|(_, peer)| {
            let quiet = peer.sent.is_some_and(|sent| now < sent + SILENT_INTERVAL);
            peer.is_fresh(now, lifetime) || !quiet
        });
        let mut due: Vec<(Option<Time>, &String)> = due.map(|(id, peer)| (peer.sent, id)).collect();
        due.sort_unstable();
        due.into_iter().take(self.fanout()).map(|(_, id)| id.clone()).collect()
    }

    fn digest(&self, now: Time) -> Digest {
        let busy = self
            .servers
            .values()
            .filter(|server| server.running > 0 || server.ordered.is_some())
            .map(|server| (server.entry.life.clone(), server.busy(now)));
        let seen = self.rollout.seen.iter();
        Digest {
            daemon: self.identity.id.clone(),
            address: self.identity.address.to_string(),
            incarnation: self.identity.incarnation,
            draining: self.draining,
            ends: Topic::ALL.iter().map(|topic| self.catalog.end(*topic)).collect(),
            busy: busy.collect(),
            weights: seen.map(|(life, model, v, _)| (life.clone(), model.clone(), *v)).collect(),
            heat: Vec::new(),
            refused: self.expected.own(),
            link_moved: self.link.moved(),
        }
    }

    /// Takes a frame from a peer.
    pub(super) fn frame(&mut self, now: Time, frame: Frame) {
        match frame {
            Frame::Digest(digest) => self.digest_came(now, digest),
            Frame::Notice(notice) => self.notice_came(now, notice),
            Frame::Held(told) => self.told_came(now, &told),
            Frame::AskHeld(daemon, keeper) => self.asked_held(&daemon, keeper),
            Frame::Ask(daemon, topic, from) => {
                let Some(peer) = self.peers.get(&daemon) else { return };
                let records = self.catalog.since(topic, from);
                let batch = Batch { topic, from, to: self.catalog.end(topic), records };
                self.effects.push(Effect::Send(vec![peer.address], Frame::Records(batch)));
            }
            Frame::Records(batch) => {
                if !self.known.contains(&batch.topic) {
                    let detail = Detail::of("topic", format!("{:?}", batch.topic))
                        .and("records", batch.records.len());
                    self.event(Event::SnapshotTaken, detail);
                }
                self.take(now, batch, true);
            }
        }
    }

    /// Tells a few peers of new records; they tell others, and who is missed asks by the digests.
    pub(super) fn tell_records(&mut self, now: Time, batch: Batch) {
        let mut addresses = self.fresh_addresses(now);
        self.rng.shuffle(&mut addresses);
        addresses.truncate(TOLD_PEERS);
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Records(batch)));
        }
    }

    fn digest_came(&mut self, now: Time, digest: Digest) {
        if let Ok(address) = digest.address.parse() {
            self.meet(now, digest.daemon.clone(), address);
        }
        for (life, model, version) in &digest.weights {
            if let Some(key) = self.lives.server(life) {
                self.saw_weights(now, key, model, *version);
            }
        }
        self.expected.hear(now, &digest.refused);
        // What others moved is taken off what is free by now, not off what was free at the last send.
        self.refill_link(now);
        if let Some(peer) = self.peers.get_mut(&digest.daemon) {
            let known =
                peer.digest.as_ref().filter(|known| known.incarnation == digest.incarnation);
            let moved = known.map(|known| digest.link_moved.saturating_sub(known.link_moved));
            self.link.take_off(moved.unwrap_or_default());
            peer.heard = Some(now);
            if !digest.heat.is_empty() {
                peer.heat = digest.heat.iter().copied().collect();
                peer.heat_at = now;
            }
            peer.digest = Some(digest);
        }
        self.others_are_stale = true;
    }

    /// Takes over what a peer has at one server now.
    pub(super) fn peer_has(&mut self, daemon: &str, life: Life, busy: Busy) {
        let Some(digest) = self.peers.get_mut(daemon).and_then(|peer| peer.digest.as_mut()) else {
            return;
        };
        digest.busy.insert(life, busy);
        self.others_are_stale = true;
    }

    /// Milliseconds of work a second that peers have for a part, as far as they told of it.
    pub(super) fn told_heat(&self, now: Time, part: u64) -> f64 {
        let told = self.peers.values().filter(|peer| now < peer.heat_at + HEAT_LIFETIME);
        told.filter_map(|peer| peer.heat.get(&part)).map(|work_ms| f64::from(*work_ms)).sum()
    }

    /// Adds up what peers have at each server, where they told something new: many digests come between
    /// two requests.
    pub(super) fn sum_others(&mut self, now: Time) {
        if !std::mem::take(&mut self.others_are_stale) {
            return;
        }
        self.others.clear();
        let lifetime = self.lifetime();
        for peer in self.peers.values().filter(|peer| peer.is_fresh(now, lifetime)) {
            let (Some(digest), Some(told)) = (&peer.digest, peer.heard) else { continue };
            for (life, busy) in &digest.busy {
                if let Some(key) = self.lives.server(life) {
                    self.others.entry(key).or_default().add(told, busy);
                }
            }
        }
    }

    fn ask_for_records(&mut self, now: Time) {
        for (index, topic) in Topic::ALL.into_iter().enumerate() {
            let own = self.catalog.end(topic);
            let ahead = self
                .fresh(now)
                .filter_map(|(_, peer)| {
                    Some((*peer.digest.as_ref()?.ends.get(index)?, peer.address))
                })
                .max_by_key(|(end, _)| *end)
                .filter(|(end, _)| *end > own);
            let Some((_, address)) = ahead else {
                self.behind.remove(&topic);
                continue;
            };
            if now >= *self.behind.entry(topic).or_insert(now) + BEHIND {
                self.behind.insert(topic, now);
                let frame = Frame::Ask(self.identity.id.clone(), topic, own);
                self.effects.push(Effect::Send(vec![address], frame));
            }
        }
    }
}
