//! The protocol between daemons: what they tell each other, and the connections for it.

mod frame;
mod link;
#[cfg(test)]
mod tests;

pub use frame::{Copy, Digest, Frame, Load, MAX_FRAME_BYTES, Malformed, Snapshot};
pub use link::{Links, listen};
