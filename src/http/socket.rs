//! A TCP connection that counts its bytes and times out on an idle peer.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};

use crate::memory::Holding;
use crate::prelude::*;

/// Delay after a failed accept, so that file descriptors can become available again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const HEAD_END: &[u8; 4] = b"\r\n\r\n";
/// Maximum size of a head with what is read in one piece with its end. The HTTP library takes 8 KiB, but counts only once a line
/// has ended.
const MAX_HEAD_BYTES: u64 = 16 << 10;
/// Number of bytes read from a connection after which other tasks run although more are there.
const MAX_BYTES_WITHOUT_YIELD: usize = 64 << 10;

/// Scanner that finds the end of the current exchange's head in the bytes read.
#[derive(Debug, Default)]
struct Scanner {
    bytes_read: u64,
    matched_bytes: usize,
    head_length: Option<u64>,
    /// Number of bytes of the current line, until the first empty one.
    line_bytes: u64,
    /// Whether a line was empty, whichever line breaks are used.
    has_empty_line: bool,
}

impl Scanner {
    fn scan_lines(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                _ if self.has_empty_line => return,
                b'\r' => {}
                b'\n' => self.has_empty_line = std::mem::take(&mut self.line_bytes) == 0,
                _ => self.line_bytes += 1,
            }
        }
    }

    /// Returns whether the head has more bytes than any that is taken, after these more bytes.
    fn exceeds_head(&mut self, bytes: &[u8]) -> bool {
        self.scan_lines(bytes);
        !self.has_empty_line && self.bytes_read > MAX_HEAD_BYTES
    }

    fn scan(&mut self, bytes: &[u8]) {
        let before = self.bytes_read;
        self.bytes_read += bytes.len() as u64;
        if self.head_length.is_some() {
            return;
        }
        for (index, byte) in bytes.iter().enumerate() {
            self.matched_bytes = match *byte {
                byte if byte == HEAD_END[self.matched_bytes] => self.matched_bytes + 1,
                b'\r' => 1,
                _ => 0,
            };
            if self.matched_bytes == HEAD_END.len() {
                self.head_length = Some(before + index as u64 + 1);
                return;
            }
        }
    }
}

#[derive(Debug)]
struct Shared {
    stream: Async<TcpStream>,
    bytes_written: AtomicU64,
    scanner: Mutex<Scanner>,
    /// What a caller's connection holds of the daemon's memory.
    holding: Option<Holding>,
}

/// A connection. Clones share it, but each has its own idle timers.
#[derive(Debug)]
pub struct Socket {
    shared: Arc<Shared>,
    idle_timeout: Duration,
    read_timer: Option<Timer>,
    write_timer: Option<Timer>,
    /// Whether a read fails once the head is too large, and lets other tasks run where many bytes are there.
    bounds_reads: bool,
    /// Number of bytes read since other tasks could last run.
    unyielded: usize,
}

impl Socket {
    /// Wraps `stream`. A read or write that waits longer than `idle_timeout` fails.
    pub fn new(stream: Async<TcpStream>, idle_timeout: Duration) -> Self {
        Self::with_holding(stream, idle_timeout, None)
    }

    /// Wraps the connection of a caller, whose requests are counted in `holding`.
    pub fn of_caller(stream: Async<TcpStream>, idle_timeout: Duration, holding: Holding) -> Self {
        Self::with_holding(stream, idle_timeout, Some(holding)).with_bounded_reads()
    }

    /// Has reads fail once a message's head is larger than any that is taken, and let other tasks run where many bytes are there.
    pub fn with_bounded_reads(self) -> Self {
        Self { bounds_reads: true, ..self }
    }

    fn with_holding(
        stream: Async<TcpStream>,
        idle_timeout: Duration,
        holding: Option<Holding>,
    ) -> Self {
        stream.get_ref().set_nodelay(true).ok();
        let shared = Shared {
            stream,
            bytes_written: AtomicU64::new(0),
            scanner: Mutex::new(Scanner::default()),
            holding,
        };
        Self::over(Arc::new(shared), idle_timeout, false)
    }

