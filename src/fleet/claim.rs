//! What each request claims of its pool's room, in the pool's ledger of fair shares.
//!
//! A request joins the ledger when it is to be placed, is charged when it is first sent, and leaves
//! with what it took. See [`crate::fairness`].

use super::patience::Verdict;
use super::prompt::{PREFILL_TOKENS_PER_MS, unshared_ms};
use super::request::{Phase, Request};
use super::{Key, Node};
use crate::fairness::{Claim, Weight};
use crate::prelude::*;

/// Milliseconds of an engine's step that one token of an answer takes up: a step of some
/// milliseconds makes a token for each of the requests that run.
const STEP_SHARE_MS: f64 = 0.2;

/// The entry of a request in the ledger of its pool.
#[derive(Debug, Clone)]
pub(super) struct Stake {
    pub(super) claim: Claim,
    standing: Standing,
}

/// The standing of a request in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It waits, and is counted.
    Joined,
    /// It is late: it waits behind all others, and is not counted.
    Left,
    /// It was sent and is charged.
    Charged,
}

impl Stake {
    /// Virtual time that one such request takes.
    pub(super) fn virtual_cost(&self) -> u64 {
        (self.claim.cost_ms * 1_000.0 / self.claim.weight.value()) as u64
    }
}

impl Node {
    /// Whether the room of pools is divided among workspaces.
    pub(super) fn divides_room(&self) -> bool {
        let has_quotas = self.table.as_ref().is_some_and(|table| table.has_quotas());
        self.policy.fair_shares.is_on(has_quotas)
    }

    /// Enters a request in the ledger of its pool, once, while room is divided.
    pub(super) fn join_ledger(&mut self, now: Time, key: Key) {
        if !self.divides_room() {
            return;
        }
        let Some(request) = self.requests.get(&key) else { return };
        if request.stake.is_some() {
            return;
        }
        let is_late = self.times_from(now, request).order(now) == Verdict::WaitBehind;
        let claim = self.claim_of(request, is_late);
        let start = self.ledgers.entry(request.pool.clone()).or_default().join(now, &claim);
        if let Some(request) = self.requests.get_mut(&key) {
            request.start = start;
            request.is_late = is_late;
            request.stake = Some(Stake { claim, standing: Standing::Joined });
        }
    }

    /// Charges a request that is sent. One that is sent again was charged before.
    pub(super) fn charge_ledger(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(stake) = request.stake.as_mut() else { return };
        self.drains.entry(request.pool.clone()).or_default().note_work(now, stake.claim.cost_ms);
        let ledger = self.ledgers.entry(request.pool.clone()).or_default();
        let start = match stake.standing {
            Standing::Joined => request.start,
            Standing::Left => ledger.join(now, &stake.claim),
            Standing::Charged => return,
        };
        stake.standing = Standing::Charged;
        ledger.begin(now, &stake.claim, start);
    }

    /// Takes a request that becomes late out of what waits. It keeps its start among the late ones.
    pub(super) fn suspend_claim(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(stake) = request.stake.as_mut() else { return };
        if stake.standing != Standing::Joined {
            return;
        }
        stake.standing = Standing::Left;
        if let Some(ledger) = self.ledgers.get_mut(&request.pool) {
            ledger.leave(now, &stake.claim, request.start);
        }
    }

    /// Takes a request that ends out of the ledger: gives its cost back if it was never sent, and
    /// otherwise corrects what it was charged by what it took.
    pub(super) fn leave_ledger(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get_mut(&key) else { return };
        let Some(stake) = request.stake.take() else { return };
        let Some(request) = self.requests.get(&key) else { return };
        let took_ms = self.took_ms(now, request, &stake);
        let start = request.start;
        let Some(ledger) = self.ledgers.get_mut(&request.pool) else { return };
        match stake.standing {
            Standing::Joined => ledger.leave(now, &stake.claim, start),
            Standing::Left => {}
            Standing::Charged => ledger.settle(now, &stake.claim, took_ms),
        }
    }

    fn claim_of(&self, request: &Request, is_late: bool) -> Claim {
        let workspace = request.arrival.workspace.as_ref().map_or("", |owner| owner.name.as_str());
        let weight = self.table.as_ref().map(|table| table.weight(workspace));
        Claim {
            workspace: Arc::from(workspace),
            weight: weight.unwrap_or(Weight::ONE),
            priority: Self::priority(request),
            cost_ms: self.server_ms(request),
            returns: request.refused_before && !is_late,
        }
    }

    /// Predicted milliseconds that a request takes of a server: of one slot of a plain server, or
    /// of a whole engine, if that holds the shared parts of its prompt.
    pub(super) fn server_ms(&self, request: &Request) -> f64 {
        match &request.arrival.prompt {
            None => self.pool_plain_ms(&request.pool),
            Some(prompt) => {
                let answer_ms = f64::from(prompt.output) * STEP_SHARE_MS;
                (unshared_ms(prompt) + answer_ms) * self.pool_slowness(&request.pool)
            }
        }
    }

    /// Milliseconds that a request took of its last server: what that had to read and to answer,
    /// or the time at a slot of a plain server.
    fn took_ms(&self, now: Time, request: &Request, stake: &Stake) -> f64 {
        let Phase::Sent { prefill_tokens, sent_at, .. } = request.phase else {
            return if request.possible_runs > 0 { stake.claim.cost_ms } else { 0.0 };
        };
        match &request.arrival.prompt {
            None => now.saturating_sub(sent_at).as_secs_f64() * 1_000.0,
            Some(prompt) => {
                let read_ms = f64::from(prefill_tokens) / PREFILL_TOKENS_PER_MS;
                let answer_ms = f64::from(prompt.output) * STEP_SHARE_MS;
                (read_ms + answer_ms) * self.pool_slowness(&request.pool)
            }
        }
    }
}
