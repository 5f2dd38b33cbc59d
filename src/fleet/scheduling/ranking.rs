//! Selection of the daemons that act as schedulers.

use std::cmp::Ordering;
use std::net::SocketAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fleet::Node;
use crate::fleet::peer::Peer;
use crate::prelude::*;

/// Number of schedulers: one places the requests of a pool, the others have enough state to take over.
const SCHEDULER_COUNT: usize = 3;
/// Number of daemons ranked after the schedulers that know the crashes of servers, too.
const SUCCESSOR_COUNT: usize = 3;
/// Interval between updates of the ranking.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Silence after which a highly ranked daemon counts as gone: a scheduler sends digests to all daemons
/// at least twice a second.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Number of top-ranked daemons that may act as schedulers right after their start, before they have
/// heard from any peer. Without the limit, each of many daemons would send digests to all others.
const MAX_STARTUP_SCHEDULERS: usize = 12;
/// Number of top-ranked daemons that read the platform's store while schedulers read it, too. Each read
/// has a cost, and this many suffice to spread the records whichever of them are cut off.
const STORE_READER_COUNT: usize = 12;
/// Time after its start from which a daemon relies only on the peers that it has heard from.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Time after a daemon's start within which it hears from the schedulers. Until then it does not read
/// the store again; otherwise each of many starting daemons would read every other's registration.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which a scheduler that did not reply to a submission receives no further ones.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(1_000);

/// The sort key of a daemon in the choice of schedulers: larger VMs first, then by a hash.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::fleet) struct Rank {
    cores: f32,
    hash: u64,
}

impl Rank {
    pub(in crate::fleet) fn new(id: &str, cores: f32) -> Self {
        Self { cores, hash: xxh3_64(id.as_bytes()) }
    }

    /// Compares two ranks; the preferred daemon is the lesser.
    pub(in crate::fleet) fn compare(&self, other: &Self) -> Ordering {
        other.cores.total_cmp(&self.cores).then(other.hash.cmp(&self.hash))
    }
}

/// This daemon's view of the schedulers.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Ranking {
    /// The schedulers by rank, highest first; may include this daemon.
    schedulers: Vec<String>,
    /// The daemons that rank next, which take over if all schedulers end at once.
    successors: Vec<String>,
    next_update: Time,
    started_at: Option<Time>,
    /// Number of daemons that rank above this one, whether heard from or not.
    higher_ranked: usize,
    /// Whether there are recent digests from most of the daemons; otherwise this one may be partitioned from them.
    hears_most: bool,
}

impl Node {
    /// Updates the schedulers if the interval has passed.
    pub(in crate::fleet) fn update_ranking(&mut self, now: Time) {
        if now < self.ranking.next_update {
            return;
        }
        self.ranking.next_update = now + UPDATE_INTERVAL;
        self.ranking.started_at.get_or_insert(now);
        let own = Rank::new(&self.identity.id, self.identity.cores);
        let mut ranked: Vec<(Rank, Option<&str>)> = self
            .peers
            .iter()
            .filter_map(|(id, peer)| Some((peer.standing?, Some(id.as_str()))))
            .collect();
        self.ranking.higher_ranked =
            ranked.iter().filter(|(rank, _)| rank.compare(&own).is_lt()).count();
        self.ranking.hears_most = 2 * (self.fresh_peer_count(now) + 1) > self.daemon_count();
        let silent = |id: &str| {
            self.peers.get(id).is_none_or(|peer| peer.is_silent_or_draining(now, SILENCE_LIMIT))
        };
        ranked.retain(|(_, id)| id.is_none_or(|id| !silent(id)));
        if !self.draining {
            ranked.push((own, None));
        }
        // Daemons that reach no server schedule only if none is known that does.
        let reaches = |id: Option<&str>| match id {
            Some(id) => !self.peers.get(id).is_some_and(Peer::is_cut_off),
            None => !self.is_cut_off(),
        };
        if ranked.iter().any(|(_, id)| reaches(*id)) {
            ranked.retain(|(_, id)| reaches(*id));
        }
        ranked.sort_by(|(a, _), (b, _)| a.compare(b));
        let first = ranked.into_iter().take(SCHEDULER_COUNT + SUCCESSOR_COUNT);
        let mut schedulers: Vec<String> =
            first.map(|(_, id)| id.unwrap_or(&self.identity.id).to_owned()).collect();
        let successors = schedulers.split_off(SCHEDULER_COUNT.min(schedulers.len()));
        for (id, peer) in &mut self.peers {
            peer.update_rank(now, schedulers.contains(id), SILENCE_LIMIT);
        }
        let newcomers = schedulers.iter().filter(|id| !self.ranking.schedulers.contains(id));
        let newcomers = newcomers.filter_map(|id| self.peer_address(id)).collect();
        self.ranking.schedulers = schedulers;
        self.ranking.successors = successors;
        self.send_known_crashes(now, newcomers);
        self.fill_retry_budgets(now);
    }

    /// Updates the schedulers at once, unless this daemon has not started to rank daemons.
    pub(in crate::fleet) fn refresh_ranking(&mut self, now: Time) {
        if self.ranking.started_at.is_some() {
            self.ranking.next_update = now;
            self.update_ranking(now);
        }
    }

