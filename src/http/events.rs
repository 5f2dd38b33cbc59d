//! Server-sent events of bounded size.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_sse::Decoder;
use futures_lite::AsyncRead;
use futures_lite::io::BufReader;

/// Maximum size of an event, many times that of the largest chunk of a completion. The decoder keeps an event until its empty
/// line.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A reader that ends within an event that is too large, as if its connection had ended there.
#[derive(Debug)]
pub struct Bounded<R> {
    inner: R,
    /// Number of bytes since the last empty line.
    event_bytes: usize,
    /// Whether the current line has no byte yet.
    is_line_empty: bool,
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same line break.
    is_after_return: bool,
    is_ended: bool,
}

/// Decodes the events of `reader`, up to the first that has more than 1 MiB.
///
/// ```
/// use futures_lite::{StreamExt, future::block_on, io::Cursor};
/// let mut events = cardamomvalve::http::events::decode(Cursor::new(b"id: 1\ndata: a\n\n"));
/// let event = block_on(events.next()).expect("an event");
/// assert!(matches!(event, Ok(async_sse::Event::Message(message)) if message.data() == b"a"));
/// ```
pub fn decode<R: AsyncRead + Unpin>(reader: R) -> Decoder<BufReader<Bounded<R>>> {
    let bounded = Bounded {
        inner: reader,
        event_bytes: 0,
        is_line_empty: true,
        is_after_return: false,
        is_ended: false,
    };
    async_sse::decode(BufReader::new(bounded))
}

impl<R> Bounded<R> {
    fn count(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if self.is_after_return => {}
                b'\n' | b'\r' if self.is_line_empty => self.event_bytes = 0,
                b'\n' | b'\r' => self.is_line_empty = true,
                _ => {
                    self.is_line_empty = false;
                    self.event_bytes += 1;
                }
            }
            self.is_after_return = *byte == b'\r';
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Bounded<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_ended {
            return Poll::Ready(Ok(0));
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = &read {
            self.count(&buf[..*count]);
            if self.event_bytes > MAX_EVENT_BYTES {
                self.is_ended = true;
                return Poll::Ready(Ok(0));
            }
        }
        read
    }
}
