//! Assigns the shared parts of prompts to servers, alike on every daemon.
//!
//! A few long texts start nearly all prompts, and many shorter ones start some. The homes of a part
//! are the servers that rank first for it in a rendezvous hash over all servers of a cell, in
//! proportion to their [`Weight`]s, whatever their model's weights and load. The choice must not
//! depend on anything that differs between daemons or changes by the second: a part is read again
//! on each server that it moves to.
//!
//! Where speeds are learnt, a daemon's own estimates weight the servers ([`weight`]), so daemons may
//! differ for a few parts; weights have few steps and change slowly for that reason.

pub(super) mod weight;

pub(super) use weight::Weight;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::pool::Cell;
use super::prompt::{salted_key, shared_parts, unshared_ms};
use super::{Node, Prompt, Server, server};
use crate::prelude::*;
use crate::{prefix, rendezvous};

/// Engine time of an answer token in a batch of some dozen answers.
const ANSWER_TOKEN_MS: f64 = 0.5;
/// Work per second that one copy of a part carries: a fifth of an engine, so that the home of
/// several hot parts still has room.
const COPY_LOAD_MS_PER_S: f64 = 200.0;
/// Maximum number of fallbacks, in hash order after the homes of a part, for homes that are
/// unavailable.
const MAX_FALLBACKS: usize = 2;

/// The role of a server for the shared parts of one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Role {
    /// A home of the parts.
    Home,
    /// A fallback for a home that is unavailable.
    Fallback,
    /// Any other server.
    Other,
}

/// The homes and fallbacks of a prompt's shared parts, in order of preference.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Homes {
    /// The homes, then the fallbacks.
    ranked: Vec<server::Key>,
    /// Number of homes.
    count: usize,
    /// Number of fallbacks that are needed now.
    fallbacks: usize,
}

impl Homes {
    /// Position of a server among the homes and fallbacks.
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
    /// Computes the homes of a prompt's shared parts in a cell. Each part selects among the servers selected
    /// by the parts before it, so that a server keeps few of the parts that many prompts begin
    /// with.
    pub(super) fn homes(&self, now: Time, owner: &str, cell: Cell<'_>, prompt: &Prompt) -> Homes {
        let mut ranked: Vec<(server::Key, &Server)> = cell
            .keys()
            .filter_map(|key| Some((key, self.servers.get(key)?)))
            .filter(|(_, server)| !server.entry.draining)
            .collect();
        let Some((last, earlier)) = shared_parts(&prompt.parts).split_last() else {
            return Homes::default();
        };
        let servers = ranked.len();
        let are_weighted = ranked.iter().any(|(_, server)| server.home_weight != Weight::One);
        let mut narrow = |part: u64, cells: usize, limit: fn(usize) -> usize| {
            let part = salted_key(owner, part);
            ranked.sort_by_cached_key(|(_, server)| {
                let id = server.entry.incarnation.id.as_bytes();
                std::cmp::Reverse(rank(
                    xxh3_64_with_seed(id, part),
                    server.home_weight,
                    are_weighted,
                ))
            });
            let count = copy_count(self.load_ms_per_s(now, part) / cells as f64, servers);
            ranked.truncate(limit(count));
            count
        };
        for part in earlier {
            // The prompts that begin with it are in all cells.
            narrow(part.id, cell.count, |count| count.max(1 + MAX_FALLBACKS));
        }
        let count = narrow(last.id, 1, |count| count + MAX_FALLBACKS).min(ranked.len());
        let homes = &ranked[..count];
        let unavailable =
            homes.iter().filter(|(key, server)| !self.accepts_work(now, *key, server)).count();
        Homes {
            ranked: ranked.into_iter().map(|(key, _)| key).collect(),
            count,
            fallbacks: unavailable,
        }
    }

    /// Work per second for a part: that of this daemon, and that of peers that report the part
    /// among their hottest.
    fn load_ms_per_s(&self, now: Time, part: u64) -> f64 {
        self.heat.rate(now, prefix::Key(part)) + self.peer_heat(now, part)
    }

    /// Records the work of a request for each of its shared parts.
    pub(super) fn note_heat(&mut self, now: Time, owner: &str, prompt: &Prompt) {
        let work_ms = unshared_ms(prompt) + f64::from(prompt.output) * ANSWER_TOKEN_MS;
        for part in shared_parts(&prompt.parts) {
            self.heat.record(now, prefix::Key(salted_key(owner, part.id)), work_ms);
        }
    }
}

/// Rank of a server for a part, from the hash of both; the highest comes first. Equal weights rank
/// by the hash alone. The bits of positive numbers are in the order of the numbers.
fn rank(hash: u64, weight: Weight, are_weighted: bool) -> (u64, u64) {
    if !are_weighted {
        return (0, hash);
    }
    (rendezvous::score(hash, weight.factor()).to_bits(), hash)
}

/// Number of servers that hold a part: a power of two, or all servers if that is more than half of
/// them. Daemons measure the work of a part independently, and a home on which they disagree is an
/// additional server that reads the part.
fn copy_count(work_ms: f64, servers: usize) -> usize {
    let wanted = (work_ms / COPY_LOAD_MS_PER_S).ceil().clamp(1.0, 1e6) as usize;
    let copies = wanted.next_power_of_two();
    if copies * 2 > servers { servers } else { copies }
}
