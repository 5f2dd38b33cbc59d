//! Which requests were there when servers ended, and which are blocked for it.

use super::evidence::{Baseline, Evidence, Key, MIN_CRASHES, Suspect};
use super::{Blocked, Fingerprint, Incarnation, Interruption};
use crate::prelude::*;

/// Ends at which a request is blocked however likely chance is: a few servers that end often would else never
/// tell, and a request that runs for seconds before it ends its server would go on for long.
const MAX_UNBLOCKED_CRASHES: usize = 6;
/// The same as [`EXPECTED`] at that many ends, where servers are known to end by themselves as well.
const MAX_EXPECTED_AT_CRASH_LIMIT: f64 = 0.01;
/// Ends that no request is left to have caused from which on servers are known to end by themselves.
const MIN_SPONTANEOUS_CRASHES: usize = 3;
/// Time for which such ends count: longer than requests run, since of the newest ends some are always left.
const SPONTANEOUS_CRASH_WINDOW: Duration = Duration::from_secs(30);
/// How many requests may be expected at as many ends by chance where one is blocked for being there. While servers
/// end one after the other, requests that run for seconds are at three ends too, and of a crowd some are at more.
const MAX_EXPECTED: f64 = 1e-4;
/// How many times more likely than a suspect another must be to have been at its own ends by chance, so that it is not
/// taken for the cause of those that they share.
const MIN_LIKELIHOOD_RATIO: f64 = 1e3;
/// How likely at most it may be that some one of those that broke at each end had been there for as short a time as the
/// suspect, so that its short runs tell it from them. Where all had just come, short runs tell nothing.
const MAX_SHORT_RUN_PROBABILITY: f64 = 0.01;
/// Requests of which a suspect counts as one at least: where few run, those that break meet again soon.
const MIN_REQUESTS: usize = 5;
/// Ends from which on another request may be the cause of them.
const MIN_RIVAL_CRASHES: usize = 2;
/// Time before the first and after the last of a request's ends in which others tell, too, how often servers of
/// the pool end.
const BASELINE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which an end is remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(3_600);
/// Ends that are remembered at most; with twenty requests each some 2 MB.
const MAX_CRASHES: usize = 2_048;
/// Time for which a request stays blocked: a caller that asks for it without pause ends no more than three
/// servers a day, and operators have had the time to mend theirs.
pub const BLOCK_DURATION: Duration = Duration::from_secs(24 * 3_600);
/// Time for which a block that was lifted is not taken over from peers: longer than daemons are frozen or cut off, who
/// tell of it as they knew it.
const LIFTED_RETENTION: Duration = Duration::from_secs(3_600);
/// Requests that are blocked at most; the oldest is let go for another.
const MAX_BLOCKS: usize = 4_096;

/// What is known of one end of a server.
#[derive(Debug)]
struct Crash {
    at: Time,
    pool: u64,
    /// The requests that broke there, and for how long each had been there.
    present: BTreeMap<Fingerprint, Duration>,
    /// Whether one of them is blocked, and so is the cause.
    explained: bool,
}

/// What is known of a blocked request.
#[derive(Debug, Clone, Copy)]
struct Block {
    /// When this daemon heard of it.
    received_at: Time,
    /// For how long it had been blocked by then, maybe since before this daemon's clock began.
    age: Duration,
    /// Whether the platform's store is known to keep it.
    is_stored: bool,
    /// When it is next to be written there.
    write_at: Time,
    /// What it was blocked for, where this daemon found that itself.
    evidence: Option<Evidence>,
}

impl Block {
    /// For how long the request has been blocked.
    fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.received_at).saturating_add(self.age)
    }
}

/// Ends of servers, and blocked requests.
#[derive(Debug, Default)]
pub struct State {
    crashes: BTreeMap<Key, Crash>,
    /// The ends that nothing explains yet, by the requests that were present.
    suspects: BTreeMap<Fingerprint, Suspect>,
    blocks: BTreeMap<Fingerprint, Block>,
    /// Blocks that were lifted, and when this daemon learnt of that.
    lifted: BTreeMap<Fingerprint, Time>,
}

