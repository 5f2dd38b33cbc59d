//! Which requests were there when servers ended, and which are blocked for it.

use super::evidence::{Around, ENDS, Evidence, Key, Suspect};
use super::{Blocked, Fingerprint, Strike, Victim};
use crate::prelude::*;

/// Ends at which a request is blocked however likely chance is: a few servers that end often would else never
/// tell, and a request that runs for seconds before it ends its server would go on for long.
const MOST_ENDS: usize = 6;
/// The same as [`EXPECTED`] at that many ends, where servers are known to end by themselves as well.
const EXPECTED_AT_MOST: f64 = 0.01;
/// Ends that no request is left to have caused from which on servers are known to end by themselves.
const BY_THEMSELVES: usize = 3;
/// Time for which such ends count: longer than requests run, since of the newest ends some are always left.
const BY_THEMSELVES_FOR: Duration = Duration::from_secs(30);
/// How many requests may be expected at as many ends by chance where one is blocked for being there. While servers
/// end one after the other, requests that run for seconds are at three ends too, and of a crowd some are at more.
const EXPECTED: f64 = 1e-4;
/// How many times more likely than a suspect another must be to have been at its own ends by chance, so that it is not
/// taken for the cause of those that they share.
const LIKELIER: f64 = 1e3;
/// How likely at most it may be that some one of those that broke at each end had been there for as short a time as the
/// suspect, so that its short runs tell it from them. Where all had just come, short runs tell nothing.
const AS_YOUNG: f64 = 0.01;
/// Requests of which a suspect counts as one at least: where few run, those that break meet again soon.
const LEAST_REQUESTS: usize = 5;
/// Ends from which on another request may be the cause of them.
const RIVAL_ENDS: usize = 2;
/// Time before the first and after the last of a request's ends in which others tell, too, how often servers of
/// the pool end.
const AROUND: Duration = Duration::from_secs(1);
/// Time for which an end is remembered.
const REMEMBERED: Duration = Duration::from_secs(3_600);
/// Ends that are remembered at most; with twenty requests each some 2 MB.
const MAX_ENDS: usize = 2_048;
/// Time for which a request stays blocked: a caller that asks for it without pause ends no more than three
/// servers a day, and operators have had the time to mend theirs.
pub const BLOCKED_FOR: Duration = Duration::from_secs(24 * 3_600);
/// Time for which a block that was lifted is not taken over from peers: longer than daemons are frozen or cut off, who
/// tell of it as they knew it.
const LET_GO_FOR: Duration = Duration::from_secs(3_600);
/// Requests that are blocked at most; the oldest is let go for another.
const MAX_BLOCKS: usize = 4_096;

/// What is known of one end of a server.
#[derive(Debug)]
struct End {
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
    heard: Time,
    /// For how long it had been blocked by then, maybe since before this daemon's clock began.
    age: Duration,
    /// Whether the platform's store is known to keep it.
    kept: bool,
    /// When it is next to be written there.
    write_at: Time,
    /// What it was blocked for, where this daemon found that itself.
    evidence: Option<Evidence>,
}

impl Block {
    /// For how long the request has been blocked.
    fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.heard).saturating_add(self.age)
    }
}

/// Ends of servers, and blocked requests.
#[derive(Debug, Default)]
pub struct State {
    ends: BTreeMap<Key, End>,
    /// The ends that nothing explains yet, by the requests that were present.
    suspects: BTreeMap<Fingerprint, Suspect>,
    blocks: BTreeMap<Fingerprint, Block>,
    /// Blocks that were lifted, and when this daemon learnt of that.
    let_go: BTreeMap<Fingerprint, Time>,
}

