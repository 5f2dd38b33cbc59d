//! Chooses which daemon reads each holder's cache events and shares the results with the
//! schedulers.
//!
//! An engine supports only a few readers of its events, and each read costs both sides. So the
//! scheduler of a pool reads its engines' events and sends updates to the other schedulers.

use std::net::SocketAddr;

use super::held::Outcome;
use super::{EventBatch, Holder, Location, Residency, Update};
use crate::fleet::{Effect, Frame, Node};
use crate::prelude::*;

/// Interval between reads of one holder's events, per holder. One daemon may read all of them,
/// which this limits to about 120 reads a second.
const READ_INTERVAL_PER_HOLDER: Duration = Duration::from_millis(8);
/// Minimum interval between reads of one holder.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum interval between reads of one holder; parts are computed and evicted within seconds.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(800);
/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks of whether this daemon should read a holder's events.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which an unfinished read counts as failed: the longest long poll plus the time for
/// its response.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without changes after which an empty update is sent, so that peers still consider their
/// data current.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);
/// Minimum interval between requests to peers for all parts of a holder.
const FULL_UPDATE_REQUEST_INTERVAL: Duration = Duration::from_millis(600);

/// Timing of the reads and updates for one holder.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct EventPoll {
    /// When the read in progress started.
    started_at: Option<Time>,
    due_at: Time,
    /// Time of the next check whether a read is due, once there was one.
    scheduled_at: Option<Time>,
    update_sent_at: Time,
    /// Earliest time at which a peer may be asked for all parts again.
    next_request_at: Time,
}

impl Node {
    /// Starts the event reads that are due on this daemon.
    pub(in crate::fleet) fn read_events(&mut self, now: Time) {
        if !self.is_scheduler(now) {
            return;
        }
        while let Some((at, location)) = self.event_schedule.pop_first() {
            if at > now {
                self.event_schedule.insert((at, location));
                return;
            }
            let scheduled_at = self.event_reads.get(&location).and_then(|poll| poll.scheduled_at);
            if scheduled_at.is_none_or(|scheduled_at| scheduled_at == at)
                && let Some(next) = self.read_holder_events(now, location)
            {
                self.schedule_event_read(location, next);
            }
        }
    }

    /// Schedules the next check of a holder, instead of an earlier one.
    pub(in crate::fleet) fn schedule_event_read(&mut self, location: Location, at: Time) {
        if let Some(poll) = self.event_reads.get_mut(&location) {
            poll.scheduled_at = Some(at);
        }
        self.event_schedule.insert((at, location));
    }

    /// Starts a read of a holder's events if it is due. Returns when to check again, or `None` if the
    /// holder is gone.
    fn read_holder_events(&mut self, now: Time, location: Location) -> Option<Time> {
        self.residency(location)?;
        let Some(address) = self.holder_address(location) else {
            return Some(now + READER_CHECK_INTERVAL);
        };
        let poll = self.event_reads.entry(location).or_default();
        if let Some(timeout) = poll.started_at.map(|at| at + READ_TIMEOUT).filter(|at| now < *at) {
            return Some(timeout);
        }
        if now < poll.due_at {
            return Some(poll.due_at);
        }
        (poll.started_at, poll.due_at) = (None, now + READER_CHECK_INTERVAL);
        if !self.is_event_reader(now, location) {
            return Some(now + READER_CHECK_INTERVAL);
        }
        if let Some(poll) = self.event_reads.get_mut(&location) {
            poll.started_at = Some(now);
        }
        let since = self.residency(location).map_or(0, Residency::next_event);
        self.effects.push(Effect::ReadEvents { place: location, address, since });
        Some(now + READ_TIMEOUT)
    }

    /// Handles the result of an event read; `None` if the read failed.
    pub(in crate::fleet) fn handle_cache_events(
        &mut self,
        now: Time,
        location: Location,
        batch: Option<&EventBatch>,
    ) {
        if self.residency(location).is_none() {
            // The server has been removed.
            return;
        }
        let interval = self.event_read_interval();
        let poll = self.event_reads.entry(location).or_default();
        poll.started_at = None;
        let Some(batch) = batch else {
            poll.due_at = now + READ_RETRY_DELAY;
            self.schedule_event_read(location, now + READ_RETRY_DELAY);
            if let Some(residency) = self.residency_mut(location) {
                residency.mark_unreadable();
            }
            return;
        };
        poll.due_at = now + interval;
        let heartbeat_due = now >= poll.update_sent_at + HEARTBEAT_INTERVAL;
        self.schedule_event_read(location, now + interval);
        let Some(residency) = self.residency_mut(location) else { return };
        match residency.apply_events(now, batch) {
            Outcome::Gap => {
                if let Some(poll) = self.event_reads.get_mut(&location) {
                    poll.due_at = now;
                }
                self.schedule_event_read(location, now);
            }
            Outcome::Applied { full: false, changes } if changes.is_empty() && !heartbeat_due => {}
            Outcome::Applied { full, changes } => {
                self.send_residency_update(now, location, full, changes)
            }
        }
    }

