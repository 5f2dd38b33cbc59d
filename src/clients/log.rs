//! Client for the log service, which holds append-only streams of records with offsets.

use std::net::SocketAddr;

use http_types::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::{LIMITS, read_json};
use crate::control::{AppendResult, Read, Record, Stream};
use crate::http::client::{Failure, Stage, send_json};
use crate::prelude::*;

/// Maximum number of records that one read returns.
pub const MAX_READ_RECORDS: u32 = 1_000;
/// Maximum time for which a read waits for a new record.
pub const MAX_WAIT_MS: u32 = 1_000;

/// Wire form of the answer to a read.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that the log still holds.
    pub first: u64,
    /// The offset after the newest record.
    pub next: u64,
    /// Time for which the log keeps records.
    pub retention_s: u64,
    /// Records in ascending order of offset.
    pub records: Vec<Entry>,
}

/// Wire form of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// Time of the append on the log's clock.
    pub time_ms: u64,
    /// Its text.
    pub text: String,
}

/// Wire form of the answer to an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Ack {
    /// The record's offset.
    pub offset: u64,
}

impl From<Page> for Read {
    fn from(page: Page) -> Self {
        let records = page.records.into_iter().map(|entry| Record {
            offset: entry.offset,
            time_ms: entry.time_ms,
            text: entry.text,
        });
        Self {
            first: page.first,
            next: page.next,
            retention_s: page.retention_s,
            records: records.collect(),
        }
    }
}

/// Reads `stream` from offset `from`. Waits up to `wait_ms` for a record.
pub async fn read(
    address: SocketAddr,
    stream: Stream,
    from: u64,
    wait_ms: u32,
) -> Result<Read, String> {
    let name = stream.as_str();
    let path =
        format!("/streams/{name}/records?from={from}&limit={MAX_READ_RECORDS}&wait_ms={wait_ms}");
    let page: Page = read_json(address, &path, "the log service").await?;
    Ok(page.into())
}

/// Appends a record to `stream` and returns its offset.
pub async fn append(
    address: SocketAddr,
    stream: Stream,
    text: String,
) -> Result<u64, AppendResult> {
    let path = format!("/streams/{}/records", stream.as_str());
    match send_json(address, Method::Post, &path, Some(text), LIMITS).await {
        Ok((StatusCode::Created, body)) => {
            let ack: Result<Ack, _> = serde_json::from_slice(&body);
            ack.map(|ack| ack.offset).map_err(|_| AppendResult::Unknown)
        }
        Ok((StatusCode::TooManyRequests | StatusCode::ServiceUnavailable, _)) => {
            Err(AppendResult::Refused)
        }
        Ok(_) => Err(AppendResult::Unknown),
        Err(Failure { stage: Stage::Unsent, .. }) => Err(AppendResult::Refused),
        Err(Failure { stage: Stage::Sent, .. }) => Err(AppendResult::Unknown),
    }
}
