//! Judges whether a part that many prompts share is the cause of crashes.
//!
//! Such a part may crash each server that begins an answer on it, while no two of its requests are alike. A part is a
//! suspect as long as no answer begins on it. Runs side by side add crashes and no evidence, and so does a request that
//! returns: it may be the cause itself. The evidence is therefore crashes in succession, each of which interrupted another
//! request with the part, sent after the previous crash.

use super::evidence::{Evidence, Key, MIN_CRASHES, Suspect};
use super::judgement::{CRASH_LIMIT, MAX_EXPECTED};
use super::state::{Crash, Run, State};
use super::{Fingerprint, Interruption};
use crate::prelude::*;

/// Min successive crashes from which the requests with a part run one at a time.
const MIN_CRASHES_TO_SERIALIZE: usize = 2;

/// Successive crashes of a part.
struct Succession {
    crashes: Suspect,
    /// Whether no block explains one of them.
    has_unexplained: bool,
}

impl State {
    /// Records that a crash interrupted requests with these parts in their prompts.
    pub(super) fn insert_parts(&mut self, key: Key, interruption: &Interruption) {
        for part in &interruption.parts {
            let suspect = self.parts.entry(*part).or_default();
            suspect.crashes.insert(key, interruption.run_time);
            suspect.servers = interruption.servers;
        }
    }

    /// Blocks the parts of interrupted requests against which there is enough evidence, the
    /// strongest first: its block explains crashes that then no longer count against the others.
    /// Returns those that this blocks.
    ///
    /// Only the daemon that placed the requests receives the reports of all their answers, and may judge.
    pub fn block_parts(&mut self, now: Time, interruptions: &[Interruption]) -> Vec<Fingerprint> {
        let parts = interruptions.iter().flat_map(|interruption| &interruption.parts);
        let mut undecided: BTreeSet<Fingerprint> = parts.copied().collect();
        let mut blocked = Vec::new();
        while let Some((part, evidence)) = self.strongest_part_to_block(&undecided) {
            undecided.remove(&part);
            if self.block_with_evidence(now, part, Some(evidence)) {
                blocked.push(part);
            }
        }
        blocked
    }

    /// Returns the part with enough evidence for a block that was present at most crashes. Of parts
    /// that were always present together it is the last one, which fewest requests share.
    fn strongest_part_to_block(
        &self,
        undecided: &BTreeSet<Fingerprint>,
    ) -> Option<(Fingerprint, Evidence)> {
        let with_evidence =
            undecided.iter().filter_map(|part| Some((*part, self.part_evidence_to_block(*part)?)));
        with_evidence.min_by(|(a, own), (b, other)| {
            let by_crashes = other.crashes.cmp(&own.crashes);
            let by_chance = own.expected.total_cmp(&other.expected);
            by_crashes.then(by_chance).then_with(|| self.depth(*b).cmp(&self.depth(*a)))
        })
    }

    /// Returns the position of a part in the prompts of interrupted requests.
    fn depth(&self, part: Fingerprint) -> usize {
        let keys = self.parts.get(&part).into_iter().flat_map(|suspect| suspect.crashes.keys());
        let runs = keys.filter_map(|key| self.crashes.get(key)).flat_map(|c| c.present.values());
        let positions = runs.filter_map(|run| run.parts.iter().position(|other| *other == part));
        positions.max().unwrap_or_default()
    }

    /// Returns the evidence against a part if it suffices for a block: chance does not explain so
    /// many successive crashes, or they are too many to wait for more.
    fn part_evidence_to_block(&self, part: Fingerprint) -> Option<Evidence> {
        let suspect = self.parts.get(&part)?;
        let Succession { crashes, has_unexplained } = self.succession(part, suspect, true);
        let count = crashes.crashes.len();
        if count < MIN_CRASHES || !has_unexplained {
            return None;
        }
        let mut baseline = self.baseline(suspect);
        let repeated = suspect.crashes.len() - count;
        baseline.crashes = baseline.crashes.saturating_sub(repeated);
        let expected = crashes.expected(baseline);
        let is_enough = expected <= MAX_EXPECTED || count >= CRASH_LIMIT;
        is_enough.then_some(Evidence { crashes: count, expected })
    }

