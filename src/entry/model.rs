//! Serves completions, as an event stream or as one JSON answer.

use async_channel::Receiver;
use futures_lite::StreamExt;
use futures_lite::stream;
use futures_util::TryStreamExt;
use http_types::{Body, Response};
use serde_json::Value;

use super::answer::error_body;
use super::arrival::request_id;
use super::openai::{Completion, Kind, chunk_text, merged_answer};
use super::pump::{END_OF_STREAM, Piece, Pump};
use super::{Call, Entry};
use crate::attempt::{Arrival, Refusal, Target};
use crate::http::server;
use crate::prefix;
use crate::prelude::*;

/// Answer parts buffered for a slow caller.
const MAX_QUEUED_PIECES: usize = 16;

impl Entry {
    pub(super) async fn serve_completion(self: &Arc<Self>, call: Call) -> Response {
        let workspace = call.workspace.clone();
        let (completion, arrival) = match self.read_completion(&call) {
            Ok(read) => read,
            Err(error) => return self.refuse(&workspace, "", error.into()),
        };
        let name = completion.model.clone();
        let (id, pieces) = self.start_completion(call, arrival, completion.clone());
        let server = match pieces.recv().await {
            Ok(Piece::Begin(server)) => server,
            Ok(Piece::Failed(refusal)) => return self.refuse(&workspace, &name, refusal),
            // An answer without chunks is valid.
            Ok(Piece::End) => return self.build_answer(&completion, &id, "", None, ""),
            _ => return self.refuse(&workspace, &name, Code::GenerationFailed.into()),
        };
        if completion.stream {
            return self.stream_answer(&workspace, &name, &server, pieces).await;
        }
        self.collect_answer(&workspace, &completion, &id, &server, pieces).await
    }

    fn read_completion(&self, call: &Call) -> Result<(Completion, Arrival)> {
        let request = &call.whole.request;
        let kind = Kind::from_path(request.url().path()).unwrap_or(Kind::Text);
        let completion = Completion::parse(kind, &call.whole.body)?;
        let headers = request.as_ref();
        let arrival = self.completion_arrival(
            &call.force,
            &call.workspace,
            headers,
            call.arrived_at,
            &completion,
        )?;
        Ok((completion, arrival))
    }

    /// Submits a completion to control and spawns its pump. Returns the request id and the answer's
    /// pieces.
    fn start_completion(
        self: &Arc<Self>,
        call: Call,
        arrival: Arrival,
        completion: Completion,
    ) -> (String, Receiver<Piece>) {
        let (sender, pieces) = async_channel::bounded(MAX_QUEUED_PIECES);
        let id = request_id(&self.id, self.incarnation, arrival.request);
        let (weights, salt) = match &arrival.target {
            Target::Model { weights, salt, .. } => (weights.clone(), *salt),
            Target::Service { .. } => (String::new(), prefix::Key(0)),
        };
        let pump = Pump {
            entry: Arc::clone(self),
            request: arrival.request,
            id: id.clone(),
            completion,
            weights,
            salt,
            priority: arrival.priority.as_str(),
            pieces: sender,
            hop: call.hop,
            arrived_at: call.arrived_at,
            position: 0,
            text: String::new(),
        };
        let commands = self.control.open(arrival);
        self.executor.spawn(pump.run(commands)).detach();
        (id, pieces)
    }

    pub(super) fn refuse(&self, workspace: &str, target: &str, refusal: Refusal) -> Response {
        self.metrics.answered(workspace, target, refusal.error.code.row().number);
        self.refusal_answer(&refusal)
    }

    /// Streams the pieces as server-sent events; the last is `[DONE]` or an error event.
    async fn stream_answer(
        &self,
        workspace: &str,
        name: &str,
        server: &str,
        pieces: Receiver<Piece>,
    ) -> Response {
        let first = pieces.recv().await;
        if let Ok(Piece::Rejection(status, body)) = first {
            return self.rejection_answer(workspace, name, server, status, body);
        }
        let events = stream::once(first).chain(stream::unfold(pieces, |pieces| async {
            let piece = pieces.recv().await;
            Some((piece, pieces))
        }));
        let events = events.scan(false, |ended, piece| {
            if *ended {
                return None;
            }
            let (text, last) = encode_event(piece.ok());
            *ended = last;
            Some(Ok::<_, std::io::Error>(text.into_bytes()))
        });
        let reader = Box::pin(events).into_async_read();
        let mut answer = server::empty(200);
        answer.set_body(Body::from_reader(reader, None));
        answer.insert_header("content-type", "text/event-stream");
        answer.insert_header("cache-control", "no-cache");
        self.insert_server_headers(&mut answer, server);
        self.metrics.answered(workspace, name, 0);
        answer
    }

    async fn collect_answer(
        &self,
        workspace: &str,
        completion: &Completion,
        id: &str,
        server: &str,
        pieces: Receiver<Piece>,
    ) -> Response {
        let mut text = String::new();
        let mut last = None;
        loop {
            match pieces.recv().await {
                Ok(Piece::Chunk(data)) => {
                    let chunk: Value = serde_json::from_str(&data).unwrap_or_default();
                    text.push_str(chunk_text(completion.kind, &chunk));
                    last = Some(chunk);
                }
                Ok(Piece::End) => {
                    self.metrics.answered(workspace, &completion.model, 0);
                    return self.build_answer(completion, id, &text, last.as_ref(), server);
                }
                Ok(Piece::Failed(refusal)) => {
                    return self.refuse(workspace, &completion.model, refusal);
                }
                Ok(Piece::Rejection(status, body)) => {
                    return self.rejection_answer(
                        workspace,
                        &completion.model,
                        server,
                        status,
                        body,
                    );
                }
                Ok(Piece::Begin(_)) => {}
                Err(_) => {
                    let refusal = Code::GenerationFailed.into();
                    return self.refuse(workspace, &completion.model, refusal);
                }
            }
        }
    }

    fn build_answer(
        &self,
        completion: &Completion,
        id: &str,
        text: &str,
        last: Option<&Value>,
        server: &str,
    ) -> Response {
        let body = merged_answer(completion.kind, id, &completion.model, text, last);
        let mut answer = server::json(200, &body);
        self.insert_server_headers(&mut answer, server);
        answer
    }

    fn rejection_answer(
        &self,
        workspace: &str,
        name: &str,
        server: &str,
        status: u16,
        body: Vec<u8>,
    ) -> Response {
        let mut answer = server::empty(status);
        answer.set_body(body);
        answer.insert_header("content-type", "application/json");
        self.insert_server_headers(&mut answer, server);
        answer.insert_header(crate::http::header::EXECUTION, Execution::NotRun.as_str());
        self.metrics.answered(workspace, name, 0);
        answer
    }
}

/// Encodes a piece as a server-sent event; the flag marks the last one.
fn encode_event(piece: Option<Piece>) -> (String, bool) {
    match piece {
        Some(Piece::Chunk(data)) => (format!("data: {data}\n\n"), false),
        Some(Piece::End) => (format!("data: {END_OF_STREAM}\n\n"), true),
        Some(Piece::Failed(refusal)) => {
            (format!("event: error\ndata: {}\n\n", error_body(&refusal)), true)
        }
        Some(Piece::Begin(_) | Piece::Rejection(..)) => (String::from(": \n\n"), false),
        None => {
            let refusal = Refusal::from(Code::GenerationFailed);
            (format!("event: error\ndata: {}\n\n", error_body(&refusal)), true)
        }
    }
}