    /// Returns whether this daemon is a scheduler and announces it to all daemons.
    pub(in crate::fleet) fn is_scheduler(&self, now: Time) -> bool {
        let ranking = &self.ranking;
        let started = ranking.started_at.is_some_and(|at| now >= at + STARTUP_PERIOD);
        (started || ranking.higher_ranked < MAX_STARTUP_SCHEDULERS)
            && ranking.schedulers.contains(&self.identity.id)
    }

    /// Whether there were recent digests from most of the daemons, this one included, at the last update of the ranking.
    pub(in crate::fleet) fn hears_most(&self) -> bool {
        self.ranking.hears_most
    }

    /// The schedulers other than this daemon.
    pub(in crate::fleet) fn other_schedulers(&self) -> impl Iterator<Item = (&String, &Peer)> {
        let ids = self.ranking.schedulers.iter();
        ids.filter_map(|id| Some((id, self.peers.get(id)?)))
    }

    /// Addresses of the other schedulers that were heard from recently.
    pub(in crate::fleet) fn scheduler_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let heard = self.other_schedulers().filter(|(_, peer)| peer.is_fresh(now));
        heard.map(|(_, peer)| peer.address).collect()
    }

    /// Addresses of the other schedulers and of the daemons that rank next, if they have sent a recent digest.
    pub(in crate::fleet) fn successor_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let ids = self.ranking.schedulers.iter().chain(&self.ranking.successors);
        let heard = ids.filter_map(|id| self.peers.get(id)).filter(|peer| peer.is_fresh(now));
        heard.map(|peer| peer.address).collect()
    }

    /// Sends the known crashes to a daemon that has restarted, if it schedules or may have to.
    pub(in crate::fleet) fn restore_crashes(&mut self, now: Time, daemon: &str) {
        let mut ids = self.ranking.schedulers.iter().chain(&self.ranking.successors);
        if ids.any(|id| id == daemon) {
            let address = self.peer_address(daemon).into_iter().collect();
            self.send_known_crashes(now, address);
        }
    }

    /// The number of daemons that precede this one in claiming an exclusive resource.
    pub(in crate::fleet) fn rank_among_daemons(&self) -> u32 {
        let ranking = &self.ranking;
        let own = ranking.schedulers.iter().position(|id| *id == self.identity.id);
        let rank = own.unwrap_or_else(|| ranking.higher_ranked.max(ranking.schedulers.len()));
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Returns whether this daemon reads the platform's store for the others.
    pub(in crate::fleet) fn is_store_reader(&self) -> bool {
        self.ranking.higher_ranked < STORE_READER_COUNT
    }

    /// Returns whether this daemon started a moment ago: it has read everything once and does not know
    /// the readers yet.
    pub(in crate::fleet) fn has_just_started(&self, now: Time) -> bool {
        self.ranking.started_at.is_none_or(|at| now < at + DISCOVERY_PERIOD)
    }

    /// Returns whether some daemons leave reading to others.
    pub(in crate::fleet) fn has_non_readers(&self) -> bool {
        self.peers.len() >= STORE_READER_COUNT
    }

    /// The scheduler of `name`, a pool or a holder of cached parts; `None` if it is this daemon or none
    /// was heard from.
    pub(in crate::fleet) fn scheduler_of(&self, now: Time, name: &str) -> Option<&str> {
        let score = |id: &str| xxh3_64_with_seed(name.as_bytes(), xxh3_64(id.as_bytes()));
        let usable = self.other_schedulers().filter(|(_, peer)| peer.may_schedule(now));
        let best = usable.map(|(id, _)| id.as_str()).max_by_key(|id| score(id))?;
        let own = self.is_scheduler(now) && score(&self.identity.id) > score(best);
        (!own).then_some(best)
    }

    /// Number of schedulers that place the requests of a pool before this one while they are heard;
    /// `None` if this daemon is no scheduler.
    pub(in crate::fleet) fn scheduler_position(&self, now: Time, pool: &str) -> Option<usize> {
        if !self.is_scheduler(now) {
            return None;
        }
        let score = |id: &str| xxh3_64_with_seed(pool.as_bytes(), xxh3_64(id.as_bytes()));
        let own = score(&self.identity.id);
        let heard =
            self.other_schedulers().filter(|(_, peer)| peer.is_fresh(now) && !peer.is_draining());
        Some(heard.filter(|(id, _)| score(id) > own).count())
    }

    /// The scheduler heard from last, even if avoided: for requests that only a scheduler can admit.
    pub(in crate::fleet) fn last_heard_scheduler(&self, now: Time) -> Option<&str> {
        let heard =
            self.other_schedulers().filter(|(_, peer)| peer.is_fresh(now) && !peer.is_draining());
        heard.max_by_key(|(_, peer)| peer.heard_at).map(|(id, _)| id.as_str())
    }

    /// Suspends submissions to a scheduler that did not reply to one.
    pub(in crate::fleet) fn avoid_scheduler(&mut self, now: Time, scheduler: &str) {
        if let Some(peer) = self.peers.get_mut(scheduler) {
            peer.avoid_until(now + AVOIDANCE_PERIOD);
        }
    }
}
