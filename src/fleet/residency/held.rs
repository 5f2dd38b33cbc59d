//! The parts that one engine, or the KV store, keeps.

use super::Told;
use crate::fleet::prompt::salted_key;
use crate::prelude::*;

/// Tokens from which a part is told to peers: to move fewer takes longer than to read them (5 ms to
/// set a transfer up, some 50 tokens read in a millisecond).
const WORTH_TELLING: u32 = 512;
/// Tokens by which a part may be short and still count as held: engines keep whole blocks only.
const BLOCK: u32 = 64;
/// Time for which events count as current: two long waits for them and a lost frame.
const CURRENT_FOR: Duration = Duration::from_millis(2_500);
/// Time from a request's start within which the parts that it reads show among the events: the largest
/// prompts take a second, and events come late.
const SHOWN_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which a part that was sent to an engine is believed to be held, while its events can't be
/// read: a busy engine reads its whole memory's worth of prompts in about this time.
const ASSUMED_FOR: Duration = Duration::from_secs(4);
/// Parts that are remembered of one keeper.
const MAX_PARTS: usize = 65_536;
/// Parts sent that are remembered of one keeper.
const MAX_SENT: usize = 512;

/// One change of what is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// What the part is kept under.
    pub salt: String,
    /// Hash of the part's id.
    pub part: u64,
    /// Tokens of it that are kept now.
    pub tokens: u32,
}

/// A read of events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventsRead {
    /// Changes at each start of the keeper.
    pub epoch: u64,
    /// The number from which to go on.
    pub next: u64,
    /// Whether events before these were lost.
    pub lost: bool,
    /// The events, in order.
    pub changes: Vec<Stored>,
}

/// What a read of events, or a peer's word, means.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::fleet) enum Heard {
    /// It is taken over; these are the changes worth telling, and whether they are everything.
    Taken { whole: bool, changes: Vec<(u64, u32)> },
    /// Something before it is missing; it has to be asked for.
    Missed,
}

/// The parts that one engine or the KV store keeps.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Held {
    /// Tokens by part, as events tell.
    parts: BTreeMap<u64, u32>,
    /// When this daemon last sent a prompt with a part there.
    sent: BTreeMap<u64, Time>,
    epoch: Option<u64>,
    /// The number of the event from which to read on.
    next: u64,
    /// When events were last heard.
    heard: Option<Time>,
    /// Who told of them last, and how often it had by then.
    teller: Option<(String, u64)>,
    /// How often this daemon told of them.
    told: u64,
}

impl Held {
    /// The number of the event from which to read on.
    pub(in crate::fleet) fn next(&self) -> u64 {
        self.next
    }

    /// Whether events tell what is held now.
    pub(in crate::fleet) fn is_current(&self, now: Time) -> bool {
        self.heard.is_some_and(|heard| now < heard + CURRENT_FOR)
    }

    /// How old the newest events are.
    pub(in crate::fleet) fn age(&self, now: Time) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_sub(heard))
    }

    /// How many parts are believed to be held.
    pub(in crate::fleet) fn len(&self) -> usize {
        self.parts.len()
    }

    /// Notes that a prompt with this part was sent there.
    pub(in crate::fleet) fn note_sent(&mut self, now: Time, part: u64) {
        self.sent.insert(part, now);
        if self.sent.len() > MAX_SENT
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
    pub(in crate::fleet) fn lost(&mut self) {
        self.heard = None;
    }

    /// How many of a part's `tokens` are believed to be held by the time that one more request with it
    /// is begun there.
    pub(in crate::fleet) fn tokens(&self, now: Time, part: u64, tokens: u32) -> u32 {
        let believed_for = if self.is_current(now) { SHOWN_AFTER } else { ASSUMED_FOR };
        if self.sent.get(&part).is_some_and(|at| now < *at + believed_for) {
            return tokens;
        }
        self.shown(now, part, tokens)
    }

    /// How many of a part's `tokens` events show, so that others can fetch them now: what is still being
    /// read is not found there.
    pub(in crate::fleet) fn shown(&self, now: Time, part: u64, tokens: u32) -> u32 {
        if !self.is_current(now) {
            return 0;
        }
        let kept = self.parts.get(&part).copied().unwrap_or_default();
        if kept.saturating_add(BLOCK) >= tokens { tokens } else { kept }
    }

    /// Takes over events that this daemon read.
    pub(in crate::fleet) fn read(&mut self, now: Time, read: &EventsRead) -> Heard {
        let known = self.epoch == Some(read.epoch);
        if !known && self.next > 0 {
            // The keeper has started again, and what it told before the number asked for is missing:
            // it is read from the start, and told whole.
            (self.epoch, self.next) = (None, 0);
            self.parts.clear();
            return Heard::Missed;
        }
        let whole = !known || read.lost;
        if whole {
            self.parts.clear();
        }
        (self.epoch, self.next, self.heard) = (Some(read.epoch), read.next, Some(now));
        let mut changes = BTreeMap::new();
        for stored in &read.changes {
            let part = salted_key(&stored.salt, stored.part);
            let before = self.set(part, stored.tokens);
            if before.max(stored.tokens) >= WORTH_TELLING {
                changes.insert(part, stored.tokens);
            }
        }
        Heard::Taken { whole, changes: changes.into_iter().collect() }
    }

    /// Takes over what a peer tells.
    pub(in crate::fleet) fn hear(&mut self, now: Time, told: &Told) -> Heard {
        let follows = self
            .teller
            .as_ref()
            .is_some_and(|(daemon, number)| *daemon == told.daemon && number + 1 == told.number);
        if !told.whole && !follows {
            return Heard::Missed;
        }
        if told.whole {
            self.parts.clear();
        }
        // What this daemon read itself, if it ever did, is no longer what it goes by.
        (self.epoch, self.next) = (None, 0);
        for (part, tokens) in &told.changes {
            self.set(*part, *tokens);
        }
        self.heard = Some(now);
        self.teller = Some((told.daemon.clone(), told.number));
        Heard::Taken { whole: told.whole, changes: Vec::new() }
    }

    /// The number of what this daemon tells next.
    pub(in crate::fleet) fn next_told(&mut self) -> u64 {
        self.told += 1;
        self.told
    }

    /// Everything worth telling, for a peer that missed something, and how often was told so far;
    /// nothing where this daemon does not read the events.
    pub(in crate::fleet) fn whole(&self) -> Option<(u64, Vec<(u64, u32)>)> {
        self.epoch?;
        let worth = self.parts.iter().filter(|(_, tokens)| **tokens >= WORTH_TELLING);
        Some((self.told, worth.map(|(part, tokens)| (*part, *tokens)).collect()))
    }

    /// Notes how much of a part is held; how much was.
    fn set(&mut self, part: u64, tokens: u32) -> u32 {
        let before = match tokens {
            0 => self.parts.remove(&part),
            _ if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) => None,
            _ => self.parts.insert(part, tokens),
        };
        before.unwrap_or_default()
    }
}
