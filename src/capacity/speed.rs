//! The speed of one server, and of a pool.

use super::ratio::{MAX_FACTOR, Ratio};
use crate::prelude::*;

/// Time in which a sample loses half of its weight: a slowdown of a second shows while it lasts.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum weight of earlier samples against a new one: a slow server is left after a few answers.
const MAX_SAMPLES: f64 = 6.0;
/// Weight of the pool's factor in the estimate of one server, in samples.
const PRIOR_SAMPLES: f64 = 1.0;
/// Maximum distance of a sample from the estimate that counts: one outlier stays within
/// [`Ratio::CLOSE`].
const MAX_INNOVATION: f64 = 1.1;
/// Waiting time beyond the largest factor from which an answer shows a pause, not a speed: a frozen
/// server, or one that loads weights, answers late whatever its speed.
const MIN_PAUSE_MS: f64 = 350.0;
/// Smallest step of a pool's running median.
const MIN_MEDIAN_STEP: f64 = 0.02;
/// Samples from which a pool's median may differ from the assumption.
const MIN_POOL_SAMPLES: f64 = 32.0;

/// One answer: what the model predicted, and what it took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Milliseconds predicted at the assumed speed.
    pub predicted_ms: f64,
    /// Milliseconds that the server took.
    pub took_ms: f64,
}

impl Sample {
    /// The ratio of the times; `None` unless both are positive and finite.
    ///
    /// ```
    /// use cardamomvalve::capacity::Sample;
    /// let sample = Sample { predicted_ms: 20.0, took_ms: 40.0 };
    /// assert!((sample.factor().expect("a valid sample") - 2.0).abs() < 1e-9);
    /// assert_eq!(Sample { predicted_ms: 0.0, took_ms: 40.0 }.factor(), None);
    /// ```
    pub fn factor(self) -> Option<f64> {
        let is_valid = |ms: f64| ms.is_finite() && ms > 0.0;
        (is_valid(self.predicted_ms) && is_valid(self.took_ms))
            .then(|| self.took_ms / self.predicted_ms)
    }

    /// Whether no speed explains the time that it took.
    fn is_pause(self) -> bool {
        self.took_ms > self.predicted_ms * MAX_FACTOR + MIN_PAUSE_MS
    }
}

/// How many times as long as assumed a server takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The factor; 1 if nothing is known.
    pub factor: f64,
    /// Samples that it rests on, older ones counting less.
    pub samples: f64,
    /// Time since the newest sample; `None` without any.
    pub age: Option<Duration>,
}

/// What a daemon tells its peers about the speed of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The factor.
    pub factor: f32,
    /// Samples that it rests on.
    pub samples: f32,
    /// Time since the newest sample.
    pub age: Duration,
}

/// A change in the judgement of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// It has become clearly slower than its pool.
    Slow,
    /// It is as fast as its pool again.
    Well,
}

/// The speed of one server, in one incarnation.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    /// Weighted mean of the samples.
    mean: Ratio,
    /// Weight of the samples at `newest`.
    samples: f64,
    /// Time of the newest sample; `None` without any.
    newest: Option<Time>,
    /// End of the last pause. An answer to a request that was sent before shows no speed.
    paused_until: Option<Time>,
    is_slow: bool,
}

/// The typical speed of a pool's servers, which holds for a server of which little is known.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    median: Ratio,
    samples: f64,
    differs: bool,
}

impl Speed {
    /// Records an answer of the server; returns whether it shows a speed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::capacity::{Sample, Speed};
    /// let mut speed = Speed::default();
    /// let sample = Sample { predicted_ms: 20.0, took_ms: 40.0 };
    /// assert!(speed.record(Duration::from_secs(1), sample));
    /// assert!(!speed.record(Duration::from_secs(1), Sample { took_ms: f64::NAN, ..sample }));
    /// ```
    pub fn record(&mut self, now: Time, sample: Sample) -> bool {
        let Some(factor) = sample.factor() else { return false };
        if sample.is_pause() {
            self.paused_until = Some(now);
            return false;
        }
        let sent_at = now.saturating_sub(Duration::from_secs_f64(sample.took_ms / 1_000.0));
        if self.paused_until.is_some_and(|until| sent_at < until) {
            return false;
        }
        let before = self.weight(now).min(MAX_SAMPLES);
        let sampled = Ratio::of(factor);
        self.mean = match self.newest {
            None => sampled,
            Some(_) => {
                let innovation = self.mean.to(sampled).clamp(-MAX_INNOVATION, MAX_INNOVATION);
                self.mean.moved(innovation / (before + 1.0))
            }
        };
        self.samples = (before + 1.0).min(MAX_SAMPLES);
        self.newest = Some(self.newest.map_or(now, |newest| newest.max(now)));
        true
    }

