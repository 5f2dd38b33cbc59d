//! Reports of model engines.

use std::net::SocketAddr;

use http_types::{Method, StatusCode};

use super::LIMITS;
use crate::http::client::send_json;
use crate::membership::Report;
use crate::prelude::*;

/// Asks an engine for its state and its cache events from sequence number `from`.
pub async fn poll(address: SocketAddr, from: u64) -> Result<Report, String> {
    let path = format!("/report?from={from}");
    let (status, body) = send_json(address, Method::Get, &path, None, LIMITS)
        .await
        .map_err(|failure| failure.reason)?;
    if status != StatusCode::Ok {
        return Err(format!("the engine answered {status}"));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
