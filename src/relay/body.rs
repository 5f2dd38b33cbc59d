//! Bodies: how they are delimited, and their bytes freed of it.

use super::{Fields, Malformed};

/// Bytes that a line of chunked framing may have.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// The framing of a request with these fields.
    pub fn of_request(fields: &Fields) -> Result<Self, Malformed> {
        Ok(declared_framing(fields)?.unwrap_or(Self::Length(0)))
    }

    /// The framing of an answer with these fields.
    pub fn of_response(fields: &Fields) -> Result<Self, Malformed> {
        Ok(declared_framing(fields)?.unwrap_or(Self::UntilClose))
    }
}

/// The framing that the fields declare. Contradictions are errors, since another reader could
/// resolve them otherwise and see another request in the body.
fn declared_framing(fields: &Fields) -> Result<Option<Framing>, Malformed> {
    let mut lengths = fields.all("content-length");
    let mut codings = fields.all("transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(Malformed("the length is declared twice".into()));
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(Malformed("both length and transfer coding are given".into())),
        (None, None) => Ok(None),
        (None, Some(coding)) if coding.trim().eq_ignore_ascii_case("chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(Malformed("only the transfer coding chunked is taken".into())),
        (Some(length), None) => {
            let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
            let length = length.parse().ok().filter(|_| digits);
            let length = length.ok_or_else(|| Malformed("Content-Length is no number".into()))?;
            Ok(Some(Framing::Length(length)))
        }
    }
}

/// Where a decoder stands in a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// So many bytes of a body with a length are missing.
    Length(u64),
    /// The line with a chunk's size comes next.
    ChunkSize,
    /// So many bytes of a chunk are missing.
    ChunkData(u64),
    /// The line break after a chunk comes next.
    ChunkEnd,
    /// Trailer lines come next.
    Trailer,
    /// The body ends with its connection.
    UntilClose,
    /// The body is complete.
    Complete,
}

/// Frees a body's bytes of their framing, as they come.
#[derive(Debug)]
pub struct Decoder(State);

impl Decoder {
    /// A decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.0 == State::Complete
    }

    /// Whether the end of the connection completes the body.
    pub fn completes_on_close(&self) -> bool {
        self.0 == State::UntilClose
    }

    /// Moves the body's bytes from the front of `input` to `output`; returns how many bytes of
    /// `input` were used. What follows a complete body is left.
    ///
    /// ```
    /// use cardamomvalve::relay::{Decoder, Framing};
    /// let mut decoder = Decoder::new(Framing::Chunked);
    /// let mut output = Vec::new();
    /// let used = decoder.decode(b"3\r\nabc\r\n0\r\n\r\nHTTP", &mut output).expect("well-formed");
    /// assert_eq!((used, output.as_slice(), decoder.is_complete()), (13, &b"abc"[..], true));
    /// ```
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, Malformed> {
        let mut used = 0;
        loop {
            let rest = &input[used..];
            let step = match self.0 {
                State::Complete => return Ok(used),
                State::Length(left) => {
                    self.copy(rest, left, output, State::Length, State::Complete)
                }
                State::ChunkData(left) => {
                    self.copy(rest, left, output, State::ChunkData, State::ChunkEnd)
                }
                State::UntilClose => {
                    output.extend_from_slice(rest);
                    rest.len()
                }
                State::ChunkSize | State::ChunkEnd | State::Trailer => self.decode_line(rest)?,
            };
            if step == 0 {
                return Ok(used);
            }
            used += step;
        }
    }

    fn copy(
        &mut self,
        input: &[u8],
        left: u64,
        output: &mut Vec<u8>,
        unfinished: impl Fn(u64) -> State,
        finished: State,
    ) -> usize {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
        output.extend_from_slice(&input[..count]);
        let left = left - count as u64;
        self.0 = if left == 0 { finished } else { unfinished(left) };
        count
    }

    /// Takes one line of chunked framing; returns its length, 0 while it is incomplete.
    fn decode_line(&mut self, input: &[u8]) -> Result<usize, Malformed> {
        let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
            let long = input.len() > MAX_CHUNK_LINE_BYTES;
            return if long { Err(Malformed("a chunk line is too long".into())) } else { Ok(0) };
        };
        self.0 = match self.0 {
            State::ChunkSize => match httparse::parse_chunk_size(&input[..end + 2]) {
                Ok(httparse::Status::Complete((_, 0))) => State::Trailer,
                Ok(httparse::Status::Complete((_, size))) => State::ChunkData(size),
                _ => return Err(Malformed("a chunk's size is not well-formed".into())),
            },
            State::ChunkEnd if end == 0 => State::ChunkSize,
            State::ChunkEnd => return Err(Malformed("a chunk is longer than its size".into())),
            State::Trailer if end == 0 => State::Complete,
            state => state,
        };
        Ok(end + 2)
    }
}