impl State {
    /// Notes that a request was running at a server that ended; whether it is blocked from now on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::poison::{Fingerprint, State, Strike, Victim};
    /// let mut state = State::default();
    /// let mut end = |server| {
    ///     let victim = Victim::of(server, Some("1"));
    ///     let strike = Strike {
    ///         fingerprint: Fingerprint(7),
    ///         victim,
    ///         pool: 1,
    ///         servers: 20,
    ///         ran: Duration::from_millis(100),
    ///         age: Duration::ZERO,
    ///     };
    ///     state.strike(Duration::from_secs(9), strike)
    /// };
    /// assert!(!end("s-1") && !end("s-2") && end("s-3"));
    /// ```
    pub fn strike(&mut self, now: Time, strike: Strike) -> bool {
        let Strike { fingerprint, victim, pool, servers, ran, age } = strike;
        let key = self.end(victim, pool, now.saturating_sub(age));
        let Some(end) = self.ends.get_mut(&key) else { return false };
        if end.present.contains_key(&fingerprint) {
            return false;
        }
        end.present.insert(fingerprint, ran);
        if end.explained {
            return false;
        }
        if self.blocks.contains_key(&fingerprint) {
            self.explain(key);
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.ends.insert(key, ran);
        suspect.servers = servers;
        let evidence = self.guilt(fingerprint);
        evidence.is_some() && self.block_for(now, fingerprint, evidence)
    }

    /// What speaks for it that a request has ended servers, if that is enough to block it: it was at so many ends,
    /// and so briefly before each, that none of all that broke would be there by chance, also where another suspect
    /// may have caused some; or it was at more ends than it is worth to be sure.
    fn guilt(&self, fingerprint: Fingerprint) -> Option<Evidence> {
        let suspect = self.suspects.get(&fingerprint)?;
        if suspect.ends.len() < ENDS {
            return None;
        }
        let around = self.around(suspect);
        let expected = suspect.expected(around);
        let is_sure = expected <= EXPECTED
            && self
                .rivals(fingerprint, suspect)
                .into_iter()
                .all(|rival| self.is_told_from(suspect, around, rival));
        let is_guilty = is_sure
            || self.ends_best_explained_by(fingerprint, suspect) >= MOST_ENDS
                && !self.is_chance(suspect, around);
        is_guilty.then_some(Evidence { ends: suspect.ends.len(), expected })
    }

    /// Whether servers end by themselves, and so often that some one of the requests is to be expected at as many ends.
    fn is_chance(&self, suspect: &Suspect, around: Around) -> bool {
        suspect.expected_at_its_longest(around) > EXPECTED_AT_MOST
            && self.ends_by_themselves(suspect) >= BY_THEMSELVES
    }

    /// Ends of servers of a suspect's pool, until its own last one, that no request can have caused: all that broke
    /// there were answered since.
    fn ends_by_themselves(&self, suspect: &Suspect) -> usize {
        let (_, last) = self.span(suspect);
        let ends = self.ends_beside(suspect, last.saturating_sub(BY_THEMSELVES_FOR), last);
        let is_suspect = |present: &Fingerprint| self.suspects.contains_key(present);
        ends.filter(|end| !end.present.keys().any(is_suspect)).count()
    }

    /// Whether a suspect is the cause of ends rather than `rival`: without those that they share there are enough left,
    /// or the rival had been there for long, as others that have no part in it, and the suspect had just come.
    fn is_told_from(&self, suspect: &Suspect, around: Around, rival: &Suspect) -> bool {
        let apart = suspect.apart_from(rival);
        if apart.ends.len() >= ENDS && apart.expected(around) <= EXPECTED {
            return true;
        }
        let rivals_own = rival.expected_at_its_longest(self.around(rival)).min(1.0);
        let own = suspect.expected_at_its_longest(around);
        rivals_own >= LIKELIER * own && self.as_young(suspect) <= AS_YOUNG
    }

    /// How likely one of those that broke at each end of a suspect had been there no longer than it.
    fn as_young(&self, suspect: &Suspect) -> f64 {
        let parts = suspect.ends.iter().filter_map(|(key, ran)| {
            let present = &self.ends.get(key)?.present;
            let as_young = present.values().filter(|other| *other <= ran).count();
            Some(as_young as f64 / present.len() as f64)
        });
        parts.product()
    }

    /// The ends of a suspect, if they are many, at which no other was that is less likely to have been at its own by
    /// chance: several causes at once would else have those blocked that follow them from end to end.
    fn ends_best_explained_by(&self, fingerprint: Fingerprint, suspect: &Suspect) -> usize {
        if suspect.ends.len() < MOST_ENDS {
            return 0;
        }
        let chance = |suspect: &Suspect| suspect.expected(self.around(suspect));
        let own = chance(suspect);
        let rivals = self.rivals(fingerprint, suspect).into_iter();
        let many = rivals.filter(|rival| rival.ends.len() >= ENDS);
        let better: Vec<&Suspect> = many.filter(|rival| chance(rival) < own).collect();
        let explained = |key: &&Key| better.iter().any(|rival| rival.ends.contains_key(*key));
        suspect.ends.keys().filter(|key| !explained(key)).count()
    }

    /// Others that were present at several ends of a suspect.
    fn rivals(&self, fingerprint: Fingerprint, suspect: &Suspect) -> Vec<&Suspect> {
        let present = suspect.ends.keys().filter_map(|key| self.ends.get(key));
        let present: BTreeSet<&Fingerprint> = present.flat_map(|end| end.present.keys()).collect();
        let others = present.into_iter().filter(|other| **other != fingerprint);
        let others = others.filter_map(|other| self.suspects.get(other));
        others.filter(|other| other.ends.len() >= RIVAL_ENDS).collect()
    }

    /// How often servers of a suspect's pool ended around the suspect's ends.
    fn around(&self, suspect: &Suspect) -> Around {
        let (first, last) = self.span(suspect);
        let (first, last) = (first.saturating_sub(AROUND), last + AROUND);
        let there: Vec<&End> = self.ends_beside(suspect, first, last).collect();
        let requests: BTreeSet<&Fingerprint> =
            there.iter().flat_map(|end| end.present.keys()).collect();
        let server_seconds = f64::from(suspect.servers.max(1)) * (last - first).as_secs_f64();
        Around { ends: there.len(), requests: requests.len().max(LEAST_REQUESTS), server_seconds }
    }

    /// When the first and the last end came at which a suspect was.
    fn span(&self, suspect: &Suspect) -> (Time, Time) {
        let at = || suspect.ends.keys().filter_map(|key| Some(self.ends.get(key)?.at));
        (at().min().unwrap_or_default(), at().max().unwrap_or_default())
    }

    /// Ends of servers of a suspect's pool in a span of time that nothing explains.
    fn ends_beside(&self, suspect: &Suspect, from: Time, to: Time) -> impl Iterator<Item = &End> {
        let pool = suspect.ends.keys().find_map(|key| Some(self.ends.get(key)?.pool));
        self.ends.values().filter(move |end| {
            !end.explained && Some(end.pool) == pool && (from..=to).contains(&end.at)
        })
    }

    /// The end of a server that was noticed at this time, the first time or once more.
    fn end(&mut self, victim: Victim, pool: u64, at: Time) -> Key {
        let last = self.ends.range((victim, 0)..=(victim, u32::MAX)).next_back();
        let key = match last {
            None => (victim, 0),
            Some((key, end)) if victim.is_same_end(end.at, at) => *key,
            Some(((_, number), _)) => (victim, number + 1),
        };
        let end = || End { at, pool, present: BTreeMap::new(), explained: false };
        self.ends.entry(key).or_insert_with(end);
        key
    }

    /// Notes that the cause of an end is known: the others that were present did not end the server.
    fn explain(&mut self, key: Key) {
        let Some(end) = self.ends.get_mut(&key) else { return };
        end.explained = true;
        for present in end.present.keys() {
            let Some(suspect) = self.suspects.get_mut(present) else { continue };
            suspect.ends.remove(&key);
            if suspect.ends.is_empty() {
                self.suspects.remove(present);
            }
        }
    }

    /// Blocks a request; whether it was not blocked before.
    pub fn block(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.block_for(now, fingerprint, None)
    }

    fn block_for(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        evidence: Option<Evidence>,
    ) -> bool {
        self.let_go.remove(&fingerprint);
        let is_new = self.hear(now, Blocked { fingerprint, age: Duration::ZERO });
        if let Some(block) = self.blocks.get_mut(&fingerprint).filter(|_| is_new) {
            block.evidence = evidence;
        }
        is_new
    }

    /// What a log line tells of a block.
    pub fn detail(&self, now: Time, fingerprint: Fingerprint) -> Detail {
        let evidence = self.evidence(fingerprint);
        Detail::of("fingerprint", fingerprint.to_string())
            .and("left_ms", self.left(now, fingerprint))
            .and_some("ends", evidence.map(|evidence| evidence.ends))
            .and_some("expected", evidence.map(|evidence| evidence.expected))
    }

    /// What a request is blocked for, where this daemon found that itself.
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<Evidence> {
        self.blocks.get(&fingerprint)?.evidence
    }

    /// Takes over that others have blocked a request; whether it was not blocked before. The longest age that is told
    /// holds: counted from each hearing, two daemons would keep a block alive for each other. Who has not heard yet that
    /// a block was lifted tells of it on, so what was let go stays so, or it would be blocked everywhere again.
    pub fn hear(&mut self, now: Time, told: Blocked) -> bool {
        let Blocked { fingerprint, age } = told;
        let is_over = age >= BLOCKED_FOR || self.let_go.contains_key(&fingerprint);
        if is_over && !self.is_blocked(fingerprint) {
            return false;
        }
        self.learn(now, told)
    }

    fn learn(&mut self, now: Time, told: Blocked) -> bool {
        let Blocked { fingerprint, age } = told;
        if let Some(block) = self.blocks.get_mut(&fingerprint) {
            if age > block.age(now) {
                (block.heard, block.age) = (now, age);
            }
            return false;
        }
        for key in self.suspects.remove(&fingerprint).unwrap_or_default().ends.into_keys() {
            self.explain(key);
        }
        if self.blocks.len() >= MAX_BLOCKS
            && let Some(oldest) = self.blocks.iter().max_by_key(|(_, block)| block.age(now))
        {
            let oldest = *oldest.0;
            self.blocks.remove(&oldest);
        }
        let block = Block { heard: now, age, kept: false, write_at: now, evidence: None };
        self.blocks.insert(fingerprint, block);
        true
    }

    /// Takes over that the platform's store keeps a block; whether the request was not blocked before, and is now. One
    /// that has lapsed is taken over until [`Self::expire`] finds it, and so has it taken away there.
    pub fn kept(&mut self, now: Time, told: Blocked) -> bool {
        self.let_go.remove(&told.fingerprint);
        let is_new = self.learn(now, told);
        if let Some(block) = self.blocks.get_mut(&told.fingerprint) {
            block.kept = true;
        }
        is_new && told.age < BLOCKED_FOR
    }

    /// Forgets a block that had lapsed before the one that is told next.
    pub fn forget_block(&mut self, fingerprint: Fingerprint) {
        self.blocks.remove(&fingerprint);
    }

    /// Ends a block that the platform's store no longer keeps; whether there was one.
    pub fn lift(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.let_go.insert(fingerprint, now);
        self.blocks.remove(&fingerprint).is_some()
    }

    /// Notes that a request was answered: it ends no servers. `None` where it was not suspected of that, else
    /// those that are blocked from now on since it can't have been the cause.
    pub fn served(&mut self, now: Time, fingerprint: Fingerprint) -> Option<Vec<Fingerprint>> {
        let cleared = self.suspects.remove(&fingerprint)?;
        if cleared.ends.len() < RIVAL_ENDS {
            return Some(Vec::new());
        }
        let present = cleared.ends.keys().filter_map(|key| self.ends.get(key));
        let present: BTreeSet<Fingerprint> =
            present.flat_map(|end| end.present.keys().copied()).collect();
        let guilty = present.into_iter().filter_map(|other| Some((other, self.guilt(other)?)));
        let guilty: Vec<(Fingerprint, Evidence)> = guilty.collect();
        let blocked =
            guilty.into_iter().filter(|(other, why)| self.block_for(now, *other, Some(*why)));
        Some(blocked.map(|(other, _)| other).collect())
    }

    /// Whether a request is blocked.
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.blocks.contains_key(&fingerprint)
    }

