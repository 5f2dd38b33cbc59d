//! A TCP connection with a read-ahead buffer.

mod linger;
mod whole;

use std::fmt;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt, future};
use rustix::net::sockopt;

use super::{Decoder, Malformed, Request, Response};
use crate::memory::{Full, Holding};

/// Maximum number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Number of bytes read from a connection after which other tasks run, and deadlines are seen, although more are there.
const MAX_BYTES_WITHOUT_YIELD: usize = 64 << 10;
/// Maximum size of the head of a backend server's answer, and of all informational answers before it.
const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;
/// The first bytes of an answer.
const HEAD_START: &[u8] = b"HTTP/1.";
/// Maximum number of bytes buffered from a caller that waits for its answer.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Size of the kernel's receive buffer of a caller's connection, which it may double. What waits there unread counts as
/// memory of the process on some platforms. A caller's link a millisecond away brings 32 MB/s with it.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Idle time before the first TCP keep-alive probe and interval between probes, in whole seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 3;
/// Time that sent bytes may stay unacknowledged. Allows several retransmissions on a lossy link and
/// is well below the time that a caller waits.
const USER_TIMEOUT_MS: u32 = 2_000;

/// Bounds what the connections that `listener` accepts may leave unread.
pub fn bound_unread_bytes(listener: &TcpListener) {
    sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES).ok();
}

/// Error in reading a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cut {
    /// The connection ended before the first byte of a message.
    Closed,
    /// The connection ended or failed within a message.
    Broken(String),
    /// The connection ended in good order with the server's process, so that the body may lack its rest.
    Abandoned,
    /// The received bytes are not a valid message.
    Malformed(String),
    /// The message is larger than the limit.
    TooLarge,
    /// The daemon holds as many bytes as it may.
    Full,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("the connection ended before a message"),
            Self::Broken(reason) | Self::Malformed(reason) => f.write_str(reason),
            Self::Abandoned => f.write_str("the server ended with its answer"),
            Self::TooLarge => f.write_str("the message is too large"),
            Self::Full => Full.fmt(f),
        }
    }
}

impl From<Malformed> for Cut {
    fn from(malformed: Malformed) -> Self {
        Self::Malformed(malformed.0)
    }
}

impl From<Full> for Cut {
    fn from(_: Full) -> Self {
        Self::Full
    }
}

impl From<io::Error> for Cut {
    fn from(error: io::Error) -> Self {
        Self::Broken(error.to_string())
    }
}

/// A TCP connection.
#[derive(Debug)]
pub struct Conn {
    /// Number in the process, for log lines.
    number: u64,
    stream: Arc<Async<TcpStream>>,
    /// Hashes of the ids of the requests that were sent on it.
    carried: Vec<u64>,
    /// Bytes that were read and not yet consumed.
    read_ahead: Vec<u8>,
    /// What a caller's connection holds of the daemon's memory.
    holding: Option<Holding>,
    /// Size of the body buffer of the current request, which is counted in `holding`.
    body_bytes: usize,
    /// Whether bytes that the caller sent ahead of its turn were discarded, so that no further request can be read.
    has_discarded: bool,
    /// Number of bytes read since other tasks could last run.
    unyielded: usize,
    /// Whether a write has failed. The failure took the socket's error, so that a read then sees an orderly end.
    write_failed: bool,
}

