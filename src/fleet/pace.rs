//! How often the platform's store is read.
//!
//! Each read is charged for, and the store's rates are of all daemons together. Whatever one daemon
//! reads it tells some peers at once, and they tell others, so that daemons share the reading: the more
//! of them are heard of, the longer each waits between two reads of a topic that changes often.

use super::{Node, Topic, Tracked};
use crate::prelude::*;

/// Time in which daemons that hear of each other read the servers' topic once between them.
const SERVERS_TOGETHER: Duration = Duration::from_millis(50);
/// Shortest time between two reads of the servers' topic, so that several changes come at once.
const SERVERS_LEAST: Duration = Duration::from_millis(250);
/// Longest: a leaving server may be given work for two seconds after the store knows, whatever peers
/// tell.
const SERVERS_MOST: Duration = Duration::from_millis(1_200);
/// Time between two reads of daemons' registrations: digests make daemons known to each other sooner.
const ROUTERS: Duration = Duration::from_secs(2);
/// Time between two reads of the lease for those who may take it next: under the time between two
/// renewals.
const LEASE_SOON: Duration = Duration::from_millis(600);
/// The same for all others, who need it only once those before them are gone.
const LEASE_LATER: Duration = Duration::from_millis(2_500);
/// Time that a read of the lease waits for a record while engines lack weights: longer than the time
/// between two renewals, and short beside the limit for weights. A read that the store swallows in an
/// outage is noticed only after it; with 20 s, weights that were named before stayed away for as long.
const LEASE_WAIT_ACTIVE: Duration = Duration::from_secs(2);
/// The same for those who may take the lease next while there is nothing to order.
const LEASE_WAIT_SOON: Duration = Duration::from_secs(5);
/// The same for all others.
const LEASE_WAIT_LATER: Duration = Duration::from_secs(20);
/// Daemons that read the lease often.
const LEASE_CANDIDATES: u32 = 3;

impl Node {
    /// Time that a read of the lease may wait for a record.
    pub fn lease_wait(&self, now: Time) -> Duration {
        if self.rank_among_daemons(now) >= LEASE_CANDIDATES {
            return LEASE_WAIT_LATER;
        }
        if self.rollout.is_active() { LEASE_WAIT_ACTIVE } else { LEASE_WAIT_SOON }
    }

    /// Time from a read that brought something to the next read.
    pub fn pace(&self, now: Time, tracked: Tracked) -> Duration {
        match tracked {
            Tracked::Topic(Topic::Operator) => Duration::ZERO,
            Tracked::Topic(Topic::Routers) => ROUTERS,
            Tracked::Topic(Topic::Servers) => {
                let daemons = u32::try_from(self.fresh_peers(now) + 1).unwrap_or(u32::MAX);
                SERVERS_TOGETHER.saturating_mul(daemons).clamp(SERVERS_LEAST, SERVERS_MOST)
            }
            Tracked::Lease if self.rank_among_daemons(now) < LEASE_CANDIDATES => LEASE_SOON,
            Tracked::Lease => LEASE_LATER,
        }
    }
}
