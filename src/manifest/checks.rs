//! Reading a manifest and finding everything that is wrong with it, not just the first.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{FORMAT, Manifest, Model, Pool, Service, Workspace};
use crate::prelude::*;

const MAX_NAME: usize = 64;
const MAX_SHARE: u32 = 1_000;
const MAX_COUNT: u32 = 100_000;
const MAX_DEADLINE_MS: u64 = 86_400_000;
const MAX_WINDOW_S: u64 = 7 * 86_400;
const DIGEST_DIGITS: usize = 64;
const METHODS: [&str; 6] = ["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"];
const FIELDS: [&str; 6] =
    ["format", "pools", "models", "services", "workspaces", "idempotency_window_s"];

/// One thing wrong with a manifest or a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where, as a path of JSON keys joined by dots.
    pub path: String,
    /// What stands there.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is not allowed; give {}.", self.path, self.value, self.allowed)
    }
}

/// Reads a manifest; on failure every fault that was found.
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

/// Reads a manifest from a JSON value; see [`parse`].
pub fn parse_value(value: Value) -> Result<Manifest, Vec<Fault>> {
    let mut checks = Checks::default();
    let Value::Object(mut fields) = value else {
        checks.fault("(file)", &value, "one JSON object");
        return Err(checks.faults);
    };
    let unknown: Vec<String> =
        fields.keys().filter(|key| !FIELDS.contains(&key.as_str())).cloned().collect();
    for key in unknown {
        checks.fault(&key, &Value::from(key.as_str()), &format!("only {}", FIELDS.join(", ")));
    }
    let manifest = Manifest {
        format: checks.field(&mut fields, "format", None),
        pools: checks.section::<Pool>(&mut fields, "pools", true),
        models: checks.section::<Model>(&mut fields, "models", false),
        services: checks.section::<Service>(&mut fields, "services", false),
        workspaces: checks.section::<Workspace>(&mut fields, "workspaces", true),
        idempotency_window_s: checks.field(
            &mut fields,
            "idempotency_window_s",
            Some(super::DEFAULT_WINDOW_S),
        ),
    };
    checks.manifest(&manifest);
    if checks.faults.is_empty() { Ok(manifest) } else { Err(checks.faults) }
}

#[derive(Default)]
struct Checks {
    faults: Vec<Fault>,
    /// Entries that could not be read, as `section.name`; references to them are not faults.
    unread: BTreeSet<String>,
}

impl Checks {
    fn fault(&mut self, path: &str, value: &Value, allowed: &str) {
        let fault = Fault { path: path.into(), value: value.to_string(), allowed: allowed.into() };
        self.faults.push(fault);
    }

    fn require(&mut self, ok: bool, path: &str, value: impl Into<Value>, allowed: &str) {
        if !ok {
            self.fault(path, &value.into(), allowed);
        }
    }

    fn field<T: DeserializeOwned + Default>(
        &mut self,
        fields: &mut Map<String, Value>,
        name: &str,
        default: Option<T>,
    ) -> T {
        match (fields.remove(name), default) {
            (Some(value), _) => self.read(name, value).unwrap_or_default(),
            (None, Some(default)) => default,
            (None, None) => {
                self.fault(name, &Value::Null, "this field, which is required");
                T::default()
            }
        }
    }

    fn section<T: DeserializeOwned>(
        &mut self,
        fields: &mut Map<String, Value>,
        name: &str,
        required: bool,
    ) -> BTreeMap<String, T> {
        let entries = match fields.remove(name) {
            Some(Value::Object(entries)) => entries,
            Some(other) => {
                self.fault(name, &other, "an object of named entries");
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
            match self.read(&path, value) {
                Some(entry) => {
                    section.insert(key, entry);
                }
                None => {
                    self.unread.insert(path);
                }
            }
        }
        section
    }

    fn read<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
        match serde_path_to_error::deserialize(value.clone()) {
            Ok(entry) => Some(entry),
            Err(error) => {
                let inner = error.path().to_string();
                let path = if inner == "." { path.to_owned() } else { format!("{path}.{inner}") };
                let seen = value.pointer(&format!("/{}", inner.replace('.', "/")));
                let seen = seen.unwrap_or(&value).clone();
                self.fault(&path, &seen, &error.inner().to_string());
                None
            }
        }
    }

