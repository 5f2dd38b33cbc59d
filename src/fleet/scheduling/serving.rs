//! The requests of other daemons that this one schedules.

use std::net::SocketAddr;

use super::{Assignment, Decision, Progress, Step, Submission, Verdict};
use crate::fleet::place::Choice;
use crate::fleet::request::{Phase, Request};
use crate::fleet::{Arrival, Command, Dispatch, Effect, Frame, Key, Node};
use crate::prelude::*;
use crate::route::{Route, Split, Workspace};

/// Keys of other daemons' requests have this bit, so that they are none of this daemon's own.
const SERVED: u64 = 1 << 63;
/// Time after a request's deadline at which it counts as ended, whatever its daemon did not tell.
const OVER: Duration = Duration::from_secs(1);
/// Time between two looks for requests that have ended untold.
const LOOK: Duration = Duration::from_secs(1);

/// Whose request it is, where it is another daemon's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::fleet) struct Origin {
    daemon: String,
    request: Key,
    address: SocketAddr,
    /// The incarnation of the daemon that has it.
    incarnation: u64,
}

/// The requests of other daemons.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Submissions {
    keys: BTreeMap<String, BTreeMap<Key, Key>>,
    next: u64,
    next_look: Time,
}

impl Submissions {
    fn key(&self, daemon: &str, request: Key) -> Option<Key> {
        self.keys.get(daemon)?.get(&request).copied()
    }

    fn add(&mut self, daemon: &str, request: Key) -> Key {
        self.next += 1;
        let key = Key(SERVED | self.next);
        self.keys.entry(daemon.to_owned()).or_default().insert(request, key);
        key
    }

    /// Forgets a request.
    pub(in crate::fleet) fn remove(&mut self, origin: &Origin) {
        if let Some(keys) = self.keys.get_mut(&origin.daemon) {
            keys.remove(&origin.request);
            if keys.is_empty() {
                self.keys.remove(&origin.daemon);
            }
        }
    }

    /// How many there are.
    pub(in crate::fleet) fn len(&self) -> usize {
        self.keys.values().map(BTreeMap::len).sum()
    }
}

impl Node {
    /// Takes over a request for which another daemon wants a server.
    pub(in crate::fleet) fn handle_submission(&mut self, now: Time, submission: Submission) {
        let Some(address) = self.peer_address(&submission.daemon) else { return };
        let Submission { daemon, incarnation, request, .. } = &submission;
        let (daemon, request, incarnation) = (daemon.clone(), *request, *incarnation);
        let origin = Origin { daemon, request, address, incarnation };
        if self.draining || !self.is_ready() {
            return self.rule(&origin, Decision::Return);
        }
        if let Some(known) = self.served.key(&origin.daemon, origin.request) {
            // The daemon has started again and counts from the beginning.
            self.remove_request(now, known);
        }
        let key = self.served.add(&origin.daemon, origin.request);
        let (pool, arrival) = arrival(now, key, submission);
        self.accept(now, arrival, pool, Some(origin));
    }

    /// Tells the daemon that has a request that it waits here, at first or once more: a scheduler that
    /// says nothing is taken to be gone.
    pub(in crate::fleet) fn send_queued(&mut self, key: Key) {
        let origin = self.requests.get(&key).and_then(|request| request.origin.clone());
        if let Some(origin) = origin {
            self.rule(&origin, Decision::Queued);
        }
    }

    /// Takes over what another daemon tells of a request that this one schedules.
    pub(in crate::fleet) fn handle_progress(&mut self, now: Time, progress: Progress) {
        let Some(key) = self.served.key(&progress.daemon, progress.request) else { return };
        match progress.step {
            Step::Left => self.remove_request(now, key),
            Step::Report(report) => self.handle_report(now, key, progress.attempt, report),
        }
    }

