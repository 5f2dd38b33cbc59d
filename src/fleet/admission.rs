//! What waits, in which order it is sent, what is refused, and when that may come back.
//!
//! For some seconds a pool may take less than what comes (engines gone or loading, a burst, callers
//! that ask again at once). What can't be sent within a part of its route's target would be answered
//! late, and holds up what could be answered in time; so it is refused while its caller can still come
//! back, and told when, by what drains ahead of it. Callers that come back go before newcomers of their
//! rank, whichever daemon refused them.

use std::ops::Bound;

use super::drain::Drain;
use super::place::PLAIN_MS;
use super::prompt::own_ms;
use super::request::{Phase, Request};
use super::{Command, Key, Node, server};
use crate::poison::Fingerprint;
use crate::prelude::*;

/// Time that a request waits for a server, as a part of its route's target: 1 / this.
const WAIT_PART: u32 = 2;
/// Least time after which a caller may come back: what made its request wait has lasted longer.
const COME_BACK_LEAST: Duration = Duration::from_millis(200);
/// Time after which a caller may come back where no server of its pool is open: a load of weights, and
/// a pause after failures, take about this long.
const COME_BACK_SHUT: Duration = Duration::from_millis(600);
/// Most of its remaining time after which a caller may come back: 1 / this.
const COME_BACK_PART: u32 = 3;
/// Part by which the time to come back is spread, so that those refused together do not come together.
const SPREAD: f64 = 0.25;
/// Time for which a refused caller is expected back: the longest it is told to stay away, and a second.
const EXPECTED_FOR: Duration = Duration::from_millis(4_000);
/// Least time between two looks at what waits. The scheduler of a large pool sees requests end so fast
/// that a look at each end would cost it its core.
const PUMP: Duration = Duration::from_millis(4);
/// Waiting requests that are tried first at a look, and as many after them.
const TRIED: usize = 24;
/// Waiting requests from which on their pace tells how long one more would wait.
const TOLD_BY: usize = 8;
/// Refused callers that are remembered, and told to peers in one digest.
const MAX_EXPECTED: usize = 256;

/// A waiting request's turn: by rank, callers that come back first, then by age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn {
    rank: u8,
    newcomer: bool,
    pub(super) key: Key,
}

impl Turn {
    pub(super) fn of(key: Key, request: &Request) -> Self {
        Self { rank: Node::rank(request), newcomer: !request.returned, key }
    }
}

/// Callers that were refused and are expected back, by what they asked for.
#[derive(Debug, Default)]
pub(super) struct Expected {
    own: BTreeMap<Fingerprint, Time>,
    told: BTreeMap<Fingerprint, Time>,
}

impl Expected {
    fn refused(&mut self, now: Time, fingerprint: Fingerprint) {
        self.trim(now);
        if self.own.len() < MAX_EXPECTED {
            self.own.insert(fingerprint, now);
        }
    }

    /// Takes over whom a peer refused.
    pub(super) fn hear(&mut self, now: Time, refused: &[Fingerprint]) {
        self.trim(now);
        for fingerprint in refused.iter().take(MAX_EXPECTED) {
            self.told.entry(*fingerprint).or_insert(now);
        }
    }

    /// Whether a caller with this request was refused lately; it is expected once.
    pub(super) fn is_back(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let lately = |at: Option<Time>| at.is_some_and(|at| now < at + EXPECTED_FOR);
        let own = lately(self.own.remove(&fingerprint));
        // What peers told may be told again, so it is kept until it lapses.
        own || lately(self.told.get(&fingerprint).copied())
    }

    /// Expects a caller no more: nothing was promised it.
    pub(super) fn forget(&mut self, fingerprint: Fingerprint) {
        self.own.remove(&fingerprint);
    }

    /// Whom this daemon refused lately.
    pub(super) fn own(&self) -> Vec<Fingerprint> {
        self.own.keys().copied().collect()
    }

    fn trim(&mut self, now: Time) {
        self.own.retain(|_, at| now < *at + EXPECTED_FOR);
        self.told.retain(|_, at| now < *at + EXPECTED_FOR);
    }
}

impl Node {
    pub(super) fn rank(request: &Request) -> u8 {
        let workspace = request.arrival.workspace.as_ref().and_then(|owner| owner.priority);
        workspace.unwrap_or(request.arrival.route.priority)
    }

    pub(super) fn send_or_wait(&mut self, now: Time, key: Key) {
        if self.try_send(now, key) {
            return;
        }
        if self.would_wait_in_vain(now, key) {
            return self.refuse(now, key, Code::NoServer);
        }
        if self.waiting.is_empty() {
            self.drains.values_mut().for_each(Drain::begin_anew);
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase = Phase::Waiting(now);
            self.waiting.insert(Turn::of(key, request));
            self.drains.entry(request.pool.clone()).or_default().waits(now);
            self.tell_that_it_waits(key);
            self.log_waiting(now, key);
        }
    }

