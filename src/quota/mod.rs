//! Quotas of workspaces: what a workspace may use in any window, counted by all daemons together.
//!
//! If each daemon kept a share, most requests would be refused, since one prompt is larger than
//! what a share accumulates in seconds. If each daemon counted by itself, a workspace would get its
//! quota many times over. So one daemon, the keeper, counts for all: the scheduler through which
//! most tokens pass anyway. It may admit the shares of the rate that are lent to it by the daemons
//! that regard it as the keeper. Two daemons that both regard themselves as keeper, on the two
//! sides of a partition, therefore have no more than one quota between them. Any other daemon has a
//! small part of its own, and reports what it used.
//!
//! The bucket capacity of a workspace leaves room under its quota for all of that
//! ([`Quota::capacity`]): for what a new keeper takes over while the old one may still be active,
//! and for the parts of the others. A daemon that has just started doesn't know the usage of the
//! current window, and begins with an empty bucket.

mod bucket;
mod limit;
mod state;
#[cfg(test)]
mod tests;

pub use limit::{Policy, Quota, Unit};
pub use state::{Demand, Rejection, Role, State, Usage};
