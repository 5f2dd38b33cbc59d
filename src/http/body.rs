//! Reads complete bodies and checks them against the declared framing.

use futures_lite::{AsyncRead, AsyncReadExt};
use http_types::headers::{CONTENT_LENGTH, Headers, TRANSFER_ENCODING};

use crate::memory::Holding;
use crate::prelude::*;

/// Number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Number of bytes of a body that count as progress.
const PROGRESS_BYTES: usize = 64 << 10;

/// Framing of a message's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Delimited by its length in bytes.
    Length(u64),
    /// Encoded in chunks.
    Chunked,
    /// Neither a length nor chunked coding is declared.
    Absent,
}

/// Reads the framing from the headers. Contradictions and unsupported codings are errors.
pub fn framing(headers: &Headers) -> Result<Framing> {
    let length = declared_length(headers)?;
    let coding = headers.get(TRANSFER_ENCODING);
    match (length, coding) {
        (Some(_), Some(_)) => {
            Err(Error::new(Code::ConflictingLength, "both length and transfer coding are given"))
        }
        (Some(length), None) => Ok(Framing::Length(length)),
        (None, None) => Ok(Framing::Absent),
        (None, Some(coding)) => {
            let mut values = coding.iter();
            let chunked = values.next().is_some_and(|v| v.as_str().eq_ignore_ascii_case("chunked"));
            if chunked && values.next().is_none() {
                Ok(Framing::Chunked)
            } else {
                Err(Error::new(
                    Code::ConflictingLength,
                    "only the transfer coding chunked is taken",
                ))
            }
        }
    }
}

fn declared_length(headers: &Headers) -> Result<Option<u64>> {
    let Some(values) = headers.get(CONTENT_LENGTH) else {
        return Ok(None);
    };
    let mut declared = None;
    for part in values.iter().flat_map(|value| value.as_str().split(',')) {
        let digits = part.trim();
        let length = digits
            .parse::<u64>()
            .ok()
            .filter(|_| digits.bytes().all(|byte| byte.is_ascii_digit()))
            .ok_or_else(|| Error::new(Code::ConflictingLength, "Content-Length is no number"))?;
        if declared.is_some_and(|other| other != length) {
            return Err(Error::new(Code::ConflictingLength, "two Content-Lengths differ"));
        }
        declared = Some(length);
    }
    Ok(declared)
}

/// Error in reading a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body ended early or its connection failed.
    Truncated(String),
    /// The daemon has no memory for the body.
    Full,
}

/// Reads a complete body of at most `limit` bytes and checks its length against `framing`. Its buffer is counted in
/// `holding`, if there is one, before it grows.
pub async fn read<R: AsyncRead + Unpin>(
    reader: R,
    framing: Framing,
    limit: u64,
    holding: Option<&Holding>,
) -> Result<Vec<u8>, ReadError> {
    if let Framing::Length(length) = framing
        && length > limit
    {
        return Err(ReadError::TooLarge);
    }
    let (mut body, mut chunk) = (Vec::new(), vec![0; READ_CHUNK_BYTES]);
    let mut bounded = reader.take(limit + 1);
    let mut progress = 0;
    loop {
        let read = bounded.read(&mut chunk).await;
        let read = read.map_err(|error| ReadError::Truncated(error.to_string()))?;
        if read == 0 {
            break;
        }
        make_room(&mut body, read, holding).await?;
        body.extend_from_slice(&chunk[..read]);
        progress += read;
        if progress >= PROGRESS_BYTES {
            progress = 0;
            holding.map(Holding::record_progress);
        }
    }
    let count = body.len() as u64;
    if count > limit {
        return Err(ReadError::TooLarge);
    }
    match framing {
        Framing::Length(length) if length != count => {
            Err(ReadError::Truncated(format!("{count} of {length} bytes arrived")))
        }
        _ => Ok(body),
    }
}

/// Makes room for `more` bytes. A buffer that grows gets twice its size.
async fn make_room(
    body: &mut Vec<u8>,
    more: usize,
    holding: Option<&Holding>,
) -> Result<(), ReadError> {
    let needed = body.len() + more;
    if needed <= body.capacity() {
        return Ok(());
    }
    let capacity = needed.max(2 * body.capacity());
    if let Some(holding) = holding {
        holding.grow_to(capacity).await.map_err(|_| ReadError::Full)?;
    }
    body.reserve_exact(capacity - body.len());
    Ok(())
}
