//! Clients for the platform's log service and VM list and for model engines.
//!
//! `docs/PLATFORM.md` specifies the protocols.

pub mod engine;
pub mod log;
pub mod vms;

use std::net::SocketAddr;

use http_types::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::http::client::{Limits, send_json};
use crate::prelude::*;

/// Limits of an exchange with the platform, and of a poll of an engine.
pub const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_millis(500),
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(2),
    max_body_bytes: 64 << 20,
};

/// Reads JSON from `path`. The error for any status but 200 names `server`.
async fn read_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    server: &str,
) -> Result<T, String> {
    let (status, body) = send_json(address, Method::Get, path, None, LIMITS)
        .await
        .map_err(|failure| failure.reason)?;
    if status != StatusCode::Ok {
        return Err(format!("{server} answered {status}"));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
