//! Records of the ledger stream in the log.

use serde::{Deserialize, Serialize};

use super::{ClaimId, Key, Receipt};

/// Version of the record format.
const FORMAT: u32 = 1;

/// A log record: entries appended together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Version of the record format; 1.
    pub format: u32,
    /// Entries in order.
    pub entries: Vec<Entry>,
}

/// A ledger entry about one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Entry {
    /// A daemon requests the right to run the key's request.
    Claim {
        /// Id of the claim.
        id: ClaimId,
        /// Key of the request.
        key: Key,
        /// SHA-256 of the request's method, path and body.
        digest: String,
        /// Seconds until the key is forgotten.
        window_s: u64,
    },
    /// The claimed request ran and was answered.
    Outcome {
        /// Id of the claim.
        id: ClaimId,
        /// Key of the request.
        key: Key,
        /// Receipt of the answer.
        receipt: Receipt,
    },
    /// The claimed request may have run, but its answer was lost.
    Lost {
        /// Id of the claim.
        id: ClaimId,
        /// Key of the request.
        key: Key,
    },
    /// The claimed request was not dispatched and will not be.
    Release {
        /// Id of the claim.
        id: ClaimId,
        /// Key of the request.
        key: Key,
    },
}

impl Batch {
    /// Creates a record of these entries.
    pub fn new(entries: Vec<Entry>) -> Self {
        Self { format: FORMAT, entries }
    }

    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record; `None` if it is malformed or of an unknown format.
    pub fn decode(text: &str) -> Option<Self> {
        let batch: Self = serde_json::from_str(text).ok()?;
        (batch.format == FORMAT).then_some(batch)
    }
}
