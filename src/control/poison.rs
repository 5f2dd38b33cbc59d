//! Requests that crash servers: interruptions are sent to all daemons, and blocks are stored on the log.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::{Effect, Node, Stream, message};
use crate::attempt::{self, Arrival, Command, Phase, Request};
use crate::membership;
use crate::peer::Frame;
use crate::poison::{
    Answer, BLOCK_DURATION, Blocked, Disconnect, Endpoint, Fingerprint, Incarnation, Interruption,
    Message, Probe, Record, Steps,
};
use crate::prelude::*;

/// Maximum number of levels of a prompt that are reported with a crash.
const MAX_REPORTED_LEVELS: usize = 32;
/// Time after which a block that was written and not read back is written again.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Blocks are renewed when the retention divided by this has passed since they were written.
const RENEWAL_RETENTION_DIVISOR: u32 = 4;
/// Time after which blocks that were renewed but not read back are sent again.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_secs(60);
/// Minimum time between two passes over the blocks to renew or expire them.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(10);

/// Read position of the stream of blocked requests, and state of the blocks stored on it.
#[derive(Debug, Clone, Default)]
pub(super) struct Blocks {
    next: u64,
    stored: BTreeMap<Fingerprint, Stored>,
    /// Time of the last renewal.
    renewed_at: Option<Time>,
    next_maintenance: Time,
}

/// Log times of a stored block, in milliseconds of the log's clock.
#[derive(Debug, Clone, Copy)]
struct Stored {
    /// When the request was blocked.
    since_ms: u64,
    /// When its newest record was written.
    written_ms: u64,
}

impl Stored {
    /// Merges another record. Returns whether the request was blocked again after the former block had lapsed.
    fn merge(&mut self, other: Self) -> bool {
        let is_new_block = log_elapsed(other.since_ms, self.since_ms) >= BLOCK_DURATION;
        let earliest_ms = other.since_ms.min(self.since_ms);
        self.since_ms = if is_new_block { other.since_ms } else { earliest_ms };
        self.written_ms = other.written_ms.max(self.written_ms);
        is_new_block
    }
}

impl Blocks {
    pub(super) fn next(&self) -> u64 {
        self.next
    }

    pub(super) fn skip_to(&mut self, offset: u64) {
        self.next = offset;
    }
}

/// Returns the fingerprints of the levels of a request's prompt, which others may share.
fn level_fingerprints(arrival: &Arrival) -> impl Iterator<Item = Fingerprint> {
    let levels = (0..arrival.prefix.level_ends.len()).filter_map(|n| arrival.prefix.level_key(n));
    levels.map(|key| Fingerprint::of_part(key.0))
}

impl Node {
    /// The present incarnation of a server, as all daemons name it.
    pub(super) fn incarnation(&self, server: membership::Key) -> Option<Incarnation> {
        let server = self.membership.get(server)?;
        Some(Incarnation::of(&server.vm.id, server.incarnation.as_deref()))
    }

    /// Records that a connection broke while a request ran on it. A leaving server ends by a planned stop.
    pub(super) fn record_disconnect(
        &mut self,
        now: Time,
        request: attempt::Key,
        server: membership::Key,
        run_time: Duration,
    ) {
        let Some(fingerprint) = self.fingerprint(request) else { return };
        let (Some(state), Some(incarnation)) =
            (self.membership.get(server), self.incarnation(server))
        else {
            return;
        };
        if state.draining {
            return;
        }
        let pool = state.vm.pool.as_str();
        let endpoint = Endpoint {
            incarnation,
            address: state.vm.address,
            pool: xxh3_64(pool.as_bytes()),
            servers: self.membership.pool(pool).count() as u32,
        };
        let steps = self.detector.record_disconnect(
            now,
            endpoint,
            Disconnect {
                fingerprint,
                parts: self.unanswered_levels(request),
                run_time,
                ran_alone: false,
            },
        );
        self.apply_steps(now, steps);
    }

    /// Returns the levels of a request's prompt; none if its answer has begun.
    fn unanswered_levels(&self, request: attempt::Key) -> Vec<Fingerprint> {
        let state = self.requests.get(&request).filter(|state| !state.begun);
        let levels = state.map(|state| level_fingerprints(&state.arrival));
        levels.map_or_else(Vec::new, |levels| levels.take(MAX_REPORTED_LEVELS).collect())
    }

