//! Handover of a request to a peer that reaches backend servers, and relay of the peer's answer.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};

use super::answer::{encode_stream_head, pieces, push_chunk, write_answer};
use super::delivery::{Delivery, MAX_ANSWER_BYTES, Outcome, SLOW_READER_DELAY};
use super::exchange::{self, Exchange, Failure};
use super::matching::Responder;
use super::passing::{Body, Held, Passed};
use super::takeover::Origin;
use super::{Answer, Classification, Conn, Cut, Events, Framing, Response, head};
use crate::error::Execution;
use crate::fleet::{Handover, HandoverEnd, Message};
use crate::http::header;
use crate::prelude::*;

/// Timeout for connecting to a peer: many times the latency within a region, and short enough to try several peers
/// within a caller's latency target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for a peer to ask for the body, from the start of the handover. A peer that takes longer is frozen, cut off or short of processor time.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of idle connections per peer.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The end of a chunked body after its last chunk.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The same after the data of a chunk.
const CHUNK_END_AND_LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// The end of a handover.
enum Ending {
    /// The caller has a complete answer: a backend server's, or the peer's own with this code.
    Answered(Option<Code>),
    /// The request did not run, and another peer may take it.
    NotTaken,
    /// The request may have run, and its answer is not complete.
    Lost,
    /// Writing to the caller failed.
    CallerDisconnected,
    /// The answer was closed while the caller read it slowly.
    CallerTooSlow,
}

/// Meaning of an answer that a peer made itself.
#[derive(Debug, PartialEq, Eq)]
enum Verdict {
    /// The caller is to have it.
    Final(Code),
    /// The request did not run, and another peer may take it.
    NotTaken,
    /// It is no answer of a peer.
    Invalid,
}

