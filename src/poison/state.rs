//! Records server crashes with the requests that they interrupted, and the blocks that follow.

use super::evidence::{Evidence, Key, MIN_CRASHES, Suspect};
use super::judgement::MIN_RIVAL_CRASHES;
use super::{Blocked, Fingerprint, Incarnation, Interruption};
use crate::prelude::*;

/// Time for which a crash is kept.
const CRASH_RETENTION: Duration = Duration::from_secs(3_600);
/// Max number of crashes kept; with twenty requests each they take some 2 MB.
const MAX_CRASHES: usize = 2_048;
/// Time for which a request stays blocked. A caller that repeats it without pause crashes no more
/// than three servers a day, and operators have time to fix them.
pub const BLOCK_DURATION: Duration = Duration::from_secs(24 * 3_600);
/// Time for which a lifted block is not accepted from peers. It is longer than daemons are frozen
/// or partitioned; these still announce the block when they return.
const LIFTED_RETENTION: Duration = Duration::from_secs(3_600);
/// Max number of blocks; the oldest is removed for a new one.
const MAX_BLOCKS: usize = 4_096;

/// A run that a crash interrupted.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) run_time: Duration,
    /// The parts of the request's prompt that others may share, if its answer had not begun.
    pub(super) parts: Vec<Fingerprint>,
}

/// One crash of a server.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) at: Time,
    pub(super) pool: u64,
    /// Number of servers in that pool.
    servers: u32,
    /// The interrupted requests.
    pub(super) present: BTreeMap<Fingerprint, Run>,
    /// Whether one of them is blocked, and therefore the cause.
    pub(super) explained: bool,
    /// Whether the only interrupted request was to run alone.
    pub(super) is_isolated: bool,
}

/// The state of one block.
#[derive(Debug, Clone, Copy)]
struct Block {
    /// When this daemon learned of the block.
    received_at: Time,
    /// Age of the block at that time; it may precede the start of this daemon's clock.
    age: Duration,
    /// Whether the platform's store is known to hold it.
    is_stored: bool,
    /// When it is next written there.
    write_at: Time,
    /// The evidence, if this daemon decided on the block.
    evidence: Option<Evidence>,
}

impl Block {
    /// How long the request has been blocked.
    fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.received_at).saturating_add(self.age)
    }
}

/// Crashes of servers, suspects and blocks.
#[derive(Debug, Default)]
pub struct State {
    pub(super) crashes: BTreeMap<Key, Crash>,
    /// The unexplained crashes by the requests that were present.
    pub(super) suspects: BTreeMap<Fingerprint, Suspect>,
    /// The crashes by the parts of prompts on which no answer has begun since.
    pub(super) parts: BTreeMap<Fingerprint, Suspect>,
    blocks: BTreeMap<Fingerprint, Block>,
    /// Lifted blocks, and when this daemon learned of it.
    lifted: BTreeMap<Fingerprint, Time>,
    /// Whether this daemon runs suspects alone, so that stronger evidence can be had.
    pub(super) isolates: bool,
}

impl State {
    /// Creates the state of a daemon that runs suspects alone.
    ///
    /// ```
    /// use cardamomvalve::poison::{Fingerprint, State};
    /// assert!(!State::isolating().runs_alone(Fingerprint(7)));
    /// ```
    pub fn isolating() -> Self {
        Self { isolates: true, ..Self::default() }
    }

    /// Records that a request was running at a server that crashed. Returns whether this blocks it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::poison::{Fingerprint, Incarnation, Interruption, State};
    /// let mut state = State::default();
    /// let mut crash = |server| {
    ///     let incarnation = Incarnation::of(server, Some("1"));
    ///     let interruption = Interruption {
    ///         fingerprint: Fingerprint(7),
    ///         parts: Vec::new(),
    ///         incarnation,
    ///         pool: 1,
    ///         servers: 20,
    ///         run_time: Duration::from_millis(100),
    ///         age: Duration::ZERO,
    ///         ran_alone: false,
    ///     };
    ///     state.record_interruption(Duration::from_secs(9), interruption)
    /// };
    /// assert!(!crash("s-1") && !crash("s-2") && crash("s-3"));
    /// ```
    pub fn record_interruption(&mut self, now: Time, interruption: Interruption) -> bool {
        !self.record_interruptions(now, &[interruption]).is_empty()
    }

