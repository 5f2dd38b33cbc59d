//! Which manifest is in force: a fold over the records in the log's order.

use std::cmp::Ordering;

use serde_json::Value;

use super::checks::parse_value;
use super::{Body, Manifest, Record};
use crate::prelude::*;

/// The manifest in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Force {
    /// Counts accepted manifests from 1.
    pub generation: u64,
    /// The id of the record that brought it into force.
    pub published: String,
    /// What operators decided.
    pub manifest: Manifest,
    /// The workspace of each key digest.
    owners: BTreeMap<String, String>,
}

impl Force {
    /// Puts a checked manifest in force as `generation`.
    pub fn new(generation: u64, published: String, manifest: Manifest) -> Self {
        let mut owners = BTreeMap::new();
        for (name, workspace) in &manifest.workspaces {
            for digest in &workspace.keys_sha256 {
                owners.insert(digest.clone(), name.clone());
            }
        }
        Self { generation, published, manifest, owners }
    }

    /// The workspace that the key with this digest belongs to.
    pub fn owner(&self, digest: &str) -> Option<&str> {
        self.owners.get(digest).map(String::as_str)
    }
}

/// What became of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is now in force.
    Accepted(Arc<Force>),
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
    force: Option<Arc<Force>>,
    next: u64,
}

impl State {
    /// The manifest in force, if any.
    pub fn force(&self) -> Option<&Arc<Force>> {
        self.force.as_ref()
    }

    /// The manifest in force as JSON; null before the first.
    pub fn value(&self) -> Value {
        let value = self.force.as_ref().map(|force| serde_json::to_value(&force.manifest));
        value.and_then(Result::ok).unwrap_or_default()
    }

    /// The generation in force; 0 before the first.
    pub fn generation(&self) -> u64 {
        self.force.as_ref().map_or(0, |force| force.generation)
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
    pub fn merge(&mut self, next: u64, force: Option<Arc<Force>>) -> bool {
        let generation = force.as_ref().map_or(0, |force| force.generation);
        if generation > self.generation() {
            // Records after the snapshot are folded again: against the new base they may differ.
            self.next = next;
            self.force = force;
            return true;
        }
        if generation == self.generation() {
            self.next = self.next.max(next);
        }
        false
    }

    fn accept(&mut self, generation: u64, published: String, manifest: Value) -> Verdict {
        match parse_value(manifest) {
            Ok(manifest) => {
                let force = Arc::new(Force::new(generation, published, manifest));
                self.force = Some(Arc::clone(&force));
                Verdict::Accepted(force)
            }
            Err(faults) => Verdict::Invalid(faults.len()),
        }
    }
}
