//! What engines and the KV store hold of the prompts that requests share.
//!
//! Each engine, and the KV store, tells by numbered events what it keeps. One daemon reads the events
//! of each and tells its peers what concerns parts that are worth a transfer ([`Update`]); another takes
//! over when it falls silent. Beliefs are kept by what a part is cached under ([`super::prompt::keyed`]),
//! so that other weights' or another workspace's memory is never mistaken for a prompt's own, and they
//! end with the life of the server that they are about.

mod held;
mod reading;
mod sources;
mod store;

pub(super) use held::Residency;
pub(super) use reading::EventPoll;
pub(super) use sources::{FetchPlan, Sources};
pub(super) use store::{Link, StoreState};

pub use held::{CacheEvent, EventBatch};

use std::net::SocketAddr;

use super::{Incarnation, server};

/// What keeps parts, as this daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Location {
    /// An engine.
    Engine(server::Key),
    /// The KV store.
    Store,
}

/// What keeps parts, as daemons name it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holder {
    /// An engine in one of its lives.
    Engine(Incarnation),
    /// The KV store at this address.
    Store(SocketAddr),
}

/// What the reader of events tells its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The daemon that reads the events.
    pub daemon: String,
    /// Whose events these are.
    pub holder: Holder,
    /// Counts what this daemon told of this keeper, so that a peer sees when it missed something.
    pub sequence: u64,
    /// Whether these are all parts, so that what was believed before ends.
    pub full: bool,
    /// Parts by what they are kept under, with the tokens that are kept now.
    pub changes: Vec<(u64, u32)>,
}