    /// Records the requests that crashes interrupted. Returns those that this blocks.
    ///
    /// All are recorded before any is judged, and the strongest suspect is judged first: its block
    /// explains crashes that then no longer count against the others.
    pub fn record_interruptions(
        &mut self,
        now: Time,
        interruptions: &[Interruption],
    ) -> Vec<Fingerprint> {
        let recorded = interruptions.iter().filter(|interruption| self.insert(now, interruption));
        let mut undecided: BTreeSet<Fingerprint> =
            recorded.map(|interruption| interruption.fingerprint).collect();
        let mut blocked = Vec::new();
        while let Some((fingerprint, evidence)) = self.strongest_to_block(&undecided) {
            undecided.remove(&fingerprint);
            if self.block_with_evidence(now, fingerprint, Some(evidence)) {
                blocked.push(fingerprint);
            }
        }
        blocked
    }

    /// Records an interruption. Returns whether it counts against its request.
    fn insert(&mut self, now: Time, interruption: &Interruption) -> bool {
        let Interruption {
            fingerprint, incarnation, pool, servers, run_time, age, ran_alone, ..
        } = *interruption;
        let key = self.crash_key(incarnation, (pool, servers), now.saturating_sub(age));
        let Some(crash) = self.crashes.get_mut(&key) else { return false };
        if crash.present.contains_key(&fingerprint) {
            return false;
        }
        crash.present.insert(fingerprint, Run { run_time, parts: interruption.parts.clone() });
        crash.is_isolated = ran_alone && crash.present.len() == 1;
        let is_explained = crash.explained;
        if interruption.parts.iter().any(|part| self.is_blocked(*part)) {
            self.mark_explained(key, &[]);
            return false;
        }
        if self.is_blocked(fingerprint) {
            // A part of its prompt may be why it crashes servers.
            self.mark_explained(key, &interruption.parts);
            self.insert_parts(key, interruption);
            return false;
        }
        if is_explained {
            return false;
        }
        self.insert_parts(key, interruption);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.crashes.insert(key, run_time);
        suspect.servers = servers;
        true
    }

    /// Returns the request with enough evidence for a block that chance explains worst.
    fn strongest_to_block(
        &self,
        undecided: &BTreeSet<Fingerprint>,
    ) -> Option<(Fingerprint, Evidence)> {
        let with_evidence = undecided
            .iter()
            .filter_map(|fingerprint| Some((*fingerprint, self.evidence_to_block(*fingerprint)?)));
        with_evidence.min_by(|(_, a), (_, b)| a.expected.total_cmp(&b.expected))
    }

    /// Returns the key of the crash observed at `at`, and records the crash if it is new.
    fn crash_key(
        &mut self,
        incarnation: Incarnation,
        (pool, servers): (u64, u32),
        at: Time,
    ) -> Key {
        let last = self.crashes.range((incarnation, 0)..=(incarnation, u32::MAX)).next_back();
        let key = match last {
            None => (incarnation, 0),
            Some((key, crash)) if incarnation.is_same_crash(crash.at, at) => *key,
            Some(((_, number), _)) => (incarnation, number + 1),
        };
        let crash = || Crash {
            at,
            pool,
            servers,
            present: BTreeMap::new(),
            explained: false,
            is_isolated: false,
        };
        self.crashes.entry(key).or_insert_with(crash);
        key
    }

    /// Blocks a request. Returns whether it was not blocked before.
    pub fn block(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.block_with_evidence(now, fingerprint, None)
    }

    pub(super) fn block_with_evidence(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        evidence: Option<Evidence>,
    ) -> bool {
        self.lifted.remove(&fingerprint);
        let is_new = self.merge_block(now, Blocked { fingerprint, age: Duration::ZERO });
        if let Some(block) = self.blocks.get_mut(&fingerprint).filter(|_| is_new) {
            block.evidence = evidence;
        }
        is_new
    }

    /// Returns the log detail of a block.
    pub fn detail(&self, now: Time, fingerprint: Fingerprint) -> Detail {
        let evidence = self.evidence(fingerprint);
        Detail::of("fingerprint", fingerprint.to_string())
            .and("left_ms", self.block_remaining(now, fingerprint))
            .and_some("ends", evidence.map(|evidence| evidence.crashes))
            .and_some("expected", evidence.map(|evidence| evidence.expected))
    }

