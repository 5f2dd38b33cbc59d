//! Strict validation around the lenient HTTP library.
//!
//! This module rejects what the library accepts: bodies shorter than their declared length,
//! contradictory lengths, answers with neither length nor chunked coding, pipelined bytes, and
//! peers that neither read nor write.

pub mod body;
pub mod client;
pub mod events;
pub mod header;
pub mod server;
mod socket;
#[cfg(test)]
mod tests;

pub use socket::{Socket, accept};