    /// Whether a request would be refused after its wait, as far as the pace of those before it tells:
    /// it is told so at once, and comes back sooner. One that was sent before is not refused for it.
    fn would_wait_in_vain(&self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key).filter(|request| request.sends == 0) else {
            return false;
        };
        let Some(drain) = self.drains.get(&request.pool) else { return false };
        let ahead = self.ahead(Turn::of(key, request), &request.pool);
        let expected = drain.expected(now, ahead).filter(|_| ahead >= TOLD_BY);
        expected.is_some_and(|wait| wait > Self::longest_wait(request))
    }

    /// Requests to a pool that wait and go before `turn`.
    fn ahead(&self, turn: Turn, pool: &str) -> usize {
        let ahead = self.waiting.range(..turn);
        let same = |turn: &&Turn| self.requests.get(&turn.key).is_some_and(|r| r.pool == pool);
        ahead.filter(same).count()
    }

    /// Sends waiting requests for which there is room, in turn.
    pub(super) fn pump(&mut self, now: Time) {
        if self.waiting.is_empty() || now < self.next_queue_scan {
            return;
        }
        self.next_queue_scan = now + PUMP;
        let mut full: BTreeSet<String> = BTreeSet::new();
        for turn in self.next_turns() {
            let Some(request) = self.requests.get(&turn.key) else { continue };
            if full.contains(&request.pool) {
                continue;
            }
            if !self.has_any_room(now, &request.pool) {
                full.insert(request.pool.clone());
                continue;
            }
            let pool = request.pool.clone();
            if self.try_send(now, turn.key) {
                self.waiting.remove(&turn);
                self.drains.entry(pool).or_default().sent(now);
            }
        }
    }

    /// What is tried next of what waits: the first in turn, and as many of the others, which go on where
    /// the last look ended. A server with room may be one that holds nothing of the first ones' prompts.
    fn next_turns(&mut self) -> Vec<Turn> {
        let mut turns: Vec<Turn> = self.waiting.iter().take(TRIED).copied().collect();
        let Some(last) = turns.last().copied() else { return turns };
        let from = self.queue_cursor.filter(|pumped| *pumped > last).unwrap_or(last);
        let after = (Bound::Excluded(from), Bound::Unbounded);
        turns.extend(self.waiting.range(after).take(TRIED));
        self.queue_cursor = turns.last().copied().filter(|_| turns.len() == 2 * TRIED);
        turns
    }

    fn has_any_room(&self, now: Time, pool: &str) -> bool {
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
            .filter(|key| self.requests.get(key).is_some_and(|r| has_waited(now, r)))
            .collect();
        // Those refused together come back in turn, so each counts those before it.
        let expired: Vec<(Key, Duration)> =
            expired.into_iter().map(|key| (key, self.come_back(now, key))).collect();
        for (key, after) in expired {
            self.refuse_until(now, key, Code::NoServer, after);
        }
    }

    /// Ends a request that has not run with `code` and the time to come back; one that may have run is
    /// given up with what is known of its last attempt.
    pub(super) fn refuse(&mut self, now: Time, key: Key, code: Code) {
        let after = self.come_back(now, key);
        self.refuse_until(now, key, code, after);
    }

    pub(super) fn refuse_until(&mut self, now: Time, key: Key, code: Code, after: Duration) {
        let Some(request) = self.requests.get(&key) else { return };
        let command = match request.runs {
            0 => Command::Refuse(code, after),
            _ => Command::GiveUp,
        };
        let fingerprint = request.arrival.fingerprint;
        self.log_refused(now, key, code, after);
        if matches!(command, Command::Refuse(..)) {
            self.expected.refused(now, fingerprint);
        }
        self.command(key, command);
        self.remove_request(now, key);
    }

    /// When a caller should come back: once what waits ahead of it has been taken by the open servers of
    /// its pool.
    fn come_back(&mut self, now: Time, key: Key) -> Duration {
        let Some(request) = self.requests.get(&key) else { return COME_BACK_LEAST };
        let keys = self.pools.get(&request.pool).map(Vec::as_slice).unwrap_or_default();
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let open = servers.filter(|(key, server)| self.is_open(now, *key, server));
        // An engine reads one prompt after another; a plain server works on several at a time.
        let (each_ms, at_a_time) = match &request.arrival.prompt {
            Some(prompt) => (own_ms(prompt), open.count()),
            None => (PLAIN_MS, open.map(|(_, server)| server.entry.slots as usize).sum()),
        };
        let left = Self::longest_absence(now, request);
        let ahead = self.ahead(Turn::of(key, request), &request.pool);
        // At a scheduler everything waits; elsewhere as much is taken to wait at each daemon.
        let daemons = if self.is_scheduler(now) { 1 } else { self.daemons() };
        let work_ms = (ahead + 1) as f64 * daemons as f64 * each_ms;
        let drained = match at_a_time {
            0 => COME_BACK_SHUT,
            _ => Duration::from_secs_f64(work_ms / at_a_time as f64 / 1_000.0),
        };
        self.spread(drained).min(left.max(COME_BACK_LEAST / 2))
    }

    /// A time to come back, spread so that those refused together do not come together.
    pub(super) fn spread(&mut self, after: Duration) -> Duration {
        let spread = 1.0 + SPREAD * (self.rng.f64() * 2.0 - 1.0);
        after.max(COME_BACK_LEAST).mul_f64(spread)
    }

    /// The longest time for which a request may wait for a server.
    pub(super) fn longest_wait(request: &Request) -> Duration {
        request.arrival.route.target / WAIT_PART
    }

    /// The longest time for which the caller of a request can be told to stay away.
    pub(super) fn longest_absence(now: Time, request: &Request) -> Duration {
        request.arrival.deadline.saturating_sub(now) / COME_BACK_PART
    }
}

impl Node {
    /// Whether a request has waited long enough for a server that holds its parts: half of the time
    /// that it may wait at all.
    pub(super) fn has_waited_for_home(&self, now: Time, request: &Request) -> bool {
        let Phase::Waiting(since) = request.phase else { return false };
        now >= since + Self::longest_wait(request) / 2
    }
}

fn has_waited(now: Time, request: &Request) -> bool {
    let Phase::Waiting(since) = request.phase else { return false };
    now >= since + Node::longest_wait(request) || now >= request.arrival.deadline
}
