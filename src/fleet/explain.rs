//! Log events for the decisions on a request: the inputs of each decision, their age, and the outcome.

use super::patience::Shortage;
use super::place::Choice;
use super::pool::Pool;
use super::request::{Phase, Request};
use super::{Dependency, Dispatch, Handover, Key, Loss, Node, Refusal, Start, Topic, server};
use crate::prelude::*;

impl Loss {
    /// The reason of a failed attempt, for its log line.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Connection => "the connection ended before the answer was complete",
            Self::InvalidAnswer => "the response is no valid answer",
        }
    }
}

/// Adds whether a request takes a stream up, and the attempt that began the stream.
fn with_start(detail: Detail, request: &Request) -> Detail {
    match &request.arrival.start {
        Start::New => detail,
        Start::Resumed(first) => {
            detail.and("takes_up", true).and_some("first_attempt", first.as_deref())
        }
    }
}

impl Node {
    /// Starts the detail of each event on a request: the request and its route.
    fn request_detail(request: &Request) -> Detail {
        Detail::of("request", request.arrival.id.as_str())
            .and("route", request.arrival.route.name.as_str())
    }

    /// Starts the detail of an event on the request's newest attempt, with its server.
    fn attempt_detail(&self, request: &Request, server: server::Key) -> Detail {
        let id = self.servers.get(server).map_or("", |server| server.entry.incarnation.id.as_str());
        Self::request_detail(request).and("attempt", request.sends).and("server", id)
    }

    /// Adds the version of the configuration, and the time for which servers could not be read from
    /// the store.
    fn with_data_ages(&self, now: Time, detail: Detail) -> Detail {
        let table = self.table.as_ref().map_or(0, |table| table.version());
        let unread = self.unread_since.get(&Dependency::Topic(Topic::Servers));
        detail
            .and("table", table)
            .and_some("servers_unread_ms", unread.map(|since| now.saturating_sub(*since)))
    }

    pub(super) fn log_sent(&mut self, now: Time, key: Key, choice: &Choice) {
        self.counts.sent += 1;
        let Some(request) = self.requests.get(&key) else { return };
        let Some(server) = self.servers.get(choice.server) else { return };
        let load = self.load(choice.server, server);
        let detail = Self::request_detail(request)
            .and("attempt", request.sends)
            .and("retry", request.charge.name())
            .and("server", server.entry.incarnation.id.as_str())
            .and("software", server.entry.software.as_str())
            .and("address", server.entry.address)
            .and("fingerprint", request.arrival.fingerprint.to_string())
            .and("cost_ms", choice.cost_ms.round())
            .and("read_tokens", choice.read_tokens)
            .and("held_tokens", choice.held_tokens)
            .and("fetched_tokens", choice.fetched_tokens)
            .and_some("events_ms_ago", server.residency.age(now))
            .and("running", load.running)
            .and("running_here", server.running)
            .and_some("told_ms_ago", load.reported_at().map(|at| now.saturating_sub(at)))
            .and_some("weights", choice.weights)
            .and_some("overtaken_ms", self.overtaken(now, request, choice.weights))
            .and("home", choice.is_home)
            .and_some("fetch_from", choice.fetch_from)
            .and("save", choice.save_to.is_some());
        let detail = with_start(detail, request);
        let detail = self.with_data_ages(now, detail);
        self.event(Event::AttemptSent, detail);
    }

    /// Logs the placement of a request by a scheduler.
    pub(super) fn log_assigned(&mut self, now: Time, key: Key, dispatch: &Dispatch) {
        let Some(request) = self.requests.get(&key) else { return };
        let server = request.tried.last().and_then(|server| self.servers.get(*server));
        let detail = Self::request_detail(request)
            .and("attempt", dispatch.attempt)
            .and("scheduler", request.scheduler.as_str())
            .and("server", dispatch.server.as_str())
            .and_some("software", server.map(|server| server.entry.software.as_str()))
            .and("address", dispatch.address)
            .and("fingerprint", request.arrival.fingerprint.to_string())
            .and_some("weights", dispatch.weights_version)
            .and_some("overtaken_ms", self.overtaken(now, request, dispatch.weights_version));
        let detail = with_start(detail, request);
        self.event(Event::AttemptSent, detail);
    }

    /// Time since newer weights than those chosen for the request were named, as far as this daemon
    /// knows.
    fn overtaken(&self, now: Time, request: &Request, weights: Option<u64>) -> Option<Duration> {
        let prompt = request.arrival.prompt.as_ref()?;
        self.superseded_for(now, &prompt.model, weights?)
    }

    /// Logs the begin of the answer to a request that was sent at time `at`.
    pub(super) fn log_begun(&mut self, now: Time, key: Key, at: Time) {
        let Some(request) = self.requests.get(&key) else { return };
        if request.origin.is_some() {
            // The daemon that received the request logs this.
            return;
        }
        let waited = now.saturating_sub(at);
        let detail = Detail::of("request", request.arrival.id.as_str()).and("waited_ms", waited);
        self.event(Event::AnswerBegun, detail);
    }

