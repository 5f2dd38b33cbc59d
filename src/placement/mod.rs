//! Selection of the backend server for a request.
//!
//! Daemons don't coordinate this choice. Each ranks the servers of a pool for a prefix by
//! rendezvous hashing, which gives all daemons the same few homes, and then selects the server with
//! the lowest predicted cost. See `docs/DESIGN.md`.

mod choose;
mod heat;
#[cfg(test)]
mod tests;

pub use choose::{Candidate, Query, Score, choose};
pub use heat::Heat;
