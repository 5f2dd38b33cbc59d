//! Table of backend servers and routers with their state, load and incarnation.

mod report;
mod state;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use report::{CacheEvent, Change, Report};
pub use state::{Load, Notice, Server, State};

slotmap::new_key_type! {
    /// Key of a backend server while it is in the VM list.
    pub struct Key;
}

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A daemon of this router.
    Router,
    /// An engine, which serves models.
    ModelServer,
    /// A backend server of a plain service.
    ServiceServer,
}

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// In use.
    Live,
    /// Draining, and removed soon.
    Leaving,
}

/// One entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id, which no later VM gets.
    pub id: String,
    /// Role.
    pub role: Role,
    /// Pool of a backend server; empty for routers.
    #[serde(default)]
    pub pool: String,
    /// Address that it listens on; for a router, the one for peers.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// State in the VM list.
    pub standing: Standing,
}
