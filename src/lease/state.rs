//! The fold over the lease stream, and this daemon's own part in it.

use super::{Body, Record, Terms};
use crate::prelude::*;

/// Own records whose sending time is remembered.
const MAX_SENT_RECORDS: usize = 16;

/// Who holds the lease, by the log's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The daemon.
    pub daemon: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The fencing number: the offset of the record that took the lease.
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
    /// The oldest offset that was read.
    first: u64,
    /// Whether all records since the last forgotten one are known to have been judged as by all.
    is_base_known: bool,
    /// When the last accepted record was read.
    read_at: Time,
    /// When own records were sent, by sequence.
    sent: BTreeMap<u64, Time>,
    last_sent: Option<Time>,
    /// Until when this daemon may act as the holder, by its own clock.
    holds_until: Time,
    /// When this daemon read that it had taken the lease.
    taken_at: Time,
}

impl State {
    /// The lease as seen by this daemon, which has read nothing yet.
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

    /// The offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Who holds the lease, whether or not it has run out.
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Continues at `offset`, where the log no longer has what comes before it.
    pub fn skip_to(&mut self, offset: u64) {
        if offset > self.next {
            self.next = offset;
            self.first = offset;
            self.is_base_known = false;
        }
    }

    /// Folds the record at `offset`, read now; `None` where it could not be read.
    pub fn fold(&mut self, now: Time, offset: u64, text: &str) -> Option<()> {
        if offset < self.next {
            return Some(());
        }
        self.next = offset + 1;
        let record = Record::decode(text)?;
        if !self.is_next(&record) {
            return Some(());
        }
        self.is_base_known |= record.after == self.last;
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

    /// Whether the record follows the last accepted one. What a log has forgotten can't be compared:
    /// until a record names one that was read, those that name a forgotten one are taken at their
    /// word, since only a daemon that had accepted it would name it.
    fn is_next(&self, record: &Record) -> bool {
        let forgotten = record.after.is_some_and(|after| after < self.first);
        record.after == self.last || (!self.is_base_known && forgotten)
    }

    fn is_own(&self, record: &Record) -> bool {
        record.daemon == self.daemon && record.incarnation == self.incarnation
    }

    /// The fencing number, while this daemon may act as the holder.
    pub fn fence(&self, now: Time) -> Option<u64> {
        let holder = self.holder.as_ref()?;
        let is_holder = holder.daemon == self.daemon && holder.incarnation == self.incarnation;
        (is_holder && now < self.holds_until).then_some(holder.fence)
    }

    /// Whether a whole [`Terms::ttl`] has passed since this daemon took the lease: a former holder that
    /// engines would not refuse has stopped by then.
    pub fn is_settled(&self, now: Time) -> bool {
        now >= self.taken_at + self.terms.ttl
    }

    /// The record to append now, if one is due. `candidate` tells whether this daemon is the one
    /// to take a lease that has run out.
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
        Some(Record::new(&self.daemon, self.incarnation, self.sequence, self.last, body))
    }
}
