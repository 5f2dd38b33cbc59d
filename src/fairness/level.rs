//! The waiting requests of one priority.

use super::{Start, Weight};
use crate::prelude::*;

/// Virtual time of one priority, and what waits there.
#[derive(Debug, Default)]
pub(super) struct Level {
    /// Virtual time: the lowest start among what waits, or that of what was last sent.
    pub(super) virtual_us: u64,
    /// The highest start of what was sent. It is ahead of the virtual time while a request is
    /// passed over because the servers that it needs have no room.
    pub(super) latest_us: u64,
    /// Microseconds of server time that wait.
    pub(super) waiting_us: u64,
    /// Sum of the weights of workspaces with something waiting, in millionths.
    weights: u64,
    /// Number of waiting requests by start.
    starts: BTreeMap<Start, u32>,
}

impl Level {
    /// Adds a waiting request.
    pub(super) fn add(&mut self, start: Start, cost_us: u64) {
        *self.starts.entry(start).or_default() += 1;
        self.waiting_us = self.waiting_us.saturating_add(cost_us);
    }

    /// Removes a waiting request; returns whether there was one with that start.
    pub(super) fn remove(&mut self, start: Start, cost_us: u64) -> bool {
        let Some(count) = self.starts.get_mut(&start) else { return false };
        *count -= 1;
        if *count == 0 {
            self.starts.remove(&start);
        }
        self.waiting_us = self.waiting_us.saturating_sub(cost_us);
        true
    }

    /// Advances the virtual time to what was just sent, but not past what still waits: otherwise
    /// workspaces that join now would wait behind those requests.
    pub(super) fn advance(&mut self, sent: Start) {
        let first = self.starts.keys().next().map_or(sent, |first| sent.min(*first));
        self.virtual_us = self.virtual_us.max(first.0);
        self.latest_us = self.latest_us.max(sent.0);
    }

    /// Replaces the weight of a workspace in the sum; `None` while it has nothing waiting.
    pub(super) fn reweigh(&mut self, former: Option<Weight>, weight: Option<Weight>) {
        let former = former.map_or(0, Weight::millionths);
        let weight = weight.map_or(0, Weight::millionths);
        self.weights = self.weights.saturating_sub(former).saturating_add(weight);
    }

    /// Sum of the weights of workspaces with something waiting.
    pub(super) fn weights(&self) -> f64 {
        self.weights as f64 / Weight::ONE.millionths() as f64
    }
}