    /// Returns the successive crashes of a part; if they must be `distinct`, no request counts twice.
    fn succession(&self, part: Fingerprint, suspect: &Suspect, distinct: bool) -> Succession {
        let keys = suspect.crashes.keys();
        let mut crashes: Vec<(Time, Key, &Crash)> =
            keys.filter_map(|key| self.crashes.get(key).map(|c| (c.at, *key, c))).collect();
        crashes.sort_unstable_by_key(|(at, key, _)| (*at, *key));
        let mut requests: BTreeSet<Fingerprint> = BTreeSet::new();
        let mut last = None;
        let mut chosen = Suspect { crashes: BTreeMap::new(), servers: suspect.servers };
        let mut has_unexplained = false;
        for (at, key, crash) in crashes {
            let follows =
                |run: &Run| last.is_none_or(|last| at.saturating_sub(run.run_time) >= last);
            let counts = |(request, run): &(&Fingerprint, &Run)| {
                run.parts.contains(&part)
                    && follows(run)
                    && !(distinct && requests.contains(*request))
                    && (!crash.explained || self.is_explanation(**request, run))
            };
            let Some((request, run)) = crash.present.iter().find(counts) else { continue };
            requests.insert(*request);
            chosen.crashes.insert(key, run.run_time);
            last = Some(at);
            has_unexplained |= !crash.explained;
        }
        Succession { crashes: chosen, has_unexplained }
    }

    /// Whether an interrupted request explains the crash, because it or a part of it is blocked.
    fn is_explanation(&self, request: Fingerprint, run: &Run) -> bool {
        self.is_blocked(request) || run.parts.iter().any(|part| self.is_blocked(*part))
    }

    /// Returns the parts that were present at the same crashes as another one. Each may be the cause
    /// in its place.
    pub(super) fn parts_tied_with(&self, suspect: &Suspect) -> Vec<Fingerprint> {
        let Some(first) = suspect.crashes.keys().next().and_then(|key| self.crashes.get(key))
        else {
            return Vec::new();
        };
        let is_tied = |part: &Fingerprint| {
            let other = self.parts.get(part);
            other.is_some_and(|other| other.crashes.keys().eq(suspect.crashes.keys()))
        };
        let parts: BTreeSet<Fingerprint> =
            first.present.values().flat_map(|run| run.parts.iter().copied()).collect();
        parts.into_iter().filter(is_tied).collect()
    }

    /// Number of successive crashes of a part since an answer last began on it.
    fn successive_crashes(&self, part: Fingerprint) -> usize {
        let Some(suspect) = self.parts.get(&part) else { return 0 };
        self.succession(part, suspect, false).crashes.crashes.len()
    }

    /// Whether the requests with a part run one at a time: each result is awaited before the next
    /// run, since runs side by side would crash more servers and add no evidence.
    ///
    /// ```
    /// use cardamomvalve::poison::{Fingerprint, State};
    /// assert!(!State::default().serializes_part(Fingerprint::of_part(7)));
    /// ```
    pub fn serializes_part(&self, part: Fingerprint) -> bool {
        self.successive_crashes(part) >= MIN_CRASHES_TO_SERIALIZE
    }

    /// Whether a part was present at a crash before `at`, and no answer has begun on it since.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::poison::{Fingerprint, State};
    /// assert!(!State::default().is_part_suspected_since(Fingerprint::of_part(7), Duration::MAX));
    /// ```
    pub fn is_part_suspected_since(&self, part: Fingerprint, at: Time) -> bool {
        let keys = self.parts.get(&part).into_iter().flat_map(|suspect| suspect.crashes.keys());
        keys.filter_map(|key| self.crashes.get(key)).any(|crash| crash.at <= at)
    }

    /// Whether a part on which no answer has begun since was present at a crash after `from`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::poison::{Fingerprint, State};
    /// assert!(!State::default().has_part_crashed_since(Fingerprint::of_part(7), Duration::ZERO));
    /// ```
    pub fn has_part_crashed_since(&self, part: Fingerprint, from: Time) -> bool {
        let keys = self.parts.get(&part).into_iter().flat_map(|suspect| suspect.crashes.keys());
        keys.filter_map(|key| self.crashes.get(key)).any(|crash| crash.at > from)
    }

    /// Number of parts on which no answer has begun since a crash.
    pub fn suspect_part_count(&self) -> usize {
        self.parts.len()
    }

    /// Clears a part on which an answer has begun. Returns whether it was a suspect.
    ///
    /// ```
    /// use cardamomvalve::poison::{Fingerprint, State};
    /// assert!(!State::default().clear_part(Fingerprint::of_part(7)));
    /// ```
    pub fn clear_part(&mut self, part: Fingerprint) -> bool {
        self.parts.remove(&part).is_some()
    }
}
