//! How requests are placed in a replay: by the daemons, by a baseline, or by an oracle.

use cardamomvalve::manifest::Objective;
use cardamomvalve::placement::{Candidate, Query, choose};
use cardamomvalve::prefix::Prefix;
use clap::ValueEnum;
use slotmap::KeyData;
use xxhash_rust::xxh3::xxh3_64;

use super::engine::{Engine, IMPORT_US, Job, TOKEN_US};

/// Who places requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// The daemons, with the product's own decision code.
    Cardamomvalve,
    /// Any server.
    Random,
    /// Each server in turn, at each daemon.
    RoundRobin,
    /// The server with the least reported load.
    LeastLoaded,
    /// The less loaded of two random servers.
    PowerOfTwo,
    /// By hash of the first level.
    ConsistentHash,
    /// The product's cost function, with all caches and queues known exactly.
    Oracle,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 7] = [
        Self::Cardamomvalve,
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::PowerOfTwo,
        Self::ConsistentHash,
        Self::Oracle,
    ];

    /// Its name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cardamomvalve => "cardamomvalve",
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::PowerOfTwo => "power-of-two",
            Self::ConsistentHash => "consistent-hash",
            Self::Oracle => "oracle",
        }
    }
}

/// What one daemon under a baseline remembers.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    turn: usize,
    /// The load that each engine last reported, in tokens.
    pub reported: Vec<u64>,
}

impl Memory {
    /// Nothing remembered yet of this many engines.
    pub fn new(engines: usize) -> Self {
        Self { turn: 0, reported: vec![0; engines] }
    }
}

/// The engine that a baseline sends `job` to; `None` while none is up.
pub fn place(
    policy: Policy,
    memory: &mut Memory,
    engines: &[Engine],
    job: &Job,
    prefix: &Prefix,
    objective: Objective,
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let up: Vec<usize> = (0..engines.len()).filter(|index| engines[*index].up).collect();
    let any = |rng: &mut fastrand::Rng| up.get(rng.usize(0..up.len().max(1))).copied();
    let load = |index: &usize| memory.reported.get(*index).copied().unwrap_or(0);
    match policy {
        Policy::Random => any(rng),
        Policy::RoundRobin => {
            memory.turn += 1;
            up.get(memory.turn % up.len().max(1)).copied()
        }
        Policy::LeastLoaded => {
            let least = up.iter().map(load).min()?;
            let ties: Vec<usize> = up.iter().copied().filter(|i| load(i) == least).collect();
            ties.get(rng.usize(0..ties.len())).copied()
        }
        Policy::PowerOfTwo => {
            let (one, two) = (any(rng)?, any(rng)?);
            Some(if load(&two) < load(&one) { two } else { one })
        }
        Policy::ConsistentHash => {
            let level = prefix.level_key(0).map_or(0, |key| key.0);
            let weight = |index: &usize| {
                xxh3_64(&[level.to_le_bytes(), (*index as u64).to_le_bytes()].concat())
            };
            up.into_iter().max_by_key(weight)
        }
        Policy::Cardamomvalve | Policy::Oracle => oracle(engines, &up, job, prefix, objective),
    }
}

fn oracle(
    engines: &[Engine],
    up: &[usize],
    job: &Job,
    prefix: &Prefix,
    objective: Objective,
) -> Option<usize> {
    let candidates: Vec<Candidate> = up
        .iter()
        .map(|index| Candidate {
            key: KeyData::from_ffi((1 << 32) | *index as u64).into(),
            id_hash: xxh3_64(&index.to_le_bytes()),
            has_free_slot: true,
            wait_ms: engines[*index].wait_ms(job.priority),
            token_ms: TOKEN_US as f64 / 1_000.0,
            cached_blocks: engines[*index].cache.cached_prefix_blocks(&job.blocks),
            import_ms: Some(IMPORT_US as f64 / 1_000.0),
            same_zone: true,
        })
        .collect();
    let query = Query {
        prefix,
        prompt_tokens: job.tokens,
        objective,
        max_copies: engines.len(),
        exportable_blocks: 0,
        free_only: false,
    };
    let best = choose(query, &candidates).first()?.key;
    let place = candidates.iter().position(|candidate| candidate.key == best)?;
    up.get(place).copied()
}
