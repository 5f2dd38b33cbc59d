//! One request on its way to a server and back: its attempts, and how it ends.

use std::net::TcpStream;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::answer::{push_chunk, stream_head, whole_answer};
use super::exchange::{self, Answer, Failure};
use super::{Ask, Cut, Entry, Events, Request, Response, Verdict, head};
use crate::fleet::{Arrival, Command, Dispatch, Key, Loss, Message, Refusal, Report};
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Route, Workspace};

/// Bytes of an answer that is read whole before it is passed on.
const MAX_ANSWER: usize = 8 << 20;
/// Time after which a caller may come back whose request the control thread did not take.
const NOT_TAKEN: Duration = Duration::from_millis(500);

/// How a request ended.
pub(super) enum End {
    /// A whole answer went out; the connection may be kept.
    Answered,
    /// The answer broke off; the connection can't be used any more.
    Cut,
    /// The caller has gone.
    Left,
    /// The request ends with this code, and may come back after the time given.
    Code(Code, Option<Duration>),
    /// The backend server's own failure is passed on.
    Failure(Box<(Response, Vec<u8>)>),
}

/// How far a request has come, seen from beside the attempt.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// A byte of it may have reached a server that has not refused it.
    sent: AtomicBool,
    /// A byte of its answer has gone to the caller.
    answering: AtomicBool,
    /// The attempt under way has begun to write to the caller.
    writing: AtomicBool,
    /// When the first byte of the answer went out.
    first: OnceLock<Time>,
}

impl Progress {
    /// Notes that the attempt under way is about to write to the caller.
    fn write(&self, now: Time) {
        self.first.get_or_init(|| now);
        self.answering.store(true, Ordering::Release);
        self.writing.store(true, Ordering::Release);
    }

    /// When the first byte of the answer went out, if any has.
    pub(super) fn first_byte(&self) -> Option<Time> {
        self.first.get().copied()
    }
}

/// One request on its way.
pub(super) struct Passage<'a> {
    pub(super) entry: &'a Entry,
    pub(super) request: &'a Request,
    pub(super) body: &'a [u8],
    pub(super) ask: Ask,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) key: Key,
    /// When the caller stops waiting.
    pub(super) deadline: Time,
    pub(super) progress: Progress,
}

impl Drop for Passage<'_> {
    fn drop(&mut self) {
        self.entry.control.tell(Message::Leave(self.key));
    }
}

