//! Division of a limit of one server among the daemons, without communication.
//!
//! The first scheduler of a pool places the requests of all daemons and has most of a limit. While it is silent, other
//! schedulers place requests, and any daemon may place its own, so these have a part, too.

use xxhash_rust::xxh3::xxh3_64;

use super::Node;
use crate::prelude::*;

/// Time for which a daemon must have had a position among the schedulers until it uses its share: the one before it may
/// not yet know that it has lost it, and rejects that it caused in the last second still count.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Interval between updates of the share of a daemon that is no scheduler. They look at each peer.
const OTHER_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// This daemon's part in the limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Share {
    /// It may place the requests of all daemons: its position among the schedulers.
    Scheduler(usize),
    /// It may place requests of its own: its position among the daemons by id, and their number.
    Other { position: usize, daemons: usize },
}

/// This daemon's shares.
#[derive(Debug, Default)]
pub(super) struct Shares {
    /// Its position among the schedulers, by pool.
    claims: BTreeMap<String, Claim>,
    /// Its share of the limits in pools for which it is no scheduler.
    other: Share,
    /// When that is updated next.
    next_update: Time,
}

/// The position of a daemon among the schedulers of a pool.
#[derive(Debug, Default)]
struct Claim {
    /// The position as of the last update, and since when.
    last: Option<(usize, Time)>,
    settled: Option<usize>,
}

impl Claim {
    /// Updates the position. A lower share counts at once, and a higher one after some time.
    fn update(&mut self, now: Time, position: Option<usize>) {
        let since = self.last.filter(|(last, _)| Some(*last) == position).map(|(_, since)| since);
        self.last = position.map(|position| (position, since.unwrap_or(now)));
        let Some(position) = position else {
            self.settled = None;
            return;
        };
        let is_lower = self.settled.is_some_and(|settled| position >= settled);
        if is_lower || since.is_some_and(|since| now >= since + SETTLE_TIME) {
            self.settled = Some(position);
        }
    }
}

impl Default for Share {
    fn default() -> Self {
        Self::Other { position: 0, daemons: usize::MAX }
    }
}

impl Share {
    /// Number of units that this daemon has of `total` ones that the daemons that schedule no requests have together at
    /// a server. If there are fewer units than daemons, each server is assigned to as many daemons as it has units.
    pub(super) fn units_of_others(
        position: usize,
        daemons: usize,
        total: usize,
        server: &str,
    ) -> usize {
        let daemons = daemons.max(1);
        let first = (xxh3_64(server.as_bytes()) % daemons as u64) as usize;
        let distance = (position + daemons - first) % daemons;
        total / daemons + usize::from(distance < total % daemons)
    }
}

impl Node {
    /// Updates this daemon's shares. A daemon with digests from only a minority of the daemons may be one of several that
    /// each regard themselves as the scheduler.
    pub(super) fn update_shares(&mut self, now: Time) {
        let may_lead = self.hears_most() && !self.has_just_started(now);
        let mut claims = std::mem::take(&mut self.shares.claims);
        claims.retain(|pool, _| self.pools.contains_key(pool));
        for pool in self.pools.keys() {
            let position = self.scheduler_position(now, pool).filter(|_| may_lead);
            claims.entry(pool.clone()).or_default().update(now, position);
        }
        self.shares.claims = claims;
        if now >= self.shares.next_update {
            self.shares.next_update = now + OTHER_UPDATE_INTERVAL;
            let (position, daemons) = (self.position_among_daemons(), self.daemon_count());
            self.shares.other = Share::Other { position, daemons };
        }
    }

    /// This daemon's share of the limits of a pool's servers.
    pub(super) fn share(&self, pool: &str) -> Share {
        let position = self.shares.claims.get(pool).and_then(|claim| claim.settled);
        position.map_or(self.shares.other, Share::Scheduler)
    }
}
