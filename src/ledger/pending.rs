//! This daemon's own claims on their way through the log.

use super::{Batch, ClaimId, Entry, Key, Proposal, Receipt, State, Status};
use crate::attempt;
use crate::prelude::*;

/// Entries that one append carries at most.
const MAX_BATCH_ENTRIES: usize = 256;
/// Abandoned claims that are looked out for at most; the oldest are forgotten first. Should one of
/// those still land, its key answers *unknown* for its window.
pub(super) const MAX_ABANDONED_CLAIMS: usize = 10_000;
/// Time after which entries whose append failed are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What follows for a claiming request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// Its claim is the first: dispatch it.
    Won(attempt::Key),
    /// Another claim was first: answer from what is known of the key.
    Lost(attempt::Key),
    /// Its claim was never appended: refuse it as not run.
    Unclaimed(attempt::Key),
    /// Its claim was abandoned and has now been released.
    Released,
}

#[derive(Debug, Clone)]
struct Claim {
    request: attempt::Key,
    key: Key,
}

/// Own claims, and entries that wait to be appended.
#[derive(Debug)]
pub struct Pending {
    daemon: String,
    incarnation: u64,
    sequence: u64,
    claims: BTreeMap<ClaimId, Claim>,
    /// Claims given up on that may still land; released when they show up.
    pub(super) abandoned: BTreeMap<ClaimId, Key>,
    /// Receipts of own claims that the fold does not show yet.
    receipts: BTreeMap<Key, Receipt>,
    buffer: Vec<Entry>,
    in_flight: Option<(u64, Vec<Entry>)>,
    appends: u64,
    retry_at: Time,
}

impl Pending {
    /// Nothing pending yet for this daemon and incarnation.
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

    /// Whether nothing waits to be appended or confirmed.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.in_flight.is_none() && self.claims.is_empty()
    }

    /// Whether this incarnation of this daemon made the claim.
    pub fn is_own(&self, id: &ClaimId) -> bool {
        id.daemon == self.daemon && id.incarnation == self.incarnation
    }

    /// Makes a claim for `request`.
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

    /// Notes an outcome, a loss or a release to be appended.
    pub fn enqueue(&mut self, entry: Entry) {
        if let Entry::Outcome { key, receipt, .. } = &entry {
            self.receipts.insert(key.clone(), receipt.clone());
        }
        self.buffer.push(entry);
    }

    /// The receipt of `key`, where this daemon ran it and the fold does not show it yet.
    pub fn receipt(&self, key: &Key) -> Option<&Receipt> {
        self.receipts.get(key)
    }

    /// The next append, if one is due: its number and the record. One is under way at a time, and
    /// what comes meanwhile goes together in the next.
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

    /// The append of this number landed; what it carried is decided when it is folded.
    pub fn append_succeeded(&mut self, number: u64) {
        if self.in_flight.as_ref().is_some_and(|(current, _)| *current == number) {
            self.in_flight = None;
        }
    }

    /// The append of this number failed; `landed` tells whether it may have landed all the same.
    ///
    /// Entries that settle a claim are appended again: folding them twice changes nothing. Claims
    /// are not: a second record could land after the request was given up.
    pub fn append_failed(&mut self, now: Time, number: u64, landed: bool) -> Vec<Resolution> {
        let Some((current, entries)) = self.in_flight.take() else {
            return Vec::new();
        };
        if current != number {
            self.in_flight = Some((current, entries));
            return Vec::new();
        }
        self.retry_at = now + RETRY_DELAY;
        let mut resolutions = Vec::new();
        let mut again = Vec::new();
        for entry in entries {
            match &entry {
                Entry::Claim { .. } if landed => {}
                Entry::Claim { id, .. } => {
                    if let Some(claim) = self.claims.remove(id) {
                        resolutions.push(Resolution::Unclaimed(claim.request));
                    }
                }
                _ => again.push(entry),
            }
        }
        again.append(&mut self.buffer);
        self.buffer = again;
        resolutions
    }

    /// Gives up on the claim of `request`, which was not dispatched and will not be.
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

    /// Looks at the fold for what became of own claims.
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
        let landed: Vec<ClaimId> = self
            .abandoned
            .iter()
            .filter(|(id, key)| state.get(key).is_some_and(|slot| slot.claim == **id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in landed {
            if let Some(key) = self.abandoned.remove(&id) {
                self.buffer.push(Entry::Release { id, key });
                resolutions.push(Resolution::Released);
            }
        }
        resolutions
    }
}
