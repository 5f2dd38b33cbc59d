//! Bodies that are read to their end.

use super::{Conn, Cut, READ_CHUNK_BYTES};
use crate::memory::Full;
use crate::relay::{Decoder, Framing};

impl Conn {
    /// Reads on until the body is complete or has `more` bytes more. A buffer grows only once it is counted.
    ///
    /// Fails if the body has more than `limit` bytes. Returns whether it is incomplete.
    pub(in crate::relay) async fn read_part(
        &mut self,
        decoder: &mut Decoder,
        body: &mut Vec<u8>,
        more: usize,
        limit: usize,
    ) -> Result<bool, Cut> {
        let end = body.len().saturating_add(more);
        while body.len() < end {
            self.make_room(body, decoder.bytes_left(), limit).await?;
            if !self.read_body(decoder, body).await? {
                return Ok(false);
            }
            if body.len() > limit {
                return Err(Cut::TooLarge);
            }
        }
        Ok(!decoder.is_complete())
    }

    /// Makes room in `body` for the bytes that were read ahead and those of one more read. `left` is the number of bytes that
    /// the body still has, if that is known. A buffer that grows gets twice its size.
    async fn make_room(
        &mut self,
        body: &mut Vec<u8>,
        left: Option<u64>,
        limit: usize,
    ) -> Result<(), Full> {
        let left = left.map_or(usize::MAX, |left| usize::try_from(left).unwrap_or(usize::MAX));
        let needed = body.len() + left.min(self.read_ahead.len() + READ_CHUNK_BYTES);
        if needed <= body.capacity() {
            return Ok(());
        }
        let capacity = (2 * body.capacity()).min(limit + READ_CHUNK_BYTES).max(needed);
        self.body_bytes = capacity;
        self.count_buffers().await?;
        body.reserve_exact(capacity - body.len());
        Ok(())
    }

    /// Reads a body of at most `limit` bytes to its end and drops it.
    pub(in crate::relay) async fn discard_body(
        &mut self,
        framing: Framing,
        limit: usize,
    ) -> Result<(), Cut> {
        if matches!(framing, Framing::Length(length) if length > limit as u64) {
            return Err(Cut::TooLarge);
        }
        let (mut decoder, mut part, mut length) = (Decoder::new(framing), Vec::new(), 0);
        while self.read_body(&mut decoder, &mut part).await? {
            length += part.len();
            part.clear();
            if length > limit {
                return Err(Cut::TooLarge);
            }
        }
        Ok(())
    }

    /// Reads a complete body of at most `limit` bytes.
    pub async fn read_whole(&mut self, framing: Framing, limit: usize) -> Result<Vec<u8>, Cut> {
        if matches!(framing, Framing::Length(length) if length > limit as u64) {
            return Err(Cut::TooLarge);
        }
        let mut decoder = Decoder::new(framing);
        let mut body = Vec::new();
        self.read_part(&mut decoder, &mut body, usize::MAX, limit).await?;
        Ok(body)
    }
}
