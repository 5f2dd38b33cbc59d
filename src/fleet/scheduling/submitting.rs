//! The requests of this daemon that another one schedules.

use super::{Assignment, Decision, Progress, Step, Submission, Verdict};
use crate::fleet::request::{Phase, Request};
use crate::fleet::{
    Arrival, Command, Dispatch, Effect, Frame, Identity, Key, Node, Refusal, Report, server,
};
use crate::prelude::*;

/// Time in which a scheduler answers: some ten times the way to another zone and back. Without an answer
/// the daemon decides by itself, so that a scheduler that has just ended costs a request no more.
const ANSWERED: Duration = Duration::from_millis(60);

/// Schedulers that one request is submitted to at most: two that end within a moment of each other are
/// rare, and each costs the request the time that it is waited for.
const MAX_SUBMISSIONS: u8 = 2;

/// An attempt that a scheduler assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Placement {
    /// The attempt, as the scheduler counts.
    attempt: u32,
    server: server::Key,
    tokens: u32,
    begun: bool,
    at: Time,
}

/// How far the scheduling of a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) enum Stage {
    /// The scheduler was told at this time and has not answered.
    Asked(Time),
    /// It waits at the scheduler.
    Queued,
    /// It was sent to the server assigned.
    Placed(Placement),
}

impl Node {
    /// Submits a request to the scheduler of its pool; false where this daemon is to place it.
    pub(in crate::fleet) fn submit(&mut self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        if request.origin.is_some() || request.submissions >= MAX_SUBMISSIONS {
            return false;
        }
        let is_undecided = request.undecided_until.is_some();
        let known = self.scheduler_of(now, &request.pool);
        let Some(scheduler) =
            known.or_else(|| self.last_heard_scheduler(now).filter(|_| is_undecided))
        else {
            return false;
        };
        let Some(address) = self.peer_address(scheduler) else { return false };
        let scheduler = scheduler.to_owned();
        let submission = submission(now, &self.identity, &request.pool, &request.arrival);
        if let Some(request) = self.requests.get_mut(&key) {
            request.phase = Phase::Submitted(Stage::Asked(now));
            request.scheduler = scheduler;
            request.submissions += 1;
        }
        self.counts.submitted += 1;
        self.awaiting_scheduler.insert(key);
        self.effects.push(Effect::Send(vec![address], Frame::Submission(Box::new(submission))));
        true
    }

    /// Takes over what a scheduler decided.
    pub(in crate::fleet) fn handle_verdict(&mut self, now: Time, verdict: Verdict) {
        let Verdict { daemon, request: key, ruling } = verdict;
        let waits_for_it = |request: &&mut Request| {
            matches!(request.phase, Phase::Submitted(_)) && request.scheduler == daemon
        };
        let Some(request) = self.requests.get_mut(&key).filter(waits_for_it) else {
            // It was placed without the scheduler, or its caller has gone; the place is free again.
            if matches!(ruling, Decision::Send(_) | Decision::Queued) {
                self.tell_scheduler(&daemon, key, 0, Step::Left);
            }
            return;
        };
        self.awaiting_scheduler.remove(&key);
        match ruling {
            Decision::Queued => {
                if matches!(request.phase, Phase::Submitted(Stage::Asked(_))) {
                    request.phase = Phase::Submitted(Stage::Queued);
                }
            }
            Decision::Send(assignment) => self.assigned(now, key, assignment),
            Decision::Refuse(code, after) if request.runs == 0 => {
                self.effects.push(Effect::Command(key, Command::Refuse(code, after)));
                self.requests.remove(&key);
            }
            Decision::Refuse(..) | Decision::GiveUp => {
                self.effects.push(Effect::Command(key, Command::GiveUp));
                self.requests.remove(&key);
            }
            Decision::Return => {
                self.avoid_scheduler(now, &daemon);
                self.continue_without_scheduler(now, key);
            }
        }
    }

