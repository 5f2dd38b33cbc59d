//! `explain`: shows the backend servers that a daemon considers for a completion, with their costs.

use http_types::Method;
use serde_json::json;

use super::options::Explain;
use super::{fetch_json, pretty_json};
use crate::prelude::*;
use crate::settings::read_file;

/// Runs the command.
pub(super) fn run(options: &Explain) -> Result<String> {
    let prompt = String::from_utf8_lossy(&read_file(&options.prompt)?).into_owned();
    let query = json!({
        "workspace": options.workspace,
        "model": options.model,
        "prompt": prompt,
        "levels": options.levels,
    });
    let answer = fetch_json(options.daemon, Method::Post, "/explain", Some(query.to_string()))?;
    if options.json {
        return Ok(pretty_json(&answer));
    }
    let mut lines = vec![format!(
        "{:16} {:>4} {:>13} {:>10} {:>13} {:>10} {:>5}",
        "server", "rank", "cached tokens", "confidence", "predicted ms", "cost", "free"
    )];
    for candidate in answer["candidates"].as_array().into_iter().flatten() {
        lines.push(format!(
            "{:16} {:>4} {:>13} {:>10.2} {:>13.1} {:>10.1} {:>5}",
            candidate["server"].as_str().unwrap_or_default(),
            candidate["rank"].to_string(),
            candidate["cached_tokens"].to_string(),
            candidate["cache_confidence"].as_f64().unwrap_or_default(),
            candidate["predicted_ms"].as_f64().unwrap_or_default(),
            candidate["cost"].as_f64().unwrap_or_default(),
            candidate["free"].to_string(),
        ));
    }
    lines.push("The first candidate with a free slot gets the request; the router waits a limited time for a cheaper one that is full.".into());
    Ok(lines.join("\n"))
}
