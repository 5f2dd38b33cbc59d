//! Limits how many engines of a pool load weights at a time.
//!
//! All engines of a pool load new weights from one source. Beyond an unknown number of concurrent
//! loads each load slows down, and an engine that loads serves no requests. So the limit starts low
//! and grows while loads take no longer than the shortest ones did.

use crate::prelude::*;

/// Initial limit: the engines of a pool divided by this. It suits a source that bears few loads,
/// and lets all engines finish in six rounds.
const INITIAL_DIVISOR: usize = 6;
/// Maximum limit: the engines of a pool divided by this. The others must carry the traffic.
const MAX_DIVISOR: usize = 4;
/// Duration of a load, relative to the shortest, from which it counts as slowed down by others.
const SLOWDOWN_RATIO: f64 = 1.3;
/// Factor that reduces the limit when loads slow down.
const DECREASE_FACTOR: f64 = 0.75;
/// Ratio of the weights limit within which all engines of a pool should have loaded.
const LIMIT_RATIO: f64 = 0.5;

/// Limit on the concurrent loads of one pool, derived from the loads so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Limiter {
    /// Concurrent loads that are allowed; `None` until the first load has ended.
    concurrency: Option<f64>,
    /// Duration of the shortest load.
    shortest: Option<Duration>,
    /// Time at which the limit was last reduced.
    decreased_at: Time,
}

impl Limiter {
    /// Maximum number of `engines` that may load at a time, if all must have loaded within `limit`.
    /// If `urgent`, this is as many as the pool can spare.
    pub(super) fn max_concurrent(&self, engines: usize, limit: Duration, urgent: bool) -> usize {
        let ceiling = engines.div_ceil(if urgent { MAX_DIVISOR / 2 } else { MAX_DIVISOR }).max(1);
        if urgent {
            return ceiling;
        }
        let initial = engines.div_ceil(INITIAL_DIVISOR);
        let adaptive = self.concurrency.map_or(initial, |concurrency| concurrency as usize);
        let required = self.shortest.map_or(1, |shortest| {
            let rounds = limit.as_secs_f64() * LIMIT_RATIO / shortest.as_secs_f64().max(0.001);
            (engines as f64 / rounds.max(1.0)).ceil() as usize
        });
        adaptive.max(required).clamp(1, ceiling)
    }

    /// Records that one of `engines` took the time `took` for a load.
    pub(super) fn note_load(&mut self, now: Time, engines: usize, took: Duration) {
        let shortest = self.shortest.map_or(took, |shortest| shortest.min(took));
        self.shortest = Some(shortest);
        let concurrency =
            self.concurrency.unwrap_or(engines.div_ceil(INITIAL_DIVISOR) as f64).max(1.0);
        if took <= shortest.mul_f64(SLOWDOWN_RATIO) {
            // The limit grows by one for each round of concurrent loads.
            self.concurrency = Some((concurrency + 1.0 / concurrency).min(engines.max(1) as f64));
        } else if now >= self.decreased_at + took {
            // Loads that slowed each other down reduce the limit once.
            self.decreased_at = now;
            self.concurrency = Some((concurrency * DECREASE_FACTOR).max(1.0));
        }
    }
}
