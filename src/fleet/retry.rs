//! The budget of attempts after the first, shared by all daemons without asking one another.
//!
//! All daemons together may add a part of the requests of any window, and a fixed number besides.
//! Each takes that part of its own requests, and its share of the fixed number.

use std::collections::VecDeque;

use crate::prelude::*;

/// Share of the budget that is used; the rest is left for windows that slide between daemons.
const USED_SHARE: f64 = 0.8;

/// Requests to one pool and repeats among them within a window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// Bounds of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The window.
    pub window: Duration,
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats of this daemon besides.
    pub slack: f64,
}

impl Budget {
    /// Notes a request.
    pub fn earn(&mut self, now: Time, terms: Terms) {
        self.requests.push_back(now);
        forget(&mut self.requests, now, terms.window);
    }

    /// Repeats that are left in the window that ends now.
    pub fn left(&mut self, now: Time, terms: Terms) -> u64 {
        forget(&mut self.requests, now, terms.window);
        forget(&mut self.repeats, now, terms.window);
        let allowed = (self.requests.len() as f64 * terms.ratio + terms.slack) * USED_SHARE;
        (allowed as u64).saturating_sub(self.repeats.len() as u64)
    }

    /// Takes a repeat out of the budget; false where none is left.
    pub fn spend(&mut self, now: Time, terms: Terms) -> bool {
        let spend = self.left(now, terms) > 0;
        if spend {
            self.repeats.push_back(now);
        }
        spend
    }
}

fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
