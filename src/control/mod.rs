//! The composed decision state of one daemon.
//!
//! [`Node::apply`] takes a message and the time and returns what is to be done. It has no socket,
//! clock, thread or randomness of its own, so the daemon, a replay in virtual time and a history
//! check all drive the same code.

mod arrivals;
mod candidates;
mod claims;
mod dispatch;
mod message;
mod node;
mod orders;
mod outcomes;
mod peers;
mod platform;
mod poison;
mod status;
#[cfg(test)]
mod tests;

pub use message::{AppendResult, Effect, Message, Read, Record, Stream};
pub use node::{Counts, Identity, Node, Policy};
pub use status::{CandidateStatus, ServerStatus, Status};
