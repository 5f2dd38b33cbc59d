//! Since when weights have been named, as far as a daemon knows.
//!
//! No record says when it was written, and a daemon that was frozen, cut off or not there hears of it late. So the time
//! at which a daemon hears of a version is that of its naming only if the daemon had missed nothing until then. Else the
//! version may have been named at any time since the daemon last knew that it was not, until a peer that heard in time
//! tells for how long it has been.

use crate::prelude::*;

/// Versions of one model that are remembered.
const MAX_NAMED: usize = 16;
/// Time since a daemon last knew that it missed nothing, within which it hears in time where it does not read by itself:
/// digests of those who read come several times within it.
const IN_TIME: Duration = Duration::from_secs(2);
/// Time without a message, ticks included, after which a daemon was frozen.
const FROZEN: Duration = Duration::from_secs(1);
/// Time after that in which frames from peers may be as old as the freeze was long.
const BACKLOG: Duration = Duration::from_millis(500);

/// When a version was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Since {
    /// Nobody knows.
    Unknown,
    /// Not before this.
    After(Time),
    /// So long before then, which may be before this daemon's clock began: a daemon that missed nothing heard of it.
    At(Time, Duration),
}

impl Since {
    /// The longest time for which the version may have been named.
    fn most(self, now: Time) -> Duration {
        match self {
            Self::Unknown => Duration::MAX,
            Self::After(at) => now.saturating_sub(at),
            Self::At(at, age) => now.saturating_sub(at).saturating_add(age),
        }
    }

    /// The time for which it has been named, where that is known.
    fn age(self, now: Time) -> Option<Duration> {
        match self {
            Self::At(..) => Some(self.most(now)),
            Self::Unknown | Self::After(_) => None,
        }
    }

    /// Its name in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::After(_) => "after",
            Self::At(..) => "at",
        }
    }
}

/// What a daemon tells its peers of a version that was named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Naming {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// For how long it has been named; `None` where that is not known, or beyond the limit for weights.
    pub age: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    version: u64,
    since: Since,
}

/// The versions that were named, by model.
///
/// No version that was named is missing between two that are listed, unless the higher one is not known to have been
/// named later than it. The same holds before the first.
#[derive(Debug, Default)]
pub(super) struct Namings {
    models: BTreeMap<String, Vec<Named>>,
}

impl Namings {
    /// For how long, at most, a version after this one has been named; `None` where none has.
    pub(super) fn overtaken_for(&self, now: Time, model: &str, version: u64) -> Option<Duration> {
        let first = self.models.get(model)?.iter().find(|named| named.version > version)?;
        Some(first.since.most(now))
    }

    /// The newest version of `model`.
    pub(super) fn newest(&self, model: &str) -> Option<u64> {
        Some(self.models.get(model)?.last()?.version)
    }

    /// Takes over that the store names a version; whether it is newer than those known.
    pub(super) fn take(&mut self, model: &str, version: u64, since: Since) -> bool {
        if self.newest(model).is_some_and(|newest| newest >= version) {
            return false;
        }
        self.insert(model, Named { version, since });
        true
    }

    /// Takes over what a peer tells; what was learnt by it: versions, and since when.
    pub(super) fn hear(&mut self, now: Time, told: &[Naming]) -> Vec<(String, u64, Since)> {
        let mut learnt = Vec::new();
        for Naming { model, version, age } in told {
            let told = age.map_or(Since::Unknown, |age| Since::At(now, age));
            let known = self
                .models
                .get_mut(model)
                .and_then(|named| named.iter_mut().find(|named| named.version == *version));
            let Some(known) = known else {
                self.insert(model, Named { version: *version, since: told });
                learnt.push((model.clone(), *version, told));
                continue;
            };
            // Who says that it is longer heard sooner.
            if told.age(now) > known.since.age(now) {
                if known.since.age(now).is_none() {
                    learnt.push((model.clone(), *version, told));
                }
                known.since = told;
            }
        }
        learnt
    }

    /// What peers are told: versions that were named within `limit`, and the one before each, so that the list tells
    /// which was the first to overtake another.
    pub(super) fn told(&self, now: Time, limit: Duration) -> Vec<Naming> {
        let age = |named: &Named| named.since.age(now).filter(|age| *age < limit);
        let mut told = Vec::new();
        for (model, named) in &self.models {
            for (index, one) in named.iter().enumerate() {
                let next = named.get(index + 1);
                if age(one).is_some() || next.is_some_and(|next| age(next).is_some()) {
                    told.push(Naming { model: model.clone(), version: one.version, age: age(one) });
                }
            }
        }
        told
    }

    fn insert(&mut self, model: &str, new: Named) {
        let named = self.models.entry(model.to_owned()).or_default();
        let index = named.partition_point(|known| known.version < new.version);
        named.insert(index, new);
        if named.len() > MAX_NAMED {
            let forgotten = named.remove(0);
            // What overtook the versions before it stays as old as it was.
            named[0].since = forgotten.since;
        }
    }
}

/// Until when a daemon knows that it has missed nothing that operators published.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// When it last knew.
    last: Option<Time>,
    /// Whether it reads on from there, and no read has failed since: what comes is told at once.
    reads_on: bool,
    applied: Time,
    resumed: Option<Time>,
}

impl Contact {
    /// Notes that the daemon acts, and whether it reads by itself what operators publish.
    pub(super) fn acts(&mut self, now: Time, reads: bool) {
        let frozen = now > self.applied + FROZEN;
        if frozen {
            self.resumed = Some(now);
        }
        if (frozen || !reads) && self.reads_on {
            self.holds(self.applied);
            self.reads_on = false;
        }
        self.applied = now;
    }

    /// Notes that a read of the store failed, of whichever topic: others may wait for what never comes.
    pub(super) fn fails(&mut self) {
        self.reads_on = false;
    }

    /// Whether what peers sent may have waited for the daemon to wake.
    pub(super) fn has_backlog(&self, now: Time) -> bool {
        self.resumed.is_some_and(|at| now < at + BACKLOG)
    }

    /// Notes that nothing had been missed at time `at`.
    pub(super) fn holds(&mut self, at: Time) {
        self.last = Some(self.last.map_or(at, |last| last.max(at)));
    }

    /// Notes that a read ended that was asked for at time `asked` and left nothing out.
    pub(super) fn read(&mut self, asked: Time) {
        self.holds(asked);
        self.reads_on = self.resumed.is_none_or(|at| asked >= at);
    }

    /// Since when a version has been named that is heard of now. `all` tells whether every record since the last one
    /// that was known came with it: else it may be the last of several.
    pub(super) fn since(&self, now: Time, all: bool) -> Since {
        match self.last {
            None => Since::Unknown,
            Some(last) if all && (self.reads_on || now <= last + IN_TIME) => {
                Since::At(now, Duration::ZERO)
            }
            Some(last) => Since::After(last),
        }
    }
}