    /// Tells whoever has a request what to do: traffic here, or the daemon that submitted it.
    pub(in crate::fleet) fn command(&mut self, key: Key, command: Command) {
        let origin = self.requests.get(&key).and_then(|request| request.origin.clone());
        let Some(origin) = origin else {
            return self.effects.push(Effect::Command(key, command));
        };
        match command {
            Command::Refuse(code, after) => self.rule(&origin, Decision::Refuse(code, after)),
            Command::GiveUp => self.rule(&origin, Decision::GiveUp),
            // Those are assigned with what the daemon needs to go on by itself.
            Command::Dispatch(_) => {}
        }
    }

    /// Has a request sent to the server chosen.
    pub(in crate::fleet) fn assign(&mut self, key: Key, dispatch: Dispatch, choice: &Choice) {
        let origin = self.requests.get(&key).and_then(|request| request.origin.clone());
        let (Some(origin), Some(server)) = (origin, self.servers.get(choice.server)) else {
            return self.effects.push(Effect::Command(key, Command::Dispatch(dispatch)));
        };
        let assignment = Assignment {
            attempt: dispatch.attempt,
            life: server.entry.incarnation.clone(),
            address: dispatch.address,
            tokens: choice.read_tokens,
            salt: dispatch.salt,
            weights: dispatch.weights,
            fetch_from: dispatch.fetch_from,
            save_to: dispatch.save_to,
        };
        self.rule(&origin, Decision::Send(assignment));
    }

    fn rule(&mut self, origin: &Origin, ruling: Decision) {
        let daemon = self.identity.id.clone();
        let verdict = Verdict { daemon, request: origin.request, ruling };
        self.effects.push(Effect::Send(vec![origin.address], Frame::Verdict(Box::new(verdict))));
    }

    /// Gives back what waits here for other daemons: this one stops.
    pub(in crate::fleet) fn return_queued_requests(&mut self, now: Time) {
        let waits = |request: &Request| matches!(request.phase, Phase::Waiting(_));
        let waiting = self.requests.iter().filter(|(_, request)| waits(request));
        let waiting = waiting.filter_map(|(key, request)| Some((*key, request.origin.clone()?)));
        let waiting: Vec<(Key, Origin)> = waiting.collect();
        for (key, origin) in waiting {
            self.rule(&origin, Decision::Return);
            self.remove_request(now, key);
        }
    }

    /// Forgets requests whose time is over, since their end may have been told in vain.
    pub(in crate::fleet) fn drop_expired_submissions(&mut self, now: Time) {
        if now < self.served.next_look {
            return;
        }
        self.served.next_look = now + LOOK;
        let is_over = |request: &Request| now >= request.arrival.deadline + OVER;
        self.forget_served(now, |request, _| is_over(request));
    }

    /// Forgets the requests of a daemon's former incarnations.
    pub(in crate::fleet) fn drop_past_incarnations(
        &mut self,
        now: Time,
        daemon: &str,
        incarnation: u64,
    ) {
        self.forget_served(now, |_, origin| {
            origin.daemon == daemon && origin.incarnation != incarnation
        });
    }

    fn forget_served(&mut self, now: Time, ended: impl Fn(&Request, &Origin) -> bool) {
        let over = self.requests.iter().filter(|(_, request)| {
            request.origin.as_ref().is_some_and(|origin| ended(request, origin))
        });
        let over: Vec<Key> = over.map(|(key, _)| *key).collect();
        for key in over {
            self.remove_request(now, key);
        }
    }
}

/// The request of a submission, as one of this daemon's own, and its pool.
fn arrival(now: Time, request: Key, submission: Submission) -> (String, Arrival) {
    let route = Route {
        name: submission.route,
        host: String::new(),
        prefix: String::new(),
        repeat: submission.repeat,
        streams: submission.prompt.is_some(),
        timeout: submission.left,
        target: submission.target,
        priority: submission.rank,
        splits: vec![Split { pool: submission.pool.clone(), weight: 1 }],
        attempts: submission.attempts,
        public: true,
    };
    let arrival = Arrival {
        request,
        id: submission.id,
        route: Arc::new(route),
        workspace: submission
            .workspace
            .map(|owner| Arc::new(Workspace { priority: None, ..owner })),
        deadline: now + submission.left,
        prompt: submission.prompt,
        fingerprint: submission.fingerprint,
    };
    (submission.pool, arrival)
}
