//! The share of a pool's engines that serves streams.

use crate::prelude::*;

/// What a request mostly asks of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// A long prompt is read.
    Read,
    /// Tokens are generated.
    Stream,
}

/// How the engines of one pool are divided now.
#[derive(Debug, Clone, Default)]
pub struct Division {}

impl Division {
    /// Records a request that asks for `work_ms` of an engine's time.
    pub fn record(&mut self, _now: Time, _work: Work, _work_ms: f64) {}

    /// Adopts the share of streams that the pool's scheduler before this one used.
    pub fn adopt(&mut self, _now: Time, _stream_share: f64) {}

    /// The share of the engines that serves streams, from 0 to 1; `None` while the pool is not
    /// divided, because one of the two asks for little or there is room for both.
    pub fn stream_share(&self, _now: Time) -> Option<f64> {
        None
    }

    /// What an engine serves first, by its place in a fixed order of the pool's engines, from 0 to
    /// 1; `None` while the pool is not divided.
    pub fn work_of(&self, now: Time, place: f64) -> Option<Work> {
        let share = self.stream_share(now)?;
        Some(if place < share { Work::Stream } else { Work::Read })
    }
}
