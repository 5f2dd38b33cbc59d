//! Queues requests that no server has room for, sends them by priority, and refuses the rest with a
//! retry-after time.
//!
//! A pool may be overloaded for some seconds (engines gone or loading, a burst, immediate retries).
//! A request that can't be sent within a part of its route's target would be answered late and
//! would delay others that can still be answered in time. It is refused while its caller can still
//! retry, with a retry-after time computed from the queue ahead of it. Retries go before new
//! requests of the same priority, whichever daemon refused them.
//!
//! Where the room of pools is divided ([`super::claim`]), a request waits while it can be answered in
//! time ([`super::patience`]), and retries go before new requests of their own workspace alone.

use super::claim::Stake;
use super::drain::Throughput;
use super::isolation::has_waited_for_isolation;
use super::patience::{Shortage, Times, Verdict};
use super::pool::Pool;
use super::prompt::unshared_ms;
use super::request::{Phase, Request};
use super::{Command, Key, Node, server};
use crate::fairness::{Ledger, Start};
use crate::poison::Fingerprint;
use crate::prelude::*;

/// Maximum wait for a server: the route's target divided by this.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Minimum retry-after time: the condition that delayed the request has already lasted longer.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Retry-after time while no server of the pool accepts work: a load of weights, and a pause after
/// failures, take about this long.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Maximum retry-after time: the remaining time of the request divided by this.
const MAX_RETRY_AFTER_DIVISOR: u32 = 3;
/// Jitter of the retry-after time, so that callers refused together do not retry together.
const RETRY_AFTER_JITTER_RATIO: f64 = 0.25;
/// Time for which a retry of a refused request is expected: the longest retry-after time plus
/// one second.
pub(super) const REFUSAL_LIFETIME: Duration = Duration::from_millis(4_000);
/// Minimum time between two passes over the queue. The scheduler of a large pool sees requests end
/// so fast that a pass at each end would use up its core.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(4);
/// Waiting requests that a pass tries from the head of the queue, and again as many after them.
const DISPATCH_BATCH: usize = 24;
/// Minimum number of requests ahead for which the queue's throughput predicts the wait.
const MIN_AHEAD_FOR_ESTIMATE: usize = 8;
/// Maximum number of refusals that are remembered, and sent to peers in one digest.
const MAX_REFUSALS: usize = 256;

/// Minimum time between two predictions for all that waits.
const PREDICTION_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests that wait for one pool while its room is divided: some kilobytes
/// each, in the memory of small VMs.
const MAX_WAITING: usize = 4_096;
/// The same, of one workspace.
const MAX_WAITING_OF_WORKSPACE: usize = 1_024;

/// Position of a waiting request: what can be answered in time before what cannot, then by
/// priority, then by fair shares where these are in force, then returning callers before new ones,
/// then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    is_late: bool,
    priority: u8,
    start: Start,
    is_new: bool,
    pub(super) key: Key,
}

impl Position {
    pub(super) fn of(key: Key, request: &Request) -> Self {
        Self {
            is_late: request.is_late,
            priority: Node::priority(request),
            start: request.start,
            is_new: !request.refused_before,
            key,
        }
    }

    /// The least position of its class: as late or not, and as urgent.
    pub(super) fn start_of_class(self) -> Self {
        let (start, is_new, key) = (Start(0), false, Key(0));
        Self { start, is_new, key, ..self }
    }

    /// The greatest position of its class.
    pub(super) fn end_of_class(self) -> Self {
        let (start, is_new, key) = (Start(u64::MAX), true, Key(u64::MAX));
        Self { start, is_new, key, ..self }
    }

    /// How far its workspace is ahead of that of the first position of its class, in virtual time.
    pub(super) fn ahead_of(self, first: Self) -> u64 {
        self.start.0.saturating_sub(first.start.0)
    }
}

/// Fingerprints of refused and interrupted requests that are expected to be retried.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    /// When each was refused, and when its caller first asked.
    own: BTreeMap<Fingerprint, (Time, Time)>,
    from_peers: BTreeMap<Fingerprint, Time>,
}

