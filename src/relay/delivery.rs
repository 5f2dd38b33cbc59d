//! Delivery of one request: its attempts at backend servers and its outcome.

use std::net::TcpStream;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::answer::{encode_stream_head, pieces, push_chunk};
use super::exchange::{self, Exchange, Failure, Question};
use super::matching::Responder;
use super::passing::{Body, Held};
use super::span::Span;
use super::takeover::Origin;
use super::{
    Answer, Classification, Cut, Events, Framing, Frontend, Metadata, Request, Response, head,
};
use crate::fleet::{
    Arrival, Command, Dispatch, Key, Loss, Message, Refusal, Report, RequestLimit, Software, Start,
};
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Cohort, Repeat, Route, Workspace};
use crate::telemetry::emit;

/// Maximum size of an answer, or of an event of a stream, that is buffered completely before it is forwarded.
pub(super) const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Retry-after time for a request that the control thread, having stopped, did not accept.
const CONTROL_STOPPED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time for which a write to a caller blocks if the caller reads slowly. A server closes an answer
/// that stays unread for some seconds.
pub(super) const SLOW_READER_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a request.
pub(super) enum Outcome {
    /// A complete answer was sent; the connection can be reused.
    Answered,
    /// The answer was truncated; the connection cannot be reused.
    Truncated,
    /// The caller disconnected.
    Disconnected,
    /// The request ends with this code and retry-after time.
    Code(Code, Option<Duration>),
    /// A complete answer of a peer was passed on, with this code if it was the peer's own; the connection can be reused.
    HandedOver(Option<Code>),
    /// The backend server's own error answer is forwarded.
    ServerFailure(Box<Held>),
}

/// Progress of a request, shared with the code that runs concurrently with its attempt.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a byte may have reached a server that has not refused the request.
    pub(super) sent: AtomicBool,
    /// Whether writing the answer to the caller has started.
    answer_started: AtomicBool,
    /// Whether the current attempt has started to write to the caller.
    attempt_writing: AtomicBool,
    /// The time at which the first byte of the answer was written.
    first_byte: OnceLock<Time>,
    /// The software version of the server that brought the first event of a stream.
    software: OnceLock<Software>,
    /// The media type of the stream whose head was written.
    pub(super) media_type: OnceLock<String>,
    /// The events that were passed on.
    pub(super) span: Span,
}

impl Progress {
    /// Records that the current attempt is about to write to the caller.
    pub(super) fn record_write(&self, now: Time) {
        self.first_byte.get_or_init(|| now);
        self.answer_started.store(true, Ordering::Release);
        self.attempt_writing.store(true, Ordering::Release);
    }

    /// Whether writing the answer to the caller has started.
    pub(super) fn has_started(&self) -> bool {
        self.answer_started.load(Ordering::Acquire)
    }

    /// Returns the time at which the first byte of the answer was written.
    pub(super) fn first_byte(&self) -> Option<Time> {
        self.first_byte.get().copied()
    }
}

/// The delivery of one request.
pub(super) struct Delivery<'a> {
    pub(super) frontend: &'a Frontend,
    pub(super) request: &'a Request,
    pub(super) body: &'a [u8],
    pub(super) metadata: Metadata,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    /// The workspaces that share cached prompts, by the configuration that the route is from.
    pub(super) cohort: Cohort,
    pub(super) key: Key,
    pub(super) origin: Origin,
    /// The time at which the caller stops waiting.
    pub(super) deadline: Time,
    pub(super) progress: Progress,
}

impl Drop for Delivery<'_> {
    fn drop(&mut self) {
        self.frontend.control.tell(Message::Cancel(self.key));
    }
}

