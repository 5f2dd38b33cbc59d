//! One exchange with a server: sends a request and reads the head of its answer.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::pool::MAX_REQUESTS_PER_CONNECTION;
use super::{Answer, Conn, Cut, Decoder, Fields, Pool, Response, head};
use crate::fleet::Connect;
use crate::poison;

/// Timeout for connecting to a server. It is many times the latency within a region, and short
/// enough to try another server within a caller's latency target.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for connecting for a call of this router: the connect survives the loss of its first packet, which is sent
/// again after a second.
const CALL_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time in which a partition resets a connection that it has let through, or a server one on which it gets more after it has
/// closed it: several round trips within a region.
pub(super) const RESET_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of answers to other requests that are discarded while an own one is awaited: each earlier answer of the
/// connection once more.
const MAX_DISCARDED_ANSWERS: usize = MAX_REQUESTS_PER_CONNECTION;
/// Maximum size of their bodies together.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Maximum number of idle connections per server for this router's own calls, which include long polls.
const MAX_IDLE_CALL_CONNECTIONS: usize = 8;

/// An exchange that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The request was not sent, or not to its end, so it did not run.
    Unsent(String),
    /// Bytes were sent, but no complete answer arrived. The request may have run.
    Lost(Cut),
}

/// An exchange whose answer is still to be read.
#[derive(Debug)]
pub struct Exchange {
    address: SocketAddr,
    conn: Conn,
    /// Whether the request is a HEAD request.
    answers_head: bool,
    discarded: Discarded,
}

impl Exchange {
    /// The exchange on `conn`, a connection to `address` on which a request was sent.
    pub(super) fn new(conn: Conn, address: SocketAddr, answers_head: bool) -> Self {
        Self { address, conn, answers_head, discarded: Discarded::default() }
    }

    /// Reads the head of the next answer.
    pub(super) async fn read_head(&mut self) -> Result<Response, Cut> {
        self.conn.read_response(self.answers_head).await
    }

    /// Discards the body of an answer that is not to the request.
    pub(super) async fn discard_answer(&mut self, response: &Response) -> Result<(), Cut> {
        // The length of an answer to HEAD is not known: it may be a copy of one to another method.
        if !response.keep_alive || self.answers_head {
            return Err(Cut::Malformed("the last answer is to another request".into()));
        }
        self.discarded.add_answer()?;
        let mut decoder = Decoder::new(response.framing);
        let mut body = Vec::new();
        while self.conn.read_body(&mut decoder, &mut body).await? {
            self.discarded.add_bytes(body.len())?;
            body.clear();
        }
        Ok(())
    }

    /// Discards bytes that are no answer, up to what may be the head of one.
    pub(super) async fn discard_noise(&mut self) -> Result<(), Cut> {
        let count = self.conn.skip_to_head(MAX_DISCARDED_BYTES).await?;
        self.discarded.add_answer()?;
        self.discarded.add_bytes(count)
    }

    /// Returns whether the connection carried other requests before, so that bytes on it may be left from them.
    pub(super) fn is_on_kept_connection(&self) -> bool {
        self.conn.request_count() > 1
    }

    /// Returns the number of the connection, and how many requests it has carried.
    pub(super) fn connection(&self) -> (u64, usize) {
        (self.conn.number(), self.conn.request_count())
    }

    /// Returns the answer with this head, which was read last.
    pub(super) fn into_answer(self, response: Response) -> Answer {
        let Self { address, conn, answers_head, discarded: _ } = self;
        Answer::new(response, address, conn, answers_head)
    }
}

/// Counts of the answers to other requests that were discarded in one exchange.
#[derive(Debug, Default)]
pub(super) struct Discarded {
    answers: usize,
    bytes: usize,
}

impl Discarded {
    fn add_answer(&mut self) -> Result<(), Cut> {
        self.answers += 1;
        if self.answers > MAX_DISCARDED_ANSWERS { Err(Cut::TooLarge) } else { Ok(()) }
    }

    fn add_bytes(&mut self, count: usize) -> Result<(), Cut> {
        self.bytes += count;
        if self.bytes > MAX_DISCARDED_BYTES { Err(Cut::TooLarge) } else { Ok(()) }
    }
}

/// A complete request message.
#[derive(Debug, Clone, Copy)]
pub struct Question<'a> {
    /// The request's id, which the answer names; a call of this router has none.
    pub id: Option<&'a str>,
    /// The bytes to send: the head, with the body if it is small.
    pub message: &'a [u8],
    /// The body that follows.
    pub body: &'a [u8],
    /// Whether the answer has no body, whatever its head declares.
    pub answers_head: bool,
}

