//! How fast what waits is sent.

use crate::prelude::*;

/// Time in which what was sent counts half: a queue's pace changes with each engine that comes or goes.
const HALF_LIFE: Duration = Duration::from_millis(400);

/// The pace at which waiting requests of one pool are sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Throughput {
    /// Requests a second, at time `at`.
    per_s: f64,
    at: Time,
    /// Since when some wait.
    waiting_since: Option<Time>,
}

impl Throughput {
    /// Notes that a request begins to wait.
    pub(super) fn note_waiting(&mut self, now: Time) {
        self.waiting_since.get_or_insert(now);
    }

    /// Notes that nothing has waited until now.
    pub(super) fn reset(&mut self) {
        self.waiting_since = None;
    }

    /// Notes that a waiting request was sent.
    pub(super) fn note_sent(&mut self, now: Time) {
        let gain = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        self.per_s = self.per_s(now) + gain;
        self.at = now;
    }

    fn per_s(&self, now: Time) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-passed / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// How long a request is expected to wait behind `ahead` others; `None` while some have not waited
    /// long enough to tell.
    pub(super) fn expected_wait(&self, now: Time, ahead: usize) -> Option<Duration> {
        let since = self.waiting_since?;
        if now < since + HALF_LIFE / 2 {
            return None;
        }
        let wait_s = ahead as f64 / self.per_s(now).max(f64::MIN_POSITIVE);
        Some(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
    }
}
