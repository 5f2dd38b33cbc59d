//! A server's answer whose head was read: its body, and what proves the end of that.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;

use async_io::Timer;

use super::exchange::{CONNECT_TIMEOUT, RESET_DELAY};
use super::{Conn, Cut, Decoder, Pool, Response};

/// The head of an answer whose body is still to be read.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub response: Response,
    /// Decoder of the body.
    pub decoder: Decoder,
    address: SocketAddr,
    conn: Conn,
    /// Whether the answer is to a HEAD request.
    answers_head: bool,
    /// Whether the end of the connection was seen and is the end of the body.
    is_ended: bool,
    /// The connection that showed that the server is alive, for its next request.
    next_conn: Option<Conn>,
}

impl Answer {
    pub(super) fn new(
        response: Response,
        address: SocketAddr,
        conn: Conn,
        answers_head: bool,
    ) -> Self {
        let decoder = Decoder::new(response.framing);
        let (is_ended, next_conn) = (false, None);
        Self { response, decoder, address, conn, answers_head, is_ended, next_conn }
    }

    /// Waits for body bytes and appends them to `output`. Returns false once the body is complete.
    pub async fn read(&mut self, output: &mut Vec<u8>) -> Result<bool, Cut> {
        let more = self.conn.read_body(&mut self.decoder, output).await?;
        if !more && self.decoder.completes_on_close() && !self.is_ended {
            self.confirm_end().await?;
            self.is_ended = true;
        }
        Ok(more)
    }

    /// Fails if the end of the connection is not that of the body, for an answer that states no end of its own.
    ///
    /// A server that closes a connection before it has got all of the request ends it in good order, and resets it at the next
    /// bytes that arrive. The kernel ends the connections of a process that was killed in good order, too, and refuses new ones from
    /// then on. A server that can't be reached has ended the connection itself.
    async fn confirm_end(&mut self) -> Result<(), Cut> {
        let liveness = Liveness::of(self.address).await;
        if self.conn.has_failed() {
            return Err(Cut::Broken("the connection was reset after its end".into()));
        }
        match liveness {
            Liveness::Ended => return Err(Cut::Abandoned),
            Liveness::Unknown => {}
            Liveness::Alive(conn) => self.next_conn = Some(conn),
        }
        Ok(())
    }

    /// Reads the rest of the body, at most `limit` bytes.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Vec<u8>, Cut> {
        let mut body = Vec::new();
        while self.read(&mut body).await? {
            if body.len() > limit {
                return Err(Cut::TooLarge);
            }
        }
        Ok(body)
    }

    /// Returns a reusable connection to `pool`, which keeps at most `max_idle` per server: that of the answer, or the one that
    /// was opened at its end.
    pub fn release(self, pool: &Pool, max_idle: usize) {
        if let Some(conn) = self.next_conn {
            return pool.put(self.address, conn, &self.response.fields, max_idle);
        }
        let is_reusable = self.response.keep_alive
            && self.decoder.is_complete()
            && !self.conn.has_failed_write()
            // A late copy of an answer to HEAD declares a body that does not follow.
            && !self.answers_head;
        if is_reusable {
            pool.put(self.address, self.conn, &self.response.fields, max_idle);
        }
    }
}

/// Whether a server is alive after an answer.
enum Liveness {
    /// It has accepted this connection.
    Alive(Conn),
    /// Its port refuses connections.
    Ended,
    /// It was not reached, or takes no more connections.
    Unknown,
}

impl Liveness {
    /// Connects to the server at `address`. Takes [`RESET_DELAY`] and more, so that a reset that is on its way has arrived.
    async fn of(address: SocketAddr) -> Self {
        let conn = match Conn::connect(address, CONNECT_TIMEOUT).await {
            Ok(conn) => conn,
            Err(error) => return Self::of_failed_connect(&error),
        };
        Timer::after(RESET_DELAY).await;
        if !conn.has_unexpected_input() {
            return Self::Alive(conn);
        }
        // A server with too many connections resets further ones, one that ends those that it has not accepted.
        match Conn::connect(address, CONNECT_TIMEOUT).await {
            Ok(_) => Self::Unknown,
            Err(error) => Self::of_failed_connect(&error),
        }
    }

    fn of_failed_connect(error: &Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused => Self::Ended,
            _ => Self::Unknown,
        }
    }
}
