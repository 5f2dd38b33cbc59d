//! Servers whose connections broke: which of them have ended.
//!
//! A connection also breaks where a server fails a single request, drops it, or is cut off. Only the end of the
//! server is held against the requests that ran there, so it is looked at: a process that has ended refuses
//! connections, and one that lives on answers something that was sent to it later.

use std::net::SocketAddr;

use super::{Fingerprint, Incarnation, Interruption};
use crate::prelude::*;

/// Time between the two looks that must find a server's port closed: one that only refuses what is more than it
/// takes answers others meanwhile.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// Time from a break in which a server that ends stops to listen: an open port is looked at again until then. An end
/// would else count for nothing while the store, and so registrations, can't be read.
const PORT_CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which answers arrive that a server gave before its connections broke.
const LATE_RESPONSE_WINDOW: Duration = Duration::from_millis(50);
/// Time for which a server is doubted: its registration ends within some heartbeats.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// What a look at a server's port found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Nobody listens.
    Refused,
    /// Somebody listens.
    Accepted,
    /// Nothing came back.
    Silent,
}

/// A look at a server's port that is to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The server.
    pub incarnation: Incarnation,
    /// Where it listened.
    pub address: SocketAddr,
}

/// What follows from news of a server.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Steps {
    /// Looks to take.
    pub probes: Vec<Probe>,
    /// Requests that were running where a server has ended.
    pub interruptions: Vec<Interruption>,
}

/// How far the doubt in a server goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A look is under way; whether the one before it found its port closed.
    Probing { found_closed: bool },
    /// The next look is due at this time.
    Due { at: Time, found_closed: bool },
    /// Somebody listens there on and on, or nothing came back: its registration will tell.
    Unconfirmed,
    /// It has ended.
    Crashed,
}

/// A request whose connection to a server broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// For how long it had been there.
    pub run_time: Duration,
}

/// A server to which connections broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// The server.
    pub incarnation: Incarnation,
    /// Where it listened.
    pub address: SocketAddr,
    /// Hash of its pool.
    pub pool: u64,
    /// Servers of that pool.
    pub servers: u32,
}

#[derive(Debug)]
struct Check {
    endpoint: Endpoint,
    broken_at: Time,
    stage: Stage,
    requests: BTreeMap<Fingerprint, Duration>,
}

impl Check {
    fn interruption(
        &self,
        now: Time,
        fingerprint: Fingerprint,
        run_time: Duration,
    ) -> Interruption {
        let Endpoint { incarnation, pool, servers, .. } = self.endpoint;
        let age = now.saturating_sub(self.broken_at);
        Interruption { fingerprint, incarnation, pool, servers, run_time, age }
    }
}

/// Servers that may have ended.
#[derive(Debug, Default)]
pub struct Detector {
    checks: BTreeMap<Incarnation, Check>,
}

impl Detector {
    /// Takes over that the connection broke on which a request ran at a server.
    pub fn record_disconnect(
        &mut self,
        now: Time,
        endpoint: Endpoint,
        disconnect: Disconnect,
    ) -> Steps {
        let Endpoint { incarnation, address, .. } = endpoint;
        let Disconnect { fingerprint, run_time } = disconnect;
        let is_same_crash = |check: &&mut Check| {
            check.stage != Stage::Crashed || incarnation.is_same_crash(check.broken_at, now)
        };
        if let Some(check) = self.checks.get_mut(&incarnation).filter(is_same_crash) {
            check.requests.insert(fingerprint, run_time);
            if check.stage != Stage::Crashed {
                return Steps::default();
            }
            let interruptions = vec![check.interruption(now, fingerprint, run_time)];
            return Steps { interruptions, ..Steps::default() };
        }
        let stage = Stage::Probing { found_closed: false };
        let requests = BTreeMap::from([(fingerprint, run_time)]);
        self.checks.insert(incarnation, Check { endpoint, broken_at: now, stage, requests });
        Steps { probes: vec![Probe { incarnation, address }], ..Steps::default() }
    }

    /// Takes over what a look found.
    pub fn record_probe(&mut self, now: Time, incarnation: Incarnation, answer: Answer) -> Steps {
        let Some(check) = self.checks.get_mut(&incarnation) else { return Steps::default() };
        let Stage::Probing { found_closed } = check.stage else { return Steps::default() };
        match answer {
            Answer::Refused if found_closed => return self.record_crash(now, incarnation),
            Answer::Refused | Answer::Accepted => {
                let found_closed = answer == Answer::Refused;
                check.stage = Stage::Due { at: now + PROBE_INTERVAL, found_closed };
            }
            Answer::Silent => check.stage = Stage::Unconfirmed,
        }
        Steps::default()
    }

    /// Takes over that a server has ended, as its registration or its next start tells.
    pub fn record_crash(&mut self, now: Time, incarnation: Incarnation) -> Steps {
        let Some(check) = self.checks.get_mut(&incarnation) else { return Steps::default() };
        if check.stage == Stage::Crashed || now >= check.broken_at + CONFIRMATION_TIMEOUT {
            return Steps::default();
        }
        check.stage = Stage::Crashed;
        let requests = check.requests.iter();
        let interruptions = requests
            .map(|(fingerprint, run_time)| check.interruption(now, *fingerprint, *run_time));
        Steps { interruptions: interruptions.collect(), ..Steps::default() }
    }

    /// Takes over that a server answered: it lives on, unless the answer had been on its way.
    pub fn record_response(&mut self, now: Time, incarnation: Incarnation) {
        let is_alive = |check: &Check| {
            check.stage != Stage::Crashed && now > check.broken_at + LATE_RESPONSE_WINDOW
        };
        if self.checks.get(&incarnation).is_some_and(is_alive) {
            self.checks.remove(&incarnation);
        }
    }

    /// The looks that are due. An open port is looked at no more once a server that ends would have closed it.
    pub fn due_probes(&mut self, now: Time) -> Vec<Probe> {
        self.checks.retain(|_, check| now < check.broken_at + CONFIRMATION_TIMEOUT);
        let mut probes = Vec::new();
        for (incarnation, check) in &mut self.checks {
            let Stage::Due { at, found_closed } = check.stage else { continue };
            if !found_closed && now >= check.broken_at + PORT_CLOSE_TIMEOUT {
                check.stage = Stage::Unconfirmed;
            } else if now >= at {
                check.stage = Stage::Probing { found_closed };
                probes.push(Probe { incarnation: *incarnation, address: check.endpoint.address });
            }
        }
        probes
    }

    /// Whether no server was in doubt lately.
    pub fn is_idle(&self) -> bool {
        self.checks.is_empty()
    }

    /// Whether a look is due soon.
    pub fn has_probe_due(&self) -> bool {
        self.checks.values().any(|check| matches!(check.stage, Stage::Due { .. }))
    }

    /// Servers in doubt at which a request broke.
    pub fn possible_crashes(&self, now: Time, fingerprint: Fingerprint) -> usize {
        let checks = self.checks.values().filter(|check| {
            check.stage != Stage::Crashed
                && now < check.broken_at + CONFIRMATION_TIMEOUT
                && check.requests.contains_key(&fingerprint)
        });
        checks.count()
    }
}
