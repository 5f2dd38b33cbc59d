//! Detects which servers with broken connections have crashed.
//!
//! A connection also breaks if a server fails or drops a single request, or if the network is
//! partitioned. Only a crash counts against the requests that were running, so the server is
//! probed: a process that has ended refuses connections, and a live one answers requests sent to it
//! later.

use std::net::SocketAddr;

use super::{Fingerprint, Incarnation, Interruption};
use crate::prelude::*;

/// Time between the two probes that must find a server's port closed. A live server that refuses
/// connections under overload accepts others in the meantime.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of probes that may find the port open or get no response. A crashing server
/// closes its port some time after its connections break, and its crash would otherwise not count
/// while the store, and with it the registrations, can't be read. A number bounds the probes, since
/// a late tick or a probe that times out would use up a time limit without any result.
const MAX_PROBES: u32 = 6;
/// Time from the last broken connection in which an open or silent port is probed again.
const PROBE_WINDOW: Duration = Duration::from_secs(1);
/// Time in which responses still arrive that were sent before the connection broke.
const LATE_RESPONSE_WINDOW: Duration = Duration::from_millis(50);
/// Time in which a crash can be confirmed: a crashed server's registration ends within some
/// heartbeats.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of a probe of a server's port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The connection was refused.
    Refused,
    /// The connection was refused, and no other server has accepted one since the first refusal: the
    /// path to all servers may be cut.
    Unverified,
    /// The connection was accepted.
    Accepted,
    /// There was no response.
    Silent,
}

/// A probe of a server's port to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    /// The server.
    pub incarnation: Incarnation,
    /// Where it listened.
    pub address: SocketAddr,
}

/// What a check of a server has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A probe's result.
    Probed(Answer),
    /// A probe's result that came after the check had ended or was confirmed otherwise.
    Ignored(Answer),
    /// The port was not found closed by as many probes as are sent.
    NotClosed,
    /// The server answered, so it is alive.
    Responded,
    /// The time in which a crash can be confirmed has passed.
    Expired,
}

impl Outcome {
    /// Its name in log lines.
    ///
    /// ```
    /// use cardamomvalve::poison::{Answer, Outcome};
    /// assert_eq!(Outcome::Probed(Answer::Refused).name(), "refused");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Probed(Answer::Refused) => "refused",
            Self::Probed(Answer::Unverified) => "refused, path not verified",
            Self::Probed(Answer::Accepted) => "accepted",
            Self::Probed(Answer::Silent) => "silent",
            Self::Ignored(Answer::Refused | Answer::Unverified) => "refused, ignored",
            Self::Ignored(Answer::Accepted) => "accepted, ignored",
            Self::Ignored(Answer::Silent) => "silent, ignored",
            Self::NotClosed => "not closed",
            Self::Responded => "responded",
            Self::Expired => "expired",
        }
    }
}

/// An outcome of a check, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finding {
    /// The server.
    pub incarnation: Incarnation,
    /// Where it listened; `None` if the check had ended before.
    pub address: Option<SocketAddr>,
    /// The outcome.
    pub outcome: Outcome,
    /// Time since the connection broke.
    pub age: Duration,
}

/// Actions that follow from an event.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Steps {
    /// Probes to send.
    pub probes: Vec<Probe>,
    /// Requests that a crash interrupted.
    pub interruptions: Vec<Interruption>,
}

/// State of the check of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A probe is in progress; `found_closed` if the previous one found the port closed.
    Probing { found_closed: bool },
    /// The next probe is due at this time.
    Due { at: Time, found_closed: bool },
    /// No more probes are sent; only the registration can confirm a crash.
    Unconfirmed,
    /// The server has crashed.
    Crashed,
}

/// A request whose connection to a server broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Disconnect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that others may share, if its answer had not begun.
    pub parts: Vec<Fingerprint>,
    /// How long it had been running there.
    pub run_time: Duration,
    /// Whether it was to run there without others.
    pub ran_alone: bool,
}

