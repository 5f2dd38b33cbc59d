//! The operators' client.

mod check;
mod explain;
mod options;
mod publish;
mod schema;
mod status;
mod tables;
#[cfg(test)]
mod tests;
mod trace;

use std::net::SocketAddr;

use async_io::block_on;
use http_types::{Method, StatusCode};
use serde_json::Value;

pub use options::{Command, Options, Schema, Trace};

use crate::http::client::{Limits, send_json};
use crate::prelude::*;

/// Bounds of an exchange with a daemon.
const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_secs(2),
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
    max_body_bytes: 64 << 20,
};

/// Carries one command out; what it prints is returned.
pub fn run(options: &Options) -> Result<String> {
    match &options.command {
        Command::Check(command) => check::run(command),
        Command::Publish(command) => publish::run(command),
        Command::Status(command) => status::run(command),
        Command::Explain(command) => explain::run(command),
        Command::Trace(command) => trace::run(command),
        Command::Schema { of } => Ok(schema::run(*of)),
        Command::Codes { json } => Ok(tables::codes(*json)),
        Command::Events { json } => Ok(tables::events(*json)),
        Command::Completions { shell } => Ok(options::completions(*shell)),
    }
}

/// Asks a daemon's operators' address and reads JSON.
fn ask(address: SocketAddr, method: Method, path: &str, body: Option<String>) -> Result<Value> {
    let unreachable =
        |reason: String| Error::new(Code::DaemonUnreachable, format!("{address}: {reason}"));
    let (status, bytes) = block_on(send_json(address, method, path, body, LIMITS))
        .map_err(|failure| unreachable(failure.reason))?;
    let value: Value =
        serde_json::from_slice(&bytes).map_err(|error| unreachable(error.to_string()))?;
    if status == StatusCode::Ok {
        return Ok(value);
    }
    let message = value["error"]["message"].as_str().unwrap_or("no message");
    Err(unreachable(format!("it answered {status}: {message}")))
}

fn pretty(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
