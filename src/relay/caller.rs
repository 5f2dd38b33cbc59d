//! A caller's connection: reads, forwards and answers its requests one after another.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::FutureExt;

use super::answer::{encode_answer, encode_error, strip_body};
use super::delivery::{Delivery, Outcome, Progress};
use super::held::HeldBytes;
use super::span::Span;
use super::takeover::Origin;
use super::{Conn, Cut, Dialect, Fields, Metadata, Pool, Request};
use crate::fleet::Control;
use crate::prelude::*;
use crate::route::{Limits, Lookup};
use crate::telemetry::emit;
use crate::telemetry::metrics::Metrics;

/// Timeout for the body of a request after its head has arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry-after time for a caller while this daemon has no manifest.
const NO_MANIFEST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State that all connections of callers and peers share.
pub struct Frontend {
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) control: Control,
    pub(super) pool: Arc<Pool>,
    pub(super) metrics: Arc<Metrics>,
    /// Closed as the signal to close idle connections.
    shutdown: Receiver<()>,
    /// Number of requests of which a byte was read and that have no complete answer yet.
    unanswered: AtomicUsize,
    /// Number of open connections of peers.
    pub(super) peer_connections: AtomicUsize,
    /// The memory of unfinished answers.
    pub(super) held: HeldBytes,
}

impl Frontend {
    /// Creates a frontend that closes its idle connections when `shutdown` is closed.
    pub fn new(
        dialect: Arc<dyn Dialect>,
        control: Control,
        pool: Arc<Pool>,
        metrics: Arc<Metrics>,
        shutdown: Receiver<()>,
    ) -> Self {
        let (unanswered, peer_connections) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Self {
            dialect,
            control,
            pool,
            metrics,
            shutdown,
            unanswered,
            peer_connections,
            held: HeldBytes::default(),
        }
    }

    /// Returns the number of requests of which a byte was read and whose answer was not sent. Only
    /// this count shows whether the process may stop: the control thread drops a request as soon as
    /// it decides on the answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::Acquire)
    }

    fn limits(&self) -> Limits {
        self.control.table().map(|table| table.limits()).unwrap_or_default()
    }
}

/// One more in a count, until dropped.
pub(super) struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    pub(super) fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves one caller's connection until it closes.
pub async fn serve(frontend: Arc<Frontend>, stream: Async<TcpStream>) {
    serve_requests(&frontend, &mut Conn::new(stream), Origin::Caller).await;
}

/// Serves the requests on a connection, one after another.
pub(super) async fn serve_requests(frontend: &Frontend, conn: &mut Conn, origin: Origin) {
    loop {
        let limits = origin.adapt(frontend.limits());
        if !wait_for_request(frontend, conn, limits).await {
            return;
        }
        let _unanswered = Counted::new(&frontend.unanswered);
        let request = match read_head(conn, limits).await {
            Ok(request) => request,
            Err(code) => return refuse_unread(conn, code, Fields::default()).await,
        };
        let body = match read_body(conn, &request, limits).await {
            Ok(body) => body,
            Err(code) => {
                let metadata = frontend.dialect.metadata(&request);
                let fields = metadata.map(|metadata| frontend.dialect.error_fields(&metadata));
                return refuse_unread(conn, code, fields.unwrap_or_default()).await;
            }
        };
        let keep_alive = request.keep_alive;
        let reusable = forward_request(frontend, conn, &request, &body, origin).await;
        if !reusable || !keep_alive {
            return;
        }
    }
}

/// Waits for the first byte of a request. Returns false if the connection should be closed.
async fn wait_for_request(frontend: &Frontend, conn: &mut Conn, limits: Limits) -> bool {
    let idle = async {
        Timer::after(limits.idle_timeout).await;
        false
    };
    let shutdown = async {
        frontend.shutdown.recv().await.ok();
        false
    };
    conn.wait_for_data().or(idle).or(shutdown).await
}

/// Answers a request that was not read to its end, if `code` says with what. The connection is then closed.
async fn refuse_unread(conn: &Conn, code: Option<Code>, fields: Fields) {
    if let Some(code) = code {
        conn.write(&encode_error(&Error::from(code), None, fields, false)).await.ok();
    }
}

/// Reads the head of a request. On failure, returns the code to answer with, if an answer is possible.
async fn read_head(conn: &mut Conn, limits: Limits) -> Result<Request, Option<Code>> {
    let expire = async {
        Timer::after(limits.head_timeout).await;
        Err(Some(Code::HeadTimeout))
    };
    let read = async {
        conn.read_request(limits.max_head_bytes)
            .await
            .map_err(|cut| code_for(&cut, Code::HeadTooLarge))
    };
    read.or(expire).await
}

/// Reads the body of a request, after asking for it if the sender waits for that.
async fn read_body(
    conn: &mut Conn,
    request: &Request,
    limits: Limits,
) -> Result<Vec<u8>, Option<Code>> {
    if request.fields.get("expect").is_some_and(|expect| expect.starts_with("100-")) {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok();
    }
    let expire = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(Some(Code::HeadTimeout))
    };
    let framing = request.framing;
    let read = async {
        let body = conn.read_whole(framing, limits.max_body_bytes).await;
        body.map_err(|cut| code_for(&cut, Code::BodyTooLarge))
    };
    read.or(expire).await
}

