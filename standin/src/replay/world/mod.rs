//! The replay itself: events in virtual time between callers, daemons and engines.

mod baselines;
mod callers;
mod daemons;
mod engines;
mod faults;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use cardamomvalve::attempt::{self, Arrival, Command, Dispatch, Outcome, Report, Target};
use cardamomvalve::control::{
    Effect, Identity, Message, Node, Policy as NodePolicy, Read, Record, Stream,
};
use cardamomvalve::manifest::{self, Objective};
use cardamomvalve::membership::{self, Role, Standing, Vm};
use cardamomvalve::prefix::{BLOCK_TOKENS, Key, Prefix};
use serde_json::json;

use self::daemons::new_node;
use super::engine::{Computed, Engine, IMPORT_US, Job, TOKEN_US};
use super::faults::Fault;
use super::figures::Figures;
use super::generate::Kind;
use super::policy::{Memory, Policy, place};
use super::trace::Request;

/// Daemons of each deployment.
const DAEMONS: usize = 7;
/// Engines of each deployment.
const ENGINES: usize = 20;
/// One way between a caller and a daemon.
const CALLER: Duration = Duration::from_millis(1);
/// One way between a daemon and anything in another zone, or in its own.
const APART: Duration = Duration::from_micros(500);
/// Between two ticks of a node.
const TICK: Duration = Duration::from_millis(20);
/// How much older than its arrival a report is, at most.
const REPORT_LAG_MS: u64 = 200;
/// Of a hundred reports, those that lose events under [`Fault::EventGaps`].
const GAPS: u32 = 20;
/// Time after which a crashed engine is back.
const CRASH: Duration = Duration::from_secs(5);
/// Between two reads of the log and the VM list.
const PLATFORM: Duration = Duration::from_secs(1);
/// Time after the trace's end for which the replay goes on.
const TAIL: Duration = Duration::from_secs(150);
/// Requests that one engine is given at a time.
const MAX_IN_FLIGHT: u32 = 32;

/// What is replayed.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// The deployment.
    pub kind: Kind,
    /// What goes wrong.
    pub fault: Fault,
    /// Who places requests.
    pub policy: Policy,
    /// Seeds everything that is random besides the trace.
    pub seed: u64,
}

/// What happens at some time.
#[derive(Debug, Clone)]
enum Event {
    Arrive(usize),
    Tick(usize),
    Deliver(usize, u64, Box<Message>),
    Poll(usize, u64, membership::Key, usize, u64),
    Push(usize, Box<Job>),
    ChunkEnds(usize, u64),
    Finish(usize, u64, Box<Job>),
    Broken(Box<Job>),
    Platform,
    Reports,
    Crash(Vec<usize>),
    Revive(usize),
    Herd,
    ZoneGone,
    ZoneBack,
}

/// One request's state as its caller sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Seen {
    begun: bool,
    ended: bool,
}

struct World {
    setup: Setup,
    trace: Vec<Request>,
    prefixes: Vec<Prefix>,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    due: BTreeMap<u64, Event>,
    scheduled: u64,
    rng: fastrand::Rng,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    incarnations: Vec<u64>,
    daemon_up: Vec<bool>,
    memories: Vec<Memory>,
    /// Where each request was sent by the daemon that has it: the engine of its open attempt.
    open: BTreeMap<usize, (usize, u32)>,
    seen: Vec<Seen>,
    holders: BTreeMap<Key, BTreeSet<usize>>,
    event_seqs: Vec<u64>,
    engine_zone_down: BTreeSet<usize>,
    figures: Figures,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number as u16))
}

/// Replays `trace`; the same setup and trace give the same figures.
pub fn replay(setup: Setup, trace: Vec<Request>) -> Figures {
    let mut world = World::new(setup, trace);
    world.schedule_all();
    world.run();
    world.finish()
}

