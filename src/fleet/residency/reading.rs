//! Who reads the events of what keeps parts, and how the schedulers hear of them.
//!
//! An engine bears a few callers of its events only, and a read costs both sides: so the scheduler of a
//! pool reads its engines' events, and tells the other schedulers.

use std::net::SocketAddr;

use super::held::Heard;
use super::{EventsRead, Held, Keeper, Place, Told};
use crate::fleet::{Effect, Frame, Node};
use crate::prelude::*;

/// Time between two reads of one keeper's events, for each keeper that is read: one daemon reads them
/// all, some 120 a second at most.
const PACE_EACH: Duration = Duration::from_millis(8);
/// Least time between two reads.
const PACE_LEAST: Duration = Duration::from_millis(100);
/// Most time between two reads: parts are read and dropped within some seconds.
const PACE_MOST: Duration = Duration::from_millis(800);
/// Time after a read that failed.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks at who reads what.
const LOOK: Duration = Duration::from_millis(400);
/// Time after which a read that has not ended counts as failed: the longest wait for events, and the
/// time for their answer.
const LOST: Duration = Duration::from_secs(4);
/// Time without changes after which peers are told so, since they count on hearing.
const STILL: Duration = Duration::from_millis(900);
/// Time between two questions to a peer for all parts.
const ASK: Duration = Duration::from_millis(600);

/// When the events of one keeper are read and told.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct Reading {
    /// When the read under way began.
    asked: Option<Time>,
    due: Time,
    told_at: Time,
    /// When a peer may next be asked for all parts.
    ask_at: Time,
}

impl Node {
    /// Reads the events that this daemon is to read and that are due.
    pub(in crate::fleet) fn read_events(&mut self, now: Time) {
        let places = self.servers.keys().map(Place::Engine).chain([Place::Store]);
        let places: Vec<Place> = places.collect();
        for place in places {
            self.read_events_of(now, place);
        }
    }

    fn read_events_of(&mut self, now: Time, place: Place) {
        let Some(address) = self.keeper_address(place) else { return };
        let reading = self.readings.entry(place).or_default();
        if reading.asked.is_some_and(|at| now < at + LOST) || now < reading.due {
            return;
        }
        (reading.asked, reading.due) = (None, now + LOOK);
        if !self.reads_events_of(now, place) {
            return;
        }
        if let Some(reading) = self.readings.get_mut(&place) {
            reading.asked = Some(now);
        }
        let since = self.held(place).map_or(0, Held::next);
        self.effects.push(Effect::ReadEvents { place, address, since });
    }

    /// Takes over events that were read; `None` where they could not be.
    pub(in crate::fleet) fn events_read(
        &mut self,
        now: Time,
        place: Place,
        read: Option<&EventsRead>,
    ) {
        if self.held(place).is_none() {
            // The server is gone.
            return;
        }
        let pace = self.events_pace();
        let reading = self.readings.entry(place).or_default();
        reading.asked = None;
        let Some(read) = read else {
            reading.due = now + PAUSE;
            if let Some(held) = self.held_mut(place) {
                held.lost();
            }
            return;
        };
        reading.due = now + pace;
        let still = now >= reading.told_at + STILL;
        let Some(held) = self.held_mut(place) else { return };
        match held.read(now, read) {
            Heard::Missed => {
                if let Some(reading) = self.readings.get_mut(&place) {
                    reading.due = now;
                }
            }
            Heard::Taken { whole: false, changes } if changes.is_empty() && !still => {}
            Heard::Taken { whole, changes } => self.tell(now, place, whole, changes),
        }
    }

