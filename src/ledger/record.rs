//! Records of the ledger stream on the log.

use serde::{Deserialize, Serialize};

use super::{ClaimId, Key, Receipt};

/// The version of the record's format.
const FORMAT: u32 = 1;

/// One record: entries that were appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Version of the format; 1.
    pub format: u32,
    /// What is noted, in order.
    pub entries: Vec<Entry>,
}

/// One entry of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Entry {
    /// A daemon wants to run the request of this key.
    Claim {
        /// The claim.
        id: ClaimId,
        /// The key.
        key: Key,
        /// Digest of the request.
        digest: String,
        /// Seconds for which the key is remembered.
        window_s: u64,
    },
    /// The claim's request ran, and this was the answer.
    Outcome {
        /// The claim.
        id: ClaimId,
        /// The key.
        key: Key,
        /// What is remembered of the answer.
        receipt: Receipt,
    },
    /// The claim's request may have run, and its answer was lost.
    Lost {
        /// The claim.
        id: ClaimId,
        /// The key.
        key: Key,
    },
    /// The claim's request was never dispatched and never will be.
    Release {
        /// The claim.
        id: ClaimId,
        /// The key.
        key: Key,
    },
}

impl Batch {
    /// A record of these entries.
    pub fn new(entries: Vec<Entry>) -> Self {
        Self { format: FORMAT, entries }
    }

    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a record; `None` where this release can't.
    pub fn decode(text: &str) -> Option<Self> {
        let batch: Self = serde_json::from_str(text).ok()?;
        (batch.format == FORMAT).then_some(batch)
    }
}
