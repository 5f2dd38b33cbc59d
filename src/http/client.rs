//! HTTP exchanges, each on a new connection.
//!
//! Connections are not reused, so a late, repeated or mismatched answer cannot be taken for the
//! answer to another request; see `docs/DESIGN.md`.

use std::net::SocketAddr;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Body, Method, Request, Response, StatusCode, Url};

use super::Socket;
use super::body::{self, Framing, ReadError};
use crate::memory::Holding;
use crate::prelude::*;

/// Limits of one exchange.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Timeout for connecting.
    pub connect_timeout: Duration,
    /// Timeout for the head of the answer.
    pub head_timeout: Duration,
    /// Timeout for a read or write without progress.
    pub idle_timeout: Duration,
    /// Maximum size of an answer's body.
    pub max_body_bytes: u64,
}

/// Stage that a failed exchange reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No byte of the request was sent, so it did not run.
    Unsent,
    /// At least one byte was sent, so the request may have run.
    Sent,
}

/// An exchange that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The stage reached.
    pub stage: Stage,
    /// Description of the failure.
    pub reason: String,
    /// Whether the answer was larger than the limit, or than the memory that is left.
    pub too_large: bool,
}

impl Failure {
    fn new(stage: Stage, reason: impl ToString) -> Self {
        Self { stage, reason: reason.to_string(), too_large: false }
    }

    fn too_large(reason: &str) -> Self {
        Self { stage: Stage::Sent, reason: reason.into(), too_large: true }
    }
}

/// The head of an answer whose body is still to be read.
#[derive(Debug)]
pub struct Answer {
    /// Head and body reader.
    pub response: Response,
    /// Framing of the body.
    pub framing: Framing,
    /// Maximum size of a body that [`Answer::read_whole`] reads, in bytes.
    limit: u64,
}

impl Answer {
    /// Reads the complete body. Its buffer is counted in `holding`, if there is one, before it grows.
    pub async fn read_whole(
        mut self,
        holding: Option<&Holding>,
    ) -> Result<(Response, Vec<u8>), Failure> {
        let body = self.response.take_body();
        match body::read(body, self.framing, self.limit, holding).await {
            Ok(bytes) => Ok((self.response, bytes)),
            Err(ReadError::TooLarge) => Err(Failure::too_large("the answer is too large")),
            Err(ReadError::Truncated(reason)) => Err(Failure::new(Stage::Sent, reason)),
            Err(ReadError::Full) => Err(Failure::too_large("there is no memory for the answer")),
        }
    }
}

/// Creates a request for `path` (with query) at `address`, with `Connection: close`.
pub fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Error::new(Code::MalformedRequest, error.to_string()))?;
    let mut request = Request::new(method, url);
    request.insert_header("connection", "close");
    Ok(request)
}

/// Sends `request` to `address` and reads the head of the answer.
pub async fn send(
    address: SocketAddr,
    request: Request,
    limits: Limits,
) -> Result<Answer, Failure> {
    let head_only = request.method() == Method::Head;
    let socket = Socket::connect(address, limits.connect_timeout, limits.idle_timeout)
        .await
        .map_err(|error| Failure::new(Stage::Unsent, error))?
        .with_bounded_reads();
    let exchange = async {
        async_h1::connect(socket.clone(), request).await.map_err(|error| error.to_string())
    };
    let expire = async {
        Timer::after(limits.head_timeout).await;
        Err("no answer within the time limit".to_owned())
    };
    let response = exchange.or(expire).await.map_err(|reason| {
        let stage = if socket.bytes_written() == 0 { Stage::Unsent } else { Stage::Sent };
        Failure::new(stage, reason)
    })?;
    let framing = answer_framing(&response, head_only)
        .map_err(|error| Failure::new(Stage::Sent, error.detail))?;
    Ok(Answer { response, framing, limit: limits.max_body_bytes })
}

fn answer_framing(response: &Response, head_only: bool) -> Result<Framing> {
    let bodiless = matches!(response.status(), StatusCode::NoContent | StatusCode::NotModified);
    if bodiless || head_only {
        return Ok(Framing::Length(0));
    }
    match body::framing(response.as_ref())? {
        Framing::Absent => {
            Err(Error::new(Code::ConflictingLength, "the answer has neither length nor chunks"))
        }
        framing => Ok(framing),
    }
}

/// Sends a request with an optional `json` body and reads the complete answer.
pub async fn send_json(
    address: SocketAddr,
    method: Method,
    path: &str,
    json: Option<String>,
    limits: Limits,
) -> Result<(StatusCode, Vec<u8>), Failure> {
    let mut request = request(method, address, path)
        .map_err(|error| Failure::new(Stage::Unsent, error.message()))?;
    if let Some(json) = json {
        request.set_body(Body::from_string(json));
        request.insert_header("content-type", "application/json");
    }
    let (response, bytes) = send(address, request, limits).await?.read_whole(None).await?;
    Ok((response.status(), bytes))
}
