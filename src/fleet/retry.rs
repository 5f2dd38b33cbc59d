//! Retry budget that all daemons share without communication.
//!
//! All daemons together may retry a ratio of the requests in any window, plus a fixed number. Each
//! daemon uses that ratio of its own requests and its share of the fixed number.

use std::collections::VecDeque;

use crate::prelude::*;

/// Usable ratio of the budget; the rest allows for windows that differ between daemons.
const USABLE_RATIO: f64 = 0.8;

/// Requests to one pool and their retries within a window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
    totals: Totals,
}

/// Counts of a budget since the daemon's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests.
    pub requests: u64,
    /// Retries that were charged.
    pub retries: u64,
    /// Times at which a retry had to wait, counted at each try.
    pub withheld: u64,
}

/// How an attempt counts for the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Charge {
    /// It is the first attempt of its request.
    #[default]
    First,
    /// An earlier attempt may have arrived at a server, and this one was charged.
    Charged,
    /// No earlier attempt is known to have arrived.
    Free,
}

impl Charge {
    /// Its name in the log.
    pub const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Charged => "charged",
            Self::Free => "free",
        }
    }
}

/// Limits of a budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Length of the window.
    pub window: Duration,
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of this daemon per window.
    pub slack: f64,
}

impl Budget {
    /// Records a request.
    pub fn note_request(&mut self, now: Time, terms: Terms) {
        self.requests.push_back(now);
        self.totals.requests += 1;
        drop_expired(&mut self.requests, now, terms.window);
    }

    /// Retries that remain in the window that ends now.
    pub fn remaining(&mut self, now: Time, terms: Terms) -> u64 {
        drop_expired(&mut self.requests, now, terms.window);
        drop_expired(&mut self.retries, now, terms.window);
        let allowed = (self.requests.len() as f64 * terms.ratio + terms.slack) * USABLE_RATIO;
        (allowed as u64).saturating_sub(self.retries.len() as u64)
    }

    /// Takes a retry out of the budget; false if none remains.
    pub fn try_spend(&mut self, now: Time, terms: Terms) -> bool {
        let allowed = self.remaining(now, terms) > 0;
        if allowed {
            self.retries.push_back(now);
            self.totals.retries += 1;
        } else {
            self.totals.withheld += 1;
        }
        allowed
    }

    /// The counts since the daemon's start.
    pub fn totals(&self) -> Totals {
        self.totals
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|time| *time + window < now) {
        times.pop_front();
    }
}
