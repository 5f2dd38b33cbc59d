//! The budget of attempts after the first, shared by all daemons without asking one another.
//!
//! All daemons together may add a part of the requests of any window, and a fixed number besides.
//! Each takes that part of its own requests, and its share of the fixed number.

use std::collections::VecDeque;

use crate::prelude::*;

/// Share of the budget that is used; the rest is left for windows that slide between daemons.
const USABLE_RATIO: f64 = 0.8;

/// Requests to one pool and repeats among them within a window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
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
    pub fn note_request(&mut self, now: Time, terms: Terms) {
        self.requests.push_back(now);
        drop_expired(&mut self.requests, now, terms.window);
    }

    /// Repeats that are left in the window that ends now.
    pub fn remaining(&mut self, now: Time, terms: Terms) -> u64 {
        drop_expired(&mut self.requests, now, terms.window);
        drop_expired(&mut self.retries, now, terms.window);
        let allowed = (self.requests.len() as f64 * terms.ratio + terms.slack) * USABLE_RATIO;
        (allowed as u64).saturating_sub(self.retries.len() as u64)
    }

    /// Takes a repeat out of the budget; false where none is left.
    pub fn try_spend(&mut self, now: Time, terms: Terms) -> bool {
        let allowed = self.remaining(now, terms) > 0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
