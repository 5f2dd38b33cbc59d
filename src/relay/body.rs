//! Framing and decoding of message bodies.

use super::{Fields, Malformed};

/// Maximum size of a trailer; none is passed on.
const MAX_TRAILER_BYTES: usize = 16 << 10;
/// Maximum length of a line of chunked framing.
const MAX_CHUNK_LINE_BYTES: usize = 1_024;

/// Framing of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Delimited by its length in bytes.
    Length(u64),
    /// Encoded in chunks.
    Chunked,
    /// Delimited by the end of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the name of the framing, for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until-close",
        }
    }

    /// Returns the framing of a request with these fields.
    pub fn of_request(fields: &Fields) -> Result<Self, Malformed> {
        Ok(declared_framing(fields)?.unwrap_or(Self::Length(0)))
    }

    /// Returns the framing of an answer with these fields.
    pub fn of_response(fields: &Fields) -> Result<Self, Malformed> {
        Ok(declared_framing(fields)?.unwrap_or(Self::UntilClose))
    }
}

/// Returns the framing that the fields declare. Contradictions are errors: another reader could
/// resolve them differently and parse a second request out of the body.
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

/// State of a decoder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// This many bytes of a body with a declared length remain.
    Length(u64),
    /// The line with a chunk's size is next.
    ChunkSize,
    /// This many bytes of a chunk remain.
    ChunkData(u64),
    /// The line break after a chunk is next.
    ChunkEnd,
    /// Trailer lines are next.
    Trailer,
    /// The body ends with its connection.
    UntilClose,
    /// The body is complete.
    Complete,
}

/// Incremental decoder that removes a body's framing.
#[derive(Debug)]
pub struct Decoder {
    state: State,
    /// Size of the trailer so far.
    trailer_bytes: usize,
}

impl Decoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, trailer_bytes: 0 }
    }

    /// Returns the number of bytes that a body with a declared length still has.
    pub(super) fn bytes_left(&self) -> Option<u64> {
        match self.state {
            State::Length(left) => Some(left),
            State::Complete => Some(0),
            _ => None,
        }
    }

    /// Returns whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns whether the end of the connection completes the body.
    pub fn completes_on_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Appends decoded bytes from the front of `input` to `output`. Returns the number of bytes of
    /// `input` that were consumed; bytes after a complete body are not.
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
            let step = match self.state {
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
        self.state = if left == 0 { finished } else { unfinished(left) };
        count
    }

    /// Decodes one line of chunked framing. Returns its length, or 0 if it is incomplete.
    fn decode_line(&mut self, input: &[u8]) -> Result<usize, Malformed> {
        let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
            let long = input.len() > MAX_CHUNK_LINE_BYTES;
            return if long { Err(Malformed("a chunk line is too long".into())) } else { Ok(0) };
        };
        if self.state == State::Trailer {
            self.trailer_bytes += end + 2;
            if self.trailer_bytes > MAX_TRAILER_BYTES {
                return Err(Malformed("the trailer is too long".into()));
            }
        }
        self.state = match self.state {
            State::ChunkSize => match parse_chunk_size(&input[..end + 2])? {
                0 => State::Trailer,
                size => State::ChunkData(size),
            },
            State::ChunkEnd if end == 0 => State::ChunkSize,
            State::ChunkEnd => return Err(Malformed("a chunk is longer than its size".into())),
            State::Trailer if end == 0 => State::Complete,
            state => state,
        };
        Ok(end + 2)
    }
}

/// Parses a line with a chunk's size. `httparse` takes a line without digits for the size 0, which would end the body.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let has_size = line.first().is_some_and(u8::is_ascii_hexdigit);
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, size))) if has_size => Ok(size),
        _ => Err(Malformed("a chunk's size is not well-formed".into())),
    }
}
