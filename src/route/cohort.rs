//! The workspaces that share cached prompts with each other.

use xxhash_rust::xxh3::xxh3_64;

use crate::prelude::*;

/// The workspaces that share cached prompts, by one configuration: all but the isolated ones. Configurations that isolate the
/// same workspaces have the same cohort, so daemons agree on it without communication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cohort {
    /// Version of the configuration.
    pub version: u64,
    /// Hash of the names of the isolated workspaces; `None` if there are none.
    pub without: Option<u64>,
}

impl Cohort {
    /// Returns the cohort of the configuration `version`, which isolates the workspaces `isolated`.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use cardamomvalve::route::Cohort;
    /// assert_eq!(Cohort::of(3, &BTreeSet::new()).without, None);
    /// let one = BTreeSet::from(["lab".to_owned()]);
    /// assert_eq!(Cohort::of(3, &one).without, Cohort::of(4, &one).without);
    /// ```
    pub fn of(version: u64, isolated: &BTreeSet<String>) -> Self {
        if isolated.is_empty() {
            return Self { version, without: None };
        }
        let mut names = Vec::new();
        for name in isolated {
            // With their lengths, so that no two sets give the same bytes.
            names.extend_from_slice(&(name.len() as u64).to_le_bytes());
            names.extend_from_slice(name.as_bytes());
        }
        Self { version, without: Some(xxh3_64(&names)) }
    }
}
