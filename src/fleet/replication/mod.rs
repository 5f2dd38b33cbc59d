//! Copies of the platform's topics on every daemon: where the first copy comes from, who reads the
//! store, and how new records reach all daemons.

mod bootstrap;
mod catalog;
mod exchange;
mod multicast;
mod pace;
mod records;

pub(super) use bootstrap::Bootstrap;
pub use catalog::{Batch, Catalog, Record, Topic};
pub use multicast::Relay;