impl Delivery<'_> {
    /// Hands the request to a peer and reports the end. Returns the outcome if the request has ended.
    pub(super) async fn hand_over(
        &self,
        writer: &Async<TcpStream>,
        peer: &Handover,
    ) -> Option<Outcome> {
        let was_sent = self.progress.sent.load(Ordering::Acquire);
        let ending = match self.origin {
            Origin::Caller => self.exchange_with_peer(writer, peer).await,
            // Peers that are partitioned from all servers would send a request in circles.
            Origin::Peer => Ending::NotTaken,
        };
        let (end, outcome) = match ending {
            Ending::Answered(code) => (HandoverEnd::Answered, Some(Outcome::HandedOver(code))),
            Ending::NotTaken => (HandoverEnd::NotTaken, None),
            Ending::Lost => (HandoverEnd::Lost, None),
            Ending::CallerDisconnected => return Some(Outcome::Disconnected),
            Ending::CallerTooSlow => return Some(Outcome::Truncated),
        };
        if end == HandoverEnd::NotTaken {
            self.progress.sent.store(was_sent, Ordering::Release);
        }
        let (request, attempt) = (self.key, peer.attempt);
        self.frontend.control.tell(Message::HandoverEnded { request, attempt, end });
        outcome
    }

    async fn exchange_with_peer(&self, writer: &Async<TcpStream>, peer: &Handover) -> Ending {
        let exchange = match self.send_to_peer(peer.address).await {
            Ok(exchange) => exchange,
            Err(Failure::Unsent(_)) => return Ending::NotTaken,
            Err(Failure::Lost(_)) => return Ending::Lost,
        };
        let responder = Responder { attempt: peer.attempt, name: &peer.daemon };
        match self.match_answer(exchange, responder).await {
            Ok((answer, class)) => self.relay_hop(writer, answer, class).await,
            Err(_) => Ending::Lost,
        }
    }

    /// Sends the request, its body only once the peer asks for it. Until then the request can't run, whatever becomes
    /// of the connection or the peer.
    async fn send_to_peer(&self, address: SocketAddr) -> Result<Exchange, Failure> {
        let expire = async {
            Timer::after(CONTINUE_TIMEOUT).await;
            Err(Failure::Unsent("the peer does not ask for the body".into()))
        };
        let mut conn = self.offer(address).or(expire).await?;
        self.progress.sent.store(true, Ordering::Release);
        // In chunks, so that an empty body has an end, too.
        let (first, rest) = pieces(chunk_head(self.body), self.body);
        let end = if self.body.is_empty() { LAST_CHUNK } else { CHUNK_END_AND_LAST_CHUNK };
        exchange::write(&mut conn, &[&first, rest, end]).await?;
        Ok(Exchange::new(conn, address, self.request.is_head()))
    }

    /// Offers the request on an idle connection, or on a new one if there is none or the peer has closed it. Returns the
    /// connection on which the peer asks for the body.
    async fn offer(&self, address: SocketAddr) -> Result<Conn, Failure> {
        if let Some(conn) = self.frontend.pool.take(address, Some(&self.metadata.id)) {
            match self.offer_on(conn).await {
                Err(Cut::Closed | Cut::Broken(_)) => {}
                ended => return ended.map_err(unsent),
            }
        }
        let connecting = Conn::connect(address, CONNECT_TIMEOUT).await;
        let conn = connecting.map_err(|error| unsent(error.into()))?;
        self.offer_on(conn).await.map_err(unsent)
    }

    async fn offer_on(&self, mut conn: Conn) -> Result<Conn, Cut> {
        conn.record_request(Some(&self.metadata.id));
        conn.write(&self.encode_hop_head()).await?;
        match conn.read_any_response(false).await?.status {
            100 => Ok(conn),
            status => Err(Cut::Malformed(format!("status {status} before the body"))),
        }
    }

    fn encode_hop_head(&self) -> Vec<u8> {
        let fields = self.frontend.dialect.handover_fields(self.request, self.remaining());
        let framing = [("Transfer-Encoding", "chunked"), ("Expect", "100-continue")];
        let first_line = format!("{} {} HTTP/1.1", self.request.method, self.request.target);
        head::encode(&first_line, fields.iter().chain(framing)).into_bytes()
    }

    async fn relay_hop(
        &self,
        writer: &Async<TcpStream>,
        answer: Answer,
        class: Classification,
    ) -> Ending {
        // A peer frames all its answers.
        if answer.response.framing == Framing::UntilClose {
            return Ending::Lost;
        }
        if !self.continues_answer(&answer.response) {
            return Ending::Lost;
        }
        let is_from_server =
            matches!(class, Classification::Answer(_) | Classification::Unconfirmed(_));
        // A peer of an older release passes such an answer on.
        if matches!(class, Classification::Unconfirmed(_)) && self.runs_at_most_once() {
            return Ending::Lost;
        }
        let is_stream = self.route.is_streaming && !self.request.is_head();
        if is_from_server && is_stream && answer.response.status == 200 {
            return self.relay_hop_stream(writer, answer).await;
        }
        self.relay_hop_whole(writer, answer, is_from_server).await
    }

    /// Buffers an answer and forwards it once it is complete, unless another peer may take the request.
    async fn relay_hop_whole(
        &self,
        writer: &Async<TcpStream>,
        mut answer: Answer,
        is_from_server: bool,
    ) -> Ending {
        let holding = self.frontend.account.begin();
        let body = match Held::read(&mut answer, &holding).await {
            Ok(Body::Whole(body)) => body,
            Ok(Body::Part(part)) if is_from_server => {
                return match self.pass_on(writer, &mut answer, part).await {
                    Passed::Whole => {
                        answer.release(&self.frontend.pool, MAX_IDLE_CONNECTIONS);
                        Ending::Answered(None)
                    }
                    Passed::Cut => Ending::CallerTooSlow,
                    Passed::CallerDisconnected => Ending::CallerDisconnected,
                };
            }
            Ok(Body::Part(_)) | Err(_) => return Ending::Lost,
        };
        let response = answer.response.clone();
        answer.release(&self.frontend.pool, MAX_IDLE_CONNECTIONS);
        let code = match is_from_server {
            true => None,
            false => match judge(&response) {
                Verdict::Final(code) => Some(code),
                Verdict::NotTaken => return Ending::NotTaken,
                Verdict::Invalid => return Ending::Lost,
            },
        };
        let close = self.frontend.control.is_draining();
        self.progress.record_write(self.frontend.control.clock.now());
        match write_answer(writer, &response, &body, close).await {
            Ok(()) => Ending::Answered(code),
            Err(_) => Ending::CallerDisconnected,
        }
    }

    /// Forwards a stream in complete events.
    async fn relay_hop_stream(&self, mut writer: &Async<TcpStream>, mut answer: Answer) -> Ending {
        let mut events = Events::after(self.metadata.last_event_id);
        let mut is_slow_reader = false;
        let holding = self.frontend.account.begin();
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            match answer.read(&mut bytes).await {
                Ok(_) => {}
                Err(_) if is_slow_reader => return Ending::CallerTooSlow,
                Err(_) => return Ending::Lost,
            }
            let is_complete = answer.decoder.is_complete();
            let mut whole = events.feed(&bytes);
            let is_held = holding.set(events.partial_bytes() + 2 * whole.len()).is_ok();
            if !is_held || events.partial_bytes() > MAX_ANSWER_BYTES {
                return Ending::Lost;
            }
            self.progress.span.record(&events);
            if is_complete {
                whole.extend_from_slice(&events.take_partial());
            }
            let out = self.encode_events(&answer.response, &whole, is_complete);
            if !out.is_empty() {
                self.progress.record_write(self.frontend.control.clock.now());
            }
            let write_started_at = self.frontend.control.clock.now();
            if writer.write_all(&out).await.is_err() {
                return Ending::CallerDisconnected;
            }
            let blocked = self.frontend.control.clock.now().saturating_sub(write_started_at);
            is_slow_reader |= blocked >= SLOW_READER_DELAY;
            if is_complete {
                answer.release(&self.frontend.pool, MAX_IDLE_CONNECTIONS);
                return Ending::Answered(None);
            }
        }
    }

    /// Encodes events for the caller, after the head if they are the first and before the end if they are the last.
    fn encode_events(&self, response: &Response, events: &[u8], is_complete: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(events.len() + 512);
        let has_started = self.progress.has_started();
        if !has_started && (is_complete || !events.is_empty()) {
            let close = self.frontend.control.is_draining();
            out.extend_from_slice(encode_stream_head(response, close).as_bytes());
            self.progress.record_stream_head(response);
        }
        push_chunk(&mut out, events);
        if is_complete {
            out.extend_from_slice(b"0\r\n\r\n");
        }
        out
    }
}

