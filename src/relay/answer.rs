//! Encoding of answers to callers.

use super::{Fields, Framing, Response, head};
use crate::prelude::*;

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

pub(super) fn encode_answer(response: &Response, body: &[u8], close: bool) -> Vec<u8> {
    let length = match response.framing {
        // The length in an answer to HEAD is not that of its own body.
        Framing::Length(0) => response.fields.get("content-length").map(str::to_owned),
        _ => Some(body.len().to_string()),
    };
    let bodiless = matches!(response.status, 204 | 304);
    let length = length.filter(|_| !bodiless);
    let framing = length.as_deref().map(|length| ("Content-Length", length));
    let closing = close.then_some(("Connection", "close"));
    let fields = response.fields.end_to_end().chain(framing).chain(closing);
    let mut answer = head::encode(&status_line(response), fields).into_bytes();
    answer.extend_from_slice(body);
    answer
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
