//! Requests that end servers: ends are told to all daemons, and what is blocked for it is kept on the log.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::{Effect, Node, Stream, message};
use crate::attempt::{self, Command, Phase};
use crate::membership;
use crate::peer::Frame;
use crate::poison::{
    Answer, BLOCK_DURATION, Blocked, Disconnect, Endpoint, Fingerprint, Incarnation, Interruption,
    Message, Probe, Record, Steps,
};
use crate::prelude::*;

/// Time from a write of a block to the log to the next, where it is not seen there.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Blocks are written again when this part of the retention has passed.
const RENEWAL_RETENTION_DIVISOR: u32 = 4;
/// Time after which blocks that were written again, and are not read back, are sent once more.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_secs(60);
/// Shortest time between two looks at what is to be written again, or is too old.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(10);

/// How far the stream of blocked requests is read, and when it is written again.
#[derive(Debug, Clone, Default)]
pub(super) struct Blocks {
    next: u64,
    stored: BTreeMap<Fingerprint, Stored>,
    /// When blocks were last written again.
    renewed_at: Option<Time>,
    next_maintenance: Time,
}

/// What the log says of a blocked request, in milliseconds of its clock.
#[derive(Debug, Clone, Copy)]
struct Stored {
    /// When the request was blocked.
    since_ms: u64,
    /// When the log took the newest record of it.
    written_ms: u64,
}

