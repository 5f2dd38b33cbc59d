//! Workspaces that ask for more than their quota, before daemons that come and go, and the ones beside them.
//!
//! A workspace had 1,949,366 tokens run in eight seconds where 1,928,475 were allowed, on a day without any crowd:
//! nobody counted. What is held here against what servers were sent, by a log that shares nothing with what counts:
//! no window has more than the quota allows, whoever is cut off, ends or starts; and who stays within its quota is
//! refused next to nothing.

use super::site::Site;
use super::world::*;
use crate::fleet::*;
use crate::prelude::*;
use crate::quota::{Quota, Unit};
use crate::route::{Repeat, Workspace};

/// Time between two looks at the world.
const STEP: Duration = Duration::from_millis(20);
/// The window in which runs are counted.
const WINDOW: Duration = Duration::from_secs(8);
/// Tokens of each request.
const TOKENS: u64 = 9_013;
/// Engines of the pool.
const ENGINES: u8 = 24;
/// What the workspaces may have: some eleven such requests a second.
const QUOTA: Quota =
    Quota { rate: 100_000, burst: 100_000, unit: Unit::Tokens { default_tokens: 200 } };
/// Tokens that may run in a window: a tenth more than the quota, and 110,000.
const MOST: u64 = (8 + 1) * 110_000 + 110_000;

/// What befalls the daemons, some seconds after traffic begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The keeper ends and starts again.
    KeeperEnds,
    /// All end within a second.
    AllEnd,
    /// Half of them are cut from the others.
    Halves,
    /// The others no longer hear the keeper.
    KeeperUnheard,
    /// The keeper hears nobody.
    KeeperDeaf,
    /// Some are each cut from all others.
    Singles,
    /// The keeper stands still and goes on.
    KeeperFreezes,
}

const FAULTS: [Fault; 7] = [
    Fault::KeeperEnds,
    Fault::AllEnd,
    Fault::Halves,
    Fault::KeeperUnheard,
    Fault::KeeperDeaf,
    Fault::Singles,
    Fault::KeeperFreezes,
];

/// One workspace, and how often it asks for what it may have.
#[derive(Debug)]
struct Demand {
    name: &'static str,
    times: f64,
    asked: u64,
    refused: u64,
    /// When each run began.
    runs: Vec<Time>,
}

impl Demand {
    fn new(name: &'static str, times: f64) -> Self {
        Self { name, times, asked: 0, refused: 0, runs: Vec::new() }
    }

    /// Tokens of the window that has most.
    fn worst(&self) -> u64 {
        let within = |first: &Time| {
            self.runs.iter().filter(|run| (*first..*first + WINDOW).contains(run)).count() as u64
        };
        self.runs.iter().map(within).max().unwrap_or_default() * TOKENS
    }
}

struct Play {
    site: Site,
    rng: fastrand::Rng,
    servers: Vec<(String, String)>,
    demands: Vec<Demand>,
    /// Requests under way: of whom, and when they end.
    flights: BTreeMap<(usize, Key), (usize, u32, Time)>,
    subject: u64,
    /// Daemons to start again, and when.
    starts: Vec<(Time, usize)>,
    /// When what stands still or is cut goes on.
    heals: Time,
}

