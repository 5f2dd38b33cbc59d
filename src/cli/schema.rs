//! `schema`: JSON Schema made from the types.

use schemars::schema_for;

use super::{Schema, pretty};
use crate::manifest::Manifest;
use crate::settings::Settings;

/// The schema of a file.
pub(super) fn run(of: Schema) -> String {
    match of {
        Schema::Settings => pretty(&schema_for!(Settings)),
        Schema::Manifest => pretty(&schema_for!(Manifest)),
    }
}
