//! Which backend servers and routers live, leave or are dead, and in which incarnation.

mod report;
mod state;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use report::{CacheEvent, Change, Report};
pub use state::{Load, Notice, Server, State};

slotmap::new_key_type! {
    /// A backend server, as long as the VM list has it.
    pub struct Key;
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A router: one of our own daemons.
    Router,
    /// A model engine.
    ModelServer,
    /// A plain service.
    ServiceServer,
}

/// What the VM list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its id, never used again.
    pub id: String,
    /// What it is for.
    pub role: Role,
    /// The pool that a backend server belongs to; empty for routers.
    #[serde(default)]
    pub pool: String,
    /// Where it listens; for a router, its address for peers.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is leaving.
    pub standing: Standing,
}
