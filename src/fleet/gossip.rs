//! Peers: their work, the weights they saw, and records that the store does not give this daemon.

use std::net::SocketAddr;

use super::peer::{DIGEST_INTERVAL, Peer};
use super::scheduling::Rank;
use super::{Batch, Digest, Effect, Frame, Incarnation, Node, Topic, Workload};
use crate::prelude::*;

/// Peers that a daemon tells of itself at least, the schedulers included: records and ages spread also
/// where all of them are gone.
const MIN_FANOUT: usize = 8;
/// Peers for each of which daemons that do not schedule wait one interval longer between two digests,
/// so that the schedulers take as many a second however many daemons there are.
const PEERS_PER_INTERVAL: usize = 48;
/// Intervals between two digests at most.
const MAX_INTERVALS: usize = 4;
/// Intervals between two digests of a scheduler to daemons that do not schedule: what they go by is that
/// it is there, and what it has read.
const ANNOUNCEMENT_INTERVALS: u32 = 2;
/// Time between two digests to a peer that was not heard of.
const SILENT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the store may be behind a peer before the peer is asked.
const CATCH_UP_DELAY: Duration = Duration::from_millis(250);
/// Time for which weights that were seen are told.
const SEEN_WEIGHTS_LIFETIME: Duration = Duration::from_millis(2_500);
/// Time between two digests that tell of hot parts: work is measured over some ten seconds.
const HEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which what a peer told of hot parts counts.
const HEAT_LIFETIME: Duration = Duration::from_secs(15);
/// Parts that a digest tells of: more than can be hot at a time.
const MAX_HOT_PARTS: usize = 24;
/// Peers that are told of new records at once by a daemon that does not schedule.
const FORWARD_FANOUT: usize = 3;
/// Daemons that are assumed to share the retry budget until their registrations are read.
const ASSUMED_DAEMONS: usize = 16;

impl Node {
    /// Takes over that another daemon registered, on a VM with so many cores where it says so.
    pub(super) fn register_peer(&mut self, now: Time, id: String, address: SocketAddr, cores: f32) {
        if id == self.identity.id {
            return;
        }
        let standing = (cores > 0.0).then(|| Rank::new(&id, cores));
        match self.peers.get_mut(&id).filter(|known| known.address == address) {
            Some(known) => known.standing = standing.or(known.standing),
            None => {
                self.peers.remove(&address.to_string());
                self.peers.insert(id, Peer::new(address, standing));
                self.next_digest = self.next_digest.min(now + DIGEST_INTERVAL / 5);
            }
        }
    }

