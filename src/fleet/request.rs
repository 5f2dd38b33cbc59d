//! The state of one request and its attempts.

use super::claim::Stake;
use super::residency::StoreFetch;
use super::retry::Charge;
use super::scheduling::{Origin, Stage};
use super::speed::Prediction;
use super::streams::Search;
use super::{Arrival, Software, Start, StreamId, server};
use crate::fairness;
use crate::prelude::*;
use crate::route::Repeat;

/// The phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The request has waited for a server since this time.
    Waiting(Time),
    /// A scheduler places the request.
    Submitted(Stage),
    /// The version that began its stream is looked up.
    LookingUp(Search),
    /// The request was sent to a server.
    Sent { server: server::Key, prefill_tokens: u32, begun: bool, sent_at: Time },
    /// A peer serves the request.
    HandedOver,
}

/// One request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) pool: String,
    pub(super) phase: Phase,
    /// Number of sends so far.
    pub(super) sends: u32,
    /// Number of sends that a server may have run.
    pub(super) possible_runs: u32,
    /// Runs that this daemon has charged to the workspace's quota.
    pub(super) charged_runs: u32,
    /// Time until which it waits for a daemon that can admit it, if this daemon could not decide.
    pub(super) admission_deadline: Option<Time>,
    /// The weights version to which it was last sent.
    pub(super) weights_version: Option<u64>,
    /// Its fetch from a KV store, if it was sent with one.
    pub(super) store_fetch: Option<StoreFetch>,
    /// What its server was predicted to take for the newest attempt.
    pub(super) prediction: Option<Prediction>,
    /// Whether it may use all slots of a server, since it would be refused otherwise.
    pub(super) may_fill_server: bool,
    /// The version that began its stream, at which alone it may go on.
    pub(super) software: Option<Software>,
    /// The versions to which it was sent, by attempt.
    pub(super) sent_software: Vec<(u32, Software)>,
    /// Servers to which it was sent.
    pub(super) tried: Vec<server::Key>,
    /// Whether its next send is charged to the retry budget.
    pub(super) draws_on_retry_budget: bool,
    /// Whether a server has refused it.
    pub(super) was_refused_by_server: bool,
    /// How its last attempt counts for the retry budget.
    pub(super) charge: Charge,
    /// Whether its caller retries a recently refused request.
    pub(super) refused_before: bool,
    /// When its caller first asked, as far as this daemon knows.
    pub(super) asked_at: Time,
    /// Whether it waits although it can no longer be answered in time.
    pub(super) is_late: bool,
    /// Its entry in the ledger of its pool, while the room of that is divided.
    pub(super) stake: Option<Stake>,
    /// Its virtual start time, while the room of its pool is divided among workspaces.
    pub(super) start: fairness::Start,
    /// The daemon that submitted it, unless it is this daemon's own.
    pub(super) origin: Option<Origin>,
    /// The daemon to which it was submitted; empty if this daemon decides.
    pub(super) scheduler: String,
    /// Number of schedulers to which it was submitted so far.
    pub(super) submissions: u8,
    /// Peers to which it was offered because this daemon reaches no server.
    pub(super) offered_to: Vec<String>,
}

impl Request {
    /// Creates a request that has just arrived.
    pub(super) fn new(now: Time, arrival: Arrival, pool: String, origin: Option<Origin>) -> Self {
        Self {
            arrival,
            pool,
            phase: Phase::Waiting(now),
            sends: 0,
            possible_runs: 0,
            charged_runs: 0,
            admission_deadline: None,
            weights_version: None,
            store_fetch: None,
            prediction: None,
            may_fill_server: false,
            software: None,
            sent_software: Vec::new(),
            tried: Vec::new(),
            draws_on_retry_budget: false,
            was_refused_by_server: false,
            charge: Charge::First,
            refused_before: false,
            asked_at: now,
            is_late: false,
            stake: None,
            start: fairness::Start::default(),
            origin,
            scheduler: String::new(),
            submissions: 0,
            offered_to: Vec::new(),
        }
    }

    /// Returns the code with which it is refused for the reason of `code`. The daemon that handed a request over would
    /// take some codes for a request that has reached no server, and offer it to another peer.
    pub(super) fn refusal_code(&self, code: Code) -> Code {
        let is_known_there = self.arrival.is_handed_over && self.was_refused_by_server;
        if is_known_there { Code::NoServer } else { code }
    }

    /// Returns the stream that it begins or takes up; `None` for other requests. A stream that its caller does not name
    /// is identified by this request, and so is bound nowhere.
    pub(super) fn stream(&self) -> Option<StreamId> {
        let arrival = &self.arrival;
        let workspace = arrival.workspace.as_ref().map_or("", |owner| owner.name.as_str());
        match &arrival.start {
            _ if !arrival.route.is_streaming => None,
            Start::New => Some(StreamId::of(workspace, &arrival.id)),
            Start::Resumed(first) => {
                Some(StreamId::of(workspace, first.as_deref().unwrap_or(&arrival.id)))
            }
        }
    }

    /// Returns the version to which an attempt was sent.
    pub(super) fn software_of(&self, attempt: u32) -> Option<Software> {
        let sent = self.sent_software.iter().find(|(number, _)| *number == attempt);
        sent.map(|(_, software)| *software)
    }

    /// Returns whether it may be resent although a server may have run it.
    pub(super) fn may_repeat(&self) -> bool {
        let route = &self.arrival.route;
        route.repeat != Repeat::AtMostOnce && self.possible_runs < route.max_attempts
    }

    /// Returns whether it is queued at a scheduler or waits for its verdict.
    pub(super) fn is_awaiting_scheduler(&self) -> bool {
        matches!(self.phase, Phase::Submitted(Stage::AwaitingVerdict(_) | Stage::Queued))
    }

    /// Returns whether it waits for the version that began its stream.
    pub(super) fn is_looking_up(&self) -> bool {
        matches!(self.phase, Phase::LookingUp(_))
    }

    /// Returns whether it was sent and its answer has not begun.
    pub(super) fn is_unanswered(&self) -> bool {
        let sent = matches!(
            self.phase,
            Phase::Sent { .. } | Phase::HandedOver | Phase::Submitted(Stage::Placed(_))
        );
        sent && !self.has_begun()
    }

    /// Returns whether its answer has begun.
    pub(super) fn has_begun(&self) -> bool {
        match self.phase {
            Phase::Sent { begun, .. } => begun,
            Phase::Submitted(Stage::Placed(placed)) => placed.has_begun(),
            Phase::Submitted(Stage::AwaitingVerdict(_) | Stage::Queued)
            | Phase::Waiting(_)
            | Phase::LookingUp(_)
            | Phase::HandedOver => false,
        }
    }
}
