//! Admission of requests: arrival, queueing, refusal and expiry.

use super::Node;
use crate::admission::{self, Entry, Full};
use crate::attempt::{self, Arrival, Command, Phase, Refusal, Request};
use crate::prelude::*;

impl Node {
    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival) {
        self.counts.arrived += 1;
        self.budget.deposit();
        let request = arrival.request;
        let claim = arrival.claim.clone();
        if self.manifest_in_force().is_none() {
            return self.command(request, Command::Refuse(Code::NoManifest.into()));
        }
        if self.is_ending {
            return self.command(request, Command::Refuse(Code::Draining.into()));
        }
        let phase = if claim.is_some() { Phase::Claiming } else { Phase::Waiting };
        self.requests.insert(request, Request::new(arrival, now, phase));
        match claim {
            Some(ask) => self.claim(now, request, &ask),
            None => self.admit(now, request),
        }
    }

    /// Puts a request in its pool's queue, holds it for engine reports, or refuses it.
    pub(super) fn admit(&mut self, now: Time, request: attempt::Key) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if self.is_blocked(&state.arrival) {
            return self.refuse_blocked(now, request);
        }
        let arrival = &state.arrival;
        let pool = arrival.pool.clone();
        let entry = Entry {
            request,
            priority: arrival.priority,
            workspace: arrival.workspace.clone(),
            share: arrival.share,
            cost: arrival.prompt_tokens.saturating_add(arrival.max_tokens).max(1),
            deadline: arrival.deadline,
            is_retry: state.attempts > 0,
        };
        if entry.deadline <= now {
            return self.release_and_refuse(now, request, Code::DeadlinePassed.into());
        }
        let Some(limits) = self.pool_limits(&pool) else {
            return self.release_and_refuse(now, request, Code::NoServer.into());
        };
        let servers = self.usable_servers(now, request).count();
        if servers == 0 && self.may_be_served_later(request) {
            if self.awaiting_reports.len() >= limits.max_waiting as usize {
                return self.release_and_refuse(now, request, queue_full(0.0));
            }
            self.awaiting_reports.insert(request);
            return self.poll_awaited_engines(now, &pool);
        }
        if servers == 0 {
            return self.release_and_refuse(now, request, Code::NoServer.into());
        }
        let hold_ms = self.averages.entry(pool.clone()).or_default().hold_ms;
        let queue = self.queues.entry(pool.clone()).or_default();
        let slots = servers as f64 * f64::from(limits.max_in_flight);
        let wait_ms = queue.count_ahead(entry.priority) as f64 * hold_ms / slots;
        let left_ms = (entry.deadline - now).as_secs_f64() * 1_000.0;
        if wait_ms > left_ms {
            let mut refusal = Refusal::from(Code::DeadlineUnreachable);
            refusal.retry_after = admission::retry_after_seconds(wait_ms - left_ms);
            return self.release_and_refuse(now, request, refusal);
        }
        match queue.push(entry, limits.max_waiting as usize) {
            Ok(None) => {}
            Ok(Some(displaced)) => {
                self.release_and_refuse(now, displaced, queue_full(wait_ms));
            }
            Err(Full) => return self.release_and_refuse(now, request, queue_full(wait_ms)),
        }
        self.dispatch_waiting(now, &pool);
    }

    /// Whether an engine may hold the request's weights without having reported them. Engines load weights up
    /// to the moment these come into force, and a report shows the state at the time of its poll.
    fn may_be_served_later(&self, request: attempt::Key) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let mut servers = self.membership.pool(&state.arrival.pool);
        servers.any(|(_, server)| server.awaits_poll_since(self.in_force_since))
    }

    /// Admits the requests that wait for engine reports again.
    pub(super) fn retry_admission(&mut self, now: Time) {
        for request in std::mem::take(&mut self.awaiting_reports) {
            self.admit(now, request);
        }
    }

    fn pool_limits(&self, pool: &str) -> Option<crate::manifest::Pool> {
        self.manifest_in_force()?.manifest.pools.get(pool).cloned()
    }

    pub(super) fn expire_requests(&mut self, now: Time) {
        let expired: Vec<attempt::Key> =
            self.queues.values_mut().flat_map(|queue| queue.expire(now)).collect();
        for request in expired {
            self.refuse_unsent(now, request, Code::DeadlinePassed);
        }
        self.expire_claims(now);
    }

    /// Refuses a request of which no attempt is under way, with `code` unless an earlier one may have run.
    pub(super) fn refuse_unsent(&mut self, now: Time, request: attempt::Key, code: Code) {
        let ran = self.requests.get(&request).filter(|state| state.maybe_ran);
        let code = ran.map_or(code, attempt::lost_code);
        self.release_and_refuse(now, request, code.into());
    }
}

fn queue_full(wait_ms: f64) -> Refusal {
    Refusal { retry_after: admission::retry_after_seconds(wait_ms), ..Code::QueueFull.into() }
}
