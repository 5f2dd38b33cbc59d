//! Records of the manifest stream in the log, and the patches in them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One record of the manifest stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the record's format; 1.
    pub format: u32,
    /// Random id by which the writer recognises its record when the log's answer was lost.
    pub id: String,
    /// The payload.
    #[serde(flatten)]
    pub body: Body,
}

/// Payload of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// A new manifest by an operator.
    Publish {
        /// Generation that it replaces.
        replaces: u64,
        /// The manifest, not validated.
        manifest: Value,
    },
    /// A change of the manifest in force by an operator.
    Change {
        /// Generation that it changes.
        replaces: u64,
        /// The change, as a JSON merge patch (RFC 7396).
        patch: Value,
    },
    /// The manifest in force, appended again before its record leaves the retention of the log.
    Checkpoint {
        /// Generation of the manifest.
        generation: u64,
        /// Id of the record that published it.
        published: String,
        /// The accepted manifest.
        manifest: Value,
    },
}

impl Record {
    /// Encodes the record as JSON text.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a record, or returns `None` if this release doesn't support it.
    pub fn decode(text: &str) -> Option<Self> {
        let record: Self = serde_json::from_str(text).ok()?;
        (record.format == super::FORMAT).then_some(record)
    }
}

/// Returns the JSON merge patch (RFC 7396) that turns `before` into `after`.
///
/// ```
/// use cardamomvalve::manifest::merge_patch;
/// use serde_json::json;
/// let patch = merge_patch(&json!({"a": 1, "b": 2}), &json!({"a": 1, "c": 3}));
/// assert_eq!(patch, json!({"b": null, "c": 3}));
/// ```
pub fn merge_patch(before: &Value, after: &Value) -> Value {
    let (Value::Object(before), Value::Object(after)) = (before, after) else {
        return after.clone();
    };
    let mut patch = serde_json::Map::new();
    for key in before.keys().filter(|key| !after.contains_key(*key)) {
        patch.insert(key.clone(), Value::Null);
    }
    for (key, value) in after {
        match before.get(key) {
            Some(old) if old == value => {}
            Some(old) => {
                patch.insert(key.clone(), merge_patch(old, value));
            }
            None => {
                patch.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}
