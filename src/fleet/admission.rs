//! What waits, in which order it is sent, what is refused, and when that may come back.
//!
//! For some seconds a pool may take less than what comes (engines gone or loading, a burst, callers
//! that ask again at once). What can't be sent within a part of its route's target would be answered
//! late, and holds up what could be answered in time; so it is refused while its caller can still come
//! back, and told when, by what drains ahead of it. Callers that come back go before newcomers of their
//! rank, whichever daemon refused them.

use std::ops::Bound;

use super::drain::Throughput;
use super::place::PLAIN_REQUEST_MS;
use super::prompt::unshared_ms;
use super::request::{Phase, Request};
use super::{Command, Key, Node, server};
use crate::poison::Fingerprint;
use crate::prelude::*;

/// Time that a request waits for a server, as a part of its route's target: 1 / this.
const MAX_WAIT_DIVISOR: u32 = 2;
/// Least time after which a caller may come back: what made its request wait has lasted longer.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time after which a caller may come back where no server of its pool is open: a load of weights, and
/// a pause after failures, take about this long.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Most of its remaining time after which a caller may come back: 1 / this.
const MAX_RETRY_AFTER_DIVISOR: u32 = 3;
/// Part by which the time to come back is spread, so that those refused together do not come together.
const RETRY_AFTER_JITTER_RATIO: f64 = 0.25;
/// Time for which a refused caller is expected back: the longest it is told to stay away, and a second.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(4_000);
/// Least time between two looks at what waits. The scheduler of a large pool sees requests end so fast
/// that a look at each end would cost it its core.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(4);
/// Waiting requests that are tried first at a look, and as many after them.
const DISPATCH_BATCH: usize = 24;
/// Waiting requests from which on their pace tells how long one more would wait.
const MIN_AHEAD_FOR_ESTIMATE: usize = 8;
/// Refused callers that are remembered, and told to peers in one digest.
const MAX_REFUSALS: usize = 256;

/// A waiting request's turn: by rank, callers that come back first, then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    priority: u8,
    is_new: bool,
    pub(super) key: Key,
}

impl Position {
    pub(super) fn of(key: Key, request: &Request) -> Self {
        Self { priority: Node::priority(request), is_new: !request.returned, key }
    }
}

/// Callers that were refused and are expected back, by what they asked for.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    own: BTreeMap<Fingerprint, Time>,
    from_peers: BTreeMap<Fingerprint, Time>,
}

impl Refusals {
    fn record(&mut self, now: Time, fingerprint: Fingerprint) {
        self.trim(now);
        if self.own.len() < MAX_REFUSALS {
            self.own.insert(fingerprint, now);
        }
    }

    /// Takes over whom a peer refused.
    pub(super) fn merge_peer(&mut self, now: Time, refused: &[Fingerprint]) {
        self.trim(now);
        for fingerprint in refused.iter().take(MAX_REFUSALS) {
            self.from_peers.entry(*fingerprint).or_insert(now);
        }
    }

    /// Whether a caller with this request was refused lately; it is expected once.
    pub(super) fn is_retry(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let lately = |at: Option<Time>| at.is_some_and(|at| now < at + REFUSAL_LIFETIME);
        let own = lately(self.own.remove(&fingerprint));
        // What peers told may be told again, so it is kept until it lapses.
        own || lately(self.from_peers.get(&fingerprint).copied())
    }

