//! Parses and validates manifests, and reports all faults of a manifest at once.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{FORMAT, Manifest, Model, Pool, Service, Workspace};
use crate::prelude::*;

const MAX_NAME_BYTES: usize = 64;
const MAX_SHARE: u32 = 1_000;
const MAX_POOL_LIMIT: u32 = 100_000;
const MAX_DEADLINE_MS: u64 = 86_400_000;
const MAX_IDEMPOTENCY_WINDOW_S: u64 = 7 * 86_400;
const SHA256_HEX_DIGITS: usize = 64;
const HTTP_METHODS: [&str; 6] = ["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"];
const MANIFEST_FIELDS: [&str; 6] =
    ["format", "pools", "models", "services", "workspaces", "idempotency_window_s"];

/// An invalid value in a manifest or a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the value: JSON keys joined by dots.
    pub path: String,
    /// The invalid value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is not allowed; give {}.", self.path, self.value, self.allowed)
    }
}

/// Parses and validates a manifest. An error contains all faults that were found.
///
/// ```
/// let faults = cardamomvalve::manifest::parse(b"{\"format\": 2}").unwrap_err();
/// assert!(faults.iter().any(|fault| fault.path == "format"));
/// ```
pub fn parse(bytes: &[u8]) -> Result<Manifest, Vec<Fault>> {
    let value: Value = serde_json::from_slice(bytes).map_err(|error| {
        vec![Fault {
            path: "(file)".into(),
            value: error.to_string(),
            allowed: "one JSON object".into(),
        }]
    })?;
    parse_value(value)
}

/// Validates a manifest given as a JSON value; see [`parse`].
pub fn parse_value(value: Value) -> Result<Manifest, Vec<Fault>> {
    let mut validator = Validator::default();
    let Value::Object(mut fields) = value else {
        validator.add_fault("(file)", &value, "one JSON object");
        return Err(validator.faults);
    };
    let unknown: Vec<String> =
        fields.keys().filter(|key| !MANIFEST_FIELDS.contains(&key.as_str())).cloned().collect();
    for key in unknown {
        validator.add_fault(
            &key,
            &Value::from(key.as_str()),
            &format!("only {}", MANIFEST_FIELDS.join(", ")),
        );
    }
    let manifest = Manifest {
        format: validator.take_field(&mut fields, "format", None),
        pools: validator.take_section::<Pool>(&mut fields, "pools", true),
        models: validator.take_section::<Model>(&mut fields, "models", false),
        services: validator.take_section::<Service>(&mut fields, "services", false),
        workspaces: validator.take_section::<Workspace>(&mut fields, "workspaces", true),
        idempotency_window_s: validator.take_field(
            &mut fields,
            "idempotency_window_s",
            Some(super::DEFAULT_IDEMPOTENCY_WINDOW_S),
        ),
    };
    validator.check_manifest(&manifest);
    if validator.faults.is_empty() { Ok(manifest) } else { Err(validator.faults) }
}

#[derive(Default)]
struct Validator {
    faults: Vec<Fault>,
    /// Entries that could not be deserialized, as `section.name`. References to them are not faults.
    unreadable: BTreeSet<String>,
}

impl Validator {
    fn add_fault(&mut self, path: &str, value: &Value, allowed: &str) {
        let fault = Fault { path: path.into(), value: value.to_string(), allowed: allowed.into() };
        self.faults.push(fault);
    }

    fn require(&mut self, ok: bool, path: &str, value: impl Into<Value>, allowed: &str) {
        if !ok {
            self.add_fault(path, &value.into(), allowed);
        }
    }

    fn take_field<T: DeserializeOwned + Default>(
        &mut self,
        fields: &mut Map<String, Value>,
        name: &str,
        default: Option<T>,
    ) -> T {
        match (fields.remove(name), default) {
            (Some(value), _) => self.deserialize(name, value).unwrap_or_default(),
            (None, Some(default)) => default,
            (None, None) => {
                self.add_fault(name, &Value::Null, "this field, which is required");
                T::default()
            }
        }
    }

    fn take_section<T: DeserializeOwned>(
        &mut self,
        fields: &mut Map<String, Value>,
        name: &str,
        required: bool,
    ) -> BTreeMap<String, T> {
        let entries = match fields.remove(name) {
            Some(Value::Object(entries)) => entries,
            Some(other) => {
                self.add_fault(name, &other, "an object of named entries");
                return BTreeMap::new();
            }
            None => {
                self.require(!required, name, Value::Null, "this section, which is required");
                return BTreeMap::new();
            }
        };
        let mut section = BTreeMap::new();
        for (key, value) in entries {
            let path = format!("{name}.{key}");
            self.require(is_name(&key), &path, key.as_str(), "a name of 1 to 64 of a-z 0-9 - _ .");
            match self.deserialize(&path, value) {
                Some(entry) => {
                    section.insert(key, entry);
                }
                None => {
                    self.unreadable.insert(path);
                }
            }
        }
        section
    }

