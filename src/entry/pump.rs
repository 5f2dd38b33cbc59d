//! Runs the attempts of a completion and forwards its chunks, complete and in order.

use async_channel::{Receiver, Sender};
use async_sse::Event as SseEvent;
use futures_lite::{AsyncReadExt, FutureExt, StreamExt};
use http_types::{Body, Method, StatusCode};
use serde_json::Value;

use super::Entry;
use super::openai::{Completion, chunk_text};
use crate::attempt::{self, Command, Dispatch, Outcome, Refusal, Report};
use crate::control::Message;
use crate::http::{client, events, header};
use crate::prefix;
use crate::prelude::*;
use crate::telemetry::trace::Hop;

/// Data of the event that ends a stream.
pub(super) const END_OF_STREAM: &str = "[DONE]";
/// Maximum bytes read from one engine stream.
const MAX_STREAM_BYTES: u64 = 1 << 30;
/// Maximum size of a completion's text, which is held to continue it at another engine: millions of tokens.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// One part of an answer, sent in order from a pump to the caller's connection.
#[derive(Debug)]
pub(super) enum Piece {
    /// The first chunk arrived from the server with this id.
    Begin(String),
    /// JSON of one chunk.
    Chunk(String),
    /// The answer is complete.
    End,
    /// The request was refused.
    Failed(Refusal),
    /// Status and body of an engine's answer to a request that it rejected.
    Rejection(u16, Vec<u8>),
}

/// One event of an engine's stream.
enum Chunk {
    /// A chunk that was already forwarded.
    Duplicate,
    /// The chunk at the expected position: its text, and the same parsed.
    Next(String, Value),
    /// The stream is complete.
    End,
}

/// Forwards one completion from backend servers to its caller.
pub(super) struct Pump {
    pub(super) entry: Arc<Entry>,
    pub(super) request: attempt::Key,
    pub(super) id: String,
    pub(super) completion: Completion,
    pub(super) weights: String,
    pub(super) salt: prefix::Key,
    pub(super) priority: &'static str,
    pub(super) pieces: Sender<Piece>,
    pub(super) hop: Hop,
    pub(super) arrived_at: Time,
    /// Position of the next chunk to forward.
    pub(super) position: u64,
    /// Text forwarded so far.
    pub(super) text: String,
}

impl Pump {
    /// Executes control's commands until the request ends.
    pub(super) async fn run(mut self, commands: Receiver<Command>) {
        let mut wait_hop = self.hop.child("admission");
        while let Ok(command) = commands.recv().await {
            drop(wait_hop);
            match command {
                Command::Dispatch(dispatch) => {
                    self.hop.record_placement(&dispatch);
                    let number = dispatch.attempt;
                    let entry = Arc::clone(&self.entry);
                    let running = self.run_attempt(&dispatch);
                    let interrupted = wait_for_abort(&commands, number).or(entry.wait_for_end());
                    let outcome = running.or(interrupted).await;
                    let complete = matches!(outcome, Outcome::Complete(_));
                    let caller_gone = outcome == Outcome::CallerGone;
                    self.report(&dispatch, Report::Ended(outcome));
                    if complete {
                        self.pieces.send(Piece::End).await.ok();
                    }
                    if complete || caller_gone {
                        return;
                    }
                }
                Command::Refuse(refusal) => {
                    self.pieces.send(Piece::Failed(refusal)).await.ok();
                    return;
                }
                // The attempt to abort has already ended.
                Command::Abort(_) => {}
                Command::Replay(_) => return,
            }
            wait_hop = self.hop.child("admission");
        }
    }

    fn report(&self, dispatch: &Dispatch, report: Report) {
        let (request, attempt) = (self.request, dispatch.attempt);
        self.entry.control.tell(Message::Report { request, attempt, report });
    }

