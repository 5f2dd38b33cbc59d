//! The software versions of a pool's servers, now and recently.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fleet::server;
use crate::prelude::*;

/// Maximum time from the first event of a stream to its last takeup: twice the longest deadlines of callers.
pub(in crate::fleet) const MAX_STREAM_AGE: Duration = Duration::from_secs(30);

/// A software version of the servers of one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Software(pub u64);

impl Software {
    /// Returns the version `version` of the servers of `pool`.
    ///
    /// ```
    /// use cardamomvalve::fleet::Software;
    /// assert_eq!(Software::of("engines", "v1"), Software::of("engines", "v1"));
    /// assert_ne!(Software::of("engines", "v1"), Software::of("engines", "v2"));
    /// assert_ne!(Software::of("engines", "v1"), Software::of("others", "v1"));
    /// ```
    pub fn of(pool: &str, version: &str) -> Self {
        Self(xxh3_64_with_seed(version.as_bytes(), xxh3_64(pool.as_bytes())))
    }
}

/// The servers of one version.
#[derive(Debug, Default)]
struct Members {
    /// The registered servers with the hashes of their ids.
    servers: Vec<(server::Key, u64)>,
    /// When the last one left, if none is registered.
    left_at: Option<Time>,
}

impl Members {
    fn has_served_recently(&self, now: Time) -> bool {
        self.left_at.is_none_or(|at| now < at + MAX_STREAM_AGE)
    }
}

/// The versions that streams of a pool can have.
#[derive(Debug, Default)]
pub(in crate::fleet) struct History {
    versions: BTreeMap<Software, Members>,
}

impl History {
    pub(in crate::fleet) fn add(&mut self, version: Software, key: server::Key, id: &str) {
        let members = self.versions.entry(version).or_default();
        members.servers.push((key, xxh3_64(id.as_bytes())));
        members.left_at = None;
    }

    pub(in crate::fleet) fn remove(&mut self, now: Time, version: Software, key: server::Key) {
        if let Some(members) = self.versions.get_mut(&version) {
            members.servers.retain(|(other, _)| *other != key);
            if members.servers.is_empty() {
                members.left_at = Some(now);
            }
        }
        self.versions.retain(|_, members| members.has_served_recently(now));
    }

    /// The registered servers of a version, with the hashes of their ids.
    pub(in crate::fleet) fn servers_of(&self, version: Software) -> &[(server::Key, u64)] {
        self.versions.get(&version).map(|members| members.servers.as_slice()).unwrap_or_default()
    }

    /// Whether servers of this version serve, or have served recently.
    pub(in crate::fleet) fn includes(&self, version: Software) -> bool {
        self.versions.contains_key(&version)
    }

    /// Number of versions that a stream may have.
    pub(in crate::fleet) fn count(&self, now: Time) -> usize {
        self.versions.values().filter(|members| members.has_served_recently(now)).count()
    }

    /// The version, if no other has served recently.
    pub(in crate::fleet) fn only(&self, now: Time) -> Option<Software> {
        let mut recent =
            self.versions.iter().filter(|(_, members)| members.has_served_recently(now));
        let (version, _) = recent.next()?;
        recent.next().is_none().then_some(*version)
    }
}
