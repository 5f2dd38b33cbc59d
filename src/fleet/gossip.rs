//! Exchange of state with peers by digests: load, weights seen on engines, and how far each has read.

use std::net::SocketAddr;

use super::departure::MAX_ANNOUNCED;
use super::peer::{DIGEST_INTERVAL, Peer};
use super::request_limit::MAX_ANNOUNCED_STATEMENTS;
use super::scheduling::Rank;
use super::{Digest, Effect, Frame, Incarnation, Node, Registration, Relay, Topic, Workload};
use crate::prelude::*;

/// Minimum number of peers that receive a daemon's digest, including the schedulers. Records and
/// read ages then spread even if all schedulers are gone.
const MIN_FANOUT: usize = 8;
/// Number of peers per additional digest interval of a daemon that does not schedule. Bounds the
/// digests that schedulers receive per second in a large fleet.
const PEERS_PER_INTERVAL: usize = 48;
/// Maximum multiple of the digest interval.
const MAX_INTERVALS: usize = 4;
/// Multiple of the digest interval between a scheduler's digests to daemons that do not schedule.
/// They only need its liveness and what it has read.
const ANNOUNCEMENT_INTERVALS: u32 = 2;
/// Interval between digests to a peer that is silent.
const SILENT_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which weights seen on an engine are included in digests.
const SEEN_WEIGHTS_LIFETIME: Duration = Duration::from_millis(2_500);
/// Interval between digests that include hot parts; work is averaged over about ten seconds.
const HEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a peer's list of hot parts is used.
const HEAT_LIFETIME: Duration = Duration::from_secs(15);
/// Maximum number of parts in a digest; more than can be hot at a time.
const MAX_HOT_PARTS: usize = 24;
/// Maximum number of silent peers that a scheduler sends each of its digests to.
const MAX_SILENT_PEERS: usize = 64;
/// Number of daemons assumed to share the retry budget until their registrations are read.
const ASSUMED_DAEMONS: usize = 16;

impl Node {
    /// Adds or updates a peer that registered or sent a digest.
    pub(super) fn register_peer(&mut self, now: Time, peer: Registration) {
        let Registration { id, address, cores, zone } = peer;
        if id == self.identity.id {
            return;
        }
        let standing = (cores > 0.0).then(|| Rank::new(&id, cores));
        let zone = Some(zone).filter(|zone| !zone.is_empty());
        match self.peers.get_mut(&id).filter(|peer| peer.address == address) {
            Some(peer) => {
                peer.standing = standing.or(peer.standing);
                peer.zone = zone.or(peer.zone.take());
            }
            None => {
                self.peers.remove(&address.to_string());
                let mut peer = Peer::new(address, standing);
                peer.zone = zone;
                self.peers.insert(id, peer);
                self.next_digest = self.next_digest.min(now + DIGEST_INTERVAL / 5);
            }
        }
    }

