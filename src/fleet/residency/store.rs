//! State of KV stores: the parts they hold, the parts in transit to them, and the load of their
//! links.

use std::net::SocketAddr;

use super::Residency;
use crate::allowance::Allowance;
use crate::fleet::Part;
use crate::fleet::prompt::salted_key;
use crate::prelude::*;

/// Time after which a part that an engine should have saved is sent again if the store's events
/// don't show it. Covers the prefill, the transfer and the delay of events.
const TRANSIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Share of a KV store's link that may be used. Transfers run one after another, so the queue
/// grows long well before the link is full.
const MAX_LINK_UTILIZATION: f64 = 0.8;
/// Maximum burst of transfers, in seconds of the link's bandwidth. First tokens wait for the
/// transfers queued before them.
const LINK_BURST_S: f64 = 0.2;
/// Half-life of the measured queueing delay. Once the delay keeps fetches away, no new measurements
/// show that the queue has become shorter.
const DELAY_HALF_LIFE: Duration = Duration::from_secs(1);
/// Weight of a new sample in the average queueing delay; a few in a row dominate it.
const DELAY_SAMPLE_WEIGHT: f64 = 0.2;
/// Maximum number of parts tracked as in transit.
const MAX_IN_TRANSIT: usize = 65_536;

/// The capacity of a KV store's link, as a token bucket of bytes.
///
/// A daemon moves a prompt only now and then, and one prompt takes from a tenth of a second of the
/// link to several tenths. A fixed share of the link could be too small for one prompt, so the link
/// is not divided among daemons: each uses what is free and deducts what the others report.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Link {
    allowance: Allowance,
    /// Bytes that this daemon has moved since it started.
    moved_bytes: u64,
    /// Average milliseconds by which fetches took longer than predicted, and when it was last
    /// updated.
    delay_ms: f64,
    delay_seen_at: Time,
}

impl Link {
    /// Milliseconds that a fetch is expected to wait, from recent measurements: the link may be
    /// slower than configured, or others may use it.
    pub(in crate::fleet) fn delay_ms(&self, now: Time) -> f64 {
        let passed = now.saturating_sub(self.delay_seen_at).as_secs_f64();
        self.delay_ms * (-passed / DELAY_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Records by how much longer a fetch took than predicted without a queue.
    pub(in crate::fleet) fn record_delay(&mut self, now: Time, excess_ms: f64) {
        let before = self.delay_ms(now);
        self.delay_ms = (before + (excess_ms - before) * DELAY_SAMPLE_WEIGHT).max(0.0);
        self.delay_seen_at = now;
    }

    /// Refills the bucket for a link of `bytes_per_s`.
    pub(in crate::fleet) fn refill(&mut self, now: Time, bytes_per_s: u64) {
        let rate = bytes_per_s as f64 * MAX_LINK_UTILIZATION;
        self.allowance.refill(now, rate, rate * LINK_BURST_S);
    }

    /// Whether `bytes` may be moved now.
    pub(in crate::fleet) fn has_room(&self, bytes: f64) -> bool {
        self.allowance.remaining() >= bytes
    }

    /// Deducts `bytes` that this daemon moves.
    pub(in crate::fleet) fn spend(&mut self, bytes: f64) {
        self.allowance.take(bytes);
        self.moved_bytes = self.moved_bytes.saturating_add(bytes as u64);
    }

    /// Deducts `bytes` that another daemon moves.
    pub(in crate::fleet) fn deduct(&mut self, bytes: u64) {
        self.allowance.take(bytes as f64);
    }

    /// Bytes that this daemon has moved since it started.
    pub(in crate::fleet) fn moved_bytes(&self) -> u64 {
        self.moved_bytes
    }
}

/// A fetch from a KV store by a request that has not begun.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::fleet) struct StoreFetch {
    /// Address of the store.
    pub(in crate::fleet) store: SocketAddr,
    /// Predicted milliseconds to the first token without a queue at the store's link.
    pub(in crate::fleet) cost_ms: f64,
}

/// The KV stores that this daemon uses, by address.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Stores {
    by_address: BTreeMap<SocketAddr, StoreState>,
}

impl Stores {
    /// The store at `address`, if it is used.
    pub(in crate::fleet) fn get(&self, address: SocketAddr) -> Option<&StoreState> {
        self.by_address.get(&address)
    }

    /// The store at `address`, if it is used.
    pub(in crate::fleet) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut StoreState> {
        self.by_address.get_mut(&address)
    }

    /// All stores with their addresses.
    pub(in crate::fleet) fn iter(&self) -> impl Iterator<Item = (SocketAddr, &StoreState)> {
        self.by_address.iter().map(|(address, store)| (*address, store))
    }

    /// Keeps the state of the stores at `addresses` alone. Returns the addresses that are new.
    pub(in crate::fleet) fn replace(
        &mut self,
        addresses: &BTreeSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        self.by_address.retain(|address, _| addresses.contains(address));
        let added = addresses.iter().filter(|address| !self.by_address.contains_key(address));
        let added: Vec<SocketAddr> = added.copied().collect();
        self.by_address.extend(added.iter().map(|address| (*address, StoreState::default())));
        added
    }
}

/// The parts that a KV store holds or is being sent, and its link.
#[derive(Debug, Default)]
pub(in crate::fleet) struct StoreState {
    /// Parts it holds, according to its events.
    pub(in crate::fleet) held: Residency,
    /// Its link.
    pub(in crate::fleet) link: Link,
    in_transit: BTreeMap<u64, Time>,
}

impl StoreState {
    /// Whether the store is available to fetch parts from.
    pub(in crate::fleet) fn is_up(&self, now: Time) -> bool {
        self.held.is_current(now)
    }

    /// Records that an engine was instructed to save a part to the store.
    pub(in crate::fleet) fn mark_in_transit(&mut self, now: Time, salt: &str, part: u64) {
        if self.in_transit.len() >= MAX_IN_TRANSIT {
            self.in_transit.retain(|_, at| now < *at + TRANSIT_TIMEOUT);
        }
        if self.in_transit.len() < MAX_IN_TRANSIT {
            self.in_transit.insert(salted_key(salt, part), now);
        }
    }

    /// Whether the store holds all of a part.
    pub(in crate::fleet) fn holds(&self, now: Time, salt: &str, part: Part) -> bool {
        self.held.expected_tokens(now, salted_key(salt, part.id), part.tokens) == part.tokens
    }

    /// Whether the store holds a part or is being sent it.
    pub(in crate::fleet) fn will_hold(&self, now: Time, salt: &str, part: Part) -> bool {
        let sent_at = self.in_transit.get(&salted_key(salt, part.id));
        self.holds(now, salt, part) || sent_at.is_some_and(|at| now < *at + TRANSIT_TIMEOUT)
    }
}
