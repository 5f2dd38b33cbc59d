//! One caller's connection: its requests are read, passed on and answered in turn.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::FutureExt;

use super::answer::{own_answer, whole_answer};
use super::passage::{End, Passage, Progress};
use super::{Ask, Conn, Cut, Dialect, Fields, Pool, Request};
use crate::fleet::Control;
use crate::prelude::*;
use crate::route::{Found, Limits};
use crate::telemetry::emit;
use crate::telemetry::metrics::Metrics;

/// Time for the body of a request to arrive, once its head has.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time after which a caller may come back that found no configuration here yet.
const NOT_YET: Duration = Duration::from_millis(500);

/// What all callers' connections share.
pub struct Entry {
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) control: Control,
    pub(super) pool: Arc<Pool>,
    metrics: Arc<Metrics>,
    /// Closed once idle connections are to be closed.
    closing: Receiver<()>,
    /// Requests of which a byte was read and that have no whole answer yet.
    unanswered: AtomicUsize,
}

impl Entry {
    /// An entry; once `closing` is closed, idle connections are closed.
    pub fn new(
        dialect: Arc<dyn Dialect>,
        control: Control,
        pool: Arc<Pool>,
        metrics: Arc<Metrics>,
        closing: Receiver<()>,
    ) -> Self {
        let unanswered = AtomicUsize::new(0);
        Self { dialect, control, pool, metrics, closing, unanswered }
    }

    /// Requests of which a byte was read and whose answer has not gone out: control forgets a request
    /// when it tells what to answer, so only this says whether the process may end.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Acquire)
    }

    fn limits(&self) -> Limits {
        self.control.table().map(|table| table.limits()).unwrap_or_default()
    }
}

/// Counts a request as unanswered until dropped.
struct Unanswered<'a>(&'a AtomicUsize);

