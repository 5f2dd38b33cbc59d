//! Decides which daemons read the platform's store, and how often.
//!
//! Each read is charged, and the rate limits of the store apply to all daemons together. The
//! schedulers and some daemons ranked after them read for all, so that a partition of a few daemons
//! does not leave the others without updates. The rest read only while they know of no recent read;
//! each daemon tells its peers of the last read that it knows of.
//! The scheduler of a topic forwards what any daemon reads to all; a daemon that missed
//! an update asks for it.

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::{Dependency, Digest, Node, Topic};
use crate::prelude::*;

/// Minimum time between two reads of the servers' topic, so that one read returns several changes.
const MIN_SERVERS_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which the readers that are not schedulers together read the servers' topic once.
const JOINT_SERVERS_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time between two reads of the servers' topic: a leaving server may receive requests for
/// two seconds after the store knows, whatever peers report.
const MAX_SERVERS_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time between two reads of the daemons' registrations: daemons learn of each other sooner by
/// digests.
const ROUTERS_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two reads of the lease by its candidates: less than the time between two renewals.
const CANDIDATE_LEASE_INTERVAL: Duration = Duration::from_millis(600);
/// The same for other daemons, which need the lease only after the candidates have failed.
const LEASE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Maximum wait for a record of a read of the operators' topic, or of the lease by a candidate. A read
/// that is lost while its partition is silent is noticed only after this wait: records must be in force
/// within 2 s after 3 s without faults. It is longer than the time between two renewals of the lease.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Number of different lengths of that wait, by daemon.
const WAIT_STEPS: u64 = 16;
/// Maximum wait of a read of the servers' topic. After a lost read, registrations that are gone count as
/// lapsed for a time that must have passed by then, too.
const SERVERS_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait of a lease read by other daemons, which need it only after the candidates have failed.
const LEASE_WAIT: Duration = Duration::from_secs(5);
/// Maximum wait of a read of the daemons' registrations and blocks. Nothing is due in a limited time
/// by them: digests bring daemons and blocks sooner.
const ROUTERS_WAIT: Duration = Duration::from_secs(20);
/// Maximum wait of a scheduler's reads that other daemons rely on: a read that has returned shows that
/// the store is reachable, a pending one does not.
const SCHEDULER_WAIT: Duration = Duration::from_millis(400);
/// Delay from a failed read to the next, for daemons that read for all.
const READER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The same for other daemons: during an outage of the store every daemon reads, and the first
/// reader that gets an answer informs the others.
const RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Age of the last known read, by any daemon, from which a daemon reads by itself: a configuration must be in force within 2 s, even if every scheduler is partitioned from the
/// store.
const MAX_READ_AGE: Duration = Duration::from_millis(1_300);
/// Mean time between two reads by any daemon while no reader gets an answer, whatever the number of
/// daemons.
const JOINT_READ_INTERVAL: Duration = Duration::from_millis(5);
/// Number of daemons, by rank, that read the lease often.
const LEASE_CANDIDATES: u32 = 3;

impl Node {
    /// Whether this daemon should read what is tracked: because it reads for all, or because it knows
    /// of no recent read.
    pub fn should_read(&self, now: Time, tracked: Dependency) -> bool {
        let topic = match tracked {
            Dependency::Topic(topic) => topic,
            // The candidates always read it; the others need it after the candidates have failed.
            Dependency::Lease if self.is_lease_candidate() => return true,
            Dependency::Lease => Topic::Operator,
        };
        if self.awaits_first_copy(now, topic) {
            return false;
        }
        let is_lease = tracked == Dependency::Lease;
        if !self.known_topics.contains(&topic) || !is_lease && self.must_confirm_copy(topic) {
            return true;
        }
        let read_at = self.last_read_at(topic);
        let is_old = read_at.is_some_and(|at| now >= *at + MAX_READ_AGE);
        if self.has_just_started(now) && !is_old {
            return false;
        }
        if self.is_store_reader() && tracked != Dependency::Lease {
            return true;
        }
        read_at.is_none_or(|at| now >= *at + MAX_READ_AGE + self.read_stagger())
    }

