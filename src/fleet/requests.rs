//! The states of a request: it arrives, waits, and is sent, retried, refused or given up.

use super::place::Choice;
use super::prompt::{salted_key, shared_parts};
use super::request::{Phase, Request};
use super::residency::StoreFetch;
use super::retry::{Charge, Terms};
use super::{Arrival, Budget, Command, Dispatch, Key, Node, Topic};
use crate::prelude::*;

/// Maximum sends of one request, including those that were refused or never left.
const MAX_SENDS_PER_REQUEST: u32 = 6;
/// Maximum idle connections of a daemon to one server: about the requests that it has in flight there
/// at its share of the load.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Share of the fixed number of retries that each of the three schedulers may use.
const SCHEDULER_SLACK_SHARE: f64 = 0.25;
/// Share of the fixed number of retries that all other daemons may use together.
const OTHERS_SLACK_SHARE: f64 = 0.25;

impl Node {
    /// This daemon's share of the retry budget. A daemon without digests from most of the others counts as
    /// no scheduler, since any number of such daemons may regard themselves as one.
    pub(super) fn retry_terms(&self, now: Time) -> Terms {
        if self.is_scheduler(now) && self.hears_most() && !self.has_just_started(now) {
            return self.retry_terms_with(SCHEDULER_SLACK_SHARE);
        }
        self.retry_terms_of_others()
    }

    /// The share of the retry budget of a daemon that is no scheduler. Without the daemons' registrations,
    /// the number that share the fixed part is unknown, and the share of that is 0.
    fn retry_terms_of_others(&self) -> Terms {
        match self.known_topics.contains(&Topic::Routers) {
            true => self.retry_terms_with(OTHERS_SLACK_SHARE / self.daemon_count() as f64),
            false => self.retry_terms_with(0.0),
        }
    }

    fn retry_terms_with(&self, slack_share: f64) -> Terms {
        let slack = self.policy.retry_slack * slack_share;
        Terms { window: self.policy.retry_window, ratio: self.policy.retry_ratio, slack }
    }

    /// The retry budget of a pool, with the current share.
    fn retry_budget(&mut self, now: Time, pool: &str) -> (&mut Budget, Terms) {
        let (terms, initial) = (self.retry_terms(now), self.retry_terms_of_others());
        let new = || Budget::new(now, initial);
        (self.budgets.entry(pool.to_owned()).or_insert_with(new), terms)
    }

    /// Adds to the retry budgets of all pools what their fixed number brings.
    pub(super) fn fill_retry_budgets(&mut self, now: Time) {
        let pools: Vec<String> = self.pools.keys().cloned().collect();
        for pool in pools {
            let (budget, terms) = self.retry_budget(now, &pool);
            budget.fill(now, terms);
        }
    }

    pub(super) fn spend_retry(&mut self, now: Time, pool: &str) -> bool {
        let (budget, terms) = self.retry_budget(now, pool);
        budget.try_spend(now, terms)
    }

    pub(super) fn arrive(&mut self, now: Time, arrival: Arrival) {
        let pool = self.choose_pool(&arrival);
        let (key, is_handed_over) = (arrival.request, arrival.is_handed_over);
        let request = Request::new(now, arrival, pool, None);
        self.requests.insert(key, request);
        if self.refuses_arrivals {
            return self.refuse(now, key, Code::Draining);
        }
        if self.is_blocked(key) {
            return self.refuse_blocked(now, key);
        }
        if is_handed_over {
            if !self.may_take_over() {
                return self.refuse(now, key, Code::HandoverRefused);
            }
            self.note_taken_over(key);
        }
        if !self.leave_if_cut_off(now, key) && !self.look_up_stream(now, key) {
            self.begin_placement(now, key);
        }
    }

    /// Has a new request placed by its scheduler, or by this daemon.
    pub(super) fn begin_placement(&mut self, now: Time, key: Key) {
        if !self.submit(now, key)
            && let Some(request) = self.requests.remove(&key)
        {
            // The daemon that handed a request over may have had it counted.
            if !request.arrival.is_handed_over {
                self.count_request(now, &request.pool);
            }
            self.accept(now, request);
        }
    }