impl<'a> Unanswered<'a> {
    fn begin(entry: &'a Entry) -> Self {
        entry.unanswered.fetch_add(1, Ordering::AcqRel);
        Self(&entry.unanswered)
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves one caller's connection until it closes.
pub async fn serve(entry: Arc<Entry>, stream: Async<TcpStream>) {
    let mut conn = Conn::new(stream);
    loop {
        let limits = entry.limits();
        if !wait_for_request(&entry, &mut conn, limits).await {
            return;
        }
        let _unanswered = Unanswered::begin(&entry);
        let (request, body) = match read_request(&mut conn, limits).await {
            Ok(read) => read,
            Err(code) => {
                if let Some(code) = code {
                    let answer = own_answer(&Error::from(code), None, Fields::default(), false);
                    conn.write(&answer).await.ok();
                }
                return;
            }
        };
        let keep = request.keep;
        let kept = pass_on(&entry, &mut conn, &request, &body).await;
        if !kept || !keep {
            return;
        }
    }
}

/// Waits for the first byte of a request; false where the connection is to be closed.
async fn wait_for_request(entry: &Entry, conn: &mut Conn, limits: Limits) -> bool {
    let idle = async {
        Timer::after(limits.idle).await;
        false
    };
    let closing = async {
        entry.closing.recv().await.ok();
        false
    };
    conn.has_begun().or(idle).or(closing).await
}

/// Reads a whole request; on failure the code to answer with, where one is due.
async fn read_request(conn: &mut Conn, limits: Limits) -> Result<(Request, Vec<u8>), Option<Code>> {
    let late = async {
        Timer::after(limits.head_time).await;
        Err(Some(Code::HeadTimeout))
    };
    let read = async {
        conn.read_request(limits.head_bytes).await.map_err(|cut| code_of(&cut, Code::HeadTooLarge))
    };
    let request = read.or(late).await?;
    if request.fields.get("expect").is_some_and(|expect| expect.starts_with("100-")) {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok();
    }
    let late = async {
        Timer::after(BODY_TIME).await;
        Err(Some(Code::HeadTimeout))
    };
    let framing = request.framing;
    let read = async {
        let body = conn.read_whole(framing, limits.body_bytes).await;
        body.map_err(|cut| code_of(&cut, Code::BodyTooLarge))
    };
    let body = read.or(late).await?;
    Ok((request, body))
}

fn code_of(cut: &Cut, too_large: Code) -> Option<Code> {
    match cut {
        Cut::Closed | Cut::Broken(_) => None,
        Cut::Malformed(_) => Some(Code::MalformedRequest),
        Cut::TooLarge => Some(too_large),
    }
}

/// Passes a request on and answers it; whether the connection may be kept.
async fn pass_on(entry: &Entry, conn: &mut Conn, request: &Request, body: &[u8]) -> bool {
    let ask = match entry.dialect.ask(request) {
        Ok(ask) => ask,
        Err(malformed) => {
            let error = Error::new(Code::MalformedRequest, malformed.0);
            let answer = own_answer(&error, None, Fields::default(), false);
            conn.write(&answer).await.ok();
            return false;
        }
    };
    let mut log = Outcome::new(entry, &ask);
    let own = entry.dialect.own_fields(&ask);
    let found = match entry.control.table() {
        Some(table) => {
            log.table = table.version();
            let host = request.fields.get("host").unwrap_or_default();
            table.find(host, request.path(), ask.key.as_deref())
        }
        None => {
            log.ended(&End::Code(Code::NoManifest, Some(NOT_YET)));
            return answer_code(entry, conn, Code::NoManifest, Some(NOT_YET), own).await;
        }
    };
    let (route, workspace) = match found {
        Found::Route(route, workspace) => (route, workspace),
        Found::NoRoute | Found::NoWorkspace => {
            let unknown = matches!(found, Found::NoRoute);
            let code = if unknown { Code::UnknownPath } else { Code::WrongKey };
            log.ended(&End::Code(code, None));
            return answer_code(entry, conn, code, None, own).await;
        }
    };
    log.route = route.name.clone();
    log.workspace = workspace.as_ref().map_or_else(String::new, |owner| owner.name.clone());
    let limit = ask.patience.map_or(route.timeout, |patience| patience.min(route.timeout));
    log.limit = limit;
    let passage = Passage {
        entry,
        request,
        body,
        workspace,
        key: entry.control.next_request_key(),
        deadline: log.started + ask.patience.unwrap_or(limit),
        ask,
        progress: Progress::default(),
        route,
    };
    let writer = conn.writer();
    let gone = async {
        conn.gone().await;
        End::Left
    };
    let late = async {
        Timer::after(limit).await;
        passage.late()
    };
    let end = passage.run(&writer).or(gone).or(late).await;
    if let Some(first) = passage.progress.first_byte() {
        let waited = first.saturating_sub(log.started);
        let priority = passage.route.priority.to_string();
        entry.metrics.first_token(&log.route, priority, waited);
    }
    drop(passage);
    log.ended(&end);
    match end {
        End::Answered => !entry.control.is_draining(),
        End::Cut | End::Left => false,
        End::Code(code, retry_after) => answer_code(entry, conn, code, retry_after, own).await,
        End::Failure(answer) => {
            let (response, body) = *answer;
            let close = entry.control.is_draining();
            conn.write(&whole_answer(&response, &body, close)).await.is_ok() && !close
        }
    }
}

/// What is logged and counted of a request's end.
struct Outcome<'a> {
    entry: &'a Entry,
    id: String,
    started: Time,
    /// The configuration's version; 0 where there is none.
    table: u64,
    route: String,
    workspace: String,
    /// The time that the request has at most; zero where it has no route.
    limit: Duration,
}

impl<'a> Outcome<'a> {
    fn new(entry: &'a Entry, ask: &Ask) -> Self {
        let (route, workspace) = (String::new(), String::new());
        let started = entry.control.clock.now();
        let id = ask.id.clone();
        Self { entry, id, started, table: 0, route, workspace, limit: Duration::ZERO }
    }

    fn ended(&self, end: &End) {
        let (outcome, code, after) = match end {
            End::Answered => ("answered", None, None),
            End::Cut => ("cut", None, None),
            End::Left => ("caller-left", None, None),
            End::Failure(_) => ("server-failure", None, None),
            End::Code(code, after) => (code.row().name, Some(*code), *after),
        };
        let number = code.map_or(0, |code| code.row().number);
        self.entry.metrics.answered(&self.workspace, &self.route, number);
        let detail = Detail::of("request", self.id.as_str())
            .and("route", self.route.as_str())
            .and("workspace", self.workspace.as_str())
            .and("outcome", outcome)
            .and_some("code", code.map(|code| u32::from(code.row().number)))
            .and_some("execution", code.map(|code| code.row().execution.as_str()))
            .and_some("retry_after_ms", after)
            .and("total_ms", self.entry.control.clock.now().saturating_sub(self.started))
            .and("limit_ms", self.limit)
            .and("table", self.table);
        emit(Event::RequestEnded, detail);
    }
}

async fn answer_code(
    entry: &Entry,
    conn: &Conn,
    code: Code,
    retry_after: Option<Duration>,
    own: Fields,
) -> bool {
    let close = entry.control.is_draining();
    let answer = own_answer(&Error::from(code), retry_after, own, !close);
    conn.write(&answer).await.is_ok() && !close
}
