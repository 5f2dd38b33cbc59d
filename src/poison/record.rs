//! Records of the stream on the log that keeps what is blocked.

use serde::{Deserialize, Serialize};

use super::{Blocked, Fingerprint};
use crate::prelude::*;

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
    /// For how long each of them had been blocked when this was written, in seconds; 0 where there is none.
    #[serde(default)]
    pub ages_s: Vec<u64>,
    /// Fingerprints that are blocked no longer.
    #[serde(default)]
    pub lifted: Vec<String>,
}

impl Record {
    /// A record of requests that are blocked, or no longer are.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::poison::{Blocked, Fingerprint, Record};
    /// let blocked = Blocked { fingerprint: Fingerprint(7), age: Duration::from_secs(60) };
    /// let record = Record::new(&[blocked], &[]);
    /// assert_eq!(Record::decode(&record.encode()), Some((vec![blocked], vec![])));
    /// ```
    pub fn new(blocked: &[Blocked], lifted: &[Fingerprint]) -> Self {
        Self {
            format: FORMAT,
            blocked: blocked.iter().map(|block| block.fingerprint.to_string()).collect(),
            ages_s: blocked.iter().map(|block| block.age.as_secs()).collect(),
            lifted: lifted.iter().map(Fingerprint::to_string).collect(),
        }
    }

    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// What a record says is blocked, and is no longer; `None` where this release can't read it.
    pub fn decode(text: &str) -> Option<(Vec<Blocked>, Vec<Fingerprint>)> {
        let record: Self = serde_json::from_str(text).ok()?;
        let parse = |texts: &[String]| -> Option<Vec<Fingerprint>> {
            texts.iter().map(|text| text.parse().ok()).collect()
        };
        if record.format != FORMAT {
            return None;
        }
        let ages = record.ages_s.iter().copied().chain(std::iter::repeat(0));
        let blocked = parse(&record.blocked)?.into_iter().zip(ages);
        let blocked = blocked
            .map(|(fingerprint, age_s)| Blocked { fingerprint, age: Duration::from_secs(age_s) });
        Some((blocked.collect(), parse(&record.lifted)?))
    }
}
