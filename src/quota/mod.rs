//! Quotas of workspaces: what one may have run in any window, counted by all daemons together.
//!
//! Daemons that each keep a share turn most requests away, since one prompt is larger than what a share
//! saves up in seconds; daemons that each go by themselves let a workspace have its quota many times over.
//! So one daemon, the keeper, counts for all: the scheduler through which most tokens pass anyway.
//! It may let in what the daemons lend it that take it for the keeper, each its share of the rate; two that
//! take themselves for keepers, on the two sides of a cut, so have no more than one quota between them.
//! Any other daemon has a small part of its own, and says what it used.
//!
//! What a workspace may save up leaves room under its quota for all of that ([`Quota::saved`]): for what a new
//! keeper takes over while the old one may still be there, and for the parts of the others. A daemon that has
//! just started knows nothing of the window that runs, and begins with nothing saved.

mod bucket;
mod limit;
mod state;
#[cfg(test)]
mod tests;

pub use limit::{Policy, Quota, Unit};
pub use state::{Demand, Rejection, Role, State, Usage};
