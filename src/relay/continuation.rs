//! What may follow in an answer that has begun: more events of its stream, and nothing else.
//!
//! A server that takes a stream up may answer with another status or media type, and the request may then end with an
//! error. The caller has a head already, and would read another one as a part of the body.

use super::delivery::{Attempt, Delivery, Outcome, Progress};
use super::{Answer, Events, Response};
use crate::fleet::{Dispatch, Report};
use crate::prelude::*;
use crate::telemetry::emit;

impl Outcome {
    /// Returns the outcome of a request whose answer has begun.
    pub(super) fn after_start(self) -> Self {
        match self {
            Self::Code(..) | Self::ServerFailure(_) => Self::Truncated,
            ended => ended,
        }
    }
}

impl Progress {
    /// Records the head of the stream that is written to the caller.
    pub(super) fn record_stream_head(&self, response: &Response) {
        self.media_type.set(media_type(response)).ok();
    }
}

impl Delivery<'_> {
    /// Whether an answer begins one, or goes on with the stream that its caller has a part of.
    pub(super) fn continues_answer(&self, response: &Response) -> bool {
        let is_same = |begun: &String| response.status == 200 && *begun == media_type(response);
        !self.progress.has_started() || self.progress.media_type.get().is_some_and(is_same)
    }

    /// Logs that the answer does not begin at the event that is due, `first` being its first one.
    pub(super) fn log_misses(&self, dispatch: &Dispatch, events: &Events, first: u64) {
        let Some(after) = events.missed_position() else { return };
        let detail = Detail::of("request", self.metadata.id.as_str())
            .and("attempt", dispatch.attempt)
            .and("server", dispatch.server.as_str())
            .and("after", after)
            .and("first_event", first);
        emit(Event::StreamMisses, detail);
    }

    /// Discards an answer that does not go on with the stream. Its body, if any, is not awaited.
    pub(super) fn discard_other_answer(&self, dispatch: &Dispatch, answer: Answer) -> Attempt {
        let reason = format!("status {} where events are due", answer.response.status);
        let detail = self.ending_detail(dispatch, &answer, None).and("cut", reason);
        emit(Event::AnswerCut, detail);
        answer.release(&self.frontend.pool, dispatch.max_idle);
        Attempt::Unanswered(Report::Failed)
    }
}

/// Returns the media type of an answer in lower case, without parameters; empty if it states none.
fn media_type(response: &Response) -> String {
    let stated = response.fields.get("content-type").unwrap_or_default();
    stated.split(';').next().unwrap_or_default().trim().to_ascii_lowercase()
}
