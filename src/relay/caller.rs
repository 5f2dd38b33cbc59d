//! A caller's connection: reads, forwards and answers its requests one after another.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::FutureExt;

use super::answer::{encode_error, strip_body, write_answer};
use super::delivery::{Delivery, Outcome, Progress};
use super::intake::{self, Received};
use super::summary::Summary;
use super::takeover::Origin;
use super::{Conn, Dialect, Fields, Pool, Request};
use crate::fleet::Control;
use crate::memory::{Account, Holding};
use crate::prelude::*;
use crate::route::{Limits, Lookup};
use crate::telemetry::emit;
use crate::telemetry::metrics::Metrics;

/// Retry-after time for a caller while this daemon has no manifest.
const NO_MANIFEST_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State that all connections of callers and peers share.
pub struct Frontend {
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) control: Control,
    pub(super) pool: Arc<Pool>,
    pub(super) metrics: Arc<Metrics>,
    /// Closed as the signal to close idle connections.
    pub(super) shutdown: Receiver<()>,
    /// Number of requests of which a byte was read and that have no complete answer yet.
    unanswered: AtomicUsize,
    /// The memory of requests and answers.
    pub(super) account: Arc<Account>,
}

impl Frontend {
    /// Creates a frontend that closes its idle connections when `shutdown` is closed.
    pub fn new(
        dialect: Arc<dyn Dialect>,
        control: Control,
        pool: Arc<Pool>,
        metrics: Arc<Metrics>,
        account: Arc<Account>,
        shutdown: Receiver<()>,
    ) -> Self {
        let unanswered = AtomicUsize::new(0);
        Self { dialect, control, pool, metrics, shutdown, unanswered, account }
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

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Nothing is due on it.
    Closed,
    /// Its last answer was written while the peer may still send, or before all that it sent was read.
    Unread,
}

/// Serves one caller's connection until it closes.
pub async fn serve(frontend: Arc<Frontend>, stream: Async<TcpStream>, holding: Holding) {
    serve_connection(&frontend, Conn::of_caller(stream, holding), Origin::Caller).await;
}

/// Serves one connection of a peer until it closes.
pub async fn serve_peer(frontend: Arc<Frontend>, stream: Async<TcpStream>, holding: Holding) {
    serve_connection(&frontend, Conn::of_caller(stream, holding), Origin::Peer).await;
}

/// Refuses a connection beyond the limit, whatever it asks for.
pub async fn refuse(stream: Async<TcpStream>, holding: Holding) {
    let mut conn = Conn::of_caller(stream, holding);
    let fields = Fields::default();
    refuse_unread(&conn, intake::Refusal { code: Some(Code::TooManyConnections), fields }).await;
    conn.linger().await;
}

async fn serve_connection(frontend: &Frontend, mut conn: Conn, origin: Origin) {
    if serve_requests(frontend, &mut conn, origin).await == End::Unread {
        conn.linger().await;
    }
}

/// Serves the requests on a connection, one after another.
async fn serve_requests(frontend: &Frontend, conn: &mut Conn, origin: Origin) -> End {
    loop {
        let limits = origin.adapt(frontend.limits());
        if !conn.record_progress() || !intake::wait_for_request(frontend, conn, limits).await {
            return End::Closed;
        }
        let _unanswered = Counted::new(&frontend.unanswered);
        let received = match intake::read_request(frontend, conn, limits).await {
            Ok(received) => received,
            Err(refusal) => return refuse_unread(conn, refusal).await,
        };
        // A connection that waits for its next request does not keep the memory of a delivery.
        let (keep_alive, is_unread) = (received.request.keep_alive, received.is_unread);
        let reusable = Box::pin(forward_request(frontend, conn, received, origin)).await;
        if conn.has_discarded() || is_unread {
            return End::Unread;
        }
        if !reusable || !keep_alive {
            return End::Closed;
        }
        conn.keep_body(0);
    }
}

/// Answers a request that was not read to its end, if there is something to answer.
async fn refuse_unread(conn: &Conn, refusal: intake::Refusal) -> End {
    let Some(code) = refusal.code else { return End::Closed };
    let detail = Detail::of("connection", conn.number())
        .and("code", u32::from(code.row().number))
        .and("outcome", code.row().name);
    emit(Event::RequestUnread, detail);
    let retry_after_s = Some(code.row().retry_after_s).filter(|seconds| *seconds > 0);
    let retry_after = retry_after_s.map(|seconds| Duration::from_secs(seconds.into()));
    let answer = encode_error(&Error::from(code), retry_after, refusal.fields, false);
    conn.write(&answer).await.ok();
    End::Unread
}

/// Forwards a request and answers it. Returns whether the connection can be reused.
async fn forward_request(
    frontend: &Frontend,
    conn: &mut Conn,
    received: Received,
    origin: Origin,
) -> bool {
    let Received { request, metadata, body, is_unread: _ } = received;
    let request = &request;
    let metadata = match metadata {
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
    let Some(table) = frontend.control.table() else {
        return answer_no_manifest(frontend, conn, request, &summary, error_fields).await;
    };
    summary.table_version = table.version();
    let host = request.fields.get("host").unwrap_or_default();
    let found = table.find(host, request.path(), metadata.workspace_key.as_deref());
    let cohort = table.cohort();
    // A request may last for longer than its configuration.
    drop(table);
    let (route, workspace) = match found {
        Lookup::Route(route, workspace) => (route, workspace),
        Lookup::NoRoute | Lookup::NoWorkspace => {
            let unknown = matches!(found, Lookup::NoRoute);
            let code = if unknown { Code::UnknownPath } else { Code::WrongKey };
            summary.record(&Outcome::Code(code, None));
            return answer_error(frontend, conn, request, code, None, error_fields).await;
        }
    };
    let Some(body) = &body else {
        // A configuration that allows the request has come since its body was dropped.
        return answer_no_manifest(frontend, conn, request, &summary, error_fields).await;
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
        cohort,
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
            let close = frontend.control.is_draining();
            write_answer(&conn.writer(), &answer.response, &answer.body, close).await.is_ok()
                && !close
        }
    }
}

async fn answer_no_manifest(
    frontend: &Frontend,
    conn: &Conn,
    request: &Request,
    summary: &Summary<'_>,
    error_fields: Fields,
) -> bool {
    let (code, after) = (Code::NoManifest, Some(NO_MANIFEST_RETRY_AFTER));
    summary.record(&Outcome::Code(code, after));
    answer_error(frontend, conn, request, code, after, error_fields).await
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
