//! Many daemons before many servers, which all follow one store. Counts calls to the store.

use std::net::SocketAddr;

use super::store::{Access, Store, Watch};
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;

/// Time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// Time between two ticks of a daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of addresses that each daemon is configured with.
const SEED_COUNT: usize = 3;

/// One daemon, unless it is down.
struct Member {
    daemon: Option<Daemon>,
    watches: Vec<Watch>,
    started_at: Time,
    access: Access,
    /// Version of the table in force.
    table: u64,
}

/// Daemons that read one store and exchange frames.
pub struct Crowd {
    pub now: Time,
    pub store: Store,
    members: Vec<Member>,
    in_transit: BTreeMap<(Time, u64), (usize, Vec<u8>)>,
    sequence: u64,
    /// Number of frames that request records.
    pub fetches: usize,
    rng: fastrand::Rng,
}

pub fn daemon_address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16 + 1).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 80))
}

fn daemon_id(index: usize) -> String {
    format!("router-{}", index + 1)
}

impl Crowd {
    /// Returns daemons that start together while the store holds a table and `servers` registrations.
    pub fn new(daemons: usize, servers: usize) -> Self {
        let mut store = Store::default();
        store.append(ms(0), Topic::Operator, "config", "table 1");
        for server in 0..servers {
            let value = format!("engine {} ready 1", server % 200);
            store.append(ms(0), Topic::Servers, &format!("e-{server}"), &value);
        }
        let mut crowd = Self {
            now: ms(0),
            store,
            members: Vec::new(),
            in_transit: BTreeMap::new(),
            sequence: 0,
            fetches: 0,
            rng: fastrand::Rng::with_seed(7),
        };
        for index in 0..daemons {
            let member = Member {
                daemon: None,
                watches: Vec::new(),
                started_at: ms(0),
                access: Access::Open,
                table: 0,
            };
            crowd.members.push(member);
            crowd.start(index);
        }
        crowd
    }

    /// Starts a daemon, which registers itself.
    pub fn start(&mut self, index: usize) {
        let seeds: Vec<SocketAddr> = (0..SEED_COUNT).map(daemon_address).collect();
        let identity = Identity {
            id: daemon_id(index),
            incarnation: self.rng.u64(..),
            zone: format!("zone-{}", index % 5),
            address: daemon_address(index),
            handover_address: daemon_address(index),
            cores: 1.0,
        };
        let node = Node::new(identity, POLICY, decode, &seeds);
        let member = &mut self.members[index];
        member.daemon = Some(Daemon::with_node(node));
        member.watches = Dependency::ALL.into_iter().map(Watch::new).collect();
        (member.started_at, member.table) = (self.now, 0);
        if member.access == Access::Open {
            let value = format!("router {}", daemon_address(index));
            self.store.append(self.now, Topic::Routers, &daemon_id(index), &value);
        }
    }

    /// Number of daemons, running or not.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn kill(&mut self, index: usize) {
        self.members[index].daemon = None;
    }

    /// Sets how the store responds to a daemon.
    pub fn set_access(&mut self, index: usize, access: Access) {
        self.members[index].access = access;
    }

    pub fn node(&self, index: usize) -> Option<&Node> {
        Some(&self.members[index].daemon.as_ref()?.node)
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver_due();
            for index in 0..self.members.len() {
                self.run_member(index);
            }
        }
    }

    /// Advances until `condition` holds for every running daemon; returns the time that took.
    pub fn advance_until(
        &mut self,
        max: Duration,
        condition: impl Fn(&Self, usize) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now < start + max {
            let is_met =
                |index: &usize| self.members[*index].daemon.is_none() || condition(self, *index);
            if (0..self.members.len()).all(|index| is_met(&index)) {
                return Some(self.now - start);
            }
            self.advance(STEP);
        }
        None
    }

    /// Version of the table that a daemon has in force.
    pub fn table(&self, index: usize) -> u64 {
        self.members[index].table
    }

    /// Whether a daemon sends no more requests to a server, or does not know it.
    pub fn avoids(&self, index: usize, server: &str) -> bool {
        let servers = self.node(index).map(|node| &node.servers);
        let known = servers.into_iter().flat_map(|servers| servers.values());
        known.filter(|known| known.entry.incarnation.id == server).all(|known| known.entry.draining)
    }

    /// Number of calls to the store so far.
    pub fn calls(&self) -> usize {
        Dependency::ALL.into_iter().map(|tracked| self.store.calls(tracked)).sum()
    }

    fn deliver_due(&mut self) {
        while let Some(first) =
            self.in_transit.first_entry().filter(|first| first.key().0 <= self.now)
        {
            let (to, bytes) = first.remove();
            let frame = Frame::decode(&bytes).expect("an encoded frame can be decoded");
            self.apply(to, Message::Frame(frame));
        }
    }

    fn run_member(&mut self, index: usize) {
        // Daemons do not tick at the same moment.
        let phase = ms(index as u64 * 7 % 100);
        let age = self.now - self.members[index].started_at;
        if (age + phase).as_millis() % TICK_INTERVAL.as_millis() < STEP.as_millis() || age <= STEP {
            self.apply(index, Message::Tick);
        }
        for watch in 0..self.members[index].watches.len() {
            let member = &mut self.members[index];
            let Some(daemon) = &member.daemon else { return };
            let (now, rng) = (self.now, &mut self.rng);
            let message =
                member.watches[watch].step(now, &daemon.node, &self.store, member.access, rng);
            if let Some(message) = message {
                self.apply(index, message);
            }
        }
    }

    fn apply(&mut self, index: usize, message: Message) {
        let now = self.now;
        // A small crowd has fewer daemons than addresses of seeds.
        let Some(member) = self.members.get_mut(index) else { return };
        let Some(daemon) = &mut member.daemon else { return };
        for effect in daemon.node.apply(now, message) {
            match effect {
                Effect::Send(to, frame) => self.send(&to, &frame),
                Effect::Table(table) => self.members[index].table = table.version(),
                _ => {}
            }
        }
    }

    fn send(&mut self, to: &[SocketAddr], frame: &Frame) {
        let bytes = frame.encode();
        self.fetches += usize::from(matches!(frame, Frame::Fetch(..)));
        for address in to {
            let SocketAddr::V4(address) = address else { continue };
            let [_, _, high, low] = address.ip().octets();
            let to = usize::from(u16::from_be_bytes([high, low])) - 1;
            self.sequence += 1;
            let at = self.now + ms(self.rng.u64(1..4));
            self.in_transit.insert((at, self.sequence), (to, bytes.clone()));
        }
    }
}
