//! What the log and the metrics say of a request that has ended.

use super::delivery::Outcome;
use super::span::Span;
use super::takeover::Origin;
use super::{Frontend, Metadata};
use crate::prelude::*;
use crate::telemetry::emit;

/// Summary of a finished request for the log and the metrics.
pub(super) struct Summary<'a> {
    frontend: &'a Frontend,
    id: String,
    origin: Origin,
    pub(super) started: Time,
    /// The routing table's version; 0 if there is none.
    pub(super) table_version: u64,
    pub(super) route: String,
    pub(super) workspace: String,
    /// The request's time limit; zero if it has no route.
    pub(super) limit: Duration,
    /// The event after which the caller takes a stream up.
    pub(super) after: Option<u64>,
    /// The events that were passed on.
    pub(super) span: Span,
}

impl<'a> Summary<'a> {
    pub(super) fn new(frontend: &'a Frontend, metadata: &Metadata, origin: Origin) -> Self {
        let (route, workspace) = (String::new(), String::new());
        let started = frontend.control.clock.now();
        let id = metadata.id.clone();
        let limit = Duration::ZERO;
        let (after, span) = (None, Span::default());
        let table_version = 0;
        Self { frontend, id, origin, started, table_version, route, workspace, limit, after, span }
    }

    pub(super) fn record(&self, outcome: &Outcome) {
        let (name, code, retry_after) = match outcome {
            Outcome::Answered => ("answered", None, None),
            Outcome::HandedOver(code) => ("handed-over", *code, None),
            Outcome::Truncated => ("cut", None, None),
            Outcome::Disconnected => ("caller-left", None, None),
            Outcome::ServerFailure(_) => ("server-failure", None, None),
            Outcome::Code(code, retry_after) => (code.row().name, Some(*code), *retry_after),
        };
        let number = code.map_or(0, |code| code.row().number);
        self.frontend.metrics.count_answer(&self.workspace, &self.route, number);
        let detail = Detail::of("request", self.id.as_str())
            .and("route", self.route.as_str())
            .and("workspace", self.workspace.as_str())
            .and("outcome", name)
            .and_some("origin", (self.origin == Origin::Peer).then_some("peer"))
            .and_some("code", code.map(|code| u32::from(code.row().number)))
            .and_some("execution", code.map(|code| code.row().execution.as_str()))
            .and_some("retry_after_ms", retry_after)
            .and("total_ms", self.frontend.control.clock.now().saturating_sub(self.started))
            .and("limit_ms", self.limit)
            .and("table", self.table_version)
            .and_some("after", self.after);
        emit(Event::RequestEnded, self.span.describe(detail));
    }
}
