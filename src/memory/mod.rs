//! Accounting of the memory and connections that others can make a daemon hold.
//!
//! One [`Account`] counts the buffered bytes of all connections and answers of a daemon, whatever port they came through,
//! and the open connections of each port. A connection has a [`Holding`], and so has an answer. Where the account is used
//! up, connections that wait for bytes and have got none for a while are revoked: their requests have not run. If there
//! are none, whoever asks for more is refused.

mod account;
mod holding;
mod limits;
#[cfg(test)]
mod tests;

pub use account::Account;
pub use holding::{Full, Holding};
pub use limits::{Limits, Port};
