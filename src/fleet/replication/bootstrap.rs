//! How a daemon that has started obtains its first copy of each topic.
//!
//! A topic may have thousands of records, and all daemons may start at the same moment. If each
//! read the platform's store, the calls and bytes would grow with daemons times records. So the
//! daemons of the seed addresses read the store, and the others ask peers that have a copy. Each
//! daemon that has one answers a limited number of others, so that the number of copies doubles
//! within a second. A daemon reads the store itself if peers do not answer: first the
//! registrations of daemons, which are few, to find more peers.
//!
//! A peer's copy may be older than what the store has. So each daemon reads the changes since its
//! copy once before it takes requests, unless the store does not answer.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::peer::Peer;
use crate::fleet::{Dependency, Effect, Frame, Node, Topic};
use crate::prelude::*;

/// Time from a request for a copy to the next one to another peer, at first.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The same later on. A compressed copy of a large topic takes less on a slow link.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which a daemon waits for peers before it reads the registrations of daemons.
const PEER_WAIT: Duration = Duration::from_millis(600);
/// Time for which a daemon that does not read the store for others waits before it reads any other
/// topic. By then, copies have reached thousands of daemons.
const COPY_WAIT: Duration = Duration::from_secs(6);
/// Time after a start from which copies count although the store has not answered.
const MAX_CONFIRMATION_TIME: Duration = Duration::from_secs(3);
/// Bytes of records per second that a daemon sends as copies of whole topics: a few copies of ten
/// thousand registrations, compressed, on the link of a small VM.
const COPY_BYTES_PER_S: f64 = 4.0 * 1024.0 * 1024.0;
/// Size below which records are sent whatever remains of that.
const MIN_COPY_BYTES: usize = 16 * 1024;

/// State of the requests for first copies.
#[derive(Debug, Default)]
pub(in crate::fleet) struct Bootstrap {
    /// Whether this daemon reads the store without asking peers.
    is_seed: bool,
    started_at: Option<Time>,
    /// Topics that this daemon has read from the store itself.
    read: BTreeSet<Topic>,
    /// Whether the copies were found to be current once.
    is_confirmed: bool,
    requests: BTreeMap<Topic, Request>,
}

/// The last request for a copy of one topic.
#[derive(Debug, Clone, Copy)]
struct Request {
    sent_at: Time,
    retry_delay: Duration,
}

impl Bootstrap {
    pub(in crate::fleet) fn new(seeds: &[SocketAddr], own: SocketAddr) -> Self {
        let is_seed = seeds.iter().all(|seed| *seed == own) || seeds.contains(&own);
        Self { is_seed, ..Self::default() }
    }
}

impl Node {
    /// Requests a copy of each topic that this daemon does not know from a peer.
    pub(in crate::fleet) fn request_first_copies(&mut self, now: Time) {
        self.bootstrap.started_at.get_or_insert(now);
        if self.bootstrap.is_seed {
            return;
        }
        for topic in Topic::ALL {
            let last = self.bootstrap.requests.get(&topic).copied();
            let is_due = last.is_none_or(|last| now >= last.sent_at + last.retry_delay);
            if self.known_topics.contains(&topic) || !is_due {
                continue;
            }
            let Some(peer) = self.copy_source(now, topic) else { continue };
            let retry_delay =
                last.map_or(MIN_RETRY_DELAY, |last| (last.retry_delay * 2).min(MAX_RETRY_DELAY));
            self.bootstrap.requests.insert(topic, Request { sent_at: now, retry_delay });
            self.request_records(now, &peer, topic, 0);
        }
    }

    /// Chooses a random peer to ask for a copy of a topic: one that has it, preferably in this
    /// availability zone; else any.
    fn copy_source(&mut self, now: Time, topic: Topic) -> Option<String> {
        let rank = |peer: &Peer| {
            let has_copy = peer.is_fresh(now) && peer.end_offset(topic) > 0;
            let is_near = peer.zone.as_deref() == Some(self.identity.zone.as_str());
            (has_copy, has_copy && is_near)
        };
        let best = self.peers.values().map(&rank).max()?;
        let among = self.peers.iter().filter(|(_, peer)| rank(peer) == best);
        let among: Vec<&String> = among.map(|(id, _)| id).collect();
        let chosen = self.rng.usize(0..among.len());
        among.get(chosen).map(|id| (*id).clone())
    }