    /// Peers with a recent digest.
    fn live_peers(&self, now: Time) -> impl Iterator<Item = (&String, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| peer.is_fresh(now))
    }

    /// Number of daemons that share the retry budget.
    pub(super) fn daemon_count(&self) -> usize {
        if self.known_topics.contains(&Topic::Routers) {
            self.peers.len() + 1
        } else {
            ASSUMED_DAEMONS
        }
    }

    /// Position of this daemon among all daemons by id.
    pub(super) fn position_among_daemons(&self) -> usize {
        self.peers.range(..self.identity.id.clone()).count()
    }

    /// Peers that sent a digest, with the time of the last one.
    pub(super) fn peers_heard(&self) -> impl Iterator<Item = (&str, Time)> {
        self.peers.iter().filter_map(|(id, peer)| Some((id.as_str(), peer.heard_at?)))
    }

    /// Number of peers with a recent digest.
    pub(super) fn fresh_peer_count(&self, now: Time) -> usize {
        self.live_peers(now).count()
    }

    /// Availability zones and addresses of the peers with a recent digest, to multicast to them.
    pub(super) fn fresh_peers(&self, now: Time) -> Vec<(Option<String>, SocketAddr)> {
        self.live_peers(now).map(|(_, peer)| (peer.zone.clone(), peer.address)).collect()
    }

    /// Addresses of the peers with a recent digest.
    pub(super) fn fresh_peer_addresses(&self, now: Time) -> Vec<SocketAddr> {
        self.live_peers(now).map(|(_, peer)| peer.address).collect()
    }

    /// Address of a peer.
    pub(super) fn peer_address(&self, daemon: &str) -> Option<SocketAddr> {
        self.peers.get(daemon).map(|peer| peer.address)
    }

    /// Sends due digests, and requests records that peers have and this daemon lacks.
    pub(super) fn gossip(&mut self, now: Time) {
        if now >= self.next_digest {
            // Load of peers that have gone silent no longer counts.
            self.peer_loads_stale = true;
            self.send_digests(now);
        }
        self.request_missing_records(now);
    }

    /// Sends a digest: a scheduler to all peers, any other daemon to the schedulers and a few
    /// others.
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
            digest.hot_parts = hottest.map(|(part, work_ms)| (part.0, work_ms as f32)).collect();
        }
        if schedules {
            let announced = Digest {
                interval: DIGEST_INTERVAL * ANNOUNCEMENT_INTERVALS,
                workloads: BTreeMap::new(),
                hot_parts: Vec::new(),
                refused: Vec::new(),
                quota_use: Vec::new(),
                leaving: digest.leaving.iter().take(MAX_ANNOUNCED).cloned().collect(),
                limit_statements: digest
                    .limit_statements
                    .iter()
                    .take(MAX_ANNOUNCED_STATEMENTS)
                    .cloned()
                    .collect(),
                ..digest.clone()
            };
            self.announce(now, &others, announced);
            digest.accounts = self.accounts(now);
            digest.speeds = self.speed_reports(now);
            self.report_held_back(now);
            self.send_digest(now, &schedulers, digest);
        } else {
            let all: Vec<String> = schedulers.into_iter().chain(others).collect();
            self.send_digest(now, &all, digest);
        }
    }

    /// Sends a scheduler's digest to the daemons that do not schedule. Silent ones would lose the
    /// digest for others, so they are sent it directly, a limited number at a time.
    fn announce(&mut self, now: Time, to: &[String], digest: Digest) {
        let is_fresh = |id: &&String| self.peers.get(*id).is_some_and(|peer| peer.is_fresh(now));
        let (fresh, silent): (Vec<&String>, Vec<&String>) = to.iter().partition(is_fresh);
        let mut silent: Vec<String> = silent.into_iter().cloned().collect();
        silent.sort_by_key(|id| self.peers.get(id).and_then(|peer| peer.sent_at));
        silent.truncate(MAX_SILENT_PEERS);
        let mut addresses = Vec::new();
        for id in fresh {
            if let Some(peer) = self.peers.get_mut(id) {
                peer.sent_at = Some(now);
                addresses.push((peer.zone.clone(), peer.address));
            }
        }
        self.multicast(addresses, Frame::Digest(Box::new(digest.clone())));
        self.send_digest(now, &silent, digest);
    }

    /// Sends a digest to peers directly.
    pub(super) fn send_digest(&mut self, now: Time, to: &[String], digest: Digest) {
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

    /// Interval between digests of a daemon that does not schedule.
    fn digest_interval(&self) -> Duration {
        let intervals = self.peers.len().div_ceil(PEERS_PER_INTERVAL).clamp(1, MAX_INTERVALS);
        DIGEST_INTERVAL * u32::try_from(intervals).unwrap_or(1)
    }

    /// Returns the peers to send a digest to now: schedulers and others. If this daemon schedules
    /// or is draining, the others are all peers whose interval has passed; otherwise those that
    /// have waited longest.
    fn due_peers(&mut self, now: Time, schedules: bool) -> (Vec<String>, Vec<String>) {
        let (mut schedulers, mut others) = (Vec::new(), Vec::new());
        let scheduler_ids: BTreeSet<String> =
            self.other_schedulers().map(|(id, _)| id.clone()).collect();
        for (id, peer) in &self.peers {
            let interval = match (peer.is_fresh(now), scheduler_ids.contains(id)) {
                (_, true) => Duration::ZERO,
                (true, false) if self.draining => Duration::ZERO,
                (true, false) => DIGEST_INTERVAL * ANNOUNCEMENT_INTERVALS,
                (false, false) => SILENT_INTERVAL,
            };
            // Allows for ticks that are a little early.
            if peer.sent_at.is_some_and(|sent| now + DIGEST_INTERVAL / 5 < sent + interval) {
                continue;
            }
            let due = if scheduler_ids.contains(id) { &mut schedulers } else { &mut others };
            due.push((peer.sent_at, id.clone()));
        }
        if !schedules && !self.draining {
            // Daemons that know the same peers must not all choose the same ones.
            self.rng.shuffle(&mut others);
            others.sort_by_key(|(sent_at, _)| *sent_at);
            others.truncate(MIN_FANOUT.saturating_sub(schedulers.len()));
        }
        let schedulers = schedulers.into_iter().map(|(_, id): (Option<Time>, String)| id);
        let others = others.into_iter().map(|(_, id): (Option<Time>, String)| id);
        (schedulers.collect(), others.collect())
    }

    pub(super) fn digest(&self, now: Time) -> Digest {
        let busy = self
            .servers
            .values()
            .filter(|server| server.running > 0 || server.order.is_some())
            .map(|server| (server.entry.incarnation.clone(), server.busy(now)));
        let seen = self.rollout.observed.iter();
        Digest {
            daemon: self.identity.id.clone(),
            address: self.identity.address.to_string(),
            handover_address: self.identity.handover_address.to_string(),
            is_cut_off: self.is_cut_off(),
            cores: self.identity.cores,
            zone: self.identity.zone.clone(),
            interval: DIGEST_INTERVAL,
            read_ages: self.read_ages(now),
            incarnation: self.identity.incarnation,
            draining: self.draining,
            end_offsets: Topic::ALL.iter().map(|topic| self.catalog.end(*topic)).collect(),
            workloads: busy.collect(),
            weights: seen
                .map(|(incarnation, model, v, _)| (incarnation.clone(), model.clone(), *v))
                .collect(),
            hot_parts: Vec::new(),
            refused: self.expected.own(),
            link_bytes_moved: self.first_link_bytes_moved(),
            link_bytes_by_store: self.link_bytes_by_store(),
            blocked: self.poison.unstored_blocks(now),
            sent_at: now,
            named: self.rollout.own_namings.recent(now, self.policy.weights_limit),
            registrations_age: self.registrations_age(now),
            settled_versions: self.settled_versions(),
            caught_up_age: self.rollout.complete_until.map(|at| now.saturating_sub(at)),
            quota_keeper: self.quota_leadership.keeper_id().to_owned(),
            quota_use: self.quota.recent_usage(now),
            reject_limits: self.rejection.limits(now),
            limit_statements: self.limit_statements(now),
            leaving: self.leaving_servers(now),
            accounts: Vec::new(),
            speeds: Vec::new(),
        }
    }

    /// Handles a frame from a peer.
    pub(super) fn handle_frame(&mut self, now: Time, frame: Frame) {
        match frame {
            Frame::Digest(digest) => self.handle_digest(now, *digest),
            Frame::Notice(notice) => self.apply_notice(now, notice),
            Frame::Residency(update) => self.handle_residency_update(now, &update),
            Frame::FetchResidency(daemon, holder) => self.send_full_residency(&daemon, holder),
            Frame::Submission(submission) => self.handle_submission(now, *submission),
            Frame::Progress(progress) => self.handle_progress(now, progress),
            Frame::Verdict(verdict) => self.handle_verdict(now, *verdict),
            Frame::Poison(message) => self.receive_poison_message(now, message),
            Frame::Streams(message) => self.handle_streams(now, message),
            Frame::Fetch(daemon, topic, from) => self.send_records(now, &daemon, topic, from),
            Frame::Records(batch) => {
                self.apply_from_peer(batch.topic, |node| node.apply_batch(now, batch, true));
            }
            Frame::Relay(Relay { to, frame }) => {
                self.relay(to, (*frame).clone());
                match *frame {
                    // All peers of the sender receive them.
                    Frame::Records(batch) => self
                        .apply_from_peer(batch.topic, |node| node.apply_batch(now, batch, false)),
                    frame => self.handle_frame(now, frame),
                }
            }
            Frame::Snapshot(batch) => {
                self.apply_from_peer(batch.topic, |node| node.apply_snapshot(now, batch));
            }
        }
    }

    fn handle_digest(&mut self, now: Time, mut digest: Digest) {
        if let Ok(address) = digest.address.parse() {
            let (id, zone) = (digest.daemon.clone(), digest.zone.clone());
            self.register_peer(now, Registration { id, address, cores: digest.cores, zone });
        }
        for (incarnation, model, version) in &digest.weights {
            if let Some(key) = self.incarnations.server(incarnation) {
                self.note_weights(now, key, model, *version);
            }
        }
        self.expected.merge_peer(now, &digest.refused);
        self.merge_blocks(now, &digest.blocked);
        self.merge_reject_limits(now, &digest.reject_limits);
        self.merge_limit_statements(now, &digest.limit_statements);
        self.merge_leaving(now, &digest.leaving);
        self.record_peer_usage(now, &digest);
        self.adopt_accounts(now, std::mem::take(&mut digest.accounts));
        self.merge_speeds(now, &std::mem::take(&mut digest.speeds));
        // Refill first, so that the peer's transfers are deducted from the current budget and not
        // from that of the last send.
        self.refill_links(now);
        self.deduct_peer_transfers(&digest);
        let mut reach_changed = false;
        if let Some(peer) = self.peers.get_mut(&digest.daemon) {
            reach_changed = peer.is_cut_off() != digest.is_cut_off;
            let restarted =
                peer.digest.as_ref().is_some_and(|last| last.incarnation != digest.incarnation);
            peer.heard_at = Some(now);
            if !digest.hot_parts.is_empty() {
                peer.heat = digest.hot_parts.iter().copied().collect();
                peer.heat_at = now;
            }
            let (daemon, incarnation) = (digest.daemon.clone(), digest.incarnation);
            let reported_before = peer.digest.as_ref().is_some_and(|last| !last.named.is_empty());
            self.rollout.merge_is_stale |= reported_before || !digest.named.is_empty();
            peer.record_digest(now, &digest);
            let (delay, read_delay) = (peer.known_digest_delay(), peer.digest_delay());
            let report =
                (digest.end_offsets.get(Topic::Operator as usize).copied(), digest.caught_up_age);
            self.note_peer_reads(now, &digest, read_delay);
            self.note_peer_ahead(&digest);
            self.note_peer_registrations(now, &digest, delay);
            self.adopt_settled_versions(&digest.settled_versions);
            if let Some(peer) = self.peers.get_mut(&digest.daemon) {
                peer.digest = Some(digest);
            }
            self.apply_peer_completeness(now, report, delay);
            if restarted {
                self.drop_past_incarnations(now, &daemon, incarnation);
                self.restore_replicas(now, &daemon);
                self.restore_crashes(now, &daemon);
            }
        }
        self.peer_loads_stale = true;
        if reach_changed {
            self.refresh_ranking(now);
        }
    }

    /// Applies a peer's report of when it last had every operator record, if this daemon has all
    /// records that the peer has.
    fn apply_peer_completeness(
        &mut self,
        now: Time,
        (end, age): (Option<u64>, Option<Duration>),
        delay: Option<Duration>,
    ) {
        let ahead = end.is_none_or(|end| end > self.catalog.end(Topic::Operator));
        // A time before this daemon's clock started says nothing about the time since.
        let age = age.zip(delay).map(|(age, delay)| age.saturating_add(delay));
        let at = age.and_then(|age| now.checked_sub(age));
        if let Some(at) = at.filter(|_| !ahead && self.has_all_operator_records()) {
            self.note_complete_until(at);
        }
    }

    /// Sets a peer's current load at one server.
    pub(super) fn set_peer_load(&mut self, daemon: &str, incarnation: Incarnation, busy: Workload) {
        let Some(digest) = self.peers.get_mut(daemon).and_then(|peer| peer.digest.as_mut()) else {
            return;
        };
        digest.workloads.insert(incarnation, busy);
        self.peer_loads_stale = true;
    }

    /// Milliseconds of work per second for a part, summed over the peers that reported it recently.
    pub(super) fn peer_heat(&self, now: Time, part: u64) -> f64 {
        let recent = self.peers.values().filter(|peer| now < peer.heat_at + HEAT_LIFETIME);
        recent.filter_map(|peer| peer.heat.get(&part)).map(|work_ms| f64::from(*work_ms)).sum()
    }

    /// Sums the load of peers at each server, if any of it changed: many digests arrive between two
    /// requests.
    pub(super) fn sum_peer_load(&mut self, now: Time) {
        if !std::mem::take(&mut self.peer_loads_stale) {
            return;
        }
        self.peer_loads.clear();
        for peer in self.peers.values().filter(|peer| peer.is_fresh(now)) {
            let (Some(digest), Some(heard_at)) = (&peer.digest, peer.heard_at) else { continue };
            for (incarnation, busy) in &digest.workloads {
                if let Some(key) = self.incarnations.server(incarnation) {
                    self.peer_loads.entry(key).or_default().add(heard_at, busy);
                }
            }
        }
    }
}