    /// Accepts a request that this daemon places itself.
    pub(super) fn accept(&mut self, now: Time, mut request: Request) {
        self.sum_peer_load(now);
        let arrival = &request.arrival;
        if let Some(prompt) = &arrival.prompt {
            let owner = self.isolated_owner(arrival).unwrap_or_default();
            self.note_heat(now, owner, prompt);
        }
        let key = arrival.request;
        let asked_at = self.expected.asked_at(now, arrival.fingerprint);
        request.refused_before = asked_at.is_some();
        request.asked_at = asked_at.unwrap_or(request.asked_at);
        self.requests.insert(key, request);
        if self.is_blocked(key) {
            return self.refuse_blocked(now, key);
        }
        if self.charge_quota(now, key) {
            self.send_or_queue(now, key);
        }
    }

    /// Counts a new request for the retry budget of its pool.
    pub(super) fn count_request(&mut self, now: Time, pool: &str) {
        let (budget, terms) = self.retry_budget(now, pool);
        budget.note_request(now, terms);
    }

    /// Draws the pool for a request by the weights of its route's splits.
    pub(super) fn choose_pool(&mut self, arrival: &Arrival) -> String {
        let splits = &arrival.route.splits;
        let total = splits.iter().map(|split| split.weight).fold(0, u32::saturating_add);
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
        self.refill_links(now);
        let Some(choice) = self.place(now, key) else {
            self.reserve_if_suspect(now, key);
            return false;
        };
        if !self.charge_retry(now, key) {
            return false;
        }
        self.dispatch(now, key, choice);
        true
    }

    /// Charges the retry budget if the request is a retry; returns false if the budget is exhausted.
    fn charge_retry(&mut self, now: Time, key: Key) -> bool {
        let Some(request) = self.requests.get(&key) else { return false };
        let pool = request.pool.clone();
        let charge = match (request.draws_on_retry_budget, request.sends) {
            (true, _) => Charge::Charged,
            (false, 0) => Charge::First,
            (false, _) => Charge::Free,
        };
        if charge == Charge::Charged && !self.spend_retry(now, &pool) {
            return false;
        }
        if let Some(request) = self.requests.get_mut(&key) {
            request.draws_on_retry_budget = false;
            request.charge = charge;
        }
        true
    }

    /// Maximum idle connections of this daemon to one server: its share of half of the connections that
    /// the server accepts from all callers, since busy connections count too.
    pub(super) fn max_idle_connections(&self, key: Key) -> usize {
        let table = self.table.as_ref();
        let pool = self.requests.get(&key).and_then(|request| table?.pool(&request.pool));
        let accepted = pool.map_or(u32::MAX, |pool| pool.max_connections) as usize;
        (accepted / 2 / self.daemon_count()).clamp(1, MAX_IDLE_CONNECTIONS)
    }