    /// Expects a caller no more: nothing was promised it.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        self.own.remove(&fingerprint);
    }

    /// Whom this daemon refused lately.
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
        if self.try_send(now, key) {
            return;
        }
        if self.would_time_out(now, key) {
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

    /// Whether a request would be refused after its wait, as far as the pace of those before it tells:
    /// it is told so at once, and comes back sooner. One that was sent before is not refused for it.
    fn would_time_out(&self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key).filter(|request| request.sends == 0) else {
            return false;
        };
        let Some(throughput) = self.drains.get(&request.pool) else { return false };
        let ahead = self.count_ahead(Position::of(key, request), &request.pool);
        let expected =
            throughput.expected_wait(now, ahead).filter(|_| ahead >= MIN_AHEAD_FOR_ESTIMATE);
        expected.is_some_and(|wait| wait > Self::max_wait(request))
    }

    /// Requests to a pool that wait and go before `turn`.
    fn count_ahead(&self, turn: Position, pool: &str) -> usize {
        let ahead = self.waiting.range(..turn);
        let same = |turn: &&Position| self.requests.get(&turn.key).is_some_and(|r| r.pool == pool);
        ahead.filter(same).count()
    }

    /// Sends waiting requests for which there is room, in turn.
    pub(super) fn send_waiting(&mut self, now: Time) {
        if self.waiting.is_empty() || now < self.next_queue_scan {
            return;
        }
        self.next_queue_scan = now + DISPATCH_INTERVAL;
        let mut full: BTreeSet<String> = BTreeSet::new();
        for turn in self.next_batch() {
            let Some(request) = self.requests.get(&turn.key) else { continue };
            if full.contains(&request.pool) {
                continue;
            }
            if !self.pool_has_room(now, &request.pool) {
                full.insert(request.pool.clone());
                continue;
            }
            let pool = request.pool.clone();
            if self.try_send(now, turn.key) {
                self.waiting.remove(&turn);
                self.drains.entry(pool).or_default().note_sent(now);
            }
        }
    }

    /// What is tried next of what waits: the first in turn, and as many of the others, which go on where
    /// the last look ended. A server with room may be one that holds nothing of the first ones' prompts.
    fn next_batch(&mut self) -> Vec<Position> {
        let mut turns: Vec<Position> = self.waiting.iter().take(DISPATCH_BATCH).copied().collect();
        let Some(last) = turns.last().copied() else { return turns };
        let from = self.queue_cursor.filter(|pumped| *pumped > last).unwrap_or(last);
        let after = (Bound::Excluded(from), Bound::Unbounded);
        turns.extend(self.waiting.range(after).take(DISPATCH_BATCH));
        self.queue_cursor = turns.last().copied().filter(|_| turns.len() == 2 * DISPATCH_BATCH);
        turns
    }

    fn pool_has_room(&self, now: Time, pool: &str) -> bool {
        let keys = self.pools.get(pool).map(Vec::as_slice).unwrap_or_default();
        let room = |key: &server::Key| {
            self.servers.get(*key).is_some_and(|server| self.has_room(now, *key, server))
        };
        keys.iter().any(room)
    }

    /// Refuses what has waited as long as it may.
    pub(super) fn expire(&mut self, now: Time) {
        let expired: Vec<Key> = self
            .waiting
            .iter()
            .map(|turn| turn.key)
            .filter(|key| self.requests.get(key).is_some_and(|r| has_waited_too_long(now, r)))
            .collect();
        // Those refused together come back in turn, so each counts those before it.
        let expired: Vec<(Key, Duration)> =
            expired.into_iter().map(|key| (key, self.retry_after(now, key))).collect();
        for (key, after) in expired {
            self.refuse_with_retry_after(now, key, Code::NoServer, after);
        }
    }

    /// Ends a request that has not run with `code` and the time to come back; one that may have run is
    /// given up with what is known of its last attempt.
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
        let command = match request.runs {
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

    /// When a caller should come back: once what waits ahead of it has been taken by the open servers of
    /// its pool.
    fn retry_after(&mut self, now: Time, key: Key) -> Duration {
        let Some(request) = self.requests.get(&key) else { return MIN_RETRY_AFTER };
        let keys = self.pools.get(&request.pool).map(Vec::as_slice).unwrap_or_default();
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let open = servers.filter(|(key, server)| self.accepts_work(now, *key, server));
        // An engine reads one prompt after another; a plain server works on several at a time.
        let (each_ms, at_a_time) = match &request.arrival.prompt {
            Some(prompt) => (unshared_ms(prompt), open.count()),
            None => (PLAIN_REQUEST_MS, open.map(|(_, server)| server.entry.slots as usize).sum()),
        };
        let left = Self::max_retry_after(now, request);
        let ahead = self.count_ahead(Position::of(key, request), &request.pool);
        // At a scheduler everything waits; elsewhere as much is taken to wait at each daemon.
        let daemons = if self.is_scheduler(now) { 1 } else { self.daemon_count() };
        let work_ms = (ahead + 1) as f64 * daemons as f64 * each_ms;
        let drained = match at_a_time {
            0 => NO_SERVER_RETRY_AFTER,
            _ => Duration::from_secs_f64(work_ms / at_a_time as f64 / 1_000.0),
        };
        self.with_jitter(drained).min(left.max(MIN_RETRY_AFTER / 2))
    }

    /// A time to come back, spread so that those refused together do not come together.
    pub(super) fn with_jitter(&mut self, after: Duration) -> Duration {
        let spread = 1.0 + RETRY_AFTER_JITTER_RATIO * (self.rng.f64() * 2.0 - 1.0);
        after.max(MIN_RETRY_AFTER).mul_f64(spread)
    }

    /// The longest time for which a request may wait for a server.
    pub(super) fn max_wait(request: &Request) -> Duration {
        request.arrival.route.target / MAX_WAIT_DIVISOR
    }

    /// The longest time for which the caller of a request can be told to stay away.
    pub(super) fn max_retry_after(now: Time, request: &Request) -> Duration {
        request.arrival.deadline.saturating_sub(now) / MAX_RETRY_AFTER_DIVISOR
    }
}

impl Node {
    /// Whether a request has waited long enough for a server that holds its parts: half of the time
    /// that it may wait at all.
    pub(super) fn has_waited_for_home(&self, now: Time, request: &Request) -> bool {
        let Phase::Waiting(since) = request.phase else { return false };
        now >= since + Self::max_wait(request) / 2
    }
}

fn has_waited_too_long(now: Time, request: &Request) -> bool {
    let Phase::Waiting(since) = request.phase else { return false };
    now >= since + Node::max_wait(request) || now >= request.arrival.deadline
}