/// A server whose connections broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// The server.
    pub incarnation: Incarnation,
    /// Where it listened.
    pub address: SocketAddr,
    /// Hash of its pool.
    pub pool: u64,
    /// Number of servers in that pool.
    pub servers: u32,
}

#[derive(Debug)]
struct Check {
    endpoint: Endpoint,
    broken_at: Time,
    /// When the last connection broke.
    last_broken_at: Time,
    /// Number of probes sent since then.
    probe_count: u32,
    stage: Stage,
    requests: BTreeMap<Fingerprint, Disconnect>,
}

impl Check {
    fn has_probes_left(&self, now: Time) -> bool {
        self.probe_count < MAX_PROBES && now < self.last_broken_at + PROBE_WINDOW
    }

    /// Restarts the probes after another broken connection. Returns the probe to send, unless one is
    /// in progress or scheduled.
    fn restart_probes(&mut self, now: Time) -> Option<Probe> {
        self.last_broken_at = now;
        self.probe_count = 0;
        if self.stage != Stage::Unconfirmed {
            return None;
        }
        self.stage = Stage::Probing { found_closed: false };
        self.probe_count = 1;
        let Endpoint { incarnation, address, .. } = self.endpoint;
        Some(Probe { incarnation, address })
    }

    fn finding(&self, now: Time, outcome: Outcome) -> Finding {
        let Endpoint { incarnation, address, .. } = self.endpoint;
        let age = now.saturating_sub(self.broken_at);
        Finding { incarnation, address: Some(address), outcome, age }
    }

    fn interruption(&self, now: Time, disconnect: &Disconnect) -> Interruption {
        let Disconnect { fingerprint, run_time, ran_alone, .. } = *disconnect;
        let parts = disconnect.parts.clone();
        let Endpoint { incarnation, pool, servers, .. } = self.endpoint;
        let age = now.saturating_sub(self.broken_at);
        Interruption { fingerprint, parts, incarnation, pool, servers, run_time, age, ran_alone }
    }
}

/// Detects crashes of servers from broken connections, probes and registrations.
#[derive(Debug, Default)]
pub struct Detector {
    checks: BTreeMap<Incarnation, Check>,
    findings: Vec<Finding>,
}

impl Detector {
    /// Records that a request's connection to a server broke.
    pub fn record_disconnect(
        &mut self,
        now: Time,
        endpoint: Endpoint,
        disconnect: Disconnect,
    ) -> Steps {
        let Endpoint { incarnation, address, .. } = endpoint;
        let fingerprint = disconnect.fingerprint;
        let is_same_crash = |check: &&mut Check| {
            check.stage != Stage::Crashed || incarnation.is_same_crash(check.broken_at, now)
        };
        if let Some(check) = self.checks.get_mut(&incarnation).filter(is_same_crash) {
            check.requests.insert(fingerprint, disconnect.clone());
            if check.stage != Stage::Crashed {
                let probes = check.restart_probes(now).into_iter().collect();
                return Steps { probes, ..Steps::default() };
            }
            let interruptions = vec![check.interruption(now, &disconnect)];
            return Steps { interruptions, ..Steps::default() };
        }
        let stage = Stage::Probing { found_closed: false };
        let requests = BTreeMap::from([(fingerprint, disconnect)]);
        let check = Check {
            endpoint,
            broken_at: now,
            last_broken_at: now,
            probe_count: 1,
            stage,
            requests,
        };
        self.checks.insert(incarnation, check);
        Steps { probes: vec![Probe { incarnation, address }], ..Steps::default() }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Time, incarnation: Incarnation, answer: Answer) -> Steps {
        let Some(check) = self.checks.get_mut(&incarnation) else {
            let outcome = Outcome::Ignored(answer);
            self.findings.push(Finding { incarnation, address: None, outcome, age: Time::ZERO });
            return Steps::default();
        };
        let Stage::Probing { found_closed } = check.stage else {
            self.findings.push(check.finding(now, Outcome::Ignored(answer)));
            return Steps::default();
        };
        self.findings.push(check.finding(now, Outcome::Probed(answer)));
        let is_closed = match answer {
            Answer::Refused if found_closed => return self.record_crash(now, incarnation),
            Answer::Refused => true,
            Answer::Unverified => found_closed && check.has_probes_left(now),
            Answer::Accepted | Answer::Silent => false,
        };
        check.stage = Stage::Due { at: now + PROBE_INTERVAL, found_closed: is_closed };
        Steps::default()
    }

