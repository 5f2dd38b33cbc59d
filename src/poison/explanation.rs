//! Crashes that a block explains, which no longer count against what was only present at them.

use super::Fingerprint;
use super::evidence::{Key, Suspect};
use super::state::State;
use crate::prelude::*;

impl State {
    /// Marks a crash as explained: the other requests present did not cause it, nor did parts of
    /// prompts except those in `kept`.
    pub(super) fn mark_explained(&mut self, key: Key, kept: &[Fingerprint]) {
        let Some(crash) = self.crashes.get_mut(&key) else { return };
        crash.explained = true;
        for (request, run) in &crash.present {
            remove_crash(&mut self.suspects, request, key);
            for part in run.parts.iter().filter(|part| !kept.contains(part)) {
                remove_crash(&mut self.parts, part, key);
            }
        }
    }

    /// Marks the crashes of a blocked request or part as explained by it.
    pub(super) fn explain_crashes(&mut self, blocked: Fingerprint) {
        let request = self.suspects.remove(&blocked).unwrap_or_default();
        for key in request.crashes.into_keys() {
            let run = self.crashes.get(&key).and_then(|crash| crash.present.get(&blocked));
            let parts = run.map(|run| run.parts.clone()).unwrap_or_default();
            self.mark_explained(key, &parts);
        }
        let part = self.parts.remove(&blocked).unwrap_or_default();
        let tied = self.parts_tied_with(&part);
        for key in part.crashes.into_keys() {
            self.mark_explained(key, &tied);
        }
    }
}

/// Removes a crash from those of a suspect.
fn remove_crash(
    suspects: &mut BTreeMap<Fingerprint, Suspect>,
    fingerprint: &Fingerprint,
    key: Key,
) {
    let Some(suspect) = suspects.get_mut(fingerprint) else { return };
    suspect.crashes.remove(&key);
    if suspect.crashes.is_empty() {
        suspects.remove(fingerprint);
    }
}
