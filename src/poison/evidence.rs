//! Estimates whether a request was present at server crashes by chance.

use super::Incarnation;
use crate::prelude::*;

/// Min crashes at which a request must have been present to be blocked. One or two may be
/// coincidence: a crash of an engine interrupts up to some twenty requests, and their callers retry
/// at once.
pub(super) const MIN_CRASHES: usize = 3;
/// Min run time that a request counts with. A request sent just before a crash has run for almost
/// no time, which happens by chance as often as anything else.
const MIN_RUN_TIME: Duration = Duration::from_millis(50);

/// One crash: the incarnation, and its number of earlier crashes where its starts can't be told
/// apart.
pub(super) type Key = (Incarnation, u32);

/// The observations that led to a block.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// Crashes at which the request was present.
    pub crashes: usize,
    /// Number of requests expected to be present at as many crashes by chance.
    pub expected: f64,
}

/// A request that was present at unexplained crashes.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// The crashes, and the request's run time at each.
    pub(super) crashes: BTreeMap<Key, Duration>,
    /// Number of servers in the pool.
    pub(super) servers: u32,
}

impl Suspect {
    /// Expected number of unrelated requests that are present at as many of the baseline's crashes
    /// with the same total run time.
    pub(super) fn expected(&self, baseline: Baseline) -> f64 {
        baseline.expected(self.crashes.len(), self.run_time().sum())
    }

    /// Same as [`Self::expected`] with each run counted as the longest. A harmful request crashes
    /// servers after a similar time on each run; an unrelated one that was present at several
    /// crashes had often just arrived at some of them.
    pub(super) fn expected_at_longest_run(&self, baseline: Baseline) -> f64 {
        self.expected_at_run(baseline, self.run_time().fold(0.0, f64::max))
    }

    /// Same as [`Self::expected`] with each run counted as `run` seconds.
    pub(super) fn expected_at_run(&self, baseline: Baseline, run: f64) -> f64 {
        baseline.expected(self.crashes.len(), run * self.crashes.len() as f64)
    }

    /// Run time in seconds at each crash.
    pub(super) fn run_time(&self) -> impl Iterator<Item = f64> {
        self.crashes.values().map(|run_time| run_time.max(&MIN_RUN_TIME).as_secs_f64())
    }

    /// Splits this suspect into one with the crashes that `is_first` selects and one with the
    /// others.
    pub(super) fn partition(&self, is_first: impl Fn(&Key) -> bool) -> (Self, Self) {
        let crashes = self.crashes.iter().map(|(key, run_time)| (*key, *run_time));
        let (first, second) = crashes.partition(|(key, _)| is_first(key));
        let suspect = |crashes| Self { crashes, servers: self.servers };
        (suspect(first), suspect(second))
    }

    /// Returns this suspect without the crashes that it shares with `rival`. Callers that retry at
    /// once requests with a common prompt prefix meet at the next server, so two suspects are often
    /// present at the same crashes.
    pub(super) fn without_shared_crashes(&self, rival: &Self) -> Self {
        self.partition(|key| !rival.crashes.contains_key(key)).0
    }
}

/// Crash statistics of a pool during a period.
#[derive(Debug, Clone, Copy)]
pub(super) struct Baseline {
    /// Unexplained crashes.
    pub(super) crashes: usize,
    /// Requests that these crashes interrupted, or [`super::judgement`]'s minimum where there were
    /// fewer.
    pub(super) requests: usize,
    /// Total server time in seconds.
    pub(super) server_seconds: f64,
}

impl Baseline {
    /// Expected number of requests at `crashes` crashes if requests arrive independently of them. A
    /// suspect's own crashes are excluded from the rate, or three crashes in a row in a pool of
    /// five would pass for chance.
    fn expected(self, crashes: usize, ran_seconds: f64) -> f64 {
        let part = (ran_seconds / self.server_seconds).min(1.0);
        let others = self.crashes.saturating_sub(crashes);
        let chance: f64 = (1..=crashes).map(|n| (others + n) as f64 / n as f64 * part).product();
        self.requests as f64 * chance
    }
}
