//! Retry budget that all daemons share without communication.
//!
//! All daemons together may retry a ratio of the requests in any window, plus a fixed number. Which daemon counts and
//! retries a pool's requests changes at any time, and a daemon that starts knows nothing of the retries before it. So
//! each daemon has a token bucket: a request that it counts adds a part of a token, and a retry takes one.
//!
//! The retries in a window are at most what all buckets hold at its begin and what flows in. The size of a bucket is a
//! ratio of the requests that its daemon counted in the window before, and each request is counted once. So both sums
//! are ratios of the requests of a whole window, whichever daemons count them, start or end.

use std::collections::VecDeque;

use crate::prelude::*;

/// Share of the ratio that requests add to the bucket: what can be retried all the time.
const INFLOW_SHARE: f64 = 0.8;
/// Share of the ratio by which the requests of a window enlarge the bucket: what can be retried at once. With the
/// inflow, it leaves a tenth for retries that arrive later than they are charged.
const BURST_SHARE: f64 = 0.1;
/// Usable share of the fixed number; half of it can be retried at once, and half flows in during a window.
const SLACK_SHARE: f64 = 0.9;
/// Number of parts of a window by which requests are counted.
const SLICES: u32 = 20;

/// Retries that are left to one pool at this daemon.
#[derive(Debug, Default)]
pub struct Budget {
    tokens: f64,
    filled_at: Time,
    /// The share of the fixed number as of that time.
    slack: f64,
    requests: Requests,
    totals: Totals,
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

/// Requests of the last window, by slices of it.
#[derive(Debug, Default)]
struct Requests {
    /// Numbers of slices that have requests, with the requests in each.
    slices: VecDeque<(u128, u32)>,
    count: u32,
}

impl Budget {
    /// Returns the budget of a daemon that has just started or got its first request to the pool.
    pub fn new(now: Time, terms: Terms) -> Self {
        let tokens = terms.slack * SLACK_SHARE / 2.0;
        Self { tokens, filled_at: now, slack: terms.slack, ..Self::default() }
    }

    /// Records a request.
    pub fn note_request(&mut self, now: Time, terms: Terms) {
        self.requests.add(now, terms.window);
        self.totals.requests += 1;
        self.tokens += terms.ratio * INFLOW_SHARE;
        self.fill(now, terms);
    }

    /// Retries that remain now.
    pub fn remaining(&mut self, now: Time, terms: Terms) -> u64 {
        self.fill(now, terms);
        self.tokens as u64
    }

    /// Takes a retry out of the budget; false if none remains.
    pub fn try_spend(&mut self, now: Time, terms: Terms) -> bool {
        let allowed = self.remaining(now, terms) > 0;
        if allowed {
            self.tokens -= 1.0;
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

    /// Adds what the fixed number brings since the last call, up to the size of the bucket. A share that has become
    /// larger counts from now on.
    pub fn fill(&mut self, now: Time, terms: Terms) {
        let windows = now.saturating_sub(self.filled_at).div_duration_f64(terms.window);
        let inflow = self.slack.min(terms.slack) * SLACK_SHARE / 2.0 * windows;
        self.filled_at = now;
        self.slack = terms.slack;
        let slack = terms.slack * SLACK_SHARE / 2.0;
        let burst = f64::from(self.requests.count(now, terms.window)) * terms.ratio * BURST_SHARE;
        self.tokens = (self.tokens + inflow).min(burst + slack);
    }
}

impl Requests {
    fn add(&mut self, now: Time, window: Duration) {
        let slice = slice_at(now, window);
        match self.slices.back_mut().filter(|(last, _)| *last == slice) {
            Some((_, count)) => *count += 1,
            None => self.slices.push_back((slice, 1)),
        }
        self.count += 1;
    }

    /// Returns the number of requests in the current slice and the ones before it that make up a window.
    fn count(&mut self, now: Time, window: Duration) -> u32 {
        let current = slice_at(now, window);
        while let Some((slice, count)) = self.slices.front().copied()
            && slice + u128::from(SLICES) <= current
        {
            self.slices.pop_front();
            self.count -= count;
        }
        self.count
    }
}

fn slice_at(now: Time, window: Duration) -> u128 {
    now.as_micros() / (window / SLICES).as_micros().max(1)
}
