//! Detects requests that crash backend servers, and blocks them.
//!
//! A crash breaks every request that was running at the server. One of them may be the cause, and
//! returns: its caller retries it under another id, at any daemon. Each crash is therefore recorded
//! with the fingerprints of the requests that it interrupted ([`Detector`], [`Interruption`]). A
//! fingerprint that was present at several crashes and was never answered since is blocked by all
//! daemons ([`State`]). A crash at which a blocked request was present is attributed to that
//! request and counts against no other, so requests that merely ran beside it are served.
//!
//! The cause may also be a part that the prompts of many different requests share. Such a part is blocked in the same
//! way, and with it all requests that have it, unless any answer begins on it.

mod detector;
mod evidence;
mod explanation;
mod fingerprint;
mod incarnation;
mod judgement;
mod message;
mod part;
mod record;
mod state;
#[cfg(test)]
mod tests;
mod wire;

pub use detector::{Answer, Detector, Disconnect, Endpoint, Finding, Outcome, Probe, Steps};
pub use evidence::Evidence;
pub use fingerprint::Fingerprint;
pub use incarnation::Incarnation;
pub use message::{Blocked, Interruption, Message};
pub use record::Record;
pub use state::{BLOCK_DURATION, State};
pub(crate) use wire::{Message as WireMessage, blocks_from_wire, blocks_to_wire};
