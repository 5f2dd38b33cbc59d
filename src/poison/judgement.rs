//! Judges whether a request is the cause of the crashes at which it was present.

use super::Fingerprint;
use super::evidence::{Baseline, Evidence, Key, MIN_CRASHES, Suspect};
use super::state::{Crash, State};
use crate::prelude::*;

/// Crashes at which a request is blocked even if chance is not ruled out. Otherwise a few servers
/// that crash often would never give enough evidence, and a request that runs for seconds before it
/// crashes its server would continue for long.
pub(super) const CRASH_LIMIT: usize = 6;
/// Same as [`MAX_EXPECTED`] at that many crashes, where servers are known to crash spontaneously.
const MAX_EXPECTED_AT_CRASH_LIMIT: f64 = 0.01;
/// Min crashes without a remaining suspect from which on servers are known to crash spontaneously.
const MIN_SPONTANEOUS_CRASHES: usize = 3;
/// Time for which spontaneous crashes count. It is longer than requests run, since the newest
/// crashes always have remaining suspects.
const SPONTANEOUS_CRASH_WINDOW: Duration = Duration::from_secs(30);
/// Max expected number of requests present by chance at as many crashes as a request that is
/// blocked. While servers crash one after the other, requests that run for seconds are present at
/// three crashes too, and some of a large number at more.
pub(super) const MAX_EXPECTED: f64 = 1e-4;
/// Same as [`MAX_EXPECTED`] for a request that a crash interrupted while it ran alone, and where
/// servers crash without the request: each crash there is one more occasion for chance.
const MAX_EXPECTED_AMONG_MANY: f64 = 1e-6;
/// Same as [`MAX_EXPECTED_AMONG_MANY`] at [`CRASH_LIMIT`].
const MAX_EXPECTED_AMONG_MANY_AT_CRASH_LIMIT: f64 = 1e-5;
/// Min crashes without a request from which on servers are known to crash without it.
const MIN_OTHER_CRASHES: usize = 3;
/// Max expected number of requests present by chance at as many crashes as a request that must run
/// alone. Many of the requests at two crashes are there by chance and need not wait.
const MAX_EXPECTED_TO_ISOLATE: f64 = 0.1;
/// Factor by which chance is less likely for each further run of about the same length. A harmful
/// request crashes servers after a similar time, which is longer where servers are busy.
const MIN_RUN_SPREAD: f64 = 0.5;
/// Min ratio of a rival's chance of being present at its crashes by coincidence to a suspect's, for
/// the rival not to be taken for the cause of their shared crashes.
const MIN_LIKELIHOOD_RATIO: f64 = 1e3;
/// Max probability that one of the requests interrupted at each crash had run for as short a time
/// as the suspect, for its short runs to distinguish it from a rival. Where all had just arrived,
/// short runs are no evidence.
const MAX_SHORT_RUN_PROBABILITY: f64 = 0.01;
/// Min number of requests that a suspect counts as one of: where few run, interrupted requests meet
/// again soon.
const MIN_REQUESTS: usize = 5;
/// Min crashes of another request for it to be a possible cause of a suspect's crashes.
pub(super) const MIN_RIVAL_CRASHES: usize = 2;
/// Time before the first and after the last of a request's crashes that is included in the crash
/// rate of the pool.
const BASELINE_MARGIN: Duration = Duration::from_secs(1);

impl State {
    /// Returns the evidence against a request if it suffices for a block: it was present at so many
    /// crashes, and so briefly before each, that none of the interrupted requests is expected there
    /// by chance, even if another suspect caused some; or it reached [`CRASH_LIMIT`].
    pub(super) fn evidence_to_block(&self, fingerprint: Fingerprint) -> Option<Evidence> {
        let suspect = self.suspects.get(&fingerprint)?;
        if suspect.crashes.len() < MIN_CRASHES {
            return None;
        }
        let expected = self.expected_by_chance(suspect);
        let is_sure = expected <= self.max_expected(suspect)
            && (self.has_isolated_crash(suspect) || self.has_no_rival(fingerprint, suspect));
        let is_enough = is_sure
            || self.crashes_best_explained_by(fingerprint, suspect) >= CRASH_LIMIT
                && !self.is_likely_coincidence(suspect, expected);
        is_enough.then_some(Evidence { crashes: suspect.crashes.len(), expected })
    }

