//! Requests that end the servers which run them: how they are recognised, and that they are refused.
//!
//! A server that ends breaks every request that runs there. One of them may be the cause, and comes again: its
//! caller sends it anew under another id, to any daemon. So each end of a server is noted with the fingerprints
//! of the requests that broke there ([`Watch`], [`Strike`]); a fingerprint that is found at several ends, and
//! was never answered since, is blocked everywhere ([`State`]). An end at which a blocked request was present
//! is explained by it and counts against no other, so requests that merely ran beside it are served.

mod evidence;
mod fingerprint;
mod message;
mod record;
mod state;
#[cfg(test)]
mod tests;
mod victim;
mod watch;
mod wire;

pub use evidence::Evidence;
pub use fingerprint::Fingerprint;
pub use message::{Blocked, Message, Strike};
pub use record::Record;
pub use state::{BLOCKED_FOR, State};
pub use victim::Victim;
pub use watch::{Answer, Lost, Probe, Steps, Suspect, Watch};
pub(crate) use wire::{Message as WireMessage, from_blocked, to_blocked};
