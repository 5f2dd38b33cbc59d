//! Answers that the router makes itself.

use http_types::Response;
use serde_json::{Value, json};

use super::Entry;
use crate::attempt::Refusal;
use crate::http::{header, server};
use crate::prelude::*;

/// The error object of a refusal, in OpenAI's shape.
pub(super) fn error_body(refusal: &Refusal) -> Value {
    let row = refusal.error.code.row();
    json!({
        "error": {
            "message": refusal.error.message(),
            "type": row.name,
            "param": null,
            "code": row.number,
            "execution": refusal.execution.as_str(),
        }
    })
}

impl Entry {
    /// The answer to a request that is given up.
    pub(super) fn refusal_answer(&self, refusal: &Refusal) -> Response {
        let row = refusal.error.code.row();
        let mut answer = server::json(row.status, &error_body(refusal));
        answer.insert_header(header::EXECUTION, refusal.execution.as_str());
        answer.insert_header(header::CODE, row.number.to_string());
        if refusal.retry_after > 0 {
            answer.insert_header("retry-after", refusal.retry_after.to_string());
        }
        if matches!(refusal.error.code, Code::MissingKey | Code::WrongKey) {
            answer.insert_header("www-authenticate", "Bearer");
        }
        if refusal.error.code == Code::MethodNotAllowed {
            answer.insert_header("allow", refusal.error.detail.as_str());
        }
        answer
    }

    /// Marks an answer as a backend server's own.
    pub(super) fn insert_server_headers(&self, answer: &mut Response, server: &str) {
        answer.insert_header(header::EXECUTION, Execution::Done.as_str());
        answer.insert_header(header::SERVER, server);
    }
}