    /// How long a block still lasts.
    pub fn left(&self, now: Time, fingerprint: Fingerprint) -> Duration {
        let block = self.blocks.get(&fingerprint);
        block.map_or(Duration::ZERO, |block| BLOCKED_FOR.saturating_sub(block.age(now)))
    }

    /// Whether a request that is found at so many more ends of servers has been at as many as it takes to
    /// block it.
    pub fn is_suspect(&self, fingerprint: Fingerprint, more: usize) -> bool {
        self.is_blocked(fingerprint) || self.ends_of(fingerprint) + more >= ENDS
    }

    /// Whether a request was found at all ends but one that it takes to block it.
    pub fn is_prime_suspect(&self, fingerprint: Fingerprint) -> bool {
        !self.suspects.is_empty() && self.is_suspect(fingerprint, 1)
    }

    /// Leaves of the places for a request those where what runs is least suspect, by ends: the next end beside
    /// another suspect would tell neither from the other.
    pub fn keep_apart<K: Ord, T>(
        &self,
        fingerprint: Fingerprint,
        running: impl Iterator<Item = (Fingerprint, K)>,
        places: &mut Vec<(K, T)>,
    ) {
        if !self.is_prime_suspect(fingerprint) {
            return;
        }
        let mut most_ends: BTreeMap<K, usize> = BTreeMap::new();
        let rivals = running.filter(|(other, _)| *other != fingerprint);
        for (other, place) in rivals.filter(|(other, _)| self.is_prime_suspect(*other)) {
            let most = most_ends.entry(place).or_insert(0);
            *most = self.ends_of(other).max(*most);
        }
        let suspicion = |place: &K| most_ends.get(place).copied().unwrap_or_default();
        let least = places.iter().map(|(place, _)| suspicion(place)).min().unwrap_or_default();
        places.retain(|(place, _)| suspicion(place) == least);
    }

