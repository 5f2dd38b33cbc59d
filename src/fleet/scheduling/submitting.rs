//! Requests of this daemon that another daemon schedules.

use super::{Assignment, Decision, Progress, Step, Submission, Verdict};
use crate::fleet::request::{Phase, Request};
use crate::fleet::{Command, Dispatch, Effect, Frame, Key, Loss, Node, Report, Statement, server};
use crate::prelude::*;
use crate::route::Workspace;

/// Time limit for a scheduler's verdict: some ten round trips to another zone. After it the daemon
/// decides on its own, which bounds the delay that a failed scheduler causes.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(60);

/// Maximum number of schedulers to which one request is submitted: two rarely fail at the same time,
/// and each failed one delays the request by the time limit.
const MAX_SUBMISSIONS: u8 = 2;

/// An attempt assigned by a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) struct Placement {
    /// The scheduler's number of the attempt.
    attempt: u32,
    server: server::Key,
    prefill_tokens: u32,
    begun: bool,
    sent_at: Time,
}

/// The scheduling state of a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::fleet) enum Stage {
    /// The scheduler got the last message at this time and has not replied.
    AwaitingVerdict(Time),
    /// The request is queued at the scheduler.
    Queued,
    /// The request was sent to the assigned server.
    Placed(Placement),
}

impl Node {
    /// Submits a request to the scheduler of its pool; returns false if this daemon must place it.
    pub(in crate::fleet) fn submit(&mut self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        if request.origin.is_some() || request.submissions >= MAX_SUBMISSIONS {
            return false;
        }
        let is_undecided = request.admission_deadline.is_some();
        let known = self.scheduler_of(now, &request.pool);
        let Some(scheduler) =
            known.or_else(|| self.last_heard_scheduler(now).filter(|_| is_undecided))
        else {
            return false;
        };
        let Some(address) = self.peer_address(scheduler) else { return false };
        let scheduler = scheduler.to_owned();
        let submission = self.submission(now, request);
        if let Some(request) = self.requests.get_mut(&key) {
            request.arrival.cohort = submission.cohort;
            request.phase = Phase::Submitted(Stage::AwaitingVerdict(now));
            request.scheduler = scheduler;
            request.submissions += 1;
        }
        self.counts.submitted += 1;
        self.awaiting_scheduler.insert(key);
        self.effects.push(Effect::Send(vec![address], Frame::Submission(Box::new(submission))));
        true
    }