impl Refusals {
    /// Records that a request was refused or interrupted, whose caller asked first at `asked`.
    pub(super) fn record(&mut self, now: Time, fingerprint: Fingerprint, asked: Time) {
        self.trim(now);
        if self.own.len() < MAX_REFUSALS {
            self.own.insert(fingerprint, (now, asked));
        }
    }

    /// Merges the refusals that a peer reported.
    pub(super) fn merge_peer(&mut self, now: Time, refused: &[Fingerprint]) {
        self.trim(now);
        for fingerprint in refused.iter().take(MAX_REFUSALS) {
            self.from_peers.entry(*fingerprint).or_insert(now);
        }
    }

    /// When the caller of a request that was refused recently first asked, as far as is known. A
    /// refusal by this daemon counts once.
    pub(super) fn asked_at(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Time> {
        let is_recent = |at: Time| now < at + REFUSAL_LIFETIME;
        let own = self.own.remove(&fingerprint).filter(|(refused, _)| is_recent(*refused));
        // Peers may report a refusal again, so it is kept until it expires.
        let from_peers = self.from_peers.get(&fingerprint).copied().filter(|at| is_recent(*at));
        own.map(|(_, asked)| asked).or(from_peers)
    }

    /// Removes a refusal that promised the caller nothing.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        self.own.remove(&fingerprint);
    }

    /// The recent refusals of this daemon.
    pub(super) fn own(&self) -> Vec<Fingerprint> {
        self.own.keys().copied().collect()
    }

    fn trim(&mut self, now: Time) {
        self.own.retain(|_, (at, _)| now < *at + REFUSAL_LIFETIME);
        self.from_peers.retain(|_, at| now < *at + REFUSAL_LIFETIME);
    }
}

impl Node {
    pub(super) fn priority(request: &Request) -> u8 {
        let workspace = request.arrival.workspace.as_ref().and_then(|owner| owner.priority);
        workspace.unwrap_or(request.arrival.route.priority)
    }

    pub(super) fn send_or_queue(&mut self, now: Time, key: Key) {
        if self.leave_if_cut_off(now, key)
            || self.return_if_not_scheduling(now, key)
            || self.refuse_if_version_gone(now, key)
        {
            return;
        }
        self.join_ledger(now, key);
        if self.is_its_turn(key) && self.try_send(now, key) {
            return;
        }
        match self.predict(now, key) {
            Verdict::Wait => self.queue(now, key, false),
            Verdict::WaitBehind => self.queue(now, key, true),
            Verdict::Refuse if self.fill_server(now, key) => {}
            Verdict::Refuse => self.refuse(now, key, Code::NoServer),
        }
    }

    /// Whether a new request may be tried before those that wait: not if it is late and others are
    /// not, nor if its workspace is further ahead of its share than that of the first one of the
    /// same priority. A request that was sent before may always be tried.
    fn is_its_turn(&self, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let Some(stake) = request.stake.as_ref().filter(|_| request.sends == 0) else {
            return true;
        };
        let position = Position::of(key, request);
        let first_of_all = self.waiting.of_pool(&request.pool).next();
        if first_of_all.is_some_and(|first| first.is_late != position.is_late && !first.is_late) {
            return false;
        }
        let first = self.waiting.first_of_class(&request.pool, position);
        first.is_none_or(|first| position.ahead_of(first) <= stake.virtual_cost())
    }

    /// Why a request cannot be sent, while the room of its pool is divided.
    pub(super) fn shortage(&self, now: Time, key: Key) -> Option<Shortage> {
        let request = self.requests.get(&key).filter(|request| request.stake.is_some())?;
        if self.rest_of_pool(now, request).is_some() {
            return Some(Shortage::Rest);
        }
        if self.concurrency(now, &request.pool) == 0 {
            return Some(Shortage::NoServer);
        }
        let is_over_share = !request.is_late && !self.is_its_turn(key);
        Some(if is_over_share { Shortage::OverShare } else { Shortage::NoRoom })
    }

