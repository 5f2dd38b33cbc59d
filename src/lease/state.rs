//! Lease state, folded from the lease stream, and the records that this daemon appends.

use super::{Body, Record, Terms};
use crate::prelude::*;

/// Maximum number of own records whose sending time is kept.
const MAX_SENT_RECORDS: usize = 16;

/// Holder of the lease, by the order of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The daemon.
    pub daemon: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The fence, which is the offset of the record that took the lease.
    pub fence: u64,
}

/// The lease as one daemon sees it.
#[derive(Debug)]
pub struct State {
    terms: Terms,
    daemon: String,
    incarnation: u64,
    sequence: u64,
    holder: Option<Holder>,
    next: u64,
    /// Offset of the last accepted record.
    last: Option<u64>,
    /// Offset of the first record since the last gap.
    first: u64,
    /// Whether the last accepted record is known to be the same as on all daemons.
    is_base_known: bool,
    /// Time when the last accepted record was read.
    read_at: Time,
    /// Times when own records were sent, by sequence number.
    sent: BTreeMap<u64, Time>,
    last_sent: Option<Time>,
    /// Time until which this daemon may act as the holder, by its own clock.
    holds_until: Time,
    /// Time when this daemon read that it had taken the lease.
    taken_at: Time,
}

impl State {
    /// Creates the state of a daemon that has read no records.
    pub fn new(daemon: String, incarnation: u64, terms: Terms) -> Self {
        Self {
            terms,
            daemon,
            incarnation,
            sequence: 0,
            holder: None,
            next: 0,
            last: None,
            first: 0,
            is_base_known: true,
            read_at: Time::ZERO,
            sent: BTreeMap::new(),
            last_sent: None,
            holds_until: Time::ZERO,
            taken_at: Time::ZERO,
        }
    }

    /// Offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Holder of the lease, even if it has expired.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Continues at `offset` after the log has dropped all records before it.
    pub fn skip_to(&mut self, offset: u64) {
        if offset > self.next {
            self.next = offset;
            self.first = offset;
            self.is_base_known = false;
        }
    }

    /// Folds the record at `offset`, read now. Returns `None` if it can't be decoded.
    pub fn fold(&mut self, now: Time, offset: u64, text: &str) -> Option<()> {
        if offset < self.next {
            return Some(());
        }
        self.next = offset.saturating_add(1);
        let record = Record::decode(text)?;
        // A fence is the offset of the record that took the lease, so it is never past this one.
        if matches!(record.body, Body::Renew { fence } if fence > offset) {
            return None;
        }
        if !self.accepts(&record, offset) {
            return Some(());
        }
        self.is_base_known |= record.next.is_some() || record.after == self.last;
        self.last = Some(offset);
        let fence = match record.body {
            Body::Take => offset,
            Body::Renew { fence } => fence,
        };
        if record.body == Body::Take && self.is_own(&record) {
            self.taken_at = now;
        }
        self.holder =
            Some(Holder { daemon: record.daemon.clone(), incarnation: record.incarnation, fence });
        self.read_at = now;
        if self.is_own(&record)
            && let Some(sent) = self.sent.get(&record.sequence)
        {
            self.holds_until = *sent + self.terms.ttl - self.terms.margin;
        }
        Some(())
    }

    /// Whether the record at `offset` counts: its writer had read all records before it.
    fn accepts(&self, record: &Record, offset: u64) -> bool {
        match record.next {
            Some(next) => next == offset,
            None => self.follows(record),
        }
    }

    /// Whether a record of an earlier release follows the last accepted one. Until a record names one that this daemon
    /// has read, records that name a dropped one are accepted too. Only a daemon that had accepted the dropped record
    /// would name it.
    fn follows(&self, record: &Record) -> bool {
        let forgotten = record.after.is_some_and(|after| after < self.first);
        record.after == self.last || (!self.is_base_known && forgotten)
    }

    fn is_own(&self, record: &Record) -> bool {
        record.daemon == self.daemon && record.incarnation == self.incarnation
    }

    /// The fence, while this daemon may act as the holder.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let holder = self.holder.as_ref()?;
        let is_holder = holder.daemon == self.daemon && holder.incarnation == self.incarnation;
        (is_holder && now < self.holds_until).then_some(holder.fence)
    }

    /// Whether [`Terms::ttl`] has passed since this daemon took the lease. By then, a former holder has
    /// stopped even if engines don't refuse its fence.
    pub fn is_settled(&self, now: Time) -> bool {
        now >= self.taken_at + self.terms.ttl
    }

    /// The record to append now, if one is due. `is_candidate` is true if this daemon should take an
    /// expired lease.
    pub fn due_record(&mut self, now: Time, is_candidate: bool) -> Option<Record> {
        if self.last_sent.is_some_and(|sent| now < sent + self.terms.renewal_interval) {
            return None;
        }
        let is_holder = self.holder.as_ref().is_some_and(|holder| {
            holder.daemon == self.daemon && holder.incarnation == self.incarnation
        });
        let has_expired = now >= self.read_at + self.terms.ttl + self.terms.margin;
        let fence = self.holder.as_ref().map(|holder| holder.fence);
        let body = match fence {
            Some(fence) if is_holder && now < self.holds_until => Body::Renew { fence },
            _ if is_candidate && has_expired => Body::Take,
            _ => return None,
        };
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        if self.sent.len() > MAX_SENT_RECORDS {
            self.sent.pop_first();
        }
        self.last_sent = Some(now);
        let (sequence, last, next) = (self.sequence, self.last, Some(self.next));
        Some(Record::new(&self.daemon, self.incarnation, sequence, last, next, body))
    }
}