/// Sends `question` to `address`. `on_send` is called before the first byte is sent.
pub async fn send(
    pool: &Pool,
    address: SocketAddr,
    question: Question<'_>,
    on_send: impl FnOnce(),
) -> Result<Exchange, Failure> {
    let conn = match pool.take(address, question.id) {
        Some(conn) => conn,
        None => connect(address, CONNECT_TIMEOUT).await?,
    };
    on_send();
    send_on(conn, address, question).await
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<Conn, Failure> {
    let connecting = Conn::connect(address, timeout).await;
    connecting.map_err(|error| Failure::Unsent(error.to_string()))
}

async fn send_on(
    mut conn: Conn,
    address: SocketAddr,
    question: Question<'_>,
) -> Result<Exchange, Failure> {
    conn.record_request(question.id);
    write(&mut conn, &[question.message, question.body]).await?;
    Ok(Exchange::new(conn, address, question.answers_head))
}

/// Writes the pieces of a message one after the other.
pub(super) async fn write(conn: &mut Conn, pieces: &[&[u8]]) -> Result<(), Failure> {
    let stream = conn.writer();
    let mut has_sent = false;
    for piece in pieces {
        let mut rest = *piece;
        while !rest.is_empty() {
            match (&mut &*stream).write(rest).await {
                Ok(count) if count > 0 => (has_sent, rest) = (true, &rest[count..]),
                _ if !has_sent => {
                    return Err(Failure::Unsent("the connection was closed".into()));
                }
                // The server may have answered before it read all of a long body, so read the answer.
                _ => {
                    conn.record_write_failure();
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Probes whether a server listens at `address`, without sending anything. A reset counts as accepted: a stopping server
/// resets connections that it accepted while it still listened.
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

/// Probes the path to the server at `address` by a connect. A connection counts as accepted once it has
/// stayed open for a moment.
pub async fn probe_path(address: SocketAddr) -> Connect {
    let conn = match Conn::connect(address, CONNECT_TIMEOUT).await {
        Ok(conn) => conn,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => return Connect::Reset,
        Err(_) => return Connect::Failed,
    };
    Timer::after(RESET_DELAY).await;
    match conn.has_unexpected_input() {
        true => Connect::Reset,
        false => Connect::Accepted,
    }
}

/// What shows that an answer is to a call of this router. Servers name no request in such answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Correlation {
    /// The connection: it is new, and carries this call alone.
    #[default]
    Connection,
    /// The content of the body, which the caller checks. The connection may be a kept one.
    Content,
}

/// A complete request that this router makes itself, not on behalf of a caller.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// The method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields other than `Host` and `Content-Length`.
    pub fields: Fields,
    /// The body.
    pub body: Vec<u8>,
    /// What shows that the answer is to this call.
    pub correlation: Correlation,
}

impl Call {
    /// Encodes the complete message for the server at `address`.
    fn encode(&self, address: SocketAddr) -> Vec<u8> {
        let host = address.to_string();
        let length = self.body.len().to_string();
        let framing = [("Host", host.as_str()), ("Content-Length", length.as_str())];
        let fields = framing.into_iter().chain(self.fields.iter());
        let first_line = format!("{} {} HTTP/1.1", self.method, self.target);
        let mut message = head::encode(&first_line, fields).into_bytes();
        message.extend_from_slice(&self.body);
        message
    }
}

/// Makes a complete exchange within `timeout`. Returns the status and the body of the answer.
pub async fn fetch(
    pool: &Pool,
    address: SocketAddr,
    call: Call,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<(u16, Vec<u8>), Failure> {
    let message = call.encode(address);
    let question = Question { id: None, message: &message, body: &[], answers_head: false };
    let exchange = async {
        let mut sent = match call.correlation {
            Correlation::Connection => {
                send_on(connect(address, CALL_CONNECT_TIMEOUT).await?, address, question).await?
            }
            Correlation::Content => send(pool, address, question, || {}).await?,
        };
        let response = sent.read_head().await.map_err(Failure::Lost)?;
        let mut answer = sent.into_answer(response);
        let body = answer.read_whole(max_body_bytes).await.map_err(Failure::Lost)?;
        let status = answer.response.status;
        if call.correlation == Correlation::Content {
            answer.release(pool, MAX_IDLE_CALL_CONNECTIONS);
        }
        Ok((status, body))
    };
    let expire = async {
        Timer::after(timeout).await;
        Err(Failure::Lost(Cut::Broken("no answer within the time limit".into())))
    };
    exchange.or(expire).await
}