    /// Sends a request where its scheduler wants it, unless this daemon knows better.
    fn assigned(&mut self, now: Time, key: Key, assignment: Assignment) {
        let Some(server) = self.incarnations.server(&assignment.life) else {
            return self.withdraw_from_scheduler(now, key);
        };
        if !self.may_be_sent(now, key, server, assignment.weights) {
            return self.withdraw_from_scheduler(now, key);
        }
        let most_idle = self.max_idle_connections(key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.sends += 1;
        request.runs += 1;
        request.tried.push(server);
        request.weights = assignment.weights;
        request.phase = Phase::Submitted(Stage::Placed(Placement {
            attempt: assignment.attempt,
            server,
            tokens: assignment.tokens,
            begun: false,
            at: now,
        }));
        let dispatch = Dispatch {
            attempt: request.sends,
            server: assignment.life.id,
            address: assignment.address,
            salt: assignment.salt,
            weights: assignment.weights,
            fetch_from: assignment.fetch_from,
            save_to: assignment.save_to,
            priority: Self::priority(request).min(9),
            most_idle,
        };
        self.counts.sent += 1;
        self.log_assigned(now, key, &dispatch);
        self.effects.push(Effect::Command(key, Command::Dispatch(dispatch)));
    }

    /// Whether a request may go to a server by what this daemon knows: the scheduler may not have heard
    /// yet that the server leaves, that weights were named, or that the request may have run.
    fn may_be_sent(&self, now: Time, key: Key, server: server::Key, weights: Option<u64>) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let stays = self.servers.get(server).is_some_and(|server| !server.entry.draining);
        let begins = match (&request.arrival.prompt, weights) {
            (Some(prompt), Some(version)) => self.is_version_allowed(now, &prompt.model, version),
            _ => true,
        };
        stays && begins && (request.runs == 0 || request.may_repeat())
    }