impl World {
    fn new(setup: Setup, trace: Vec<Request>) -> Self {
        let zones = setup.kind.zones();
        let engines: Vec<Engine> = (0..ENGINES).map(|index| Engine::new(index % zones)).collect();
        let mut figures = Figures::new(ENGINES);
        for request in &trace {
            *figures.asked.entry(request.priority).or_default() += 1;
            *figures.wanted.entry(request.workspace.clone()).or_default() += demand(request);
        }
        Self {
            prefixes: trace.iter().map(Request::prefix).collect(),
            seen: vec![Seen::default(); trace.len()],
            trace,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            due: BTreeMap::new(),
            scheduled: 0,
            rng: fastrand::Rng::with_seed(setup.seed),
            engines,
            nodes: (0..DAEMONS).map(|index| new_node(index, 0, zones)).collect(),
            incarnations: vec![0; DAEMONS],
            daemon_up: vec![true; DAEMONS],
            memories: vec![Memory::new(ENGINES); DAEMONS],
            open: BTreeMap::new(),
            holders: BTreeMap::new(),
            event_seqs: vec![0; ENGINES],
            engine_zone_down: BTreeSet::new(),
            figures,
            setup,
        }
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((time, self.scheduled)));
        self.due.insert(self.scheduled, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn length(&self) -> Duration {
        Duration::from_millis(self.trace.last().map_or(0, |request| request.at_ms))
    }

    fn schedule_all(&mut self) {
        let start = Duration::from_secs(2);
        let arrivals: Vec<u64> = self.trace.iter().map(|request| request.at_ms).collect();
        for (index, at_ms) in arrivals.into_iter().enumerate() {
            self.at(start + Duration::from_millis(at_ms), Event::Arrive(index));
        }
        self.at(Duration::ZERO, Event::Platform);
        self.at(Duration::ZERO, Event::Reports);
        for index in 0..DAEMONS {
            // Ticks of different daemons do not fall together.
            self.at(Duration::from_millis(index as u64 * 3), Event::Tick(index));
        }
        let length = self.length();
        match self.setup.fault {
            Fault::EngineCrash => {
                let crashed: Vec<usize> = (0..ENGINES).filter(|index| index % 5 == 0).collect();
                self.at(start + length / 4, Event::Crash(crashed));
            }
            Fault::HerdRestart => self.at(start + length / 2, Event::Herd),
            Fault::ZoneLost => {
                self.at(start + length * 2 / 5, Event::ZoneGone);
                self.at(start + length * 3 / 5, Event::ZoneBack);
            }
            Fault::None | Fault::EventGaps | Fault::PlatformOutage | Fault::DigestsCut => {}
        }
    }

    /// Whether the middle of the trace is under way, in which outages fall.
    fn in_outage(&self) -> bool {
        let length = self.length();
        (length * 3 / 10..length * 7 / 10).contains(&self.now)
    }

    fn run(&mut self) {
        let end = self.length() + TAIL;
        while let Some(Reverse((time, number))) = self.events.pop() {
            if time > end {
                return;
            }
            self.now = time;
            if let Some(event) = self.due.remove(&number) {
                self.happen(event);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Tick(index) => {
                self.after(TICK, Event::Tick(index));
                if self.daemon_up[index] && self.setup.policy == Policy::Cardamomvalve {
                    self.tell(index, Message::Tick);
                }
            }
            Event::Deliver(index, incarnation, message) => {
                if self.daemon_up[index] && self.incarnations[index] == incarnation {
                    self.tell(index, *message);
                }
            }
            Event::Poll(index, incarnation, key, engine, from) => {
                self.poll(index, incarnation, key, engine, from);
            }
            Event::Push(engine, job) => self.push(engine, *job),
            Event::ChunkEnds(engine, incarnation) => self.chunk_ends(engine, incarnation),
            Event::Finish(engine, incarnation, job) => self.finished(engine, incarnation, *job),
            Event::Broken(job) => self.broken(*job),
            Event::Platform => self.platform(),
            Event::Reports => self.reports(),
            Event::Crash(engines) => {
                for engine in engines {
                    self.crash(engine);
                    self.after(CRASH, Event::Revive(engine));
                }
            }
            Event::Revive(engine) => self.engines[engine].up = true,
            Event::Herd => self.restart_daemons(0..DAEMONS),
            Event::ZoneGone => self.zone_gone(),
            Event::ZoneBack => self.zone_back(),
        }
    }

    fn finish(mut self) -> Figures {
        for (seen, request) in self.seen.iter().zip(&self.trace) {
            if !seen.ended {
                self.figures.unanswered += 1;
            }
            if !seen.ended && !seen.begun {
                *self.figures.missed.entry(request.priority).or_default() += 1;
            }
        }
        self.figures.length_s = self.length().as_secs_f64();
        self.figures
    }
}

/// Tokens that a request asks for.
fn demand(request: &Request) -> u64 {
    u64::from(request.tokens() + request.answer_tokens)
}