    /// Additional age of the last known read at which this daemon reads. It differs by daemon, so
    /// that only some of them call a store that answers nobody; the first that gets an answer
    /// informs the others.
    fn read_stagger(&self) -> Duration {
        let share = xxh3_64(self.identity.id.as_bytes()) as f64 / u64::MAX as f64;
        self.joint_read_time().mul_f64(share)
    }

    /// Time in which all daemons together read the store once while no reader gets an answer.
    fn joint_read_time(&self) -> Duration {
        let daemons = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        JOINT_READ_INTERVAL.saturating_mul(daemons)
    }

    /// Records when peers read topics, as one of them reports it. Records that this daemon lacks come
    /// from peers, so it need not read the store for them.
    pub(in crate::fleet) fn note_peer_reads(
        &mut self,
        now: Time,
        digest: &Digest,
        delay: Duration,
    ) {
        for topic in Topic::ALL {
            let age = digest.read_ages.get(topic as usize).copied().flatten();
            let at = age.and_then(|age| now.checked_sub(age.saturating_add(delay)));
            if let Some(at) = at {
                let known = self.read_at.entry(topic).or_insert(at);
                *known = at.max(*known);
            }
        }
    }

    /// Whether this daemon is one of the first candidates for the lease, among the known daemons.
    pub(in crate::fleet) fn is_lease_candidate(&self) -> bool {
        self.known_topics.contains(&Topic::Routers) && self.rank_among_daemons() < LEASE_CANDIDATES
    }

    /// Whether other daemons rely on what this one reads.
    fn is_relied_on(&self, now: Time) -> bool {
        self.is_scheduler(now) && self.has_non_readers()
    }

    /// Age of the last known read of each topic, in the order of [`Topic::ALL`].
    pub(in crate::fleet) fn read_ages(&self, now: Time) -> Vec<Option<Duration>> {
        let age = |at: &Time| now.saturating_sub(*at);
        Topic::ALL.iter().map(|topic| self.last_read_at(*topic).map(age)).collect()
    }

    /// Time of the last known read of a topic. Reads of the daemons' registrations wait long; a
    /// daemon that reads the operators' topic reads them too.
    fn last_read_at(&self, topic: Topic) -> Option<&Time> {
        let read_at = self.read_at.get(&topic);
        match topic {
            Topic::Operator | Topic::Servers => read_at,
            Topic::Routers => read_at.max(self.read_at.get(&Topic::Operator)),
        }
    }

    /// Maximum wait of a read for a record.
    pub fn max_read_wait(&self, now: Time, tracked: Dependency) -> Duration {
        match tracked {
            Dependency::Topic(Topic::Operator | Topic::Servers) if self.is_relied_on(now) => {
                SCHEDULER_WAIT
            }
            // The wait differs by daemon: a record ends all waits at once, and with equal waits no
            // daemon would have asked later than another when the next record comes.
            Dependency::Topic(Topic::Operator) => {
                let step = xxh3_64(self.identity.id.as_bytes()) % WAIT_STEPS;
                MAX_WAIT - MAX_WAIT / 2 * step as u32 / WAIT_STEPS as u32
            }
            Dependency::Topic(Topic::Servers) => SERVERS_WAIT,
            Dependency::Topic(Topic::Routers) => ROUTERS_WAIT,
            Dependency::Lease if self.rank_among_daemons() >= LEASE_CANDIDATES => LEASE_WAIT,
            Dependency::Lease => MAX_WAIT,
        }
    }

    /// Delay from a failed read to the next.
    pub fn retry_delay(&self) -> Duration {
        if self.is_store_reader() {
            READER_RETRY_DELAY
        } else {
            RETRY_DELAY.max(self.joint_read_time())
        }
    }

    /// Time from a successful read to the next.
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