    /// Merges what a peer reported; newer samples of this daemon's own stay.
    pub fn merge(&mut self, now: Time, report: Report) {
        let (factor, samples) = (f64::from(report.factor), f64::from(report.samples));
        let is_valid = |value: f64| value.is_finite() && value > 0.0;
        // The weight of samples falls with their age, so the older evidence is the lesser.
        if !is_valid(factor) || !is_valid(samples) || samples <= self.weight(now) {
            return;
        }
        self.mean = Ratio::of(factor);
        self.newest = Some(now.saturating_sub(report.age));
        let lost = decay(now.saturating_sub(self.newest.unwrap_or(now)));
        self.samples = (samples / lost.max(f64::MIN_POSITIVE)).min(MAX_SAMPLES);
    }

    /// Returns the report for peers; `None` without samples.
    pub fn report(&self, now: Time) -> Option<Report> {
        let age = now.saturating_sub(self.newest?);
        let (factor, samples) = (self.mean.factor() as f32, self.weight(now) as f32);
        Some(Report { factor, samples, age })
    }

    /// The server's factor, drawn towards that of its pool while samples are few or old.
    pub fn estimate(&self, now: Time, pool: &Pool) -> Estimate {
        let samples = self.weight(now);
        let own = self.difference(now, pool);
        let factor = Ratio::of(pool.factor()).moved(own).factor();
        let age = self.newest.map(|newest| now.saturating_sub(newest));
        Estimate { factor, samples, age }
    }

    /// Judges the server by its samples so far; returns a change of the judgement. A server that is
    /// slow stays so until it is close to its pool again.
    pub fn judge(&mut self, now: Time, pool: &Pool) -> Option<Change> {
        let own = self.difference(now, pool);
        let (was_slow, limit) = match self.is_slow {
            true => (true, Ratio::CLOSE),
            false => (false, Ratio::CLEAR),
        };
        self.is_slow = own > limit;
        match (was_slow, self.is_slow) {
            (false, true) => Some(Change::Slow),
            (true, false) => Some(Change::Well),
            (false, false) | (true, true) => None,
        }
    }

    /// Returns the logarithm of the server's factor over that of its pool.
    fn difference(&self, now: Time, pool: &Pool) -> f64 {
        if self.newest.is_none() {
            return 0.0;
        }
        let difference = Ratio::clear_difference(pool.median.to(self.mean));
        let samples = self.weight(now);
        difference * samples / (samples + PRIOR_SAMPLES)
    }

    /// Samples, older ones counting less.
    fn weight(&self, now: Time) -> f64 {
        self.newest.map_or(0.0, |newest| self.samples * decay(now.saturating_sub(newest)))
    }
}

/// Share of its weight that a sample keeps over a time.
fn decay(passed: Duration) -> f64 {
    (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

impl Pool {
    /// Records an answer of any of its servers.
    pub fn record(&mut self, _now: Time, sample: Sample) {
        let Some(factor) = sample.factor() else { return };
        self.samples = (self.samples + 1.0).min(1.0 / MIN_MEDIAN_STEP);
        let above = self.median.to(Ratio::of(factor));
        let step = (1.0 / self.samples).max(MIN_MEDIAN_STEP);
        self.median = self.median.moved(above.clamp(-step, step));
        let limit = if self.differs { Ratio::CLOSE } else { Ratio::CLEAR };
        let distance = Ratio::default().to(self.median).abs();
        self.differs = self.samples >= MIN_POOL_SAMPLES && distance > limit;
    }

    /// Returns the median factor of its servers; 1 while that is close to 1.
    pub fn factor(&self) -> f64 {
        if self.differs { self.median.factor() } else { 1.0 }
    }
}
