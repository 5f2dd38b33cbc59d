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
    /// An operator's change of the manifest in force.
    Change {
        /// The generation that it changes.
        replaces: u64,
        /// What changes, as a JSON merge patch (RFC 7396).
        patch: Value,
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

/// The JSON merge patch (RFC 7396) that makes `after` of `before`.
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
