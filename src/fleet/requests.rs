//! The life of a request: it arrives, waits, is sent, and is sent again, refused or given up.

use super::admission::Position;
use super::place::Choice;
use super::prompt::{salted_key, shared_parts};
use super::request::{Phase, Request};
use super::retry::Terms;
use super::scheduling::Origin;
use super::{Arrival, Command, Dispatch, Key, Node, Topic};
use crate::prelude::*;

/// Sends of one request at most, those that were refused or never left included.
const MAX_SENDS: u32 = 6;
/// Idle connections to one server that a daemon keeps at most: what it has in flight there at its
/// share of the load.
const MAX_IDLE: usize = 16;
/// The part of the fixed number of repeats that each scheduler may use: no more than all of them have,
/// also while others take over from those that have just ended.
const SCHEDULER_SLACK: f64 = 1.0 / 6.0;
/// The part of it that all other daemons may use together.
const OTHERS_SLACK: f64 = 0.25;

impl Node {
    /// This daemon's part of the retry budget. All that have just started together take themselves for
    /// schedulers until they hear of each other, and without the daemons' registrations nobody knows how
    /// many share the fixed number.
    pub(super) fn terms(&self, now: Time) -> Terms {
        let part = if self.is_scheduler(now) && !self.has_just_started(now) {
            SCHEDULER_SLACK
        } else if self.known_topics.contains(&Topic::Routers) {
            OTHERS_SLACK / self.daemon_count() as f64
        } else {
            0.0
        };
        let slack = self.policy.retry_slack * part;
        Terms { window: self.policy.retry_window, ratio: self.policy.retry_ratio, slack }
    }

