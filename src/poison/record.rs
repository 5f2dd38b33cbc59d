//! Records of the stream on the log that keeps what is blocked.

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// The version of the record's format.
const FORMAT: u32 = 1;

/// One record: what is blocked besides, and what no longer is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the format; 1.
    pub format: u32,
    /// Fingerprints that are blocked, in hexadecimal.
    #[serde(default)]
    pub blocked: Vec<String>,
    /// Fingerprints that are blocked no longer.
    #[serde(default)]
    pub lifted: Vec<String>,
}

impl Record {
    /// A record of requests that are blocked, or no longer are.
    ///
    /// ```
    /// use cardamomvalve::poison::{Fingerprint, Record};
    /// let record = Record::new(&[Fingerprint(7)], &[]);
    /// assert_eq!(Record::decode(&record.encode()), Some((vec![Fingerprint(7)], vec![])));
    /// ```
    pub fn new(blocked: &[Fingerprint], lifted: &[Fingerprint]) -> Self {
        let texts = |all: &[Fingerprint]| all.iter().map(Fingerprint::to_string).collect();
        Self { format: FORMAT, blocked: texts(blocked), lifted: texts(lifted) }
    }

    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// What a record says is blocked, and is no longer; `None` where this release can't read it.
    pub fn decode(text: &str) -> Option<(Vec<Fingerprint>, Vec<Fingerprint>)> {
        let record: Self = serde_json::from_str(text).ok()?;
        let read = |texts: &[String]| -> Option<Vec<Fingerprint>> {
            texts.iter().map(|text| text.parse().ok()).collect()
        };
        if record.format != FORMAT {
            return None;
        }
        Some((read(&record.blocked)?, read(&record.lifted)?))
    }
}
