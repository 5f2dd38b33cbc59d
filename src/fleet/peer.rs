//! One other daemon: what it last said, and whether it is there.

use std::net::SocketAddr;

use super::scheduling::Rank;
use super::{Digest, Topic};
use crate::prelude::*;

/// Time between two digests.
pub(super) const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a peer's digest no longer counts, beyond the time to its second next one.
const DIGEST_GRACE: Duration = Duration::from_millis(750);

/// By how many milliseconds this daemon's clock was ahead of a peer's as its digests came.
#[derive(Debug, Clone, Copy)]
struct ClockOffset {
    incarnation: u64,
    min_ms: i64,
    last_ms: i64,
}

/// What is known of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Its place among those that may schedule, once its VM's size is known.
    pub(super) standing: Option<Rank>,
    pub(super) digest: Option<Digest>,
    pub(super) heard_at: Option<Time>,
    /// Since when it ranks among the schedulers, heard of or not.
    ranked_since: Option<Time>,
    /// Until when it is submitted nothing.
    avoid_until: Time,
    /// When a frame was last sent to it.
    pub(super) sent_at: Option<Time>,
    /// Its work by part, and when it told of it.
    pub(super) heat: BTreeMap<u64, f32>,
    pub(super) heat_at: Time,
    clock_offset: Option<ClockOffset>,
}

impl Peer {
    /// A peer of which only this is known.
    pub(super) fn new(address: SocketAddr, standing: Option<Rank>) -> Self {
        Self {
            address,
            standing,
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

    /// Peers that may be at these addresses, under the address until their ids are known.
    pub(super) fn from_seeds(seeds: &[SocketAddr], own: SocketAddr) -> BTreeMap<String, Self> {
        let others = seeds.iter().filter(|seed| **seed != own);
        others.map(|seed| (seed.to_string(), Self::new(*seed, None))).collect()
    }

    /// Notes when a digest came.
    pub(super) fn record_digest(&mut self, now: Time, digest: &Digest) {
        let millis = |time: Time| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        let last_ms = millis(now).saturating_sub(millis(digest.sent));
        let known = self.clock_offset.filter(|offset| offset.incarnation == digest.incarnation);
        let min_ms = known.map_or(last_ms, |offset| offset.min_ms.min(last_ms));
        self.clock_offset = Some(ClockOffset { incarnation: digest.incarnation, min_ms, last_ms });
    }

    /// How long its last digest was on its way beyond the quickest one: ages that waited in a connection, for a daemon
    /// that was frozen or a link that was cut, would be too low.
    pub(super) fn digest_delay(&self) -> Duration {
        let delay = self.clock_offset.map_or(0, |offset| offset.last_ms.abs_diff(offset.min_ms));
        Duration::from_millis(delay)
    }

    /// Whether it was heard of lately.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        let interval = self.digest.as_ref().map_or(DIGEST_INTERVAL, |digest| digest.interval);
        self.heard_at.is_some_and(|heard| now < heard + interval * 2 + DIGEST_GRACE)
    }

    /// Whether it said that it is stopping.
    pub(super) fn is_draining(&self) -> bool {
        self.digest.as_ref().is_some_and(|digest| digest.draining)
    }

    /// Whether it was waited for in vain since it ranks among the schedulers, or is stopping.
    pub(super) fn is_silent_or_draining(&self, now: Time, after: Duration) -> bool {
        let is_overdue =
            |since: Time| now >= self.heard_at.map_or(since, |heard| heard.max(since)) + after;
        self.is_draining() || self.ranked_since.is_some_and(is_overdue)
    }

    /// Notes whether it ranks among the schedulers; one that was waited for in vain is waited for again
    /// only once it is heard of.
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

    /// How old what it has read of a topic in the platform's store is, by its last word.
    pub(super) fn read_age(&self, now: Time, topic: Topic) -> Option<Duration> {
        let age = *self.digest.as_ref()?.read_ages.get(topic as usize)?;
        Some(now.saturating_sub(self.heard_at?) + age?)
    }
}
