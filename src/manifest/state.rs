//! Computes the manifest in force by folding the records in log order.

use std::cmp::Ordering;

use serde_json::Value;

use super::checks::parse_value;
use super::{Body, Manifest, Record};
use crate::prelude::*;

/// An accepted manifest and its generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Revision {
    /// Number of this manifest among the accepted ones, from 1.
    pub generation: u64,
    /// Id of the record that published it.
    pub record_id: String,
    /// The manifest itself.
    pub manifest: Manifest,
    /// Workspace by the SHA-256 hash of its key.
    workspaces_by_key: BTreeMap<String, String>,
}

impl Revision {
    /// Creates the revision of a validated manifest.
    pub fn new(generation: u64, record_id: String, manifest: Manifest) -> Self {
        let mut workspaces_by_key = BTreeMap::new();
        for (name, workspace) in &manifest.workspaces {
            for key_sha256 in &workspace.keys_sha256 {
                workspaces_by_key.insert(key_sha256.clone(), name.clone());
            }
        }
        Self { generation, record_id, manifest, workspaces_by_key }
    }

    /// Returns the workspace that the key with this SHA-256 hash belongs to.
    pub fn workspace_of_key(&self, key_sha256: &str) -> Option<&str> {
        self.workspaces_by_key.get(key_sha256).map(String::as_str)
    }
}

/// Result of folding one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The manifest of the record is now in force.
    Accepted(Arc<Revision>),
    /// The record replaces another generation than the one in force.
    Stale,
    /// The manifest of the record is invalid; holds the number of faults.
    Invalid(usize),
    /// The record is a checkpoint of the manifest in force.
    Confirmed,
    /// The record was folded before, or is a checkpoint of an earlier generation.
    Ignored,
    /// The record could not be decoded.
    Unreadable,
}

/// State of the fold over the manifest stream.
#[derive(Debug, Clone, Default)]
pub struct State {
    current: Option<Arc<Revision>>,
    next: u64,
}

impl State {
    /// Returns the revision in force, if any.
    pub fn current(&self) -> Option<&Arc<Revision>> {
        self.current.as_ref()
    }

    /// Returns the manifest in force as JSON, or null before the first.
    pub fn value(&self) -> Value {
        let value = self.current.as_ref().map(|revision| serde_json::to_value(&revision.manifest));
        value.and_then(Result::ok).unwrap_or_default()
    }

    /// Returns the generation in force, or 0 before the first.
    pub fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, |revision| revision.generation)
    }

    /// Returns the offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Skips the records before `offset`, which the log no longer has.
    pub fn skip_to(&mut self, offset: u64) {
        self.next = self.next.max(offset);
    }

    /// Folds the record at `offset`. Records before [`State::next`] are ignored.
    pub fn fold(&mut self, offset: u64, text: &str) -> Verdict {
        if offset < self.next {
            return Verdict::Ignored;
        }
        self.next = offset.saturating_add(1);
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
                    Ordering::Less => Verdict::Ignored,
                    Ordering::Equal => Verdict::Confirmed,
                    Ordering::Greater => self.accept(generation, published, manifest),
                }
            }
        }
    }

    /// Adopts a peer's state if its generation is higher. Returns whether it did.
    pub fn merge(&mut self, next: u64, revision: Option<Arc<Revision>>) -> bool {
        let generation = revision.as_ref().map_or(0, |revision| revision.generation);
        if generation > self.generation() {
            // Records after the snapshot are folded again, since their verdicts may differ on the new base.
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
