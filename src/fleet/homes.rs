//! Which servers hold the shared parts of a prompt, by every daemon's reckoning.
//!
//! A few long texts stand at the head of nearly all prompts, and many shorter ones at that of some. A
//! part belongs to the servers that come first for it in a rendezvous hash over all servers of the pool,
//! whatever weights they have and however busy they are: what differs between daemons or changes by the
//! second must not move a home, or the part is read at every place that it moves to.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::prompt::{salted_key, shared_parts, unshared_ms};
use super::{Node, Prompt, Server, server};
use crate::prefix;
use crate::prelude::*;

/// Milliseconds of an engine that a token of an answer takes, where some dozen are made together.
const ANSWER_TOKEN_MS: f64 = 0.5;
/// Milliseconds of work a second that one copy of a part is to carry: a fifth of an engine, so that
/// those who carry several hot parts still have room.
const COPY_LOAD_MS_PER_S: f64 = 200.0;
/// Servers after the homes of a part that stand in, in this order, where a home can't be used.
const MAX_FALLBACKS: usize = 2;

/// What a server is to the shared parts of one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// It is a home of theirs.
    Home,
    /// It stands in for a home that can't be used now.
    Fallback,
    /// Any other.
    Other,
}

/// The servers of a prompt's shared parts, the first choice first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Homes {
    /// The homes, and those that stand in for them.
    ranked: Vec<server::Key>,
    /// How many of them are homes.
    count: usize,
    /// How many of those that stand in are needed now.
    fallbacks: usize,
}

impl Homes {
    /// A server's place among the homes and those that would stand in for one.
    pub(super) fn rank(&self, server: server::Key) -> Option<usize> {
        self.ranked.iter().position(|key| *key == server)
    }

    pub(super) fn role(&self, server: server::Key) -> Role {
        match self.rank(server) {
            Some(rank) if rank < self.count => Role::Home,
            Some(rank) if rank < self.count + self.fallbacks => Role::Fallback,
            _ => Role::Other,
        }
    }
}

impl Node {
    /// The homes of a prompt's shared parts. Each part narrows the choice that the parts before it
    /// left, so that servers keep few of the parts that many prompts begin with.
    pub(super) fn homes(&self, now: Time, owner: &str, pool: &str, prompt: &Prompt) -> Homes {
        let Some(keys) = self.pools.get(pool) else { return Homes::default() };
        let mut ranked: Vec<(server::Key, &Server)> = keys
            .iter()
            .filter_map(|key| Some((*key, self.servers.get(*key)?)))
            .filter(|(_, server)| !server.entry.draining)
            .collect();
        let Some((last, earlier)) = shared_parts(&prompt.parts).split_last() else {
            return Homes::default();
        };
        let servers = ranked.len();
        let mut narrow = |part: u64, spare: fn(usize) -> usize| {
            let part = salted_key(owner, part);
            ranked.sort_by_cached_key(|(_, server)| {
                std::cmp::Reverse(xxh3_64_with_seed(server.entry.incarnation.id.as_bytes(), part))
            });
            let count = copy_count(self.load_ms_per_s(now, part), servers);
            ranked.truncate(spare(count));
            count
        };
        for part in earlier {
            narrow(part.id, |count| count.max(1 + MAX_FALLBACKS));
        }
        let count = narrow(last.id, |count| count + MAX_FALLBACKS).min(ranked.len());
        let homes = &ranked[..count];
        let shut =
            homes.iter().filter(|(key, server)| !self.accepts_work(now, *key, server)).count();
        Homes { ranked: ranked.into_iter().map(|(key, _)| key).collect(), count, fallbacks: shut }
    }

    /// Milliseconds of work a second that all daemons have for a part: this one's, and the hottest of
    /// each peer's.
    fn load_ms_per_s(&self, now: Time, part: u64) -> f64 {
        self.heat.rate(now, prefix::Key(part)) + self.peer_heat(now, part)
    }

    /// Notes the work of a request for each part that it shares.
    pub(super) fn note_heat(&mut self, now: Time, owner: &str, prompt: &Prompt) {
        let work_ms = unshared_ms(prompt) + f64::from(prompt.output) * ANSWER_TOKEN_MS;
        for part in shared_parts(&prompt.parts) {
            self.heat.note(now, prefix::Key(salted_key(owner, part.id)), work_ms);
        }
    }
}

/// How many of `servers` are to hold a part. A power of two, or all where that is more than half of
/// them: daemons measure a part's work each for themselves, and homes on which they disagree are read
/// at twice.
fn copy_count(work_ms: f64, servers: usize) -> usize {
    let wanted = (work_ms / COPY_LOAD_MS_PER_S).ceil().clamp(1.0, 1e6) as usize;
    let copies = wanted.next_power_of_two();
    if copies * 2 > servers { servers } else { copies }
}
