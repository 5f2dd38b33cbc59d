//! The fold over the ledger stream: who claimed which key first, and what came of it.

use serde::{Deserialize, Serialize};

use super::{Batch, ClaimId, Entry, Key, Receipt};
use crate::prelude::*;

/// What is known of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The first claim in the log's order.
    pub claim: ClaimId,
    /// Digest of its request.
    pub digest: String,
    /// Log time in milliseconds after which the key is forgotten.
    pub expires_ms: u64,
    /// What came of it.
    #[serde(rename = "found")]
    pub status: Status,
}

/// What came of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// Nothing yet.
    Claimed,
    /// It may have run; its answer was lost.
    Lost,
    /// It ran.
    Done(Receipt),
}

/// The fold over the ledger stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    slots: BTreeMap<Key, Slot>,
    expiry: BTreeSet<(u64, Key)>,
    next: u64,
    time_ms: u64,
}

impl State {
    /// The offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Log time of the newest record, in milliseconds.
    pub fn time_ms(&self) -> u64 {
        self.time_ms
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// What is known of `key`.
    pub fn get(&self, key: &Key) -> Option<&Slot> {
        self.slots.get(key)
    }

    /// Every key with what is known of it.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Slot)> {
        self.slots.iter()
    }

    /// A state rebuilt from a peer's slots.
    pub fn rebuild(next: u64, time_ms: u64, slots: BTreeMap<Key, Slot>) -> Self {
        let expiry = slots.iter().map(|(key, slot)| (slot.expires_ms, key.clone())).collect();
        Self { slots, expiry, next, time_ms }
    }

    /// Continues at `offset`, where the log no longer has what comes before it.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Folds the record at `offset`, appended at log time `time_ms`; `None` where it could not be
    /// read. Records before [`State::next`] are known already.
    pub fn fold(&mut self, offset: u64, time_ms: u64, text: &str) -> Option<()> {
        if offset < self.next {
            return Some(());
        }
        self.next = offset + 1;
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