impl State {
    /// Notes that a request was running at a server that ended; whether it is blocked from now on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::poison::{Fingerprint, State, Interruption, Incarnation};
    /// let mut state = State::default();
    /// let mut end = |server| {
    ///     let incarnation = Incarnation::of(server, Some("1"));
    ///     let interruption = Interruption {
    ///         fingerprint: Fingerprint(7),
    ///         incarnation,
    ///         pool: 1,
    ///         servers: 20,
    ///         run_time: Duration::from_millis(100),
    ///         age: Duration::ZERO,
    ///     };
    ///     state.record_interruption(Duration::from_secs(9), interruption)
    /// };
    /// assert!(!end("s-1") && !end("s-2") && end("s-3"));
    /// ```
    pub fn record_interruption(&mut self, now: Time, interruption: Interruption) -> bool {
        let Interruption { fingerprint, incarnation, pool, servers, run_time, age } = interruption;
        let key = self.crash_key(incarnation, pool, now.saturating_sub(age));
        let Some(crash) = self.crashes.get_mut(&key) else { return false };
        if crash.present.contains_key(&fingerprint) {
            return false;
        }
        crash.present.insert(fingerprint, run_time);
        if crash.explained {
            return false;
        }
        if self.blocks.contains_key(&fingerprint) {
            self.mark_explained(key);
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.crashes.insert(key, run_time);
        suspect.servers = servers;
        let evidence = self.evidence_to_block(fingerprint);
        evidence.is_some() && self.block_with_evidence(now, fingerprint, evidence)
    }

    /// What speaks for it that a request has ended servers, if that is enough to block it: it was at so many ends,
    /// and so briefly before each, that none of all that broke would be there by chance, also where another suspect
    /// may have caused some; or it was at more ends than it is worth to be sure.
    fn evidence_to_block(&self, fingerprint: Fingerprint) -> Option<Evidence> {
        let suspect = self.suspects.get(&fingerprint)?;
        if suspect.crashes.len() < MIN_CRASHES {
            return None;
        }
        let baseline = self.baseline(suspect);
        let expected = suspect.expected(baseline);
        let is_sure = expected <= MAX_EXPECTED
            && self
                .rivals(fingerprint, suspect)
                .into_iter()
                .all(|rival| self.is_distinguishable_from(suspect, baseline, rival));
        let is_enough = is_sure
            || self.crashes_best_explained_by(fingerprint, suspect) >= MAX_UNBLOCKED_CRASHES
                && !self.is_likely_coincidence(suspect, baseline);
        is_enough.then_some(Evidence { crashes: suspect.crashes.len(), expected })
    }

    /// Whether servers end by themselves, and so often that some one of the requests is to be expected at as many ends.
    fn is_likely_coincidence(&self, suspect: &Suspect, baseline: Baseline) -> bool {
        suspect.expected_at_longest_run(baseline) > MAX_EXPECTED_AT_CRASH_LIMIT
            && self.spontaneous_crashes(suspect) >= MIN_SPONTANEOUS_CRASHES
    }

    /// Ends of servers of a suspect's pool, until its own last one, that no request can have caused: all that broke
    /// there were answered since.
    fn spontaneous_crashes(&self, suspect: &Suspect) -> usize {
        let (_, last) = self.crash_span(suspect);
        let crashes =
            self.unexplained_crashes(suspect, last.saturating_sub(SPONTANEOUS_CRASH_WINDOW), last);
        let is_suspect = |present: &Fingerprint| self.suspects.contains_key(present);
        crashes.filter(|crash| !crash.present.keys().any(is_suspect)).count()
    }

    /// Whether a suspect is the cause of ends rather than `rival`: without those that they share there are enough left,
    /// or the rival had been there for long, as others that have no part in it, and the suspect had just come.
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

    /// How likely one of those that broke at each end of a suspect had been there no longer than it.
    fn short_run_probability(&self, suspect: &Suspect) -> f64 {
        let shares = suspect.crashes.iter().filter_map(|(key, run_time)| {
            let present = &self.crashes.get(key)?.present;
            let as_short = present.values().filter(|other| *other <= run_time).count();
            Some(as_short as f64 / present.len() as f64)
        });
        shares.product()
    }

    /// The ends of a suspect, if they are many, at which no other was that is less likely to have been at its own by
    /// chance: several causes at once would else have those blocked that follow them from end to end.
    fn crashes_best_explained_by(&self, fingerprint: Fingerprint, suspect: &Suspect) -> usize {
        if suspect.crashes.len() < MAX_UNBLOCKED_CRASHES {
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

    /// Others that were present at several ends of a suspect.
    fn rivals(&self, fingerprint: Fingerprint, suspect: &Suspect) -> Vec<&Suspect> {
        let present = suspect.crashes.keys().filter_map(|key| self.crashes.get(key));
        let present: BTreeSet<&Fingerprint> =
            present.flat_map(|crash| crash.present.keys()).collect();
        let others = present.into_iter().filter(|other| **other != fingerprint);
        let others = others.filter_map(|other| self.suspects.get(other));
        others.filter(|other| other.crashes.len() >= MIN_RIVAL_CRASHES).collect()
    }

    /// How often servers of a suspect's pool ended around the suspect's ends.
    fn baseline(&self, suspect: &Suspect) -> Baseline {
        let (first, last) = self.crash_span(suspect);
        let (first, last) = (first.saturating_sub(BASELINE_MARGIN), last + BASELINE_MARGIN);
        let crashes: Vec<&Crash> = self.unexplained_crashes(suspect, first, last).collect();
        let requests: BTreeSet<&Fingerprint> =
            crashes.iter().flat_map(|crash| crash.present.keys()).collect();
        let server_seconds = f64::from(suspect.servers.max(1)) * (last - first).as_secs_f64();
        Baseline {
            crashes: crashes.len(),
            requests: requests.len().max(MIN_REQUESTS),
            server_seconds,
        }
    }

    /// When the first and the last end came at which a suspect was.
    fn crash_span(&self, suspect: &Suspect) -> (Time, Time) {
        let at = || suspect.crashes.keys().filter_map(|key| Some(self.crashes.get(key)?.at));
        (at().min().unwrap_or_default(), at().max().unwrap_or_default())
    }

    /// Ends of servers of a suspect's pool in a span of time that nothing explains.
    fn unexplained_crashes(
        &self,
        suspect: &Suspect,
        from: Time,
        to: Time,
    ) -> impl Iterator<Item = &Crash> {
        let pool = suspect.crashes.keys().find_map(|key| Some(self.crashes.get(key)?.pool));
        self.crashes.values().filter(move |crash| {
            !crash.explained && Some(crash.pool) == pool && (from..=to).contains(&crash.at)
        })
    }

    /// The end of a server that was noticed at this time, the first time or once more.
    fn crash_key(&mut self, incarnation: Incarnation, pool: u64, at: Time) -> Key {
        let last = self.crashes.range((incarnation, 0)..=(incarnation, u32::MAX)).next_back();
        let key = match last {
            None => (incarnation, 0),
            Some((key, crash)) if incarnation.is_same_crash(crash.at, at) => *key,
            Some(((_, number), _)) => (incarnation, number + 1),
        };
        let crash = || Crash { at, pool, present: BTreeMap::new(), explained: false };
        self.crashes.entry(key).or_insert_with(crash);
        key
    }

    /// Notes that the cause of an end is known: the others that were present did not end the server.
    fn mark_explained(&mut self, key: Key) {
        let Some(crash) = self.crashes.get_mut(&key) else { return };
        crash.explained = true;
        for present in crash.present.keys() {
            let Some(suspect) = self.suspects.get_mut(present) else { continue };
            suspect.crashes.remove(&key);
            if suspect.crashes.is_empty() {
                self.suspects.remove(present);
            }
        }
    }

    /// Blocks a request; whether it was not blocked before.
    pub fn block(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.block_with_evidence(now, fingerprint, None)
    }

    fn block_with_evidence(
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

    /// What a log line tells of a block.
    pub fn detail(&self, now: Time, fingerprint: Fingerprint) -> Detail {
        let evidence = self.evidence(fingerprint);
        Detail::of("fingerprint", fingerprint.to_string())
            .and("left_ms", self.block_remaining(now, fingerprint))
            .and_some("ends", evidence.map(|evidence| evidence.crashes))
            .and_some("expected", evidence.map(|evidence| evidence.expected))
    }

    /// What a request is blocked for, where this daemon found that itself.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<Evidence> {
        self.blocks.get(&fingerprint)?.evidence
    }

    /// Takes over that others have blocked a request; whether it was not blocked before. The longest age that is told
    /// holds: counted from each hearing, two daemons would keep a block alive for each other. Who has not heard yet that
    /// a block was lifted tells of it on, so what was let go stays so, or it would be blocked everywhere again.
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
        for key in self.suspects.remove(&fingerprint).unwrap_or_default().crashes.into_keys() {
            self.mark_explained(key);
        }
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

    /// Takes over that the platform's store keeps a block; whether the request was not blocked before, and is now. One
    /// that has lapsed is taken over until [`Self::expire`] finds it, and so has it taken away there.
    pub fn add_stored_block(&mut self, now: Time, remote: Blocked) -> bool {
        self.lifted.remove(&remote.fingerprint);
        let is_new = self.insert_block(now, remote);
        if let Some(block) = self.blocks.get_mut(&remote.fingerprint) {
            block.is_stored = true;
        }
        is_new && remote.age < BLOCK_DURATION
    }

    /// Forgets a block that had lapsed before the one that is told next.
    pub fn remove_block(&mut self, fingerprint: Fingerprint) {
        self.blocks.remove(&fingerprint);
    }

    /// Ends a block that the platform's store no longer keeps; whether there was one.
    pub fn lift(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.lifted.insert(fingerprint, now);
        self.blocks.remove(&fingerprint).is_some()
    }

    /// Notes that a request was answered: it ends no servers. `None` where it was not suspected of that, else
    /// those that are blocked from now on since it can't have been the cause.
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

    /// Whether a request is blocked.
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.blocks.contains_key(&fingerprint)
    }

    /// How long a block still lasts.
    pub fn block_remaining(&self, now: Time, fingerprint: Fingerprint) -> Duration {
        let block = self.blocks.get(&fingerprint);
        block.map_or(Duration::ZERO, |block| BLOCK_DURATION.saturating_sub(block.age(now)))
    }

    /// Whether a request that is found at so many more ends of servers has been at as many as it takes to
    /// block it.
    pub fn reaches_block_threshold(&self, fingerprint: Fingerprint, more: usize) -> bool {
        self.is_blocked(fingerprint) || self.crash_count(fingerprint) + more >= MIN_CRASHES
    }

    /// Whether a request was found at all ends but one that it takes to block it.
    pub fn is_near_block_threshold(&self, fingerprint: Fingerprint) -> bool {
        !self.suspects.is_empty() && self.reaches_block_threshold(fingerprint, 1)
    }

    /// Leaves of the places for a request those where what runs is least suspect, by ends: the next end beside
    /// another suspect would tell neither from the other.
    pub fn avoid_other_suspects<K: Ord, T>(
        &self,
        fingerprint: Fingerprint,
        running: impl Iterator<Item = (Fingerprint, K)>,
        places: &mut Vec<(K, T)>,
    ) {
        if !self.is_near_block_threshold(fingerprint) {
            return;
        }
        let mut max_crashes: BTreeMap<K, usize> = BTreeMap::new();
        let rivals = running.filter(|(other, _)| *other != fingerprint);
        for (other, place) in rivals.filter(|(other, _)| self.is_near_block_threshold(*other)) {
            let max = max_crashes.entry(place).or_insert(0);
            *max = self.crash_count(other).max(*max);
        }
        let crashes_of = |place: &K| max_crashes.get(place).copied().unwrap_or_default();
        let min_crashes =
            places.iter().map(|(place, _)| crashes_of(place)).min().unwrap_or_default();
        places.retain(|(place, _)| crashes_of(place) == min_crashes);
    }

    /// Whether a request was at as many ends as it takes to block it and chance is not ruled out: what the
    /// next run shows is waited for, since copies side by side would end more servers and tell no more.
    pub fn runs_one_at_a_time(&self, fingerprint: Fingerprint) -> bool {
        self.crash_count(fingerprint) >= MIN_CRASHES
    }

    /// The ends that nothing explains at which a request was.
    fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.crashes.len())
    }

