//! The share of a pool's engines that serves streams.

use super::demand::Demand;
use crate::prelude::*;

/// Number of engines from which a pool is divided: each kind still has several if some are lost.
pub const MIN_ENGINES: usize = 16;
/// Engine time per second, in milliseconds, from which the measured demand decides: with less, single
/// requests would move the share.
const MIN_WORK_MS_PER_S: f64 = 250.0;
/// Share of the work that each kind must ask for before a pool is divided.
const MIN_WORK_SHARE: f64 = 0.1;
/// The same for a pool that is divided already.
const MIN_WORK_SHARE_TO_CONTINUE: f64 = 0.05;
/// Factor of the work of streams: a reader waits for each token, and sees each pause.
const STREAM_MARGIN: f64 = 1.25;
/// Minimum share of the engines for each kind: one engine of the smallest pool that is divided.
const MIN_SHARE: f64 = 1.0 / MIN_ENGINES as f64;
/// Maximum change of the share at once. Parts of prompts move with it.
const MAX_STEP: f64 = 1.0 / 16.0;
/// Difference from the wanted share up to which the share stays.
const TOLERANCE: f64 = 0.08;
/// Minimum time between two changes: the parts that moved with the last one are read again.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a share holds after demand last called for it, or after it was adopted.
const LIFETIME: Duration = Duration::from_secs(4);

/// What a request mostly asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// A long prompt is read.
    Read,
    /// Tokens are generated.
    Stream,
}

/// How the engines of one pool are divided now.
///
/// ```
/// use std::time::Duration;
///
/// use cardamomvalve::division::{Division, Work};
///
/// let mut division = Division::default();
/// for ms in (0..2_000).step_by(10) {
///     let now = Duration::from_millis(ms);
///     division.record(now, Work::Read, 60.0);
///     division.record(now, Work::Stream, 30.0);
/// }
/// let share = division.stream_share(Duration::from_secs(2)).unwrap();
/// assert!((0.3..0.5).contains(&share));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Division {
    demand: Demand,
    /// The share in use, from 0 to 1.
    share: f64,
    /// When the share ends unless demand calls for it again.
    valid_until: Time,
    /// The earliest time of the next change.
    next_change: Time,
}

impl Division {
    /// Records a request that asks for `work_ms` of an engine's time.
    pub fn record(&mut self, now: Time, work: Work, work_ms: f64) {
        self.demand.record(now, work, work_ms);
        if now >= self.next_change {
            self.follow_demand(now);
        }
    }

    /// Adopts the share of streams that the pool's scheduler before this one used.
    pub fn adopt(&mut self, now: Time, stream_share: f64) {
        if stream_share.is_finite() {
            self.set(now, stream_share);
        }
    }

    /// The share of the engines that serves streams, from 0 to 1; `None` while the pool is not
    /// divided, because one of the two asks for little or there is room for both.
    pub fn stream_share(&self, now: Time) -> Option<f64> {
        (now < self.valid_until).then_some(self.share)
    }

    /// What an engine serves first, by its place in a fixed order of the pool's engines, from 0 to
    /// 1; `None` while the pool is not divided.
    pub fn work_of(&self, now: Time, place: f64) -> Option<Work> {
        let share = self.stream_share(now)?;
        Some(if place < share { Work::Stream } else { Work::Read })
    }

    /// Moves the share towards what the demand calls for.
    fn follow_demand(&mut self, now: Time) {
        let (streams, reads) = (self.demand.streams_ms_per_s(), self.demand.reads_ms_per_s());
        let total = streams + reads;
        if total < MIN_WORK_MS_PER_S {
            return;
        }
        let current = self.stream_share(now);
        let min = if current.is_some() { MIN_WORK_SHARE_TO_CONTINUE } else { MIN_WORK_SHARE };
        if streams.min(reads) < min * total {
            return;
        }
        let wanted = streams * STREAM_MARGIN / (streams * STREAM_MARGIN + reads);
        let share = match current {
            Some(current) if (wanted - current).abs() <= TOLERANCE => {
                self.valid_until = now + LIFETIME;
                return;
            }
            Some(current) => current + (wanted - current).clamp(-MAX_STEP, MAX_STEP),
            None => wanted,
        };
        self.set(now, share);
    }

    fn set(&mut self, now: Time, share: f64) {
        self.share = share.clamp(MIN_SHARE, 1.0 - MIN_SHARE);
        self.valid_until = now + LIFETIME;
        self.next_change = now + CHANGE_INTERVAL;
    }
}
