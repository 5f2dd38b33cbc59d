//! Handling of reports on attempts.

use super::Node;
use crate::attempt::{self, Action, Outcome, Phase, Report, next_action};
use crate::membership;
use crate::prelude::*;

/// Time within which a broken stream must continue.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);

impl Node {
    pub(super) fn handle_report(
        &mut self,
        now: Time,
        request: attempt::Key,
        attempt: u32,
        report: Report,
    ) {
        let is_current = self.requests.get(&request).is_some_and(|state| {
            state.attempts == attempt && matches!(state.phase, Phase::Sent { .. })
        });
        if !is_current {
            return;
        }
        match report {
            Report::Begun { cached_tokens } => self.answer_begun(now, request, cached_tokens),
            Report::Ended(outcome) => self.attempt_ended(now, request, outcome),
        }
    }

    fn answer_begun(&mut self, now: Time, request: attempt::Key, cached_tokens: Option<u32>) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let is_first_begin = !state.begun;
        state.begun = true;
        state.maybe_ran = true;
        let Phase::Sent { server, pending_tokens, begun, .. } = &mut state.phase else {
            return;
        };
        let (server, pending_tokens, was_begun) =
            (*server, *pending_tokens, std::mem::replace(begun, true));
        let tokens = state.arrival.prompt_tokens;
        let blocks = state.arrival.prefix.blocks.clone();
        if !was_begun {
            self.record_prompt_computed(server, pending_tokens);
        }
        self.membership.reset_connect_failures(server);
        self.record_response(now, server);
        if is_first_begin {
            self.note_software(request, server);
            self.clear_levels(request);
        }
        if let Some(cached) = cached_tokens
            && is_first_begin
        {
            self.counts.prompt_tokens += u64::from(tokens);
            self.counts.cached_tokens += u64::from(cached.min(tokens));
            // The server has computed the prompt and holds all of its blocks.
            for block in blocks {
                self.residency.insert(server, block);
            }
        }
    }

    /// Notes the version of the software that has begun the answer to a request.
    fn note_software(&mut self, request: attempt::Key, server: membership::Key) {
        let software = self.membership.get(server).and_then(|server| server.software.clone());
        if let Some(state) = self.requests.get_mut(&request) {
            state.software = software;
        }
    }

    fn attempt_ended(&mut self, now: Time, request: attempt::Key, outcome: Outcome) {
        self.record_outcome(now, request, &outcome);
        let may_retry = match outcome {
            _ if self.is_ending => false,
            Outcome::Unsent(_) => true,
            Outcome::Broken(_) if self.may_crash_servers(now, request) => false,
            Outcome::Broken(_) | Outcome::Declined(_) | Outcome::Mismatch(_) => {
                self.budget.try_withdraw()
            }
            _ => false,
        };
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        if matches!(
            outcome,
            Outcome::Broken(_) | Outcome::Mismatch(_) | Outcome::TooLarge | Outcome::Stopped
        ) {
            state.maybe_ran = true;
        }
        match next_action(state, &outcome, may_retry) {
            Action::Finish => self.finish(now, request, outcome),
            Action::Retry => self.retry(now, request),
            Action::GiveUp(code, detail) => {
                self.release_and_refuse(now, request, Error::new(code, detail).into());
            }
        }
    }

    /// Updates the state of the request and of its server after an attempt.
    fn record_outcome(&mut self, now: Time, request: attempt::Key, outcome: &Outcome) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        let Phase::Sent { server, at, .. } = state.phase else {
            return;
        };
        let fingerprint = state.arrival.fingerprint.to_string();
        if let Outcome::Broken(_) = outcome {
            self.record_disconnect(now, request, server, now.saturating_sub(at));
        }
        let id = self.membership.get(server).map_or("", |server| &server.vm.id).to_owned();
        match outcome {
            Outcome::Complete(_) => {
                self.clear_suspect(now, request);
                self.record_response(now, server);
                return self.membership.reset_connect_failures(server);
            }
            Outcome::CallerGone => return self.event(Event::CallerGone, Detail::of("server", id)),
            Outcome::TooLarge | Outcome::Late | Outcome::Stopped => return,
            Outcome::Mismatch(reason) => {
                self.residency.clear(server);
                self.event(
                    Event::AnswerDiscarded,
                    Detail::of("server", id).and("reason", reason.as_str()),
                );
            }
            Outcome::Unsent(reason) => {
                self.membership.back_off(now, server);
                self.event(
                    Event::AttemptFailed,
                    Detail::of("server", id).and("reason", reason.as_str()),
                );
            }
            Outcome::Declined(reason) | Outcome::Broken(reason) => {
                let detail = Detail::of("server", id)
                    .and("fingerprint", fingerprint)
                    .and("reason", reason.as_str());
                self.event(Event::AttemptFailed, detail);
            }
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        if let Outcome::Broken(_) = outcome
            && state.begun
            && state.stream_holder.is_none()
        {
            let incarnation = self.membership.get(server).and_then(|s| s.incarnation.clone());
            state.stream_holder = Some((server, incarnation));
        } else {
            state.stream_holder = None;
            state.failed_servers.insert(server);
        }
    }

    fn finish(&mut self, now: Time, request: attempt::Key, outcome: Outcome) {
        let receipt = match outcome {
            Outcome::Complete(receipt) => receipt,
            _ => {
                // The caller disconnected, but a call of a service may have run.
                if let Some(state) = self.requests.get_mut(&request) {
                    state.maybe_ran = true;
                }
                None
            }
        };
        self.record_claim_outcome(request, receipt);
        self.counts.finished += 1;
        self.forget(now, request);
    }

    fn retry(&mut self, now: Time, request: attempt::Key) {
        let Some(state) = self.requests.get(&request).cloned() else {
            return;
        };
        self.release_slot(now, &state);
        self.counts.retried += 1;
        let resumed = state.stream_holder.is_some();
        let Some(current) = self.requests.get_mut(&request) else {
            return;
        };
        current.phase = Phase::Waiting;
        if current.begun {
            current.arrival.deadline = now + RESUME_TIMEOUT;
            let event = if resumed { Event::StreamResumed } else { Event::StreamContinued };
            self.event(event, Detail::none());
        }
        let pool = state.arrival.pool;
        self.admit(now, request);
        self.dispatch_waiting(now, &pool);
    }
}