    async fn run_attempt(&mut self, dispatch: &Dispatch) -> Outcome {
        if self.entry.control.clock.now() >= dispatch.deadline {
            return Outcome::Late;
        }
        let hop = self.hop.child("dispatch");
        hop.set_attribute("server", dispatch.id.clone());
        hop.set_attribute("attempt", i64::from(dispatch.attempt));
        let attempt_id = format!("{}.{}", self.id, dispatch.attempt);
        let request = match self.build_request(dispatch, &attempt_id, &hop) {
            Ok(request) => request,
            Err(error) => return Outcome::Unsent(error.message()),
        };
        match client::send(dispatch.address, request, self.entry.client_limits).await {
            Ok(answer) => self.receive(dispatch, &attempt_id, answer, &hop).await,
            Err(failure) => failure.into(),
        }
    }

    fn build_request(
        &self,
        dispatch: &Dispatch,
        attempt_id: &str,
        hop: &Hop,
    ) -> Result<http_types::Request> {
        let path = self.completion.kind.path();
        let mut request = client::request(Method::Post, dispatch.address, path)?;
        request.insert_header(header::ATTEMPT, attempt_id);
        request.insert_header(header::STREAM, self.id.as_str());
        request.insert_header(header::CACHE_SALT, format!("{:016x}", self.salt.0));
        request.insert_header(header::PRIORITY, self.priority);
        request.insert_header(header::WEIGHTS, self.weights.as_str());
        if let Some(incarnation) = &dispatch.incarnation {
            request.insert_header(header::INCARNATION, incarnation.as_str());
        }
        if let Some(import) = &dispatch.import {
            let value = format!("{};{};{}", import.address, import.incarnation, import.blocks);
            request.insert_header(header::KV_IMPORT, value);
        }
        if let Some(traceparent) = hop.traceparent() {
            request.insert_header(header::TRACEPARENT, traceparent);
        }
        let mut body = self.completion.body.clone();
        body["stream"] = Value::Bool(true);
        if self.position > 0 {
            request.insert_header(header::RESUME_FROM, self.position.to_string());
            if !dispatch.resume {
                body["continue_text"] = Value::from(self.text.as_str());
            }
        }
        request.set_body(Body::from_string(body.to_string()));
        request.insert_header("content-type", "application/json");
        Ok(request)
    }

    async fn receive(
        &mut self,
        dispatch: &Dispatch,
        attempt_id: &str,
        answer: client::Answer,
        hop: &Hop,
    ) -> Outcome {
        let headers = answer.response.as_ref();
        let status = answer.response.status();
        let declined = header::single(headers, header::EXECUTION)
            .is_ok_and(|value| value == Some(Execution::NotRun.as_str()));
        if declined && status != StatusCode::Ok {
            return self.handle_declined(dispatch, status, answer).await;
        }
        if status != StatusCode::Ok {
            return Outcome::Broken(format!("the engine answered {status}"));
        }
        let expected = [
            (header::ATTEMPT, Some(attempt_id)),
            (header::INCARNATION, dispatch.incarnation.as_deref()),
            (header::WEIGHTS, Some(self.weights.as_str())),
        ];
        for (name, value) in expected {
            if header::single(headers, name).ok().flatten() != value {
                return Outcome::Mismatch(format!("{name} is not {value:?}"));
            }
        }
        let cached = header::single(headers, header::CACHED_TOKENS)
            .ok()
            .flatten()
            .and_then(|value| value.parse().ok());
        let stream_hop = hop.child("stream");
        let outcome = self.relay_stream(dispatch, answer, cached).await;
        stream_hop.set_attribute("position", self.position as i64);
        outcome
    }

