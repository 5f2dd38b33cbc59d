//! One other daemon: what it last said, and whether it is there.

use std::net::SocketAddr;

use super::scheduling::Rank;
use super::{Digest, Topic};
use crate::prelude::*;

/// Time between two digests.
pub(super) const INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a peer's digest no longer counts, beyond the time to its second next one.
const GRACE: Duration = Duration::from_millis(750);

/// By how many milliseconds this daemon's clock was ahead of a peer's as its digests came.
#[derive(Debug, Clone, Copy)]
struct Ahead {
    incarnation: u64,
    least: i64,
    last: i64,
}

/// What is known of a peer.
#[derive(Debug)]
pub(super) struct Peer {
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// Its place among those that may schedule, once its VM's size is known.
    pub(super) standing: Option<Rank>,
    pub(super) digest: Option<Digest>,
    pub(super) heard: Option<Time>,
    /// Since when it ranks among the schedulers, heard of or not.
    ranks_since: Option<Time>,
    /// Until when it is submitted nothing.
    avoid_until: Time,
    /// When a frame was last sent to it.
    pub(super) sent: Option<Time>,
    /// Its work by part, and when it told of it.
    pub(super) heat: BTreeMap<u64, f32>,
    pub(super) heat_at: Time,
    ahead: Option<Ahead>,
}

impl Peer {
    /// A peer of which only this is known.
    pub(super) fn new(address: SocketAddr, standing: Option<Rank>) -> Self {
        Self {
            address,
            standing,
            digest: None,
            heard: None,
            ranks_since: None,
            avoid_until: Time::ZERO,
            sent: None,
            heat: BTreeMap::new(),
            heat_at: Time::ZERO,
            ahead: None,
        }
    }

    /// Peers that may be at these addresses, under the address until their ids are known.
    pub(super) fn seeds(seeds: &[SocketAddr], own: SocketAddr) -> BTreeMap<String, Self> {
        let others = seeds.iter().filter(|seed| **seed != own);
        others.map(|seed| (seed.to_string(), Self::new(*seed, None))).collect()
    }

    /// Notes when a digest came.
    pub(super) fn came(&mut self, now: Time, digest: &Digest) {
        let ms = |time: Time| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        let last = ms(now).saturating_sub(ms(digest.sent_at));
        let known = self.ahead.filter(|ahead| ahead.incarnation == digest.incarnation);
        let least = known.map_or(last, |ahead| ahead.least.min(last));
        self.ahead = Some(Ahead { incarnation: digest.incarnation, least, last });
    }

    /// How long its last digest was on its way beyond the quickest one: ages that waited in a connection, for a daemon
    /// that was frozen or a link that was cut, would be too low.
    pub(super) fn delay(&self) -> Duration {
        let delay = self.ahead.map_or(0, |ahead| ahead.last.abs_diff(ahead.least));
        Duration::from_millis(delay)
    }

    /// Whether it was heard of lately.
    pub(super) fn is_fresh(&self, now: Time) -> bool {
        let interval = self.digest.as_ref().map_or(INTERVAL, |digest| digest.interval);
        self.heard.is_some_and(|heard| now < heard + interval * 2 + GRACE)
    }

    /// Whether it said that it is stopping.
    pub(super) fn is_draining(&self) -> bool {
        self.digest.as_ref().is_some_and(|digest| digest.draining)
    }

    /// Whether it was waited for in vain since it ranks among the schedulers, or is stopping.
    pub(super) fn has_fallen_silent(&self, now: Time, after: Duration) -> bool {
        let waited =
            |since: Time| now >= self.heard.map_or(since, |heard| heard.max(since)) + after;
        self.is_draining() || self.ranks_since.is_some_and(waited)
    }

    /// Notes whether it ranks among the schedulers; one that was waited for in vain is waited for again
    /// only once it is heard of.
    pub(super) fn watch(&mut self, now: Time, ranks: bool, after: Duration) {
        if ranks {
            self.ranks_since.get_or_insert(now);
        } else if !self.has_fallen_silent(now, after) {
            self.ranks_since = None;
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
        let told = *self.digest.as_ref()?.read_ages.get(topic as usize)?;
        Some(now.saturating_sub(self.heard?) + told?)
    }
}
