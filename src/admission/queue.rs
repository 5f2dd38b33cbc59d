//! The queue of one pool: strict by priority class, fair by workspace within a class.
//!
//! Fairness is start-time fair queueing: each workspace's requests get virtual start times that
//! advance by cost over share, and the request with the lowest start time goes first.

use crate::attempt;
use crate::manifest::Priority;
use crate::prelude::*;

/// One waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub request: attempt::Key,
    /// Its class.
    pub priority: Priority,
    /// Its workspace.
    pub workspace: String,
    /// The workspace's share.
    pub share: u32,
    /// Its cost, in prompt and answer tokens.
    pub cost: u32,
    /// Latest time at which it may be sent.
    pub deadline: Time,
    /// Whether it is a retry after a failure, which precedes all others of its class.
    pub is_retry: bool,
}

/// The queue has no room for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

type Position = (Priority, u64, u64);

/// Fixed-point scale of virtual time, so that small costs over large shares remain distinct.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

/// The waiting requests of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<Position, Entry>,
    positions: BTreeMap<attempt::Key, Position>,
    deadlines: BTreeSet<(Time, attempt::Key)>,
    virtual_time: BTreeMap<Priority, u64>,
    next_start: BTreeMap<(Priority, String), u64>,
    arrivals: u64,
}

impl Queue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests ahead of a new one of `priority`.
    pub fn count_ahead(&self, priority: Priority) -> usize {
        self.waiting.range(..(priority, u64::MAX, u64::MAX)).count()
    }

    /// Inserts `entry` at its position. If `limit` requests wait already, the last one of a lower
    /// class is displaced and returned; if there is none, the queue is full.
    pub fn push(&mut self, entry: Entry, limit: usize) -> Result<Option<attempt::Key>, Full> {
        let mut displaced = None;
        if self.waiting.len() >= limit {
            let (last, displaced_entry) = self.waiting.last_key_value().ok_or(Full)?;
            if last.0 <= entry.priority {
                return Err(Full);
            }
            let displaced_request = displaced_entry.request;
            self.remove(displaced_request);
            displaced = Some(displaced_request);
        }
        let start = self.assign_start(&entry);
        let position = (entry.priority, start, self.arrivals);
        self.arrivals += 1;
        self.positions.insert(entry.request, position);
        self.deadlines.insert((entry.deadline, entry.request));
        self.waiting.insert(position, entry);
        Ok(displaced)
    }

    fn assign_start(&mut self, entry: &Entry) -> u64 {
        if entry.is_retry {
            return 0;
        }
        let now = self.virtual_time.get(&entry.priority).copied().unwrap_or(0);
        let next = self.next_start.entry((entry.priority, entry.workspace.clone())).or_insert(0);
        let start = now.max(*next);
        *next = start + u64::from(entry.cost) * VIRTUAL_TIME_SCALE / u64::from(entry.share.max(1));
        start
    }

    /// Returns the waiting requests in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.waiting.values()
    }

    /// Removes a request to serve it; virtual time advances to its start.
    pub fn dequeue(&mut self, request: attempt::Key) -> Option<Entry> {
        let position = *self.positions.get(&request)?;
        let time = self.virtual_time.entry(position.0).or_insert(0);
        *time = (*time).max(position.1);
        let entry = self.remove(request);
        if self.waiting.is_empty() {
            self.next_start.clear();
            self.virtual_time.clear();
        }
        entry
    }

    /// Removes a request without serving it.
    pub fn remove(&mut self, request: attempt::Key) -> Option<Entry> {
        let position = self.positions.remove(&request)?;
        let entry = self.waiting.remove(&position)?;
        self.deadlines.remove(&(entry.deadline, request));
        Some(entry)
    }

    /// Removes and returns every request whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<attempt::Key> {
        let expired: Vec<attempt::Key> = self
            .deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, request)| *request)
            .collect();
        for request in &expired {
            self.remove(*request);
        }
        expired
    }
}
