//! Runs each keyed non-idempotent request at most once, by claims and outcomes on the log.
//!
//! A request with an idempotency key is dispatched only after its claim is confirmed as the first
//! of that key in log order. Claims never expire within the key's window, even if the daemon that
//! made them ends; see `docs/DESIGN.md`.

mod pending;
mod record;
mod state;
#[cfg(test)]
mod tests;

pub use pending::{Pending, Resolution};
pub use record::{Batch, Entry};
pub use state::{Slot, State, Status};

use serde::{Deserialize, Serialize};

/// Maximum size of an answer's body kept for retries by the caller.
pub const MAX_RECEIPT_BODY_BYTES: usize = 16 * 1024;

/// Identifies a keyed request across all daemons.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Workspace of the caller.
    pub workspace: String,
    /// Name of the service.
    pub service: String,
    /// The caller's idempotency key.
    pub key: String,
}

/// A claim that a keyed request must win before dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Ledger key of the request.
    pub key: Key,
    /// Hexadecimal SHA-256 of method, path and body.
    pub digest: String,
    /// Seconds until the key is forgotten.
    pub window_s: u64,
}

/// Identifies a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Daemon that made the claim.
    pub daemon: String,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Number of the claim within the incarnation.
    pub sequence: u64,
}

/// The stored part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the answer had none.
    pub content_type: String,
    /// Body in base64; `None` if larger than [`MAX_RECEIPT_BODY_BYTES`].
    pub body: Option<String>,
}
