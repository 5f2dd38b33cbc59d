//! How many engines of a pool load weights at a time.
//!
//! Weights are named for all engines of a pool, which then load them from one source. The more do so at
//! once, the longer each takes from some number on that nobody tells, and engines that load carry
//! nothing meanwhile. So the number begins low and grows while loads take no longer than the shortest
//! ones did.

use crate::prelude::*;

/// The part of a pool's engines that load at first: few enough for a source that bears few, and enough
/// for all to be through in six loads.
const INITIAL_DIVISOR: usize = 6;
/// The part of a pool's engines that may load at a time at most: the others must carry the load.
const MAX_DIVISOR: usize = 4;
/// By how much longer than the shortest a load may take that others do not slow down.
const SLOWDOWN_RATIO: f64 = 1.3;
/// By how much the number falls where loads are slowed down.
const DECREASE_FACTOR: f64 = 0.75;
/// The part of the limit for weights within which all engines of a pool are to have loaded.
const LIMIT_RATIO: f64 = 0.5;

/// What was seen of the loads of one pool.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Limiter {
    /// How many may load at a time; `None` until a load was seen.
    concurrency: Option<f64>,
    /// The shortest load.
    shortest: Option<Duration>,
    /// When the number last fell.
    decreased_at: Time,
}

impl Limiter {
    /// How many of `engines` may load at a time, all of them being due within `limit`. If urgent, as many
    /// as may carry nothing at all.
    pub(super) fn max_concurrent(&self, engines: usize, limit: Duration, urgent: bool) -> usize {
        let ceiling = engines.div_ceil(if urgent { MAX_DIVISOR / 2 } else { MAX_DIVISOR }).max(1);
        if urgent {
            return ceiling;
        }
        let first = engines.div_ceil(INITIAL_DIVISOR);
        let wanted = self.concurrency.map_or(first, |concurrency| concurrency as usize);
        let in_time = self.shortest.map_or(1, |shortest| {
            let rounds = limit.as_secs_f64() * LIMIT_RATIO / shortest.as_secs_f64().max(0.001);
            (engines as f64 / rounds.max(1.0)).ceil() as usize
        });
        wanted.max(in_time).clamp(1, ceiling)
    }

    /// Takes over that one of `engines` took so long for a load.
    pub(super) fn note_load(&mut self, now: Time, engines: usize, took: Duration) {
        let shortest = self.shortest.map_or(took, |shortest| shortest.min(took));
        self.shortest = Some(shortest);
        let concurrency =
            self.concurrency.unwrap_or(engines.div_ceil(INITIAL_DIVISOR) as f64).max(1.0);
        if took <= shortest.mul_f64(SLOWDOWN_RATIO) {
            // One more for as many loads as go on at a time.
            self.concurrency = Some((concurrency + 1.0 / concurrency).min(engines.max(1) as f64));
        } else if now >= self.decreased_at + took {
            // Those that were slowed down together count once.
            self.decreased_at = now;
            self.concurrency = Some((concurrency * DECREASE_FACTOR).max(1.0));
        }
    }
}
