//! Records of the lease stream on the log.

use serde::{Deserialize, Serialize};

/// Version of the record format.
const FORMAT: u32 = 1;

/// One record of the lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the format, 1.
    pub format: u32,
    /// The daemon that requests the lease.
    pub daemon: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// Sequence number of the daemon's lease records.
    pub sequence: u64,
    /// Offset of the last accepted record that the daemon has read. `None` if there is none. Daemons of an earlier
    /// release go by it.
    pub after: Option<u64>,
    /// Offset after the last record that the daemon has read. Records of an earlier release lack it.
    #[serde(default)]
    pub next: Option<u64>,
    /// The requested change.
    #[serde(flatten)]
    pub body: Body,
}

/// Change that a lease record requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// Take the lease, whoever held it.
    Take,
    /// Extend the lease.
    Renew {
        /// The holder's fence.
        fence: u64,
    },
}

impl Record {
    /// Creates a record of a daemon.
    pub fn new(
        daemon: &str,
        incarnation: u64,
        sequence: u64,
        after: Option<u64>,
        next: Option<u64>,
        body: Body,
    ) -> Self {
        Self { format: FORMAT, daemon: daemon.to_owned(), incarnation, sequence, after, next, body }
    }

    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record. Returns `None` if it is malformed or has another format.
    pub fn decode(text: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(text).ok()?;
        (record.format == FORMAT).then_some(record)
    }
}
