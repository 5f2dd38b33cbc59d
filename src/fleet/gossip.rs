//! Peers: their work, the weights they saw, and records that the store does not give this daemon.

use std::net::SocketAddr;

use super::peer::{INTERVAL, Peer};
use super::scheduling::Standing;
use super::{Batch, Busy, Digest, Effect, Frame, Incarnation, Node, Topic};
use crate::prelude::*;

/// Peers that a daemon tells of itself at least, the schedulers included: records and ages spread also
/// where all of them are gone.
const MIN_FANOUT: usize = 8;
/// Peers for each of which daemons that do not schedule wait one interval longer between two digests,
/// so that the schedulers take as many a second however many daemons there are.
const PEERS_AN_INTERVAL: usize = 48;
/// Intervals between two digests at most.
const MOST_INTERVALS: usize = 4;
/// Intervals between two digests of a scheduler to daemons that do not schedule: what they go by is that
/// it is there, and what it has read.
const ANNOUNCED_EVERY: u32 = 2;
/// Time between two digests to a peer that was not heard of.
const SILENT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the store may be behind a peer before the peer is asked.
const BEHIND: Duration = Duration::from_millis(250);
/// Time for which weights that were seen are told.
const TELL_WEIGHTS: Duration = Duration::from_millis(2_500);
/// Time between two digests that tell of hot parts: work is measured over some ten seconds.
const HEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which what a peer told of hot parts counts.
const HEAT_LIFETIME: Duration = Duration::from_secs(15);
/// Parts that a digest tells of: more than can be hot at a time.
const HEAT_PARTS: usize = 24;
/// Peers that are told of new records at once by a daemon that does not schedule.
const TOLD_PEERS: usize = 3;
/// Daemons that are assumed to share the retry budget until their registrations are read.
const ASSUMED_DAEMONS: usize = 16;

impl Node {
    /// Takes over that another daemon registered, on a VM with so many cores where it says so.
    pub(super) fn meet(&mut self, now: Time, id: String, address: SocketAddr, cores: f32) {
        if id == self.identity.id {
            return;
        }
        let standing = (cores > 0.0).then(|| Standing::of(&id, cores));
        match self.peers.get_mut(&id).filter(|known| known.address == address) {
            Some(known) => known.standing = standing.or(known.standing),
            None => {
                self.peers.remove(&address.to_string());
                self.peers.insert(id, Peer::new(address, standing));
                self.next_digest = self.next_digest.min(now + INTERVAL / 5);
            }
        }
    }

