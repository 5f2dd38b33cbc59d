//! Encoding of answers to callers.

use std::io;
use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncWriteExt;

use super::{Fields, Framing, Response, head};
use crate::prelude::*;

/// Size up to which a body is copied behind its head, so that both are sent at once. A larger one is not held twice.
const MAX_COPIED_BYTES: usize = 16 << 10;

/// Returns the pieces in which a message is written: the head and the body, in one if the body is small.
pub(super) fn pieces(head: String, body: &[u8]) -> (Vec<u8>, &[u8]) {
    let mut first = head.into_bytes();
    if body.len() > MAX_COPIED_BYTES {
        return (first, body);
    }
    first.extend_from_slice(body);
    (first, &[])
}

/// Writes an answer that is held completely.
pub(super) async fn write_answer(
    mut writer: &Async<TcpStream>,
    response: &Response,
    body: &[u8],
    close: bool,
) -> io::Result<()> {
    let (first, rest) = pieces(encode_answer_head(response, body.len() as u64, close), body);
    writer.write_all(&first).await?;
    writer.write_all(rest).await
}

pub(super) fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

fn status_line(response: &Response) -> String {
    format!("HTTP/1.1 {} {}", response.status, response.reason)
}

pub(super) fn encode_stream_head(response: &Response, close: bool) -> String {
    let coding = [("Transfer-Encoding", "chunked")];
    let closing = close.then_some(("Connection", "close"));
    let fields = response.fields.end_to_end().chain(coding).chain(closing);
    head::encode(&status_line(response), fields)
}

pub(super) fn encode_answer_head(response: &Response, body_bytes: u64, close: bool) -> String {
    let length = match response.framing {
        // The length in an answer to HEAD is not that of its own body.
        Framing::Length(0) => response.fields.get("content-length").map(str::to_owned),
        _ => Some(body_bytes.to_string()),
    };
    let bodiless = matches!(response.status, 204 | 304);
    let length = length.filter(|_| !bodiless);
    let framing = length.as_deref().map(|length| ("Content-Length", length));
    let closing = close.then_some(("Connection", "close"));
    let fields = response.fields.end_to_end().chain(framing).chain(closing);
    head::encode(&status_line(response), fields)
}

/// Removes the body of an encoded answer, for an answer to HEAD.
pub(super) fn strip_body(answer: &mut Vec<u8>) {
    let head_end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    answer.truncate(head_end.map_or(answer.len(), |end| end + 4));
}

/// Encodes an error answer from this router.
pub(super) fn encode_error(
    error: &Error,
    retry_after: Option<Duration>,
    mut fields: Fields,
    keep_alive: bool,
) -> Vec<u8> {
    let row = error.code.row();
    let body = serde_json::json!({
        "error": { "code": row.number, "type": row.name, "message": error.message() }
    })
    .to_string();
    fields.push(crate::http::header::EXECUTION, row.execution.as_str());
    fields.push(crate::http::header::CODE, row.number.to_string());
    if let Some(after) = retry_after {
        fields.push("Retry-After", format!("{:.2}", after.as_secs_f64()));
    }
    fields.push("Content-Type", "application/json");
    fields.push("Content-Length", body.len().to_string());
    if !keep_alive {
        fields.push("Connection", "close");
    }
    let first_line = format!("HTTP/1.1 {} {}", row.status, row.name);
    let mut answer = head::encode(&first_line, fields.iter()).into_bytes();
    answer.extend_from_slice(body.as_bytes());
    answer
}