impl Play {
    fn new(daemons: u8, seed: u64, demands: Vec<Demand>) -> Self {
        let server = |n| (format!("e-{n}"), format!("engine {} ready 1", 101 + n));
        let servers: Vec<(String, String)> = (0..ENGINES).map(server).collect();
        let records = borrowed(&servers);
        let mut site = Site::new(daemons, &records);
        site.pass(ms(9_000));
        Self {
            site,
            rng: fastrand::Rng::with_seed(seed),
            servers,
            demands,
            flights: BTreeMap::new(),
            subject: 0,
            starts: Vec::new(),
            heals: Time::MAX,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.site.now + span;
        while self.site.now < end {
            self.site.pass(STEP);
            self.start_daemons();
            if self.site.now >= self.heals {
                self.heals = Time::MAX;
                self.site.cut.clear();
                self.site.down.clear();
            }
            for index in 0..self.demands.len() {
                let a_second = self.demands[index].times * QUOTA.rate as f64 / TOKENS as f64;
                let mut due = a_second * STEP.as_secs_f64();
                while self.rng.f64() < due {
                    due -= 1.0;
                    self.ask(index);
                }
            }
            self.obey();
            self.end_runs();
        }
    }

    fn start_daemons(&mut self) {
        let now = self.site.now;
        let due: Vec<usize> =
            self.starts.iter().filter(|(at, _)| now >= *at).map(|(_, index)| *index).collect();
        self.starts.retain(|(at, _)| now < *at);
        let servers = borrowed(&self.servers);
        for index in due {
            self.site.down.remove(&index);
            self.site.start_again(index, &servers);
        }
    }

    fn end_daemon(&mut self, index: usize, back_after: Duration) {
        self.site.down.insert(index);
        self.starts.push((self.site.now + back_after, index));
        self.flights.retain(|(daemon, _), _| *daemon != index);
    }

    fn strike(&mut self, fault: Fault) {
        let daemons = self.site.daemons.len();
        let keeper = self.site.scheduler("engines");
        let lasts = ms(self.rng.u64(1_500..7_000));
        let others = (0..daemons).filter(|other| *other != keeper);
        match fault {
            Fault::KeeperEnds => self.end_daemon(keeper, ms(1_000)),
            Fault::AllEnd => {
                for index in 0..daemons {
                    let back_after = ms(self.rng.u64(700..1_500));
                    self.end_daemon(index, back_after);
                }
            }
            Fault::Halves => {
                let apart = |(a, b): &(usize, usize)| (a < &(daemons / 2)) != (b < &(daemons / 2));
                let pairs = (0..daemons).flat_map(|a| (0..daemons).map(move |b| (a, b)));
                self.site.cut = pairs.filter(apart).collect();
            }
            Fault::KeeperUnheard => self.site.cut = others.map(|other| (keeper, other)).collect(),
            Fault::KeeperDeaf => self.site.cut = others.map(|other| (other, keeper)).collect(),
            Fault::Singles => {
                let singles = (0..daemons).filter(|_| self.rng.u32(0..3) == 0);
                let singles: Vec<usize> = singles.collect();
                let pairs = singles.iter().flat_map(|single| {
                    (0..daemons).flat_map(move |other| [(*single, other), (other, *single)])
                });
                self.site.cut = pairs.collect();
            }
            Fault::KeeperFreezes => _ = self.site.down.insert(keeper),
        }
        if matches!(fault, Fault::KeeperEnds | Fault::AllEnd) {
            return;
        }
        self.heals = self.site.now + lasts;
    }

    fn ask(&mut self, index: usize) {
        let daemon = self.rng.usize(0..self.site.daemons.len());
        if !self.site.down.contains(&daemon) {
            self.ask_at(daemon, index);
        }
    }

    fn ask_at(&mut self, daemon: usize, index: usize) {
        self.subject += 1;
        self.site.subject = self.subject % 40;
        let demand = &mut self.demands[index];
        demand.asked += 1;
        let name = demand.name.to_owned();
        let workspace = Workspace { name, priority: None, isolated: false, quota: Some(QUOTA) };
        let key = self.site.arrive_for(daemon, "engines", Repeat::Resumable, Some(workspace));
        self.flights.insert((daemon, key), (index, 0, Time::MAX));
    }

    fn obey(&mut self) {
        loop {
            let told = self.site.take_told();
            if told.is_empty() {
                return;
            }
            for (daemon, key, command) in told {
                self.obey_one(daemon, key, command);
            }
        }
    }

    fn obey_one(&mut self, daemon: usize, key: Key, command: Command) {
        let now = self.site.now;
        let Some(flight) = self.flights.get_mut(&(daemon, key)) else { return };
        let index = flight.0;
        match command {
            Command::Dispatch(dispatch) => {
                *flight = (index, dispatch.attempt, now + ms(self.rng.u64(100..400)));
                self.demands[index].runs.push(now);
                self.site.report(daemon, key, dispatch.attempt, Report::Begun(Some(1)));
            }
            Command::Refuse(..) | Command::GiveUp => {
                self.demands[index].refused += 1;
                self.flights.remove(&(daemon, key));
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.site.now;
        let due = self.flights.iter().filter(|(_, (.., ends))| now >= *ends);
        let due: Vec<((usize, Key), u32)> =
            due.map(|(flight, (_, attempt, _))| (*flight, *attempt)).collect();
        for ((daemon, key), attempt) in due {
            self.flights.remove(&(daemon, key));
            self.site.report(daemon, key, attempt, Report::Ended);
        }
    }
}

#[test]
fn workspace_that_asks_for_five_times_its_quota_gets_it_and_no_more() {
    for daemons in [3, 9] {
        let mut play = Play::new(daemons, 1, vec![Demand::new("hot", 5.0)]);
        play.run(ms(20_000));
        let hot = &play.demands[0];
        assert!(hot.worst() <= MOST, "{daemons} daemons: {} tokens in a window", hot.worst());
        let ran = hot.runs.len() as u64 * TOKENS;
        assert!(ran >= 20 * QUOTA.rate, "{daemons} daemons: it was let in {ran} tokens in 20 s");
    }
}

#[test]
fn workspace_within_its_quota_is_refused_nothing_beside_a_hot_one() {
    for daemons in [3, 9, 78] {
        let demands = vec![Demand::new("hot", 5.0), Demand::new("usual", 0.6)];
        let mut play = Play::new(daemons, 2, demands);
        play.run(ms(20_000));
        let usual = &play.demands[1];
        assert!(usual.asked > 100);
        assert!(usual.refused * 200 < usual.asked, "{daemons} daemons: {usual:?}");
    }
}

/// Seeds that are played here; more by hand with `QUOTA_SEEDS`.
fn seeds(few: u64) -> u64 {
    std::env::var("QUOTA_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(few)
}

fn quota_holds(daemons: u8, seeds: u64) {
    let mut over = Vec::new();
    for seed in 0..seeds {
        let times = [0.6, 2.0, 5.0, 12.0][(seed / 7 % 4) as usize];
        let mut play = Play::new(daemons, seed, vec![Demand::new("hot", times)]);
        let fault = FAULTS[(seed % 7) as usize];
        let calm = ms(play.rng.u64(500..5_000));
        play.run(calm);
        play.strike(fault);
        play.run(ms(10_000));
        let hot = &play.demands[0];
        let (worst, refused) = (hot.worst(), hot.refused * 1_000 / hot.asked.max(1));
        println!(
            "{daemons} daemons, seed {seed}, {fault:?}, {times} times: {worst} of {MOST} tokens, {refused} in 1,000 refused"
        );
        if worst > MOST {
            over.push((seed, fault, worst));
        }
    }
    assert!(over.is_empty(), "{daemons} daemons: {over:?}");
}

#[test]
fn quota_holds_for_3_daemons_through_faults() {
    quota_holds(3, seeds(28));
}

#[test]
fn quota_holds_for_9_daemons_through_faults() {
    quota_holds(9, seeds(28));
}

#[test]
fn quota_holds_for_78_daemons_through_faults() {
    quota_holds(78, seeds(0).min(28));
}

#[test]
fn request_waits_a_little_where_no_keeper_is_heard() {
    let mut play = Play::new(9, 3, vec![Demand::new("usual", 0.6)]);
    let alone = play.site.other();
    let others = (0..9).filter(|other| *other != alone);
    play.site.cut = others.flat_map(|other| [(alone, other), (other, alone)]).collect();
    let before = play.site.now;
    play.ask_at(alone, 0);
    play.site.pass(ms(200));
    play.obey();
    assert_eq!((play.demands[0].refused, play.demands[0].runs.len()), (0, 0));
    play.site.cut.clear();
    while play.demands[0].runs.is_empty() && play.site.now < before + ms(420) {
        play.site.pass(STEP);
        play.obey();
    }
    assert_eq!((play.demands[0].refused, play.demands[0].runs.len()), (0, 1));
}
