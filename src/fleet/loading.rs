//! How many engines of a pool load weights at a time.
//!
//! Weights are named for all engines of a pool, which then load them from one source. The more do so at
//! once, the longer each takes from some number on that nobody tells, and engines that load carry
//! nothing meanwhile. So the number begins low and grows while loads take no longer than the shortest
//! ones did.

use crate::prelude::*;

/// The part of a pool's engines that load at first: few enough for a source that bears few, and enough
/// for all to be through in six loads.
const FIRST_PART: usize = 6;
/// The part of a pool's engines that may load at a time at most: the others must carry the load.
const MOST_PART: usize = 4;
/// By how much longer than the shortest a load may take that others do not slow down.
const SLOWED: f64 = 1.3;
/// By how much the number falls where loads are slowed down.
const FALL: f64 = 0.75;
/// The part of the limit for weights within which all engines of a pool are to have loaded.
const LIMIT_PART: f64 = 0.5;

/// What was seen of the loads of one pool.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Loading {
    /// How many may load at a time; `None` until a load was seen.
    most: Option<f64>,
    /// The shortest load.
    shortest: Option<Duration>,
    /// When the number last fell.
    fell_at: Time,
}

impl Loading {
    /// How many of `engines` may load at a time, all of them being due within `limit`. In a hurry as many
    /// as may carry nothing at all.
    pub(super) fn most(&self, engines: usize, limit: Duration, hurry: bool) -> usize {
        let ceiling = engines.div_ceil(if hurry { MOST_PART / 2 } else { MOST_PART }).max(1);
        if hurry {
            return ceiling;
        }
        let first = engines.div_ceil(FIRST_PART);
        let wanted = self.most.map_or(first, |most| most as usize);
        let in_time = self.shortest.map_or(1, |shortest| {
            let rounds = limit.as_secs_f64() * LIMIT_PART / shortest.as_secs_f64().max(0.001);
            (engines as f64 / rounds.max(1.0)).ceil() as usize
        });
        wanted.max(in_time).clamp(1, ceiling)
    }

    /// Takes over that one of `engines` took so long for a load.
    pub(super) fn loaded(&mut self, now: Time, engines: usize, took: Duration) {
        let shortest = self.shortest.map_or(took, |shortest| shortest.min(took));
        self.shortest = Some(shortest);
        let most = self.most.unwrap_or(engines.div_ceil(FIRST_PART) as f64).max(1.0);
        if took <= shortest.mul_f64(SLOWED) {
            // One more for as many loads as go on at a time.
            self.most = Some((most + 1.0 / most).min(engines.max(1) as f64));
        } else if now >= self.fell_at + took {
            // Those that were slowed down together count once.
            self.fell_at = now;
            self.most = Some((most * FALL).max(1.0));
        }
    }
}
