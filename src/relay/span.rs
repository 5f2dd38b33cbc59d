//! The events of a stream that a request passes on, as its log lines state them.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use super::Events;
use crate::prelude::*;

/// The events that a request has passed on to its caller.
#[derive(Debug, Default)]
pub(super) struct Span {
    /// The id of the first event.
    first: OnceLock<u64>,
    /// The id of the last one, if there is a first one.
    last: AtomicU64,
    /// Number of answers that brought events.
    answers: AtomicU32,
}

impl Span {
    /// Records that one more answer brings events.
    pub(super) fn begin_answer(&self) {
        self.answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the events up to the last one of `events`, which are about to be passed on.
    pub(super) fn record(&self, events: &Events) {
        if let (Some(first), Some(last)) = (events.first_new_id(), events.last_id()) {
            self.first.get_or_init(|| first);
            self.last.store(last, Ordering::Relaxed);
        }
    }

    /// Adds the events to a log line.
    pub(super) fn describe(&self, detail: Detail) -> Detail {
        let last = self.first.get().map(|_| self.last.load(Ordering::Relaxed));
        let answers = self.answers.load(Ordering::Relaxed);
        detail
            .and_some("first_event", self.first.get().copied())
            .and_some("last_event", last)
            .and_some("answers", (answers > 0).then_some(answers))
    }
}
