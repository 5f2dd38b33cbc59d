//! The two groups of engines of a divided pool: those that serve long prompts first, and those that
//! serve token streams first.

use xxhash_rust::xxh3::xxh3_64;

use super::homes::ANSWER_TOKEN_MS;
use super::load::Load;
use super::pool::Cell;
use super::prompt::unshared_ms;
use super::{Node, Prompt, Server};
use crate::division::{MIN_ENGINES, Work};
use crate::prelude::*;

/// Weight of an answer's engine time against that of its prompt. A stream that is taken for a long
/// prompt is slow up to its last token; a long prompt that is taken for a stream delays others once.
const ANSWER_WEIGHT: f64 = 2.0;
/// Maximum share of an engine's slots in use at which it takes a long prompt although it serves
/// streams first: each of these pauses.
const MAX_RUNNING_RATIO_FOR_READ: f64 = 0.25;
/// The same for a stream at an engine for long prompts, which need slots, too.
const MAX_RUNNING_RATIO_FOR_STREAM: f64 = 0.5;

/// What a prompt mostly asks of an engine, by its numbers of tokens. Shared parts do not count,
/// because few engines read them.
pub(super) fn work_of(prompt: &Prompt) -> Work {
    if unshared_ms(prompt) > answer_ms(prompt) * ANSWER_WEIGHT { Work::Read } else { Work::Stream }
}

/// Milliseconds of engine time for an answer.
fn answer_ms(prompt: &Prompt) -> f64 {
    f64::from(prompt.output) * ANSWER_TOKEN_MS
}

/// Order of engines in which a division takes those for streams, the same on all daemons. It uses
/// the low bits of the hash, as a cell is chosen by the high ones.
fn order(id: &str) -> u32 {
    xxh3_64(id.as_bytes()) as u32
}

/// The groups of one cell's engines.
#[derive(Debug)]
pub(super) struct Groups {
    /// The engine in the fixed order from which on engines serve long prompts first.
    border: u32,
}

impl Groups {
    /// What an engine serves first.
    pub(super) fn work_of(&self, server: &Server) -> Work {
        let is_before = order(&server.entry.incarnation.id) < self.border;
        if is_before { Work::Stream } else { Work::Read }
    }

    /// Whether an engine serves requests like this one first.
    pub(super) fn serves_first(&self, server: &Server, prompt: &Prompt) -> bool {
        self.work_of(server) == work_of(prompt)
    }
}

impl Node {
    /// Records the work that a prompt asks of the engines of a pool.
    pub(super) fn note_work(&mut self, now: Time, pool: &str, prompt: &Prompt) {
        if !self.policy.divides_engines {
            return;
        }
        let work_ms = unshared_ms(prompt) + answer_ms(prompt);
        let division = self.divisions.entry(pool.to_owned()).or_default();
        division.record(now, work_of(prompt), work_ms);
    }

    /// The groups of a cell's engines; `None` while its pool is not divided.
    pub(super) fn groups(&self, now: Time, pool: &str, cell: Cell<'_>) -> Option<Groups> {
        let division = self.divisions.get(pool).filter(|_| self.policy.divides_engines)?;
        division.stream_share(now)?;
        let servers = cell.keys().filter_map(|key| self.servers.get(key));
        let in_service = servers.filter(|server| !server.entry.draining);
        let mut orders: Vec<u32> =
            in_service.map(|server| order(&server.entry.incarnation.id)).collect();
        if orders.len() < MIN_ENGINES {
            return None;
        }
        orders.sort_unstable();
        let place = |rank: usize| (rank as f64 + 0.5) / orders.len() as f64;
        let is_for_reads = |rank: &usize| division.work_of(now, place(*rank)) == Some(Work::Read);
        let first_for_reads = (0..orders.len()).find(is_for_reads)?;
        Some(Groups { border: orders[first_for_reads] })
    }

    /// Number of a pool's engines that serve streams first; `None` while it is not divided.
    pub(super) fn stream_engines(&self, now: Time, pool: &str) -> Option<usize> {
        let division = self.divisions.get(pool).filter(|_| self.policy.divides_engines)?;
        let engines = self.pools.get(pool)?.len();
        let share = division.stream_share(now).filter(|_| engines >= MIN_ENGINES)?;
        Some((share * engines as f64).round() as usize)
    }

    /// Whether an engine takes a request that is not of the kind that it serves first.
    pub(super) fn takes_other_work(&self, server: &Server, load: Load, prompt: &Prompt) -> bool {
        let ratio = match work_of(prompt) {
            Work::Read => MAX_RUNNING_RATIO_FOR_READ,
            Work::Stream => MAX_RUNNING_RATIO_FOR_STREAM,
        };
        f64::from(load.running) < f64::from(self.slots(server)) * ratio
    }
}
