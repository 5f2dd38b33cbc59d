//! The rejects that one server made, and those that it may still make.

use std::collections::VecDeque;

use crate::fleet::Key;
use crate::prelude::*;

/// Time for which a reject counts: the second of the limit, and the difference between the delays of
/// two reports.
const WINDOW: Duration = Duration::from_millis(1_250);
/// Time after which a server that has rejected nothing counts as having accepted a request: some ten
/// round trips to another zone. Until a report that takes longer arrives, requests can be sent at the
/// rate of one share in this time.
const ACCEPTANCE_TIME: Duration = Duration::from_millis(60);
/// Time after its last reject for which a server's capacity is that which it showed then.
const CAPACITY_LIFETIME: Duration = Duration::from_secs(3);

/// The rejects of one server.
#[derive(Debug, Default)]
pub(super) struct Exposure {
    /// Send times of the requests that the server has neither begun to answer nor rejected. Those
    /// whose caller has left are among them: their rejects count, but are not reported.
    pending: BTreeMap<Key, Time>,
    rejects: VecDeque<Time>,
    /// Requests that the server held at its last reject, and when that was.
    shown: Option<(u32, Time)>,
}

impl Exposure {
    /// Records that a request is sent.
    pub(super) fn note_sent(&mut self, now: Time, key: Key) {
        self.pending.retain(|_, at| now < *at + WINDOW);
        self.pending.insert(key, now);
    }

    /// Records that a request was begun or rejected.
    pub(super) fn settle(&mut self, key: Key) {
        self.pending.remove(&key);
    }

    /// Records a reject by the server while it held this number of requests.
    pub(super) fn note_rejected(&mut self, now: Time, held: u32) {
        self.rejects.retain(|at| now < *at + WINDOW);
        self.rejects.push_back(now);
        self.shown = Some((held, now));
    }

    /// Number of recent rejects.
    pub(super) fn rejects(&self, now: Time) -> usize {
        self.rejects.iter().rev().take_while(|at| now < **at + WINDOW).count()
    }

    /// Number of requests that the server may still reject.
    pub(super) fn unaccepted(&self, now: Time) -> usize {
        let limit = if self.rejects(now) > 0 { WINDOW } else { ACCEPTANCE_TIME };
        self.pending.values().filter(|at| now < **at + limit).count()
    }

    /// The capacity that the server showed by a recent reject.
    pub(super) fn capacity(&self, now: Time) -> Option<u32> {
        let recent = self.shown.filter(|(_, at)| now < *at + CAPACITY_LIFETIME);
        recent.map(|(held, _)| held)
    }

    /// Whether it affects no further decision.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        self.pending.values().all(|at| now >= *at + WINDOW) && self.capacity(now).is_none()
    }
}
