//! Queues requests that no server has room for, sends them by priority, and refuses the rest with a
//! retry-after time.
//!
//! A pool may be overloaded for some seconds (engines gone or loading, a burst, immediate retries).
//! A request that can't be sent within a part of its route's target would be answered late and
//! would delay others that can still be answered in time. It is refused while its caller can still
//! retry, with a retry-after time computed from the queue ahead of it. Retries go before new
//! requests of the same priority, whichever daemon refused them.

use std::ops::Bound;

use super::drain::Throughput;
use super::isolation::has_waited_for_isolation;
use super::pool::Pool;
use super::prompt::unshared_ms;
use super::request::{Phase, Request};
use super::{Command, Key, Node, server};
use crate::fairness::Start;
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

/// Position of a waiting request: by priority, then by fair shares where these are in force, then
/// returning callers before new ones, then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    priority: u8,
    start: Start,
    is_new: bool,
    pub(super) key: Key,
}

impl Position {
    pub(super) fn of(key: Key, request: &Request) -> Self {
        Self {
            priority: Node::priority(request),
            start: request.start,
            is_new: !request.refused_before,
            key,
        }
    }
}

/// Fingerprints of refused and interrupted requests that are expected to be retried.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    own: BTreeMap<Fingerprint, Time>,
    from_peers: BTreeMap<Fingerprint, Time>,
}

impl Refusals {
    /// Records that a request was refused or interrupted.
    pub(super) fn record(&mut self, now: Time, fingerprint: Fingerprint) {
        self.trim(now);
        if self.own.len() < MAX_REFUSALS {
            self.own.insert(fingerprint, now);
        }
    }

    /// Merges the refusals that a peer reported.
    pub(super) fn merge_peer(&mut self, now: Time, refused: &[Fingerprint]) {
        self.trim(now);
        for fingerprint in refused.iter().take(MAX_REFUSALS) {
            self.from_peers.entry(*fingerprint).or_insert(now);
        }
    }

    /// Whether a request was refused recently. A refusal by this daemon counts once.
    pub(super) fn is_retry(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let is_recent = |at: Option<Time>| at.is_some_and(|at| now < at + REFUSAL_LIFETIME);
        let own = is_recent(self.own.remove(&fingerprint));
        // Peers may report a refusal again, so it is kept until it expires.
        own || is_recent(self.from_peers.get(&fingerprint).copied())
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
        self.own.retain(|_, at| now < *at + REFUSAL_LIFETIME);
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
        if self.try_send(now, key) {
            return;
        }
        if self.would_time_out(now, key) {
            if self.fill_server(now, key) {
                return;
            }
            return self.refuse(now, key, Code::NoServer);
        }
        if self.waiting.is_empty() {
            self.drains.values_mut().for_each(Throughput::reset);
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase = Phase::Waiting(now);
            self.waiting.insert(Position::of(key, request));
            self.drains.entry(request.pool.clone()).or_default().note_waiting(now);
            self.send_queued(key);
            self.log_waiting(now, key);
        }
    }

    /// Whether the throughput of the queue, or the limits of all servers or the rest that they want, predict that a request
    /// would be refused after its wait.
    /// It is then refused at once, and its caller retries sooner. Only rest counts for a request
    /// that was sent before, or to a returning caller of a pool where servers have just crashed:
    /// its tries are limited, and the throughput does not show that replacements start.
    fn would_time_out(&self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        if let Some(rest) = self.rest_of_pool(now, request) {
            return rest > Self::max_wait(request);
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
            return time_for(ahead + 1, per_s) > Self::max_wait(request);
        }
        let Some(throughput) = self.drains.get(&request.pool) else { return false };
        let expected =
            throughput.expected_wait(now, ahead).filter(|_| ahead >= MIN_AHEAD_FOR_ESTIMATE);
        expected.is_some_and(|wait| wait > Self::max_wait(request))
    }

    /// Counts the waiting requests of a pool before a position.
    fn count_ahead(&self, position: Position, pool: &str) -> usize {
        let ahead = self.waiting.range(..position);
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
            let pool = request.pool.clone();
            if self.try_send(now, position.key) {
                self.waiting.remove(&position);
                self.drains.entry(pool).or_default().note_sent(now);
            }
        }
    }

    /// Returns the waiting requests to try next: the first in order, and as many of the others,
    /// continuing where the last pass ended. A server with room may hold none of the parts of the
    /// first ones.
    fn next_batch(&mut self) -> Vec<Position> {
        let mut batch: Vec<Position> = self.waiting.iter().take(DISPATCH_BATCH).copied().collect();
        let Some(last) = batch.last().copied() else { return batch };
        let from = self.queue_cursor.filter(|pumped| *pumped > last).unwrap_or(last);
        let after = (Bound::Excluded(from), Bound::Unbounded);
        batch.extend(self.waiting.range(after).take(DISPATCH_BATCH));
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
            self.refuse_with_retry_after(now, key, Code::NoServer, after);
        }
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
        let fingerprint = request.arrival.fingerprint;
        self.log_refused(now, key, code, after);
        if matches!(command, Command::Refuse(..)) {
            self.expected.record(now, fingerprint);
        }
        self.command(key, command);
        self.remove_request(now, key);
    }

    /// Retry-after time of a request: the time in which the servers of its pool that accept work
    /// serve the queue ahead of it.
    fn retry_after(&mut self, now: Time, key: Key) -> Duration {
        let Some(request) = self.requests.get(&key) else { return MIN_RETRY_AFTER };
        let keys = self.pools.get(&request.pool).map(Pool::keys).unwrap_or_default();
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let available = servers.filter(|(key, server)| self.accepts_work(now, *key, server));
        // An engine reads one prompt after another; a plain server runs several requests at once.
        let (request_ms, concurrency) = match &request.arrival.prompt {
            Some(prompt) => {
                (unshared_ms(prompt) * self.pool_slowness(&request.pool), available.count())
            }
            None => (
                self.pool_plain_ms(&request.pool),
                available.map(|(_, server)| server.entry.slots as usize).sum(),
            ),
        };
        let limit = Self::max_retry_after(now, request);
        let ahead = self.count_ahead(Position::of(key, request), &request.pool);
        // All requests wait at a scheduler; any other daemon assumes an equal queue at each
        // daemon.
        let daemons = if self.is_scheduler(now) { 1 } else { self.daemon_count() };
        let work_ms = (ahead + 1) as f64 * daemons as f64 * request_ms;
        if let Some(rest) = self.rest_of_pool(now, request) {
            // No caller returns before the rest is over.
            let after = self.with_jitter(rest.div_f64(1.0 - RETRY_AFTER_JITTER_RATIO));
            return after.min(limit.max(MIN_RETRY_AFTER / 2));
        }
        let queue_time = match (self.pool_request_rate(&request.pool), concurrency) {
            (Some(per_s), _) => time_for(ahead + 1, per_s).min(limit),
            (None, 0) => NO_SERVER_RETRY_AFTER,
            (None, _) => Duration::from_secs_f64(work_ms / concurrency as f64 / 1_000.0),
        };
        self.with_jitter(queue_time).min(limit.max(MIN_RETRY_AFTER / 2))
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

    /// Whether the maximum wait of a request has passed.
    fn has_waited_too_long(&self, now: Time, key: Key, request: &Request) -> bool {
        let Phase::Waiting(since) = request.phase else { return false };
        let has_waited = match self.claims_isolation(now, key) {
            true => has_waited_for_isolation(now, request),
            false => now >= since + Self::max_wait(request),
        };
        has_waited || now >= request.arrival.deadline
    }
}