    fn queue(&mut self, now: Time, key: Key, is_late: bool) {
        if self.waiting.is_empty() {
            self.drains.values_mut().for_each(Throughput::reset);
        }
        if is_late {
            self.suspend_claim(now, key);
        }
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.phase = Phase::Waiting(now);
        request.is_late = is_late;
        let is_first = self.waiting.len_of(&request.pool) == 0;
        self.waiting.insert(key, request);
        let throughput = self.drains.entry(request.pool.clone()).or_default();
        throughput.note_waiting(now);
        if is_first {
            throughput.reset_work(now);
        }
        self.send_queued(key);
        self.log_waiting(now, key);
        self.bound_queue(now, key);
    }

    /// Refuses a request if too many wait: of its workspace this one, and else the newest of the
    /// workspace that is furthest ahead of its share.
    fn bound_queue(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let Some(stake) = &request.stake else { return };
        let (pool, workspace) = (request.pool.as_str(), &stake.claim.workspace);
        let of_workspace = self.waiting.len_of_workspace(pool, workspace);
        let refused = match of_workspace > MAX_WAITING_OF_WORKSPACE {
            true => Some(key),
            false if self.waiting.len_of(pool) > MAX_WAITING => {
                self.waiting.furthest_ahead(pool).map(|position| position.key)
            }
            false => None,
        };
        if let Some(refused) = refused {
            self.refuse(now, refused, Code::NoServer);
        }
    }

    /// The times that decide how long a request waits.
    fn times(&self, request: &Request) -> Times {
        let waits_since = match request.phase {
            Phase::Waiting(since) => since.max(request.asked_at),
            _ => request.asked_at,
        };
        Times {
            asked: request.asked_at,
            waits_since,
            target: request.arrival.route.target_latency,
            deadline: request.arrival.deadline,
            service: Duration::from_secs_f64(self.server_ms(request) / 1_000.0),
        }
    }

    /// The times of a request that waits from now on.
    pub(super) fn times_from(&self, now: Time, request: &Request) -> Times {
        Times { waits_since: now, ..self.times(request) }
    }

    /// Maximum milliseconds that a request may wait at an engine so that it can be answered in
    /// time; infinite while the room of pools is not divided: requests then wait for a part of
    /// their target.
    pub(super) fn max_engine_wait_ms(&self, now: Time, request: &Request) -> f64 {
        match self.divides_room() {
            true => self.times(request).max_engine_wait_ms(now, request.is_late),
            false => f64::INFINITY,
        }
    }

    /// Decides by the work ahead of a request whether it waits.
    fn predict(&self, now: Time, key: Key) -> Verdict {
        let Some(request) = self.requests.get(&key) else { return Verdict::Wait };
        if request.stake.is_none() {
            return match self.would_time_out(now, key) {
                true => Verdict::Refuse,
                false => Verdict::Wait,
            };
        }
        let times = self.times_from(now, request);
        if let Some(rest) = self.rest_of_pool(now, request) {
            return times.decide(now, rest);
        }
        if self.waits_in_any_case(now, key, request) {
            return times.order(now);
        }
        times.decide(now, self.expected_wait(now, request).unwrap_or_default())
    }

    /// Whether a request waits whatever is ahead of it: it was sent before, must run alone, or its
    /// caller is back after servers of the pool crashed. Its tries are limited, and the pace does
    /// not show that replacements start.
    fn waits_in_any_case(&self, now: Time, key: Key, request: &Request) -> bool {
        request.sends > 0
            || request.refused_before && self.has_crashed_recently(now, &request.pool)
            || self.claims_isolation(now, key)
    }