    fn over(shared: Arc<Shared>, idle_timeout: Duration, bounds_reads: bool) -> Self {
        let (read_timer, write_timer, unyielded) = (None, None, 0);
        Self { shared, idle_timeout, read_timer, write_timer, bounds_reads, unyielded }
    }

    /// Connects to `address` within `timeout`.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
        idle_timeout: Duration,
    ) -> io::Result<Self> {
        let connect = Async::<TcpStream>::connect(address);
        let expire = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        Ok(Self::new(connect.or(expire).await?, idle_timeout))
    }

    /// Returns the number of bytes written in the current exchange, as accepted by the kernel.
    pub fn bytes_written(&self) -> u64 {
        self.shared.bytes_written.load(Ordering::Acquire)
    }

    /// Returns what a caller's connection holds of the daemon's memory.
    pub fn holding(&self) -> Option<&Holding> {
        self.shared.holding.as_ref()
    }

    /// Starts a new exchange and resets the counters.
    pub fn begin_exchange(&self) {
        if let Some(holding) = self.holding() {
            holding.set(0).ok();
            holding.record_progress();
        }
        self.shared.bytes_written.store(0, Ordering::Release);
        if let Ok(mut scanner) = self.shared.scanner.lock() {
            *scanner = Scanner::default();
        }
    }

    /// Returns the number of bytes read past the head of the current exchange.
    pub fn read_past_head(&self) -> u64 {
        let Ok(scanner) = self.shared.scanner.lock() else {
            return 0;
        };
        scanner.head_length.map_or(0, |length| scanner.bytes_read - length)
    }

    /// Returns whether a complete head has been read in the current exchange.
    pub fn has_head(&self) -> bool {
        self.shared.scanner.lock().is_ok_and(|scanner| scanner.head_length.is_some())
    }

    /// Returns whether any byte has been read in the current exchange.
    pub fn has_bytes(&self) -> bool {
        self.shared.scanner.lock().is_ok_and(|scanner| scanner.bytes_read > 0)
    }
}

impl Clone for Socket {
    fn clone(&self) -> Self {
        Self::over(Arc::clone(&self.shared), self.idle_timeout, self.bounds_reads)
    }
}

/// Returns a timeout error once `idle_timeout` has passed since the first call with an empty `timer`.
fn poll_idle_timeout<T>(
    timer: &mut Option<Timer>,
    idle_timeout: Duration,
    cx: &mut Context<'_>,
) -> Poll<io::Result<T>> {
    let timer = timer.get_or_insert_with(|| Timer::after(idle_timeout));
    match timer.poll(cx) {
        Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        Poll::Pending => Poll::Pending,
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.bounds_reads && this.unyielded >= MAX_BYTES_WITHOUT_YIELD {
            this.unyielded = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        match Pin::new(&mut &this.shared.stream).poll_read(cx, buf) {
            Poll::Ready(result) => {
                this.read_timer = None;
                if let (Ok(count), Ok(mut scanner)) = (&result, this.shared.scanner.lock()) {
                    this.unyielded += count;
                    scanner.scan(&buf[..*count]);
                    if this.bounds_reads && scanner.exceeds_head(&buf[..*count]) {
                        let reason = "the head is too large";
                        return Poll::Ready(Err(io::Error::new(
                            io::ErrorKind::InvalidData,
                            reason,
                        )));
                    }
                }
                Poll::Ready(result)
            }
            Poll::Pending => {
                this.unyielded = 0;
                poll_idle_timeout(&mut this.read_timer, this.idle_timeout, cx)
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        match Pin::new(&mut &this.shared.stream).poll_write(cx, buf) {
            Poll::Ready(result) => {
                this.write_timer = None;
                if let Ok(count) = &result {
                    this.shared.bytes_written.fetch_add(*count as u64, Ordering::AcqRel);
                }
                Poll::Ready(result)
            }
            Poll::Pending => poll_idle_timeout(&mut this.write_timer, this.idle_timeout, cx),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.shared.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.shared.stream).poll_close(cx)
    }
}

/// Accepts the next connection to `listener`, and retries after failures.
pub async fn accept(listener: &Async<TcpListener>) -> Async<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => {
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