    /// Logs that a request takes a stream up, how the version that began the stream was found, and what this daemon knows
    /// of the versions itself.
    pub(super) fn log_taken_up(&mut self, now: Time, key: Key, version: &'static str) {
        let Some(request) = self.requests.get(&key) else { return };
        let detail = with_start(Self::request_detail(request), request)
            .and("version", version)
            .and("watched_ms", self.watched_time(now))
            .and_some("view_age_ms", self.view_age(now));
        self.event(Event::StreamTakenUp, detail);
    }

    /// Adds the request's workspace with the work ahead of it under fair shares, the pace of the
    /// pool, and why it cannot be sent, while the room of the pool is divided.
    fn with_share(&self, now: Time, detail: Detail, key: Key, request: &Request) -> Detail {
        let Some(stake) = &request.stake else { return detail };
        let ledger = self.ledgers.get(&request.pool);
        let ahead_ms = ledger.map_or(0.0, |ledger| ledger.ahead_ms(&stake.claim));
        detail
            .and("workspace", stake.claim.workspace.as_ref())
            .and("ahead_ms", ahead_ms.round())
            .and("pace_ms_per_s", self.pace_ms_per_s(now, &request.pool).round())
            .and("returns", request.refused_before)
            .and("late", request.is_late)
            .and_some("why", self.shortage(now, key).map(Shortage::name))
    }

    pub(super) fn log_waiting(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let servers = self.pools.get(&request.pool).map(Pool::keys).unwrap_or_default();
        let usable = servers.iter().filter_map(|key| self.servers.get(*key));
        let usable = usable.filter(|server| server.is_usable(now)).count();
        let detail = Self::request_detail(request)
            .and("waiting", self.waiting.len())
            .and("servers", servers.len())
            .and("usable", usable)
            .and("sends", request.sends);
        let detail = self.with_share(now, detail, key, request);
        let detail = self.with_data_ages(now, detail);
        self.event(Event::RequestWaits, detail);
    }

    pub(super) fn log_refused(&mut self, now: Time, key: Key, code: Code, after: Duration) {
        *self.refusals.entry(code).or_default() += 1;
        let Some(request) = self.requests.get(&key) else { return };
        let waited = match request.phase {
            Phase::Waiting(since) => now.saturating_sub(since),
            Phase::LookingUp(search) => now.saturating_sub(search.since),
            Phase::Submitted(_) | Phase::Sent { .. } | Phase::HandedOver => Duration::ZERO,
        };
        let detail = Self::request_detail(request)
            .and("code", u32::from(code.row().number))
            .and("fingerprint", request.arrival.fingerprint.to_string())
            .and("sends", request.sends)
            .and("runs", request.possible_runs)
            .and("waited_ms", waited)
            .and("waiting", self.waiting.len())
            .and("retry_after_ms", after);
        let detail = match code {
            Code::NoServer => self.with_share(now, detail, key, request),
            _ => detail,
        };
        let detail = self.with_data_ages(now, detail);
        self.event(Event::RequestRefused, detail);
    }

    /// Logs a failed attempt, and whether its request may be repeated.
    pub(super) fn log_failed(&mut self, key: Key, server: server::Key, reason: &str) {
        let Some(request) = self.requests.get(&key) else { return };
        let detail = self
            .attempt_detail(request, server)
            .and("fingerprint", request.arrival.fingerprint.to_string())
            .and("reason", reason)
            .and("runs", request.possible_runs)
            .and("may_repeat", request.may_repeat());
        self.event(Event::AttemptFailed, detail);
    }

    pub(super) fn log_declined(&mut self, key: Key, server: server::Key, refused: Refusal) {
        let Some(request) = self.requests.get(&key) else { return };
        let (reason, weights) = match refused {
            Refusal::Busy => ("the server is full, draining or loading weights", None),
            Refusal::Replaced => ("another server has the address", None),
            Refusal::WrongWeights(version) => {
                ("the server has weights of another version", version)
            }
        };
        let detail =
            self.attempt_detail(request, server).and("reason", reason).and_some("weights", weights);
        self.event(Event::AttemptRefused, detail);
    }

    pub(super) fn log_handed_over(&mut self, key: Key, handover: &Handover) {
        let Some(request) = self.requests.get(&key) else { return };
        let detail = Self::request_detail(request)
            .and("attempt", handover.attempt)
            .and("daemon", handover.daemon.as_str())
            .and("address", handover.address)
            .and("fingerprint", request.arrival.fingerprint.to_string());
        self.event(Event::RequestHandedOver, detail);
    }

    /// Logs the withdrawal of a sent request; `event` gives the reason.
    pub(super) fn log_withdrawn(&mut self, event: Event, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let Phase::Sent { server, sent_at: at, .. } = request.phase else { return };
        let detail = self
            .attempt_detail(request, server)
            .and("sent_ms_ago", now.saturating_sub(at))
            .and_some("weights", request.weights_version);
        self.event(event, detail);
    }
}
