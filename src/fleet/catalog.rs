//! The newest record of each key of the platform's topics, as read from the store or from peers.
//!
//! A key's offset only grows, so a record that comes late, twice or from a peer that is behind
//! changes nothing. That holds whichever way a record came, so peers stand in for the store while
//! it can't be reached.

use crate::prelude::*;

/// Records of keys without a value that are kept for peers, for each topic.
const MAX_TOMBSTONES: usize = 4_096;

/// The topics that daemons share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// What operators publish.
    Operator,
    /// Registrations of backend servers.
    Servers,
    /// Registrations of daemons.
    Routers,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Servers, Self::Routers];

    /// The topic of this number on the wire between daemons.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|topic| *topic as u32 == number)
    }
}

/// One record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// Its offset in the topic.
    pub offset: u64,
    /// Its value; `None` where the key was removed.
    pub value: Option<Vec<u8>>,
}

/// The newest records of all keys in a range of a topic's offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The topic.
    pub topic: Topic,
    /// The first offset of the range.
    pub from: u64,
    /// The offset after the range.
    pub to: u64,
    /// The records, in order; some may lie after the range.
    pub records: Vec<Record>,
}

#[derive(Debug, Default)]
struct TopicState {
    records: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// The offset before which nothing is missing.
    end: u64,
    /// The offset after the newest record that is known.
    newest: u64,
    /// The offset from which on removals are known too.
    tombstones_from: u64,
}

/// The newest records by topic and key.
#[derive(Debug, Default)]
pub struct Catalog {
    topics: BTreeMap<Topic, TopicState>,
}

impl Catalog {
    /// Takes a record; whether it is newer than what was known of its key.
    ///
    /// ```
    /// use cardamomvalve::fleet::{Catalog, Record, Topic};
    /// let mut catalog = Catalog::default();
    /// let record = Record { key: "a".into(), offset: 4, value: Some(vec![1]) };
    /// assert!(catalog.insert(Topic::Servers, &record));
    /// assert!(!catalog.insert(Topic::Servers, &record));
    /// ```
    pub fn insert(&mut self, topic: Topic, record: &Record) -> bool {
        let state = self.topics.entry(topic).or_default();
        let is_new = match state.records.get(&record.key) {
            Some((offset, _)) => record.offset > *offset,
            // A key that was in no list of what was left, and is told of late, was removed before it.
            None => record.offset >= state.tombstones_from,
        };
        if !is_new {
            return false;
        }
        state.newest = state.newest.max(record.offset + 1);
        state.records.insert(record.key.clone(), (record.offset, record.value.clone()));
        true
    }

    /// The keys that had a value before offset `to` and are not listed, where `whole` lists all that have one
    /// there: their removals, the last of which may lie right before it. Keys that came later may be missing
    /// from the list, whose pages are no snapshot.
    pub fn removals(&self, topic: Topic, snapshot: &[Record], to: u64) -> Vec<Record> {
        let listed: BTreeSet<&str> = snapshot.iter().map(|record| record.key.as_str()).collect();
        let Some(state) = self.topics.get(&topic) else { return Vec::new() };
        state
            .records
            .iter()
            .filter(|(key, (offset, value))| {
                value.is_some() && *offset < to && !listed.contains(key.as_str())
            })
            .map(|(key, _)| Record { key: key.clone(), offset: to.saturating_sub(1), value: None })
            .collect()
    }

    /// Notes that everything that was left of a topic at offset `to` was taken: removals before it are in no
    /// such list.
    pub fn mark_snapshot(&mut self, topic: Topic, to: u64) {
        let state = self.topics.entry(topic).or_default();
        if to > state.end {
            state.tombstones_from = to;
        }
        state.end = state.end.max(to);
    }

    /// Whether every removal from offset `from` on is known.
    pub fn has_tombstones(&self, topic: Topic, from: u64) -> bool {
        self.topics.get(&topic).is_none_or(|state| from >= state.tombstones_from)
    }

    /// Notes that every record of a range was taken; whether no record before its end is missing now.
    /// One that begins past what is known leaves a gap and changes nothing.
    ///
    /// ```
    /// use cardamomvalve::fleet::{Catalog, Topic};
    /// let mut catalog = Catalog::default();
    /// assert!(!catalog.advance(Topic::Servers, 5, 6));
    /// assert!(catalog.advance(Topic::Servers, 0, 6));
    /// ```
    pub fn advance(&mut self, topic: Topic, from: u64, to: u64) -> bool {
        let state = self.topics.entry(topic).or_default();
        let follows = from <= state.end;
        if follows {
            state.end = state.end.max(to);
        }
        follows
    }

    /// Whether no record is known that lies after others which are missing.
    pub fn is_contiguous(&self, topic: Topic) -> bool {
        self.topics.get(&topic).is_none_or(|state| state.newest <= state.end)
    }

    /// The offset before which no record is missing.
    pub fn end(&self, topic: Topic) -> u64 {
        self.topics.get(&topic).map_or(0, |state| state.end)
    }

    /// The newest records of all keys from offset `from`, in order.
    pub fn since(&self, topic: Topic, from: u64) -> Vec<Record> {
        let Some(state) = self.topics.get(&topic) else { return Vec::new() };
        let mut records: Vec<Record> = state
            .records
            .iter()
            .filter(|(_, (offset, _))| *offset >= from)
            .map(|(key, (offset, value))| Record {
                key: key.clone(),
                offset: *offset,
                value: value.clone(),
            })
            .collect();
        records.sort_by_key(|record| record.offset);
        records
    }

    /// Forgets the oldest records of removed keys beyond a bound.
    pub fn trim(&mut self) {
        for state in self.topics.values_mut() {
            let mut tombstones: Vec<u64> = state
                .records
                .values()
                // Past a gap it is not known what else was removed.
                .filter(|(offset, value)| value.is_none() && *offset < state.end)
                .map(|(offset, _)| *offset)
                .collect();
            if tombstones.len() <= MAX_TOMBSTONES {
                continue;
            }
            tombstones.sort_unstable();
            let oldest = tombstones[tombstones.len() - MAX_TOMBSTONES];
            state.records.retain(|_, (offset, value)| value.is_some() || *offset >= oldest);
            state.tombstones_from = state.tombstones_from.max(oldest);
        }
    }
}
