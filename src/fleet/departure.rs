//! Servers that state in their answers that they leave.
//!
//! The platform's store may learn of it much later, or never. A server is therefore given no new work from the first answer
//! that states it, by the daemon that received the answer, the scheduler of the request, and all daemons that learn it from
//! digests. It binds an incarnation: the registration of a server may end and come back, and a restarted server is another.

use super::{Incarnation, Node, server};
use crate::prelude::*;

/// Time for which a statement is kept; longer than servers take to leave.
const LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a daemon that is no scheduler reports a statement: longer than its interval between digests.
const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of leaving servers in a digest.
const MAX_REPORTED: usize = 64;
/// Maximum number of leaving servers in a scheduler's digest to all daemons. The newest ones change, so others follow.
pub(super) const MAX_ANNOUNCED: usize = 16;
/// Maximum number of leaving servers that are kept; the oldest are dropped.
const MAX_KEPT: usize = 4_096;

/// The servers that have stated that they leave, and when this daemon learned of it.
#[derive(Debug, Default)]
pub(super) struct Departures {
    known: BTreeMap<Incarnation, Time>,
}

impl Departures {
    /// Records that a server leaves. Returns whether that was unknown.
    fn insert(&mut self, now: Time, incarnation: &Incarnation) -> bool {
        if self.known.contains_key(incarnation) {
            return false;
        }
        self.known.retain(|_, at| now < *at + LIFETIME);
        if self.known.len() >= MAX_KEPT
            && let Some(oldest) = self.known.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.known.remove(&oldest);
        }
        self.known.insert(incarnation.clone(), now);
        true
    }

    /// Whether a server has stated that it leaves.
    pub(super) fn contains(&self, incarnation: &Incarnation) -> bool {
        self.known.contains_key(incarnation)
    }
}

impl Node {
    /// Gives a server no new work, since it has stated that it leaves. Returns whether that was unknown.
    pub(super) fn note_leaving(&mut self, now: Time, key: server::Key) -> bool {
        let Some(server) = self.servers.get_mut(key) else { return false };
        let incarnation = server.entry.incarnation.clone();
        if !self.departures.insert(now, &incarnation) {
            return false;
        }
        server.entry.draining = true;
        self.event(Event::LeavingStated, Detail::of("server", incarnation.id));
        self.refresh_outdated_server(key);
        true
    }

    /// Merges the leaving servers that a peer reported.
    pub(super) fn merge_leaving(&mut self, now: Time, leaving: &[Incarnation]) {
        for incarnation in leaving {
            if let Some(key) = self.incarnations.server(incarnation) {
                self.note_leaving(now, key);
            }
        }
    }

    /// The leaving servers to include in digests, the newest first: all registered ones at a scheduler, at any other
    /// daemon those that it has just learned of.
    pub(super) fn leaving_servers(&self, now: Time) -> Vec<Incarnation> {
        let schedules = self.is_scheduler(now);
        let is_reported = |(incarnation, at): &(&Incarnation, &Time)| {
            (schedules || now < **at + REPORT_TIME)
                && self.incarnations.server(incarnation).is_some()
        };
        let mut reported: Vec<(&Incarnation, &Time)> =
            self.departures.known.iter().filter(is_reported).collect();
        reported.sort_by_key(|(_, at)| std::cmp::Reverse(**at));
        reported
            .into_iter()
            .take(MAX_REPORTED)
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }
}