    /// Handles a peer's update from events that the peer reads.
    pub(in crate::fleet) fn handle_residency_update(&mut self, now: Time, update: &Update) {
        let Some(location) = self.location_of(&update.holder) else { return };
        let is_reading =
            self.event_reads.get(&location).is_some_and(|poll| poll.started_at.is_some());
        if is_reading {
            // Two daemons briefly read the same events during a handover; this daemon's own read is
            // newer.
            return;
        }
        let Some(residency) = self.residency_mut(location) else { return };
        if residency.apply_update(now, update) != Outcome::Gap {
            return;
        }
        let poll = self.event_reads.entry(location).or_default();
        if now < poll.next_request_at {
            return;
        }
        poll.next_request_at = now + FULL_UPDATE_REQUEST_INTERVAL;
        if let Some(address) = self.peer_address(&update.daemon) {
            let request = Frame::FetchResidency(self.identity.id.clone(), update.holder.clone());
            self.effects.push(Effect::Send(vec![address], request));
        }
    }

    /// Sends a peer all parts of a holder whose events this daemon reads.
    pub(in crate::fleet) fn send_full_residency(&mut self, daemon: &str, holder: Holder) {
        let full =
            self.location_of(&holder).and_then(|location| self.residency(location)?.full_update());
        let (Some((sequence, changes)), Some(address)) = (full, self.peer_address(daemon)) else {
            return;
        };
        let daemon = self.identity.id.clone();
        let update = Update { daemon, holder, sequence, full: true, changes };
        self.effects.push(Effect::Send(vec![address], Frame::Residency(update)));
    }

    fn send_residency_update(
        &mut self,
        now: Time,
        location: Location,
        full: bool,
        changes: Vec<(u64, u32)>,
    ) {
        let Some(holder) = self.holder(location) else { return };
        if let Some(poll) = self.event_reads.get_mut(&location) {
            poll.update_sent_at = now;
        }
        let Some(sequence) = self.residency_mut(location).map(Residency::next_seq) else { return };
        let peers = self.scheduler_addresses(now);
        if !peers.is_empty() {
            let daemon = self.identity.id.clone();
            let update = Update { daemon, holder, sequence, full, changes };
            self.effects.push(Effect::Send(peers, Frame::Residency(update)));
        }
    }

    /// Whether this daemon should read a holder's events, as scheduler of the engine's pool.
    fn is_event_reader(&self, now: Time, location: Location) -> bool {
        let pool = match location {
            Location::Engine(key) => self.servers.get(key).map(|server| server.entry.pool.as_str()),
            // The choice of pool is arbitrary, but all daemons must agree on it.
            Location::Store(_) => self.table.as_ref().and_then(|table| table.engine_pools().next()),
        };
        let scheduled = |pool| self.is_scheduler(now) && self.scheduler_of(now, pool).is_none();
        !self.draining && pool.is_some_and(scheduled)
    }

    fn event_read_interval(&self) -> Duration {
        let holders = u32::try_from(self.event_reads.len()).unwrap_or(u32::MAX);
        READ_INTERVAL_PER_HOLDER.saturating_mul(holders).clamp(MIN_READ_INTERVAL, MAX_READ_INTERVAL)
    }

    fn holder(&self, location: Location) -> Option<Holder> {
        match location {
            Location::Engine(key) => {
                self.servers.get(key).map(|server| Holder::Engine(server.entry.incarnation.clone()))
            }
            Location::Store(address) => Some(Holder::Store(address)),
        }
    }

    fn location_of(&self, holder: &Holder) -> Option<Location> {
        match holder {
            Holder::Engine(incarnation) => {
                self.incarnations.server(incarnation).map(Location::Engine)
            }
            Holder::Store(address) => self.stores.get(*address).map(|_| Location::Store(*address)),
        }
    }

    /// Address at which a holder's events are read.
    fn holder_address(&self, location: Location) -> Option<SocketAddr> {
        let table = self.table.as_ref()?;
        match location {
            Location::Engine(key) => {
                let entry = &self.servers.get(key)?.entry;
                table.engine(&entry.pool).map(|_| entry.address)
            }
            Location::Store(address) => Some(address),
        }
    }

    pub(in crate::fleet) fn residency(&self, location: Location) -> Option<&Residency> {
        match location {
            Location::Engine(key) => self.servers.get(key).map(|server| &server.residency),
            Location::Store(address) => self.stores.get(address).map(|store| &store.held),
        }
    }

    fn residency_mut(&mut self, location: Location) -> Option<&mut Residency> {
        match location {
            Location::Engine(key) => self.servers.get_mut(key).map(|server| &mut server.residency),
            Location::Store(address) => self.stores.get_mut(address).map(|store| &mut store.held),
        }
    }
}
