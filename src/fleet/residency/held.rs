//! The parts that one engine, or the KV store, keeps.

use super::Update;
use crate::fleet::prompt::salted_key;
use crate::prelude::*;

/// Tokens from which a part is told to peers: to move fewer takes longer than to read them (5 ms to
/// set a transfer up, some 50 tokens read in a millisecond).
const MIN_REPORTED_TOKENS: u32 = 512;
/// Tokens by which a part may be short and still count as held: engines keep whole blocks only.
const BLOCK_TOKENS: u32 = 64;
/// Time for which events count as current: two long waits for them and a lost frame.
const EVENTS_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Time from a request's start within which the parts that it reads show among the events: the largest
/// prompts take a second, and events come late.
const SENT_LIFETIME_WITH_EVENTS: Duration = Duration::from_millis(1_500);
/// Time for which a part that was sent to an engine is believed to be held, while its events can't be
/// read: a busy engine reads its whole memory's worth of prompts in about this time.
const SENT_LIFETIME_WITHOUT_EVENTS: Duration = Duration::from_secs(4);
/// Parts that are remembered of one keeper.
const MAX_PARTS: usize = 65_536;
/// Parts sent that are remembered of one keeper.
const MAX_SENT_PARTS: usize = 512;

/// One change of what is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// What the part is kept under.
    pub salt: String,
    /// Hash of the part's id.
    pub part: u64,
    /// Tokens of it that are kept now.
    pub tokens: u32,
}

/// A read of events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// Changes at each start of the keeper.
    pub epoch: u64,
    /// The number from which to go on.
    pub next: u64,
    /// Whether events before these were lost.
    pub has_gap: bool,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// What a read of events, or a peer's word, means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::fleet) enum Outcome {
    /// It is taken over; these are the changes worth telling, and whether they are everything.
    Applied { full: bool, changes: Vec<(u64, u32)> },
    /// Something before it is missing; it has to be asked for.
    Gap,
}

/// The parts that one engine or the KV store keeps.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Residency {
    /// Tokens by part, as events tell.
    parts: BTreeMap<u64, u32>,
    /// When this daemon last sent a prompt with a part there.
    sent: BTreeMap<u64, Time>,
    epoch: Option<u64>,
    /// The number of the event from which to read on.
    next: u64,
    /// When events were last heard.
    updated_at: Option<Time>,
    /// Who told of them last, and how often it had by then.
    update_source: Option<(String, u64)>,
    /// How often this daemon told of them.
    updates_sent: u64,
}

impl Residency {
    /// The number of the event from which to read on.
    pub(in crate::fleet) fn next_event(&self) -> u64 {
        self.next
    }

    /// Whether events tell what is held now.
    pub(in crate::fleet) fn is_current(&self, now: Time) -> bool {
        self.updated_at.is_some_and(|updated_at| now < updated_at + EVENTS_MAX_AGE)
    }

    /// How old the newest events are.
    pub(in crate::fleet) fn age(&self, now: Time) -> Option<Duration> {
        self.updated_at.map(|updated_at| now.saturating_sub(updated_at))
    }

    /// How many parts are believed to be held.
    pub(in crate::fleet) fn len(&self) -> usize {
        self.parts.len()
    }

