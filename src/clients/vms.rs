//! Client for the platform's VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::read_json;
use crate::membership::Vm;
use crate::prelude::*;

/// Wire form of the VM list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct List {
    /// Running and draining VMs.
    pub vms: Vec<Vm>,
}

/// Reads the VM list.
pub async fn read(address: SocketAddr) -> Result<Vec<Vm>, String> {
    let list: List = read_json(address, "/vms", "the VM list").await?;
    Ok(list.vms)
}
