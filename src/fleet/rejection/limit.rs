//! The reject limits that the servers of pools state.

use crate::prelude::*;

/// Time after its last statement for which a limit is in force. Digests repeat a statement to all
/// daemons several times within it.
const LIFETIME: Duration = Duration::from_secs(5);

/// The reject limit of a pool's servers, as reported to other daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limit {
    /// The pool.
    pub pool: String,
    /// The number of requests that each of its servers can reject in a second without crashing.
    pub rejects: u32,
    /// Time since a server last stated it.
    pub age: Duration,
}

/// The limits by pool: the number of rejects, and when a server last stated it.
#[derive(Debug, Default)]
pub(super) struct Limits {
    pools: BTreeMap<String, (u32, Time)>,
}

impl Limits {
    /// The limit in force for the servers of a pool.
    pub(super) fn get(&self, now: Time, pool: &str) -> Option<u32> {
        if self.pools.is_empty() {
            return None;
        }
        let (rejects, stated_at) = self.pools.get(pool)?;
        is_current(now, *stated_at).then_some(*rejects)
    }

    /// Merges a statement; returns whether another limit is in force now. The lowest of several
    /// current limits is in force.
    pub(super) fn merge(&mut self, now: Time, limit: &Limit) -> bool {
        let stated_at = now.saturating_sub(limit.age);
        if limit.age >= LIFETIME {
            return false;
        }
        let known = self.pools.get(&limit.pool).filter(|(_, at)| is_current(now, *at));
        match known {
            Some((rejects, _)) if *rejects < limit.rejects => false,
            Some((rejects, at)) if *rejects == limit.rejects => {
                let at = stated_at.max(*at);
                self.pools.insert(limit.pool.clone(), (limit.rejects, at));
                false
            }
            Some(_) | None => {
                self.pools.insert(limit.pool.clone(), (limit.rejects, stated_at));
                true
            }
        }
    }

    /// Removes the limits that are no longer in force; returns their pools.
    pub(super) fn remove_lapsed(&mut self, now: Time) -> Vec<String> {
        let lapsed = self.pools.iter().filter(|(_, (_, at))| !is_current(now, *at));
        let lapsed: Vec<String> = lapsed.map(|(pool, _)| pool.clone()).collect();
        for pool in &lapsed {
            self.pools.remove(pool);
        }
        lapsed
    }

    /// The limits in force.
    pub(super) fn in_force(&self, now: Time) -> impl Iterator<Item = Limit> + '_ {
        let current = self.pools.iter().filter(move |(_, (_, at))| is_current(now, *at));
        current.map(move |(pool, (rejects, at))| Limit {
            pool: pool.clone(),
            rejects: *rejects,
            age: now.saturating_sub(*at),
        })
    }
}

fn is_current(now: Time, stated_at: Time) -> bool {
    now < stated_at + LIFETIME
}
