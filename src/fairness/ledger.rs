//! The account of one pool: what each workspace has been given, and has waiting.

use super::Weight;
use crate::prelude::*;

/// Virtual start time of a request: microseconds of server time for each unit of weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start(pub u64);

/// The part of a pool's room that one request asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// The workspace; empty for requests without one.
    pub workspace: Arc<str>,
    /// Its weight.
    pub weight: Weight,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// Predicted milliseconds of server time.
    pub cost_ms: f64,
    /// Whether its caller comes back after a refusal.
    pub returns: bool,
}

/// What one workspace was given of a pool lately.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Milliseconds of server time a second, given to it.
    pub given_ms_per_s: f64,
    /// Milliseconds of server time that its waiting requests ask for.
    pub waiting_ms: f64,
}

/// The account of one pool.
#[derive(Debug, Default)]
pub struct Ledger {}

impl Ledger {
    /// Records that a request asks for room, and returns its virtual start time. A caller that
    /// comes back goes before the new requests of its workspace, within the workspace's share.
    pub fn join(&mut self, _now: Time, _claim: &Claim) -> Start {
        Start::default()
    }

    /// Records that a request that joined was sent to a server.
    pub fn begin(&mut self, _now: Time, _claim: &Claim, _start: Start) {}

    /// Records that a request that joined was refused or cancelled: its cost is given back.
    pub fn leave(&mut self, _now: Time, _claim: &Claim, _start: Start) {}

    /// Corrects what a request was charged by what it took.
    pub fn settle(&mut self, _now: Time, _claim: &Claim, _took_ms: f64) {}

    /// Milliseconds of server time that are served before a new request, if all that waits is
    /// served by fair shares.
    pub fn ahead_ms(&self, _claim: &Claim) -> f64 {
        0.0
    }

    /// Milliseconds of server time that wait.
    pub fn waiting_ms(&self) -> f64 {
        0.0
    }

    /// The workspaces that were given most lately, at most `count`.
    pub fn top(&self, _now: Time, _count: usize) -> Vec<Usage> {
        Vec::new()
    }

    /// Takes over what another daemon says it gave to workspaces of this pool, on becoming its
    /// scheduler: those who were given more than their share wait behind the others.
    pub fn adopt(&mut self, _now: Time, _given: &[Usage]) {}
}