    /// Handles an engine's answer that it did not run the request. A permanent rejection is
    /// forwarded to the caller; other requests are retried on another server.
    async fn handle_declined(
        &mut self,
        dispatch: &Dispatch,
        status: StatusCode,
        answer: client::Answer,
    ) -> Outcome {
        let is_permanent = matches!(
            status,
            StatusCode::BadRequest | StatusCode::PayloadTooLarge | StatusCode::UnprocessableEntity
        );
        if !is_permanent || self.position > 0 {
            return Outcome::Declined(format!("the engine answered {status}"));
        }
        match answer.read_whole(None).await {
            Ok((head, body)) => {
                let status = u16::from(head.status());
                let forwarded = self.pieces.send(Piece::Begin(dispatch.id.clone())).await.is_ok()
                    && self.pieces.send(Piece::Rejection(status, body)).await.is_ok();
                if forwarded { Outcome::Complete(None) } else { Outcome::CallerGone }
            }
            Err(failure) => Outcome::Declined(failure.reason),
        }
    }

    async fn relay_stream(
        &mut self,
        dispatch: &Dispatch,
        mut answer: client::Answer,
        cached_tokens: Option<u32>,
    ) -> Outcome {
        let body = answer.response.take_body().take(MAX_STREAM_BYTES);
        let mut events = events::decode(body);
        let mut begun = false;
        while let Some(event) = events.next().await {
            let message = match event {
                Ok(SseEvent::Message(message)) => message,
                Ok(SseEvent::Retry(_)) => continue,
                Err(error) => return Outcome::Broken(error.to_string()),
            };
            let (data, chunk) = match self.read_chunk(&message) {
                Ok(Chunk::Duplicate) => continue,
                Ok(Chunk::End) => return Outcome::Complete(None),
                Ok(Chunk::Next(data, chunk)) => (data, chunk),
                Err(reason) => return Outcome::Broken(reason),
            };
            if !begun {
                begun = true;
                self.report_begun(dispatch, cached_tokens).await;
            }
            self.text.push_str(chunk_text(self.completion.kind, &chunk));
            if self.text.len() > MAX_TEXT_BYTES {
                return Outcome::TooLarge;
            }
            self.position += 1;
            if self.pieces.send(Piece::Chunk(data)).await.is_err() {
                return Outcome::CallerGone;
            }
        }
        Outcome::Broken("the stream ended early".into())
    }

    /// Classifies an event as the expected chunk, a duplicate or the end of the stream. An error
    /// ends the attempt.
    fn read_chunk(&self, message: &async_sse::Message) -> Result<Chunk, String> {
        let data = std::str::from_utf8(message.data()).map_err(|_| "a chunk is no text")?;
        if message.name() != "message" {
            return Err(format!("the engine sent {}: {data}", message.name()));
        }
        let position = message.id().as_ref().and_then(|id| id.parse::<u64>().ok());
        match position {
            Some(position) if position < self.position => return Ok(Chunk::Duplicate),
            Some(position) if position == self.position => {}
            _ => {
                let id = message.id();
                return Err(format!("chunk {id:?} came where {} was due", self.position));
            }
        }
        if data == END_OF_STREAM {
            return Ok(Chunk::End);
        }
        let chunk = serde_json::from_str(data).map_err(|_| "a chunk is no JSON")?;
        Ok(Chunk::Next(data.to_owned(), chunk))
    }

    async fn report_begun(&self, dispatch: &Dispatch, cached_tokens: Option<u32>) {
        self.report(dispatch, Report::Begun { cached_tokens });
        if self.position > 0 {
            return;
        }
        let time = self.entry.control.clock.now().saturating_sub(self.arrived_at);
        self.entry.metrics.record_first_token(&self.completion.model, self.priority, time);
        self.pieces.send(Piece::Begin(dispatch.id.clone())).await.ok();
    }
}

/// Waits until control aborts the attempt of this number.
async fn wait_for_abort(commands: &Receiver<Command>, number: u32) -> Outcome {
    while let Ok(command) = commands.recv().await {
        if command == Command::Abort(number) {
            return Outcome::Broken("the server does not answer or has restarted".into());
        }
    }
    std::future::pending().await
}