    /// Takes over what a peer tells of events that it reads.
    pub(in crate::fleet) fn told_came(&mut self, now: Time, told: &Told) {
        let Some(place) = self.place_of(&told.keeper) else { return };
        let reads = self.readings.get(&place).is_some_and(|reading| reading.asked.is_some());
        if reads {
            // Both read for a moment; what this daemon reads is newer than what it is told.
            return;
        }
        let Some(held) = self.held_mut(place) else { return };
        if held.hear(now, told) != Heard::Missed {
            return;
        }
        let reading = self.readings.entry(place).or_default();
        if now < reading.ask_at {
            return;
        }
        reading.ask_at = now + ASK;
        if let Some(address) = self.peer_address(&told.daemon) {
            let ask = Frame::FetchResidency(self.identity.id.clone(), told.keeper.clone());
            self.effects.push(Effect::Send(vec![address], ask));
        }
    }

    /// Tells a peer everything that a keeper holds, by the events that this daemon reads.
    pub(in crate::fleet) fn asked_held(&mut self, daemon: &str, keeper: Keeper) {
        let whole = self.place_of(&keeper).and_then(|place| self.held(place)?.whole());
        let (Some((number, changes)), Some(address)) = (whole, self.peer_address(daemon)) else {
            return;
        };
        let daemon = self.identity.id.clone();
        let told = Told { daemon, keeper, number, whole: true, changes };
        self.effects.push(Effect::Send(vec![address], Frame::Residency(told)));
    }

    fn tell(&mut self, now: Time, place: Place, whole: bool, changes: Vec<(u64, u32)>) {
        let Some(keeper) = self.keeper(place) else { return };
        if let Some(reading) = self.readings.get_mut(&place) {
            reading.told_at = now;
        }
        let Some(number) = self.held_mut(place).map(Held::next_told) else { return };
        let peers = self.scheduler_addresses(now);
        if !peers.is_empty() {
            let daemon = self.identity.id.clone();
            let told = Told { daemon, keeper, number, whole, changes };
            self.effects.push(Effect::Send(peers, Frame::Residency(told)));
        }
    }

    /// Whether this daemon is to read a keeper's events: it schedules the pool of engines.
    fn reads_events_of(&self, now: Time, place: Place) -> bool {
        let pool = match place {
            Place::Engine(key) => self.servers.get(key).map(|server| server.entry.pool.as_str()),
            // Any pool of engines would do that all daemons agree on.
            Place::Store => self.table.as_ref().and_then(|table| table.engine_pools().next()),
        };
        let scheduled = |pool| self.is_scheduler(now) && self.scheduler_of(now, pool).is_none();
        !self.draining && pool.is_some_and(scheduled)
    }

    fn events_pace(&self) -> Duration {
        let keepers = u32::try_from(self.readings.len()).unwrap_or(u32::MAX);
        PACE_EACH.saturating_mul(keepers).clamp(PACE_LEAST, PACE_MOST)
    }

    fn keeper(&self, place: Place) -> Option<Keeper> {
        match place {
            Place::Engine(key) => {
                self.servers.get(key).map(|server| Keeper::Engine(server.entry.life.clone()))
            }
            Place::Store => self.keeper_address(place).map(Keeper::Store),
        }
    }

    fn place_of(&self, keeper: &Keeper) -> Option<Place> {
        match keeper {
            Keeper::Engine(life) => self.lives.server(life).map(Place::Engine),
            Keeper::Store(address) => {
                (self.keeper_address(Place::Store) == Some(*address)).then_some(Place::Store)
            }
        }
    }

    /// Where a keeper's events are read.
    fn keeper_address(&self, place: Place) -> Option<SocketAddr> {
        let table = self.table.as_ref()?;
        match place {
            Place::Engine(key) => {
                let entry = &self.servers.get(key)?.entry;
                table.engine(&entry.pool).map(|_| entry.address)
            }
            Place::Store => table.kv_store().map(|store| store.address),
        }
    }

    pub(in crate::fleet) fn held(&self, place: Place) -> Option<&Held> {
        match place {
            Place::Engine(key) => self.servers.get(key).map(|server| &server.held),
            Place::Store => Some(&self.kept.held),
        }
    }

    fn held_mut(&mut self, place: Place) -> Option<&mut Held> {
        match place {
            Place::Engine(key) => self.servers.get_mut(key).map(|server| &mut server.held),
            Place::Store => Some(&mut self.kept.held),
        }
    }
}
