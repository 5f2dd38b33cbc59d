//! Keyed non-idempotent requests: claims and outcomes on the log, so that each runs at most once.
//!
//! A request with an idempotency key is dispatched only after its claim is known to be the first
//! of that key in the log's order. Claims never expire within the key's window, whatever becomes of
//! the daemon that made them; see `docs/DESIGN.md`.

mod pending;
mod record;
mod state;
#[cfg(test)]
mod tests;

pub use pending::{Pending, Resolution};
pub use record::{Batch, Entry};
pub use state::{Slot, State, Status};

use serde::{Deserialize, Serialize};

/// Bytes of an answer's body that are kept for the caller who asks again.
pub const MAX_RECEIPT_BODY_BYTES: usize = 16 * 1024;

/// Names one keyed request over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The workspace.
    pub workspace: String,
    /// The service.
    pub service: String,
    /// The caller's idempotency key.
    pub key: String,
}

/// What a keyed request asks of the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Its name.
    pub key: Key,
    /// SHA-256 of method, path and body, in hexadecimal.
    pub digest: String,
    /// Seconds for which the key is remembered.
    pub window_s: u64,
}

/// Names one claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// The daemon that made it.
    pub daemon: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// Counts the daemon's claims.
    pub sequence: u64,
}

/// What is remembered of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty where the answer had none.
    pub content_type: String,
    /// The body in base64; `None` where it was larger than [`MAX_RECEIPT_BODY_BYTES`].
    pub body: Option<String>,
}
