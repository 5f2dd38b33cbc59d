//! The parts that one engine or the KV store holds.

use super::Update;
use crate::fleet::prompt::salted_key;
use crate::prelude::*;

/// Minimum tokens of a part that is reported to peers. Transferring fewer takes longer than
/// computing them: a transfer takes 5 ms to set up, and an engine reads about 50 tokens in a
/// millisecond.
const MIN_REPORTED_TOKENS: u32 = 512;
/// Tokens that may be missing from a part that still counts as held: engines cache whole blocks
/// only.
const BLOCK_TOKENS: u32 = 64;
/// Maximum age of the newest events. Covers two long polls and a lost frame.
const EVENTS_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Time for which a part that was sent to an engine counts as held although its events do not show
/// it yet. The largest prompts take a second to read, and events arrive late.
const SENT_LIFETIME_WITH_EVENTS: Duration = Duration::from_millis(1_500);
/// Time for which a part that was sent to an engine counts as held while its events can't be read.
/// A busy engine reads as many tokens as its memory holds in about this time.
const SENT_LIFETIME_WITHOUT_EVENTS: Duration = Duration::from_secs(4);
/// Maximum number of parts stored per holder.
const MAX_PARTS: usize = 65_536;
/// Maximum number of sent parts stored per holder.
const MAX_SENT_PARTS: usize = 512;

/// A change of how much of a part a holder caches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Cache salt of the part.
    pub salt: String,
    /// Hash of the part's id.
    pub part: u64,
    /// Tokens of the part that are cached after the change.
    pub tokens: u32,
}

/// The result of one read of a holder's cache events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// Identifies the holder's run; changes whenever it starts.
    pub epoch: u64,
    /// Number of the first event of the next read.
    pub next: u64,
    /// Whether events before these are missing.
    pub has_gap: bool,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// The outcome of applying events or a peer's update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(in crate::fleet) enum Outcome {
    /// Applied. `changes` are those to report to peers; `full` marks a complete list of parts.
    Applied { full: bool, changes: Vec<(u64, u32)> },
    /// Not applied: earlier events are missing and have to be requested.
    Gap,
}

/// The parts that one engine or the KV store holds, as far as this daemon knows.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Residency {
    /// Tokens by part, according to events.
    parts: BTreeMap<u64, u32>,
    /// When a prompt with the part was last sent to the holder.
    sent: BTreeMap<u64, Time>,
    epoch: Option<u64>,
    /// Number of the first event of the next read.
    next: u64,
    /// When events or an update last arrived.
    updated_at: Option<Time>,
    /// The daemon that sent the last update, and that update's sequence number.
    update_source: Option<(String, u64)>,
    /// Number of updates that this daemon has sent.
    updates_sent: u64,
}

impl Residency {
    /// Number of the first event to read next.
    pub(in crate::fleet) fn next_event(&self) -> u64 {
        self.next
    }

    /// Whether the events are recent enough to rely on.
    pub(in crate::fleet) fn is_current(&self, now: Time) -> bool {
        self.updated_at.is_some_and(|updated_at| now < updated_at + EVENTS_MAX_AGE)
    }

    /// Time since the last events or update; `None` if none arrived or the events became
    /// unreadable.
    pub(in crate::fleet) fn age(&self, now: Time) -> Option<Duration> {
        self.updated_at.map(|updated_at| now.saturating_sub(updated_at))
    }

    /// Number of parts that events show as held.
    pub(in crate::fleet) fn len(&self) -> usize {
        self.parts.len()
    }

    /// Records that a prompt with this part was sent to the holder.
    pub(in crate::fleet) fn note_sent(&mut self, now: Time, part: u64) {
        self.sent.insert(part, now);
        if self.sent.len() > MAX_SENT_PARTS
            && let Some(oldest) = self.sent.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id)
        {
            self.sent.remove(&oldest);
        }
    }

    /// Forgets which parts were sent, after the holder dropped them.
    pub(in crate::fleet) fn forget_sent(&mut self) {
        self.sent.clear();
    }

    /// Records that the holder's events can't be read.
    pub(in crate::fleet) fn mark_unreadable(&mut self) {
        self.updated_at = None;
    }

    /// How many of a part's `tokens` will be held when another request with the part starts there.
    /// Includes parts that were sent recently and are still being computed.
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

    /// How many of a part's `tokens` are held according to events, and so can be fetched now.
    /// Excludes parts that are still being computed.
    pub(in crate::fleet) fn confirmed_tokens(&self, now: Time, part: u64, tokens: u32) -> u32 {
        if !self.is_current(now) {
            return 0;
        }
        let confirmed = self.parts.get(&part).copied().unwrap_or_default();
        if confirmed.saturating_add(BLOCK_TOKENS) >= tokens { tokens } else { confirmed }
    }

    /// Applies events that this daemon read.
    pub(in crate::fleet) fn apply_events(&mut self, now: Time, batch: &EventBatch) -> Outcome {
        let same_epoch = self.epoch == Some(batch.epoch);
        if !same_epoch && self.next > 0 {
            // The holder has restarted, so its events before the requested number are missing. Read
            // them from the start and report all parts.
            (self.epoch, self.next) = (None, 0);
            self.parts.clear();
            return Outcome::Gap;
        }
        let full = !same_epoch || batch.has_gap;
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

    /// Applies an update from a peer.
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
        // This daemon's own position in the events no longer applies.
        (self.epoch, self.next) = (None, 0);
        for (part, tokens) in &update.changes {
            self.set_tokens(*part, *tokens);
        }
        self.updated_at = Some(now);
        self.update_source = Some((update.daemon.clone(), update.sequence));
        Outcome::Applied { full: update.full, changes: Vec::new() }
    }

    /// Returns the sequence number of the next update.
    pub(in crate::fleet) fn next_seq(&mut self) -> u64 {
        self.updates_sent += 1;
        self.updates_sent
    }

    /// All parts that are large enough to report, with the sequence number of the last update, for
    /// a peer that missed one. `None` if this daemon does not read the events.
    pub(in crate::fleet) fn full_update(&self) -> Option<(u64, Vec<(u64, u32)>)> {
        self.epoch?;
        let reported = self.parts.iter().filter(|(_, tokens)| **tokens >= MIN_REPORTED_TOKENS);
        Some((self.updates_sent, reported.map(|(part, tokens)| (*part, *tokens)).collect()))
    }

    /// Sets how much of a part is held and returns the previous value.
    fn set_tokens(&mut self, part: u64, tokens: u32) -> u32 {
        let before = match tokens {
            0 => self.parts.remove(&part),
            _ if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) => None,
            _ => self.parts.insert(part, tokens),
        };
        before.unwrap_or_default()
    }
}