impl Delivery<'_> {
    /// Returns the outcome of a request that reaches its time limit.
    pub(super) fn on_timeout(&self) -> Outcome {
        if self.progress.has_started() {
            return Outcome::Truncated;
        }
        match self.progress.sent.load(Ordering::Acquire) {
            true => Outcome::Code(Code::AnswerTimeout, None),
            false => Outcome::Code(Code::DeadlinePassed, None),
        }
    }

    pub(super) async fn run(&self, writer: &Async<TcpStream>) -> Outcome {
        let outcome = self.carry_out_commands(writer).await;
        if self.progress.has_started() { outcome.after_start() } else { outcome }
    }

    async fn carry_out_commands(&self, writer: &Async<TcpStream>) -> Outcome {
        let commands = self.frontend.control.open(Arrival {
            request: self.key,
            id: self.metadata.id.clone(),
            route: Arc::clone(&self.route),
            workspace: self.workspace.clone(),
            cohort: self.cohort,
            deadline: self.deadline,
            prompt: self.metadata.prompt.clone(),
            fingerprint: self.fingerprint(),
            is_handed_over: self.origin == Origin::Peer,
            start: self.start(),
        });
        let mut events = Events::after(self.metadata.last_event_id);
        let mut failure = None;
        let mut next = None;
        loop {
            let command = match next.take() {
                Some(command) => Some(command),
                None => commands.recv().await.ok(),
            };
            let Some(command) = command else {
                // The control thread has stopped.
                return match self.progress.sent.load(Ordering::Acquire) {
                    true => self.failed_outcome(failure),
                    false => Outcome::Code(Code::NoServer, Some(CONTROL_STOPPED_RETRY_AFTER)),
                };
            };
            self.progress.attempt_writing.store(false, Ordering::Release);
            let dispatch = match command {
                Command::Dispatch(dispatch) => dispatch,
                // A peer is told the caller's position alone, and would begin the stream again.
                Command::HandOver(_) if self.progress.has_started() => return Outcome::Truncated,
                Command::HandOver(peer) => {
                    let superseded = async {
                        self.superseded(&commands, &mut next).await;
                        None
                    };
                    match self.hand_over(writer, &peer).or(superseded).await {
                        Some(outcome) => return outcome,
                        None => continue,
                    }
                }
                Command::Refuse(code, after) => return Outcome::Code(code, Some(after)),
                Command::GiveUp => return self.failed_outcome(failure),
            };
            if !self.may_go_on(&dispatch, &events) {
                return Outcome::Truncated;
            }
            let superseded = self.superseded(&commands, &mut next);
            let attempt = self.attempt(writer, &dispatch, &mut events).or(superseded).await;
            let report = match attempt {
                Attempt::Ended(outcome) => {
                    self.send_report(&dispatch, Report::Ended);
                    return outcome;
                }
                Attempt::CallerDisconnected => return Outcome::Disconnected,
                Attempt::CallerTooSlow => return Outcome::Truncated,
                Attempt::Superseded => continue,
                Attempt::Failed(answer) => {
                    failure = Some(answer);
                    Report::Failed
                }
                Attempt::Unanswered(report) => report,
            };
            if matches!(report, Report::Refused(_) | Report::Unsent) && dispatch.attempt == 1 {
                self.progress.sent.store(false, Ordering::Release);
            }
            self.send_report(&dispatch, report);
        }
    }

    /// Whether an answer that may have begun can go on at this attempt. It may have been chosen before the one that it was
    /// to replace began the stream.
    fn may_go_on(&self, dispatch: &Dispatch, events: &Events) -> bool {
        let is_other = |began: &Software| *began != dispatch.software;
        !events.lacks_position() && !self.progress.software.get().is_some_and(is_other)
    }

    /// Waits for a command that supersedes the current attempt and stores it in `next`. An attempt
    /// that has started to write to the caller is not interrupted, since the next attempt's output
    /// would follow a partial write. In that case the command applies only if the attempt fails.
    async fn superseded(
        &self,
        commands: &Receiver<Command>,
        next: &mut Option<Command>,
    ) -> Attempt {
        *next = commands.recv().await.ok();
        if next.is_none() || self.progress.attempt_writing.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        Attempt::Superseded
    }

    fn start(&self) -> Start {
        if self.route.is_streaming { self.metadata.start() } else { Start::New }
    }

    fn fingerprint(&self) -> Fingerprint {
        let workspace = self.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
        Fingerprint::of(workspace, &self.request.method, &self.request.target, self.body)
    }

    fn failed_outcome(&self, failure: Option<Box<Held>>) -> Outcome {
        if self.progress.has_started() {
            return Outcome::Truncated;
        }
        match failure {
            Some(answer) => Outcome::ServerFailure(answer),
            None => Outcome::Code(Code::OutcomeUnknown, None),
        }
    }

    pub(super) fn send_report(&self, dispatch: &Dispatch, report: Report) {
        let (request, attempt) = (self.key, dispatch.attempt);
        self.frontend.control.tell(Message::Report { request, attempt, report });
    }

    /// Returns the time that is left for the request, by its caller and its route.
    pub(super) fn time_left(&self) -> Duration {
        let now = self.frontend.control.clock.now();
        self.deadline.saturating_sub(now).min(self.route.timeout)
    }

    /// Returns the time that the caller still waits, if it gave one.
    pub(super) fn remaining(&self) -> Option<Duration> {
        let now = self.frontend.control.clock.now();
        self.metadata.timeout.map(|_| self.deadline.saturating_sub(now))
    }

    /// Encodes the head of the message for a backend server.
    fn encode_head(&self, dispatch: &Dispatch, events: &Events) -> String {
        let workspace = self.workspace.as_deref();
        let fields = self.frontend.dialect.forwarded_fields(
            self.request,
            &self.metadata,
            workspace,
            dispatch,
            self.remaining(),
            events.last_id(),
        );
        let length = self.body.len().to_string();
        let has_body = !self.body.is_empty() || self.request.method != "GET";
        let framing = has_body.then_some(("Content-Length", length.as_str()));
        let first_line = format!("{} {} HTTP/1.1", self.request.method, self.request.target);
        head::encode(&first_line, fields.iter().chain(framing))
    }

    async fn send(&self, dispatch: &Dispatch, events: &Events) -> Result<Exchange, Failure> {
        let (message, body) = pieces(self.encode_head(dispatch, events), self.body);
        let question = Question {
            id: Some(&self.metadata.id),
            message: &message,
            body,
            answers_head: self.request.is_head(),
        };
        let on_send = || self.progress.sent.store(true, Ordering::Release);
        exchange::send(&self.frontend.pool, dispatch.address, question, on_send).await
    }

    async fn attempt(
        &self,
        writer: &Async<TcpStream>,
        dispatch: &Dispatch,
        events: &mut Events,
    ) -> Attempt {
        let answers_head = self.request.is_head();
        let sent = self.send(dispatch, events).await;
        let responder = Responder { attempt: dispatch.attempt, name: &dispatch.server };
        let matched = match sent {
            Ok(exchange) => self.match_answer(exchange, responder).await.map_err(Failure::Lost),
            Err(failure) => Err(failure),
        };
        let (answer, class) = match matched {
            Ok(matched) => matched,
            Err(Failure::Unsent(_)) => return Attempt::Unanswered(Report::Unsent),
            Err(Failure::Lost(cut)) => return Attempt::Unanswered(Report::Lost(loss(&cut))),
        };
        self.report_statement(dispatch, class, &answer.response);
        let weights = match class {
            Classification::Invalid | Classification::Foreign => {
                return Attempt::Unanswered(Report::Lost(Loss::InvalidAnswer));
            }
            Classification::Refused(refusal) => {
                self.read_unforwarded(dispatch, answer).await;
                return Attempt::Unanswered(Report::Refused(refusal));
            }
            Classification::Unconfirmed(_) if self.runs_at_most_once() => {
                self.read_unforwarded(dispatch, answer).await;
                return Attempt::Unanswered(Report::Failed);
            }
            Classification::Answer(weights) | Classification::Unconfirmed(weights) => weights,
        };
        if !self.continues_answer(&answer.response) {
            return self.discard_other_answer(dispatch, answer);
        }
        let is_stream = self.route.is_streaming && answer.response.status == 200 && !answers_head;
        match is_stream {
            true => self.relay_stream(writer, dispatch, answer, weights, events).await,
            false => self.relay_whole(writer, dispatch, answer, weights).await,
        }
    }

    /// Whether the caller may not send the request again unless it is told that it has not run.
    pub(super) fn runs_at_most_once(&self) -> bool {
        self.route.repeat == Repeat::AtMostOnce
    }

    /// Reports what the server states. An answer that states no request limit ends one; a refusal without it says
    /// nothing. An answer of another server at the same address is none of this server's.
    fn report_statement(&self, dispatch: &Dispatch, class: Classification, response: &Response) {
        let mut statement = match class {
            Classification::Invalid
            | Classification::Foreign
            | Classification::Refused(Refusal::Replaced) => return,
            Classification::Answer(_)
            | Classification::Unconfirmed(_)
            | Classification::Refused(_) => self.frontend.dialect.statement(response),
        };
        let is_answer = !matches!(class, Classification::Refused(_));
        if statement.request_limit == RequestLimit::Unstated && is_answer && dispatch.has_limit {
            statement.request_limit = RequestLimit::Ended;
        }
        if !statement.is_empty() {
            let (request, attempt) = (self.key, dispatch.attempt);
            self.frontend.control.tell(Message::Stated { request, attempt, statement });
        }
    }

    /// Reads an answer that is not passed on, so that its connection can be reused.
    async fn read_unforwarded(&self, dispatch: &Dispatch, mut answer: Answer) {
        let holding = self.frontend.account.begin();
        let reading = Held::read(&mut answer, &holding).await;
        if matches!(reading, Ok(Body::Whole(_))) {
            answer.release(&self.frontend.pool, dispatch.max_idle);
        }
    }

    /// Logs that an answer was cut within its body. The attempt has failed.
    pub(super) fn answer_cut(
        &self,
        dispatch: &Dispatch,
        answer: &Answer,
        events: Option<&Events>,
        cut: &Cut,
    ) -> Attempt {
        let detail = self.ending_detail(dispatch, answer, events).and("cut", cut.to_string());
        emit(Event::AnswerCut, detail);
        Attempt::Unanswered(Report::Lost(loss(cut)))
    }

    /// Describes how an answer was framed and, for a stream, where in its events it ended.
    pub(super) fn ending_detail(
        &self,
        dispatch: &Dispatch,
        answer: &Answer,
        events: Option<&Events>,
    ) -> Detail {
        Detail::of("request", self.metadata.id.as_str())
            .and("attempt", dispatch.attempt)
            .and("server", dispatch.server.as_str())
            .and("framing", answer.response.framing.name())
            .and_some("first_event", events.and_then(Events::first_id))
            .and_some("last_event", events.and_then(Events::last_id))
            .and_some("partial_bytes", events.map(Events::partial_bytes))
    }

    /// Forwards a stream in complete events.
    async fn relay_stream(
        &self,
        mut writer: &Async<TcpStream>,
        dispatch: &Dispatch,
        mut answer: Answer,
        weights: Option<u64>,
        events: &mut Events,
    ) -> Attempt {
        events.begin_answer();
        let (mut started, mut is_judged, mut is_slow_reader) = (false, false, false);
        let holding = self.frontend.account.begin();
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let more = match read_events(&mut answer, &mut bytes, events).await {
                // The server may have closed an answer that stays unread. That says nothing about the
                // server, and the same would happen at another one.
                Err(_) | Ok(false) if is_slow_reader => return Attempt::CallerTooSlow,
                Ok(more) => more,
                Err(cut) => return self.answer_cut(dispatch, &answer, Some(events), &cut),
            };
            let mut whole = events.feed(&bytes);
            let is_held = holding.set(events.partial_bytes() + 2 * whole.len()).is_ok();
            if !is_held || events.partial_bytes() > MAX_ANSWER_BYTES {
                return self.answer_cut(dispatch, &answer, Some(events), &Cut::TooLarge);
            }
            if !more && answer.response.framing == Framing::UntilClose {
                let detail = self.ending_detail(dispatch, &answer, Some(events));
                emit(Event::UnframedStreamEnded, detail);
            }
            if !more || answer.decoder.is_complete() {
                whole.extend_from_slice(&events.take_partial());
            }
            if !started && !whole.is_empty() {
                started = true;
                self.progress.software.set(dispatch.software).ok();
                self.progress.span.begin_answer();
                self.send_report(dispatch, Report::Begun(weights));
            }
            if !is_judged && let Some(first) = events.first_id() {
                is_judged = true;
                self.log_misses(dispatch, events, first);
            }
            self.progress.span.record(events);
            let complete = !more || answer.decoder.is_complete();
            let mut out = Vec::with_capacity(whole.len() + 512);
            if (complete || !whole.is_empty()) && !self.progress.has_started() {
                let close = self.frontend.control.is_draining();
                out.extend_from_slice(encode_stream_head(&answer.response, close).as_bytes());
                self.progress.record_stream_head(&answer.response);
            }
            push_chunk(&mut out, &whole);
            drop(whole);
            if complete {
                out.extend_from_slice(b"0\r\n\r\n");
            }
            if !out.is_empty() {
                self.progress.record_write(self.frontend.control.clock.now());
            }
            let write_started_at = self.frontend.control.clock.now();
            if writer.write_all(&out).await.is_err() {
                return Attempt::CallerDisconnected;
            }
            let blocked = self.frontend.control.clock.now().saturating_sub(write_started_at);
            is_slow_reader |= blocked >= SLOW_READER_DELAY;
            if complete {
                answer.release(&self.frontend.pool, dispatch.max_idle);
                return Attempt::Ended(Outcome::Answered);
            }
        }
    }
}