    pub(super) fn dispatch(&mut self, now: Time, key: Key, choice: Choice) {
        let most_idle = self.max_idle_connections(key);
        self.begin_isolated_run(now, key, choice.server);
        self.note_possible_reject(now, key, choice.server);
        self.charge_request_limit(now, choice.server);
        self.charge_run(now, key);
        self.note_prediction(now, key, &choice);
        self.charge_ledger(now, key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(server) = self.servers.get_mut(choice.server) else { return };
        request.sends += 1;
        request.possible_runs += 1;
        request.tried.push(choice.server);
        request.sent_software.push((request.sends, server.software));
        request.weights_version = choice.weights;
        let store = choice.store.and_then(|address| self.stores.get(address));
        let delay_ms = store.map_or(0.0, |store| store.link.delay_ms(now));
        request.store_fetch = choice
            .store
            .filter(|_| choice.from_store)
            .map(|store| StoreFetch { store, cost_ms: choice.cost_ms - delay_ms });
        request.phase = Phase::Sent {
            server: choice.server,
            prefill_tokens: choice.read_tokens,
            begun: false,
            sent_at: now,
        };
        if request.origin.is_none() {
            self.reach.note_sent(now, choice.server);
        }
        server.running += 1;
        let mut store = choice.store.and_then(|address| self.stores.get_mut(address));
        if let Some(store) = &mut store {
            store.link.spend(choice.moved_bytes);
        }
        server.pending_tokens = server.pending_tokens.saturating_add(choice.read_tokens);
        let mut parts = Vec::new();
        if let Some(prompt) = &request.arrival.prompt {
            let salt = choice.salt.as_deref().unwrap_or_default();
            for part in shared_parts(&prompt.parts) {
                parts.push(salted_key(salt, part.id));
                server.residency.note_sent(now, salted_key(salt, part.id));
                if let Some(store) = store.as_mut().filter(|_| choice.save_to.is_some()) {
                    store.mark_in_transit(now, salt, part.id);
                }
            }
        }
        let dispatch = Dispatch {
            attempt: request.sends,
            server: server.entry.incarnation.id.clone(),
            software: server.software,
            address: server.entry.address,
            cache_salt: choice.salt.clone(),
            weights_version: choice.weights,
            fetch_from: choice.fetch_from,
            save_to: choice.save_to,
            priority: Self::priority(request).min(9),
            max_idle: most_idle,
            has_limit: self.has_stated_request_limit(choice.server),
        };
        self.log_sent(now, key, &choice);
        self.send_notice(now, choice.server, choice.read_tokens, parts);
        self.assign(key, dispatch, &choice);
    }

    /// Retries a request that provably did not run. If it `arrived` at its server, the retry counts
    /// against the budget; the request waits for an exhausted budget as it would for a server.
    pub(super) fn retry_unexecuted(&mut self, now: Time, key: Key, arrived: bool, code: Code) {
        self.settle_possible_reject(key);
        self.release_slot(key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        request.draws_on_retry_budget |= arrived;
        request.was_refused_by_server |= arrived;
        if request.sends >= MAX_SENDS_PER_REQUEST {
            return self.refuse(now, key, code);
        }
        self.send_or_queue(now, key);
    }

    /// Retries a request that may have run, if its route allows that and the request is unlikely to
    /// have crashed its server; otherwise gives it up.
    pub(super) fn retry_or_give_up(&mut self, now: Time, key: Key) {
        let harmless = !self.may_crash_servers(now, key);
        self.release_slot(key);
        let Some(request) = self.requests.get_mut(&key) else { return };
        if request.may_repeat() && harmless {
            request.draws_on_retry_budget = true;
            return self.send_or_queue(now, key);
        }
        let (fingerprint, asked_at) = (request.arrival.fingerprint, request.asked_at);
        self.expected.record(now, fingerprint, asked_at);
        self.command(key, Command::GiveUp);
        self.remove_request(now, key);
    }

    /// Frees the capacity that a sent request uses at its server.
    pub(super) fn release_slot(&mut self, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Phase::Sent { server, prefill_tokens, begun, .. } = request.phase else { return };
        request.phase = Phase::Waiting(Time::ZERO);
        self.isolation.end(&request.pool, server, request.arrival.fingerprint);
        if let Some(server) = self.servers.get_mut(server) {
            server.running = server.running.saturating_sub(1);
            if !begun {
                server.pending_tokens = server.pending_tokens.saturating_sub(prefill_tokens);
            }
        }
    }

    /// Takes a request out of the queue of waiting ones.
    pub(super) fn leave_queue(&mut self, now: Time, key: Key) {
        if let Some(request) = self.requests.get(&key) {
            self.waiting.remove(key, request);
        }
        self.leave_ledger(now, key);
    }

    pub(super) fn remove_request(&mut self, now: Time, key: Key) {
        self.leave_queue(now, key);
        self.release_slot(key);
        self.end_handover(key);
        self.withdraw(key);
        self.refund_quota(now, key);
        self.quota_leadership.undecided.remove(&key);
        if let Some(request) = self.requests.remove(&key) {
            if let Some(origin) = &request.origin {
                self.served.remove(origin);
            }
            if !self.waiting.is_empty() {
                self.send_waiting(now);
            }
        }
    }
}
