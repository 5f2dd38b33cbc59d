//! Requests that end the servers which run them: how they are recognised, and that they are refused.
//!
//! A server that ends breaks every request that runs there. One of them may be the cause, and comes again: its
//! caller sends it anew under another id, to any daemon. So each end of a server is noted with the fingerprints
//! of the requests that broke there ([`Detector`], [`Interruption`]); a fingerprint that is found at several ends, and
//! was never answered since, is blocked everywhere ([`State`]). An end at which a blocked request was present
//! is explained by it and counts against no other, so requests that merely ran beside it are served.

mod detector;
mod evidence;
mod fingerprint;
mod incarnation;
mod message;
mod record;
mod state;
#[cfg(test)]
mod tests;
mod wire;

pub use detector::{Answer, Detector, Disconnect, Endpoint, Probe, Steps};
pub use evidence::Evidence;
pub use fingerprint::Fingerprint;
pub use incarnation::Incarnation;
pub use message::{Blocked, Interruption, Message};
pub use record::Record;
pub use state::{BLOCK_DURATION, State};
pub(crate) use wire::{Message as WireMessage, blocks_from_wire, blocks_to_wire};
