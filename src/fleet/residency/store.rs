//! The KV store: what it keeps, what is on its way there, and its link.

use super::Residency;
use crate::allowance::Allowance;
use crate::fleet::Part;
use crate::fleet::prompt::salted_key;
use crate::prelude::*;

/// Time in which a part that an engine was told to send must show among the store's events: the
/// prefill, the transfer, and the events' delay. After it the part is sent once more.
const TRANSIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The part of the KV store's link that is used: transfers run one after another, so a queue grows
/// long well before the link is full.
const MAX_LINK_UTILIZATION: f64 = 0.8;
/// Transfers that may be started at once, in seconds of the link: a first token waits for those before
/// it.
const LINK_BURST_S: f64 = 0.2;
/// Time in which what was seen of the link's queue counts half: once fetches are no longer chosen for
/// it, nothing else tells that it has become shorter.
const DELAY_HALF_LIFE: Duration = Duration::from_secs(1);
/// The weight of a new fetch in what is believed of the link's queue: a few in a row decide.
const DELAY_SAMPLE_WEIGHT: f64 = 0.2;
/// Parts on their way that are remembered.
const MAX_IN_TRANSIT: usize = 65_536;

/// The KV store's link, as bytes that may be moved now.
///
/// A daemon has a prompt to move now and then, of a tenth of a second of the link or of several; a share
/// of the link could be too small for one prompt. So the link is not divided among daemons: each uses
/// what is free, and takes off what the others tell that they use.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Link {
    allowance: Allowance,
    /// Bytes that this daemon has moved since its start.
    moved_bytes: u64,
    /// Milliseconds by which fetches took longer than predicted, and when that was last seen.
    delay_ms: f64,
    delay_seen_at: Time,
}

impl Link {
    /// Milliseconds that a fetch is expected to wait for others, by what was seen of them: the link may
    /// be narrower than is stated, or be used by others.
    pub(in crate::fleet) fn delay_ms(&self, now: Time) -> f64 {
        let passed = now.saturating_sub(self.delay_seen_at).as_secs_f64();
        self.delay_ms * (-passed / DELAY_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Takes over by how much longer a fetch took than was predicted without a queue.
    pub(in crate::fleet) fn record_delay(&mut self, now: Time, excess_ms: f64) {
        let before = self.delay_ms(now);
        self.delay_ms = (before + (excess_ms - before) * DELAY_SAMPLE_WEIGHT).max(0.0);
        self.delay_seen_at = now;
    }

    /// Adds what has become free since the last call, of a link of `rate` bytes a second.
    pub(in crate::fleet) fn refill(&mut self, now: Time, bytes_per_s: u64) {
        let rate = bytes_per_s as f64 * MAX_LINK_UTILIZATION;
        self.allowance.refill(now, rate, rate * LINK_BURST_S);
    }

    /// Whether `bytes` may be moved now.
    pub(in crate::fleet) fn has_room(&self, bytes: f64) -> bool {
        self.allowance.left() >= bytes
    }

    /// Notes that this daemon has `bytes` moved.
    pub(in crate::fleet) fn spend(&mut self, bytes: f64) {
        self.allowance.take(bytes);
        self.moved_bytes = self.moved_bytes.saturating_add(bytes as u64);
    }

    /// Notes that another daemon has `bytes` moved.
    pub(in crate::fleet) fn deduct(&mut self, bytes: u64) {
        self.allowance.take(bytes as f64);
    }

    /// Bytes that this daemon has moved since its start.
    pub(in crate::fleet) fn moved_bytes(&self) -> u64 {
        self.moved_bytes
    }
}

/// What the KV store keeps.
#[derive(Debug, Default)]
pub(in crate::fleet) struct StoreState {
    /// By its events.
    pub(in crate::fleet) held: Residency,
    in_transit: BTreeMap<u64, Time>,
}

impl StoreState {
    /// Whether the store answers, so that parts can be fetched from it.
    pub(in crate::fleet) fn is_up(&self, now: Time) -> bool {
        self.held.is_current(now)
    }

    /// Notes that an engine was told to send a part to the store.
    pub(in crate::fleet) fn mark_in_transit(&mut self, now: Time, salt: &str, part: u64) {
        if self.in_transit.len() >= MAX_IN_TRANSIT {
            self.in_transit.retain(|_, at| now < *at + TRANSIT_TIMEOUT);
        }
        if self.in_transit.len() < MAX_IN_TRANSIT {
            self.in_transit.insert(salted_key(salt, part), now);
        }
    }

    /// Whether the store keeps a part whole.
    pub(in crate::fleet) fn holds(&self, now: Time, salt: &str, part: Part) -> bool {
        self.held.expected_tokens(now, salted_key(salt, part.id), part.tokens) == part.tokens
    }

    /// Whether the store keeps a part, or is being sent it.
    pub(in crate::fleet) fn will_hold(&self, now: Time, salt: &str, part: Part) -> bool {
        let sent_at = self.in_transit.get(&salted_key(salt, part.id));
        self.holds(now, salt, part) || sent_at.is_some_and(|at| now < *at + TRANSIT_TIMEOUT)
    }
}