    /// Records that a server has crashed, according to its registration or its next start.
    pub fn record_crash(&mut self, now: Time, incarnation: Incarnation) -> Steps {
        let Some(check) = self.checks.get_mut(&incarnation) else { return Steps::default() };
        if check.stage == Stage::Crashed || now >= check.broken_at + CONFIRMATION_TIMEOUT {
            return Steps::default();
        }
        check.stage = Stage::Crashed;
        let requests = check.requests.values();
        let interruptions = requests.map(|disconnect| check.interruption(now, disconnect));
        Steps { interruptions: interruptions.collect(), ..Steps::default() }
    }

    /// Records a response of a server. The server is alive, unless the response was already in
    /// flight.
    pub fn record_response(&mut self, now: Time, incarnation: Incarnation) {
        let is_alive = |check: &Check| {
            check.stage != Stage::Crashed && now > check.broken_at + LATE_RESPONSE_WINDOW
        };
        if let Some(check) = self.checks.get(&incarnation).filter(|check| is_alive(check)) {
            self.findings.push(check.finding(now, Outcome::Responded));
            self.checks.remove(&incarnation);
        }
    }

    /// Returns the due probes. A port that was found closed is always probed once more; one that is
    /// open or doesn't respond only while probes are left.
    pub fn due_probes(&mut self, now: Time) -> Vec<Probe> {
        let findings = &mut self.findings;
        self.checks.retain(|_, check| {
            let is_current = now < check.broken_at + CONFIRMATION_TIMEOUT;
            if !is_current && check.stage != Stage::Crashed {
                findings.push(check.finding(now, Outcome::Expired));
            }
            is_current
        });
        let mut probes = Vec::new();
        for (incarnation, check) in &mut self.checks {
            let Stage::Due { at, found_closed } = check.stage else { continue };
            if !found_closed && !check.has_probes_left(now) {
                check.stage = Stage::Unconfirmed;
                self.findings.push(check.finding(now, Outcome::NotClosed));
            } else if now >= at {
                check.stage = Stage::Probing { found_closed };
                check.probe_count += 1;
                probes.push(Probe { incarnation: *incarnation, address: check.endpoint.address });
            }
        }
        probes
    }

    /// Takes what the checks have found since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// Whether no server is being checked.
    pub fn is_idle(&self) -> bool {
        self.checks.is_empty()
    }

    /// Whether a probe is scheduled.
    pub fn has_probe_due(&self) -> bool {
        self.checks.values().any(|check| matches!(check.stage, Stage::Due { .. }))
    }

    /// Whether it is being found out if a server crashed while it ran an unanswered request with a part.
    pub fn is_checking_part(&self, part: Fingerprint) -> bool {
        let mut open = self
            .checks
            .values()
            .filter(|check| matches!(check.stage, Stage::Probing { .. } | Stage::Due { .. }));
        open.any(|check| check.requests.values().any(|request| request.parts.contains(&part)))
    }

    /// Returns the number of unconfirmed crashes that a request may have caused.
    pub fn possible_crashes(&self, now: Time, fingerprint: Fingerprint) -> usize {
        let checks = self.checks.values().filter(|check| {
            check.stage != Stage::Crashed
                && now < check.broken_at + CONFIRMATION_TIMEOUT
                && check.requests.contains_key(&fingerprint)
        });
        checks.count()
    }
}
