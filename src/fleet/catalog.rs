//! The newest record of each key of the platform's topics, as read from the store or from peers.
//!
//! A key's offset only grows, so a record that comes late, twice or from a peer that is behind
//! changes nothing. That holds whichever way a record came, so peers stand in for the store while
//! it can't be reached.

use crate::prelude::*;

/// Records of keys without a value that are kept for peers, for each topic.
const MAX_GONE: usize = 4_096;

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
struct Shelf {
    records: BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// The offset before which nothing is missing.
    end: u64,
    /// The offset after the newest record that is known.
    newest: u64,
    /// The offset from which on removals are known too.
    removals_from: u64,
}

/// The newest records by topic and key.
#[derive(Debug, Default)]
pub struct Catalog {
    shelves: BTreeMap<Topic, Shelf>,
}

impl Catalog {
    /// Takes a record; whether it is newer than what was known of its key.
    ///
    /// ```
    /// use cardamomvalve::fleet::{Catalog, Record, Topic};
    /// let mut catalog = Catalog::default();
    /// let record = Record { key: "a".into(), offset: 4, value: Some(vec![1]) };
    /// assert!(catalog.take(Topic::Servers, &record));
    /// assert!(!catalog.take(Topic::Servers, &record));
    /// ```
    pub fn take(&mut self, topic: Topic, record: &Record) -> bool {
        let shelf = self.shelves.entry(topic).or_default();
        let is_new = match shelf.records.get(&record.key) {
            Some((offset, _)) => record.offset > *offset,
            // A key that was in no list of what was left, and is told of late, was removed before it.
            None => record.offset >= shelf.removals_from,
        };
        if !is_new {
            return false;
        }
        shelf.newest = shelf.newest.max(record.offset + 1);
        shelf.records.insert(record.key.clone(), (record.offset, record.value.clone()));
        true
    }

    /// The keys that had a value before offset `to` and are not listed, where `whole` lists all that have one
    /// there: their removals, the last of which may lie right before it. Keys that came later may be missing
    /// from the list, whose pages are no snapshot.
    pub fn missing(&self, topic: Topic, whole: &[Record], to: u64) -> Vec<Record> {
        let listed: BTreeSet<&str> = whole.iter().map(|record| record.key.as_str()).collect();
        let Some(shelf) = self.shelves.get(&topic) else { return Vec::new() };
        shelf
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
    pub fn take_whole(&mut self, topic: Topic, to: u64) {
        let shelf = self.shelves.entry(topic).or_default();
        if to > shelf.end {
            shelf.removals_from = to;
        }
        shelf.end = shelf.end.max(to);
    }

    /// Whether every removal from offset `from` on is known.
    pub fn has_removals(&self, topic: Topic, from: u64) -> bool {
        self.shelves.get(&topic).is_none_or(|shelf| from >= shelf.removals_from)
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
        let shelf = self.shelves.entry(topic).or_default();
        let follows = from <= shelf.end;
        if follows {
            shelf.end = shelf.end.max(to);
        }
        follows
    }

    /// Whether no record is known that lies after others which are missing.
    pub fn is_whole(&self, topic: Topic) -> bool {
        self.shelves.get(&topic).is_none_or(|shelf| shelf.newest <= shelf.end)
    }

    /// The offset before which no record is missing.
    pub fn end(&self, topic: Topic) -> u64 {
        self.shelves.get(&topic).map_or(0, |shelf| shelf.end)
    }

    /// The newest records of all keys from offset `from`, in order.
    pub fn since(&self, topic: Topic, from: u64) -> Vec<Record> {
        let Some(shelf) = self.shelves.get(&topic) else { return Vec::new() };
        let mut records: Vec<Record> = shelf
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
        for shelf in self.shelves.values_mut() {
            let mut gone: Vec<u64> = shelf
                .records
                .values()
                // Past a gap it is not known what else was removed.
                .filter(|(offset, value)| value.is_none() && *offset < shelf.end)
                .map(|(offset, _)| *offset)
                .collect();
            if gone.len() <= MAX_GONE {
                continue;
            }
            gone.sort_unstable();
            let oldest = gone[gone.len() - MAX_GONE];
            shelf.records.retain(|_, (offset, value)| value.is_some() || *offset >= oldest);
            shelf.removals_from = shelf.removals_from.max(oldest);
        }
    }
}
