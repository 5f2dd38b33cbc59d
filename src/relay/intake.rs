//! Reading of requests: the head, whether the request may be served, and the body.

use async_io::Timer;
use futures_lite::FutureExt;

use super::{Conn, Cut, Decoder, Fields, Framing, Frontend, Malformed, Metadata, Request};
use crate::prelude::*;
use crate::route::{Limits, Lookup};

/// Size of a part of a body that has to come within [`PART_TIMEOUT`].
const PART_BYTES: usize = 64 << 10;
/// Timeout for a part of a body. A body that comes slower would keep its memory for many minutes.
const PART_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that was read.
#[derive(Debug)]
pub(super) struct Received {
    pub(super) request: Request,
    pub(super) metadata: Result<Metadata, Malformed>,
    /// The body; `None` if it was dropped, since the request was not to be served.
    pub(super) body: Option<Vec<u8>>,
    /// Whether the body was not asked for, so that the connection can't be used further.
    pub(super) is_unread: bool,
}

/// What a request that was not read to its end is answered.
#[derive(Debug)]
pub(super) struct Refusal {
    /// The code; `None` if no answer is possible.
    pub(super) code: Option<Code>,
    pub(super) fields: Fields,
}

/// Waits for the first byte of a request. Returns false if the connection should be closed.
pub(super) async fn wait_for_request(frontend: &Frontend, conn: &mut Conn, limits: Limits) -> bool {
    let idle = async {
        Timer::after(limits.idle_timeout).await;
        false
    };
    let shutdown = async {
        frontend.shutdown.recv().await.ok();
        false
    };
    let revocation = conn.revocation();
    let revoked = async {
        revocation.await;
        false
    };
    conn.wait_for_data().or(idle).or(shutdown).or(revoked).await
}

/// Reads a request. Its body is kept only if the request may be served.
pub(super) async fn read_request(
    frontend: &Frontend,
    conn: &mut Conn,
    limits: Limits,
) -> Result<Received, Refusal> {
    let revocation = conn.revocation();
    let revoked = async {
        revocation.await;
        Err(Refusal { code: Some(Code::MemoryFull), fields: Fields::default() })
    };
    let received = read_parts(frontend, conn, limits).or(revoked).await;
    let kept = received.as_ref().ok().and_then(|received| received.body.as_ref());
    conn.keep_body(kept.map_or(0, Vec::capacity));
    match conn.begin_serving() {
        true => received,
        false => Err(Refusal { code: Some(Code::MemoryFull), fields: Fields::default() }),
    }
}

async fn read_parts(
    frontend: &Frontend,
    conn: &mut Conn,
    limits: Limits,
) -> Result<Received, Refusal> {
    conn.record_progress();
    let request = match read_head(conn, limits).await {
        Ok(request) => request,
        Err(code) => return Err(Refusal { code, fields: Fields::default() }),
    };
    conn.record_progress();
    let is_asked_for = request.fields.get("expect").is_some_and(|it| it.starts_with("100-"));
    let metadata = frontend.dialect.metadata(&request);
    let is_served = may_be_served(frontend, &request, &metadata);
    if is_asked_for && !is_served {
        return Ok(Received { request, metadata, body: None, is_unread: true });
    }
    if is_asked_for {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.ok();
    }
    let body = match is_served {
        true => read_body(conn, request.framing, limits.max_body_bytes).await.map(Some),
        false => discard_body(conn, request.framing, limits.max_body_bytes).await.map(|()| None),
    };
    match body {
        Ok(body) => Ok(Received { request, metadata, body, is_unread: false }),
        Err(code) => {
            let fields = metadata.map(|metadata| frontend.dialect.error_fields(&metadata));
            Err(Refusal { code, fields: fields.unwrap_or_default() })
        }
    }
}

/// Returns whether the configuration in force allows the request, by its head.
fn may_be_served(
    frontend: &Frontend,
    request: &Request,
    metadata: &Result<Metadata, Malformed>,
) -> bool {
    let Ok(metadata) = metadata else { return false };
    let host = request.fields.get("host").unwrap_or_default();
    frontend.control.table().is_some_and(|table| {
        let found = table.find(host, request.path(), metadata.workspace_key.as_deref());
        matches!(found, Lookup::Route(..))
    })
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

/// Reads the body of a request, each part of it within a timeout.
async fn read_body(
    conn: &mut Conn,
    framing: Framing,
    limit: usize,
) -> Result<Vec<u8>, Option<Code>> {
    if matches!(framing, Framing::Length(length) if length > limit as u64) {
        return Err(Some(Code::BodyTooLarge));
    }
    let (mut decoder, mut body) = (Decoder::new(framing), Vec::new());
    loop {
        let read = async {
            let more = conn.read_part(&mut decoder, &mut body, PART_BYTES, limit).await;
            more.map_err(|cut| code_for(&cut, Code::BodyTooLarge))
        };
        if !read.or(expire_part()).await? {
            break;
        }
        conn.record_progress();
    }
    body.shrink_to_fit();
    Ok(body)
}

/// Reads a body to its end without keeping it.
async fn discard_body(conn: &mut Conn, framing: Framing, limit: usize) -> Result<(), Option<Code>> {
    let discard = async {
        let discarded = conn.discard_body(framing, limit).await;
        discarded.map_err(|cut| code_for(&cut, Code::BodyTooLarge))
    };
    discard.or(expire_part()).await
}

async fn expire_part<T>() -> Result<T, Option<Code>> {
    Timer::after(PART_TIMEOUT).await;
    Err(Some(Code::HeadTimeout))
}

fn code_for(cut: &Cut, too_large: Code) -> Option<Code> {
    match cut {
        Cut::Closed | Cut::Abandoned | Cut::Broken(_) => None,
        Cut::Malformed(_) => Some(Code::MalformedRequest),
        Cut::TooLarge => Some(too_large),
        Cut::Full => Some(Code::MemoryFull),
    }
}
