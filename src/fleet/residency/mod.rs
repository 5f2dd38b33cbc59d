//! Tracks which shared prompt parts engines and KV stores hold.
//!
//! Each engine and each KV store publish numbered events about their caches. One daemon reads the
//! events of each holder and sends its peers updates ([`Update`]) for parts that are large enough
//! to transfer; if it goes silent, another daemon takes over. Entries are keyed by cache salt
//! ([`super::prompt::salted_key`]), so cached parts of other weights or another workspace never match,
//! and are dropped when their server's incarnation ends.

mod choice;
mod held;
mod reading;
mod sources;
mod store;

pub(super) use held::Residency;
pub(super) use reading::EventPoll;
pub(super) use sources::{FetchPlan, Source, Sources};
pub(super) use store::{StoreFetch, Stores};

pub use held::{CacheEvent, EventBatch};

use std::net::SocketAddr;

use super::{Incarnation, server};

/// A holder of cached parts, by this daemon's own key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Location {
    /// An engine.
    Engine(server::Key),
    /// The KV store at this address.
    Store(SocketAddr),
}

/// A holder of cached parts, as daemons identify it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holder {
    /// An engine, in one incarnation.
    Engine(Incarnation),
    /// The KV store at this address.
    Store(SocketAddr),
}

/// An update on a holder's parts, which the daemon that reads its events sends to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The daemon that reads the events.
    pub daemon: String,
    /// The holder that the events came from.
    pub holder: Holder,
    /// Counts the updates this daemon has sent for the holder, so that a peer detects a missed one.
    pub sequence: u64,
    /// Whether `changes` lists all parts and replaces earlier state.
    pub full: bool,
    /// Parts by salted hash, with the tokens now cached.
    pub changes: Vec<(u64, u32)>,
}
