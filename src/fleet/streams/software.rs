//! The software versions of a pool's servers, now and recently.

use slotmap::SlotMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::watch::MAX_VIEW_AGE;
use crate::fleet::{Catalog, Server, Topic, server};
use crate::prelude::*;

/// The servers of all pools.
type Servers = SlotMap<server::Key, Server>;

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
    /// Whether it was in the first copy of the registrations, which does not tell its age.
    is_from_first_copy: bool,
    /// Position among the versions by their first registrations.
    rank: u64,
}

impl Members {
    fn is_settled(&self) -> bool {
        self.standing == Standing::Settled
    }

    fn count(&self, servers: &Servers, catalog: &Catalog) -> Count {
        let keys = self.servers.iter().filter_map(|(key, _)| servers.get(*key));
        let mut count = Count::default();
        for server in keys {
            let offset = catalog.offset(Topic::Servers, &server.entry.incarnation.id);
            if !server.entry.draining {
                count.staying += 1;
                count.oldest = count.oldest.into_iter().chain(offset).min();
            }
            count.confirmed += usize::from(server.unconfirmed_removal_at.is_none());
        }
        count
    }

    fn has_served_recently(&self, now: Time) -> bool {
        self.left_at.is_none_or(|at| now < at + MAX_STREAM_AGE)
    }
}

/// Registered servers of a version.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// Number of those that take new work.
    staying: usize,
    /// Lowest offset of their registrations.
    oldest: Option<u64>,
    /// Number of those whose registrations have not lapsed.
    confirmed: usize,
}

/// The versions that streams of a pool can have.
#[derive(Debug, Default)]
pub(in crate::fleet) struct History {
    versions: BTreeMap<Software, Members>,
    /// Number of versions so far.
    added: u64,
    /// The version of the first copy whose servers have the oldest registration.
    oldest: Option<Software>,
}

/// What is known of the other daemons' copies of the registrations.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spread {
    /// Offset before which this daemon lacks no registration; `None` if it may lack some that it has heard of.
    pub(super) own_end: Option<u64>,
    /// Lowest offset that a peer is known to have reached. `None` if a peer has reached more than this daemon.
    pub(super) peers_end: Option<u64>,
    /// Time up to which this daemon has all registrations, by reads of the store; `None` if it hears no peer, and its
    /// peers may not know of it.
    pub(super) complete_until: Option<Time>,
}

impl Spread {
    fn includes(&self, seen_at: Time, end: u64) -> bool {
        self.peers_end.is_some_and(|peers_end| peers_end >= end)
            || self.complete_until.is_some_and(|until| until >= seen_at + SETTLING_TIME)
    }
}

impl History {
    /// Adds a server.
    pub(in crate::fleet) fn add(
        &mut self,
        version: Software,
        key: server::Key,
        id: &str,
        is_first_copy: bool,
    ) {
        // Others may have forgotten a version that had left.
        if self.versions.get(&version).is_none_or(|members| members.servers.is_empty()) {
            let members = Members {
                servers: Vec::new(),
                left_at: None,
                standing: Standing::New,
                is_from_first_copy: is_first_copy,
                rank: self.added,
            };
            self.versions.insert(version, members);
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
    /// `may_guess` is whether this daemon may go by the oldest registrations among versions whose age it does not know.
    pub(super) fn is_held_back(&self, now: Time, version: Software, may_guess: bool) -> bool {
        let Some(members) = self.versions.get(&version) else { return false };
        if members.is_settled() {
            return false;
        }
        let others = self.versions.iter().filter(|(software, _)| **software != version);
        let others: Vec<&Members> =
            others.map(|(_, other)| other).filter(|other| other.has_served_recently(now)).collect();
        if others.iter().any(|other| other.is_settled()) {
            return true;
        }
        if members.is_from_first_copy {
            let is_guessed = may_guess && self.oldest == Some(version);
            return !others.is_empty() && !is_guessed;
        }
        others.iter().any(|other| other.rank < members.rank)
    }

    /// The settled versions, for other daemons that do not know their age.
    pub(super) fn settled(&self) -> impl Iterator<Item = Software> {
        let settled = self.versions.iter().filter(|(_, members)| members.is_settled());
        settled.map(|(software, _)| *software)
    }

    /// Settles a version that is settled at another daemon.
    pub(super) fn adopt(&mut self, version: Software) {
        if let Some(members) = self.versions.get_mut(&version) {
            members.standing = Standing::Settled;
        }
    }

    /// Whether a version is not settled.
    pub(super) fn has_unsettled(&self) -> bool {
        self.versions.values().any(|members| !members.is_settled())
    }

    /// Settles the versions that every peer knows, or that have been known for longer than any view of the servers from
    /// which a daemon proves a version. Returns those.
    pub(super) fn settle(
        &mut self,
        now: Time,
        spread: Spread,
        servers: &Servers,
        catalog: &Catalog,
    ) -> Vec<Software> {
        if let (1, Some(members)) = (self.versions.len(), self.versions.values_mut().next()) {
            members.standing = Standing::Settled;
            return Vec::new();
        }
        let counts: BTreeMap<Software, Count> = self
            .versions
            .iter()
            .map(|(software, members)| (*software, members.count(servers, catalog)))
            .collect();
        let copied = self.versions.iter().filter(|(_, members)| members.is_from_first_copy);
        let copied = copied.filter_map(|(software, _)| Some((counts[software].oldest?, *software)));
        self.oldest = copied.min().map(|(_, software)| software);
        let mut settled = Vec::new();
        for (software, members) in &mut self.versions {
            let is_only = counts.iter().all(|(other, it)| other == software || it.staying == 0);
            members.standing = match (members.standing, spread.own_end) {
                (Standing::Settled, _) => Standing::Settled,
                // Peers that get the newest records alone may not learn of a version whose registrations have lapsed.
                _ if counts[software].confirmed == 0 => Standing::New,
                (Standing::New, Some(end)) => Standing::Seen(now, end),
                // Without any other server, reads need not confirm the time that has passed.
                (Standing::Seen(at, end), Some(_))
                    if spread.includes(at, end) || is_only && now >= at + SETTLING_TIME =>
                {
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
