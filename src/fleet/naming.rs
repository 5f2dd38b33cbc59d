//! Since when weights have been named, as far as a daemon knows.
//!
//! No record says when it was written, and a daemon that was frozen, cut off or not there hears of it late. What it
//! does know is until when it had missed nothing that operators published: whatever it hears of after that was named
//! later. So for each version it keeps the longest time for which it may have been named. Peers tell each other what
//! they saw themselves, and the least holds, since each is true.

use crate::prelude::*;

/// Versions of one model that are remembered.
const MAX_VERSIONS: usize = 16;

/// The longest time for which a version may have been named at one moment. That may be longer than the daemon's clock
/// runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Bound {
    at: Time,
    age: Duration,
}

impl Bound {
    /// What is heard of at time `now` and was not there at time `since`.
    pub(super) fn since(since: Time, now: Time) -> Self {
        Self { at: now, age: now.saturating_sub(since) }
    }

    /// What was told at time `at` to be of this age, and had been on its way for `delay`.
    pub(super) fn reported(at: Time, age: Duration, delay: Duration) -> Self {
        Self { at, age: age.saturating_add(delay) }
    }

    fn age(self, now: Time) -> Duration {
        now.saturating_sub(self.at).saturating_add(self.age)
    }
}

/// What a daemon tells its peers of a version that was named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Naming {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// The longest time for which it may have been named; `None` where that is not known, or beyond the limit for
    /// weights.
    pub age: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    version: u64,
    /// `None` where nobody knows.
    bound: Option<Bound>,
}

/// Versions of one model.
#[derive(Debug, Clone, Default)]
struct Model {
    /// In ascending order. The bound of each holds for every version after the one before it: where 3 and 4 were
    /// missed, that of 5 holds for them too.
    named: Vec<Named>,
    /// The newest version that is no longer listed.
    evicted: Option<u64>,
}

/// The versions that were named, by model.
#[derive(Debug, Clone, Default)]
pub(super) struct Namings {
    models: BTreeMap<String, Model>,
}

impl Namings {
    /// The longest time for which a version after this one may have been named; `None` where none has.
    pub(super) fn superseded_for(&self, now: Time, model: &str, version: u64) -> Option<Duration> {
        let model = self.models.get(model)?;
        if model.evicted.is_some_and(|evicted| evicted > version) {
            return Some(Duration::MAX);
        }
        let first = model.named.iter().find(|named| named.version > version)?;
        Some(first.bound.map_or(Duration::MAX, |bound| bound.age(now)))
    }

    /// The newest version of `model`.
    pub(super) fn newest(&self, model: &str) -> Option<u64> {
        Some(self.models.get(model)?.named.last()?.version)
    }

    /// Takes over that the store names a version; whether it is newer than those known.
    pub(super) fn record(&mut self, model: &str, version: u64, bound: Option<Bound>) -> bool {
        if self.newest(model).is_some_and(|newest| newest >= version) {
            return false;
        }
        self.models.entry(model.to_owned()).or_default().insert(Named { version, bound });
        true
    }

    /// Takes over what a peer told at time `at`, `delay` after it knew; `now` is the time at which bounds are compared.
    pub(super) fn merge_peer(&mut self, now: Time, told: &[Naming], at: Time, delay: Duration) {
        for Naming { model, version, age } in told {
            let bound = age.map(|age| Bound::reported(at, age, delay));
            let known = self.models.entry(model.clone()).or_default();
            if known.evicted.is_some_and(|evicted| evicted >= *version) {
                continue;
            }
            match known.named.iter_mut().find(|named| named.version == *version) {
                None => known.insert(Named { version: *version, bound }),
                Some(named) => {
                    let bounds = named.bound.into_iter().chain(bound);
                    named.bound = bounds.min_by_key(|bound| bound.age(now));
                }
            }
        }
    }

    /// What peers are told: versions that were named within `limit`, and the one before each, after which its bound
    /// holds.
    pub(super) fn recent(&self, now: Time, limit: Duration) -> Vec<Naming> {
        let age = |named: &Named| named.bound.map(|bound| bound.age(now)).filter(|a| *a < limit);
        let mut told = Vec::new();
        for (model, Model { named, .. }) in &self.models {
            for (index, one) in named.iter().enumerate() {
                let next = named.get(index + 1);
                if age(one).is_some() || next.is_some_and(|next| age(next).is_some()) {
                    told.push(Naming { model: model.clone(), version: one.version, age: age(one) });
                }
            }
        }
        told
    }
}

impl Model {
    fn insert(&mut self, new: Named) {
        let index = self.named.partition_point(|known| known.version < new.version);
        self.named.insert(index, new);
        if self.named.len() > MAX_VERSIONS {
            self.evicted = Some(self.named.remove(0).version);
        }
    }
}