fn code_for(cut: &Cut, too_large: Code) -> Option<Code> {
    match cut {
        Cut::Closed | Cut::Broken(_) => None,
        Cut::Malformed(_) => Some(Code::MalformedRequest),
        Cut::TooLarge => Some(too_large),
    }
}

/// Forwards a request and answers it. Returns whether the connection can be reused.
async fn forward_request(
    frontend: &Frontend,
    conn: &mut Conn,
    request: &Request,
    body: &[u8],
    origin: Origin,
) -> bool {
    let metadata = match frontend.dialect.metadata(request) {
        Ok(metadata) => metadata,
        Err(malformed) => {
            let error = Error::new(Code::MalformedRequest, malformed.0);
            let answer = encode_error(&error, None, Fields::default(), false);
            conn.write(&answer).await.ok();
            return false;
        }
    };
    let mut summary = Summary::new(frontend, &metadata, origin);
    let error_fields = frontend.dialect.error_fields(&metadata);
    let found = match frontend.control.table() {
        Some(table) => {
            summary.table_version = table.version();
            let host = request.fields.get("host").unwrap_or_default();
            table.find(host, request.path(), metadata.workspace_key.as_deref())
        }
        None => {
            summary.record(&Outcome::Code(Code::NoManifest, Some(NO_MANIFEST_RETRY_AFTER)));
            return answer_error(
                frontend,
                conn,
                request,
                Code::NoManifest,
                Some(NO_MANIFEST_RETRY_AFTER),
                error_fields,
            )
            .await;
        }
    };
    let (route, workspace) = match found {
        Lookup::Route(route, workspace) => (route, workspace),
        Lookup::NoRoute | Lookup::NoWorkspace => {
            let unknown = matches!(found, Lookup::NoRoute);
            let code = if unknown { Code::UnknownPath } else { Code::WrongKey };
            summary.record(&Outcome::Code(code, None));
            return answer_error(frontend, conn, request, code, None, error_fields).await;
        }
    };
    summary.route = route.name.clone();
    summary.workspace = workspace.as_ref().map_or_else(String::new, |owner| owner.name.clone());
    let limit = metadata.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    summary.limit = limit;
    let mut delivery = Delivery {
        frontend,
        request,
        body,
        workspace,
        key: frontend.control.next_request_key(),
        origin,
        deadline: summary.started + metadata.timeout.unwrap_or(limit),
        metadata,
        progress: Progress::default(),
        route,
    };
    let writer = conn.writer();
    let disconnect = async {
        conn.wait_for_disconnect().await;
        Outcome::Disconnected
    };
    let expire = async {
        Timer::after(limit).await;
        delivery.on_timeout()
    };
    let outcome = delivery.run(&writer).or(disconnect).or(expire).await;
    if let Some(first) = delivery.progress.first_byte() {
        let waited = first.saturating_sub(summary.started);
        let priority = delivery.route.priority.to_string();
        frontend.metrics.record_first_token(&summary.route, priority, waited);
    }
    summary.after = delivery.metadata.last_event_id;
    summary.span = std::mem::take(&mut delivery.progress.span);
    drop(delivery);
    summary.record(&outcome);
    match outcome {
        Outcome::Answered | Outcome::HandedOver(_) => !frontend.control.is_draining(),
        Outcome::Truncated | Outcome::Disconnected => false,
        Outcome::Code(code, retry_after) => {
            answer_error(frontend, conn, request, code, retry_after, error_fields).await
        }
        Outcome::ServerFailure(answer) => {
            let (response, body) = *answer;
            let close = frontend.control.is_draining();
            conn.write(&encode_answer(&response, &body, close)).await.is_ok() && !close
        }
    }
}

/// Summary of a finished request for the log and the metrics.
struct Summary<'a> {
    frontend: &'a Frontend,
    id: String,
    origin: Origin,
    started: Time,
    /// The routing table's version; 0 if there is none.
    table_version: u64,
    route: String,
    workspace: String,
    /// The request's time limit; zero if it has no route.
    limit: Duration,
    /// The event after which the caller takes a stream up.
    after: Option<u64>,
    /// The events that were passed on.
    span: Span,
}

impl<'a> Summary<'a> {
    fn new(frontend: &'a Frontend, metadata: &Metadata, origin: Origin) -> Self {
        let (route, workspace) = (String::new(), String::new());
        let started = frontend.control.clock.now();
        let id = metadata.id.clone();
        let limit = Duration::ZERO;
        let (after, span) = (None, Span::default());
        let table_version = 0;
        Self { frontend, id, origin, started, table_version, route, workspace, limit, after, span }
    }

    fn record(&self, outcome: &Outcome) {
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

async fn answer_error(
    frontend: &Frontend,
    conn: &Conn,
    request: &Request,
    code: Code,
    retry_after: Option<Duration>,
    error_fields: Fields,
) -> bool {
    let close = frontend.control.is_draining();
    let mut answer = encode_error(&Error::from(code), retry_after, error_fields, !close);
    if request.is_head() {
        strip_body(&mut answer);
    }
    conn.write(&answer).await.is_ok() && !close
}
