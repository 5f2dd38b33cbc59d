//! Client for model engines: reports and orders.

use std::net::SocketAddr;

use http_types::Method;

use super::{LIMITS, read_json};
use crate::http::client::{Limits, send_json};
use crate::membership::Report;
use crate::prelude::*;

/// Reads an engine's state and its cache events from sequence number `from`.
pub async fn poll(address: SocketAddr, from: u64) -> Result<Report, String> {
    read_json(address, &format!("/report?from={from}"), "the engine").await
}

/// Limits of an order. Loading a weight version can take long.
const ORDER_LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(600),
    idle_timeout: Duration::from_secs(600),
    ..LIMITS
};

/// Sends an order, as JSON, to an engine. Returns whether the engine executed it.
pub async fn send_order(address: SocketAddr, order: String) -> bool {
    let answer = send_json(address, Method::Post, "/orders", Some(order), ORDER_LIMITS).await;
    answer.is_ok_and(|(status, _)| status.is_success())
}
