//! Fold over the ledger stream: the first claim of each key, and its status.

use serde::{Deserialize, Serialize};

use super::{Batch, ClaimId, Entry, Key, Receipt};
use crate::prelude::*;

/// State of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// First claim in log order.
    pub claim: ClaimId,
    /// Digest of the claimed request.
    pub digest: String,
    /// Log time in milliseconds at which the key is forgotten.
    pub expires_ms: u64,
    /// Status of the claim.
    #[serde(rename = "found")]
    pub status: Status,
}

/// Status of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// No outcome is recorded yet.
    Claimed,
    /// The request may have run; its answer was lost.
    Lost,
    /// The request ran.
    Done(Receipt),
}

/// State folded from the ledger stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    slots: BTreeMap<Key, Slot>,
    expiry: BTreeSet<(u64, Key)>,
    next: u64,
    time_ms: u64,
}

impl State {
    /// Returns the offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the log time of the newest record in milliseconds.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Returns the number of known keys.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the state of `key`, if known.
    pub fn get(&self, key: &Key) -> Option<&Slot> {
        self.slots.get(key)
    }

    /// Iterates over all known keys and their state.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Slot)> {
        self.slots.iter()
    }

    /// Rebuilds a state from a peer's slots.
    pub fn rebuild(next: u64, time_ms: u64, slots: BTreeMap<Key, Slot>) -> Self {
        let expiry = slots.iter().map(|(key, slot)| (slot.expires_ms, key.clone())).collect();
        Self { slots, expiry, next, time_ms }
    }

    /// Skips records before `offset` that the log no longer has.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Folds the record at `offset`, appended at log time `time_ms`. Returns `None` if it can't be
    /// decoded. Ignores records before [`State::next`], which are already folded.
    pub fn fold(&mut self, offset: u64, time_ms: u64, text: &str) -> Option<()> {
        if offset < self.next {
            return Some(());
        }
        self.next = offset.saturating_add(1);
        self.time_ms = self.time_ms.max(time_ms);
        self.expire();
        let batch = Batch::decode(text)?;
        for entry in batch.entries {
            self.apply(entry);
        }
        Some(())
    }

    fn expire(&mut self) {
        while let Some((expires_ms, key)) = self.expiry.first() {
            if *expires_ms > self.time_ms {
                return;
            }
            self.slots.remove(key);
            self.expiry.pop_first();
        }
    }

    fn apply(&mut self, entry: Entry) {
        match entry {
            Entry::Claim { id, key, digest, window_s } => {
                if self.slots.contains_key(&key) {
                    return;
                }
                let expires_ms = self.time_ms.saturating_add(window_s.saturating_mul(1_000));
                self.expiry.insert((expires_ms, key.clone()));
                let slot = Slot { claim: id, digest, expires_ms, status: Status::Claimed };
                self.slots.insert(key, slot);
            }
            Entry::Outcome { id, key, receipt } => {
                if let Some(slot) = self.slot_of_claim(&key, &id) {
                    slot.status = Status::Done(receipt);
                }
            }
            Entry::Lost { id, key } => {
                if let Some(slot) = self.slot_of_claim(&key, &id)
                    && slot.status == Status::Claimed
                {
                    slot.status = Status::Lost;
                }
            }
            Entry::Release { id, key } => {
                let Some(slot) = self.slot_of_claim(&key, &id) else {
                    return;
                };
                if slot.status != Status::Claimed {
                    return;
                }
                let expires_ms = slot.expires_ms;
                self.slots.remove(&key);
                self.expiry.remove(&(expires_ms, key));
            }
        }
    }

    fn slot_of_claim(&mut self, key: &Key, id: &ClaimId) -> Option<&mut Slot> {
        self.slots.get_mut(key).filter(|slot| slot.claim == *id)
    }
}
