//! Handling of log reads, VM lists and engine reports.

use super::message::{AppendResult, Read, Record, Stream};
use super::node::Poll;
use super::{Effect, Node};
use crate::attempt::{self, Command, Phase};
use crate::manifest::{self, Verdict};
use crate::membership::{self, Change, Notice, Role, Vm};
use crate::prelude::*;

/// A checkpoint is due when the retention divided by this has passed since the last.
const CHECKPOINT_RETENTION_DIVISOR: u64 = 4;
/// Minimum time between two checkpoints.
const MIN_CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a checkpoint that was sent but not read back is sent again.
const CHECKPOINT_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// Age of the record on the log that holds the manifest in force, and state of its rewriting.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Checkpointing {
    /// Log time at which the last checkpoint or the first publication was written, in milliseconds.
    checkpoint_ms: Option<u64>,
    /// Lower bound of the log clock's offset from this daemon's clock, in milliseconds.
    min_clock_offset_ms: u64,
    sent_at: Option<Time>,
    in_progress: bool,
}

impl Checkpointing {
    pub(super) fn finish_append(&mut self) {
        self.in_progress = false;
    }

    /// Updates the clock offset from a record that was read at `now` and written at log time `time_ms`.
    fn record_log_time(&mut self, now: Time, time_ms: u64) {
        self.min_clock_offset_ms =
            self.min_clock_offset_ms.max(time_ms.saturating_sub(now.as_millis() as u64));
    }

    /// Lower bound of the log's clock, in milliseconds.
    pub(super) fn min_log_time_ms(&self, now: Time) -> u64 {
        (now.as_millis() as u64).saturating_add(self.min_clock_offset_ms)
    }

    /// Whether a checkpoint is due, given the interval between two. Age is measured by the log's
    /// clock, since daemons may run for less than that. A checkpoint of unknown age counts as too old.
    fn is_due(&self, now: Time, interval: Duration) -> bool {
        let log_time_ms = self.min_log_time_ms(now);
        let interval_ms = interval.max(MIN_CHECKPOINT_INTERVAL).as_millis() as u64;
        let retry_interval = interval.clamp(MIN_CHECKPOINT_INTERVAL, CHECKPOINT_RETRY_INTERVAL);
        self.checkpoint_ms
            .is_none_or(|written_ms| log_time_ms >= written_ms.saturating_add(interval_ms))
            && self.sent_at.is_none_or(|sent| now >= sent + retry_interval)
    }
}

impl Node {
    pub(super) fn handle_records(&mut self, now: Time, stream: Stream, read: Read) {
        let reading = self.readings.entry(stream).or_default();
        let was_up = std::mem::replace(&mut reading.up, true);
        reading.tail_at_start.get_or_insert(read.next);
        reading.tail = read.next;
        reading.retention_s = read.retention_s;
        if !was_up {
            self.event(Event::LogUp, Detail::of("stream", stream.as_str()));
        }
        let next = self.next_offset(stream);
        if read.first > next {
            let detail = Detail::of("stream", stream.as_str())
                .and("from_offset", next)
                .and("first_offset", read.first);
            self.event(Event::RecordsForgotten, detail);
            match stream {
                Stream::Manifest => self.manifest.skip_to(read.first),
                Stream::Ledger => self.ledger.skip_to(read.first),
                Stream::Lease => self.lease.skip_to(read.first),
                Stream::Blocked => self.blocks.skip_to(read.first),
            }
        }
        for record in &read.records {
            self.checkpoint.record_log_time(now, record.time_ms);
            // Records after a gap are not folded. The next read starts at the gap.
            if record.offset > self.next_offset(stream) {
                break;
            }
            match stream {
                Stream::Manifest => self.fold_manifest(record),
                Stream::Ledger => self.fold_ledger(record),
                Stream::Blocked => {
                    if self.fold_blocked(now, record).is_none() {
                        self.count_unreadable(stream, record.offset);
                    }
                }
                Stream::Lease => {
                    if self.fold_lease(now, record.offset, &record.text).is_none() {
                        self.count_unreadable(stream, record.offset);
                    }
                }
            }
        }
        match stream {
            Stream::Manifest => self.apply_manifest(now),
            Stream::Ledger => self.resolve_claims(now),
            Stream::Lease | Stream::Blocked => {}
        }
    }