    pub(super) fn spend(&mut self, now: Time, pool: &str) -> bool {
        let terms = self.terms(now);
        self.budgets.entry(pool.to_owned()).or_default().try_spend(now, terms)
    }

    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival) {
        let pool = self.split(&arrival);
        let key = arrival.request;
        let request = Request::new(now, arrival, pool, None);
        self.requests.insert(key, request);
        if self.is_blocked(key) {
            return self.refuse_blocked(now, key);
        }
        if !self.submit(now, key)
            && let Some(request) = self.requests.remove(&key)
        {
            self.take_in(now, request.arrival, request.pool, None);
        }
    }

    /// Takes a request in that this daemon places.
    pub(super) fn take_in(
        &mut self,
        now: Time,
        arrival: Arrival,
        pool: String,
        origin: Option<Origin>,
    ) {
        self.sum_peer_load(now);
        let terms = self.terms(now);
        self.budgets.entry(pool.clone()).or_default().note_request(now, terms);
        if let Some(prompt) = &arrival.prompt {
            let isolated = arrival.workspace.as_ref().filter(|owner| owner.isolated);
            let owner = isolated.map_or("", |owner| owner.name.as_str());
            self.note_heat(now, owner, prompt);
        }
        let key = arrival.request;
        let returned = self.expected.is_retry(now, arrival.fingerprint);
        let request =
            Request { refused_before: returned, ..Request::new(now, arrival, pool, origin) };
        self.requests.insert(key, request);
        if self.is_blocked(key) {
            return self.refuse_blocked(now, key);
        }
        if self.let_in(now, key) {
            self.send_or_queue(now, key);
        }
    }

    /// The pool for a request, by the weights of its route's splits.
    pub(super) fn split(&mut self, arrival: &Arrival) -> String {
        let splits = &arrival.route.splits;
        let total: u32 = splits.iter().map(|split| split.weight).sum();
        let mut drawn = self.rng.u32(0..total.max(1));
        for split in splits {
            if drawn < split.weight {
                return split.pool.clone();
            }
            drawn -= split.weight;
        }
        String::new()
    }

    pub(super) fn try_send(&mut self, now: Time, key: Key) -> bool {
        self.refill_link(now);
        let Some(choice) = self.place(now, key) else { return false };
        if !self.pay(now, key) {
            return false;
        }
        self.dispatch(now, key, choice);
        true
    }

    /// Draws what a request owes to the retry budget; false where nothing is left of it now.
    fn pay(&mut self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let pool = request.pool.clone();
        if request.draws_on_retry_budget && !self.spend(now, &pool) {
            return false;
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.draws_on_retry_budget = false;
        }
        true
    }

    /// Idle connections to one server that this daemon may keep: its part of half of what the server
    /// accepts from all callers, since those at work count too.
    pub(super) fn most_idle(&self, key: Key) -> usize {
        let table = self.table.as_ref();
        let pool = self.requests.get(&key).and_then(|request| table?.pool(&request.pool));
        let accepted = pool.map_or(u32::MAX, |pool| pool.max_connections) as usize;
        (accepted / 2 / self.daemon_count()).clamp(1, MAX_IDLE)
    }

    pub(super) fn dispatch(&mut self, now: Time, key: Key, choice: Choice) {
        let most_idle = self.most_idle(key);
        self.count_run(now, key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(server) = self.servers.get_mut(choice.server) else { return };
        request.sends += 1;
        request.possible_runs += 1;
        request.tried.push(choice.server);
        request.weights_version = choice.weights;
        request.fetch_cost_ms =
            choice.from_store.then(|| choice.cost_ms - self.kv_link.delay_ms(now));
        request.phase = Phase::Sent {
            server: choice.server,
            prefill_tokens: choice.read_tokens,
            begun: false,
            sent_at: now,
        };
        server.running += 1;
        self.kv_link.spend(choice.moved_bytes);
        server.pending_tokens = server.pending_tokens.saturating_add(choice.read_tokens);
        let mut parts = Vec::new();
        if let Some(prompt) = &request.arrival.prompt {
            let salt = choice.salt.as_deref().unwrap_or_default();
            for part in shared_parts(&prompt.parts) {
                parts.push(salted_key(salt, part.id));
                server.residency.note_sent(now, salted_key(salt, part.id));
                if choice.save_to.is_some() {
                    self.kv_store.mark_in_transit(now, salt, part.id);
                }
            }
        }
        let dispatch = Dispatch {
            attempt: request.sends,
            server: server.entry.incarnation.id.clone(),
            address: server.entry.address,
            cache_salt: choice.salt.clone(),
            weights_version: choice.weights,
            fetch_from: choice.fetch_from,
            save_to: choice.save_to,
            priority: Self::priority(request).min(9),
            max_idle: most_idle,
        };
        self.log_sent(now, key, &choice);
        self.send_notice(now, choice.server, choice.read_tokens, parts);
        self.assign(key, dispatch, &choice);
    }

    /// Sends a request once more that provably did not run; `arrived` tells whether it reached its
    /// server, which counts against the budget. Where that is used up the request waits for it as it
    /// would for a server.
    pub(super) fn again(&mut self, now: Time, key: Key, arrived: bool, code: Code) {
        self.release(key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.draws_on_retry_budget |= arrived;
        if request.sends >= MAX_SENDS {
            return self.refuse(now, key, code);
        }
        self.send_or_queue(now, key);
    }

    /// Sends a request once more that may have run, where its route allows it and it is not likely to be
    /// what ended its server.
    pub(super) fn repeat(&mut self, now: Time, key: Key) {
        self.release(key);
        let harmless = !self.may_end_servers(now, key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        if request.may_repeat() && harmless {
            request.draws_on_retry_budget = true;
            return self.send_or_queue(now, key);
        }
        self.command(key, Command::GiveUp);
        self.forget(now, key);
    }

    /// Frees what a sent request holds at its server.
    pub(super) fn release(&mut self, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Phase::Sent { server, prefill_tokens, begun, .. } = request.phase else { return };
        request.phase = Phase::Waiting(Time::ZERO);
        if let Some(server) = self.servers.get_mut(server) {
            server.running = server.running.saturating_sub(1);
            if !begun {
                server.pending_tokens = server.pending_tokens.saturating_sub(prefill_tokens);
            }
        }
    }

    pub(super) fn forget(&mut self, now: Time, key: Key) {
        self.release(key);
        self.withdraw(key);
        self.give_back(now, key);
        self.quota_leadership.undecided.remove(&key);
        if let Some(request) = self.requests.remove(&key) {
            if let Some(origin) = &request.origin {
                self.served.remove(origin);
            }
            self.waiting.remove(&Position::of(key, &request));
            if !self.waiting.is_empty() {
                self.send_waiting(now);
            }
        }
    }
}
