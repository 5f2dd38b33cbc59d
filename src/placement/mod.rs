//! Which backend server a request goes to.
//!
//! Daemons do not agree on this with each other: each ranks the servers of a pool for a prefix by
//! rendezvous hashing, so that all arrive at the same few homes, and then takes the one with the
//! least predicted cost. See `docs/DESIGN.md`.

mod choose;
mod heat;
#[cfg(test)]
mod tests;

pub use choose::{Candidate, Query, Score, choose};
pub use heat::Heat;