    fn fold_manifest(&mut self, record: &Record) {
        let offset = record.offset;
        let before = self.manifest.generation();
        match self.manifest.fold(offset, &record.text) {
            // A manifest that replaces an earlier generation can't be read without that one.
            Verdict::Accepted(force) if before > 0 && force.generation == before + 1 => {}
            Verdict::Accepted(_) | Verdict::Confirmed => {
                self.checkpoint.checkpoint_ms = Some(record.time_ms);
            }
            Verdict::Ignored => {}
            Verdict::Stale => {
                let detail = Detail::of("offset", offset)
                    .and("reason", "replaces a generation that is not in force");
                self.event(Event::ManifestRefused, detail);
            }
            Verdict::Invalid(faults) => {
                let detail = Detail::of("offset", offset).and("faults", faults);
                self.event(Event::ManifestRefused, detail);
            }
            Verdict::Unreadable => self.count_unreadable(Stream::Manifest, offset),
        }
    }

    fn fold_ledger(&mut self, record: &Record) {
        if self.ledger.fold(record.offset, record.time_ms, &record.text).is_none() {
            self.count_unreadable(Stream::Ledger, record.offset);
        }
    }

    fn count_unreadable(&mut self, stream: Stream, offset: u64) {
        self.counts.unreadable_records += 1;
        let detail = Detail::of("stream", stream.as_str()).and("offset", offset);
        self.event(Event::RecordUnreadable, detail);
    }

    /// Makes traffic use the manifest in force, if its generation is new.
    pub(super) fn apply_manifest(&mut self, now: Time) {
        let Some(force) =
            self.manifest_in_force().filter(|f| f.generation > self.applied_generation).cloned()
        else {
            return;
        };
        self.applied_generation = force.generation;
        let detail = Detail::of("generation", force.generation);
        self.event(Event::ManifestInForce, detail);
        self.in_force_since = now;
        self.effects.push(Effect::UseManifest(force));
        self.next_digest = now;
    }

    pub(super) fn resolve_claims(&mut self, now: Time) {
        let steps = self.pending.resolve(&self.ledger);
        self.apply_ledger_steps(now, steps);
    }

    pub(super) fn log_down(&mut self, stream: Stream) {
        let reading = self.readings.entry(stream).or_default();
        if std::mem::replace(&mut reading.up, false) {
            self.event(Event::LogDown, Detail::of("stream", stream.as_str()));
        }
    }

    pub(super) fn appended(&mut self, now: Time, number: u64, result: AppendResult) {
        let steps = match result {
            AppendResult::Written => {
                self.pending.append_succeeded(number);
                Vec::new()
            }
            AppendResult::Refused => self.pending.append_failed(now, number, false),
            AppendResult::Unknown => self.pending.append_failed(now, number, true),
        };
        self.apply_ledger_steps(now, steps);
    }

    pub(super) fn flush_ledger(&mut self, now: Time) {
        if let Some((number, text)) = self.pending.next_append(now) {
            self.effects.push(Effect::Append { number, text });
        }
    }

    /// Appends the manifest in force again before the log drops it. The live daemon with the lowest
    /// id does so. Two daemons that both take this role do no harm, since a checkpoint of the
    /// generation in force changes nothing.
    pub(super) fn schedule_checkpoint(&mut self, now: Time) {
        let reading = self.readings.get(&Stream::Manifest).copied().unwrap_or_default();
        let Some(force) = self.manifest_in_force() else {
            return;
        };
        let interval =
            Duration::from_secs(reading.retention_s) / CHECKPOINT_RETENTION_DIVISOR as u32;
        let is_due = self.checkpoint.is_due(now, interval) && !self.checkpoint.in_progress;
        // Before the peers' digests have come, every daemon would be the first.
        let is_starting = now < self.policy.digest_lifetime.min(interval);
        if !reading.up || !is_due || is_starting || !self.is_first_live_daemon(now) {
            return;
        }
        let record = manifest::Record {
            format: manifest::FORMAT,
            id: format!("checkpoint-{}-{}", self.identity.id, self.identity.incarnation),
            body: manifest::Body::Checkpoint {
                generation: force.generation,
                published: force.record_id.clone(),
                manifest: serde_json::to_value(&force.manifest).unwrap_or_default(),
            },
        };
        self.checkpoint.in_progress = true;
        self.checkpoint.sent_at = Some(now);
        self.effects.push(Effect::Checkpoint(record.encode()));
    }

    pub(super) fn is_first_live_daemon(&self, now: Time) -> bool {
        self.live_peers(now).all(|digest| digest.daemon > self.identity.id || digest.draining)
    }

    pub(super) fn handle_vm_list(&mut self, now: Time, vms: Vec<Vm>) {
        if !std::mem::replace(&mut self.vm_list_up, true) {
            self.event(Event::VmListUp, Detail::none());
        }
        self.vm_list_known = true;
        let notices = self.membership.apply_vm_list(vms);
        self.apply_notices(now, notices);
    }

    pub(super) fn vm_list_down(&mut self) {
        if std::mem::replace(&mut self.vm_list_up, false) {
            self.event(Event::VmListDown, Detail::none());
        }
    }