    /// Returns the evidence for a block, if this daemon decided on it.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<Evidence> {
        self.blocks.get(&fingerprint)?.evidence
    }

    /// Merges a block from a peer. Returns whether the request was not blocked before. The greatest
    /// age wins: if age counted from each receipt, two daemons would keep a block alive for each
    /// other. A peer that doesn't know yet that a block was lifted still announces it, so a lifted
    /// block stays lifted, or it would be blocked everywhere again.
    pub fn merge_block(&mut self, now: Time, remote: Blocked) -> bool {
        let Blocked { fingerprint, age } = remote;
        let is_over = age >= BLOCK_DURATION || self.lifted.contains_key(&fingerprint);
        if is_over && !self.is_blocked(fingerprint) {
            return false;
        }
        self.insert_block(now, remote)
    }

    fn insert_block(&mut self, now: Time, remote: Blocked) -> bool {
        let Blocked { fingerprint, age } = remote;
        if let Some(block) = self.blocks.get_mut(&fingerprint) {
            if age > block.age(now) {
                (block.received_at, block.age) = (now, age);
            }
            return false;
        }
        self.explain_crashes(fingerprint);
        if self.blocks.len() >= MAX_BLOCKS
            && let Some(oldest) = self.blocks.iter().max_by_key(|(_, block)| block.age(now))
        {
            let oldest = *oldest.0;
            self.blocks.remove(&oldest);
        }
        let block =
            Block { received_at: now, age, is_stored: false, write_at: now, evidence: None };
        self.blocks.insert(fingerprint, block);
        true
    }

    /// Merges a block that the platform's store holds. Returns whether the request is blocked and
    /// was not before. An expired block is added until [`Self::expire`] finds it, so that it is
    /// also removed from the store.
    pub fn add_stored_block(&mut self, now: Time, remote: Blocked) -> bool {
        self.lifted.remove(&remote.fingerprint);
        let is_new = self.insert_block(now, remote);
        if let Some(block) = self.blocks.get_mut(&remote.fingerprint) {
            block.is_stored = true;
        }
        is_new && remote.age < BLOCK_DURATION
    }

    /// Removes a block that had expired before the next one from the store.
    pub fn remove_block(&mut self, fingerprint: Fingerprint) {
        self.blocks.remove(&fingerprint);
    }

    /// Lifts a block that the platform's store no longer holds. Returns whether there was one.
    pub fn lift(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.lifted.insert(fingerprint, now);
        self.blocks.remove(&fingerprint).is_some()
    }

    /// Clears a suspect that was answered, since it doesn't crash servers. Returns `None` if it was
    /// no suspect, else the requests that are blocked now that it can't have been the cause.
    pub fn clear_suspect(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
    ) -> Option<Vec<Fingerprint>> {
        let cleared = self.suspects.remove(&fingerprint)?;
        if cleared.crashes.len() < MIN_RIVAL_CRASHES {
            return Some(Vec::new());
        }
        let present = cleared.crashes.keys().filter_map(|key| self.crashes.get(key));
        let present: BTreeSet<Fingerprint> =
            present.flat_map(|crash| crash.present.keys().copied()).collect();
        let to_block =
            present.into_iter().filter_map(|other| Some((other, self.evidence_to_block(other)?)));
        let to_block: Vec<(Fingerprint, Evidence)> = to_block.collect();
        let blocked = to_block
            .into_iter()
            .filter(|(other, evidence)| self.block_with_evidence(now, *other, Some(*evidence)));
        Some(blocked.map(|(other, _)| other).collect())
    }

    /// Whether anything is blocked.
    pub fn has_blocks(&self) -> bool {
        !self.blocks.is_empty()
    }

    /// Whether a request, or a part of prompts, is blocked.
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.blocks.contains_key(&fingerprint)
    }

    /// Returns the remaining time of a block.
    pub fn block_remaining(&self, now: Time, fingerprint: Fingerprint) -> Duration {
        let block = self.blocks.get(&fingerprint);
        block.map_or(Duration::ZERO, |block| BLOCK_DURATION.saturating_sub(block.age(now)))
    }

    /// Whether a request is blocked, or present at enough crashes for a block if `additional` ones
    /// are counted.
    pub fn reaches_block_threshold(&self, fingerprint: Fingerprint, additional: usize) -> bool {
        self.is_blocked(fingerprint) || self.crash_count(fingerprint) + additional >= MIN_CRASHES
    }

    /// Whether a request is at most one crash short of the number for a block.
    pub fn is_near_block_threshold(&self, fingerprint: Fingerprint) -> bool {
        !self.suspects.is_empty() && self.reaches_block_threshold(fingerprint, 1)
    }

    /// For a request near the block threshold, keeps the candidate servers whose running requests
    /// have the fewest crashes: a crash beside another suspect would not tell the two apart.
    pub fn avoid_other_suspects<K: Ord, T>(
        &self,
        fingerprint: Fingerprint,
        running: impl Iterator<Item = (Fingerprint, K)>,
        candidates: &mut Vec<(K, T)>,
    ) {
        if !self.is_near_block_threshold(fingerprint) {
            return;
        }
        let mut max_crashes: BTreeMap<K, usize> = BTreeMap::new();
        let rivals = running.filter(|(other, _)| *other != fingerprint);
        for (other, candidate) in rivals.filter(|(other, _)| self.is_near_block_threshold(*other)) {
            let max = max_crashes.entry(candidate).or_insert(0);
            *max = self.crash_count(other).max(*max);
        }
        let crashes_of = |candidate: &K| max_crashes.get(candidate).copied().unwrap_or_default();
        let min_crashes =
            candidates.iter().map(|(candidate, _)| crashes_of(candidate)).min().unwrap_or_default();
        candidates.retain(|(candidate, _)| crashes_of(candidate) == min_crashes);
    }

    /// Whether a request was present at enough crashes for a block while chance is not ruled out.
    /// The result of one run is awaited before the next, since copies side by side would crash more
    /// servers and add no evidence.
    pub fn runs_one_at_a_time(&self, fingerprint: Fingerprint) -> bool {
        self.crash_count(fingerprint) >= MIN_CRASHES
    }

    /// Whether a server of a pool has crashed since `from`.
    pub fn has_crash_since(&self, from: Time, pool: u64) -> bool {
        self.crashes.values().any(|crash| crash.pool == pool && crash.at >= from)
    }

    /// Returns the number of unexplained crashes at which a request was present.
    fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns all interruptions that count against a request or a part of its prompt, for a daemon
    /// that takes over.
    pub fn interruptions(&self, now: Time) -> Vec<Interruption> {
        let suspects = self.suspects.values().chain(self.parts.values());
        let keys: BTreeSet<Key> =
            suspects.flat_map(|suspect| suspect.crashes.keys().copied()).collect();
        let crashes = keys.into_iter().filter_map(|key| Some((key, self.crashes.get(&key)?)));
        crashes.flat_map(|(key, crash)| self.interruptions_by(now, key, crash)).collect()
    }

    fn interruptions_by(&self, now: Time, key: Key, crash: &Crash) -> Vec<Interruption> {
        let counts = |suspects: &BTreeMap<Fingerprint, Suspect>, fingerprint: &Fingerprint| {
            suspects.get(fingerprint).is_some_and(|suspect| suspect.crashes.contains_key(&key))
        };
        let present = crash.present.iter().filter_map(|(fingerprint, run)| {
            let parts = run.parts.iter().filter(|part| counts(&self.parts, part));
            let parts: Vec<Fingerprint> = parts.copied().collect();
            let is_suspect = counts(&self.suspects, fingerprint);
            (is_suspect || !parts.is_empty()).then(|| Interruption {
                fingerprint: *fingerprint,
                parts,
                incarnation: key.0,
                pool: crash.pool,
                servers: crash.servers,
                run_time: run.run_time,
                age: now.saturating_sub(crash.at),
                ran_alone: crash.is_isolated,
            })
        });
        present.collect()
    }

    /// Returns the blocks that the platform's store is not known to hold.
    pub fn unstored_blocks(&self, now: Time) -> Vec<Blocked> {
        let unstored = |blocked: &Blocked| {
            self.blocks.get(&blocked.fingerprint).is_some_and(|block| !block.is_stored)
        };
        self.blocks(now).filter(unstored).collect()
    }

    /// Returns all blocks.
    pub fn blocks(&self, now: Time) -> impl Iterator<Item = Blocked> {
        let blocks = self.blocks.iter();
        blocks.map(move |(fingerprint, block)| Blocked {
            fingerprint: *fingerprint,
            age: block.age(now),
        })
    }

    /// Returns the blocks to write to the platform's store now. Each is due again after `pause`
    /// unless the store is seen to hold it by then.
    pub fn due_writes(&mut self, now: Time, pause: Duration) -> Vec<Blocked> {
        let due =
            self.blocks.iter_mut().filter(|(_, block)| !block.is_stored && now >= block.write_at);
        let due = due.map(|(fingerprint, block)| {
            block.write_at = now + pause;
            Blocked { fingerprint: *fingerprint, age: block.age(now) }
        });
        due.collect()
    }

    /// Removes old crashes and expired blocks. Returns the expired blocks.
    pub fn expire(&mut self, now: Time) -> Vec<Fingerprint> {
        let surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        let mut oldest: Vec<(Time, Key)> = Vec::new();
        if surplus > 0 {
            oldest = self.crashes.iter().map(|(key, crash)| (crash.at, *key)).collect();
            oldest.sort_unstable();
            oldest.truncate(surplus);
        }
        let old = self.crashes.iter().filter(|(_, crash)| now >= crash.at + CRASH_RETENTION);
        let old: Vec<Key> = old.map(|(key, _)| *key).collect();
        for key in oldest.into_iter().map(|(_, key)| key).chain(old) {
            self.mark_explained(key, &[]);
            self.crashes.remove(&key);
        }
        self.lifted.retain(|_, at| now < *at + LIFTED_RETENTION);
        let expired = self.blocks.iter().filter(|(_, block)| block.age(now) >= BLOCK_DURATION);
        let expired: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &expired {
            self.blocks.remove(fingerprint);
        }
        expired
    }
}
