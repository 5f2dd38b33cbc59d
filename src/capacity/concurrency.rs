//! How many requests at once serve the callers of a plain server best.
//!
//! Load answered: a server that slows down when nearly full. Each request beyond some number makes
//! all others longer, and none is answered sooner than if it had waited. The limit is the fewest
//! requests at once at which the server answers about as many a second as it can.

use super::Sample;
use crate::prelude::*;

/// Time in which a sample loses half of its weight; a number at once that was not seen for some of
/// these times is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Samples after which an older one has lost its weight. Times at one number scatter widely.
const MAX_SAMPLES: f64 = 64.0;
/// Samples from which the time at a number of requests is known.
const MIN_SAMPLES: f64 = 8.0;
/// Samples below which a known time is forgotten: with the half-life, several seconds after a number
/// at once has proved to be too high, so that trying it again harms few requests.
const FORGOTTEN_SAMPLES: f64 = 2.0;
/// Maximum distance of a sample from the mean that counts, as a difference of logarithms.
const MAX_INNOVATION: f64 = 0.7;
/// Share of the highest throughput that is enough: callers who wait here hardly see the rest.
const ENOUGH_THROUGHPUT: f64 = 0.9;
/// Ratio of the times of answers from which more requests at once harm callers clearly.
const SLOWDOWN_RATIO: f64 = 1.25;
/// Share of the highest throughput below which even fewer requests at once are not tried.
const TRIED_THROUGHPUT: f64 = 0.75;

/// The times of answers at one number of requests, relative to the assumed time.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    /// Mean of the logarithms.
    log_factor: f64,
    samples: f64,
    newest: Time,
    was_known: bool,
}

impl Level {
    fn factor(self) -> f64 {
        self.log_factor.exp()
    }

    fn samples(self, now: Time) -> f64 {
        let passed = now.saturating_sub(self.newest);
        self.samples * (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn is_known(self, now: Time) -> bool {
        self.was_known && self.samples(now) >= FORGOTTEN_SAMPLES
    }
}

/// The times of one server's answers, by the number of requests that ran when each was sent.
#[derive(Debug, Clone, Default)]
pub struct Concurrency {
    levels: BTreeMap<u32, Level>,
}

impl Concurrency {
    /// Records an answer to a request that made it `running` at once.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::capacity::{Concurrency, Sample};
    /// let mut concurrency = Concurrency::default();
    /// let now = Duration::from_secs(1);
    /// for _ in 0..8 {
    ///     concurrency.record(now, 2, Sample { predicted_ms: 40.0, took_ms: 30.0 });
    ///     concurrency.record(now, 3, Sample { predicted_ms: 40.0, took_ms: 45.0 });
    /// }
    /// assert_eq!(concurrency.limit(now, 4), 2);
    /// ```
    pub fn record(&mut self, now: Time, running: u32, sample: Sample) {
        let Some(factor) = sample.factor().filter(|_| running > 0) else { return };
        let level = self.levels.entry(running).or_default();
        if level.was_known && !level.is_known(now) {
            *level = Level::default();
        }
        let before = level.samples(now).min(MAX_SAMPLES);
        let innovation = (factor.ln() - level.log_factor).clamp(-MAX_INNOVATION, MAX_INNOVATION);
        level.log_factor += innovation / (before + 1.0);
        level.samples = (before + 1.0).min(MAX_SAMPLES);
        level.newest = level.newest.max(now);
        level.was_known |= level.samples >= MIN_SAMPLES;
    }

    /// The number of requests at once that serves callers best, up to `slots`. More are allowed until
    /// measurements show that they harm.
    pub fn limit(&self, now: Time, slots: u32) -> u32 {
        let known = self.levels.range(1..=slots);
        let known = known.filter(|(_, level)| level.is_known(now));
        let known: Vec<(u32, f64)> = known.map(|(n, level)| (*n, level.factor())).collect();
        let rate = |(running, factor): &(u32, f64)| f64::from(*running) / factor;
        let highest = known.iter().map(rate).fold(0.0, f64::max);
        let (Some(fewest), Some(most)) = (known.first(), known.last()) else { return slots };
        // A server that is always nearly full shows no better number until fewer are tried.
        if fewest.1 >= SLOWDOWN_RATIO && rate(fewest) >= highest * TRIED_THROUGHPUT {
            return (fewest.0 - 1).max(1);
        }
        let is_enough = |level: &&(u32, f64)| {
            rate(level) >= highest * ENOUGH_THROUGHPUT && most.1 >= level.1 * SLOWDOWN_RATIO
        };
        known.iter().find(is_enough).map_or(slots, |(running, _)| *running)
    }
}