    /// Notes that a prompt with this part was sent there.
    pub(in crate::fleet) fn note_sent(&mut self, now: Time, part: u64) {
        self.sent.insert(part, now);
        if self.sent.len() > MAX_SENT_PARTS
            && let Some(oldest) = self.sent.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id)
        {
            self.sent.remove(&oldest);
        }
    }

    /// Ends what was believed on account of what was sent: it was dropped.
    pub(in crate::fleet) fn forget_sent(&mut self) {
        self.sent.clear();
    }

    /// Notes that its events can't be read.
    pub(in crate::fleet) fn mark_unreadable(&mut self) {
        self.updated_at = None;
    }

    /// How many of a part's `tokens` are believed to be held by the time that one more request with it
    /// is begun there.
    pub(in crate::fleet) fn expected_tokens(&self, now: Time, part: u64, tokens: u32) -> u32 {
        let lifetime = if self.is_current(now) {
            SENT_LIFETIME_WITH_EVENTS
        } else {
            SENT_LIFETIME_WITHOUT_EVENTS
        };
        if self.sent.get(&part).is_some_and(|at| now < *at + lifetime) {
            return tokens;
        }
        self.confirmed_tokens(now, part, tokens)
    }

    /// How many of a part's `tokens` events show, so that others can fetch them now: what is still being
    /// read is not found there.
    pub(in crate::fleet) fn confirmed_tokens(&self, now: Time, part: u64, tokens: u32) -> u32 {
        if !self.is_current(now) {
            return 0;
        }
        let confirmed = self.parts.get(&part).copied().unwrap_or_default();
        if confirmed.saturating_add(BLOCK_TOKENS) >= tokens { tokens } else { confirmed }
    }

    /// Takes over events that this daemon read.
    pub(in crate::fleet) fn apply_events(&mut self, now: Time, batch: &EventBatch) -> Outcome {
        let known = self.epoch == Some(batch.epoch);
        if !known && self.next > 0 {
            // The keeper has started again, and what it told before the number asked for is missing:
            // it is read from the start, and told whole.
            (self.epoch, self.next) = (None, 0);
            self.parts.clear();
            return Outcome::Gap;
        }
        let full = !known || batch.has_gap;
        if full {
            self.parts.clear();
        }
        (self.epoch, self.next, self.updated_at) = (Some(batch.epoch), batch.next, Some(now));
        let mut changes = BTreeMap::new();
        for event in &batch.events {
            let part = salted_key(&event.salt, event.part);
            let before = self.set_tokens(part, event.tokens);
            if before.max(event.tokens) >= MIN_REPORTED_TOKENS {
                changes.insert(part, event.tokens);
            }
        }
        Outcome::Applied { full, changes: changes.into_iter().collect() }
    }

    /// Takes over what a peer tells.
    pub(in crate::fleet) fn apply_update(&mut self, now: Time, update: &Update) -> Outcome {
        let follows = self.update_source.as_ref().is_some_and(|(daemon, sequence)| {
            *daemon == update.daemon && sequence + 1 == update.sequence
        });
        if !update.full && !follows {
            return Outcome::Gap;
        }
        if update.full {
            self.parts.clear();
        }
        // What this daemon read itself, if it ever did, is no longer what it goes by.
        (self.epoch, self.next) = (None, 0);
        for (part, tokens) in &update.changes {
            self.set_tokens(*part, *tokens);
        }
        self.updated_at = Some(now);
        self.update_source = Some((update.daemon.clone(), update.sequence));
        Outcome::Applied { full: update.full, changes: Vec::new() }
    }

    /// The number of what this daemon tells next.
    pub(in crate::fleet) fn next_seq(&mut self) -> u64 {
        self.updates_sent += 1;
        self.updates_sent
    }

    /// Everything worth telling, for a peer that missed something, and how often was told so far;
    /// nothing where this daemon does not read the events.
    pub(in crate::fleet) fn full_update(&self) -> Option<(u64, Vec<(u64, u32)>)> {
        self.epoch?;
        let reported = self.parts.iter().filter(|(_, tokens)| **tokens >= MIN_REPORTED_TOKENS);
        Some((self.updates_sent, reported.map(|(part, tokens)| (*part, *tokens)).collect()))
    }

    /// Notes how much of a part is held; how much was.
    fn set_tokens(&mut self, part: u64, tokens: u32) -> u32 {
        let before = match tokens {
            0 => self.parts.remove(&part),
            _ if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) => None,
            _ => self.parts.insert(part, tokens),
        };
        before.unwrap_or_default()
    }
}
