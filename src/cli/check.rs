//! `check`: validates a manifest and reports all faults.

use serde_json::json;

use super::options::Check;
use super::pretty_json;
use crate::manifest::{Fault, Manifest, parse};
use crate::prelude::*;
use crate::settings::read_file;

/// Runs the command.
pub(super) fn run(options: &Check) -> Result<String> {
    let manifest = load(&options.file, options.json)?;
    if options.json {
        return Ok(pretty_json(&json!({ "valid": true, "faults": [] })));
    }
    Ok(format!(
        "The manifest is valid: {} workspaces, {} models, {} services, {} pools.",
        manifest.workspaces.len(),
        manifest.models.len(),
        manifest.services.len(),
        manifest.pools.len()
    ))
}

/// Reads and validates a manifest. The error lists all faults.
pub(super) fn load(path: &std::path::Path, as_json: bool) -> Result<Manifest> {
    parse(&read_file(path)?).map_err(|faults| {
        let detail = if as_json { faults_as_json(&faults) } else { faults_as_text(&faults) };
        Error::new(Code::ManifestInvalid, detail)
    })
}

fn faults_as_text(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    format!("{} faults:{}", faults.len(), lines.concat())
}

fn faults_as_json(faults: &[Fault]) -> String {
    let faults: Vec<_> = faults
        .iter()
        .map(|fault| json!({ "path": fault.path, "value": fault.value, "allowed": fault.allowed }))
        .collect();
    json!({ "valid": false, "faults": faults }).to_string()
}