    /// All strikes that nothing explains yet, for a daemon that is to go on from here.
    pub fn interruptions(&self, now: Time) -> Vec<Interruption> {
        let interruptions = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            suspect.crashes.iter().filter_map(|(key, run_time)| {
                let crash = self.crashes.get(key)?;
                Some(Interruption {
                    fingerprint: *fingerprint,
                    incarnation: key.0,
                    pool: crash.pool,
                    servers: suspect.servers,
                    run_time: *run_time,
                    age: now.saturating_sub(crash.at),
                })
            })
        });
        interruptions.collect()
    }

    /// Blocks that the platform's store is not known to keep.
    pub fn unstored_blocks(&self, now: Time) -> Vec<Blocked> {
        let unkept = |blocked: &Blocked| {
            self.blocks.get(&blocked.fingerprint).is_some_and(|block| !block.is_stored)
        };
        self.blocks(now).filter(unkept).collect()
    }

    /// All blocks.
    pub fn blocks(&self, now: Time) -> impl Iterator<Item = Blocked> {
        let blocks = self.blocks.iter();
        blocks.map(move |(fingerprint, block)| Blocked {
            fingerprint: *fingerprint,
            age: block.age(now),
        })
    }

    /// Blocks that are to be written to the platform's store now, and again after `pause` where it is not
    /// seen to keep them by then.
    pub fn due_writes(&mut self, now: Time, pause: Duration) -> Vec<Blocked> {
        let due =
            self.blocks.iter_mut().filter(|(_, block)| !block.is_stored && now >= block.write_at);
        let due = due.map(|(fingerprint, block)| {
            block.write_at = now + pause;
            Blocked { fingerprint: *fingerprint, age: block.age(now) }
        });
        due.collect()
    }

    /// Forgets what is too old; the blocks that have lapsed.
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
            self.mark_explained(key);
            self.crashes.remove(&key);
        }
        self.lifted.retain(|_, at| now < *at + LIFTED_RETENTION);
        let lapsed = self.blocks.iter().filter(|(_, block)| block.age(now) >= BLOCK_DURATION);
        let lapsed: Vec<Fingerprint> = lapsed.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &lapsed {
            self.blocks.remove(fingerprint);
        }
        lapsed
    }
}
