//! Records of the log stream that stores blocks.

use serde::{Deserialize, Serialize};

use super::{Blocked, Fingerprint};
use crate::prelude::*;

/// Version of the record format.
const FORMAT: u32 = 1;

/// One record: blocks that were added, and blocks that were lifted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the format; 1.
    pub format: u32,
    /// Fingerprints of blocked requests, in hexadecimal.
    #[serde(default)]
    pub blocked: Vec<String>,
    /// Age of each block when the record was written, in seconds; 0 where missing.
    #[serde(default)]
    pub ages_s: Vec<u64>,
    /// Fingerprints whose block was lifted.
    #[serde(default)]
    pub lifted: Vec<String>,
}

impl Record {
    /// Creates a record of added and lifted blocks.
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

    /// Decodes the added and the lifted blocks; `None` if this release can't read the record.
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
