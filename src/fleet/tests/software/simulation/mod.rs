//! Callers with streams while servers are released, and daemons, servers and connections fail.

mod faults;
mod servers;

use servers::engine;

use super::MAX_AGE;
use crate::fleet::tests::site::Site;
use crate::fleet::tests::world::*;
use crate::fleet::*;
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::route::{Cohort, Repeat, Route};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(20);
/// Time from the dispatch of a request to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(60);
/// Time that a caller waits for a whole stream, over all its attempts.
const PATIENCE: Duration = Duration::from_secs(10);
/// Attempts of a caller for one stream.
const ATTEMPTS: u32 = 3;
/// Time from the announcement that a server stops to its end.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which a daemon that fails is down.
const RESTART: Duration = Duration::from_secs(1);
/// Time without faults after which a daemon is in touch.
const STABLE: Duration = Duration::from_secs(3);

/// A fault of the days played.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Two in five daemons are killed and start again.
    Kill,
    /// All daemons are killed at once and start again.
    KillAll,
    /// Two in five daemons stop by plan, one after the other.
    Stop,
    /// Two daemons stand still for some seconds.
    Freeze,
    /// Three daemons are partitioned from the others and from the store.
    Partition,
    /// Some daemons, up to all but one, are partitioned from the others and from the store for a moment.
    BriefPartition,
    /// Some daemons stand still for less than a second.
    Pause,
    /// Half of the callers' connections are reset.
    Reset,
    /// A quarter of the servers end without notice; others of the same versions start.
    Crash,
}

impl Fault {
    pub const ALL: [Self; 7] = [
        Self::Kill,
        Self::KillAll,
        Self::Stop,
        Self::Freeze,
        Self::Partition,
        Self::Reset,
        Self::Crash,
    ];

    /// The faults by which daemons are out of step for a while, without a restart of theirs.
    pub const OUT_OF_STEP: [Self; 6] = [
        Self::Freeze,
        Self::Partition,
        Self::BriefPartition,
        Self::Pause,
        Self::Reset,
        Self::Crash,
    ];
}

/// A stream of a caller.
#[derive(Debug, Clone)]
struct Stream {
    /// The id of the attempt that brought its first event.
    first: Option<String>,
    /// Software versions of the servers whose events it holds.
    versions: BTreeSet<String>,
    /// Whether it began at a daemon that was partitioned from the others and from the store, so that no other can know
    /// its version.
    began_partitioned: bool,
    deadline: Time,
    attempts: u32,
    is_open: bool,
}

/// An attempt at a server.
#[derive(Debug, Clone)]
struct Run {
    server: String,
    number: u32,
    begins_at: Time,
    ends_at: Time,
    has_begun: bool,
}

/// A caller's request at a daemon.
#[derive(Debug, Clone)]
struct Call {
    stream: usize,
    id: String,
    /// Whether it counts: it came to a daemon in touch while two versions served, and a server of its stream's version.
    counts: bool,
    is_takeup: bool,
    run: Option<Run>,
}

/// A registered server.
#[derive(Debug, Clone)]
struct Engine {
    version: String,
    stops_at: Option<Time>,
}

/// Counts of a day.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Streams with events of two versions.
    pub mixed: usize,
    pub takeups: usize,
    /// Takeups that went on.
    pub takeups_begun: usize,
    pub new: usize,
    pub new_begun: usize,
}

/// Daemons, servers and callers of one day.
pub struct Day {
    site: Site,
    rng: fastrand::Rng,
    log: Vec<Record>,
    /// The offset up to which each daemon has read.
    read: Vec<u64>,
    engines: BTreeMap<String, Engine>,
    next_engine: u8,
    release: u32,
    streams: Vec<Stream>,
    calls: BTreeMap<(usize, Key), Call>,
    /// Streams that their callers take up, by time.
    returns: Vec<(Time, usize)>,
    next_call: u64,
    /// When daemons that are down start again, or, if frozen, go on.
    back_at: BTreeMap<usize, (Time, bool)>,
    partitioned: BTreeSet<usize>,
    heals_at: Time,
    /// When each daemon was last affected by a fault.
    disturbed_at: Vec<Time>,
    pub outcome: Outcome,
    /// Takeups that counted and were refused, by code.
    pub refusals: BTreeMap<Code, usize>,
}

