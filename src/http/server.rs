//! Serves one connection with strict validation of requests.

use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};

use async_h1::server::{ConnectionStatus, Server};
use futures_lite::AsyncWriteExt;
use http_types::{Method, Request, Response, StatusCode};

use super::Socket;
use super::body::{self, Framing, ReadError};
use crate::memory::Holding;
use crate::prelude::*;

/// Maximum number of request headers.
pub const MAX_HEADERS: usize = 64;

const MALFORMED_ANSWER: &str = concat!(
    "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-type: application/json\r\n",
    "x-cardamomvalve-execution: not-run\r\nx-cardamomvalve-code: 1001\r\ncontent-length: 112\r\n\r\n",
    "{\"error\":{\"code\":1001,\"message\":\"The request head is not well-formed.\",",
    "\"type\":\"malformed-request\",\"param\":null}}"
);

/// Serves requests on `socket` one after another until it closes or fails.
///
/// `endpoint` receives each request with its body unread.
pub async fn serve<F, Fut>(socket: Socket, endpoint: F) -> http_types::Result<()>
where
    F: Fn(Request, Socket) -> Fut,
    Fut: Future<Output = http_types::Result<Response>>,
{
    loop {
        socket.begin_exchange();
        let read = AtomicBool::new(false);
        let mut server = Server::new(socket.clone(), |request| {
            read.store(true, Ordering::Release);
            endpoint(request, socket.clone())
        });
        let accepted = server.accept_one().await;
        match accepted {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return Ok(()),
            Err(error) => {
                if !read.load(Ordering::Acquire) {
                    answer_malformed(&socket).await;
                }
                return Err(error);
            }
        }
    }
}

/// Answers a head that the library could not parse, unless an answer has already started.
async fn answer_malformed(socket: &Socket) {
    if socket.bytes_written() == 0 && socket.has_bytes() {
        let mut socket = socket.clone();
        socket.write_all(MALFORMED_ANSWER.as_bytes()).await.ok();
    }
}

/// A request whose body has been read completely.
#[derive(Debug)]
pub struct Received {
    /// The head.
    pub request: Request,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection must close after the answer.
    pub close: bool,
}

/// Validates the head of `request` and reads its body of at most `limit` bytes.
pub async fn read(mut request: Request, socket: &Socket, limit: u64) -> Result<Received> {
    check_head(&request)?;
    let framing = body::framing(request.as_ref())?;
    let body = match framing {
        Framing::Absent => Vec::new(),
        _ => {
            let reading = body::read(request.take_body(), framing, limit, socket.holding());
            reading.await.map_err(|error| match error {
                ReadError::TooLarge => {
                    Error::new(Code::BodyTooLarge, format!("the limit is {limit} bytes"))
                }
                ReadError::Truncated(reason) => Error::new(Code::BodyTruncated, reason),
                ReadError::Full => Code::MemoryFull.into(),
            })?
        }
    };
    if !socket.holding().is_none_or(Holding::begin_serving) {
        return Err(Code::MemoryFull.into());
    }
    let close = is_pipelined(socket, framing);
    Ok(Received { request, body, close })
}

/// Returns whether bytes beyond this request were read, which the library would lose. After a
/// chunked body this cannot be determined, so its connection always closes.
fn is_pipelined(socket: &Socket, framing: Framing) -> bool {
    match framing {
        Framing::Chunked => true,
        Framing::Length(length) => socket.read_past_head() > length,
        Framing::Absent => socket.read_past_head() > 0,
    }
}

/// Validates the head of a request.
pub fn check_head(request: &Request) -> Result<()> {
    let count: usize = request.iter().map(|(_, values)| values.iter().count()).sum();
    if count > MAX_HEADERS {
        return Err(Error::new(Code::HeaderInvalid, format!("more than {MAX_HEADERS} headers")));
    }
    let host = super::header::single(request.as_ref(), "host")?.unwrap_or_default();
    let url = request.url();
    let target = match (url.host_str(), url.port()) {
        (Some(name), Some(port)) => format!("{name}:{port}"),
        (Some(name), None) => name.to_owned(),
        (None, _) => String::new(),
    };
    let bare = host.strip_suffix(":80").unwrap_or(host);
    if request.method() == Method::Connect || !bare.eq_ignore_ascii_case(&target) {
        return Err(Error::new(Code::HostMismatch, format!("Host is {host:?}")));
    }
    Ok(())
}

/// Creates an answer with a JSON body.
pub fn json(status: u16, body: &serde_json::Value) -> Response {
    let mut response = empty(status);
    response.set_body(body.to_string());
    response.insert_header("content-type", "application/json");
    response
}

/// Creates an answer with a text body.
pub fn text(status: u16, body: String, content_type: &str) -> Response {
    let mut response = empty(status);
    response.set_body(body);
    response.insert_header("content-type", content_type);
    response
}

/// Creates an answer without a body.
pub fn empty(status: u16) -> Response {
    Response::new(StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError))
}
