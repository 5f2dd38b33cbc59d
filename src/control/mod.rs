//! The composed decision state of one daemon.
//!
//! [`Node::apply`] takes a message and the time and returns the effects to carry out. It uses no
//! socket, clock, thread or randomness. The daemon, a replay in virtual time and a history check
//! all drive the same code.

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
