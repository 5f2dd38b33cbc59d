//! Exchange of records with peers: new ones are forwarded, and those that a peer lacks are sent on
//! request.

use crate::fleet::{Batch, Digest, Effect, Frame, Node, Topic};
use crate::prelude::*;

/// Time for the store to deliver records that a peer already has, before the peer is asked for
/// them.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);
/// Number of peers to which a daemon that does not schedule forwards new records.
const FORWARD_FANOUT: usize = 3;
/// Maximum number of records that it forwards to others than the scheduler of the topic.
const MAX_RECORDS_TO_FEW: usize = 64;

impl Node {
    /// Sends a peer the records of a topic from an offset.
    pub(in crate::fleet) fn send_records(
        &mut self,
        now: Time,
        daemon: &str,
        topic: Topic,
        from: u64,
    ) {
        let Some(address) = self.peer_address(daemon) else { return };
        if !self.known_topics.contains(&topic) {
            return;
        }
        let to = self.catalog.end(topic);
        // A daemon that started from a snapshot lacks earlier removals. If the peer received only
        // the records since, it would keep removed keys and consider the gap filled.
        let is_complete = self.catalog.has_tombstones(topic, from);
        let from = if is_complete { from } else { 0 };
        let batch = Batch { topic, from, to, records: self.catalog.since(topic, from) };
        if !self.may_send_copy(now, batch.size()) {
            return;
        }
        let frame = if is_complete { Frame::Records(batch) } else { Frame::Snapshot(batch) };
        self.effects.push(Effect::Send(vec![address], frame));
    }

    /// Applies records of a topic from a peer, which may complete the topic.
    pub(in crate::fleet) fn apply_from_peer(
        &mut self,
        topic: Topic,
        apply: impl FnOnce(&mut Self),
    ) {
        let was_known = self.known_topics.contains(&topic);
        apply(self);
        if !was_known && self.known_topics.contains(&topic) {
            let records = self.catalog.since(topic, 0).len();
            let detail = Detail::of("topic", format!("{topic:?}")).and("records", records);
            self.event(Event::SnapshotTaken, detail);
        }
    }

    /// Forwards new records to peers: the topic's scheduler to all that it hears from, any other
    /// daemon to that scheduler and to a few, which forward them in turn. A peer that is missed
    /// notices from digests and asks.
    pub(in crate::fleet) fn forward_records(&mut self, now: Time, batch: Batch) {
        let name = format!("{:?}", batch.topic);
        let scheduler = self.scheduler_of(now, &name).map(str::to_owned);
        if self.is_scheduler(now) && scheduler.is_none() {
            let peers = self.fresh_peers(now);
            return self.multicast(peers, Frame::Records(batch));
        }
        let scheduler = scheduler.and_then(|id| self.peer_address(&id));
        if batch.records.len() > MAX_RECORDS_TO_FEW {
            // Other peers get them from the scheduler.
            let frame = Frame::Records(batch);
            return self.effects.extend(scheduler.map(|to| Effect::Send(vec![to], frame)));
        }
        let mut addresses = self.fresh_peer_addresses(now);
        addresses.retain(|address| Some(*address) != scheduler);
        self.rng.shuffle(&mut addresses);
        addresses.truncate(FORWARD_FANOUT - usize::from(scheduler.is_some()));
        addresses.extend(scheduler);
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Records(batch)));
        }
    }

    /// Records the peer with the most records of each topic, if it has more than this daemon.
    pub(in crate::fleet) fn note_peer_ahead(&mut self, digest: &Digest) {
        for (topic, end) in Topic::ALL.into_iter().zip(&digest.end_offsets) {
            let known = self.ahead.get(&topic).and_then(|id| self.peers.get(id));
            let known = known.map_or(0, |peer| peer.end_offset(topic));
            if *end > self.catalog.end(topic).max(known) {
                self.ahead.insert(topic, digest.daemon.clone());
            }
        }
    }

    /// Requests the records that a peer has and the store has not delivered in time.
    pub(in crate::fleet) fn request_missing_records(&mut self, now: Time) {
        for topic in Topic::ALL {
            if self.awaits_first_copy(now, topic) {
                continue;
            }
            let own = self.catalog.end(topic);
            let is_ahead = |id: &&String| {
                let peer = self.peers.get(*id);
                peer.is_some_and(|peer| peer.is_fresh(now) && peer.end_offset(topic) > own)
            };
            let Some(peer) = self.ahead.get(&topic).filter(is_ahead).cloned() else {
                self.ahead.remove(&topic);
                self.behind.remove(&topic);
                continue;
            };
            if now >= *self.behind.entry(topic).or_insert(now) + CATCH_UP_DELAY {
                self.behind.insert(topic, now);
                self.request_records(now, &peer, topic, own);
            }
        }
    }
}
