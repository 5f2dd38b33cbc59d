//! How many of the shared parts each engine keeps, by its learnt speed.
//!
//! Load answered: engines of one pool that differ in speed. With equal weights, requests for the
//! parts of slow engines queue while fast engines are idle. A part is read again on each engine that
//! it moves to, and daemons learn speeds that differ a little, so weights have few steps and change
//! slowly.

use super::Node;
use crate::capacity::Estimate;
use crate::fleet::server;
use crate::prelude::*;

/// Ratio of an engine's slowness to that of its pool from which its weight is halved: the middle
/// between two steps, and a margin.
const SLOW_RATIO: f64 = 1.5;
/// Ratio below which its weight is 1 again.
const NO_LONGER_SLOW_RATIO: f64 = 1.25;
/// Minimum samples of an estimate that changes a weight; older samples lose theirs, so an estimate
/// rests on six at most.
const MIN_SAMPLES: f64 = 4.0;
/// Maximum age of the newest sample of such an estimate.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(5);
/// Interval between changes of weights.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum ratio of a pool's engines whose weights change at a time; about the same ratio of all
/// parts moves.
const MAX_CHANGED_RATIO: f64 = 0.05;

/// How many parts an engine keeps, compared with an engine of its pool's typical speed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::fleet) enum Weight {
    /// Half as much.
    Half,
    /// As much.
    #[default]
    One,
    /// Twice as much.
    Double,
}

impl Weight {
    /// Factor of its chance to be a home.
    pub(super) const fn factor(self) -> f64 {
        match self {
            Self::Half => 0.5,
            Self::One => 1.0,
            Self::Double => 2.0,
        }
    }

    /// The weight after the engine was found to take `slowness` times as long as is typical for its
    /// pool.
    pub(in crate::fleet) fn after(self, slowness: f64) -> Self {
        match self {
            Self::One if slowness >= SLOW_RATIO => Self::Half,
            Self::One if slowness <= 1.0 / SLOW_RATIO => Self::Double,
            Self::Half if slowness < NO_LONGER_SLOW_RATIO => Self::One,
            Self::Double if slowness > 1.0 / NO_LONGER_SLOW_RATIO => Self::One,
            Self::Half | Self::One | Self::Double => self,
        }
    }
}

/// What is known of one engine when weights are changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(in crate::fleet) struct Candidate {
    pub(in crate::fleet) key: server::Key,
    /// Its weight until now.
    pub(in crate::fleet) weight: Weight,
    /// How many times as long it takes as is typical for its pool.
    pub(in crate::fleet) slowness: f64,
}

/// Weights to change now, of the `servers` of a pool; those of the engines that differ most from
/// the others first.
pub(in crate::fleet) fn changes(
    servers: usize,
    mut candidates: Vec<Candidate>,
) -> Vec<(server::Key, Weight)> {
    let max_changes = (servers as f64 * MAX_CHANGED_RATIO).ceil() as usize;
    let difference = |candidate: &Candidate| candidate.slowness.ln().abs();
    candidates.sort_by(|a, b| difference(b).total_cmp(&difference(a)));
    let next = candidates.into_iter().map(|engine| (engine, engine.weight.after(engine.slowness)));
    let changed = next.filter(|(engine, weight)| engine.weight != *weight);
    changed.map(|(engine, weight)| (engine.key, weight)).take(max_changes).collect()
}

/// Whether an estimate rests on enough recent samples.
fn is_confident(estimate: &Estimate) -> bool {
    estimate.samples >= MIN_SAMPLES && estimate.age.is_some_and(|age| age <= MAX_SAMPLE_AGE)
}

impl Node {
    /// Changes the weights of a few engines whose speed differs from that of their pool.
    pub(in crate::fleet) fn update_home_weights(&mut self, now: Time) {
        if !self.policy.learns_capacity || now < self.next_weight_update {
            return;
        }
        self.next_weight_update = now + UPDATE_INTERVAL;
        let pools = self.table.as_ref().map(|table| table.engine_pools());
        let changes = pools.into_iter().flatten().flat_map(|pool| self.weight_changes(now, pool));
        let changes: Vec<(server::Key, Weight)> = changes.collect();
        for (key, weight) in changes {
            if let Some(server) = self.servers.get_mut(key) {
                server.home_weight = weight;
            }
        }
    }

    fn weight_changes(&self, now: Time, pool: &str) -> Vec<(server::Key, Weight)> {
        let (Some(servers), Some(speed)) = (self.pools.get(pool), self.pool_speeds.get(pool))
        else {
            return Vec::new();
        };
        let candidates = servers.keys().iter().filter_map(|key| {
            let server = self.servers.get(*key)?;
            let estimate = server.speed.estimate(now, speed);
            let slowness = estimate.factor / speed.factor();
            let candidate = Candidate { key: *key, weight: server.home_weight, slowness };
            is_confident(&estimate).then_some(candidate)
        });
        changes(servers.len(), candidates.collect())
    }
}