impl Conn {
    /// Wraps `stream` and enables the kernel's detection of an unreachable peer.
    pub fn new(stream: Async<TcpStream>) -> Self {
        let socket = stream.get_ref();
        socket.set_nodelay(true).ok();
        sockopt::set_socket_keepalive(socket, true).ok();
        sockopt::set_tcp_keepidle(socket, KEEPALIVE_IDLE).ok();
        sockopt::set_tcp_keepintvl(socket, KEEPALIVE_IDLE).ok();
        sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES).ok();
        sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS).ok();
        static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);
        Self {
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            stream: Arc::new(stream),
            carried: Vec::new(),
            read_ahead: Vec::new(),
            holding: None,
            body_bytes: 0,
            has_discarded: false,
            unyielded: 0,
            write_failed: false,
        }
    }

    /// Wraps the connection of a caller, whose buffers are counted in `holding`.
    pub fn of_caller(stream: Async<TcpStream>, holding: Holding) -> Self {
        Self { holding: Some(holding), ..Self::new(stream) }
    }

    /// Returns the number of the connection in this process.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Records that a request is sent on this connection.
    pub(super) fn record_request(&mut self, id: Option<&str>) {
        self.carried.push(id.map_or(0, hash));
    }

    /// Returns the number of requests that were sent on this connection.
    pub(super) fn request_count(&self) -> usize {
        self.carried.len()
    }

    /// Returns whether the request `id` was sent on this connection.
    pub(super) fn has_carried(&self, id: &str) -> bool {
        self.carried.contains(&hash(id))
    }

    /// Connects to `address` within `timeout`.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connect = Async::<TcpStream>::connect(address);
        let expire = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        Ok(Self::new(connect.or(expire).await?))
    }

    /// Returns the stream, for writing while the connection is being read.
    pub fn writer(&self) -> Arc<Async<TcpStream>> {
        Arc::clone(&self.stream)
    }

    /// Writes all of `bytes`.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&mut &*self.stream).write_all(bytes).await
    }

    /// Records that a write has failed.
    pub(super) fn record_write_failure(&mut self) {
        self.write_failed = true;
    }

    /// Returns whether a write has failed, so that the peer may not have read all of the request.
    pub(super) fn has_failed_write(&self) -> bool {
        self.write_failed
    }

    /// Returns whether the connection, which has ended, was reset or failed.
    pub(super) fn has_failed(&self) -> bool {
        self.write_failed || matches!(self.stream.get_ref().take_error(), Ok(Some(_)))
    }

    /// Returns whether an idle connection has received bytes or was closed, without consuming
    /// anything. Such a connection cannot be reused.
    pub fn has_unexpected_input(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.get_ref().peek(&mut byte);
        let silent = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        !self.read_ahead.is_empty() || !silent
    }

    /// Reads more bytes into the buffer. Returns their number, or 0 at the end of the connection.
    async fn fill(&mut self) -> Result<usize, Cut> {
        if self.unyielded >= MAX_BYTES_WITHOUT_YIELD {
            self.unyielded = 0;
            future::yield_now().await;
        }
        let Self { stream, read_ahead, .. } = self;
        // A connection that waits has no buffer.
        let read = stream.read_with(|mut stream| {
            let mut chunk = [0; READ_CHUNK_BYTES];
            let count = stream.read(&mut chunk)?;
            read_ahead.extend_from_slice(&chunk[..count]);
            Ok(count)
        });
        let count = read.await?;
        self.unyielded += count;
        self.count_buffers().await?;
        Ok(count)
    }

    /// Counts the buffers in the holding of a caller's connection.
    async fn count_buffers(&mut self) -> Result<(), Full> {
        match &self.holding {
            Some(holding) => holding.grow_to(self.read_ahead.capacity() + self.body_bytes).await,
            None => Ok(()),
        }
    }

    /// Counts the buffers again after some were dropped.
    fn recount_buffers(&mut self) {
        let bytes = self.read_ahead.capacity() + self.body_bytes;
        if let Some(holding) = &self.holding {
            holding.set(bytes).ok();
        }
    }

    /// Records the size of the body buffer that is kept, and drops the other one if it is empty.
    pub(super) fn keep_body(&mut self, body_bytes: usize) {
        if self.read_ahead.is_empty() {
            self.read_ahead = Vec::new();
        }
        self.body_bytes = body_bytes;
        self.recount_buffers();
    }

    /// Records that the caller's connection begins to wait for bytes, or has got enough of them. Returns false if it was
    /// revoked.
    pub(super) fn record_progress(&self) -> bool {
        self.holding.as_ref().is_none_or(Holding::record_progress)
    }

    /// Records that a request has come whole. Returns false if the connection was revoked.
    pub(super) fn begin_serving(&self) -> bool {
        self.holding.as_ref().is_none_or(Holding::begin_serving)
    }

    /// Waits until the connection is revoked, since its bytes or its place are needed.
    pub(super) fn revocation(&self) -> impl Future<Output = ()> + Send + use<> {
        let revocation = self.holding.as_ref().map(Holding::revocation);
        async move {
            match revocation {
                Some(revocation) => revocation.await,
                None => future::pending().await,
            }
        }
    }

    /// Returns whether bytes were discarded, so that the next request can't be read.
    pub(super) fn has_discarded(&self) -> bool {
        self.has_discarded
    }

    /// Waits for the first byte. Returns false if the connection ended instead.
    pub async fn wait_for_data(&mut self) -> bool {
        !self.read_ahead.is_empty() || matches!(self.fill().await, Ok(1..) | Err(Cut::Full))
    }

    /// Waits until the peer disconnects and buffers what it sends meanwhile. Bytes beyond the limit are discarded; no
    /// further request can be read then.
    pub async fn wait_for_disconnect(&mut self) {
        loop {
            match self.fill().await {
                Ok(0) | Err(Cut::Closed | Cut::Broken(_)) => return,
                Ok(_) if self.has_discarded || self.read_ahead.len() > MAX_READ_AHEAD_BYTES => {
                    self.discard_read_ahead();
                }
                Ok(_) => {}
                Err(Cut::Full | Cut::Abandoned | Cut::Malformed(_) | Cut::TooLarge) => {
                    self.discard_read_ahead()
                }
            }
        }
    }

    fn discard_read_ahead(&mut self) {
        self.has_discarded = true;
        self.read_ahead = Vec::new();
        self.recount_buffers();
    }

    /// Reads a request head of at most `limit` bytes.
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Cut> {
        loop {
            if let Some((request, length)) = Request::parse(&self.read_ahead)? {
                if length > limit {
                    return Err(Cut::TooLarge);
                }
                self.read_ahead.drain(..length);
                return Ok(request);
            }
            self.read_more_head(limit).await?;
        }
    }

    /// Reads the head of the final answer and skips informational (1xx) ones.
    pub async fn read_response(&mut self, answers_head: bool) -> Result<Response, Cut> {
        let mut skipped = 0;
        loop {
            let (response, length) = self.read_head(answers_head).await?;
            if response.status >= 200 {
                return Ok(response);
            }
            skipped += length;
            if skipped > MAX_ANSWER_HEAD_BYTES {
                return Err(Cut::TooLarge);
            }
        }
    }

    /// Reads the head of the next answer, informational or final.
    pub(super) async fn read_any_response(&mut self, answers_head: bool) -> Result<Response, Cut> {
        let (response, _) = self.read_head(answers_head).await?;
        Ok(response)
    }

    /// Reads the head of the next answer. Returns it with its length in bytes.
    async fn read_head(&mut self, answers_head: bool) -> Result<(Response, usize), Cut> {
        loop {
            if let Some((response, length)) = Response::parse(&self.read_ahead, answers_head)? {
                self.read_ahead.drain(..length);
                return Ok((response, length));
            }
            self.read_more_head(MAX_ANSWER_HEAD_BYTES).await?;
        }
    }

    /// Reads more of a head of at most `limit` bytes.
    async fn read_more_head(&mut self, limit: usize) -> Result<(), Cut> {
        if self.read_ahead.len() > limit {
            return Err(Cut::TooLarge);
        }
        match self.fill().await? {
            0 if self.read_ahead.is_empty() => Err(Cut::Closed),
            0 => Err(Cut::Broken("the connection ended within a head".into())),
            _ => Ok(()),
        }
    }

    /// Discards bytes up to the next one from which an answer may begin, at most `limit` and at least one. Returns their
    /// number.
    pub(super) async fn skip_to_head(&mut self, limit: usize) -> Result<usize, Cut> {
        let mut skipped = 1.min(self.read_ahead.len());
        self.read_ahead.drain(..skipped);
        loop {
            let start = self.read_ahead.windows(HEAD_START.len()).position(|w| w == HEAD_START);
            let whole = self.read_ahead.len().saturating_sub(HEAD_START.len() - 1);
            let noise = start.unwrap_or(whole);
            self.read_ahead.drain(..noise);
            skipped += noise;
            if start.is_some() {
                return Ok(skipped);
            }
            if skipped > limit {
                return Err(Cut::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(Cut::Broken("the connection ended before an answer".into()));
            }
        }
    }

    /// Waits for body bytes and appends them to `output`. Returns false if the body was already
    /// complete or ended with the connection.
    pub async fn read_body(
        &mut self,
        decoder: &mut Decoder,
        output: &mut Vec<u8>,
    ) -> Result<bool, Cut> {
        if decoder.is_complete() {
            return Ok(false);
        }
        let before = output.len();
        loop {
            let used = decoder.decode(&self.read_ahead, output)?;
            self.read_ahead.drain(..used);
            if output.len() > before || decoder.is_complete() {
                return Ok(true);
            }
            if self.fill().await? == 0 {
                return match decoder.completes_on_close() {
                    true if self.has_failed() => {
                        Err(Cut::Broken("the connection was reset".into()))
                    }
                    true => Ok(false),
                    false => Err(Cut::Broken("the connection ended within a body".into())),
                };
            }
        }
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