    /// Whether a request was at as many ends as it takes to block it and chance is not ruled out: what the
    /// next run shows is waited for, since copies side by side would end more servers and tell no more.
    pub fn runs_one_at_a_time(&self, fingerprint: Fingerprint) -> bool {
        self.ends_of(fingerprint) >= ENDS
    }

    /// The ends that nothing explains at which a request was.
    fn ends_of(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.ends.len())
    }

    /// All strikes that nothing explains yet, for a daemon that is to go on from here.
    pub fn strikes(&self, now: Time) -> Vec<Strike> {
        let strikes = self.suspects.iter().flat_map(|(fingerprint, suspect)| {
            suspect.ends.iter().filter_map(|(key, ran)| {
                let end = self.ends.get(key)?;
                Some(Strike {
                    fingerprint: *fingerprint,
                    victim: key.0,
                    pool: end.pool,
                    servers: suspect.servers,
                    ran: *ran,
                    age: now.saturating_sub(end.at),
                })
            })
        });
        strikes.collect()
    }

    /// Blocks that the platform's store is not known to keep.
    pub fn unkept(&self, now: Time) -> Vec<Blocked> {
        let unkept = |blocked: &Blocked| {
            self.blocks.get(&blocked.fingerprint).is_some_and(|block| !block.kept)
        };
        self.blocked(now).filter(unkept).collect()
    }

    /// All blocks.
    pub fn blocked(&self, now: Time) -> impl Iterator<Item = Blocked> {
        let blocks = self.blocks.iter();
        blocks.map(move |(fingerprint, block)| Blocked {
            fingerprint: *fingerprint,
            age: block.age(now),
        })
    }

    /// Blocks that are to be written to the platform's store now, and again after `pause` where it is not
    /// seen to keep them by then.
    pub fn to_write(&mut self, now: Time, pause: Duration) -> Vec<Blocked> {
        let due = self.blocks.iter_mut().filter(|(_, block)| !block.kept && now >= block.write_at);
        let due = due.map(|(fingerprint, block)| {
            block.write_at = now + pause;
            Blocked { fingerprint: *fingerprint, age: block.age(now) }
        });
        due.collect()
    }

    /// Forgets what is too old; the blocks that have lapsed.
    pub fn expire(&mut self, now: Time) -> Vec<Fingerprint> {
        let surplus = self.ends.len().saturating_sub(MAX_ENDS);
        let mut oldest: Vec<(Time, Key)> = Vec::new();
        if surplus > 0 {
            oldest = self.ends.iter().map(|(key, end)| (end.at, *key)).collect();
            oldest.sort_unstable();
            oldest.truncate(surplus);
        }
        let old = self.ends.iter().filter(|(_, end)| now >= end.at + REMEMBERED);
        let old: Vec<Key> = old.map(|(key, _)| *key).collect();
        for key in oldest.into_iter().map(|(_, key)| key).chain(old) {
            self.explain(key);
            self.ends.remove(&key);
        }
        self.let_go.retain(|_, at| now < *at + LET_GO_FOR);
        let lapsed = self.blocks.iter().filter(|(_, block)| block.age(now) >= BLOCKED_FOR);
        let lapsed: Vec<Fingerprint> = lapsed.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in &lapsed {
            self.blocks.remove(fingerprint);
        }
        lapsed
    }
}
