//! One exchange with a server: a request out, the head of its answer back.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::{Conn, Cut, Decoder, Fields, Pool, Response, head};
use crate::poison;

/// Time for a connection to a server: many times the way within a region, and short enough to try
/// another server within a caller's target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections kept for calls of this router: long polls and the calls beside them.
const MAX_IDLE_CALL_CONNECTIONS: usize = 8;

/// An exchange that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No byte left: the request provably did not run.
    Unsent(String),
    /// Some bytes left, and no answer came: it may have run.
    Lost(Cut),
}

/// The head of an answer, and its body still to be read.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub response: Response,
    /// Where the body stands.
    pub decoder: Decoder,
    address: SocketAddr,
    conn: Conn,
}

impl Answer {
    /// Appends body bytes that have come to `output`; false once the body is complete.
    pub async fn read(&mut self, output: &mut Vec<u8>) -> Result<bool, Cut> {
        self.conn.read_body(&mut self.decoder, output).await
    }

    /// Reads the rest of the body, of at most `limit` bytes.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Vec<u8>, Cut> {
        let mut body = Vec::new();
        while self.read(&mut body).await? {
            if body.len() > limit {
                return Err(Cut::TooLarge);
            }
        }
        Ok(body)
    }

    /// Keeps the connection, where it may be used again, and `most` idle ones to its server.
    pub fn release(self, pool: &Pool, max_idle: usize) {
        if self.response.keep_alive && self.decoder.is_complete() {
            pool.put(self.address, self.conn, &self.response.fields, max_idle);
        }
    }
}

/// Sends `request`, a whole message, to `address` and reads the head of the answer. `on_send` is
/// called before the first byte leaves.
pub async fn send(
    pool: &Pool,
    address: SocketAddr,
    request: &[u8],
    answers_head: bool,
    on_send: impl FnOnce(),
) -> Result<Answer, Failure> {
    let mut conn = match pool.take(address) {
        Some(conn) => conn,
        None => Conn::connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| Failure::Unsent(error.to_string()))?,
    };
    on_send();
    write(&conn, request).await?;
    let response = conn.read_response(answers_head).await.map_err(Failure::Lost)?;
    let decoder = Decoder::new(response.framing);
    Ok(Answer { response, decoder, address, conn })
}

async fn write(conn: &Conn, request: &[u8]) -> Result<(), Failure> {
    let stream = conn.writer();
    let mut sent = 0;
    while sent < request.len() {
        match (&mut &*stream).write(&request[sent..]).await {
            Ok(count) if count > 0 => sent += count,
            _ if sent == 0 => return Err(Failure::Unsent("the connection was closed".into())),
            // The server may have answered before it read a long body; the answer is still to come.
            _ => return Ok(()),
        }
    }
    Ok(())
}

/// Looks whether somebody listens at `address`. Nothing is sent there. One that resets what it had accepted, as a server
/// does that is about to end, listened until then.
pub async fn probe(address: SocketAddr) -> poison::Answer {
    let error = match Conn::connect(address, CONNECT_TIMEOUT).await {
        Ok(_) => return poison::Answer::Accepted,
        Err(error) => error.kind(),
    };
    match error {
        ErrorKind::ConnectionRefused => poison::Answer::Refused,
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => poison::Answer::Accepted,
        _ => poison::Answer::Silent,
    }
}

/// A whole request without a caller: a question or an order of this router.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields beside host and length.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
}

/// Makes a whole exchange within `limit`: status and body of the answer.
pub async fn fetch(
    pool: &Pool,
    address: SocketAddr,
    call: Call,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<(u16, Vec<u8>), Failure> {
    let host = address.to_string();
    let length = call.body.len().to_string();
    let framing = [("Host", host.as_str()), ("Content-Length", length.as_str())];
    let fields = framing.into_iter().chain(call.fields.iter());
    let first_line = format!("{} {} HTTP/1.1", call.method, call.target);
    let mut message = head::encode(&first_line, fields).into_bytes();
    message.extend_from_slice(&call.body);
    let exchange = async {
        let mut answer = send(pool, address, &message, false, || {}).await?;
        let body = answer.read_whole(max_body_bytes).await.map_err(Failure::Lost)?;
        let status = answer.response.status;
        answer.release(pool, MAX_IDLE_CALL_CONNECTIONS);
        Ok((status, body))
    };
    let expire = async {
        Timer::after(timeout).await;
        Err(Failure::Lost(Cut::Broken("no answer within the time limit".into())))
    };
    exchange.or(expire).await
}