impl Stored {
    /// Takes over another record; whether the request was blocked anew by then, after the former block had lapsed.
    fn merge(&mut self, other: Self) -> bool {
        let is_anew = log_elapsed(other.since_ms, self.since_ms) >= BLOCK_DURATION;
        let first_ms = other.since_ms.min(self.since_ms);
        self.since_ms = if is_anew { other.since_ms } else { first_ms };
        self.written_ms = other.written_ms.max(self.written_ms);
        is_anew
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

impl Node {
    /// A server's present life, as all daemons name it.
    pub(super) fn incarnation(&self, server: membership::Key) -> Option<Incarnation> {
        let server = self.membership.get(server)?;
        Some(Incarnation::of(&server.vm.id, server.incarnation.as_deref()))
    }

    /// Takes over that a connection broke on which a request ran. A server that leaves ends by plan.
    pub(super) fn record_disconnect(
        &mut self,
        now: Time,
        request: attempt::Key,
        server: membership::Key,
        ran: Duration,
    ) {
        let Some(fingerprint) = self.fingerprint(request) else { return };
        let (Some(state), Some(victim)) = (self.membership.get(server), self.incarnation(server))
        else {
            return;
        };
        if state.leaving {
            return;
        }
        let pool = state.vm.pool.as_str();
        let suspect = Endpoint {
            incarnation: victim,
            address: state.vm.address,
            pool: xxh3_64(pool.as_bytes()),
            servers: self.membership.pool(pool).count() as u32,
        };
        let steps = self.detector.record_disconnect(
            now,
            suspect,
            Disconnect { fingerprint, run_time: ran },
        );
        self.apply_steps(now, steps);
    }

    /// Takes over what a look at a server's port found.
    pub(super) fn probed(&mut self, now: Time, victim: Incarnation, answer: Answer) {
        let steps = self.detector.record_probe(now, victim, answer);
        self.apply_steps(now, steps);
    }

    /// Takes over that a life of a server has ended.
    pub(super) fn record_crash(&mut self, now: Time, victim: Option<Incarnation>) {
        if let Some(victim) = victim {
            let steps = self.detector.record_crash(now, victim);
            self.apply_steps(now, steps);
        }
    }

    /// Takes over that a server answered.
    pub(super) fn record_response(&mut self, now: Time, server: membership::Key) {
        if let Some(victim) = self.incarnation(server).filter(|_| !self.detector.is_idle()) {
            self.detector.record_response(now, victim);
        }
    }

    fn apply_steps(&mut self, now: Time, steps: Steps) {
        let probes = steps.probes.into_iter();
        self.effects.extend(
            probes.map(|Probe { incarnation: victim, address }| Effect::Probe(victim, address)),
        );
        if steps.interruptions.is_empty() {
            return;
        }
        let present = steps.interruptions.iter().map(|strike| strike.fingerprint.to_string());
        let present = present.collect::<Vec<String>>().join(" ");
        let detail = Detail::of("requests", steps.interruptions.len()).and("fingerprints", present);
        self.event(Event::ServerEnded, detail);
        self.send_to_peers(&Message::Interruptions(steps.interruptions.clone()));
        self.record_interruptions(now, steps.interruptions);
    }

    fn send_to_peers(&mut self, message: &Message) {
        let addresses = self.peer_addresses().into_iter();
        let addresses: Vec<SocketAddr> = addresses.map(|(_, address)| address).collect();
        let frames = addresses.into_iter();
        self.effects
            .extend(frames.map(|address| Effect::Send(address, Frame::Poison(message.clone()))));
    }

    /// Takes over a peer's word.
    pub(super) fn handle_poison_message(&mut self, now: Time, message: Message) {
        match message {
            Message::Interruptions(strikes) => self.record_interruptions(now, strikes),
            Message::Served(fingerprint) => {
                let blocked = self.poison.clear_suspect(now, fingerprint);
                self.block_and_announce(now, blocked.unwrap_or_default());
            }
            Message::Blocked(blocked) => self.merge_blocks(now, &blocked),
        }
    }

    fn record_interruptions(&mut self, now: Time, strikes: Vec<Interruption>) {
        let struck = |strike: &Interruption| self.poison.record_interruption(now, *strike);
        let blocked: Vec<Interruption> = strikes.into_iter().filter(struck).collect();
        self.block_and_announce(
            now,
            blocked.into_iter().map(|strike| strike.fingerprint).collect(),
        );
    }

    /// Tells all peers what is blocked from now on, and refuses it.
    fn block_and_announce(&mut self, now: Time, blocked: Vec<Fingerprint>) {
        if blocked.is_empty() {
            return;
        }
        let new = blocked.iter();
        let new = new.map(|block| Blocked { fingerprint: *block, age: Duration::ZERO }).collect();
        self.send_to_peers(&Message::Blocked(new));
        for fingerprint in blocked {
            self.enforce_block(now, fingerprint);
        }
    }

    /// Takes over what peers say is blocked.
    pub(super) fn merge_blocks(&mut self, now: Time, blocked: &[Blocked]) {
        for told in blocked {
            if self.poison.merge_block(now, *told) {
                self.enforce_block(now, told.fingerprint);
            }
        }
    }

    /// Ends the requests that have just been blocked, but for those whose answer has begun.
    fn enforce_block(&mut self, now: Time, fingerprint: Fingerprint) {
        let detail = self.poison.detail(now, fingerprint);
        self.event(Event::RequestBlocked, detail);
        let same = self.requests.iter().filter(|(_, s)| s.arrival.fingerprint == fingerprint);
        let same: Vec<(attempt::Key, Phase, u32)> =
            same.map(|(key, state)| (*key, state.phase, state.attempts)).collect();
        for (request, phase, attempt) in same {
            match phase {
                Phase::Waiting => self.refuse_blocked(now, request),
                Phase::Sent { begun: false, .. } => {
                    self.command(request, Command::Abort(attempt));
                }
                // A claim is looked at once it is settled.
                Phase::Claiming | Phase::Sent { .. } => {}
            }
        }
    }

    /// Refuses a request that is blocked.
    pub(super) fn refuse_blocked(&mut self, now: Time, request: attempt::Key) {
        self.release_and_refuse(now, request, Code::RequestBlocked.into());
    }

    /// Whether a request whose attempt has just broken may be what ends servers, with what is not yet sure.
    pub(super) fn may_crash_servers(&self, now: Time, request: attempt::Key) -> bool {
        let Some(fingerprint) = self.fingerprint(request) else { return false };
        self.poison
            .reaches_block_threshold(fingerprint, self.detector.possible_crashes(now, fingerprint))
    }

    fn fingerprint(&self, request: attempt::Key) -> Option<Fingerprint> {
        Some(self.requests.get(&request)?.arrival.fingerprint)
    }

    /// Takes over that a request was answered.
    pub(super) fn clear_suspect(&mut self, now: Time, request: attempt::Key) {
        let Some(fingerprint) = self.fingerprint(request) else { return };
        if let Some(blocked) = self.poison.clear_suspect(now, fingerprint) {
            self.send_to_peers(&Message::Served(fingerprint));
            self.block_and_announce(now, blocked);
        }
    }

    /// What runs, and where.
    pub(super) fn running_requests(&self) -> impl Iterator<Item = (Fingerprint, membership::Key)> {
        self.requests.values().filter_map(|request| match request.phase {
            Phase::Sent { server, .. } => Some((request.arrival.fingerprint, server)),
            Phase::Claiming | Phase::Waiting => None,
        })
    }

    /// Takes over a record of the stream of blocked requests.
    pub(super) fn fold_blocked(&mut self, now: Time, record: &message::Record) -> Option<()> {
        if record.offset < self.blocks.next {
            return Some(());
        }
        self.blocks.next = record.offset + 1;
        let (blocked, lifted) = Record::decode(&record.text)?;
        for Blocked { fingerprint, age } in blocked {
            let since_ms = record.time_ms.saturating_sub(age.as_millis() as u64);
            let told = Stored { since_ms, written_ms: record.time_ms };
            let kept = self.blocks.stored.entry(fingerprint).or_insert(told);
            // Else the former block's age would end it.
            if kept.merge(told) {
                self.poison.remove_block(fingerprint);
            }
            let age = log_elapsed(self.checkpoint.min_log_time_ms(now), kept.since_ms);
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

    /// Looks at servers in doubt, has blocks written, and forgets what is too old. The first live daemon
    /// writes, and again before the log forgets; two that both believe to be first do no harm.
    pub(super) fn maintain_poison(&mut self, now: Time) {
        for Probe { incarnation: victim, address } in self.detector.due_probes(now) {
            self.effects.push(Effect::Probe(victim, address));
        }
        let first = self.is_first_live_daemon(now);
        if first {
            let due = self.poison.due_writes(now, WRITE_RETRY_INTERVAL);
            self.append_blocks(&due, &[]);
        }
        if now < self.blocks.next_maintenance {
            return;
        }
        self.blocks.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.update_block_ages(now);
        let lapsed = self.poison.expire(now);
        if first {
            self.append_blocks(&[], &lapsed);
        }
        if first {
            self.renew_blocks(now);
        }
    }

    /// Writes blocks again before the log forgets them. How old their records are is told by the log: daemons may live
    /// for less than that takes.
    fn renew_blocks(&mut self, now: Time) {
        let reading = self.readings.get(&Stream::Blocked).copied().unwrap_or_default();
        let renewal = Duration::from_secs(reading.retention_s) / RENEWAL_RETENTION_DIVISOR;
        let pause = renewal.min(RENEWAL_RETRY_INTERVAL);
        if !reading.up || self.blocks.renewed_at.is_some_and(|at| now < at + pause) {
            return;
        }
        let log_ms = self.checkpoint.min_log_time_ms(now);
        let is_old = |block: &Blocked| {
            let kept = self.blocks.stored.get(&block.fingerprint);
            kept.is_some_and(|kept| log_elapsed(log_ms, kept.written_ms) >= renewal)
        };
        let old: Vec<Blocked> = self.poison.blocks(now).filter(is_old).collect();
        if !old.is_empty() {
            self.blocks.renewed_at = Some(now);
            self.append_blocks(&old, &[]);
        }
    }

    /// Counts the age of blocks by the log's clock: a daemon that starts again reads what is old, and how old that is
    /// shows by what it reads later.
    fn update_block_ages(&mut self, now: Time) {
        self.blocks.stored.retain(|fingerprint, _| self.poison.is_blocked(*fingerprint));
        let log_ms = self.checkpoint.min_log_time_ms(now);
        for (fingerprint, kept) in &self.blocks.stored {
            let age = log_elapsed(log_ms, kept.since_ms);
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

/// The time from one moment of the log's clock to a later one, both in milliseconds.
fn log_elapsed(log_ms: u64, since_ms: u64) -> Duration {
    Duration::from_millis(log_ms.saturating_sub(since_ms))
}
