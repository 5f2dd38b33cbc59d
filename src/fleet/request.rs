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
    Sent { server: server::Key, tokens: u32, begun: bool, at: Time },
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
    pub(super) runs: u32,
    /// Runs that this daemon has counted against its workspace's quota.
    pub(super) counted: u32,
    /// Until when it waits for a daemon that may let it in, where this one could not know.
    pub(super) undecided_until: Option<Time>,
    /// The weights that it was last sent to.
    pub(super) weights: Option<u64>,
    /// Milliseconds to its first token that were predicted, without the queue of the KV store's link,
    /// where it fetches from there.
    pub(super) fetch_cost_ms: Option<f64>,
    /// Servers that it was sent to.
    pub(super) tried: Vec<server::Key>,
    /// Whether its next send draws on the retry budget.
    pub(super) owes: bool,
    /// Whether its caller was refused lately and has come back.
    pub(super) returned: bool,
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
            runs: 0,
            counted: 0,
            undecided_until: None,
            weights: None,
            fetch_cost_ms: None,
            tried: Vec::new(),
            owes: false,
            returned: false,
            origin,
            scheduler: String::new(),
            submissions: 0,
        }
    }

    /// Whether it may be sent once more although a server may have run it.
    pub(super) fn may_repeat(&self) -> bool {
        let route = &self.arrival.route;
        route.repeat != Repeat::AtMostOnce && self.runs < route.attempts
    }

    /// Whether it waits for a scheduler's word or at a scheduler.
    pub(super) fn is_awaiting_scheduler(&self) -> bool {
        matches!(self.phase, Phase::Submitted(Stage::Asked(_) | Stage::Queued))
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
            Phase::Submitted(Stage::Asked(_) | Stage::Queued) | Phase::Waiting(_) => false,
        }
    }
}
