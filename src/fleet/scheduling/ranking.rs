//! Which daemons schedule.

use std::cmp::Ordering;
use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fleet::Node;
use crate::fleet::peer::Peer;
use crate::prelude::*;

/// Daemons that schedule: one carries the pools, the others know enough to go on where it ends.
const SCHEDULERS: usize = 3;
/// Time between two looks at who schedules.
const LOOK: Duration = Duration::from_millis(100);
/// Time in which a daemon that ranks high is heard of if it is there: it tells all that it schedules
/// twice a second at least.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// Daemons after the schedulers that may take themselves for schedulers right after their start, when
/// nobody has been heard of: with all of them, each of many would tell all others.
const STARTERS: usize = 12;
/// Daemons that read the platform's store also while schedulers read it: each read is charged for, and
/// so many are enough for the store's word to reach all whichever of them are cut off.
const READERS: usize = 12;
/// Time after a daemon's start from which it goes by whom it has heard alone.
const STARTED: Duration = Duration::from_secs(3);
/// Time after a daemon's start in which schedulers make themselves heard: a daemon that starts among
/// many reads nothing again meanwhile, or each would read every registration of the others.
const SETTLED: Duration = Duration::from_millis(1_000);
/// Time for which a scheduler that left a submission without a word gets no more of them.
const AVOIDED: Duration = Duration::from_millis(1_000);

/// A daemon's place in the order in which daemons schedule: the larger VMs first, among them by a hash.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::fleet) struct Rank {
    cores: f32,
    hash: u64,
}

impl Rank {
    pub(in crate::fleet) fn new(id: &str, cores: f32) -> Self {
        Self { cores, hash: xxh3_64(id.as_bytes()) }
    }

    /// Who goes before whom: the first is the least.
    fn order(&self, other: &Self) -> Ordering {
        other.cores.total_cmp(&self.cores).then(other.hash.cmp(&self.hash))
    }
}

/// Who schedules, as this daemon sees it.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Ranking {
    /// The schedulers, the first in the order of daemons first; this daemon may be among them.
    schedulers: Vec<String>,
    next_look: Time,
    started: Option<Time>,
    /// Daemons that go before this one, heard of or not.
    before: usize,
}

impl Node {
    /// Looks at who schedules, where that is due.
    pub(in crate::fleet) fn update_ranking(&mut self, now: Time) {
        if now < self.ranking.next_look {
            return;
        }
        self.ranking.next_look = now + LOOK;
        self.ranking.started.get_or_insert(now);
        let own = Rank::new(&self.identity.id, self.identity.cores);
        let mut ranked: Vec<(Rank, Option<&str>)> = self
            .peers
            .iter()
            .filter_map(|(id, peer)| Some((peer.standing?, Some(id.as_str()))))
            .collect();
        self.ranking.before =
            ranked.iter().filter(|(standing, _)| standing.order(&own).is_lt()).count();
        let silent = |id: &str| {
            self.peers.get(id).is_none_or(|peer| peer.is_silent_or_draining(now, SILENT_AFTER))
        };
        ranked.retain(|(_, id)| id.is_none_or(|id| !silent(id)));
        if !self.draining {
            ranked.push((own, None));
        }
        ranked.sort_by(|(a, _), (b, _)| a.order(b));
        let first = ranked.into_iter().take(SCHEDULERS);
        let schedulers: Vec<String> =
            first.map(|(_, id)| id.unwrap_or(&self.identity.id).to_owned()).collect();
        for (id, peer) in &mut self.peers {
            peer.update_rank(now, schedulers.contains(id), SILENT_AFTER);
        }
        let newcomers = schedulers.iter().filter(|id| !self.ranking.schedulers.contains(id));
        let newcomers = newcomers.filter_map(|id| self.peer_address(id)).collect();
        self.ranking.schedulers = schedulers;
        self.send_known_crashes(now, newcomers);
    }

    /// Whether this daemon schedules and tells all daemons so.
    pub(in crate::fleet) fn is_scheduler(&self, now: Time) -> bool {
        let ranking = &self.ranking;
        let started = ranking.started.is_some_and(|at| now >= at + STARTED);
        (started || ranking.before < STARTERS) && ranking.schedulers.contains(&self.identity.id)
    }

    /// The schedulers but this daemon.
    pub(in crate::fleet) fn other_schedulers(&self) -> impl Iterator<Item = (&String, &Peer)> {
        let ids = self.ranking.schedulers.iter();
        ids.filter_map(|id| Some((id, self.peers.get(id)?)))
    }

    /// Where the other schedulers listen that were heard of lately.
    pub(in crate::fleet) fn scheduler_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let heard = self.other_schedulers().filter(|(_, peer)| peer.is_fresh(now));
        heard.map(|(_, peer)| peer.address).collect()
    }

    /// How many daemons go before this one in taking what only one may have.
    pub(in crate::fleet) fn rank_among_daemons(&self) -> u32 {
        let ranking = &self.ranking;
        let own = ranking.schedulers.iter().position(|id| *id == self.identity.id);
        let rank = own.unwrap_or_else(|| ranking.before.max(ranking.schedulers.len()));
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Whether this daemon is one of those that read the platform's store for the others.
    pub(in crate::fleet) fn is_store_reader(&self) -> bool {
        self.ranking.before < READERS
    }

    /// Whether this daemon has only just started: it has read everything once, and who reads on is not
    /// known yet.
    pub(in crate::fleet) fn has_just_started(&self, now: Time) -> bool {
        self.ranking.started.is_none_or(|at| now < at + SETTLED)
    }

    /// Whether there are daemons that leave reading to others.
    pub(in crate::fleet) fn has_non_readers(&self) -> bool {
        self.peers.len() >= READERS
    }

    /// The daemon that schedules what `name` names, a pool or a keeper of cached parts; `None` where it
    /// is this one, or none is heard of.
    pub(in crate::fleet) fn scheduler_of(&self, now: Time, name: &str) -> Option<&str> {
        let score = |id: &str| xxh3_64_with_seed(name.as_bytes(), xxh3_64(id.as_bytes()));
        let usable = self.other_schedulers().filter(|(_, peer)| peer.may_schedule(now));
        let best = usable.map(|(id, _)| id.as_str()).max_by_key(|id| score(id))?;
        let own = self.is_scheduler(now) && score(&self.identity.id) > score(best);
        (!own).then_some(best)
    }

    /// A scheduler that was heard of lately, also one that is avoided: for what nobody else may let in.
    pub(in crate::fleet) fn last_heard_scheduler(&self, now: Time) -> Option<&str> {
        let heard =
            self.other_schedulers().filter(|(_, peer)| peer.is_fresh(now) && !peer.is_draining());
        heard.max_by_key(|(_, peer)| peer.heard_at).map(|(id, _)| id.as_str())
    }

    /// Submits nothing to a scheduler for a while that left a submission without a word.
    pub(in crate::fleet) fn avoid_scheduler(&mut self, now: Time, scheduler: &str) {
        if let Some(peer) = self.peers.get_mut(scheduler) {
            peer.avoid_until(now + AVOIDED);
        }
    }
}