    /// Takes over what became of an attempt that a scheduler assigned, and tells it.
    pub(in crate::fleet) fn report_placed(
        &mut self,
        now: Time,
        key: Key,
        placed: Placement,
        report: Report,
    ) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Placement { attempt, server, .. } = placed;
        let scheduler = request.scheduler.clone();
        let model = request.arrival.prompt.as_ref().map(|prompt| prompt.model.clone());
        self.tell_scheduler(&scheduler, key, attempt, Step::Report(report));
        match report {
            Report::Begun(weights) => {
                if let (Some(model), Some(version)) = (&model, weights) {
                    self.note_weights(now, server, model, version);
                }
                self.note_response(now, server);
                self.placed_began(now, key, placed);
            }
            Report::Ended => {
                self.note_response(now, server);
                self.request_answered(now, key);
                self.requests.remove(&key);
            }
            Report::Refused(refused) => {
                self.log_declined(key, server, refused);
                self.counts.declined += 1;
                self.note_response(now, server);
                self.note_refusal(now, server, model.as_deref(), refused);
                self.did_not_run(now, key, refused != Refusal::Gone);
            }
            Report::Unsent => {
                self.log_failed(key, server, "it could not be connected to");
                self.counts.unsent += 1;
                self.did_not_run(now, key, false);
            }
            Report::Lost(loss) => {
                self.log_failed(key, server, loss.reason());
                self.counts.lost += 1;
                self.may_have_run(now, key);
            }
            Report::Failed => {
                self.log_failed(key, server, "it answered with a failure of its own");
                self.counts.failed += 1;
                self.may_have_run(now, key);
            }
        }
    }

    fn placed_began(&mut self, now: Time, key: Key, placed: Placement) {
        if placed.begun {
            return;
        }
        self.log_begun(now, key, placed.at);
        if let Some(request) = self.requests.get_mut(&key) {
            let placed = Placement { begun: true, ..placed };
            request.phase = Phase::Submitted(Stage::Placed(placed));
        }
    }

    /// Waits for the scheduler's next word on a request that did not run.
    fn did_not_run(&mut self, now: Time, key: Key, arrived: bool) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.runs -= 1;
            request.owes |= arrived;
            request.phase = Phase::Submitted(Stage::Asked(now));
            self.awaiting_scheduler.insert(key);
        }
    }

    /// Waits for the scheduler's next word on a request that may have run, where it may run again.
    fn may_have_run(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        if request.may_repeat() {
            request.owes = true;
            request.phase = Phase::Submitted(Stage::Asked(now));
            self.awaiting_scheduler.insert(key);
            return;
        }
        self.effects.push(Effect::Command(key, Command::GiveUp));
        self.remove_request(now, key);
    }

    /// Decides by itself on requests whose scheduler has left them without a word or is gone.
    pub(in crate::fleet) fn check_schedulers(&mut self, now: Time) {
        let unanswered = self.awaiting_scheduler.iter().filter_map(|key| {
            let request = self.requests.get(key)?;
            let Phase::Submitted(Stage::Asked(at)) = request.phase else { return None };
            (now >= at + ANSWERED).then(|| request.scheduler.clone())
        });
        let unanswered: BTreeSet<String> = unanswered.collect();
        for scheduler in &unanswered {
            self.avoid_scheduler(now, scheduler);
            let detail = Detail::of("scheduler", scheduler.as_str());
            self.event(Event::SchedulerSilent, detail);
        }
        let gone = |id: &str| {
            !self.peers.get(id).is_some_and(|peer| peer.is_fresh(now) && !peer.is_draining())
        };
        let left = self.requests.iter().filter(|(_, request)| match request.phase {
            Phase::Submitted(Stage::Asked(_) | Stage::Queued) => {
                unanswered.contains(&request.scheduler) || gone(&request.scheduler)
            }
            Phase::Submitted(Stage::Placed(_)) => gone(&request.scheduler),
            Phase::Waiting(_) | Phase::Sent { .. } => false,
        });
        let left: Vec<Key> = left.map(|(key, _)| *key).collect();
        for key in left {
            self.withdraw_from_scheduler(now, key);
        }
    }

    /// Tells a request's scheduler to care for it no more, and decides by itself.
    pub(in crate::fleet) fn withdraw_from_scheduler(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let scheduler = request.scheduler.clone();
        self.tell_scheduler(&scheduler, key, 0, Step::Left);
        self.counts.unscheduled += 1;
        self.continue_without_scheduler(now, key);
    }

    /// Goes on with a request without its scheduler: another one places it, or this daemon.
    fn continue_without_scheduler(&mut self, now: Time, key: Key) {
        self.awaiting_scheduler.remove(&key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Phase::Submitted(stage) = request.phase else { return };
        request.scheduler.clear();
        let Stage::Placed(Placement { server, tokens, begun, at, .. }) = stage else {
            request.phase = Phase::Waiting(now);
            if !self.submit(now, key) && self.charge_quota(now, key) {
                self.send_or_queue(now, key);
            }
            return;
        };
        request.phase = Phase::Sent { server, tokens, begun, at };
        // The scheduler counted it.
        request.counted = request.runs;
        if let Some(server) = self.servers.get_mut(server) {
            server.running += 1;
            if !begun {
                server.pending_tokens = server.pending_tokens.saturating_add(tokens);
            }
        }
    }

    /// Tells the scheduler of a request that ends here.
    pub(in crate::fleet) fn withdraw(&mut self, key: Key) {
        self.awaiting_scheduler.remove(&key);
        let Some(request) = self.requests.get(&key) else { return };
        if matches!(request.phase, Phase::Submitted(_)) {
            let scheduler = request.scheduler.clone();
            self.tell_scheduler(&scheduler, key, 0, Step::Left);
        }
    }

    fn tell_scheduler(&mut self, scheduler: &str, request: Key, attempt: u32, step: Step) {
        let Some(address) = self.peer_address(scheduler) else { return };
        let daemon = self.identity.id.clone();
        let progress = Progress { daemon, request, attempt, step };
        self.effects.push(Effect::Send(vec![address], Frame::Progress(progress)));
    }
}

impl Placement {
    /// Whether its answer has begun.
    pub(in crate::fleet) fn has_begun(self) -> bool {
        self.begun
    }
}

fn submission(now: Time, own: &Identity, pool: &str, arrival: &Arrival) -> Submission {
    let workspace = arrival.workspace.as_deref();
    let route = &arrival.route;
    Submission {
        daemon: own.id.clone(),
        incarnation: own.incarnation,
        request: arrival.request,
        id: arrival.id.clone(),
        route: route.name.clone(),
        repeat: route.repeat,
        target: route.target,
        rank: workspace.and_then(|owner| owner.priority).unwrap_or(route.priority),
        attempts: route.attempts,
        pool: pool.to_owned(),
        workspace: workspace.cloned(),
        left: arrival.deadline.saturating_sub(now),
        prompt: arrival.prompt.clone(),
        fingerprint: arrival.fingerprint,
    }
}
