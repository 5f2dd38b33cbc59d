//! Measures how fast the queue of a pool is sent.

use crate::prelude::*;

/// Half-life of a sent request in the throughput: the rate changes with each engine that joins or
/// leaves.
const HALF_LIFE: Duration = Duration::from_millis(400);

/// The rate at which waiting requests of one pool are sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Throughput {
    /// Requests per second at time `at`.
    per_s: f64,
    at: Time,
    /// Start of the period in which requests wait.
    waiting_since: Option<Time>,
    work: Work,
}

/// The work that is sent while requests wait. Older work and time count less.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    ms: f64,
    seconds: f64,
    at: Time,
    since: Option<Time>,
}

impl Throughput {
    /// Records that a request starts to wait.
    pub(super) fn note_waiting(&mut self, now: Time) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that the queue was empty until now.
    pub(super) fn reset(&mut self) {
        self.waiting_since = None;
    }

    /// Records that a waiting request was sent.
    pub(super) fn note_sent(&mut self, now: Time) {
        let gain = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        self.per_s = self.per_s(now) + gain;
        self.at = now;
    }

    fn per_s(&self, now: Time) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-passed / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Expected wait of a request behind `ahead` others; `None` until requests have waited long
    /// enough for an estimate.
    pub(super) fn expected_wait(&self, now: Time, ahead: usize) -> Option<Duration> {
        let since = self.waiting_since?;
        if now < since + HALF_LIFE / 2 {
            return None;
        }
        let wait_s = ahead as f64 / self.per_s(now).max(f64::MIN_POSITIVE);
        Some(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }

    /// Records that requests of the pool wait from now on.
    pub(super) fn reset_work(&mut self, now: Time) {
        self.work = Work { at: now, since: Some(now), ..Work::default() };
    }

    /// Records that work was sent to the pool's servers, in milliseconds of server time.
    pub(super) fn note_work(&mut self, now: Time, ms: f64) {
        self.work = self.work.at(now);
        self.work.ms += ms;
    }

    /// Milliseconds of work sent per second while requests wait; `None` until they have waited long
    /// enough for an estimate.
    pub(super) fn work_ms_per_s(&self, now: Time) -> Option<f64> {
        let since = self.work.since?;
        let work = self.work.at(now);
        (now >= since + HALF_LIFE / 2).then(|| work.ms / work.seconds)
    }
}

impl Work {
    /// The same, aged until `now`.
    fn at(self, now: Time) -> Self {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let half_life = HALF_LIFE.as_secs_f64();
        let kept = (-passed / half_life).exp2();
        let added = half_life / std::f64::consts::LN_2 * (1.0 - kept);
        Self { ms: self.ms * kept, seconds: self.seconds * kept + added, at: now, ..self }
    }
}