    fn deserialize<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
        match serde_path_to_error::deserialize(value.clone()) {
            Ok(entry) => Some(entry),
            Err(error) => {
                let inner = error.path().to_string();
                let path = if inner == "." { path.to_owned() } else { format!("{path}.{inner}") };
                let found = value.pointer(&format!("/{}", inner.replace('.', "/")));
                let found = found.unwrap_or(&value).clone();
                self.add_fault(&path, &found, &error.inner().to_string());
                None
            }
        }
    }

    fn check_manifest(&mut self, manifest: &Manifest) {
        self.require(manifest.format == FORMAT, "format", manifest.format, "1");
        let window_s = manifest.idempotency_window_s;
        let allowed = "1 to 604800 seconds";
        self.require(
            (1..=MAX_IDEMPOTENCY_WINDOW_S).contains(&window_s),
            "idempotency_window_s",
            window_s,
            allowed,
        );
        for (name, pool) in &manifest.pools {
            self.check_pool(&format!("pools.{name}"), pool);
        }
        for (name, model) in &manifest.models {
            let path = format!("models.{name}");
            self.check_reference(
                manifest.pools.contains_key(&model.pool),
                &path,
                "pool",
                &model.pool,
            );
            self.check_deadline(&path, model.default_deadline_ms);
            let versions = std::iter::once(("weights", &model.weights))
                .chain(model.preload.iter().map(|version| ("preload", version)));
            for (field, version) in versions {
                let path = format!("{path}.{field}");
                let allowed = "a name of 1 to 64 of a-z 0-9 - _ .";
                self.require(is_name(version), &path, version.as_str(), allowed);
            }
        }
        for (name, service) in &manifest.services {
            let path = format!("services.{name}");
            let exists = manifest.pools.contains_key(&service.pool);
            self.check_reference(exists, &path, "pool", &service.pool);
            self.check_deadline(&path, service.default_deadline_ms);
            for method in &service.idempotent_methods {
                let exists = HTTP_METHODS.contains(&method.as_str());
                let path = format!("{path}.idempotent_methods");
                self.require(exists, &path, method.as_str(), &format!("any of {HTTP_METHODS:?}"));
            }
        }
        self.check_workspaces(manifest);
    }

    fn check_pool(&mut self, path: &str, pool: &Pool) {
        let allowed = "1 to 100000";
        for (name, count) in
            [("max_in_flight", pool.max_in_flight), ("max_waiting", pool.max_waiting)]
        {
            let path = format!("{path}.{name}");
            self.require((1..=MAX_POOL_LIMIT).contains(&count), &path, count, allowed);
        }
    }

    fn check_deadline(&mut self, path: &str, deadline_ms: u64) {
        let path = format!("{path}.default_deadline_ms");
        let allowed = "1 to 86400000 milliseconds";
        self.require((1..=MAX_DEADLINE_MS).contains(&deadline_ms), &path, deadline_ms, allowed);
    }

    fn check_reference(&mut self, exists: bool, path: &str, section: &str, name: &str) {
        if exists || self.unreadable.contains(&format!("{section}s.{name}")) {
            return;
        }
        let path = format!("{path}.{section}");
        self.add_fault(&path, &Value::from(name), &format!("the name of an entry of {section}s"));
    }

    fn check_workspaces(&mut self, manifest: &Manifest) {
        let mut owners: BTreeMap<String, &str> = BTreeMap::new();
        for (name, workspace) in &manifest.workspaces {
            let path = format!("workspaces.{name}");
            let share = workspace.share;
            let share_path = format!("{path}.share");
            self.require((1..=MAX_SHARE).contains(&share), &share_path, share, "1 to 1000");
            for model in &workspace.models {
                self.check_reference(manifest.models.contains_key(model), &path, "model", model);
            }
            for service in &workspace.services {
                self.check_reference(
                    manifest.services.contains_key(service),
                    &path,
                    "service",
                    service,
                );
            }
            let is_within_highest = workspace.highest_priority <= workspace.default_priority;
            let priority_path = format!("{path}.default_priority");
            let value = workspace.default_priority.as_str();
            self.require(is_within_highest, &priority_path, value, "at most highest_priority");
            for key_sha256 in &workspace.keys_sha256 {
                let path = format!("{path}.keys_sha256");
                let allowed = "64 lower-case hexadecimal digits";
                self.require(is_sha256_hex(key_sha256), &path, key_sha256.as_str(), allowed);
                let owner = owners.insert(key_sha256.clone(), name);
                let allowed = "a key that no other entry has";
                self.require(owner.is_none(), &path, key_sha256.as_str(), allowed);
            }
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}

fn is_sha256_hex(text: &str) -> bool {
    text.len() == SHA256_HEX_DIGITS
        && text.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}
