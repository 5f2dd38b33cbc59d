//! Serves callers' HTTP requests, from the connection to the last byte of the answer.

mod answer;
mod arrival;
mod connections;
mod model;
pub mod openai;
mod pump;
mod service;
#[cfg(test)]
mod tests;

use std::net::TcpStream;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};
use http_types::{Method, Request, Response};

pub use connections::Connections;

use crate::attempt::Outcome;
use crate::daemon::Control;
use crate::http::server::{self, Received};
use crate::http::{Socket, client, header};
use crate::manifest::Revision;
use crate::memory::{Account, Port};
use crate::prelude::*;
use crate::settings::{Limits, Settings};
use crate::telemetry::metrics::Metrics;
use crate::telemetry::trace::Hop;

/// Time allowed for a refused connection to close.
const REFUSAL_LINGER: Duration = Duration::from_secs(1);

/// The listener side of a daemon: authenticates, routes and answers callers' requests.
#[derive(Debug)]
pub struct Entry {
    id: String,
    limits: Limits,
    client_limits: client::Limits,
    control: Control,
    metrics: Arc<Metrics>,
    executor: Arc<Executor<'static>>,
    /// The memory of requests, and callers' connections.
    account: Arc<Account>,
    incarnation: u64,
    /// Closed at the end of a planned stop.
    ending: (Sender<()>, Receiver<()>),
}

/// One caller's request, with the context that all routes need.
struct Call {
    received: Received,
    force: Arc<Revision>,
    workspace: String,
    hop: Hop,
    arrived_at: Time,
}

impl From<client::Failure> for Outcome {
    fn from(failure: client::Failure) -> Self {
        match failure.stage {
            client::Stage::Unsent => Self::Unsent(failure.reason),
            client::Stage::Sent => Self::Broken(failure.reason),
        }
    }
}

impl Entry {
    /// Creates an entry that hands its requests to `control`.
    pub fn new(
        settings: &Settings,
        control: Control,
        metrics: Arc<Metrics>,
        executor: &Arc<Executor<'static>>,
        account: Arc<Account>,
    ) -> Self {
        Self {
            id: settings.id.clone(),
            limits: settings.limits,
            client_limits: settings.limits.exchange(),
            control,
            metrics,
            executor: Arc::clone(executor),
            account,
            incarnation: fastrand::u64(..),
            ending: async_channel::bounded(1),
        }
    }

    /// Ends all attempts, since the time of a planned stop is over.
    pub fn end_attempts(&self) {
        self.ending.0.close();
    }

    /// Waits until attempts have to end.
    async fn wait_for_end(&self) -> Outcome {
        self.ending.1.recv().await.ok();
        Outcome::Stopped
    }

    /// Serves a new connection. When the connection limit is reached, the one that has been silent for longest makes
    /// room; if none has, the new one is refused.
    pub async fn serve_connection(
        self: &Arc<Self>,
        stream: Async<TcpStream>,
        connections: &Arc<Connections>,
    ) {
        let idle_timeout = Duration::from_millis(self.limits.idle_ms);
        let entry = Arc::clone(self);
        let Some(holding) = self.account.open(Port::Entry).await else {
            if let Some(holding) = self.account.open(Port::Refused).await {
                let socket = Socket::of_caller(stream, idle_timeout, holding);
                self.executor.spawn(refuse_connection(socket)).detach();
            }
            return;
        };
        let revocation = holding.revocation();
        let socket = Socket::of_caller(stream, idle_timeout, holding);
        let guard = connections.add(socket.clone());
        let serving = async move {
            let endpoint = |request, socket| entry.clone().handle_request(request, socket);
            if let Err(error) = server::serve(socket, endpoint).await {
                crate::telemetry::emit(
                    Event::ConnectionFailed,
                    Detail::of("reason", error.to_string()),
                );
            }
            drop(guard);
        };
        self.executor.spawn(serving.or(revocation)).detach();
    }