    /// Handles the result of a probe.
    pub(super) fn probed(&mut self, now: Time, incarnation: Incarnation, answer: Answer) {
        let steps = self.detector.record_probe(now, incarnation, answer);
        self.log_findings();
        self.apply_steps(now, steps);
    }

    /// Records the crash of an incarnation of a server.
    pub(super) fn record_crash(&mut self, now: Time, incarnation: Option<Incarnation>) {
        if let Some(incarnation) = incarnation {
            let steps = self.detector.record_crash(now, incarnation);
            self.apply_steps(now, steps);
        }
    }

    /// Records that a server answered.
    pub(super) fn record_response(&mut self, now: Time, server: membership::Key) {
        if let Some(incarnation) = self.incarnation(server).filter(|_| !self.detector.is_idle()) {
            self.detector.record_response(now, incarnation);
            self.log_findings();
        }
    }

    fn log_findings(&mut self) {
        for finding in self.detector.take_findings() {
            let address = finding.address.map_or_else(String::new, |address| address.to_string());
            let detail = Detail::of("address", address)
                .and("outcome", finding.outcome.name())
                .and("age_ms", finding.age.as_millis() as u64);
            self.event(Event::ServerChecked, detail);
        }
    }

    fn apply_steps(&mut self, now: Time, steps: Steps) {
        let probes = steps.probes.into_iter();
        self.effects.extend(
            probes.map(|Probe { incarnation, address }| Effect::Probe(incarnation, address)),
        );
        if steps.interruptions.is_empty() {
            return;
        }
        let fingerprints =
            steps.interruptions.iter().map(|interruption| interruption.fingerprint.to_string());
        let fingerprints = fingerprints.collect::<Vec<String>>().join(" ");
        let detail =
            Detail::of("requests", steps.interruptions.len()).and("fingerprints", fingerprints);
        self.event(Event::ServerEnded, detail);
        self.send_to_peers(&Message::Interruptions(steps.interruptions.clone()));
        self.record_interruptions(now, &steps.interruptions);
        let blocked = self.poison.block_parts(now, &steps.interruptions);
        self.block_and_announce(now, blocked);
    }

    fn send_to_peers(&mut self, message: &Message) {
        let addresses = self.peer_addresses().into_iter();
        let addresses: Vec<SocketAddr> = addresses.map(|(_, address)| address).collect();
        let frames = addresses.into_iter();
        self.effects
            .extend(frames.map(|address| Effect::Send(address, Frame::Poison(message.clone()))));
    }

    /// Handles a message from a peer.
    pub(super) fn handle_poison_message(&mut self, now: Time, message: Message) {
        match message {
            Message::Interruptions(interruptions) => self.record_interruptions(now, &interruptions),
            Message::Served(fingerprint) => {
                self.poison.clear_part(fingerprint);
                let blocked = self.poison.clear_suspect(now, fingerprint);
                self.block_and_announce(now, blocked.unwrap_or_default());
            }
            Message::Blocked(blocked) => self.merge_blocks(now, &blocked),
        }
    }

    fn record_interruptions(&mut self, now: Time, interruptions: &[Interruption]) {
        let blocked = self.poison.record_interruptions(now, interruptions);
        self.block_and_announce(now, blocked);
    }

    /// Sends new blocks to all peers and enforces them here.
    fn block_and_announce(&mut self, now: Time, blocked: Vec<Fingerprint>) {
        if blocked.is_empty() {
            return;
        }
        let blocks = blocked.iter();
        let blocks = blocks
            .map(|fingerprint| Blocked { fingerprint: *fingerprint, age: Duration::ZERO })
            .collect();
        self.send_to_peers(&Message::Blocked(blocks));
        for fingerprint in blocked {
            self.enforce_block(now, fingerprint);
        }
    }

    /// Merges blocks sent by a peer.
    pub(super) fn merge_blocks(&mut self, now: Time, blocked: &[Blocked]) {
        for block in blocked {
            if self.poison.merge_block(now, *block) {
                self.enforce_block(now, block.fingerprint);
            }
        }
    }

