//! Which manifest is in force: a fold over the records in the log's order.

use std::cmp::Ordering;

use serde_json::Value;

use super::checks::parse_value;
use super::{Body, Manifest, Record};
use crate::prelude::*;

/// The manifest in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revision {
    /// Counts accepted manifests from 1.
    pub generation: u64,
    /// The id of the record that brought it into force.
    pub record_id: String,
    /// What operators decided.
    pub manifest: Manifest,
    /// The workspace of each key digest.
    workspaces_by_key: BTreeMap<String, String>,
}

impl Revision {
    /// Puts a checked manifest in force as `generation`.
    pub fn new(generation: u64, record_id: String, manifest: Manifest) -> Self {
        let mut workspaces_by_key = BTreeMap::new();
        for (name, workspace) in &manifest.workspaces {
            for key_sha256 in &workspace.keys_sha256 {
                workspaces_by_key.insert(key_sha256.clone(), name.clone());
            }
        }
        Self { generation, record_id, manifest, workspaces_by_key }
    }

    /// The workspace that the key with this digest belongs to.
    pub fn workspace_of_key(&self, key_sha256: &str) -> Option<&str> {
        self.workspaces_by_key.get(key_sha256).map(String::as_str)
    }
}

/// What became of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is now in force.
    Accepted(Arc<Revision>),
    /// It names another generation than the one in force.
    Stale,
    /// Its manifest is not valid; the number of faults.
    Invalid(usize),
    /// It is a checkpoint of what is in force.
    Confirmed,
    /// It was folded before, or is a checkpoint of what is no longer in force.
    Known,
    /// It could not be read.
    Unreadable,
}

/// The fold over the manifest stream.
#[derive(Debug, Clone, Default)]
pub struct State {
    current: Option<Arc<Revision>>,
    next: u64,
}

impl State {
    /// The manifest in force, if any.
    pub fn current(&self) -> Option<&Arc<Revision>> {
        self.current.as_ref()
    }

    /// The manifest in force as JSON; null before the first.
    pub fn value(&self) -> Value {
        let value = self.current.as_ref().map(|revision| serde_json::to_value(&revision.manifest));
        value.and_then(Result::ok).unwrap_or_default()
    }

    /// The generation in force; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, |revision| revision.generation)
    }

    /// The offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Continues at `offset`, where the log no longer has what comes before it.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Folds the record at `offset`; records before [`State::next`] are known already.
    pub fn fold(&mut self, offset: u64, text: &str) -> Verdict {
        if offset < self.next {
            return Verdict::Known;
        }
        self.next = offset + 1;
        let Some(record) = Record::decode(text) else {
            return Verdict::Unreadable;
        };
        match record.body {
            Body::Publish { replaces, manifest } => {
                if replaces != self.generation() {
                    return Verdict::Stale;
                }
                self.accept(replaces.saturating_add(1), record.id, manifest)
            }
            Body::Change { replaces, patch } => {
                if replaces != self.generation() {
                    return Verdict::Stale;
                }
                let mut manifest = self.value();
                json_patch::merge(&mut manifest, &patch);
                self.accept(replaces.saturating_add(1), record.id, manifest)
            }
            Body::Checkpoint { generation, published, manifest } => {
                match generation.cmp(&self.generation()) {
                    Ordering::Less => Verdict::Known,
                    Ordering::Equal => Verdict::Confirmed,
                    Ordering::Greater => self.accept(generation, published, manifest),
                }
            }
        }
    }

    /// Takes over a peer's folded state, if it is ahead of this one.
    pub fn merge(&mut self, next: u64, revision: Option<Arc<Revision>>) -> bool {
        let generation = revision.as_ref().map_or(0, |revision| revision.generation);
        if generation > self.generation() {
            // Records after the snapshot are folded again: against the new base they may differ.
            self.next = next;
            self.current = revision;
            return true;
        }
        if generation == self.generation() {
            self.next = self.next.max(next);
        }
        false
    }

    fn accept(&mut self, generation: u64, record_id: String, manifest: Value) -> Verdict {
        match parse_value(manifest) {
            Ok(manifest) => {
                let revision = Arc::new(Revision::new(generation, record_id, manifest));
                self.current = Some(Arc::clone(&revision));
                Verdict::Accepted(revision)
            }
            Err(faults) => Verdict::Invalid(faults.len()),
        }
    }
}
