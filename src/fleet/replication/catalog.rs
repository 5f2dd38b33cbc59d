//! The newest record of each key of the platform's topics, read from the store or received from
//! peers.
//!
//! A key's offset only grows, so a record that arrives late, twice or from a peer that is behind
//! changes nothing. Because this holds for every source, peers can replace the store while it is
//! unreachable.

use crate::prelude::*;

/// Maximum number of tombstones (records of removed keys) kept for peers, per topic.
const MAX_TOMBSTONES: usize = 4_096;

/// A topic of the platform's store that daemons share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Configuration and weights that operators publish.
    Operator,
    /// Registrations of backend servers.
    Servers,
    /// Registrations of daemons.
    Routers,
}

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 3] = [Self::Operator, Self::Servers, Self::Routers];

    /// Returns the topic with this number on the wire between daemons.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.into_iter().find(|topic| *topic as u32 == number)
    }
}

/// One record of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The record's offset in the topic.
    pub offset: u64,
    /// The value; `None` if the key was removed.
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

impl Batch {
    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        let size = |record: &Record| record.key.len() + record.value.as_ref().map_or(0, Vec::len);
        self.records.iter().map(size).sum()
    }
}

#[derive(Debug, Default)]
struct TopicState {
    records: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// End of the contiguous range of known records, which starts at offset 0.
    end: u64,
    /// Offset after the newest known record.
    newest: u64,
    /// Offset from which tombstones are complete.
    tombstones_from: u64,
    /// Number of tombstones.
    tombstones: usize,
}

/// The newest records by topic and key.
#[derive(Debug, Default)]
pub struct Catalog {
    topics: BTreeMap<Topic, TopicState>,
}

impl Catalog {
    /// Inserts a record; returns whether it is newer than the known record of its key.
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
            // An unknown key below this offset was removed before the snapshot, which did not list
            // it.
            None => record.offset >= state.tombstones_from,
        };
        if !is_new {
            return false;
        }
        state.newest = state.newest.max(record.offset.saturating_add(1));
        let former =
            state.records.insert(record.key.clone(), (record.offset, record.value.clone()));
        let was_tombstone = former.is_some_and(|(_, value)| value.is_none());
        state.tombstones += usize::from(record.value.is_none());
        state.tombstones -= usize::from(was_tombstone);
        true
    }

    /// Returns removals of the keys that have a value before offset `to` and are not in `snapshot`.
    /// The removals get the offset right before `to`, where the last of them may be. Keys added
    /// later may be missing from the list, because its pages are not read atomically.
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

    /// Records that a snapshot of a topic as of offset `to` was applied; it lists no earlier
    /// removals.
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

    /// Records that every record of a range was applied; returns whether the range joins the known
    /// records. A range that starts past them leaves a gap and changes nothing.
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

    /// Whether no known record lies after a gap.
    pub fn is_contiguous(&self, topic: Topic) -> bool {
        self.topics.get(&topic).is_none_or(|state| state.newest <= state.end)
    }

    /// The offset of the newest record of a key.
    pub(in crate::fleet) fn offset(&self, topic: Topic, key: &str) -> Option<u64> {
        self.topics.get(&topic)?.records.get(key).map(|(offset, _)| *offset)
    }

    /// The offset before which no record is missing.
    pub fn end(&self, topic: Topic) -> u64 {
        self.topics.get(&topic).map_or(0, |state| state.end)
    }

    /// Returns the newest records of all keys from offset `from`, in order.
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

    /// Drops the oldest tombstones beyond the maximum.
    pub fn trim(&mut self) {
        let has_surplus = |state: &&mut TopicState| state.tombstones > MAX_TOMBSTONES;
        for state in self.topics.values_mut().filter(has_surplus) {
            let mut tombstones: Vec<u64> = state
                .records
                .values()
                // Past a gap, other removals may be missing.
                .filter(|(offset, value)| value.is_none() && *offset < state.end)
                .map(|(offset, _)| *offset)
                .collect();
            if tombstones.len() <= MAX_TOMBSTONES {
                continue;
            }
            tombstones.sort_unstable();
            let oldest = tombstones[tombstones.len() - MAX_TOMBSTONES];
            state.records.retain(|_, (offset, value)| value.is_some() || *offset >= oldest);
            state.tombstones = state.records.values().filter(|(_, value)| value.is_none()).count();
            state.tombstones_from = state.tombstones_from.max(oldest);
        }
    }
}
