//! Requests with an idempotency key: claimed on the log before they run, or answered from the ledger.

use super::{Node, Stream};
use crate::attempt::{self, Command, Phase, Refusal};
use crate::ledger::{self, Resolution, Status};
use crate::prelude::*;

impl Node {
    /// Answers a keyed request from the ledger, or claims its key.
    pub(super) fn claim(&mut self, now: Time, request: attempt::Key, proposal: &ledger::Proposal) {
        if self.ledger.get(&proposal.key).is_some() {
            return self.answer_from_ledger(now, request);
        }
        let reading = self.readings.get(&Stream::Ledger).copied().unwrap_or_default();
        if !reading.up {
            return self.refuse(now, request, Code::LogUnavailable);
        }
        if reading.tail_at_start.is_none_or(|tail| self.ledger.next() < tail) {
            return self.refuse(now, request, Code::LedgerBehind);
        }
        if reading.retention_s < proposal.window_s {
            let detail = format!(
                "the log keeps records for {} s, the window is {} s",
                reading.retention_s, proposal.window_s
            );
            return self.refuse(now, request, Error::new(Code::LogUnavailable, detail));
        }
        let id = self.pending.claim(request, proposal);
        self.claims.insert(request, id);
    }

    /// Answers a keyed request from the ledger's entry for its key.
    fn answer_from_ledger(&mut self, now: Time, request: attempt::Key) {
        let Some(proposal) = self.requests.get(&request).and_then(|r| r.arrival.claim.clone())
        else {
            return;
        };
        let Some(slot) = self.ledger.get(&proposal.key) else {
            return;
        };
        if slot.digest != proposal.digest {
            return self.refuse(now, request, Code::KeyReused);
        }
        let status = match self.pending.receipt(&proposal.key) {
            Some(receipt) => Status::Done(receipt.clone()),
            None => slot.status.clone(),
        };
        match &status {
            Status::Done(receipt) if receipt.body.is_some() => {
                let receipt = receipt.clone();
                self.counts.finished += 1;
                self.command(request, Command::Replay(receipt));
                self.forget(now, request);
            }
            Status::Done(_) => self.refuse(now, request, Code::ReceiptNotKept),
            Status::Lost => self.refuse(now, request, Code::KeyOutcomeUnknown),
            Status::Claimed => {
                let claimant = slot.claim.clone();
                let running = self.is_claimant_running(now, &claimant);
                let code = if running { Code::KeyInProgress } else { Code::KeyOutcomeUnknown };
                self.refuse(now, request, code);
            }
        }
    }

    /// Whether the daemon incarnation that made the claim is believed to run. One without a live digest
    /// counts as ended once this daemon has been listening for the lifetime of a digest.
    fn is_claimant_running(&self, now: Time, claim: &ledger::ClaimId) -> bool {
        if claim.daemon == self.identity.id {
            return self.pending.is_own(claim);
        }
        let digest = self.live_peers(now).find(|digest| digest.daemon == claim.daemon);
        match digest {
            Some(digest) => digest.incarnation == claim.incarnation,
            None => now < self.listening_since + self.policy.digest_lifetime,
        }
    }

    pub(super) fn apply_ledger_steps(&mut self, now: Time, resolutions: Vec<Resolution>) {
        for resolution in resolutions {
            match resolution {
                Resolution::Won(request) => self.claim_won(now, request),
                Resolution::Lost(request) => self.answer_from_ledger(now, request),
                Resolution::Unclaimed(request) => self.refuse(now, request, Code::LogUnavailable),
                Resolution::Released => self.event(Event::ClaimReleased, Detail::none()),
            }
        }
    }

    fn claim_won(&mut self, now: Time, request: attempt::Key) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.phase = Phase::Waiting;
        self.admit(now, request);
    }

    /// Refuses a request and releases its claim, unless an attempt may have run.
    pub(super) fn release_and_refuse(
        &mut self,
        now: Time,
        request: attempt::Key,
        refusal: Refusal,
    ) {
        self.record_claim_outcome(request, None);
        self.refuse(now, request, refusal);
    }

    /// Records the outcome of a claimed request that ends now in the ledger.
    pub(super) fn record_claim_outcome(
        &mut self,
        request: attempt::Key,
        receipt: Option<ledger::Receipt>,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.phase == Phase::Claiming {
            return;
        }
        let maybe_ran = state.maybe_ran;
        let Some(key) = state.arrival.claim.as_ref().map(|proposal| proposal.key.clone()) else {
            return;
        };
        let Some(id) = self.claims.remove(&request) else {
            return;
        };
        self.pending.enqueue(match receipt {
            Some(receipt) => ledger::Entry::Outcome { id, key, receipt },
            None if maybe_ran => ledger::Entry::Lost { id, key },
            None => ledger::Entry::Release { id, key },
        });
    }

    /// Refuses requests whose claim has timed out or whose deadline has passed while claiming.
    pub(super) fn expire_claims(&mut self, now: Time) {
        let claim_timeout = self.policy.claim_timeout;
        let expired: Vec<attempt::Key> = self
            .requests
            .iter()
            .filter(|(_, state)| state.phase == Phase::Claiming)
            .filter(|(_, state)| {
                now >= state.arrival.deadline.min(state.arrived_at + claim_timeout)
            })
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            self.event(Event::ClaimAbandoned, Detail::none());
            self.refuse(now, request, Code::LogUnavailable);
        }
    }
}