impl Passage<'_> {
    /// What a request gets whose time is over.
    pub(super) fn late(&self) -> End {
        if self.progress.answering.load(Ordering::Acquire) {
            return End::Cut;
        }
        match self.progress.sent.load(Ordering::Acquire) {
            true => End::Code(Code::AnswerTimeout, None),
            false => End::Code(Code::DeadlinePassed, None),
        }
    }

    pub(super) async fn run(&self, writer: &Async<TcpStream>) -> End {
        let commands = self.entry.control.open(Arrival {
            request: self.key,
            id: self.ask.id.clone(),
            route: Arc::clone(&self.route),
            workspace: self.workspace.clone(),
            deadline: self.deadline,
            prompt: self.ask.prompt.clone(),
            fingerprint: self.fingerprint(),
        });
        let mut events = Events::after(self.ask.after);
        let mut failure = None;
        let mut next = None;
        loop {
            let command = match next.take() {
                Some(command) => Some(command),
                None => commands.recv().await.ok(),
            };
            let Some(command) = command else {
                // The control thread has ended.
                return match self.progress.sent.load(Ordering::Acquire) {
                    true => self.given_up(failure),
                    false => End::Code(Code::NoServer, Some(NOT_TAKEN)),
                };
            };
            let dispatch = match command {
                Command::Dispatch(dispatch) => dispatch,
                Command::Refuse(code, after) => return End::Code(code, Some(after)),
                Command::GiveUp => return self.given_up(failure),
            };
            self.progress.writing.store(false, Ordering::Release);
            let moved = self.moved(&commands, &mut next);
            let attempt = self.attempt(writer, &dispatch, &mut events).or(moved).await;
            let report = match attempt {
                Attempt::Ended(end) => {
                    self.report(&dispatch, Report::Ended);
                    return end;
                }
                Attempt::CallerGone => return End::Left,
                Attempt::Moved => continue,
                Attempt::Failed(answer) => {
                    failure = Some(answer);
                    Report::Failed
                }
                Attempt::Over(report) => report,
            };
            if matches!(report, Report::Refused(_) | Report::Unsent) && dispatch.attempt == 1 {
                self.progress.sent.store(false, Ordering::Release);
            }
            self.report(&dispatch, report);
        }
    }

    /// Waits until control wants the attempt under way broken off, and leaves what it wants instead
    /// in `next`. An attempt that has begun to write to the caller is not broken off: what another
    /// one writes would follow the half of it that is out. The command then counts only if the
    /// attempt fails.
    async fn moved(&self, commands: &Receiver<Command>, next: &mut Option<Command>) -> Attempt {
        *next = commands.recv().await.ok();
        if next.is_none() || self.progress.writing.load(Ordering::Acquire) {
            std::future::pending::<()>().await;
        }
        Attempt::Moved
    }

    fn fingerprint(&self) -> Fingerprint {
        let workspace = self.workspace.as_ref().map_or("", |owner| owner.name.as_str());
        Fingerprint::of(workspace, &self.request.method, &self.request.target, self.body)
    }

    fn given_up(&self, failure: Option<Box<(Response, Vec<u8>)>>) -> End {
        if self.progress.answering.load(Ordering::Acquire) {
            return End::Cut;
        }
        match failure {
            Some(answer) => End::Failure(answer),
            None => End::Code(Code::OutcomeUnknown, None),
        }
    }

    fn report(&self, dispatch: &Dispatch, report: Report) {
        let (request, attempt) = (self.key, dispatch.attempt);
        self.entry.control.tell(Message::Report { request, attempt, report });
    }

    /// The whole message for a backend server.
    fn message(&self, dispatch: &Dispatch, events: &Events) -> Vec<u8> {
        let left =
            self.ask.patience.map(|_| self.deadline.saturating_sub(self.entry.control.clock.now()));
        let workspace = self.workspace.as_deref();
        let fields = self.entry.dialect.forward(
            self.request,
            &self.ask,
            workspace,
            dispatch,
            left,
            events.last(),
        );
        let length = self.body.len().to_string();
        let has_body = !self.body.is_empty() || self.request.method != "GET";
        let framing = has_body.then_some(("Content-Length", length.as_str()));
        let first = format!("{} {} HTTP/1.1", self.request.method, self.request.target);
        let mut message = head::write(&first, fields.iter().chain(framing)).into_bytes();
        message.extend_from_slice(self.body);
        message
    }

    async fn attempt(
        &self,
        writer: &Async<TcpStream>,
        dispatch: &Dispatch,
        events: &mut Events,
    ) -> Attempt {
        let message = self.message(dispatch, events);
        let to_head = self.request.method == "HEAD";
        let sending = || self.progress.sent.store(true, Ordering::Release);
        let pool = &self.entry.pool;
        let sent = exchange::send(pool, dispatch.address, &message, to_head, sending).await;
        let answer = match sent {
            Ok(answer) => answer,
            Err(Failure::Unsent(_)) => return Attempt::Over(Report::Unsent),
            Err(Failure::Lost(cut)) => return Attempt::Over(Report::Lost(loss(&cut))),
        };
        match self.entry.dialect.verdict(&self.ask, &answer.response) {
            Verdict::Foreign => Attempt::Over(Report::Lost(Loss::Answer)),
            Verdict::Refused(refused) => self.refused(dispatch, answer, refused).await,
            Verdict::Answer(weights) if self.route.streams && answer.response.status == 200 => {
                self.stream(writer, dispatch, answer, weights, events).await
            }
            Verdict::Answer(weights) => self.whole(writer, dispatch, answer, weights).await,
        }
    }

    async fn refused(&self, dispatch: &Dispatch, mut answer: Answer, refused: Refusal) -> Attempt {
        if answer.whole(MAX_ANSWER).await.is_ok() {
            answer.finish(&self.entry.pool, dispatch.most_idle);
        }
        Attempt::Over(Report::Refused(refused))
    }

    /// Reads an answer whole and passes it on; one that is cut short is not passed on at all.
    async fn whole(
        &self,
        writer: &Async<TcpStream>,
        dispatch: &Dispatch,
        mut answer: Answer,
        weights: Option<u64>,
    ) -> Attempt {
        self.report(dispatch, Report::Begun(weights));
        let body = match answer.whole(MAX_ANSWER).await {
            Ok(body) => body,
            Err(cut) => return Attempt::Over(Report::Lost(loss(&cut))),
        };
        let response = answer.response.clone();
        answer.finish(&self.entry.pool, dispatch.most_idle);
        if response.status >= 500 {
            return Attempt::Failed(Box::new((response, body)));
        }
        let close = self.entry.control.is_draining();
        self.progress.write(self.entry.control.clock.now());
        let mut writer = writer;
        match writer.write_all(&whole_answer(&response, &body, close)).await {
            Ok(()) => Attempt::Ended(End::Answered),
            Err(_) => Attempt::CallerGone,
        }
    }

    /// Passes a stream on, whole event by whole event.
    async fn stream(
        &self,
        mut writer: &Async<TcpStream>,
        dispatch: &Dispatch,
        mut answer: Answer,
        weights: Option<u64>,
        events: &mut Events,
    ) -> Attempt {
        events.restart();
        let mut begun = false;
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let more = match answer.read(&mut bytes).await {
                Ok(more) => more,
                Err(cut) => return Attempt::Over(Report::Lost(loss(&cut))),
            };
            let mut whole = events.take(&bytes);
            if !more || answer.decoder.is_complete() {
                whole.extend_from_slice(&events.rest());
            }
            if !begun && !whole.is_empty() {
                begun = true;
                self.report(dispatch, Report::Begun(weights));
            }
            let complete = !more || answer.decoder.is_complete();
            let mut out = Vec::with_capacity(whole.len() + 512);
            if (complete || !whole.is_empty()) && !self.progress.answering.load(Ordering::Acquire) {
                let close = self.entry.control.is_draining();
                out.extend_from_slice(stream_head(&answer.response, close).as_bytes());
            }
            push_chunk(&mut out, &whole);
            if complete {
                out.extend_from_slice(b"0\r\n\r\n");
            }
            if !out.is_empty() {
                self.progress.write(self.entry.control.clock.now());
            }
            if writer.write_all(&out).await.is_err() {
                return Attempt::CallerGone;
            }
            if complete {
                answer.finish(&self.entry.pool, dispatch.most_idle);
                return Attempt::Ended(End::Answered);
            }
        }
    }
}

fn loss(cut: &Cut) -> Loss {
    match cut {
        Cut::Closed | Cut::Broken(_) => Loss::Connection,
        Cut::Malformed(_) | Cut::TooLarge => Loss::Answer,
    }
}

/// How one attempt ended.
enum Attempt {
    /// The request has its answer.
    Ended(End),
    /// The caller can't be written to.
    CallerGone,
    /// It was broken off for what control wants instead.
    Moved,
    /// The server answered with a failure.
    Failed(Box<(Response, Vec<u8>)>),
    /// It is over without an answer.
    Over(Report),
}
