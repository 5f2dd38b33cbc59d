//! `status`: shows a daemon's state.

use http_types::Method;
use serde_json::Value;

use super::options::Status;
use super::{fetch_json, pretty_json};
use crate::prelude::*;

/// Runs the command.
pub(super) fn run(options: &Status) -> Result<String> {
    let status = fetch_json(options.daemon, Method::Get, "/status", None)?;
    Ok(if options.json { pretty_json(&status) } else { table(&status) })
}

fn table(status: &Value) -> String {
    let mut lines = Vec::new();
    for (name, value) in status.as_object().into_iter().flatten() {
        if name != "servers" {
            lines.push(format!("{name:20} {value}"));
        }
    }
    lines.push(format!(
        "\n{:16} {:12} {:12} {:7} {:9} {:>9} {:>13}",
        "server", "pool", "zone", "usable", "reachable", "in flight", "queued tokens"
    ));
    for server in status["servers"].as_array().into_iter().flatten() {
        lines.push(format!(
            "{:16} {:12} {:12} {:7} {:9} {:>9} {:>13}",
            server["id"].as_str().unwrap_or_default(),
            server["pool"].as_str().unwrap_or_default(),
            server["zone"].as_str().unwrap_or_default(),
            server["usable"].to_string(),
            server["reachable"].to_string(),
            server["in_flight"].to_string(),
            server["queued_tokens"].to_string(),
        ));
    }
    lines.join("\n")
}
