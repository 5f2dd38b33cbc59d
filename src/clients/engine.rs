//! Reports of model engines.

use std::net::SocketAddr;

use http_types::Method;

use super::{LIMITS, read_json};
use crate::http::client::{Limits, send_json};
use crate::membership::Report;
use crate::prelude::*;

/// Asks an engine for its state and its cache events from sequence number `from`.
pub async fn poll(address: SocketAddr, from: u64) -> Result<Report, String> {
    read_json(address, &format!("/report?from={from}"), "the engine").await
}

/// Bounds of an order: a version may take long to load.
const ORDER_LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(600),
    idle_timeout: Duration::from_secs(600),
    ..LIMITS
};

/// Gives an engine an order, as JSON; whether it was carried out.
pub async fn send_order(address: SocketAddr, order: String) -> bool {
    let answer = send_json(address, Method::Post, "/orders", Some(order), ORDER_LIMITS).await;
    answer.is_ok_and(|(status, _)| status.is_success())
}
