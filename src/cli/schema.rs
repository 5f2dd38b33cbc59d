//! `schema`: prints the JSON Schema of a file, generated from the types.

use schemars::schema_for;

use super::{Schema, pretty_json};
use crate::manifest::Manifest;
use crate::settings::Settings;

/// Returns the schema of a file.
pub(super) fn run(of: Schema) -> String {
    match of {
        Schema::Settings => pretty_json(&schema_for!(Settings)),
        Schema::Manifest => pretty_json(&schema_for!(Manifest)),
    }
}
