//! Keeps an upper bound of the time since each version of weights was named.
//!
//! Records carry no time of writing, and a daemon that was frozen, partitioned or stopped reads
//! them late. But it knows until when it had all records of the operators' topic: a version that it
//! reads afterwards was named after that time, which bounds the age of the version. Daemons
//! exchange the bounds that they derived themselves. The smallest counts, since all of them hold.

use crate::prelude::*;

/// Maximum number of versions that are kept per model.
const MAX_VERSIONS: usize = 16;

/// Upper bound, at one moment, of the time since a version was named. It may exceed the uptime of
/// the daemon's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Bound {
    at: Time,
    age: Duration,
}

impl Bound {
    /// Bound of a version that was read at time `now` and not yet named at time `since`.
    pub(super) fn since(since: Time, now: Time) -> Self {
        Self { at: now, age: now.saturating_sub(since) }
    }

    /// Bound of a version that a peer reported at time `at` with this age, after a network delay of
    /// `delay`.
    pub(super) fn reported(at: Time, age: Duration, delay: Duration) -> Self {
        Self { at, age: age.saturating_add(delay) }
    }

    fn age(self, now: Time) -> Duration {
        now.saturating_sub(self.at).saturating_add(self.age)
    }
}

/// A named version, as daemons report it to their peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Naming {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Upper bound of the time since it was named; `None` if unknown or beyond the weights limit.
    pub age: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    version: u64,
    /// `None` if unknown.
    bound: Option<Bound>,
}

/// Versions of one model.
#[derive(Debug, Clone, Default)]
struct Model {
    /// In ascending order. The bound of each also holds for the versions between it and the one
    /// before it: if 3 and 4 were missed, the bound of 5 holds for them too.
    named: Vec<Named>,
    /// The newest version that was evicted from the list.
    evicted: Option<u64>,
}

/// The named versions, by model.
#[derive(Debug, Clone, Default)]
pub(super) struct Namings {
    models: BTreeMap<String, Model>,
}

impl Namings {
    /// Maximum time since a version after this one was named; `None` if none was.
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

    /// The newest version of each model.
    pub(super) fn newest_versions(&self) -> BTreeMap<String, u64> {
        let newest = |model: &Model| model.named.last().map(|named| named.version);
        let models = self.models.iter();
        models.filter_map(|(name, model)| Some((name.clone(), newest(model)?))).collect()
    }

    /// Records a version that the store names; false if it is not newer than the known ones.
    pub(super) fn record(&mut self, model: &str, version: u64, bound: Option<Bound>) -> bool {
        if self.newest(model).is_some_and(|newest| newest >= version) {
            return false;
        }
        self.models.entry(model.to_owned()).or_default().insert(Named { version, bound });
        true
    }

    /// Merges what a peer reported at time `at` with a network delay of `delay`, without which the
    /// reported ages bound nothing; bounds are compared at `now`.
    pub(super) fn merge_peer(
        &mut self,
        now: Time,
        reports: &[Naming],
        at: Time,
        delay: Option<Duration>,
    ) {
        for Naming { model, version, age } in reports {
            let bound = age.zip(delay).map(|(age, delay)| Bound::reported(at, age, delay));
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

    /// The versions to report to peers: those named within `limit`, and the version before each,
    /// because a bound holds for all versions after that one.
    pub(super) fn recent(&self, now: Time, limit: Duration) -> Vec<Naming> {
        let age = |named: &Named| named.bound.map(|bound| bound.age(now)).filter(|a| *a < limit);
        let mut recent = Vec::new();
        for (model, Model { named, .. }) in &self.models {
            for (index, one) in named.iter().enumerate() {
                let next = named.get(index + 1);
                if age(one).is_some() || next.is_some_and(|next| age(next).is_some()) {
                    recent.push(Naming {
                        model: model.clone(),
                        version: one.version,
                        age: age(one),
                    });
                }
            }
        }
        recent
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
