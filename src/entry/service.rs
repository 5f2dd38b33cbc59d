//! Forwards calls to plain services, without streaming requests or answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures_lite::io::{BufReader, Cursor};
use futures_lite::{AsyncRead, FutureExt};
use http_types::{Body, Method, Response};

use super::arrival::request_id;
use super::{Call, Entry};
use crate::attempt::{self, Command, Dispatch, Outcome, Report, Target};
use crate::control::Message;
use crate::http::client;
use crate::http::{header, server};
use crate::ledger::{MAX_RECEIPT_BODY_BYTES, Receipt};
use crate::memory::Holding;
use crate::prelude::*;
use crate::telemetry::trace::Hop;

/// Request headers forwarded to the service.
const FORWARDED_HEADERS: [&str; 6] = [
    "content-type",
    "accept",
    "accept-language",
    header::IDEMPOTENCY_KEY,
    "if-match",
    "if-none-match",
];
/// Response headers returned to the caller.
const RETURNED_HEADERS: [&str; 8] = [
    "content-type",
    "content-disposition",
    "content-language",
    "etag",
    "last-modified",
    "location",
    "cache-control",
    "retry-after",
];

impl Entry {
    pub(super) async fn forward_call(self: &Arc<Self>, call: Call) -> Response {
        let url = call.received.request.url();
        let rest = url.path().strip_prefix("/services/").unwrap_or_default();
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let query = url.query().map(|query| format!("?{query}")).unwrap_or_default();
        let path = format!("/{path}{query}");
        let arrival = match self.service_arrival(&call, name, &path) {
            Ok(arrival) => arrival,
            Err(error) => return self.refuse(&call.workspace, "", error.into()),
        };
        let has_claim = arrival.claim.is_some();
        let name = match &arrival.target {
            Target::Service { service } => service.clone(),
            Target::Model { .. } => String::new(),
        };
        let request = arrival.request;
        let commands = self.control.open(arrival);
        let mut wait_hop = call.hop.child(if has_claim { "ledger" } else { "admission" });
        while let Ok(command) = commands.recv().await {
            drop(wait_hop);
            let dispatch = match command {
                Command::Dispatch(dispatch) => dispatch,
                Command::Refuse(refusal) => return self.refuse(&call.workspace, &name, refusal),
                Command::Replay(receipt) => return self.replay(&receipt),
                // The call keeps running: the server's answer tells more than an abort.
                Command::Abort(_) => {
                    wait_hop = call.hop.child("admission");
                    continue;
                }
            };
            call.hop.record_placement(&dispatch);
            let hop = call.hop.child("dispatch");
            hop.set_attribute("server", dispatch.id.clone());
            let sending = self.send_call(&call, &path, request, &dispatch, &hop);
            let ending = async { (self.wait_for_end().await, None) };
            let (outcome, answer) = sending.or(ending).await;
            let attempt = dispatch.attempt;
            let report = Report::Ended(outcome);
            self.control.tell(Message::Report { request, attempt, report });
            if let Some(answer) = answer {
                self.metrics.count_answer(&call.workspace, &name, 0);
                return answer;
            }
            wait_hop = call.hop.child("admission");
        }
        self.refuse(&call.workspace, &name, Code::OutcomeUnknown.into())
    }

    pub(super) async fn send_call(
        &self,
        call: &Call,
        path: &str,
        request: attempt::Key,
        dispatch: &Dispatch,
        hop: &Hop,
    ) -> (Outcome, Option<Response>) {
        if self.control.clock.now() >= dispatch.deadline {
            return (Outcome::Late, None);
        }
        let id = request_id(&self.id, self.incarnation, request);
        let attempt_id = format!("{id}.{}", dispatch.attempt);
        let outgoing = match self.build_request(call, path, dispatch, &attempt_id, hop) {
            Ok(outgoing) => outgoing,
            Err(error) => return (Outcome::Unsent(error.message()), None),
        };
        let holding = self.account.begin();
        let answer = match client::send(dispatch.address, outgoing, self.client_limits).await {
            Ok(answer) => answer.read_whole(Some(&holding)).await,
            Err(failure) => Err(failure),
        };
        match answer {
            Ok((head, body)) => {
                let receipt = build_receipt(&head, &body);
                let answer = self.returned_answer(head, Held::new(body, holding), &dispatch.id);
                (Outcome::Complete(Some(receipt)), Some(answer))
            }
            Err(failure) if failure.too_large => (Outcome::TooLarge, None),
            Err(failure) => (failure.into(), None),
        }
    }

    fn build_request(
        &self,
        call: &Call,
        path: &str,
        dispatch: &Dispatch,
        attempt_id: &str,
        hop: &Hop,
    ) -> Result<http_types::Request> {
        let incoming = &call.received.request;
        let mut outgoing = client::request(incoming.method(), dispatch.address, path)?;
        for name in FORWARDED_HEADERS {
            if let Some(value) = header::single(incoming.as_ref(), name)? {
                outgoing.insert_header(name, value);
            }
        }
        outgoing.insert_header(header::ATTEMPT, attempt_id);
        outgoing.insert_header("x-workspace", call.workspace.as_str());
        if let Some(traceparent) = hop.traceparent() {
            outgoing.insert_header(header::TRACEPARENT, traceparent);
        }
        if !matches!(incoming.method(), Method::Get | Method::Head)
            || !call.received.body.is_empty()
        {
            let content_type = outgoing.header("content-type").cloned();
            outgoing.set_body(call.received.body.clone());
            if let Some(content_type) = content_type {
                outgoing.insert_header("content-type", &content_type);
            }
        }
        Ok(outgoing)
    }

    fn returned_answer(&self, head: Response, body: Held, id: &str) -> Response {
        let mut answer = server::empty(head.status().into());
        answer.set_body(body.into_body());
        answer.remove_header("content-type");
        for name in RETURNED_HEADERS {
            if let Some(values) = head.header(name) {
                answer.insert_header(name, values);
            }
        }
        self.insert_server_headers(&mut answer, id);
        answer
    }

    /// Builds the answer from the receipt of an idempotency key.
    fn replay(&self, receipt: &Receipt) -> Response {
        let body = receipt.body.as_deref().and_then(|body| STANDARD.decode(body).ok());
        let mut answer = server::empty(receipt.status);
        answer.set_body(body.unwrap_or_default());
        if receipt.content_type.is_empty() {
            answer.remove_header("content-type");
        } else {
            answer.insert_header("content-type", receipt.content_type.as_str());
        }
        answer.insert_header(header::EXECUTION, Execution::Done.as_str());
        answer.insert_header("idempotent-replayed", "true");
        answer
    }
}

/// The body of an answer, which counts in the daemon's account until its caller has read it.
struct Held {
    bytes: Cursor<Vec<u8>>,
    /// In a box, so that the body can be moved while it is read.
    _holding: Box<Holding>,
}

impl Held {
    fn new(bytes: Vec<u8>, holding: Holding) -> Self {
        Self { bytes: Cursor::new(bytes), _holding: Box::new(holding) }
    }

    fn into_body(self) -> Body {
        let length = self.bytes.get_ref().len();
        Body::from_reader(BufReader::new(self), Some(length))
    }
}

impl AsyncRead for Held {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.bytes).poll_read(cx, buf)
    }
}

fn build_receipt(head: &Response, body: &[u8]) -> Receipt {
    let content_type = head.header("content-type").map(|values| values.as_str().to_owned());
    Receipt {
        status: head.status().into(),
        content_type: content_type.unwrap_or_default(),
        body: (body.len() <= MAX_RECEIPT_BODY_BYTES).then(|| STANDARD.encode(body)),
    }
}
