//! The work that requests ask of a pool's engines.

use super::Work;
use crate::prelude::*;

/// Time in which recorded work counts half: a crowd shows within seconds, single requests do not.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Engine time asked for by kind, exponentially weighted, in milliseconds per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    reads: f64,
    streams: f64,
    updated_at: Time,
}

impl Demand {
    /// Records a request that asks for `work_ms` of an engine's time.
    pub(super) fn record(&mut self, now: Time, work: Work, work_ms: f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        self.reads *= decay;
        self.streams *= decay;
        self.updated_at = self.updated_at.max(now);
        let added = work_ms * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        match work {
            Work::Read => self.reads += added,
            Work::Stream => self.streams += added,
        }
    }

    /// Work of long prompts, as of the last request.
    pub(super) fn reads_ms_per_s(&self) -> f64 {
        self.reads
    }

    /// Work of streams, as of the last request.
    pub(super) fn streams_ms_per_s(&self) -> f64 {
        self.streams
    }
}
