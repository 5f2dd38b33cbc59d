//! Which daemons read the platform's store, and how often.
//!
//! Each read is charged for, and the store's rates are of all daemons together. The schedulers read for
//! all; some daemons after them read too, so that no few that are cut off leave the others without a
//! word; the rest read by themselves while no scheduler has lately. Whatever one daemon reads the
//! scheduler of the topic tells all, and who is missed asks.

use xxhash_rust::xxh3::xxh3_64;

use super::{Dependency, Node, Topic};
use crate::prelude::*;

/// Shortest time between two reads of the servers' topic, so that several changes come at once.
const MIN_SERVERS_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which readers that do not schedule read the servers' topic once between them.
const JOINT_SERVERS_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two reads of the servers' topic: a leaving server may be given work for two
/// seconds after the store knows, whatever peers tell.
const MAX_SERVERS_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time between two reads of daemons' registrations: digests make daemons known to each other sooner.
const ROUTERS_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of the lease for those who may take it next: under the time between two
/// renewals.
const CANDIDATE_LEASE_INTERVAL: Duration = Duration::from_millis(600);
/// The same for all others, who need it only once those before them are gone.
const LEASE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time that a read of the lease waits for a record while engines lack weights: longer than the time
/// between two renewals, and short beside the limit for weights. A read that the store swallows in an
/// outage is noticed only after it, and weights that were named before stay away for as long.
const ACTIVE_LEASE_WAIT: Duration = Duration::from_secs(2);
/// The same for those who may take the lease next while there is nothing to order.
const CANDIDATE_LEASE_WAIT: Duration = Duration::from_secs(5);
/// Longest time that a read of what operators publish waits for a record. A read that an outage swallowed is noticed only after
/// it, and has the others asked anew: configurations are due within 2 s of 3 s of calm.
const MAX_OPERATOR_WAIT: Duration = Duration::from_secs(2);
/// Different lengths of that wait.
const OPERATOR_WAIT_STEPS: u64 = 16;
/// Time that any other read waits for a record.
const DEFAULT_WAIT: Duration = Duration::from_secs(20);
/// The same for a scheduler's reads that other daemons rely on: a read that has ended shows that the
/// store is there, one that waits does not.
const SCHEDULER_WAIT: Duration = Duration::from_millis(400);
/// Time from a read that failed to the next, for those who read for all.
const READER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The same for all others: while the store is down every daemon reads by itself, and the first reader
/// that it answers tells the others.
const RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Age of what a scheduler has read from which a daemon reads by itself: a configuration is to be in
/// force within 2 s, also where every scheduler is cut off from the store.
const MAX_SCHEDULER_READ_AGE: Duration = Duration::from_millis(1_300);
/// Daemons that read the lease often.
const LEASE_CANDIDATES: u32 = 3;

impl Node {
    /// Whether this daemon is to read what is tracked: as one of those who read for all, or because no
    /// scheduler tells that it has lately.
    pub fn should_read(&self, now: Time, tracked: Dependency) -> bool {
        let topic = match tracked {
            Dependency::Topic(topic) => topic,
            // Those who may take it next read it; the others need it once those have fallen silent.
            Dependency::Lease if self.is_lease_candidate() => return true,
            Dependency::Lease => Topic::Operator,
        };
        if self.has_just_started(now) {
            return false;
        }
        if self.is_store_reader() && tracked != Dependency::Lease {
            return true;
        }
        let told = self.other_schedulers().filter(|(_, peer)| peer.is_fresh(now));
        let ages = told.filter_map(|(_, peer)| peer.read_age(now, topic));
        ages.min().is_none_or(|age| age >= MAX_SCHEDULER_READ_AGE)
    }

    /// Whether this daemon is one of the first to take the lease, as far as daemons are known.
    fn is_lease_candidate(&self) -> bool {
        self.known_topics.contains(&Topic::Routers) && self.rank_among_daemons() < LEASE_CANDIDATES
    }

    /// Whether other daemons rely on what this one reads.
    fn is_relied_on(&self, now: Time) -> bool {
        self.is_scheduler(now) && self.has_non_readers()
    }

    /// How old what was read of each topic is, in the order of [`Topic::ALL`].
    pub(super) fn read_ages(&self, now: Time) -> Vec<Option<Duration>> {
        // Reads of daemons' registrations wait long; who reads the others reads them too.
        let read = |topic: Topic| match topic {
            Topic::Operator | Topic::Servers => self.read_at.get(&topic),
            Topic::Routers => self.read_at.get(&Topic::Operator),
        };
        let age = |at: &Time| now.saturating_sub(*at);
        Topic::ALL.iter().map(|topic| read(*topic).map(age)).collect()
    }

    /// Time that a read may wait for a record.
    pub fn max_read_wait(&self, now: Time, tracked: Dependency) -> Duration {
        match tracked {
            Dependency::Topic(Topic::Operator | Topic::Servers) if self.is_relied_on(now) => {
                SCHEDULER_WAIT
            }
            // Each daemon waits differently long: a record ends all waits at once, and with equal ones no daemon would
            // have asked later than another when the next record comes.
            Dependency::Topic(Topic::Operator) => {
                let part = xxh3_64(self.identity.id.as_bytes()) % OPERATOR_WAIT_STEPS;
                MAX_OPERATOR_WAIT - MAX_OPERATOR_WAIT / 2 * part as u32 / OPERATOR_WAIT_STEPS as u32
            }
            Dependency::Topic(_) => DEFAULT_WAIT,
            Dependency::Lease if self.rank_among_daemons() >= LEASE_CANDIDATES => DEFAULT_WAIT,
            Dependency::Lease if self.rollout.is_active() => ACTIVE_LEASE_WAIT,
            Dependency::Lease => CANDIDATE_LEASE_WAIT,
        }
    }

    /// Time from a read that failed to the next one.
    pub fn retry_delay(&self) -> Duration {
        if self.is_store_reader() { READER_RETRY_DELAY } else { RETRY_DELAY }
    }

    /// Time from a read that brought something to the next read.
    pub fn read_interval(&self, now: Time, tracked: Dependency) -> Duration {
        match tracked {
            Dependency::Topic(Topic::Operator) => Duration::ZERO,
            Dependency::Topic(Topic::Routers) => ROUTERS_INTERVAL,
            Dependency::Topic(Topic::Servers) if self.is_relied_on(now) => MIN_SERVERS_INTERVAL,
            Dependency::Topic(Topic::Servers) => {
                let daemons = u32::try_from(self.fresh_peer_count(now) + 1).unwrap_or(u32::MAX);
                JOINT_SERVERS_INTERVAL
                    .saturating_mul(daemons)
                    .clamp(MIN_SERVERS_INTERVAL, MAX_SERVERS_INTERVAL)
            }
            Dependency::Lease if self.rank_among_daemons() < LEASE_CANDIDATES => {
                CANDIDATE_LEASE_INTERVAL
            }
            Dependency::Lease => LEASE_INTERVAL,
        }
    }
}
