//! Requests of other daemons that this daemon schedules.

use std::net::SocketAddr;

use super::{Assignment, Decision, Progress, Step, Submission, Verdict};
use crate::fleet::place::Choice;
use crate::fleet::request::{Phase, Request};
use crate::fleet::{Arrival, Command, Dispatch, Effect, Frame, Key, Node, Start};
use crate::prelude::*;
use crate::route::{Route, Split, Workspace};

/// Bit set in the keys of other daemons' requests, to keep them apart from this daemon's own keys.
const REMOTE_KEY_BIT: u64 = 1 << 63;
/// Time after a request's deadline at which it counts as ended even if its daemon did not report it.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// Interval between checks for requests whose end was not reported.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The daemon that submitted a request, with its key there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::fleet) struct Origin {
    daemon: String,
    request: Key,
    address: SocketAddr,
    /// The incarnation of that daemon.
    incarnation: u64,
}

impl Origin {
    /// The daemon.
    pub(in crate::fleet) fn daemon(&self) -> &str {
        &self.daemon
    }
}

/// Index of the requests submitted by other daemons.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Submissions {
    keys: BTreeMap<String, BTreeMap<Key, Key>>,
    last_number: u64,
    next_expiry_check: Time,
}

impl Submissions {
    fn key(&self, daemon: &str, request: Key) -> Option<Key> {
        self.keys.get(daemon)?.get(&request).copied()
    }

    fn add(&mut self, daemon: &str, request: Key) -> Key {
        self.last_number += 1;
        let key = Key(REMOTE_KEY_BIT | self.last_number);
        self.keys.entry(daemon.to_owned()).or_default().insert(request, key);
        key
    }

    /// Removes a request.
    pub(in crate::fleet) fn remove(&mut self, origin: &Origin) {
        if let Some(keys) = self.keys.get_mut(&origin.daemon) {
            keys.remove(&origin.request);
            if keys.is_empty() {
                self.keys.remove(&origin.daemon);
            }
        }
    }

    /// The number of submitted requests.
    pub(in crate::fleet) fn len(&self) -> usize {
        self.keys.values().map(BTreeMap::len).sum()
    }
}

impl Node {
    /// Accepts a request that another daemon submits.
    pub(in crate::fleet) fn handle_submission(&mut self, now: Time, submission: Submission) {
        let Some(address) = self.peer_address(&submission.daemon) else { return };
        let Submission { daemon, incarnation, request, .. } = &submission;
        let (daemon, request, incarnation) = (daemon.clone(), *request, *incarnation);
        let origin = Origin { daemon, request, address, incarnation };
        if !self.is_ready() || self.has_left_scheduling(now) {
            return self.send_verdict(&origin, Decision::Return);
        }
        if let Some(known) = self.served.key(&origin.daemon, origin.request) {
            // The daemon has restarted and reuses its request keys.
            self.remove_request(now, known);
        }
        let key = self.served.add(&origin.daemon, origin.request);
        let (is_counted, draws_on_retry_budget, software) =
            (submission.is_counted, submission.draws_on_retry_budget, submission.software);
        let (pool, arrival) = arrival(now, key, submission);
        if !is_counted {
            self.count_request(now, &pool);
        }
        let request = Request::new(now, arrival, pool, Some(origin));
        self.accept(now, Request { draws_on_retry_budget, software, ..request });
    }

    /// Tells the submitting daemon that its request waits here, for the first time or again. Daemons
    /// treat a scheduler that does not reply as gone.
    pub(in crate::fleet) fn send_queued(&mut self, key: Key) {
        let origin = self.requests.get(&key).and_then(|request| request.origin.clone());
        if let Some(origin) = origin {
            self.send_verdict(&origin, Decision::Queued);
        }
    }

    /// Handles a state change of a request that this daemon schedules for another.
    pub(in crate::fleet) fn handle_progress(&mut self, now: Time, progress: Progress) {
        let Some(key) = self.served.key(&progress.daemon, progress.request) else { return };
        match progress.step {
            Step::Withdrawn => self.remove_request(now, key),
            Step::Report(report) => self.handle_report(now, key, progress.attempt, report),
            Step::Stated(statement) => {
                self.note_forwarded_statement(now, key, progress.attempt, statement);
            }
        }
    }

    /// Sends a command for a request to the local traffic handler or to the daemon that submitted it.
    pub(in crate::fleet) fn command(&mut self, key: Key, command: Command) {
        let origin = self.requests.get(&key).and_then(|request| request.origin.clone());
        let Some(origin) = origin else {
            return self.effects.push(Effect::Command(key, command));
        };
        match command {
            Command::Refuse(code, after) => {
                self.send_verdict(&origin, Decision::Refuse(code, after))
            }
            Command::GiveUp => self.send_verdict(&origin, Decision::GiveUp),
            // `assign` sends these, with the details that the daemon needs to continue on its own.
            Command::Dispatch(_) => {}
            // Only the daemon that received a request hands it over.
            Command::HandOver(_) => {}
        }
    }