    /// Asks a peer for the records of a topic from an offset on. A digest comes first, since a peer
    /// answers only daemons that it knows.
    pub(in crate::fleet) fn request_records(
        &mut self,
        now: Time,
        peer: &str,
        topic: Topic,
        from: u64,
    ) {
        let Some(address) = self.peer_address(peer) else { return };
        let is_introduced = self.peers.get(peer).is_some_and(|peer| peer.sent_at.is_some());
        if !is_introduced {
            let digest = self.digest(now);
            self.send_digest(now, &[peer.to_owned()], digest);
        }
        let frame = Frame::Fetch(self.identity.id.clone(), topic, from);
        self.effects.push(Effect::Send(vec![address], frame));
    }

    /// Whether this daemon leaves the first copy of a topic to its peers for now.
    pub(in crate::fleet) fn awaits_first_copy(&self, now: Time, topic: Topic) -> bool {
        if self.bootstrap.is_seed || self.known_topics.contains(&topic) {
            return false;
        }
        let Some(started_at) = self.bootstrap.started_at else { return true };
        let knows_daemons = self.known_topics.contains(&Topic::Routers);
        let wait = match topic {
            Topic::Routers => PEER_WAIT,
            Topic::Operator | Topic::Servers if knows_daemons && self.is_store_reader() => {
                PEER_WAIT
            }
            Topic::Operator | Topic::Servers => COPY_WAIT,
        };
        // Waits differ by daemon, so that not all read at once.
        let share = xxh3_64(self.identity.id.as_bytes()) as f64 / u64::MAX as f64;
        now < started_at + wait + wait.mul_f64(share)
    }

    /// Whether what this daemon knows was found to be current after its start, or can't be.
    pub fn is_confirmed(&self) -> bool {
        self.bootstrap.is_confirmed
    }

    /// Records that this daemon has read a topic from the store itself.
    pub(in crate::fleet) fn note_own_read(&mut self, topic: Topic) {
        self.bootstrap.read.insert(topic);
    }

    /// Whether this daemon must read the changes of a topic since it received a copy of it.
    pub(in crate::fleet) fn must_confirm_copy(&self, topic: Topic) -> bool {
        topic != Topic::Routers && !self.bootstrap.is_confirmed && !self.has_read(topic)
    }

    fn has_read(&self, topic: Topic) -> bool {
        self.bootstrap.read.contains(&topic)
    }

    /// Confirms the copies if this daemon has read the store since, or the store fails to answer for
    /// long.
    pub(in crate::fleet) fn confirm_copies(&mut self, now: Time) {
        if self.bootstrap.is_confirmed {
            return;
        }
        let is_settled = |topic: &Topic| {
            let is_unreadable = self.unread_since.contains_key(&Dependency::Topic(*topic));
            self.known_topics.contains(topic) && (self.has_read(*topic) || is_unreadable)
        };
        let topics = [Topic::Operator, Topic::Servers];
        let is_overdue =
            self.bootstrap.started_at.is_some_and(|at| now >= at + MAX_CONFIRMATION_TIME);
        self.bootstrap.is_confirmed = topics.iter().all(is_settled)
            || is_overdue && topics.iter().all(|topic| self.known_topics.contains(topic));
    }

    /// Whether a copy of a topic may be sent to a peer now.
    pub(in crate::fleet) fn may_send_copy(&mut self, now: Time, bytes: usize) -> bool {
        if bytes < MIN_COPY_BYTES {
            return true;
        }
        self.copy_allowance.refill(now, COPY_BYTES_PER_S, COPY_BYTES_PER_S);
        // A copy larger than the allowance is sent, too, but delays the next ones.
        let may_send = self.copy_allowance.remaining() > 0.0;
        if may_send {
            self.copy_allowance.take(bytes as f64);
        }
        may_send
    }
}