    /// Max expected number of requests present by chance for a suspect to be blocked.
    fn max_expected(&self, suspect: &Suspect) -> f64 {
        let is_alone = |key: &Key| self.crashes.get(key).is_some_and(|c| c.present.len() == 1);
        let was_always_alone = suspect.crashes.keys().all(is_alone);
        let has_bystanders = self.has_isolated_crash(suspect) && !was_always_alone;
        let is_among_many = self.isolates && self.crashes_without(suspect) >= MIN_OTHER_CRASHES;
        match has_bystanders || is_among_many {
            true => MAX_EXPECTED_AMONG_MANY,
            false => MAX_EXPECTED,
        }
    }

    /// Whether a suspect was present at a crash that interrupted no other request.
    fn has_isolated_crash(&self, suspect: &Suspect) -> bool {
        suspect.crashes.keys().any(|key| self.is_isolated(key))
    }

    fn is_isolated(&self, key: &Key) -> bool {
        self.crashes.get(key).is_some_and(|crash| crash.is_isolated)
    }

    fn has_no_rival(&self, fingerprint: Fingerprint, suspect: &Suspect) -> bool {
        let baseline = self.baseline(suspect);
        let rivals = self.rivals(fingerprint, suspect);
        rivals.into_iter().all(|rival| self.is_distinguishable_from(suspect, baseline, rival))
    }