    /// Peers that were heard of lately.
    fn live_peers(&self, now: Time) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_fresh(now))
    }

    /// Daemons that share the retry budget.
    pub(super) fn daemon_count(&self) -> usize {
        if self.known_topics.contains(&Topic::Routers) {
            self.peers.len() + 1
        } else {
            ASSUMED_DAEMONS
        }
    }

    /// Peers that were heard of, and when.
    pub(super) fn heard_peers(&self) -> impl Iterator<Item = (&str, Time)> {
        self.peers.iter().filter_map(|(id, peer)| Some((id.as_str(), peer.heard_at?)))
    }

    /// How many peers were heard of lately.
    pub(super) fn fresh_peer_count(&self, now: Time) -> usize {
        self.live_peers(now).count()
    }

    /// Where the peers listen that were heard of lately.
    pub(super) fn fresh_peer_addresses(&self, now: Time) -> Vec<SocketAddr> {
        self.live_peers(now).map(|(_, peer)| peer.address).collect()
    }

    /// Where a peer listens.
    pub(super) fn peer_address(&self, daemon: &str) -> Option<SocketAddr> {
        self.peers.get(daemon).map(|peer| peer.address)
    }

    /// Sends digests that are due, and asks for records that peers know of and this daemon doesn't.
    pub(super) fn gossip(&mut self, now: Time) {
        if now >= self.next_digest {
            // Peers that have fallen silent no longer count.
            self.peer_loads_stale = true;
            self.send_digests(now);
        }
        self.request_missing_records(now);
    }

    /// Sends digests: a scheduler's to all, any other daemon's to the schedulers and a few others.
    pub(super) fn send_digests(&mut self, now: Time) {
        self.rollout.observed.retain(|(.., at)| now < *at + SEEN_WEIGHTS_LIFETIME);
        let schedules = self.is_scheduler(now);
        let interval = if schedules { DIGEST_INTERVAL } else { self.digest_interval() };
        self.next_digest = now + interval;
        let (schedulers, others) = self.due_peers(now, schedules);
        let mut digest = Digest { interval, ..self.digest(now) };
        if now >= self.next_heat_digest {
            self.next_heat_digest = now + HEAT_INTERVAL;
            let hottest = self.heat.top(now, MAX_HOT_PARTS).into_iter();
            digest.heat = hottest.map(|(part, work_ms)| (part.0, work_ms as f32)).collect();
        }
        if schedules {
            let announced = Digest {
                interval: DIGEST_INTERVAL * ANNOUNCEMENT_INTERVALS,
                busy: BTreeMap::new(),
                heat: Vec::new(),
                refused: Vec::new(),
                used: Vec::new(),
                ..digest.clone()
            };
            self.send_digest(now, &others, announced);
            self.send_digest(now, &schedulers, digest);
        } else {
            let all: Vec<String> = schedulers.into_iter().chain(others).collect();
            self.send_digest(now, &all, digest);
        }
    }

    fn send_digest(&mut self, now: Time, to: &[String], digest: Digest) {
        let addresses = to.iter().filter_map(|id| {
            let peer = self.peers.get_mut(id)?;
            peer.sent_at = Some(now);
            Some(peer.address)
        });
        let addresses: Vec<SocketAddr> = addresses.collect();
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Digest(Box::new(digest))));
        }
    }

    /// Time between two digests of a daemon that does not schedule.
    fn digest_interval(&self) -> Duration {
        let intervals = self.peers.len().div_ceil(PEERS_PER_INTERVAL).clamp(1, MAX_INTERVALS);
        DIGEST_INTERVAL * u32::try_from(intervals).unwrap_or(1)
    }

    /// The peers that a digest goes to now, the schedulers first: of the others all that have not been
    /// told for some time where this daemon schedules or stops, or else those that have waited longest.
    fn due_peers(&self, now: Time, schedules: bool) -> (Vec<String>, Vec<String>) {
        let (mut schedulers, mut others) = (Vec::new(), Vec::new());
        let ranking: BTreeSet<&String> = self.other_schedulers().map(|(id, _)| id).collect();
        for (id, peer) in &self.peers {
            let interval = match (peer.is_fresh(now), ranking.contains(id)) {
                (_, true) => Duration::ZERO,
                (true, false) if self.draining => Duration::ZERO,
                (true, false) => DIGEST_INTERVAL * ANNOUNCEMENT_INTERVALS,
                (false, false) => SILENT_INTERVAL,
            };
            // Ticks come a little early or late.
            if peer.sent_at.is_some_and(|sent| now + DIGEST_INTERVAL / 5 < sent + interval) {
                continue;
            }
            let due = if ranking.contains(id) { &mut schedulers } else { &mut others };
            due.push((peer.sent_at, id));
        }
        if !schedules && !self.draining {
            others.sort_unstable();
            others.truncate(MIN_FANOUT.saturating_sub(schedulers.len()));
        }
        let schedulers = schedulers.into_iter().map(|(_, id): (Option<Time>, &String)| id.clone());
        let others = others.into_iter().map(|(_, id): (Option<Time>, &String)| id.clone());
        (schedulers.collect(), others.collect())
    }

    fn digest(&self, now: Time) -> Digest {
        let busy = self
            .servers
            .values()
            .filter(|server| server.running > 0 || server.order.is_some())
            .map(|server| (server.entry.incarnation.clone(), server.busy(now)));
        let seen = self.rollout.observed.iter();
        Digest {
            daemon: self.identity.id.clone(),
            address: self.identity.address.to_string(),
            cores: self.identity.cores,
            interval: DIGEST_INTERVAL,
            read_ages: self.read_ages(now),
            incarnation: self.identity.incarnation,
            draining: self.draining,
            ends: Topic::ALL.iter().map(|topic| self.catalog.end(*topic)).collect(),
            busy: busy.collect(),
            weights: seen.map(|(life, model, v, _)| (life.clone(), model.clone(), *v)).collect(),
            heat: Vec::new(),
            refused: self.expected.own(),
            link_moved: self.kv_link.moved_bytes(),
            blocked: self.poison.unstored_blocks(now),
            sent: now,
            named: self.rollout.own_namings.recent(now, self.policy.weights_limit),
            missed_nothing_for: self.rollout.complete_until.map(|at| now.saturating_sub(at)),
            keeper: self.quota_leadership.keeper_id().to_owned(),
            used: self.quota.used(now),
        }
    }

    /// Takes a frame from a peer.
    pub(super) fn handle_frame(&mut self, now: Time, frame: Frame) {
        match frame {
            Frame::Digest(digest) => self.handle_digest(now, *digest),
            Frame::Notice(notice) => self.apply_notice(now, notice),
            Frame::Held(told) => self.handle_residency_update(now, &told),
            Frame::AskHeld(daemon, keeper) => self.send_full_residency(&daemon, keeper),
            Frame::Submission(submission) => self.handle_submission(now, *submission),
            Frame::Progress(progress) => self.handle_progress(now, progress),
            Frame::Verdict(verdict) => self.handle_verdict(now, *verdict),
            Frame::Poison(message) => self.receive_poison_message(now, message),
            Frame::Ask(daemon, topic, from) => self.send_records(&daemon, topic, from),
            Frame::Records(batch) => {
                self.apply_from_peer(batch.topic, |node| node.apply_batch(now, batch, true));
            }
            Frame::Snapshot(batch) => {
                self.apply_from_peer(batch.topic, |node| node.apply_snapshot(now, batch));
            }
        }
    }

    /// Answers a peer that wants the records of a topic from an offset.
    fn send_records(&mut self, daemon: &str, topic: Topic, from: u64) {
        let Some(peer) = self.peers.get(daemon) else { return };
        if !self.known_topics.contains(&topic) {
            return;
        }
        let to = self.catalog.end(topic);
        // A daemon that read what was left knows of no removals before: with the records from then on alone,
        // the peer would keep what is gone, and take what it missed for read.
        let frame = if self.catalog.has_tombstones(topic, from) {
            Frame::Records(Batch { topic, from, to, records: self.catalog.since(topic, from) })
        } else {
            Frame::Snapshot(Batch { topic, from: 0, to, records: self.catalog.since(topic, 0) })
        };
        self.effects.push(Effect::Send(vec![peer.address], frame));
    }

    /// Takes over what a peer tells of a topic, which may be all that was missing of it.
    fn apply_from_peer(&mut self, topic: Topic, take: impl FnOnce(&mut Self)) {
        let was_known = self.known_topics.contains(&topic);
        take(self);
        if !was_known && self.known_topics.contains(&topic) {
            let records = self.catalog.since(topic, 0).len();
            let detail = Detail::of("topic", format!("{topic:?}")).and("records", records);
            self.event(Event::SnapshotTaken, detail);
        }
    }

    /// Tells peers of new records: the scheduler of the topic all that it hears of, any other daemon a
    /// few, who tell others. Who is missed asks by the digests.
    pub(super) fn forward_records(&mut self, now: Time, batch: Batch) {
        let mut addresses = self.fresh_peer_addresses(now);
        let schedules = self.is_scheduler(now);
        if !schedules || self.scheduler_of(now, &format!("{:?}", batch.topic)).is_some() {
            self.rng.shuffle(&mut addresses);
            addresses.truncate(FORWARD_FANOUT);
        }
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Records(batch)));
        }
    }

    fn handle_digest(&mut self, now: Time, digest: Digest) {
        if let Ok(address) = digest.address.parse() {
            self.register_peer(now, digest.daemon.clone(), address, digest.cores);
        }
        for (life, model, version) in &digest.weights {
            if let Some(key) = self.incarnations.server(life) {
                self.note_weights(now, key, model, *version);
            }
        }
        self.expected.merge_peer(now, &digest.refused);
        self.merge_blocks(now, &digest.blocked);
        self.record_peer_usage(now, &digest);
        // What others moved is taken off what is free by now, not off what was free at the last send.
        self.refill_link(now);
        if let Some(peer) = self.peers.get_mut(&digest.daemon) {
            let known =
                peer.digest.as_ref().filter(|known| known.incarnation == digest.incarnation);
            let moved = known.map(|known| digest.link_moved.saturating_sub(known.link_moved));
            self.kv_link.deduct(moved.unwrap_or_default());
            let restarted =
                peer.digest.as_ref().is_some_and(|known| known.incarnation != digest.incarnation);
            peer.heard_at = Some(now);
            if !digest.heat.is_empty() {
                peer.heat = digest.heat.iter().copied().collect();
                peer.heat_at = now;
            }
            let (daemon, incarnation) = (digest.daemon.clone(), digest.incarnation);
            let told_before = peer.digest.as_ref().is_some_and(|known| !known.named.is_empty());
            self.rollout.merge_is_stale |= told_before || !digest.named.is_empty();
            peer.record_digest(now, &digest);
            let delay = peer.digest_delay();
            let told =
                (digest.ends.get(Topic::Operator as usize).copied(), digest.missed_nothing_for);
            peer.digest = Some(digest);
            self.apply_peer_completeness(now, told, delay);
            if restarted {
                self.drop_past_incarnations(now, &daemon, incarnation);
            }
        }
        self.peer_loads_stale = true;
    }

    /// Takes over that a peer which knew of records up to an end had missed nothing that operators published for some
    /// time, where this daemon lacks nothing that the peer has.
    fn apply_peer_completeness(
        &mut self,
        now: Time,
        (end, age): (Option<u64>, Option<Duration>),
        delay: Duration,
    ) {
        let ahead = end.is_none_or(|end| end > self.catalog.end(Topic::Operator));
        // What was before this daemon's clock began tells nothing of the time since.
        let at = age.and_then(|age| now.checked_sub(age.saturating_add(delay)));
        if let Some(at) = at.filter(|_| !ahead && self.has_all_operator_records()) {
            self.note_complete_until(at);
        }
    }

    /// Takes over what a peer has at one server now.
    pub(super) fn set_peer_load(&mut self, daemon: &str, life: Incarnation, busy: Workload) {
        let Some(digest) = self.peers.get_mut(daemon).and_then(|peer| peer.digest.as_mut()) else {
            return;
        };
        digest.busy.insert(life, busy);
        self.peer_loads_stale = true;
    }

    /// Milliseconds of work a second that peers have for a part, as far as they told of it.
    pub(super) fn peer_heat(&self, now: Time, part: u64) -> f64 {
        let told = self.peers.values().filter(|peer| now < peer.heat_at + HEAT_LIFETIME);
        told.filter_map(|peer| peer.heat.get(&part)).map(|work_ms| f64::from(*work_ms)).sum()
    }

    /// Adds up what peers have at each server, where they told something new: many digests come between
    /// two requests.
    pub(super) fn sum_peer_load(&mut self, now: Time) {
        if !std::mem::take(&mut self.peer_loads_stale) {
            return;
        }
        self.peer_loads.clear();
        for peer in self.peers.values().filter(|peer| peer.is_fresh(now)) {
            let (Some(digest), Some(told)) = (&peer.digest, peer.heard_at) else { continue };
            for (life, busy) in &digest.busy {
                if let Some(key) = self.incarnations.server(life) {
                    self.peer_loads.entry(key).or_default().add(told, busy);
                }
            }
        }
    }

    fn request_missing_records(&mut self, now: Time) {
        for (index, topic) in Topic::ALL.into_iter().enumerate() {
            let own = self.catalog.end(topic);
            let ahead = self
                .live_peers(now)
                .filter_map(|(_, peer)| {
                    Some((*peer.digest.as_ref()?.ends.get(index)?, peer.address))
                })
                .max_by_key(|(end, _)| *end)
                .filter(|(end, _)| *end > own);
            let Some((_, address)) = ahead else {
                self.behind.remove(&topic);
                continue;
            };
            if now >= *self.behind.entry(topic).or_insert(now) + CATCH_UP_DELAY {
                self.behind.insert(topic, now);
                let frame = Frame::Ask(self.identity.id.clone(), topic, own);
                self.effects.push(Effect::Send(vec![address], frame));
            }
        }
    }
}