    /// Expected wait of a request by the work that fair shares put ahead of it; `None` while that
    /// is too little for an estimate.
    fn expected_wait(&self, now: Time, request: &Request) -> Option<Duration> {
        let stake = request.stake.as_ref()?;
        let ledger = self.ledgers.get(&request.pool)?;
        let ahead_ms = match request.is_late {
            true => ledger.waiting_ms() + self.late_ms(request, stake),
            false => ledger.ahead_ms(&stake.claim),
        };
        let ahead = ahead_ms / stake.claim.cost_ms;
        if let Some(per_s) = self.pool_request_rate(&request.pool) {
            return Some(time_for(ahead as usize + 1, per_s));
        }
        let is_enough = ahead >= MIN_AHEAD_FOR_ESTIMATE as f64;
        is_enough.then(|| work_time(ahead_ms, self.pace_ms_per_s(now, &request.pool)))
    }

    /// Milliseconds of work of the late requests of a pool, if all are like one of them.
    fn late_ms(&self, request: &Request, stake: &Stake) -> f64 {
        self.waiting.late_len_of(&request.pool) as f64 * stake.claim.cost_ms
    }

    /// Milliseconds of work a second that a pool begins: measured while requests wait, and
    /// otherwise what its servers can do.
    pub(super) fn pace_ms_per_s(&self, now: Time, pool: &str) -> f64 {
        let measured = self.drains.get(pool).and_then(|drain| drain.work_ms_per_s(now));
        measured.unwrap_or_else(|| 1_000.0 * self.concurrency(now, pool) as f64)
    }

    /// Number of requests that a pool's servers that accept work serve at once: an engine reads one
    /// prompt after another, a plain server runs several requests at once.
    fn concurrency(&self, now: Time, pool: &str) -> usize {
        let keys = self.pools.get(pool).map(Pool::keys).unwrap_or_default();
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let available = servers.filter(|(key, server)| self.accepts_work(now, *key, server));
        let is_engine = self.table.as_ref().is_some_and(|table| table.engine(pool).is_some());
        match is_engine {
            true => available.count(),
            false => available.map(|(_, server)| server.entry.slots as usize).sum(),
        }
    }

    /// Decides again, by the work ahead of each waiting request, whether it waits on. What is
    /// refused gets its answer now rather than when its time is over.
    fn predict_again(&mut self, now: Time) {
        if now < self.next_prediction || !self.divides_room() {
            return;
        }
        self.next_prediction = now + PREDICTION_INTERVAL;
        for pool in self.waiting.pools() {
            for (key, verdict) in self.verdicts(now, &pool) {
                self.carry_out(now, key, verdict);
            }
        }
    }

    /// The requests of a pool that should not wait on as they do.
    fn verdicts(&self, now: Time, pool: &str) -> Vec<(Key, Verdict)> {
        let Some(drain) = self.drains.get(pool) else { return Vec::new() };
        let Some(pace) = drain.work_ms_per_s(now) else { return Vec::new() };
        let mut ahead_ms = 0.0;
        let mut verdicts = Vec::new();
        for position in self.waiting.of_pool(pool) {
            let Some(request) = self.requests.get(&position.key) else { continue };
            let Some(stake) = &request.stake else { continue };
            let cost_ms = stake.claim.cost_ms;
            let is_far = ahead_ms >= cost_ms * MIN_AHEAD_FOR_ESTIMATE as f64;
            let verdict = match is_far && !self.waits_in_any_case(now, position.key, request) {
                true => self.times(request).decide(now, work_time(ahead_ms, pace)),
                false => Verdict::Wait,
            };
            match verdict {
                Verdict::Wait => {}
                Verdict::WaitBehind if request.is_late => {}
                Verdict::WaitBehind | Verdict::Refuse => verdicts.push((position.key, verdict)),
            }
            if verdict != Verdict::Refuse {
                ahead_ms += cost_ms;
            }
        }
        verdicts
    }

    fn carry_out(&mut self, now: Time, key: Key, verdict: Verdict) {
        match verdict {
            Verdict::Wait => {}
            Verdict::WaitBehind => self.put_behind(now, key),
            Verdict::Refuse => self.refuse(now, key, Code::NoServer),
        }
    }

