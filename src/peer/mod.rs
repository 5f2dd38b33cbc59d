//! The protocol between daemons: what they tell each other, and the connections for it.

mod frame;
mod link;
#[cfg(test)]
mod tests;

pub use frame::{Busy, Copy, Digest, Frame, MAX_FRAME, Malformed, Snapshot};
pub use link::{Links, listen};
