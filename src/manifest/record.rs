//! Records of the manifest stream on the log.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One record of the manifest stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the record's format; 1.
    pub format: u32,
    /// Chosen by the writer at random; tells its own record from others after a lost answer.
    pub id: String,
    /// What the record says.
    #[serde(flatten)]
    pub body: Body,
}

/// What a record of the manifest stream says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// An operator's new manifest.
    Publish {
        /// The generation that it replaces.
        replaces: u64,
        /// The manifest, unchecked.
        manifest: Value,
    },
    /// The manifest in force, appended again before the log forgets it.
    Checkpoint {
        /// Its generation.
        generation: u64,
        /// The id of the record that brought it into force.
        published: String,
        /// The manifest, as it was accepted.
        manifest: Value,
    },
}

impl Record {
    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads a record; `None` where this release can't.
    pub fn decode(text: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(text).ok()?;
        (record.format == super::FORMAT).then_some(record)
    }
}