    /// Ends open requests with a newly blocked fingerprint, except those whose answer has begun.
    fn enforce_block(&mut self, now: Time, fingerprint: Fingerprint) {
        let detail = self.poison.detail(now, fingerprint);
        self.event(Event::RequestBlocked, detail);
        let matches = |arrival: &Arrival| {
            arrival.fingerprint == fingerprint
                || level_fingerprints(arrival).any(|level| level == fingerprint)
        };
        let affected = self.requests.iter().filter(|(_, state)| matches(&state.arrival));
        let affected: Vec<(attempt::Key, Phase, u32)> =
            affected.map(|(key, state)| (*key, state.phase, state.attempts)).collect();
        for (request, phase, attempt) in affected {
            match phase {
                Phase::Waiting => self.refuse_blocked(now, request),
                Phase::Sent { begun: false, .. } => {
                    self.command(request, Command::Abort(attempt));
                }
                // A request that is being claimed is checked when it is admitted.
                Phase::Claiming | Phase::Sent { .. } => {}
            }
        }
    }

    /// Refuses a request that is blocked.
    pub(super) fn refuse_blocked(&mut self, now: Time, request: attempt::Key) {
        self.release_and_refuse(now, request, Code::RequestBlocked.into());
    }

    /// Whether a request whose attempt has just broken reaches the block threshold when unconfirmed crashes
    /// count too.
    pub(super) fn may_crash_servers(&self, now: Time, request: attempt::Key) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let fingerprint = state.arrival.fingerprint;
        let possible = self.detector.possible_crashes(now, fingerprint);
        self.poison.reaches_block_threshold(fingerprint, possible) || self.has_suspect_level(state)
    }

    /// Whether a sent request has a level on which no answer has begun since an earlier crash.
    fn has_suspect_level(&self, state: &Request) -> bool {
        let Phase::Sent { at, .. } = state.phase else { return false };
        self.poison.suspect_part_count() > 0
            && level_fingerprints(&state.arrival)
                .any(|level| self.poison.is_part_suspected_since(level, at))
    }

    /// Whether a request is blocked, or a level of its prompt.
    pub(super) fn is_blocked(&self, arrival: &Arrival) -> bool {
        self.poison.has_blocks()
            && (self.poison.is_blocked(arrival.fingerprint)
                || level_fingerprints(arrival).any(|level| self.poison.is_blocked(level)))
    }

    /// Clears the levels of a prompt on which an answer has begun, here and at all peers.
    pub(super) fn clear_levels(&mut self, request: attempt::Key) {
        if self.poison.suspect_part_count() == 0 {
            return;
        }
        let Some(state) = self.requests.get(&request) else { return };
        let levels: Vec<Fingerprint> = level_fingerprints(&state.arrival).collect();
        for level in levels {
            if self.poison.clear_part(level) {
                self.send_to_peers(&Message::Served(level));
            }
        }
    }

    fn fingerprint(&self, request: attempt::Key) -> Option<Fingerprint> {
        Some(self.requests.get(&request)?.arrival.fingerprint)
    }

    /// Clears the suspicion of a request that was answered, here and at all peers.
    pub(super) fn clear_suspect(&mut self, now: Time, request: attempt::Key) {
        let Some(fingerprint) = self.fingerprint(request) else { return };
        if let Some(blocked) = self.poison.clear_suspect(now, fingerprint) {
            self.send_to_peers(&Message::Served(fingerprint));
            self.block_and_announce(now, blocked);
        }
    }

    /// Fingerprints and servers of the requests that run.
    pub(super) fn running_requests(&self) -> impl Iterator<Item = (Fingerprint, membership::Key)> {
        self.requests.values().filter_map(|request| match request.phase {
            Phase::Sent { server, .. } => Some((request.arrival.fingerprint, server)),
            Phase::Claiming | Phase::Waiting => None,
        })
    }

    /// Folds a record of the stream of blocked requests. Returns `None` if it can't be read.
    pub(super) fn fold_blocked(&mut self, now: Time, record: &message::Record) -> Option<()> {
        if record.offset < self.blocks.next {
            return Some(());
        }
        self.blocks.next = record.offset.saturating_add(1);
        let (blocked, lifted) = Record::decode(&record.text)?;
        for Blocked { fingerprint, age } in blocked {
            let since_ms = record.time_ms.saturating_sub(age.as_millis() as u64);
            let record_times = Stored { since_ms, written_ms: record.time_ms };
            let stored = self.blocks.stored.entry(fingerprint).or_insert(record_times);
            // Otherwise the former block's age would end the new block.
            if stored.merge(record_times) {
                self.poison.remove_block(fingerprint);
            }
            let age = log_elapsed(self.checkpoint.min_log_time_ms(now), stored.since_ms);
            if self.poison.add_stored_block(now, Blocked { fingerprint, age }) {
                self.enforce_block(now, fingerprint);
            }
        }
        for fingerprint in lifted {
            self.blocks.stored.remove(&fingerprint);
            if self.poison.lift(now, fingerprint) {
                self.event(Event::BlockEnded, Detail::of("fingerprint", fingerprint.to_string()));
            }
        }
        Some(())
    }

    /// Probes servers that may have crashed and expires old blocks. The first live daemon writes blocks, and
    /// renews them before the log drops them. Two daemons that both take this role do no harm.
    pub(super) fn maintain_poison(&mut self, now: Time) {
        for Probe { incarnation, address } in self.detector.due_probes(now) {
            self.effects.push(Effect::Probe(incarnation, address));
        }
        self.log_findings();
        let is_first = self.is_first_live_daemon(now);
        if is_first {
            let due = self.poison.due_writes(now, WRITE_RETRY_INTERVAL);
            self.append_blocks(&due, &[]);
        }
        if now < self.blocks.next_maintenance {
            return;
        }
        self.blocks.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.update_block_ages(now);
        let lapsed = self.poison.expire(now);
        if is_first {
            self.append_blocks(&[], &lapsed);
        }
        if is_first {
            self.renew_blocks(now);
        }
    }

    /// Writes blocks again before the log drops them. Their age is measured by the log's clock, since daemons may
    /// run for less than the renewal interval.
    fn renew_blocks(&mut self, now: Time) {
        let reading = self.readings.get(&Stream::Blocked).copied().unwrap_or_default();
        let renewal = Duration::from_secs(reading.retention_s) / RENEWAL_RETENTION_DIVISOR;
        let retry_interval = renewal.min(RENEWAL_RETRY_INTERVAL);
        if !reading.up || self.blocks.renewed_at.is_some_and(|at| now < at + retry_interval) {
            return;
        }
        let log_time_ms = self.checkpoint.min_log_time_ms(now);
        let is_old = |block: &Blocked| {
            let stored = self.blocks.stored.get(&block.fingerprint);
            stored.is_some_and(|stored| log_elapsed(log_time_ms, stored.written_ms) >= renewal)
        };
        let old: Vec<Blocked> = self.poison.blocks(now).filter(is_old).collect();
        if !old.is_empty() {
            self.blocks.renewed_at = Some(now);
            self.append_blocks(&old, &[]);
        }
    }

    /// Updates the age of blocks by the log's clock. A restarted daemon reads old records, whose age it learns
    /// from later ones.
    fn update_block_ages(&mut self, now: Time) {
        self.blocks.stored.retain(|fingerprint, _| self.poison.is_blocked(*fingerprint));
        let log_time_ms = self.checkpoint.min_log_time_ms(now);
        for (fingerprint, stored) in &self.blocks.stored {
            let age = log_elapsed(log_time_ms, stored.since_ms);
            self.poison.merge_block(now, Blocked { fingerprint: *fingerprint, age });
        }
    }

    fn append_blocks(&mut self, blocked: &[Blocked], lifted: &[Fingerprint]) {
        if !blocked.is_empty() || !lifted.is_empty() {
            let text = Record::new(blocked, lifted).encode();
            self.effects.push(Effect::AppendBlocked(text));
        }
    }
}

/// Time between two readings of the log's clock in milliseconds, the later one first.
fn log_elapsed(log_ms: u64, since_ms: u64) -> Duration {
    Duration::from_millis(log_ms.saturating_sub(since_ms))
}