    async fn handle_request(
        self: Arc<Self>,
        request: Request,
        socket: Socket,
    ) -> http_types::Result<Response> {
        let mut close = true;
        // The body of a request with an unknown key is not kept.
        let checked = server::check_head(&request).and_then(|()| self.authenticate(&request));
        let read = match checked {
            Ok(_) => server::read(request, &socket, self.limits.body_bytes).await,
            Err(error) => Err(error),
        };
        let mut answer = match read {
            Ok(received) => {
                close = received.close;
                self.route(received).await
            }
            Err(error) => self.refusal_answer(&error.into()),
        };
        if close || self.control.is_draining() {
            answer.insert_header("connection", "close");
        }
        answer.insert_header(header::DAEMON, self.id.as_str());
        Ok(answer)
    }

    async fn route(self: &Arc<Self>, received: Received) -> Response {
        let arrived_at = self.control.clock.now();
        let request = &received.request;
        let traceparent = header::single(request.as_ref(), header::TRACEPARENT).ok().flatten();
        let hop = Hop::root("entry", traceparent);
        let path = request.url().path().to_owned();
        let (workspace, force) = match self.authenticate(request) {
            Ok(found) => found,
            Err(error) => return self.refusal_answer(&error.into()),
        };
        hop.set_attribute("workspace", workspace.clone());
        let call = Call { received, force, workspace, hop, arrived_at };
        match (call.received.request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions" | "/v1/completions") => {
                self.serve_completion(call).await
            }
            (Method::Get, "/v1/models") => list_models(&call),
            (_, path) if path.starts_with("/services/") => self.forward_call(call).await,
            (_, "/v1/chat/completions" | "/v1/completions") => {
                self.refusal_answer(&Error::new(Code::MethodNotAllowed, "POST").into())
            }
            (_, "/v1/models") => {
                self.refusal_answer(&Error::new(Code::MethodNotAllowed, "GET").into())
            }
            (_, path) => self.refusal_answer(&Error::new(Code::UnknownPath, path).into()),
        }
    }

    /// Finds the workspace that owns the request's bearer key.
    fn authenticate(&self, request: &Request) -> Result<(String, Arc<Revision>)> {
        let force = self.control.manifest_in_force().ok_or(Code::NoManifest)?;
        let workspace = workspace_of(request, &force)?;
        Ok((workspace, force))
    }
}

/// Returns the workspace of the request's bearer key.
fn workspace_of(request: &Request, force: &Revision) -> Result<String> {
    let value = header::single(request.as_ref(), "authorization")?.ok_or(Code::MissingKey)?;
    let key = match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => key.trim(),
        _ => return Err(Code::MissingKey.into()),
    };
    let owner = force.workspace_of_key(&crate::manifest::sha256_hex(key.as_bytes()));
    owner.map(str::to_owned).ok_or(Code::WrongKey.into())
}

/// Refuses a connection over the limit, whatever it requests.
async fn refuse_connection(mut socket: Socket) {
    let row = Code::TooManyConnections.row();
    let refusal = Code::TooManyConnections.into();
    let body = answer::error_body(&refusal).to_string();
    let text = format!(
        "HTTP/1.1 {} Service Unavailable\r\nconnection: close\r\nretry-after: {}\r\n\
         {}: {}\r\n{}: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        row.status,
        row.retry_after_s,
        header::EXECUTION,
        row.execution.as_str(),
        header::CODE,
        row.number,
        body.len(),
    );
    let send_and_drain = async {
        socket.write_all(text.as_bytes()).await?;
        socket.close().await?;
        // Drains what the caller still sends; otherwise a TCP reset could discard the answer.
        futures_lite::io::copy(&mut socket, &mut futures_lite::io::sink()).await
    };
    let timeout = async {
        async_io::Timer::after(REFUSAL_LINGER).await;
        Ok(0)
    };
    send_and_drain.or(timeout).await.ok();
}

fn list_models(call: &Call) -> Response {
    let workspace = call.force.manifest.workspaces.get(&call.workspace);
    let models: Vec<serde_json::Value> = workspace
        .into_iter()
        .flat_map(|workspace| &workspace.models)
        .map(|name| serde_json::json!({ "id": name, "object": "model", "owned_by": "operators" }))
        .collect();
    server::json(200, &serde_json::json!({ "object": "list", "data": models }))
}