/// The line before the data of a chunk; empty if there are none.
fn chunk_head(data: &[u8]) -> String {
    if data.is_empty() { String::new() } else { format!("{:x}\r\n", data.len()) }
}

fn unsent(cut: Cut) -> Failure {
    Failure::Unsent(cut.to_string())
}

/// Judges an answer that is not a backend server's.
fn judge(response: &Response) -> Verdict {
    let number = response.fields.get(header::CODE).and_then(|code| code.parse::<u16>().ok());
    let is_not_run = response.fields.get(header::EXECUTION) == Some(Execution::NotRun.as_str());
    let code = Code::ALL.iter().find(|code| Some(code.row().number) == number);
    match code {
        // A peer that reaches servers has decided, by the load of these, or has lost the answer.
        Some(
            code @ (Code::NoServer
            | Code::QueueFull
            | Code::DeadlineUnreachable
            | Code::DeadlinePassed
            | Code::RequestBlocked
            | Code::OverQuota
            | Code::StreamVersionGone
            | Code::OutcomeUnknown
            | Code::AnswerTimeout),
        ) => Verdict::Final(*code),
        // The peer reached no server, stops, or has another configuration than this daemon, which found the route.
        _ if number.is_some() && is_not_run => Verdict::NotTaken,
        _ => Verdict::Invalid,
    }
}