/// Waits for more bytes of a stream. Returns false once it is complete. The end of the connection
/// completes a stream only after a whole event.
async fn read_events(
    answer: &mut Answer,
    output: &mut Vec<u8>,
    events: &Events,
) -> Result<bool, Cut> {
    let more = answer.read(output).await?;
    let ended_with_connection = !more && answer.decoder.completes_on_close();
    if ended_with_connection && !events.end_with_whole_event() {
        return Err(Cut::Broken("the connection ended within an event".into()));
    }
    Ok(more)
}

fn loss(cut: &Cut) -> Loss {
    match cut {
        Cut::Closed | Cut::Broken(_) => Loss::Connection,
        Cut::Malformed(_) | Cut::TooLarge | Cut::Full => Loss::InvalidAnswer,
        // The answer had begun: the end of its server is no sign against the request, as a cut connection would be.
        Cut::Abandoned => Loss::InvalidAnswer,
    }
}

/// Outcome of one attempt.
pub(super) enum Attempt {
    /// The request ended with this outcome.
    Ended(Outcome),
    /// Writing to the caller failed.
    CallerDisconnected,
    /// The server closed a stream that the caller read slowly.
    CallerTooSlow,
    /// A command from the control thread superseded the attempt.
    Superseded,
    /// The server answered with an error.
    Failed(Box<Held>),
    /// The attempt ended without an answer to forward.
    Unanswered(Report),
}