    pub(super) fn polled(&mut self, now: Time, key: membership::Key, report: membership::Report) {
        self.poll_ended(now, key);
        let former = self.incarnation(key);
        let notices = self.membership.apply_report(now, key, &report);
        if notices.contains(&Notice::Restarted(key)) {
            self.record_crash(now, former);
        }
        self.apply_notices(now, notices);
        for event in &report.events {
            match event.change {
                Change::Stored => self.residency.insert(key, event.key()),
                Change::Evicted => self.residency.remove(key, event.key()),
            }
        }
        self.retry_admission(now);
    }

    pub(super) fn poll_failed(&mut self, now: Time, key: membership::Key) {
        self.poll_ended(now, key);
        let notices = self.membership.record_poll_failure(key).into_iter().collect();
        self.apply_notices(now, notices);
        self.retry_admission(now);
    }

    fn poll_ended(&mut self, now: Time, key: membership::Key) {
        if self.membership.get(key).is_none() {
            return;
        }
        let next = Poll::Due(now + self.policy.poll_interval);
        let Some(Poll::Sent(sent_at)) = self.polls.insert(key, next) else { return };
        self.membership.record_poll_end(key, sent_at);
        match self.unreported_orders.get(&key) {
            Some(executed_at) if sent_at < *executed_at => self.poll_now(now, key),
            Some(_) => {
                self.unreported_orders.remove(&key);
            }
            None => {}
        }
    }

    /// Polls an engine at once, unless a poll of it is under way.
    pub(super) fn poll_now(&mut self, now: Time, key: membership::Key) {
        if let Some(poll @ Poll::Due(_)) = self.polls.get_mut(&key) {
            *poll = Poll::Due(now);
        }
        self.schedule_polls(now);
    }

    /// Polls the engines of `pool` that have not been polled since the manifest came into force.
    pub(super) fn poll_awaited_engines(&mut self, now: Time, pool: &str) {
        for (key, server) in self.membership.pool(pool) {
            if let Some(poll @ Poll::Due(_)) = self.polls.get_mut(&key)
                && server.awaits_poll_since(self.in_force_since)
            {
                *poll = Poll::Due(now);
            }
        }
        self.schedule_polls(now);
    }

    pub(super) fn apply_notices(&mut self, now: Time, notices: Vec<Notice>) {
        for notice in notices {
            let (event, key) = match notice {
                Notice::Added(key) => {
                    self.server_added(now, key);
                    (Event::ServerAdded, key)
                }
                Notice::Draining(key) => (Event::ServerLeaving, key),
                Notice::Unreachable(key) => {
                    self.abort_attempts(key);
                    (Event::ServerUnreachable, key)
                }
                Notice::Reachable(key) => (Event::ServerReachable, key),
                Notice::Restarted(key) => {
                    self.residency.clear(key);
                    self.abort_attempts(key);
                    (Event::ServerRestarted, key)
                }
                Notice::Gap(key, lost) => {
                    self.residency.record_lost_events(key, lost);
                    (Event::CacheEventGap, key)
                }
                Notice::Removed(key, id) => {
                    self.residency.clear(key);
                    self.polls.remove(&key);
                    self.pending_orders.remove(&key);
                    self.unreported_orders.remove(&key);
                    self.event(Event::ServerRemoved, Detail::of("server", id));
                    continue;
                }
            };
            let id = self.membership.get(key).map_or_else(String::new, |s| s.vm.id.clone());
            self.event(event, Detail::of("server", id));
        }
    }

    /// Aborts the idempotent attempts at a server that will not answer them.
    fn abort_attempts(&mut self, key: membership::Key) {
        let attempts: Vec<(attempt::Key, u32)> = self
            .requests
            .iter()
            .filter(|(_, state)| state.arrival.idempotent)
            .filter(|(_, state)| matches!(state.phase, Phase::Sent { server, .. } if server == key))
            .map(|(request, state)| (*request, state.attempts))
            .collect();
        for (request, attempt) in attempts {
            self.command(request, Command::Abort(attempt));
        }
    }

    fn server_added(&mut self, now: Time, key: membership::Key) {
        let is_engine =
            self.membership.get(key).is_some_and(|server| server.vm.role == Role::ModelServer);
        if is_engine {
            self.polls.insert(key, Poll::Due(now));
            self.schedule_polls(now);
        }
    }

    /// Polls every engine that is due. An engine has at most one poll under way.
    pub(super) fn schedule_polls(&mut self, now: Time) {
        for (key, poll) in &mut self.polls {
            if !matches!(poll, Poll::Due(due) if *due <= now) {
                continue;
            }
            let Some(server) = self.membership.get(*key) else {
                continue;
            };
            *poll = Poll::Sent(now);
            self.effects.push(Effect::Poll {
                server: *key,
                address: server.vm.address,
                from: server.next_seq,
            });
        }
    }
}