    /// Peers that were heard of lately.
    fn fresh(&self, now: Time) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_fresh(now))
    }

    /// Daemons that share the retry budget.
    pub(super) fn daemons(&self) -> usize {
        if self.known_topics.contains(&Topic::Routers) {
            self.peers.len() + 1
        } else {
            ASSUMED_DAEMONS
        }
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

    /// Sends digests that are due, and asks for records that peers know of and this daemon doesn't.
    pub(super) fn gossip(&mut self, now: Time) {
        if now >= self.next_digest {
            // Peers that have fallen silent no longer count.
            self.peer_loads_stale = true;
            self.send_digests(now);
        }
        self.ask_for_records(now);
    }

    /// Sends digests: a scheduler's to all, any other daemon's to the schedulers and a few others.
    pub(super) fn send_digests(&mut self, now: Time) {
        self.rollout.seen.retain(|(.., at)| now < *at + TELL_WEIGHTS);
        let schedules = self.is_scheduler(now);
        let interval = if schedules { INTERVAL } else { self.interval() };
        self.next_digest = now + interval;
        let (schedulers, others) = self.due(now, schedules);
        let mut digest = Digest { interval, ..self.digest(now) };
        if now >= self.next_heat_digest {
            self.next_heat_digest = now + HEAT_INTERVAL;
            let hottest = self.heat.top(now, HEAT_PARTS).into_iter();
            digest.heat = hottest.map(|(part, work_ms)| (part.0, work_ms as f32)).collect();
        }
        if schedules {
            let announced = Digest {
                interval: INTERVAL * ANNOUNCED_EVERY,
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
            peer.sent = Some(now);
            Some(peer.address)
        });
        let addresses: Vec<SocketAddr> = addresses.collect();
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Digest(Box::new(digest))));
        }
    }

    /// Time between two digests of a daemon that does not schedule.
    fn interval(&self) -> Duration {
        let intervals = self.peers.len().div_ceil(PEERS_AN_INTERVAL).clamp(1, MOST_INTERVALS);
        INTERVAL * u32::try_from(intervals).unwrap_or(1)
    }

    /// The peers that a digest goes to now, the schedulers first: of the others all that have not been
    /// told for some time where this daemon schedules or stops, or else those that have waited longest.
    fn due(&self, now: Time, schedules: bool) -> (Vec<String>, Vec<String>) {
        let (mut schedulers, mut others) = (Vec::new(), Vec::new());
        let ranking: BTreeSet<&String> = self.other_schedulers().map(|(id, _)| id).collect();
        for (id, peer) in &self.peers {
            let interval = match (peer.is_fresh(now), ranking.contains(id)) {
                (_, true) => Duration::ZERO,
                (true, false) if self.draining => Duration::ZERO,
                (true, false) => INTERVAL * ANNOUNCED_EVERY,
                (false, false) => SILENT_INTERVAL,
            };
            // Ticks come a little early or late.
            if peer.sent.is_some_and(|sent| now + INTERVAL / 5 < sent + interval) {
                continue;
            }
            let due = if ranking.contains(id) { &mut schedulers } else { &mut others };
            due.push((peer.sent, id));
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
        let seen = self.rollout.seen.iter();
        Digest {
            daemon: self.identity.id.clone(),
            address: self.identity.address.to_string(),
            cores: self.identity.cores,
            interval: INTERVAL,
            read_ages: self.read_ages(now),
            incarnation: self.identity.incarnation,
            draining: self.draining,
            ends: Topic::ALL.iter().map(|topic| self.catalog.end(*topic)).collect(),
            busy: busy.collect(),
            weights: seen.map(|(life, model, v, _)| (life.clone(), model.clone(), *v)).collect(),
            heat: Vec::new(),
            refused: self.expected.own(),
            link_moved: self.kv_link.moved(),
            blocked: self.poison.unkept(now),
            sent: now,
            named: self.rollout.seen_named.told(now, self.policy.weights_limit),
            missed_nothing_for: self.rollout.missed_nothing_at.map(|at| now.saturating_sub(at)),
            keeper: self.quota_leadership.keeper_id().to_owned(),
            used: self.quota.used(now),
        }
    }

    /// Takes a frame from a peer.
    pub(super) fn frame(&mut self, now: Time, frame: Frame) {
        match frame {
            Frame::Digest(digest) => self.digest_came(now, *digest),
            Frame::Notice(notice) => self.notice_came(now, notice),
            Frame::Held(told) => self.told_came(now, &told),
            Frame::AskHeld(daemon, keeper) => self.asked_held(&daemon, keeper),
            Frame::Submission(submission) => self.submission_came(now, *submission),
            Frame::Progress(progress) => self.progress_came(now, progress),
            Frame::Verdict(verdict) => self.verdict_came(now, *verdict),
            Frame::Poison(message) => self.receive_poison_message(now, message),
            Frame::Ask(daemon, topic, from) => self.asked(&daemon, topic, from),
            Frame::Records(batch) => {
                self.hear_topic(batch.topic, |node| node.take(now, batch, true));
            }
            Frame::Snapshot(batch) => {
                self.hear_topic(batch.topic, |node| node.take_whole(now, batch));
            }
        }
    }

    /// Answers a peer that wants the records of a topic from an offset.
    fn asked(&mut self, daemon: &str, topic: Topic, from: u64) {
        let Some(peer) = self.peers.get(daemon) else { return };
        if !self.known_topics.contains(&topic) {
            return;
        }
        let to = self.catalog.end(topic);
        // A daemon that read what was left knows of no removals before: with the records from then on alone,
        // the peer would keep what is gone, and take what it missed for read.
        let frame = if self.catalog.has_removals(topic, from) {
            Frame::Records(Batch { topic, from, to, records: self.catalog.since(topic, from) })
        } else {
            Frame::Snapshot(Batch { topic, from: 0, to, records: self.catalog.since(topic, 0) })
        };
        self.effects.push(Effect::Send(vec![peer.address], frame));
    }

    /// Takes over what a peer tells of a topic, which may be all that was missing of it.
    fn hear_topic(&mut self, topic: Topic, take: impl FnOnce(&mut Self)) {
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
    pub(super) fn tell_records(&mut self, now: Time, batch: Batch) {
        let mut addresses = self.fresh_addresses(now);
        let schedules = self.is_scheduler(now);
        if !schedules || self.scheduler_of(now, &format!("{:?}", batch.topic)).is_some() {
            self.rng.shuffle(&mut addresses);
            addresses.truncate(TOLD_PEERS);
        }
        if !addresses.is_empty() {
            self.effects.push(Effect::Send(addresses, Frame::Records(batch)));
        }
    }

    fn digest_came(&mut self, now: Time, digest: Digest) {
        if let Ok(address) = digest.address.parse() {
            self.meet(now, digest.daemon.clone(), address, digest.cores);
        }
        for (life, model, version) in &digest.weights {
            if let Some(key) = self.incarnations.server(life) {
                self.saw_weights(now, key, model, *version);
            }
        }
        self.expected.hear(now, &digest.refused);
        self.merge_blocks(now, &digest.blocked);
        self.record_peer_usage(now, &digest);
        // What others moved is taken off what is free by now, not off what was free at the last send.
        self.refill_link(now);
        if let Some(peer) = self.peers.get_mut(&digest.daemon) {
            let known =
                peer.digest.as_ref().filter(|known| known.incarnation == digest.incarnation);
            let moved = known.map(|known| digest.link_moved.saturating_sub(known.link_moved));
            self.kv_link.take_off(moved.unwrap_or_default());
            let restarted =
                peer.digest.as_ref().is_some_and(|known| known.incarnation != digest.incarnation);
            peer.heard = Some(now);
            if !digest.heat.is_empty() {
                peer.heat = digest.heat.iter().copied().collect();
                peer.heat_at = now;
            }
            let (daemon, incarnation) = (digest.daemon.clone(), digest.incarnation);
            let told_before = peer.digest.as_ref().is_some_and(|known| !known.named.is_empty());
            self.rollout.named_is_stale |= told_before || !digest.named.is_empty();
            peer.came(now, &digest);
            let delay = peer.delay();
            let told =
                (digest.ends.get(Topic::Operator as usize).copied(), digest.missed_nothing_for);
            peer.digest = Some(digest);
            self.hear_missed_nothing(now, told, delay);
            if restarted {
                self.has_restarted(now, &daemon, incarnation);
            }
        }
        self.peer_loads_stale = true;
    }

    /// Takes over that a peer which knew of records up to an end had missed nothing that operators published for some
    /// time, where this daemon lacks nothing that the peer has.
    fn hear_missed_nothing(
        &mut self,
        now: Time,
        (end, age): (Option<u64>, Option<Duration>),
        delay: Duration,
    ) {
        let ahead = end.is_none_or(|end| end > self.catalog.end(Topic::Operator));
        // What was before this daemon's clock began tells nothing of the time since.
        let at = age.and_then(|age| now.checked_sub(age.saturating_add(delay)));
        if let Some(at) = at.filter(|_| !ahead && self.lacks_nothing()) {
            self.missed_nothing(at);
        }
    }

    /// Takes over what a peer has at one server now.
    pub(super) fn peer_has(&mut self, daemon: &str, life: Incarnation, busy: Busy) {
        let Some(digest) = self.peers.get_mut(daemon).and_then(|peer| peer.digest.as_mut()) else {
            return;
        };
        digest.busy.insert(life, busy);
        self.peer_loads_stale = true;
    }

    /// Milliseconds of work a second that peers have for a part, as far as they told of it.
    pub(super) fn told_heat(&self, now: Time, part: u64) -> f64 {
        let told = self.peers.values().filter(|peer| now < peer.heat_at + HEAT_LIFETIME);
        told.filter_map(|peer| peer.heat.get(&part)).map(|work_ms| f64::from(*work_ms)).sum()
    }

    /// Adds up what peers have at each server, where they told something new: many digests come between
    /// two requests.
    pub(super) fn sum_others(&mut self, now: Time) {
        if !std::mem::take(&mut self.peer_loads_stale) {
            return;
        }
        self.peer_loads.clear();
        for peer in self.peers.values().filter(|peer| peer.is_fresh(now)) {
            let (Some(digest), Some(told)) = (&peer.digest, peer.heard) else { continue };
            for (life, busy) in &digest.busy {
                if let Some(key) = self.incarnations.server(life) {
                    self.peer_loads.entry(key).or_default().add(told, busy);
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
