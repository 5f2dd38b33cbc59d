//! Protocol between daemons: frames and the connections that carry them.

mod frame;
mod link;
#[cfg(test)]
mod tests;

pub use frame::{Copy, Digest, Frame, Load, MAX_FRAME_BYTES, Malformed, Snapshot};
pub use link::{Links, listen};