    /// Puts a waiting request behind all that can still be answered in time.
    fn put_behind(&mut self, now: Time, key: Key) {
        self.suspend_claim(now, key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        self.waiting.remove(key, request);
        request.is_late = true;
        self.waiting.insert(key, request);
    }

    /// Whether a request would probably be refused after its wait, by the rest that the pool's
    /// servers want, their request limits, or the throughput of the queue. It is then refused at
    /// once, so that its caller retries sooner. Only the rest counts for a request that was sent
    /// before or must run alone, and for a returning caller of a pool where servers have just
    /// crashed: its tries are limited, and the throughput does not show that replacements start.
    fn would_time_out(&self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let max_wait = Self::max_wait(request);
        if let Some(rest) = self.rest_of_pool(now, request) {
            return rest > max_wait;
        }
        if request.sends > 0 {
            return false;
        }
        let returns_after_crash =
            request.refused_before && self.has_crashed_recently(now, &request.pool);
        if returns_after_crash || self.claims_isolation(now, key) {
            return false;
        }
        let ahead = self.count_ahead(Position::of(key, request), &request.pool);
        if let Some(per_s) = self.pool_request_rate(&request.pool) {
            return time_for(ahead + 1, per_s) > max_wait;
        }
        let Some(throughput) = self.drains.get(&request.pool) else { return false };
        let expected =
            throughput.expected_wait(now, ahead).filter(|_| ahead >= MIN_AHEAD_FOR_ESTIMATE);
        expected.is_some_and(|wait| wait > max_wait)
    }

    /// Counts the waiting requests of a pool before a position.
    fn count_ahead(&self, position: Position, pool: &str) -> usize {
        let ahead = self.waiting.before(position);
        let same =
            |position: &&Position| self.requests.get(&position.key).is_some_and(|r| r.pool == pool);
        ahead.filter(same).count()
    }

    /// Sends waiting requests for which there is room, in order.
    pub(super) fn send_waiting(&mut self, now: Time) {
        if self.waiting.is_empty() || now < self.next_queue_scan {
            return;
        }
        self.next_queue_scan = now + DISPATCH_INTERVAL;
        if self.divides_room() {
            return self.send_by_pool(now);
        }
        let mut full: BTreeSet<String> = BTreeSet::new();
        for position in self.next_batch() {
            let Some(request) = self.requests.get(&position.key) else { continue };
            if full.contains(&request.pool) {
                continue;
            }
            if !self.pool_has_room(now, &request.pool) {
                full.insert(request.pool.clone());
                continue;
            }
            self.send_queued_request(now, position.key);
        }
    }

    /// Sends waiting requests pool by pool, as virtual start times of two pools compare nothing.
    fn send_by_pool(&mut self, now: Time) {
        for pool in self.waiting.pools() {
            for position in self.waiting.next_batch_of(&pool, DISPATCH_BATCH) {
                if !self.pool_has_room(now, &pool) {
                    break;
                }
                self.send_queued_request(now, position.key);
            }
        }
    }

    fn send_queued_request(&mut self, now: Time, key: Key) {
        if !self.try_send(now, key) {
            return;
        }
        let Some(request) = self.requests.get(&key) else { return };
        self.waiting.remove(key, request);
        self.drains.entry(request.pool.clone()).or_default().note_sent(now);
    }

    /// Returns the waiting requests to try next: the first in order, and as many of the others,
    /// continuing where the last pass ended. A server with room may hold none of the parts of the
    /// first ones.
    fn next_batch(&mut self) -> Vec<Position> {
        let mut batch: Vec<Position> = self.waiting.iter().take(DISPATCH_BATCH).copied().collect();
        let Some(last) = batch.last().copied() else { return batch };
        let from = self.queue_cursor.filter(|cursor| *cursor > last).unwrap_or(last);
        batch.extend(self.waiting.after(from).take(DISPATCH_BATCH));
        self.queue_cursor = batch.last().copied().filter(|_| batch.len() == 2 * DISPATCH_BATCH);
        batch
    }

    fn pool_has_room(&self, now: Time, pool: &str) -> bool {
        let keys = self.pools.get(pool).map(Pool::keys).unwrap_or_default();
        let room = |key: &server::Key| {
            self.servers.get(*key).is_some_and(|server| self.has_room(now, *key, server))
        };
        keys.iter().any(room)
    }

    /// Refuses the requests whose maximum wait has passed, or that no server may serve any more.
    pub(super) fn expire(&mut self, now: Time) {
        let waiting = self.waiting.iter().map(|position| position.key);
        let bound =
            waiting.filter(|key| self.requests.get(key).is_some_and(|r| r.software.is_some()));
        let bound: Vec<Key> = bound.collect();
        for key in bound {
            self.refuse_if_version_gone(now, key);
        }
        let expired: Vec<Key> = self
            .waiting
            .iter()
            .map(|position| position.key)
            .filter(|key| {
                self.requests.get(key).is_some_and(|r| self.has_waited_too_long(now, *key, r))
            })
            .collect();
        // Requests refused together are retried in order, so each counts those before it.
        let expired: Vec<(Key, Duration)> =
            expired.into_iter().map(|key| (key, self.retry_after(now, key))).collect();
        for (key, after) in expired {
            match self.waits_behind(now, key) {
                true => self.put_behind(now, key),
                false => self.refuse_with_retry_after(now, key, Code::NoServer, after),
            }
        }
        self.predict_again(now);
    }

    /// Whether a request whose time is over waits on, behind all that can be answered in time.
    fn waits_behind(&self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let Some(stake) = request.stake.as_ref().filter(|_| !request.is_late) else { return false };
        let in_time_ms = self.ledgers.get(&request.pool).map_or(0.0, Ledger::waiting_ms);
        let waiting_ms = in_time_ms + self.late_ms(request, stake);
        let wait = work_time(waiting_ms, self.pace_ms_per_s(now, &request.pool));
        self.times(request).decide(now, wait) == Verdict::WaitBehind
    }

    /// Refuses a request that has not run with `code` and a retry-after time. A request that may
    /// have run ends with the outcome of its last attempt.
    pub(super) fn refuse(&mut self, now: Time, key: Key, code: Code) {
        let after = self.retry_after(now, key);
        self.refuse_with_retry_after(now, key, code, after);
    }

    pub(super) fn refuse_with_retry_after(
        &mut self,
        now: Time,
        key: Key,
        code: Code,
        after: Duration,
    ) {
        let Some(request) = self.requests.get(&key) else { return };
        let code = request.refusal_code(code);
        let command = match request.possible_runs {
            0 => Command::Refuse(code, after),
            _ => Command::GiveUp,
        };
        let (fingerprint, asked_at) = (request.arrival.fingerprint, request.asked_at);
        self.log_refused(now, key, code, after);
        if matches!(command, Command::Refuse(..)) {
            self.expected.record(now, fingerprint, asked_at);
        }
        self.command(key, command);
        self.remove_request(now, key);
    }

    /// Retry-after time of a request: the time in which the servers of its pool that accept work
    /// serve the queue ahead of it.
    fn retry_after(&mut self, now: Time, key: Key) -> Duration {
        let Some(request) = self.requests.get(&key) else { return MIN_RETRY_AFTER };
        let limit = Self::max_retry_after(now, request);
        if let Some(rest) = self.rest_of_pool(now, request) {
            // No caller returns before the rest is over.
            let after = self.with_jitter(rest.div_f64(1.0 - RETRY_AFTER_JITTER_RATIO));
            return after.min(limit.max(MIN_RETRY_AFTER / 2));
        }
        let queue_time = match &request.stake {
            Some(stake) => self.share_time(now, request, stake).min(limit),
            None => self.queue_time(now, key, request, limit),
        };
        self.with_jitter(queue_time).min(limit.max(MIN_RETRY_AFTER / 2))
    }

    /// Time in which the servers of a pool that accept work serve the queue ahead of a request.
    fn queue_time(&self, now: Time, key: Key, request: &Request, limit: Duration) -> Duration {
        let ahead = self.count_ahead(Position::of(key, request), &request.pool);
        if let Some(per_s) = self.pool_request_rate(&request.pool) {
            return time_for(ahead + 1, per_s).min(limit);
        }
        let concurrency = self.concurrency(now, &request.pool);
        if concurrency == 0 {
            return NO_SERVER_RETRY_AFTER;
        }
        let request_ms = match &request.arrival.prompt {
            Some(prompt) => unshared_ms(prompt) * self.pool_slowness(&request.pool),
            None => self.pool_plain_ms(&request.pool),
        };
        let work_ms = (ahead + 1) as f64 * self.equal_queues(now) as f64 * request_ms;
        Duration::from_secs_f64(work_ms / concurrency as f64 / 1_000.0)
    }

    /// Time after which the workspace of a request has room, by the work ahead of it under fair
    /// shares.
    fn share_time(&self, now: Time, request: &Request, stake: &Stake) -> Duration {
        if self.concurrency(now, &request.pool) == 0 {
            return NO_SERVER_RETRY_AFTER;
        }
        let ledger = self.ledgers.get(&request.pool);
        let ahead_ms = ledger.map_or(0.0, |ledger| ledger.ahead_ms(&stake.claim));
        let work_ms = (ahead_ms + stake.claim.cost_ms) * self.equal_queues(now) as f64;
        if let Some(per_s) = self.pool_request_rate(&request.pool) {
            return time_for((work_ms / stake.claim.cost_ms) as usize, per_s);
        }
        work_time(work_ms, self.pace_ms_per_s(now, &request.pool))
    }

    /// Number of queues like this daemon's: all requests wait at a scheduler, and any other daemon
    /// assumes an equal queue at each daemon.
    fn equal_queues(&self, now: Time) -> usize {
        if self.is_scheduler(now) { 1 } else { self.daemon_count() }
    }

    /// Adds jitter to a retry-after time, so that callers refused together do not retry together.
    pub(super) fn with_jitter(&mut self, after: Duration) -> Duration {
        let factor = 1.0 + RETRY_AFTER_JITTER_RATIO * (self.rng.f64() * 2.0 - 1.0);
        after.max(MIN_RETRY_AFTER).mul_f64(factor)
    }

    /// Maximum time for which a request may wait for a server.
    pub(super) fn max_wait(request: &Request) -> Duration {
        request.arrival.route.target_latency / MAX_WAIT_DIVISOR
    }

    /// Maximum retry-after time of a request.
    pub(super) fn max_retry_after(now: Time, request: &Request) -> Duration {
        request.arrival.deadline.saturating_sub(now) / MAX_RETRY_AFTER_DIVISOR
    }
}

/// Time in which a pool begins `work_ms` at a pace in milliseconds of work a second.
fn work_time(work_ms: f64, pace: f64) -> Duration {
    Duration::try_from_secs_f64(work_ms / pace.max(f64::MIN_POSITIVE)).unwrap_or(Duration::MAX)
}

/// Time in which `requests` are sent at a rate per second.
fn time_for(requests: usize, per_s: f64) -> Duration {
    Duration::try_from_secs_f64(requests as f64 / per_s).unwrap_or(Duration::MAX)
}

impl Node {
    /// Whether a request has waited for a home for half of its maximum wait.
    pub(super) fn has_waited_for_home(&self, now: Time, request: &Request) -> bool {
        let Phase::Waiting(since) = request.phase else { return false };
        now >= since + Self::max_wait(request) / 2
    }

    /// The time until which a request waits.
    fn waits_until(&self, request: &Request) -> Time {
        let times = self.times(request);
        match request.is_late {
            true => times.late_until(),
            false => times.in_time_until(),
        }
    }

    /// Whether the maximum wait of a request has passed.
    fn has_waited_too_long(&self, now: Time, key: Key, request: &Request) -> bool {
        let Phase::Waiting(since) = request.phase else { return false };
        let has_waited = match self.claims_isolation(now, key) {
            true => has_waited_for_isolation(now, request),
            false if self.divides_room() => now >= self.waits_until(request),
            false => now >= since + Self::max_wait(request),
        };
        has_waited || now >= request.arrival.deadline
    }
}
