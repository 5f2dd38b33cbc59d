//! What speaks for a request's part in ends of servers: how often, and how long before each, it was there.

use super::Incarnation;
use crate::prelude::*;

/// Servers that end under a request before it is blocked. At one or two ends others may have been there by
/// chance: an engine that ends breaks up to some twenty requests, and their callers ask again at once.
pub(super) const MIN_CRASHES: usize = 3;
/// Least time for which a request counts as having been at a server: what is sent just before an end is there
/// for next to no time, as often by chance as anything.
const MIN_RUN_TIME: Duration = Duration::from_millis(50);

/// One end of a server: the server, and how often it had ended before, where its starts can't be told apart.
pub(super) type Key = (Incarnation, u32);

/// What a request was blocked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// Ends of servers at which it was.
    pub crashes: usize,
    /// Requests that are to be expected at as many ends by chance.
    pub expected: f64,
}

/// What is known of a request that was present when servers ended.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// The ends, and for how long it had been there at each.
    pub(super) crashes: BTreeMap<Key, Duration>,
    /// Servers of the pool.
    pub(super) servers: u32,
}

impl Suspect {
    /// How many requests that have no part in it are to be expected at as many of the ends around, having been there
    /// for as long.
    pub(super) fn expected(&self, baseline: Baseline) -> f64 {
        baseline.expected(self.crashes.len(), self.run_time().sum())
    }

    /// The same where each run counts as the longest. What ends servers does so after about the same time; others that
    /// are at several ends had been at some of them for a moment only by chance.
    pub(super) fn expected_at_longest_run(&self, baseline: Baseline) -> f64 {
        let longest = self.run_time().fold(0.0, f64::max);
        baseline.expected(self.crashes.len(), longest * self.crashes.len() as f64)
    }

    /// Seconds for which it had been there at each end.
    fn run_time(&self) -> impl Iterator<Item = f64> {
        self.crashes.values().map(|run_time| run_time.max(&MIN_RUN_TIME).as_secs_f64())
    }

    /// What is left of it without the ends at which `rival` was too. Callers that ask again at once, for what
    /// shares a prompt, meet at the next server, so two suspects are often at the same ends.
    pub(super) fn without_shared_crashes(&self, rival: &Self) -> Self {
        let crashes = self.crashes.iter().filter(|(key, _)| !rival.crashes.contains_key(*key));
        Self {
            crashes: crashes.map(|(key, run_time)| (*key, *run_time)).collect(),
            servers: self.servers,
        }
    }
}

/// What happened in a pool around some ends of its servers.
#[derive(Debug, Clone, Copy)]
pub(super) struct Baseline {
    /// Ends that nothing explains.
    pub(super) crashes: usize,
    /// Requests that broke at these, or a few where fewer did.
    pub(super) requests: usize,
    /// Seconds for which servers were there, added up.
    pub(super) server_seconds: f64,
}

impl Baseline {
    /// Requests to be expected at as many of the ends if each may come at any server and moment. A suspect's own ends
    /// are among them and so make no other more likely: else three ends in a row in a pool of five would pass for chance.
    fn expected(self, crashes: usize, ran_seconds: f64) -> f64 {
        let part = (ran_seconds / self.server_seconds).min(1.0);
        let others = self.crashes.saturating_sub(crashes);
        let chance: f64 = (1..=crashes).map(|n| (others + n) as f64 / n as f64 * part).product();
        self.requests as f64 * chance
    }
}
