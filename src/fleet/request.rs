//! One request: where it stands, and what was tried.

use super::scheduling::{Origin, Stage};
use super::{Arrival, server};
use crate::prelude::*;
use crate::route::Repeat;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// It waits for a server since this time.
    Waiting(Time),
    /// A scheduler looks for a server for it.
    Submitted(Stage),
    /// It was sent.
    Sent { server: server::Key, prefill_tokens: u32, begun: bool, sent_at: Time },
}

/// One request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) pool: String,
    pub(super) phase: Phase,
    /// Sends so far.
    pub(super) sends: u32,
    /// Servers that may have run it.
    pub(super) possible_runs: u32,
    /// Runs that this daemon has counted against its workspace's quota.
    pub(super) charged_runs: u32,
    /// Until when it waits for a daemon that may let it in, where this one could not know.
    pub(super) admission_deadline: Option<Time>,
    /// The weights that it was last sent to.
    pub(super) weights_version: Option<u64>,
    /// Milliseconds to its first token that were predicted, without the queue of the KV store's link,
    /// where it fetches from there.
    pub(super) fetch_cost_ms: Option<f64>,
    /// Servers that it was sent to.
    pub(super) tried: Vec<server::Key>,
    /// Whether its next send draws on the retry budget.
    pub(super) draws_on_retry_budget: bool,
    /// Whether its caller was refused lately and has come back.
    pub(super) refused_before: bool,
    /// Whose it is, where another daemon submitted it.
    pub(super) origin: Option<Origin>,
    /// The daemon that it was submitted to; none where this one decides.
    pub(super) scheduler: String,
    /// Schedulers that it was submitted to so far.
    pub(super) submissions: u8,
}

impl Request {
    /// A request that has just come.
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
            fetch_cost_ms: None,
            tried: Vec::new(),
            draws_on_retry_budget: false,
            refused_before: false,
            origin,
            scheduler: String::new(),
            submissions: 0,
        }
    }

    /// Whether it may be sent once more although a server may have run it.
    pub(super) fn may_repeat(&self) -> bool {
        let route = &self.arrival.route;
        route.repeat != Repeat::AtMostOnce && self.possible_runs < route.attempts
    }

    /// Whether it waits for a scheduler's word or at a scheduler.
    pub(super) fn is_awaiting_scheduler(&self) -> bool {
        matches!(self.phase, Phase::Submitted(Stage::AwaitingVerdict(_) | Stage::Queued))
    }

    /// Whether it was sent and its answer has not begun.
    pub(super) fn is_unanswered(&self) -> bool {
        let sent = matches!(self.phase, Phase::Sent { .. } | Phase::Submitted(Stage::Placed(_)));
        sent && !self.has_begun()
    }

    /// Whether its answer has begun.
    pub(super) fn has_begun(&self) -> bool {
        match self.phase {
            Phase::Sent { begun, .. } => begun,
            Phase::Submitted(Stage::Placed(placed)) => placed.has_begun(),
            Phase::Submitted(Stage::AwaitingVerdict(_) | Stage::Queued) | Phase::Waiting(_) => {
                false
            }
        }
    }
}