    /// Dispatches a request to the chosen server.
    pub(in crate::fleet) fn assign(&mut self, key: Key, dispatch: Dispatch, choice: &Choice) {
        let origin = self.requests.get(&key).and_then(|request| request.origin.clone());
        let (Some(origin), Some(server)) = (origin, self.servers.get(choice.server)) else {
            return self.effects.push(Effect::Command(key, Command::Dispatch(dispatch)));
        };
        let assignment = Assignment {
            attempt: dispatch.attempt,
            server: server.entry.incarnation.clone(),
            address: dispatch.address,
            prefill_tokens: choice.read_tokens,
            cache_salt: dispatch.cache_salt,
            weights_version: dispatch.weights_version,
            fetch_from: dispatch.fetch_from,
            save_to: dispatch.save_to,
            has_limit: dispatch.has_limit,
        };
        self.send_verdict(&origin, Decision::Send(assignment));
    }

    fn send_verdict(&mut self, origin: &Origin, decision: Decision) {
        let daemon = self.identity.id.clone();
        let verdict = Verdict { daemon, request: origin.request, decision };
        self.effects.push(Effect::Send(vec![origin.address], Frame::Verdict(Box::new(verdict))));
    }

    /// Whether this daemon places nothing for others because it reaches no server, and others do.
    fn has_left_scheduling(&self, now: Time) -> bool {
        self.is_cut_off() && !self.is_scheduler(now)
    }

    /// Returns a request to its daemon if this one has left scheduling; returns whether it did.
    pub(in crate::fleet) fn return_if_not_scheduling(&mut self, now: Time, key: Key) -> bool {
        let origin = self.requests.get(&key).and_then(|request| request.origin.clone());
        let Some(origin) = origin.filter(|_| self.has_left_scheduling(now)) else { return false };
        self.send_verdict(&origin, Decision::Return);
        self.remove_request(now, key);
        true
    }

    /// Returns the queued requests of other daemons because this daemon is stopping or reaches no
    /// server.
    pub(in crate::fleet) fn return_queued_requests(&mut self, now: Time) {
        if !self.draining && !self.has_left_scheduling(now) {
            return;
        }
        let is_waiting = |request: &Request| matches!(request.phase, Phase::Waiting(_));
        let waiting = self.requests.iter().filter(|(_, request)| is_waiting(request));
        let waiting = waiting.filter_map(|(key, request)| Some((*key, request.origin.clone()?)));
        let waiting: Vec<(Key, Origin)> = waiting.collect();
        for (key, origin) in waiting {
            self.send_verdict(&origin, Decision::Return);
            self.remove_request(now, key);
        }
    }

    /// Drops requests past their deadline, as the message about their end may have been lost.
    pub(in crate::fleet) fn drop_expired_submissions(&mut self, now: Time) {
        if now < self.served.next_expiry_check {
            return;
        }
        self.served.next_expiry_check = now + EXPIRY_CHECK_INTERVAL;
        let is_expired = |request: &Request| now >= request.arrival.deadline + DEADLINE_MARGIN;
        self.drop_submissions(now, |request, _| is_expired(request));
    }

    /// Drops the requests of a daemon's former incarnations.
    pub(in crate::fleet) fn drop_past_incarnations(
        &mut self,
        now: Time,
        daemon: &str,
        incarnation: u64,
    ) {
        self.drop_submissions(now, |_, origin| {
            origin.daemon == daemon && origin.incarnation != incarnation
        });
    }

    fn drop_submissions(&mut self, now: Time, should_drop: impl Fn(&Request, &Origin) -> bool) {
        let dropped = self.requests.iter().filter(|(_, request)| {
            request.origin.as_ref().is_some_and(|origin| should_drop(request, origin))
        });
        let dropped: Vec<Key> = dropped.map(|(key, _)| *key).collect();
        for key in dropped {
            self.remove_request(now, key);
        }
    }
}

/// Converts a submission into an arrival at this daemon and its pool.
fn arrival(now: Time, request: Key, submission: Submission) -> (String, Arrival) {
    let route = Route {
        name: submission.route,
        host: String::new(),
        path_prefix: String::new(),
        repeat: submission.repeat,
        is_streaming: submission.prompt.is_some(),
        timeout: submission.time_left,
        target_latency: submission.target,
        priority: submission.priority,
        splits: vec![Split { pool: submission.pool.clone(), weight: 1 }],
        max_attempts: submission.max_attempts,
        is_public: true,
    };
    let arrival = Arrival {
        request,
        id: submission.id,
        route: Arc::new(route),
        workspace: submission
            .workspace
            .map(|owner| Arc::new(Workspace { priority: None, ..owner })),
        cohort: submission.cohort,
        deadline: now + submission.time_left,
        prompt: submission.prompt,
        fingerprint: submission.fingerprint,
        is_handed_over: false,
        start: Start::New,
    };
    (submission.pool, arrival)
}
