//! The software versions of a pool's servers, now and recently.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::watch::MAX_VIEW_AGE;
use crate::fleet::server;
use crate::prelude::*;

/// Maximum time from the first event of a stream to its last takeup: twice the longest deadlines of callers.
pub(in crate::fleet) const MAX_STREAM_AGE: Duration = Duration::from_secs(30);

/// Time after which a version that some daemons may not know begins streams. It is longer than the age of any view from
/// which a daemon proves that another version serves alone.
const SETTLING_TIME: Duration = MAX_VIEW_AGE.saturating_add(Duration::from_secs(1));

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

/// How widely a version is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// This daemon may lack records from before the version's first registration.
    New,
    /// At this time, this daemon had all registrations before this offset, and the version's servers among them.
    Seen(Time, u64),
    /// Every daemon that could prove that another version serves alone knows it.
    Settled,
}

/// The servers of one version.
#[derive(Debug)]
struct Members {
    /// The registered servers with the hashes of their ids.
    servers: Vec<(server::Key, u64)>,
    /// When the last one left, if none is registered.
    left_at: Option<Time>,
    standing: Standing,
    /// Position among the versions by their first registrations.
    rank: u64,
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
    /// Number of versions so far.
    added: u64,
}

/// What is known of the other daemons' copies of the registrations.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spread {
    /// Offset before which this daemon lacks no registration; `None` if it may lack some that it has heard of.
    pub(super) own_end: Option<u64>,
    /// Lowest offset that a peer has reached. `None` if a peer is silent, or has reached more than this daemon.
    pub(super) peers_end: Option<u64>,
    /// Time up to which this daemon has all registrations, by reads of the store.
    pub(super) complete_until: Option<Time>,
}

impl Spread {
    fn includes(&self, seen_at: Time, end: u64) -> bool {
        self.peers_end.is_some_and(|peers_end| peers_end >= end)
            || self.complete_until.is_some_and(|until| until >= seen_at + SETTLING_TIME)
    }
}

impl History {
    /// Adds a server. Versions of the first copy of the registrations count as settled, as their age is not known.
    pub(in crate::fleet) fn add(
        &mut self,
        version: Software,
        key: server::Key,
        id: &str,
        is_first_copy: bool,
    ) {
        // Others may have forgotten a version that had left.
        if self.versions.get(&version).is_none_or(|members| members.servers.is_empty()) {
            let standing = if is_first_copy { Standing::Settled } else { Standing::New };
            let (servers, rank) = (Vec::new(), self.added);
            self.versions.insert(version, Members { servers, left_at: None, standing, rank });
            self.added += 1;
        }
        if let Some(members) = self.versions.get_mut(&version) {
            members.servers.push((key, xxh3_64(id.as_bytes())));
        }
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

    /// Whether no stream may begin at a version yet, because a daemon may still take a former one for the only one.
    pub(in crate::fleet) fn is_held_back(&self, now: Time, version: Software) -> bool {
        let Some(members) = self.versions.get(&version) else { return false };
        if members.standing == Standing::Settled {
            return false;
        }
        let is_former = |other: &Members| {
            other.has_served_recently(now)
                && (other.standing == Standing::Settled || other.rank < members.rank)
        };
        self.versions.iter().any(|(software, other)| *software != version && is_former(other))
    }

    /// Whether a version is not settled.
    pub(super) fn has_unsettled(&self) -> bool {
        self.versions.values().any(|members| members.standing != Standing::Settled)
    }

    /// Settles the versions that every peer knows, or that have been known for longer than any view of the servers from
    /// which a daemon proves a version. Returns those.
    pub(super) fn settle(&mut self, now: Time, spread: Spread) -> Vec<Software> {
        let mut settled = Vec::new();
        for (software, members) in &mut self.versions {
            members.standing = match (members.standing, spread.own_end) {
                (Standing::New, Some(end)) => Standing::Seen(now, end),
                (Standing::Seen(at, end), Some(_)) if spread.includes(at, end) => {
                    settled.push(*software);
                    Standing::Settled
                }
                (standing, _) => standing,
            };
        }
        settled
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
