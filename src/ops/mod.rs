//! The operators' HTTP endpoint: health, readiness, metrics, status and routing explanations. It is
//! read-only.

use std::net::TcpStream;

use async_io::Async;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response};
use serde_json::json;

use crate::daemon::Control;
use crate::entry::Entry;
use crate::http::{Socket, server};
use crate::memory::{Account, Port};
use crate::prelude::*;
use crate::telemetry::metrics::Metrics;

/// Time for which an operator's connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an operator's request body.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Serves operators and the platform's load balancer.
#[derive(Debug)]
pub struct Endpoint {
    entry: Arc<Entry>,
    control: Control,
    metrics: Arc<Metrics>,
    /// The memory of requests, and operators' connections.
    account: Arc<Account>,
}

impl Endpoint {
    /// Creates an endpoint that reports the state of `control` and `metrics`.
    pub fn new(
        entry: Arc<Entry>,
        control: Control,
        metrics: Arc<Metrics>,
        account: Arc<Account>,
    ) -> Self {
        Self { entry, control, metrics, account }
    }

    /// Serves one connection until it ends. At the limit of connections, the one that has been silent for longest ends.
    pub async fn serve(self: Arc<Self>, stream: Async<TcpStream>) {
        let Some(holding) = self.account.open(Port::Readiness).await else { return };
        let revocation = holding.revocation();
        let socket = Socket::of_caller(stream, IDLE_TIMEOUT, holding);
        let handler = |request, socket| {
            let endpoint = Arc::clone(&self);
            async move { Ok(endpoint.answer(request, socket).await) }
        };
        let serving = async {
            server::serve(socket, handler).await.ok();
        };
        serving.or(revocation).await;
    }

    async fn answer(&self, request: Request, socket: Socket) -> Response {
        let received = match server::read(request, &socket, MAX_BODY_BYTES).await {
            Ok(received) => received,
            Err(error) => return error_response(&error),
        };
        let mut answer = match (received.request.method(), received.request.url().path()) {
            (Method::Get, "/healthz") => server::text(200, "ok\n".into(), "text/plain"),
            (Method::Get, "/readyz") if self.control.is_ready() => {
                server::text(200, "ready\n".into(), "text/plain")
            }
            (Method::Get, "/readyz") => server::text(503, "not ready\n".into(), "text/plain"),
            (Method::Get, "/status") => self.status().await,
            (Method::Get, "/metrics") => self.metrics().await,
            (Method::Post, "/explain") => self.explain(&received.body).await,
            (_, path) => error_response(&Error::new(Code::UnknownPath, path)),
        };
        if received.close {
            answer.insert_header("connection", "close");
        }
        answer
    }

    async fn status(&self) -> Response {
        let status = self.control.status().await;
        server::json(200, &serde_json::to_value(status).unwrap_or_default())
    }

    async fn metrics(&self) -> Response {
        let text = self.control.status().await.map(|status| self.metrics.render(status.figures()));
        server::text(200, text.unwrap_or_default(), "text/plain; version=0.0.4")
    }

    async fn explain(&self, body: &[u8]) -> Response {
        let arrival = match self.entry.parse_query(body) {
            Ok(arrival) => arrival,
            Err(error) => return error_response(&error),
        };
        let candidates = self.control.explain(arrival).await;
        server::json(200, &json!({ "candidates": candidates.unwrap_or_default() }))
    }
}

fn error_response(error: &Error) -> Response {
    let row = error.code.row();
    server::json(
        row.status,
        &json!({ "error": { "code": row.number, "message": error.message() } }),
    )
}
