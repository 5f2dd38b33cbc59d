//! This daemon's own claims until the log confirms them.

use super::{Batch, ClaimId, Entry, Key, Proposal, Receipt, State, Status};
use crate::attempt;
use crate::prelude::*;

/// Maximum entries per append.
const MAX_BATCH_ENTRIES: usize = 256;
/// Maximum abandoned claims to track; the oldest are dropped first. If a dropped claim is still
/// appended, its key answers *unknown* for its window.
pub(super) const MAX_ABANDONED_CLAIMS: usize = 10_000;
/// Delay before the next append after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result for a request's claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// The claim is first: dispatch the request.
    Won(attempt::Key),
    /// Another claim was first: answer from the state of the key.
    Lost(attempt::Key),
    /// The claim was not appended: refuse the request as not run.
    Unclaimed(attempt::Key),
    /// An abandoned claim was appended after all; its release is queued.
    Released,
}

#[derive(Debug, Clone)]
struct Claim {
    request: attempt::Key,
    key: Key,
}

/// Own claims, and entries queued for the log.
#[derive(Debug)]
pub struct Pending {
    daemon: String,
    incarnation: u64,
    sequence: u64,
    claims: BTreeMap<ClaimId, Claim>,
    /// Abandoned claims that may still be appended; released when they appear in the fold.
    pub(super) abandoned: BTreeMap<ClaimId, Key>,
    /// Receipts of own claims that are not folded yet.
    receipts: BTreeMap<Key, Receipt>,
    buffer: Vec<Entry>,
    in_flight: Option<(u64, Vec<Entry>)>,
    appends: u64,
    retry_at: Time,
}

impl Pending {
    /// Creates an empty queue for this daemon and incarnation.
    pub fn new(daemon: String, incarnation: u64) -> Self {
        Self {
            daemon,
            incarnation,
            sequence: 0,
            claims: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            receipts: BTreeMap::new(),
            buffer: Vec::new(),
            in_flight: None,
            appends: 0,
            retry_at: Time::ZERO,
        }
    }

    /// Returns whether no append or confirmation is outstanding.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.in_flight.is_none() && self.claims.is_empty()
    }

    /// Returns whether this daemon incarnation made the claim.
    pub fn is_own(&self, id: &ClaimId) -> bool {
        id.daemon == self.daemon && id.incarnation == self.incarnation
    }

    /// Creates and queues a claim for `request`.
    pub fn claim(&mut self, request: attempt::Key, proposal: &Proposal) -> ClaimId {
        self.sequence += 1;
        let id = ClaimId {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        self.claims.insert(id.clone(), Claim { request, key: proposal.key.clone() });
        self.buffer.push(Entry::Claim {
            id: id.clone(),
            key: proposal.key.clone(),
            digest: proposal.digest.clone(),
            window_s: proposal.window_s,
        });
        id
    }

    /// Queues an outcome, a loss or a release for the log.
    pub fn enqueue(&mut self, entry: Entry) {
        if let Entry::Outcome { key, receipt, .. } = &entry {
            self.receipts.insert(key.clone(), receipt.clone());
        }
        self.buffer.push(entry);
    }

    /// Returns the receipt of `key` if this daemon ran it and the receipt is not folded yet.
    pub fn receipt(&self, key: &Key) -> Option<&Receipt> {
        self.receipts.get(key)
    }

    /// Returns the number and record of the next append, if one is due. Only one append runs at a
    /// time; entries queued meanwhile share the next one.
    pub fn next_append(&mut self, now: Time) -> Option<(u64, String)> {
        if self.in_flight.is_some() || self.buffer.is_empty() || now < self.retry_at {
            return None;
        }
        let rest = self.buffer.split_off(self.buffer.len().min(MAX_BATCH_ENTRIES));
        let entries = std::mem::replace(&mut self.buffer, rest);
        self.appends += 1;
        let text = Batch::new(entries.clone()).encode();
        self.in_flight = Some((self.appends, entries));
        Some((self.appends, text))
    }

    /// Handles a successful append; its entries take effect when they are folded.
    pub fn append_succeeded(&mut self, number: u64) {
        if self.in_flight.as_ref().is_some_and(|(current, _)| *current == number) {
            self.in_flight = None;
        }
    }

    /// Handles a failed append; `maybe_appended` tells whether the log may still contain it.
    ///
    /// Entries that settle a claim are appended again, since folding them twice changes nothing.
    /// Claims are not, since the second record could be appended after the request was refused.
    pub fn append_failed(
        &mut self,
        now: Time,
        number: u64,
        maybe_appended: bool,
    ) -> Vec<Resolution> {
        let Some((current, entries)) = self.in_flight.take() else {
            return Vec::new();
        };
        if current != number {
            self.in_flight = Some((current, entries));
            return Vec::new();
        }
        self.retry_at = now + RETRY_DELAY;
        let mut resolutions = Vec::new();
        let mut retries = Vec::new();
        for entry in entries {
            match &entry {
                Entry::Claim { .. } if maybe_appended => {}
                Entry::Claim { id, .. } => {
                    if let Some(claim) = self.claims.remove(id) {
                        resolutions.push(Resolution::Unclaimed(claim.request));
                    }
                }
                _ => retries.push(entry),
            }
        }
        retries.append(&mut self.buffer);
        self.buffer = retries;
        resolutions
    }

    /// Abandons the claim of `request`, which was not dispatched and will not be.
    pub fn abandon(&mut self, request: attempt::Key) {
        let found = self.claims.iter().find(|(_, claim)| claim.request == request);
        let Some(id) = found.map(|(id, _)| id.clone()) else {
            return;
        };
        let Some(claim) = self.claims.remove(&id) else {
            return;
        };
        let buffered = self.buffer.len();
        self.buffer
            .retain(|entry| !matches!(entry, Entry::Claim { id: other, .. } if *other == id));
        if self.buffer.len() == buffered {
            self.abandoned.insert(id, claim.key);
            if self.abandoned.len() > MAX_ABANDONED_CLAIMS {
                self.abandoned.pop_first();
            }
        }
    }

    /// Resolves own claims from the folded state.
    pub fn resolve(&mut self, state: &State) -> Vec<Resolution> {
        let mut resolutions = Vec::new();
        let ids: Vec<ClaimId> = self.claims.keys().cloned().collect();
        for id in ids {
            let Some(claim) = self.claims.get(&id) else {
                continue;
            };
            let Some(slot) = state.get(&claim.key) else {
                continue;
            };
            let request = claim.request;
            self.claims.remove(&id);
            resolutions.push(if slot.claim == id {
                Resolution::Won(request)
            } else {
                Resolution::Lost(request)
            });
        }
        self.receipts
            .retain(|key, _| state.get(key).is_some_and(|slot| slot.status == Status::Claimed));
        let appended: Vec<ClaimId> = self
            .abandoned
            .iter()
            .filter(|(id, key)| state.get(key).is_some_and(|slot| slot.claim == **id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in appended {
            if let Some(key) = self.abandoned.remove(&id) {
                self.buffer.push(Entry::Release { id, key });
                resolutions.push(Resolution::Released);
            }
        }
        resolutions
    }
}