impl Day {
    pub fn new(seed: u64, daemons: u8) -> Self {
        let engines: Vec<(String, String)> = (0..9).map(|n| engine(n, "v0", "ready")).collect();
        let log = engines.iter().enumerate().map(|(offset, (id, value))| Record {
            key: id.clone(),
            offset: offset as u64,
            value: Some(value.clone().into_bytes()),
        });
        let registered = engines
            .iter()
            .map(|(id, _)| (id.clone(), Engine { version: "v0".into(), stops_at: None }));
        Self {
            site: Site::new(daemons, &borrowed(&engines)),
            rng: fastrand::Rng::with_seed(seed),
            log: log.collect(),
            read: vec![engines.len() as u64; usize::from(daemons)],
            engines: registered.collect(),
            next_engine: 9,
            release: 0,
            streams: Vec::new(),
            calls: BTreeMap::new(),
            returns: Vec::new(),
            next_call: 1_000_000,
            back_at: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            heals_at: Time::ZERO,
            disturbed_at: vec![Time::ZERO; usize::from(daemons)],
            outcome: Outcome::default(),
            refusals: BTreeMap::new(),
        }
    }

    /// Plays releases, one server each 400 ms with pauses, and a fault each 2 s, for `span`.
    pub fn play(&mut self, span: Duration, faults: &[Fault]) {
        let start = self.site.now;
        let (mut next_fault, mut next_server) = (start + ms(3_000), start + ms(2_000));
        while self.site.now < start + span {
            if self.site.now >= next_fault {
                next_fault = self.site.now + ms(self.rng.u64(1_500..3_000));
                let fault = faults[self.rng.usize(..faults.len())];
                self.strike(fault);
            }
            if self.site.now >= next_server {
                let replaced = self.replace_server();
                let pause = if replaced { 400 } else { self.rng.u64(1_000..5_000) };
                next_server = self.site.now + ms(pause);
            }
            self.step();
        }
    }

    /// Lets all daemons prove that one version serves alone, and then plays how the next one joins: a fault a moment
    /// before or after, and streams that break soon.
    pub fn play_first_release(&mut self, faults: &[Fault]) {
        let watched = self.site.now + MAX_AGE;
        while self.site.now < watched {
            self.read_store();
            self.site.advance(STEP);
        }
        self.release = 1;
        let start = self.site.now;
        let mut next_fault = start + ms(self.rng.u64(..1_500));
        let joins_at = start + ms(self.rng.u64(..1_500));
        let mut next_server = joins_at;
        let mut next_reset = joins_at + ms(self.rng.u64(100..600));
        while self.site.now < start + ms(8_000) {
            if self.site.now >= next_fault {
                next_fault = self.site.now + ms(self.rng.u64(1_500..3_000));
                let fault = faults[self.rng.usize(..faults.len())];
                self.strike(fault);
            }
            if self.site.now >= next_server {
                next_server = self.site.now + ms(self.rng.u64(1_000..4_000));
                for _ in 0..self.rng.usize(1..5) {
                    self.replace_server();
                }
            }
            if self.site.now >= next_reset {
                next_reset = self.site.now + ms(self.rng.u64(200..800));
                self.strike(Fault::Reset);
            }
            self.step();
        }
    }

    fn step(&mut self) {
        self.return_daemons();
        self.stop_servers();
        self.read_store();
        self.send_new();
        self.send_returns();
        self.site.advance(STEP);
        self.carry_out();
        self.run_attempts();
    }

    fn is_up(&self, daemon: usize) -> bool {
        !self.site.down.contains(&daemon)
    }

    fn send_new(&mut self) {
        for daemon in 0..self.site.daemons.len() {
            if self.is_up(daemon) && self.rng.f64() < 0.06 {
                self.streams.push(Stream {
                    first: None,
                    versions: BTreeSet::new(),
                    began_partitioned: false,
                    deadline: self.site.now + PATIENCE,
                    attempts: 0,
                    is_open: true,
                });
                self.send(daemon, self.streams.len() - 1);
            }
        }
    }

    fn send_returns(&mut self) {
        let now = self.site.now;
        let (due, later) = self.returns.iter().copied().partition(|(at, _)| *at <= now);
        self.returns = later;
        let due: Vec<(Time, usize)> = due;
        for (_, stream) in due {
            let up = (0..self.site.daemons.len()).filter(|daemon| self.is_up(*daemon));
            let up: Vec<usize> = up.collect();
            match up.is_empty() {
                true => self.returns.push((now + ms(500), stream)),
                false => {
                    let daemon = up[self.rng.usize(..up.len())];
                    self.send(daemon, stream);
                }
            }
        }
    }

