//! The platform's log service and VM list, and engines' reports, as this program reads them.
//!
//! The protocols are written down in `docs/PLATFORM.md`.

pub mod engine;
pub mod log;
pub mod vms;

use std::net::SocketAddr;

use http_types::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::http::client::{Limits, send_json};
use crate::prelude::*;

/// Bounds of an exchange with the platform or of a poll.
pub const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_millis(500),
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(2),
    max_body_bytes: 64 << 20,
};

/// Reads what is at `path`; an error names `server` it was asked of where that gave no 200.
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