    /// Whether a request must run alone: it was present at several crashes, and chance hardly
    /// explains that or is decided by the next one.
    pub fn runs_alone(&self, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return false };
        let next = suspect.crashes.len() + 1;
        let is_unlikely = || suspect.expected(self.baseline(suspect)) <= MAX_EXPECTED_TO_ISOLATE;
        next >= CRASH_LIMIT || next >= MIN_CRASHES && is_unlikely()
    }

    /// Whether chance explains a suspect worse than it explains `other`.
    pub fn is_stronger_suspect(&self, fingerprint: Fingerprint, other: Fingerprint) -> bool {
        let expected = |fingerprint| {
            let suspect = self.suspects.get(&fingerprint)?;
            Some(suspect.expected(self.baseline(suspect)))
        };
        match (expected(fingerprint), expected(other)) {
            (Some(own), Some(other)) => own < other,
            (own, _) => own.is_some(),
        }
    }

    /// Returns the longest run of a suspect before a crash.
    pub fn longest_run(&self, fingerprint: Fingerprint) -> Duration {
        let suspect = self.suspects.get(&fingerprint);
        suspect.and_then(|suspect| suspect.crashes.values().max().copied()).unwrap_or_default()
    }

    /// Expected number of unrelated requests at as many crashes, either with runs as short as the
    /// suspect's or with runs as similar.
    fn expected_by_chance(&self, suspect: &Suspect) -> f64 {
        let (isolated, shared) = suspect.partition(|key| self.is_isolated(key));
        let rate = self.spontaneous_crash_rate(suspect);
        let baseline = self.baseline(&shared);
        let chance = |run: f64| (rate * run).min(1.0);
        let as_short = shared.expected(baseline) * isolated.run_time().map(chance).product::<f64>();
        let longest = suspect.run_time().fold(0.0, f64::max);
        let shortest = suspect.crashes.values().min().map_or(0.0, Duration::as_secs_f64);
        let spread = (1.0 - shortest / longest).max(MIN_RUN_SPREAD);
        let as_similar = shared.expected_at_run(baseline, longest)
            * chance(longest).powi(isolated.crashes.len() as i32)
            * spread.powi(suspect.crashes.len() as i32 - 1);
        as_short.min(as_similar)
    }

    /// Crashes per server and second, if no request causes them. The suspect's isolated crashes are
    /// judged by this rate and don't count.
    fn spontaneous_crash_rate(&self, suspect: &Suspect) -> f64 {
        let crashes = self.recent_crashes(suspect);
        let shared: Vec<Time> =
            crashes.filter(|(_, crash)| !crash.is_isolated).map(|(_, crash)| crash.at).collect();
        let span = self.span_since(suspect, shared.iter().min().copied());
        (shared.len() + 1) as f64 / (f64::from(suspect.servers.max(1)) * span.as_secs_f64())
    }

    /// Crashes per server and second at which a suspect was not present.
    fn crash_rate_without(&self, suspect: &Suspect) -> f64 {
        let others = self.recent_crashes_without(suspect);
        let others: Vec<Time> = others.map(|crash| crash.at).collect();
        let span = self.span_since(suspect, others.iter().min().copied());
        others.len() as f64 / (f64::from(suspect.servers.max(1)) * span.as_secs_f64())
    }

    /// Time from a crash to a suspect's last one, with a margin.
    fn span_since(&self, suspect: &Suspect, first: Option<Time>) -> Duration {
        let (_, last) = self.crash_span(suspect);
        first.map_or(SPONTANEOUS_CRASH_WINDOW, |first| last - first + BASELINE_MARGIN)
    }

    /// Counts the recent crashes of a suspect's pool at which it was not present.
    fn crashes_without(&self, suspect: &Suspect) -> usize {
        self.recent_crashes_without(suspect).count()
    }

    /// Counts those at which no other request was present that must run alone, too, and is the
    /// likely cause.
    fn crashes_without_suspects(&self, suspect: &Suspect) -> usize {
        let others = self.recent_crashes_without(suspect);
        others.filter(|crash| !crash.present.keys().any(|other| self.runs_alone(*other))).count()
    }

    fn recent_crashes_without(&self, suspect: &Suspect) -> impl Iterator<Item = &Crash> {
        let others = self.recent_crashes(suspect);
        let others = others.filter(|(key, _)| !suspect.crashes.contains_key(*key));
        others.map(|(_, crash)| crash)
    }

    /// Returns the unexplained crashes of a suspect's pool up to its own last one.
    fn recent_crashes(&self, suspect: &Suspect) -> impl Iterator<Item = (&Key, &Crash)> {
        let (_, last) = self.crash_span(suspect);
        self.unexplained_crashes(suspect, last.saturating_sub(SPONTANEOUS_CRASH_WINDOW), last)
    }

    /// Whether servers crash spontaneously, and so often that some request is expected to be
    /// present at as many crashes.
    fn is_likely_coincidence(&self, suspect: &Suspect, expected: f64) -> bool {
        if self.has_isolated_crash(suspect) {
            return expected > MAX_EXPECTED_AMONG_MANY_AT_CRASH_LIMIT
                && self.crashes_without_suspects(suspect) >= MIN_OTHER_CRASHES;
        }
        suspect.expected_at_longest_run(self.baseline(suspect)) > MAX_EXPECTED_AT_CRASH_LIMIT
            && self.spontaneous_crashes(suspect) >= MIN_SPONTANEOUS_CRASHES
    }

    /// Returns the crashes in a suspect's pool, up to its own last one, that no request can have
    /// caused: all interrupted requests were answered since.
    fn spontaneous_crashes(&self, suspect: &Suspect) -> usize {
        let crashes = self.recent_crashes(suspect).map(|(_, crash)| crash);
        let is_suspect = |present: &Fingerprint| self.suspects.contains_key(present);
        crashes.filter(|crash| !crash.present.keys().any(is_suspect)).count()
    }

    /// Whether a suspect rather than `rival` is the cause of its crashes. Either enough crashes are
    /// left without the shared ones, or the rival had run for long, as unrelated requests do, and
    /// the suspect had just arrived.
    fn is_distinguishable_from(
        &self,
        suspect: &Suspect,
        baseline: Baseline,
        rival: &Suspect,
    ) -> bool {
        let apart = suspect.without_shared_crashes(rival);
        if apart.crashes.len() >= MIN_CRASHES && apart.expected(baseline) <= MAX_EXPECTED {
            return true;
        }
        let rival_expected = rival.expected_at_longest_run(self.baseline(rival)).min(1.0);
        let own_expected = suspect.expected_at_longest_run(baseline);
        rival_expected >= MIN_LIKELIHOOD_RATIO * own_expected
            && self.short_run_probability(suspect) <= MAX_SHORT_RUN_PROBABILITY
    }

    /// Probability that one of the requests interrupted at each crash of a suspect had run no
    /// longer than the suspect.
    fn short_run_probability(&self, suspect: &Suspect) -> f64 {
        let shares = suspect.crashes.iter().filter_map(|(key, run_time)| {
            let present = &self.crashes.get(key)?.present;
            let as_short = present.values().filter(|other| other.run_time <= *run_time).count();
            Some(as_short as f64 / present.len() as f64)
        });
        shares.product()
    }

    /// Counts the crashes of a suspect, if they are many, at which no rival was present that is
    /// less likely to have been at its own crashes by chance. Otherwise, with several causes at
    /// once, requests that follow them from crash to crash would be blocked.
    fn crashes_best_explained_by(&self, fingerprint: Fingerprint, suspect: &Suspect) -> usize {
        if suspect.crashes.len() < CRASH_LIMIT {
            return 0;
        }
        let chance = |suspect: &Suspect| suspect.expected(self.baseline(suspect));
        let own_expected = chance(suspect);
        let rivals = self.rivals(fingerprint, suspect).into_iter();
        let many = rivals.filter(|rival| rival.crashes.len() >= MIN_CRASHES);
        let better: Vec<&Suspect> = many.filter(|rival| chance(rival) < own_expected).collect();
        let explained = |key: &&Key| better.iter().any(|rival| rival.crashes.contains_key(*key));
        suspect.crashes.keys().filter(|key| !explained(key)).count()
    }

    /// Returns other suspects that were present at several crashes and at one or more of this
    /// suspect's.
    fn rivals(&self, fingerprint: Fingerprint, suspect: &Suspect) -> Vec<&Suspect> {
        let present = suspect.crashes.keys().filter_map(|key| self.crashes.get(key));
        let present: BTreeSet<&Fingerprint> =
            present.flat_map(|crash| crash.present.keys()).collect();
        let others = present.into_iter().filter(|other| **other != fingerprint);
        let others = others.filter_map(|other| self.suspects.get(other));
        others.filter(|other| other.crashes.len() >= MIN_RIVAL_CRASHES).collect()
    }

    /// Returns the crash statistics of a suspect's pool around the suspect's crashes. Where servers
    /// crashed less often than usual, the usual number counts.
    pub(super) fn baseline(&self, suspect: &Suspect) -> Baseline {
        let (first, last) = self.crash_span(suspect);
        let (first, last) = (first.saturating_sub(BASELINE_MARGIN), last + BASELINE_MARGIN);
        let crashes = self.unexplained_crashes(suspect, first, last).map(|(_, crash)| crash);
        let crashes: Vec<&Crash> = crashes.collect();
        let requests: BTreeSet<&Fingerprint> =
            crashes.iter().flat_map(|crash| crash.present.keys()).collect();
        let server_seconds = f64::from(suspect.servers.max(1)) * (last - first).as_secs_f64();
        let usual = self.crash_rate_without(suspect) * server_seconds;
        Baseline {
            crashes: crashes.len().max(usual.round() as usize),
            requests: requests.len().max(MIN_REQUESTS),
            server_seconds,
        }
    }

    /// Returns the times of a suspect's first and last crash.
    fn crash_span(&self, suspect: &Suspect) -> (Time, Time) {
        let at = || suspect.crashes.keys().filter_map(|key| Some(self.crashes.get(key)?.at));
        (at().min().unwrap_or_default(), at().max().unwrap_or_default())
    }

    /// Returns the unexplained crashes in a suspect's pool during a period.
    fn unexplained_crashes(
        &self,
        suspect: &Suspect,
        from: Time,
        to: Time,
    ) -> impl Iterator<Item = (&Key, &Crash)> {
        let pool = suspect.crashes.keys().find_map(|key| Some(self.crashes.get(key)?.pool));
        self.crashes.iter().filter(move |(_, crash)| {
            !crash.explained && Some(crash.pool) == pool && (from..=to).contains(&crash.at)
        })
    }
}
