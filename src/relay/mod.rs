//! Byte-for-byte relay of requests and answers over HTTP/1.1.
//!
//! The parser is `httparse`. `async-h1`, which the rest of the program uses, does not read from a
//! caller while it answers, treats an answer delimited by connection close as empty, and accepts a
//! truncated body as complete; see `docs/HOUSE-STYLE.md`.

mod answer;
mod body;
mod caller;
mod conn;
mod continuation;
mod delivery;
mod dialect;
mod drain;
mod events;
mod exchange;
mod handover;
mod head;
mod incoming;
mod intake;
mod matching;
mod passing;
mod pool;
mod span;
mod summary;
mod takeover;
#[cfg(test)]
mod tests;

pub use body::{Decoder, Framing};
pub use caller::{Frontend, refuse, serve, serve_peer};
pub use conn::{Conn, Cut, bound_unread_bytes};
pub use dialect::{Classification, Dialect, Metadata};
pub use drain::drain;
pub use events::Events;
pub use exchange::{Call, Correlation, Failure, fetch, probe, probe_path};
pub use head::{Fields, Malformed, Request, Response};
pub use incoming::Answer;
pub use pool::Pool;