    fn send(&mut self, daemon: usize, index: usize) {
        self.next_call += 1;
        let (key, id) = (Key(self.next_call), format!("call-{}", self.next_call));
        let now = self.site.now;
        let is_in_touch = now >= self.disturbed_at[daemon] + STABLE;
        let stream = &self.streams[index];
        let goes_on =
            !stream.began_partitioned && stream.versions.iter().all(|version| self.serves(version));
        let counts = is_in_touch && goes_on && self.versions().len() > 1;
        let stream = &mut self.streams[index];
        stream.attempts += 1;
        let start = match &stream.first {
            Some(first) => Start::Resumed(Some(first.clone())),
            None => Start::New,
        };
        let is_takeup = start != Start::New;
        if counts {
            self.outcome.new += usize::from(!is_takeup);
            self.outcome.takeups += usize::from(is_takeup);
        }
        let route =
            Route { target_latency: ms(800), ..(*route("engines", Repeat::Resumable, 3)).clone() };
        let arrival = Arrival {
            request: key,
            id: id.clone(),
            route: Arc::new(route),
            workspace: None,
            cohort: Cohort::default(),
            deadline: self.site.clock(daemon) + stream.deadline.saturating_sub(now),
            prompt: Some(prompt(7, self.rng.u64(1..40))),
            fingerprint: Fingerprint(index as u64),
            is_handed_over: false,
            start,
        };
        let call = Call { stream: index, id, counts, is_takeup, run: None };
        self.calls.insert((daemon, key), call);
        self.site.apply(daemon, Message::Arrive(Box::new(arrival)));
        self.carry_out();
    }

    /// Carries out the daemons' commands.
    fn carry_out(&mut self) {
        for (daemon, key, command) in self.site.take_commands() {
            if !self.is_up(daemon) || !self.calls.contains_key(&(daemon, key)) {
                continue;
            }
            match command {
                Command::Dispatch(dispatch) => self.dispatch(daemon, key, dispatch),
                Command::Refuse(code, _) => {
                    let call = &self.calls[&(daemon, key)];
                    if call.counts && call.is_takeup {
                        *self.refusals.entry(code).or_default() += 1;
                    }
                    self.break_call(daemon, key);
                }
                Command::GiveUp => self.break_call(daemon, key),
                Command::HandOver(_) => panic!("all daemons reach the servers"),
            }
        }
    }

    fn dispatch(&mut self, daemon: usize, key: Key, dispatch: Dispatch) {
        if !self.engines.contains_key(&dispatch.server) {
            self.site.report(daemon, key, dispatch.attempt, Report::Unsent);
            return;
        }
        let begins_at = self.site.now + FIRST_EVENT;
        let ends_at = begins_at + ms(self.rng.u64(100..2_500));
        let Some(call) = self.calls.get_mut(&(daemon, key)) else { return };
        // An attempt that brings events is not replaced.
        if call.run.as_ref().is_some_and(|run| run.has_begun) {
            return;
        }
        let Dispatch { server, attempt: number, .. } = dispatch;
        call.run = Some(Run { server, number, begins_at, ends_at, has_begun: false });
    }

    fn run_attempts(&mut self) {
        let now = self.site.now;
        let calls: Vec<(usize, Key)> = self.calls.keys().copied().collect();
        for (daemon, key) in calls {
            let Some(call) = self.calls.get_mut(&(daemon, key)) else { continue };
            let Some(run) = call.run.as_mut() else { continue };
            if !run.has_begun && now >= run.begins_at {
                run.has_begun = true;
                let (number, stream) = (run.number, &mut self.streams[call.stream]);
                if stream.first.is_none() {
                    stream.first = Some(call.id.clone());
                    stream.began_partitioned = self.partitioned.contains(&daemon);
                }
                if let Some(engine) = self.engines.get(&run.server) {
                    stream.versions.insert(engine.version.clone());
                }
                if std::mem::take(&mut call.counts) {
                    self.outcome.takeups_begun += usize::from(call.is_takeup);
                    self.outcome.new_begun += usize::from(!call.is_takeup);
                }
                self.site.report(daemon, key, number, Report::Begun(Some(1)));
            } else if run.has_begun && now >= run.ends_at {
                let number = run.number;
                self.site.report(daemon, key, number, Report::Ended);
                self.end_call(daemon, key);
            }
        }
        self.carry_out();
    }

    /// A stream is complete.
    fn end_call(&mut self, daemon: usize, key: Key) {
        if let Some(call) = self.calls.remove(&(daemon, key)) {
            let stream = &mut self.streams[call.stream];
            stream.is_open = false;
            self.outcome.mixed += usize::from(stream.versions.len() > 1);
        }
    }

    /// A caller gets no whole answer; it comes back soon if it still waits.
    fn break_call(&mut self, daemon: usize, key: Key) {
        let Some(call) = self.calls.remove(&(daemon, key)) else { return };
        let now = self.site.now;
        let stream = &mut self.streams[call.stream];
        if stream.attempts < ATTEMPTS && now + ms(500) < stream.deadline {
            self.returns.push((now + ms(self.rng.u64(2..300)), call.stream));
        } else {
            stream.is_open = false;
            self.outcome.mixed += usize::from(stream.versions.len() > 1);
        }
    }
}