    /// Carries out a scheduler's decision.
    pub(in crate::fleet) fn handle_verdict(&mut self, now: Time, verdict: Verdict) {
        let Verdict { daemon, request: key, decision } = verdict;
        let is_submitted_to_sender = |request: &&mut Request| {
            matches!(request.phase, Phase::Submitted(_)) && request.scheduler == daemon
        };
        let Some(request) = self.requests.get_mut(&key).filter(is_submitted_to_sender) else {
            // The request was placed without the scheduler or its caller has left: free the slot there.
            if matches!(decision, Decision::Send(_) | Decision::Queued) {
                self.send_progress(&daemon, key, 0, Step::Withdrawn);
            }
            return;
        };
        self.awaiting_scheduler.remove(&key);
        match decision {
            Decision::Queued => {
                if matches!(request.phase, Phase::Submitted(Stage::AwaitingVerdict(_))) {
                    request.phase = Phase::Submitted(Stage::Queued);
                }
            }
            Decision::Send(assignment) => self.dispatch_assignment(now, key, assignment),
            Decision::Refuse(code, after) if request.possible_runs == 0 => {
                let code = request.refusal_code(code);
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

    /// Sends a request to the assigned server, unless this daemon has newer information against it.
    fn dispatch_assignment(&mut self, now: Time, key: Key, assignment: Assignment) {
        if self.leave_if_cut_off(now, key) {
            return;
        }
        let Some(server) = self.incarnations.server(&assignment.server) else {
            return self.withdraw_from_scheduler(now, key);
        };
        if !self.may_be_sent(now, key, server, assignment.weights_version)
            || !self.is_salt_current(key, &assignment)
        {
            self.explain_withdrawal(now, key, server, assignment.attempt);
            return self.withdraw_from_scheduler(now, key);
        }
        let most_idle = self.max_idle_connections(key);
        let has_limit = assignment.has_limit || self.has_stated_request_limit(server);
        self.reach.note_sent(now, server);
        let Some(software) = self.servers.get(server).map(|server| server.software) else { return };
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.sends += 1;
        request.possible_runs += 1;
        request.tried.push(server);
        request.sent_software.push((request.sends, software));
        request.weights_version = assignment.weights_version;
        request.phase = Phase::Submitted(Stage::Placed(Placement {
            attempt: assignment.attempt,
            server,
            prefill_tokens: assignment.prefill_tokens,
            begun: false,
            sent_at: now,
        }));
        let dispatch = Dispatch {
            attempt: request.sends,
            server: assignment.server.id,
            software,
            address: assignment.address,
            cache_salt: assignment.cache_salt,
            weights_version: assignment.weights_version,
            fetch_from: assignment.fetch_from,
            save_to: assignment.save_to,
            priority: Self::priority(request).min(9),
            max_idle: most_idle,
            has_limit,
        };
        self.counts.sent += 1;
        self.log_assigned(now, key, &dispatch);
        self.effects.push(Effect::Command(key, Command::Dispatch(dispatch)));
    }

    /// Reports to a scheduler what the server that it assigned has stated. A scheduler that has taken over may not know it.
    fn explain_withdrawal(&mut self, now: Time, key: Key, server: server::Key, attempt: u32) {
        let Some(server) = self.servers.get(server) else { return };
        let is_leaving = self.departures.contains(&server.entry.incarnation);
        let rest = self.own_rest(now, server);
        let statement = Statement { is_leaving, rest, ..Statement::default() };
        self.send_statement(key, attempt, statement);
    }

    /// Forwards what the server of a placed request has stated to the scheduler of the request.
    pub(in crate::fleet) fn forward_statement(&mut self, key: Key, statement: Statement) {
        let phase = self.requests.get(&key).map(|request| request.phase);
        if let Some(Phase::Submitted(Stage::Placed(Placement { attempt, .. }))) = phase {
            self.send_statement(key, attempt, statement);
        }
    }

    fn send_statement(&mut self, key: Key, attempt: u32, statement: Statement) {
        let Some(request) = self.requests.get(&key).filter(|_| !statement.is_empty()) else {
            return;
        };
        let scheduler = request.scheduler.clone();
        self.send_progress(&scheduler, key, attempt, Step::Stated(statement));
    }

    /// Returns whether this daemon's own state allows an assignment. The scheduler may not know yet of
    /// a leaving server, newly named weights, a possible execution of the request, or the version that began its stream.
    fn may_be_sent(&self, now: Time, key: Key, server: server::Key, weights: Option<u64>) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let goes_on = |software| request.software.is_none_or(|began| began == software);
        let stays = self.servers.get(server);
        let stays = stays.is_some_and(|server| {
            !server.entry.draining
                && goes_on(server.software)
                && self.own_rest(now, server).is_none()
        });
        let weights_allowed = match (&request.arrival.prompt, weights) {
            (Some(prompt), Some(version)) => self.is_version_allowed(now, &prompt.model, version),
            _ => true,
        };
        stays && weights_allowed && (request.possible_runs == 0 || request.may_repeat())
    }

    /// Whether a request may use what is cached under the salt that its scheduler chose. Other workspaces may have become
    /// isolated since this daemon submitted it, and the scheduler may not know.
    fn is_salt_current(&self, key: Key, assignment: &Assignment) -> bool {
        let Some(Request { arrival, .. }) = self.requests.get(&key) else { return false };
        let (Some(salt), Some(version)) = (&assignment.cache_salt, assignment.weights_version)
        else {
            return true;
        };
        self.cohort(arrival).without == arrival.cohort.without
            || *salt == self.salt_of(arrival, version)
    }

    /// Records the state change of an attempt assigned by a scheduler and forwards it to the scheduler.
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
        self.send_progress(&scheduler, key, attempt, Step::Report(report));
        if report.is_from_server() {
            self.note_server_contact(now, server);
        }
        match report {
            Report::Begun(weights) => {
                if let (Some(model), Some(version)) = (&model, weights) {
                    self.note_weights(now, server, model, version);
                }
                self.note_response(now, server);
                self.mark_begun(now, key, placed);
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
                self.handle_not_run(now, key, true);
            }
            Report::Unsent => {
                self.log_failed(key, server, "could not connect to the server");
                self.counts.unsent += 1;
                self.suspect_paths(now);
                self.handle_not_run(now, key, false);
            }
            Report::Lost(loss) => {
                self.log_failed(key, server, loss.reason());
                self.counts.lost += 1;
                if loss == Loss::Connection {
                    self.suspect_paths(now);
                }
                self.handle_possible_run(now, key);
            }
            Report::Failed => {
                self.log_failed(key, server, "the server answered with an error");
                self.counts.failed += 1;
                self.handle_possible_run(now, key);
            }
        }
    }

    fn mark_begun(&mut self, now: Time, key: Key, placed: Placement) {
        if placed.begun {
            return;
        }
        self.clear_parts(now, key);
        self.log_begun(now, key, placed.sent_at);
        if let Some(request) = self.requests.get_mut(&key) {
            let placed = Placement { begun: true, ..placed };
            request.phase = Phase::Submitted(Stage::Placed(placed));
        }
    }

    /// Waits for the next verdict on a request that did not run.
    fn handle_not_run(&mut self, now: Time, key: Key, arrived: bool) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.possible_runs -= 1;
            request.draws_on_retry_budget |= arrived;
            request.was_refused_by_server |= arrived;
            request.phase = Phase::Submitted(Stage::AwaitingVerdict(now));
            self.awaiting_scheduler.insert(key);
            self.leave_if_cut_off(now, key);
        }
    }

    /// Waits for the next verdict on a request that may have run, or ends it if it must not run again.
    fn handle_possible_run(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        if request.may_repeat() {
            request.draws_on_retry_budget = true;
            request.phase = Phase::Submitted(Stage::AwaitingVerdict(now));
            self.awaiting_scheduler.insert(key);
            self.leave_if_cut_off(now, key);
            return;
        }
        self.effects.push(Effect::Command(key, Command::GiveUp));
        self.remove_request(now, key);
    }

    /// Takes back requests whose scheduler did not reply in time or is gone.
    pub(in crate::fleet) fn check_schedulers(&mut self, now: Time) {
        let unanswered = self.awaiting_scheduler.iter().filter_map(|key| {
            let request = self.requests.get(key)?;
            let Phase::Submitted(Stage::AwaitingVerdict(at)) = request.phase else { return None };
            (now >= at + VERDICT_TIMEOUT).then(|| request.scheduler.clone())
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
        let orphaned = self.requests.iter().filter(|(_, request)| match request.phase {
            Phase::Submitted(Stage::AwaitingVerdict(_) | Stage::Queued) => {
                unanswered.contains(&request.scheduler) || gone(&request.scheduler)
            }
            Phase::Submitted(Stage::Placed(_)) => gone(&request.scheduler),
            Phase::Waiting(_) | Phase::LookingUp(_) | Phase::Sent { .. } | Phase::HandedOver => {
                false
            }
        });
        let orphaned: Vec<Key> = orphaned.map(|(key, _)| *key).collect();
        for key in orphaned {
            self.withdraw_from_scheduler(now, key);
        }
    }

    /// Withdraws a request from its scheduler and continues without it.
    pub(in crate::fleet) fn withdraw_from_scheduler(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let scheduler = request.scheduler.clone();
        self.send_progress(&scheduler, key, 0, Step::Withdrawn);
        self.counts.unscheduled += 1;
        self.continue_without_scheduler(now, key);
    }

    /// Has a request placed by another scheduler or by this daemon.
    fn continue_without_scheduler(&mut self, now: Time, key: Key) {
        self.awaiting_scheduler.remove(&key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Phase::Submitted(stage) = request.phase else { return };
        request.scheduler.clear();
        let Stage::Placed(Placement { server, prefill_tokens, begun, sent_at, .. }) = stage else {
            request.phase = Phase::Waiting(now);
            if self.leave_if_cut_off(now, key) {
                return;
            }
            if !self.submit(now, key) && self.charge_quota(now, key) {
                self.send_or_queue(now, key);
            }
            return;
        };
        request.phase = Phase::Sent { server, prefill_tokens, begun, sent_at };
        // The scheduler has charged the quota for it.
        request.charged_runs = request.possible_runs;
        if let Some(server) = self.servers.get_mut(server) {
            server.running += 1;
            if !begun {
                server.pending_tokens = server.pending_tokens.saturating_add(prefill_tokens);
            }
        }
    }

    /// Notifies the scheduler that a request has ended here.
    pub(in crate::fleet) fn withdraw(&mut self, key: Key) {
        self.awaiting_scheduler.remove(&key);
        let Some(request) = self.requests.get(&key) else { return };
        if matches!(request.phase, Phase::Submitted(_)) {
            let scheduler = request.scheduler.clone();
            self.send_progress(&scheduler, key, 0, Step::Withdrawn);
        }
    }

    fn send_progress(&mut self, scheduler: &str, request: Key, attempt: u32, step: Step) {
        let Some(address) = self.peer_address(scheduler) else { return };
        let daemon = self.identity.id.clone();
        let progress = Progress { daemon, request, attempt, step };
        self.effects.push(Effect::Send(vec![address], Frame::Progress(progress)));
    }
}

impl Placement {
    /// Returns whether its answer has begun.
    pub(in crate::fleet) fn has_begun(self) -> bool {
        self.begun
    }
}

impl Node {
    /// Describes a request to its scheduler.
    fn submission(&self, now: Time, request: &Request) -> Submission {
        let (arrival, own) = (&request.arrival, &self.identity);
        let workspace = arrival.workspace.as_deref();
        let isolated = self.isolated_owner(arrival).is_some();
        let route = &arrival.route;
        Submission {
            daemon: own.id.clone(),
            incarnation: own.incarnation,
            request: arrival.request,
            id: arrival.id.clone(),
            route: route.name.clone(),
            repeat: route.repeat,
            target: route.target_latency,
            priority: workspace.and_then(|owner| owner.priority).unwrap_or(route.priority),
            max_attempts: route.max_attempts,
            pool: request.pool.clone(),
            workspace: workspace.map(|owner| Workspace { isolated, ..owner.clone() }),
            cohort: self.cohort(arrival),
            time_left: arrival.deadline.saturating_sub(now),
            prompt: arrival.prompt.clone(),
            fingerprint: arrival.fingerprint,
            is_counted: request.submissions > 0 || arrival.is_handed_over,
            draws_on_retry_budget: request.draws_on_retry_budget,
            software: request.software,
        }
    }
}