    fn manifest(&mut self, manifest: &Manifest) {
        self.require(manifest.format == FORMAT, "format", manifest.format, "1");
        let window = manifest.idempotency_window_s;
        let allowed = "1 to 604800 seconds";
        self.require((1..=MAX_WINDOW_S).contains(&window), "idempotency_window_s", window, allowed);
        for (name, pool) in &manifest.pools {
            self.pool(&format!("pools.{name}"), pool);
        }
        for (name, model) in &manifest.models {
            let path = format!("models.{name}");
            self.reference(manifest.pools.contains_key(&model.pool), &path, "pool", &model.pool);
            self.deadline(&path, model.default_deadline_ms);
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
            let known = manifest.pools.contains_key(&service.pool);
            self.reference(known, &path, "pool", &service.pool);
            self.deadline(&path, service.default_deadline_ms);
            for method in &service.idempotent_methods {
                let known = METHODS.contains(&method.as_str());
                let path = format!("{path}.idempotent_methods");
                self.require(known, &path, method.as_str(), &format!("any of {METHODS:?}"));
            }
        }
        self.workspaces(manifest);
    }

    fn pool(&mut self, path: &str, pool: &Pool) {
        let allowed = "1 to 100000";
        for (name, count) in
            [("max_in_flight", pool.max_in_flight), ("max_waiting", pool.max_waiting)]
        {
            let path = format!("{path}.{name}");
            self.require((1..=MAX_COUNT).contains(&count), &path, count, allowed);
        }
    }

    fn deadline(&mut self, path: &str, deadline: u64) {
        let path = format!("{path}.default_deadline_ms");
        let allowed = "1 to 86400000 milliseconds";
        self.require((1..=MAX_DEADLINE_MS).contains(&deadline), &path, deadline, allowed);
    }

    fn reference(&mut self, known: bool, path: &str, section: &str, name: &str) {
        if known || self.unread.contains(&format!("{section}s.{name}")) {
            return;
        }
        let path = format!("{path}.{section}");
        self.fault(&path, &Value::from(name), &format!("the name of an entry of {section}s"));
    }

    fn workspaces(&mut self, manifest: &Manifest) {
        let mut owners: BTreeMap<String, &str> = BTreeMap::new();
        for (name, workspace) in &manifest.workspaces {
            let path = format!("workspaces.{name}");
            let share = workspace.share;
            let share_path = format!("{path}.share");
            self.require((1..=MAX_SHARE).contains(&share), &share_path, share, "1 to 1000");
            for model in &workspace.models {
                self.reference(manifest.models.contains_key(model), &path, "model", model);
            }
            for service in &workspace.services {
                self.reference(manifest.services.contains_key(service), &path, "service", service);
            }
            let ordered = workspace.highest_priority <= workspace.default_priority;
            let priority_path = format!("{path}.default_priority");
            let value = workspace.default_priority.as_str();
            self.require(ordered, &priority_path, value, "at most highest_priority");
            for digest in &workspace.keys_sha256 {
                let path = format!("{path}.keys_sha256");
                let allowed = "64 lower-case hexadecimal digits";
                self.require(is_digest(digest), &path, digest.as_str(), allowed);
                let owner = owners.insert(digest.clone(), name);
                let allowed = "a key that no other entry has";
                self.require(owner.is_none(), &path, digest.as_str(), allowed);
            }
        }
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    (1..=MAX_NAME).contains(&name.len()) && name.bytes().all(allowed)
}

fn is_digest(digest: &str) -> bool {
    digest.len() == DIGEST_DIGITS
        && digest.bytes().all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte))
}
