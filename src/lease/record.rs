//! Records of the lease stream on the log.

use serde::{Deserialize, Serialize};

/// The version of the record's format.
const FORMAT: u32 = 1;

/// One record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the format; 1.
    pub format: u32,
    /// The daemon that wants the lease.
    pub daemon: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// Counts the daemon's lease records.
    pub sequence: u64,
    /// Offset of the last accepted record that the daemon has read; `None` before any.
    pub after: Option<u64>,
    /// What it wants.
    #[serde(flatten)]
    pub body: Body,
}

/// What a lease record wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// The lease, from whoever held it.
    Take,
    /// The lease for longer.
    Renew {
        /// The fence that it holds.
        fence: u64,
    },
}

impl Record {
    /// A record of this daemon.
    pub fn new(
        daemon: &str,
        incarnation: u64,
        sequence: u64,
        after: Option<u64>,
        body: Body,
    ) -> Self {
        Self { format: FORMAT, daemon: daemon.to_owned(), incarnation, sequence, after, body }
    }

    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a record; `None` where this release can't.
    pub fn decode(text: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(text).ok()?;
        (record.format == FORMAT).then_some(record)
    }
}
