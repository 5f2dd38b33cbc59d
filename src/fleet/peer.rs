//! State of one other daemon: its last digest and its liveness.

use std::net::SocketAddr;

use super::scheduling::Rank;
use super::{Digest, Topic};
use crate::prelude::*;

/// Interval between digests.
pub(super) const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time by which a peer's second next digest may be late before its state counts as stale.
const DIGEST_GRACE: Duration = Duration::from_millis(750);

/// Number of digests from which the fastest is taken for one without delay.
const MIN_DIGESTS_FOR_DELAY: u32 = 3;

/// Offset of this daemon's clock to a peer's, in milliseconds, measured when its digests arrive.
#[derive(Debug, Clone, Copy)]
struct ClockOffset {
    incarnation: u64,
    min_ms: i64,
    last_ms: i64,
    digests: u32,
}

/// State of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    /// Address for frames.
    pub(super) address: SocketAddr,
    /// Its rank among the daemons that may schedule; `None` until its VM's size is known.
    pub(super) standing: Option<Rank>,
    /// Its availability zone, once known.
    pub(super) zone: Option<String>,
    pub(super) digest: Option<Digest>,
    pub(super) heard_at: Option<Time>,
    /// Since when it has ranked among the schedulers, whether or not it sent a digest.
    ranked_since: Option<Time>,
    /// Time until which no requests are submitted to it.
    avoid_until: Time,
    /// When a frame was last sent to it.
    pub(super) sent_at: Option<Time>,
    /// Its work per second by part, and when it reported that.
    pub(super) heat: BTreeMap<u64, f32>,
    pub(super) heat_at: Time,
    clock_offset: Option<ClockOffset>,
}

impl Peer {
    /// Creates a peer that has not sent a digest yet.
    pub(super) fn new(address: SocketAddr, standing: Option<Rank>) -> Self {
        Self {
            address,
            standing,
            zone: None,
            digest: None,
            heard_at: None,
            ranked_since: None,
            avoid_until: Time::ZERO,
            sent_at: None,
            heat: BTreeMap::new(),
            heat_at: Time::ZERO,
            clock_offset: None,
        }
    }

    /// Returns peers for the configured addresses, keyed by address until their ids are known.
    pub(super) fn from_seeds(seeds: &[SocketAddr], own: SocketAddr) -> BTreeMap<String, Self> {
        let others = seeds.iter().filter(|seed| **seed != own);
        others.map(|seed| (seed.to_string(), Self::new(*seed, None))).collect()
    }

    /// Updates the clock offset from the arrival of a digest.
    pub(super) fn record_digest(&mut self, now: Time, digest: &Digest) {
        let millis = |time: Time| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        let last_ms = millis(now).saturating_sub(millis(digest.sent_at));
        let previous = self.clock_offset.filter(|offset| offset.incarnation == digest.incarnation);
        let min_ms = previous.map_or(last_ms, |offset| offset.min_ms.min(last_ms));
        let digests = previous.map_or(0, |offset| offset.digests).saturating_add(1);
        let incarnation = digest.incarnation;
        self.clock_offset = Some(ClockOffset { incarnation, min_ms, last_ms, digests });
    }

    /// Delay of its last digest relative to the fastest one. Ages in a digest that waited in a
    /// connection, because a daemon was frozen or a link was cut, would be too low without it.
    pub(super) fn digest_delay(&self) -> Duration {
        let delay = self.clock_offset.map_or(0, |offset| offset.last_ms.abs_diff(offset.min_ms));
        Duration::from_millis(delay)
    }

    /// Same as [`Self::digest_delay`]; `None` after too few digests. If the first one is late, its
    /// delay would pass for none, and what it reports would look more recent than it is.
    pub(super) fn known_digest_delay(&self) -> Option<Duration> {
        let known = self.clock_offset.filter(|offset| offset.digests >= MIN_DIGESTS_FOR_DELAY);
        known.map(|_| self.digest_delay())
    }

    /// Whether its last digest is recent.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        let interval = self.digest.as_ref().map_or(DIGEST_INTERVAL, |digest| digest.interval);
        self.heard_at.is_some_and(|heard| now < heard + interval * 2 + DIGEST_GRACE)
    }

    /// Whether its last digest says that it is draining.
    pub(super) fn is_draining(&self) -> bool {
        self.digest.as_ref().is_some_and(|digest| digest.draining)
    }

    /// Whether its last digest says that it reaches no server.
    pub(super) fn is_cut_off(&self) -> bool {
        self.digest.as_ref().is_some_and(|digest| digest.is_cut_off)
    }

    /// Whether it is draining, or has sent no digest for `after` since it began to rank among the
    /// schedulers.
    pub(super) fn is_silent_or_draining(&self, now: Time, after: Duration) -> bool {
        let is_overdue =
            |since: Time| now >= self.heard_at.map_or(since, |heard| heard.max(since)) + after;
        self.is_draining() || self.ranked_since.is_some_and(is_overdue)
    }

    /// Updates whether it ranks among the schedulers. A peer that went silent stays silent until
    /// its next digest, even if it drops out of the ranking in between.
    pub(super) fn update_rank(&mut self, now: Time, ranks: bool, after: Duration) {
        if ranks {
            self.ranked_since.get_or_insert(now);
        } else if !self.is_silent_or_draining(now, after) {
            self.ranked_since = None;
        }
    }

    /// Whether requests may be submitted to it.
    pub(super) fn may_schedule(&self, now: Time) -> bool {
        self.is_fresh(now) && !self.is_draining() && now >= self.avoid_until
    }

    pub(super) fn avoid_until(&mut self, until: Time) {
        self.avoid_until = until;
    }

    /// Offset up to which it has all records of a topic, according to its last digest.
    pub(super) fn end_offset(&self, topic: Topic) -> u64 {
        let ends = self.digest.as_ref().map(|digest| digest.end_offsets.as_slice());
        ends.and_then(|ends| ends.get(topic as usize)).copied().unwrap_or_default()
    }
}
