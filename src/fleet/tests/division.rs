//! Engines divided between long prompts and token streams.

use std::collections::VecDeque;

use super::world::*;
use crate::division::Work;
use crate::fleet::group::work_of;
use crate::fleet::*;
use crate::prelude::*;
use crate::route::{Engine, Kind, Limits, Pool, Repeat, Route, Table};

const ENGINES: usize = 32;
const SLOTS: usize = 16;

/// Returns a daemon with engines of 16 slots, the first ones in its own zone.
fn daemon_with(last: u8, divides: bool, near: usize, far: usize) -> Daemon {
    let engines = (0..near + far).map(|n| {
        let kind = if n < near { "engine" } else { "far-engine" };
        (format!("e-{n}"), format!("{kind} {n} ready 1"))
    });
    let engines: Vec<(String, String)> = engines.collect();
    let mut daemon = Daemon::with_servers(last, &borrowed(&engines));
    let engine = Engine {
        slots: SLOTS as u32,
        kv_capacity_tokens: 100_000,
        kv_token_bytes: 18_432,
        link_bytes_per_s: 35_000_000_000,
    };
    let pool = Pool { kind: Kind::Engine(engine), max_connections: 400 };
    let pools = BTreeMap::from([("engines".into(), pool)]);
    let table = Table::new(1, Vec::new(), pools, Vec::new(), Limits::default());
    daemon.node.table = Some(Arc::new(table.expect("the table is valid")));
    daemon.node.policy.divides_engines = divides;
    daemon
}

fn daemon(last: u8, divides: bool) -> Daemon {
    daemon_with(last, divides, ENGINES, 0)
}

fn adopt(daemon: &mut Daemon, now: Time, share: f64) {
    daemon.node.divisions.entry("engines".into()).or_default().adopt(now, share);
}

/// A long prompt with a short answer.
fn report(subject: u64) -> Prompt {
    prompt(7, subject)
}

/// A short prompt with an answer of many tokens.
fn chat(subject: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".into(),
        input: 826,
        output: 32,
        parts: vec![part(1_000 + subject, 198), part(u64::MAX, 628)],
    }
}

fn prompt_of(work: Work, subject: u64) -> Prompt {
    match work {
        Work::Read => report(subject),
        Work::Stream => chat(subject),
    }
}

fn route_with(target: Duration) -> Arc<Route> {
    let route = Arc::unwrap_or_clone(route("engines", Repeat::AtMostOnce, 1));
    Arc::new(Route { target_latency: target, timeout: Duration::from_secs(10), ..route })
}

/// The server to which a request is sent at once; `None` if it is not.
fn server_for(daemon: &mut Daemon, now: Time, prompt: Prompt) -> Option<String> {
    let (_, effects) = daemon.arrive(now, &route_with(ms(600)), Some(prompt));
    commands(&effects).into_iter().find_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch.server),
        _ => None,
    })
}

/// The engines of each group.
fn engines_of(daemon: &Daemon, now: Time, work: Work) -> BTreeSet<String> {
    let pool = &daemon.node.pools["engines"];
    let probe = daemon.node.requests.values().next().expect("a request is open");
    let cell = pool.cells_of(probe).next().expect("the pool has a cell");
    let groups = daemon.node.groups(now, "engines", cell).expect("the pool is divided");
    let servers = daemon.node.servers.values().filter(|server| groups.work_of(server) == work);
    servers.map(|server| server.entry.incarnation.id.clone()).collect()
}

#[test]
fn work_of_prompts_follows_their_tokens() {
    assert_eq!(work_of(&report(1)), Work::Read);
    assert_eq!(work_of(&chat(1)), Work::Stream);
    // All but the last part are shared, so few engines read them.
    let mut shared = report(1);
    shared.parts.push(Part { id: 9, tokens: 100 });
    assert_eq!(work_of(&shared), Work::Stream);
}

/// A request at a fake engine.
struct Run {
    key: Key,
    attempt: u32,
    work: Work,
    sent_at: Time,
    unread: u32,
    left: u32,
    /// Tokens since the last event.
    unsent: u32,
    /// The time of the last event.
    event_at: Option<Time>,
    is_late: bool,
}

/// A fake engine. In each step it reads a piece of a prompt and makes a token of each answer.
#[derive(Default)]
struct FakeEngine {
    queue: VecDeque<Run>,
    running: Vec<Run>,
    step_ends: Time,
}

impl FakeEngine {
    const PIECE_TOKENS: u32 = 4_096;
    const TOKENS_PER_MS: f64 = 57.0;
    const STEP_MS: f64 = 3.0;
    const STEP_MS_PER_SLOT: f64 = 0.1;
    const TOKENS_PER_EVENT: u32 = 9;

    /// Carries out the steps that end up to `now`; returns reports, and the ended runs.
    fn advance(&mut self, now: Time) -> (Vec<(Key, u32, Report)>, Vec<Run>) {
        let (mut reports, mut ended) = (Vec::new(), Vec::new());
        while self.step_ends <= now {
            while self.running.len() < SLOTS
                && let Some(run) = self.queue.pop_front()
            {
                self.running.push(run);
            }
            if self.running.is_empty() {
                self.step_ends = now + ms(1);
                break;
            }
            let mut piece = Self::PIECE_TOKENS;
            for run in &mut self.running {
                let read = run.unread.min(piece);
                run.unread -= read;
                piece -= read;
            }
            let read_ms = f64::from(Self::PIECE_TOKENS - piece) / Self::TOKENS_PER_MS;
            let running_ms = self.running.len() as f64 * Self::STEP_MS_PER_SLOT;
            let step_ms = Self::STEP_MS + running_ms + read_ms;
            self.step_ends += Duration::from_secs_f64(step_ms / 1_000.0);
            let at = self.step_ends;
            for run in self.running.iter_mut().filter(|run| run.unread == 0) {
                run.make_token(at, &mut reports);
            }
            ended.extend(self.running.extract_if(.., |run| run.left == 0));
        }
        reports.extend(ended.iter().map(|run| (run.key, run.attempt, Report::Ended)));
        (reports, ended)
    }
}

impl Run {
    fn make_token(&mut self, now: Time, reports: &mut Vec<(Key, u32, Report)>) {
        self.left -= 1;
        self.unsent += 1;
        let (since, limit) = match self.event_at {
            None => (self.sent_at, target(self.work)),
            Some(at) => (at, MAX_PAUSE),
        };
        if self.event_at.is_some() && self.unsent < FakeEngine::TOKENS_PER_EVENT && self.left > 0 {
            return;
        }
        if self.event_at.is_none() {
            reports.push((self.key, self.attempt, Report::Begun(Some(1))));
        }
        self.is_late |= now > since + limit;
        self.event_at = Some(now);
        self.unsent = 0;
    }
}

/// Longest pause between two events that callers accept.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Time within which callers expect the first event.
const fn target(work: Work) -> Duration {
    match work {
        Work::Read => Duration::from_millis(500),
        Work::Stream => Duration::from_millis(2_000),
    }
}

/// Requests by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Tally {
    reads: u32,
    streams: u32,
}

impl Tally {
    fn add(&mut self, work: Work) {
        match work {
            Work::Read => self.reads += 1,
            Work::Stream => self.streams += 1,
        }
    }
}

/// One daemon, which places all requests, and fake engines.
struct Site {
    daemon: Daemon,
    engines: Vec<FakeEngine>,
    now: Time,
    work: BTreeMap<Key, (Work, Time)>,
    due: (f64, f64),
    asked: Tally,
    in_time: Tally,
    refused: Tally,
    /// Engines to which requests of each kind were sent.
    used: BTreeMap<Work, BTreeSet<String>>,
}

impl Site {
    fn new(divides: bool) -> Self {
        Self {
            daemon: daemon(1, divides),
            engines: (0..ENGINES).map(|_| FakeEngine::default()).collect(),
            now: ms(10),
            work: BTreeMap::new(),
            due: (0.0, 0.0),
            asked: Tally::default(),
            in_time: Tally::default(),
            refused: Tally::default(),
            used: BTreeMap::new(),
        }
    }

    /// Has requests arrive at these rates per second.
    fn run(&mut self, span: Duration, reads_per_s: f64, streams_per_s: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(5);
            self.due.0 += reads_per_s / 200.0;
            self.due.1 += streams_per_s / 200.0;
            while self.due.0 >= 1.0 {
                self.due.0 -= 1.0;
                self.arrive(Work::Read);
            }
            while self.due.1 >= 1.0 {
                self.due.1 -= 1.0;
                self.arrive(Work::Stream);
            }
            self.advance_engines();
            let effects = self.daemon.tick(self.now);
            self.carry_out(&effects);
        }
    }

    fn arrive(&mut self, work: Work) {
        self.asked.add(work);
        let subject = u64::from(self.asked.reads + self.asked.streams) * 7 % 40;
        let route = route_with(target(work));
        let (key, effects) = self.daemon.arrive(self.now, &route, Some(prompt_of(work, subject)));
        self.work.insert(key, (work, self.now));
        self.carry_out(&effects);
    }

    fn carry_out(&mut self, effects: &[Effect]) {
        for effect in effects {
            let Effect::Command(key, command) = effect else { continue };
            let (work, sent_at) = self.work[key];
            match command {
                Command::Dispatch(dispatch) => {
                    self.used.entry(work).or_default().insert(dispatch.server.clone());
                    let prompt = prompt_of(work, 0);
                    let unread = prompt.parts.last().map_or(0, |part| part.tokens);
                    let engine: usize = dispatch.server[2..].parse().expect("the id has a number");
                    self.engines[engine].queue.push_back(Run {
                        key: *key,
                        attempt: dispatch.attempt,
                        work,
                        sent_at,
                        unread,
                        left: prompt.output,
                        unsent: 0,
                        event_at: None,
                        is_late: false,
                    });
                }
                Command::Refuse(..) | Command::GiveUp => self.refused.add(work),
                Command::HandOver(_) => panic!("there is no other daemon"),
            }
        }
    }

    fn advance_engines(&mut self) {
        let mut reports = Vec::new();
        for engine in &mut self.engines {
            let (of_engine, ended) = engine.advance(self.now);
            reports.extend(of_engine);
            for run in ended.iter().filter(|run| !run.is_late) {
                self.in_time.add(run.work);
            }
        }
        for (key, attempt, report) in reports {
            let effects = self.daemon.report(self.now, key, attempt, report);
            self.carry_out(&effects);
        }
    }
}

/// Long prompts per second that take up a third of the engines.
const READS_PER_S: f64 = 200.0;
/// Streams per second that take up an eighth of the engines.
const STREAMS_PER_S: f64 = 200.0;

/// Load: long prompts beside streams.
#[test]
fn long_prompts_and_streams_use_disjoint_engines() {
    let mut site = Site::new(true);
    site.run(ms(4_000), READS_PER_S, STREAMS_PER_S);
    site.used.clear();
    site.run(ms(1_000), READS_PER_S, STREAMS_PER_S);
    let (reads, streams) = (&site.used[&Work::Read], &site.used[&Work::Stream]);
    assert!(reads.is_disjoint(streams), "{:?}", reads.intersection(streams));
}

/// What is answered in time in four seconds, with and without a crowd of streams.
fn with_and_without_crowd(divides: bool, crowd: f64) -> [Tally; 2] {
    [crowd, 1.0].map(|factor| {
        let mut site = Site::new(divides);
        site.run(ms(4_000), READS_PER_S, STREAMS_PER_S);
        site.in_time = Tally::default();
        site.run(ms(4_000), READS_PER_S, STREAMS_PER_S * factor);
        println!(
            "divided {divides}, streams x {factor}: {:?}, refused {:?}",
            site.in_time, site.refused
        );
        site.in_time
    })
}

/// Load: four times as many streams for some seconds. With streams beside long prompts, the more is
/// asked, the less is served.
#[test]
fn crowd_of_streams_leaves_long_prompts_in_time() {
    let [crowded, calm] = with_and_without_crowd(true, 4.0);
    assert!(crowded.reads * 10 >= calm.reads * 9, "{crowded:?} of {calm:?}");
    assert!(crowded.streams * 10 >= calm.streams * 9, "{crowded:?} of {calm:?}");
}

/// Load: more streams than the engines for streams have slots.
#[test]
fn streams_use_engines_for_long_prompts_once_their_own_are_full() {
    let mut daemon = daemon(1, true);
    let now = ms(10);
    adopt(&mut daemon, now, 0.5);
    let first = server_for(&mut daemon, now, chat(0)).expect("it is sent");
    let own = engines_of(&daemon, now, Work::Stream);
    assert!(own.len() == ENGINES / 2 && own.contains(&first));
    for subject in 1..(own.len() * SLOTS) as u64 {
        let server = server_for(&mut daemon, now, chat(subject)).expect("it is sent");
        assert!(own.contains(&server), "stream {subject}");
    }
    // Half of the other engines' slots.
    for subject in 0..(ENGINES / 2 * SLOTS / 2) as u64 {
        let server = server_for(&mut daemon, now, chat(subject)).expect("it is sent");
        assert!(!own.contains(&server), "stream {subject}");
    }
    assert_eq!(server_for(&mut daemon, now, chat(0)), None);
}

/// Load: long prompts fill their engines.
#[test]
fn long_prompts_use_engines_with_few_streams_once_their_own_are_full() {
    let mut daemon = daemon(1, true);
    let now = ms(10);
    adopt(&mut daemon, now, 0.5);
    server_for(&mut daemon, now, report(0)).expect("it is sent");
    let own = engines_of(&daemon, now, Work::Read);
    let streams = engines_of(&daemon, now, Work::Stream);
    let quiet = streams.first().expect("there are engines for streams").clone();
    for server in daemon.node.servers.values_mut() {
        let id = &server.entry.incarnation.id;
        server.running = match () {
            () if own.contains(id) => SLOTS as u32,
            () if *id == quiet => 1,
            () => SLOTS as u32 / 4,
        };
    }
    assert_eq!(server_for(&mut daemon, now, report(3)), Some(quiet.clone()));
    for server in daemon.node.servers.values_mut() {
        if server.entry.incarnation.id == quiet {
            server.running = SLOTS as u32 / 4;
        }
    }
    assert_eq!(server_for(&mut daemon, now, report(4)), None);
}

/// The servers of some prompts of both kinds on an idle pool.
fn servers(mut daemon: Daemon, now: Time) -> Vec<Option<String>> {
    let kinds = [Work::Read, Work::Stream];
    let prompts = kinds.into_iter().flat_map(|kind| (0..40).map(move |n| prompt_of(kind, n)));
    prompts
        .map(|prompt| {
            let (key, effects) = daemon.arrive(now, &route_with(ms(600)), Some(prompt));
            let server = dispatch(&effects).server;
            daemon.node.apply(now, Message::Cancel(key));
            Some(server)
        })
        .collect()
}

/// Failure: the scheduler is lost, and the next one knows its share from a digest.
#[test]
fn next_scheduler_places_alike() {
    let mut former = daemon(1, true);
    let now = ms(2_000);
    let division = former.node.divisions.entry("engines".into()).or_default();
    for at in 0..200 {
        division.record(ms(at * 10), Work::Read, 60.0);
        division.record(ms(at * 10), Work::Stream, 40.0);
    }
    let share = division.stream_share(now).expect("the pool is divided");
    let mut next = daemon(1, true);
    adopt(&mut next, now, share);
    assert_eq!(servers(former, now), servers(next, now));
    assert_ne!(servers(daemon(1, true), now), servers(daemon_sharing(now, share), now));
}

fn daemon_sharing(now: Time, share: f64) -> Daemon {
    let mut daemon = daemon(1, true);
    adopt(&mut daemon, now, share);
    daemon
}

// Each part that moves is read again.
#[test]
fn step_of_the_share_moves_few_parts() {
    let now = ms(10);
    let before = servers(daemon_sharing(now, 0.4), now);
    let after = servers(daemon_sharing(now, 0.4 + 1.0 / 16.0), now);
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    assert!(moved * 5 <= before.len(), "{moved} of {} moved", before.len());
}

/// Failure: engines are lost. Those that are left are divided by the same share, and few change.
#[test]
fn lost_engines_leave_engines_for_both_kinds() {
    let mut daemon = daemon_sharing(ms(10), 0.5);
    let now = ms(10);
    server_for(&mut daemon, now, chat(0)).expect("it is sent");
    let before = engines_of(&daemon, now, Work::Stream);
    let lost: Vec<(String, &str)> = (0..10).map(|n| (format!("e-{n}"), "")).collect();
    let lost: Vec<(&str, &str)> = lost.iter().map(|(id, none)| (id.as_str(), *none)).collect();
    daemon.deliver_records(now, Topic::Servers, &lost);
    let after = engines_of(&daemon, now, Work::Stream);
    assert_eq!((after.len(), engines_of(&daemon, now, Work::Read).len()), (11, 11));
    let is_left = |id: &&String| lost.iter().all(|(other, _)| other != &id.as_str());
    let left = before.iter().filter(is_left).count();
    let kept = before.intersection(&after).count();
    assert_eq!(kept, left.min(after.len()));
}

#[test]
fn without_the_setting_nothing_is_divided() {
    let now = ms(10);
    let mut off = daemon(1, false);
    adopt(&mut off, now, 0.4);
    assert_eq!(servers(off, now), servers(daemon(1, false), now));
    let mut off = daemon(1, false);
    off.arrive(now, &route_with(ms(600)), Some(chat(1)));
    assert!(off.node.divisions.is_empty());
}

#[test]
fn small_pool_is_not_divided() {
    let now = ms(10);
    let mut small = daemon_with(1, true, 15, 0);
    adopt(&mut small, now, 0.4);
    assert_eq!(servers(small, now), servers(daemon_with(1, true, 15, 0), now));
}

/// Load: a crowd arrives in one availability zone.
#[test]
fn crowd_in_one_zone_uses_engines_of_the_others() {
    for divides in [false, true] {
        let mut daemon = daemon_with(1, divides, ENGINES / 2, ENGINES / 2);
        let now = ms(10);
        adopt(&mut daemon, now, 0.5);
        let mut far = 0;
        for subject in 0..(ENGINES * SLOTS / 2) as u64 {
            let server = server_for(&mut daemon, now, chat(subject)).expect("it is sent");
            let number: usize = server[2..].parse().expect("the id has a number");
            far += usize::from(number >= ENGINES / 2);
        }
        assert!(far * 3 >= ENGINES * SLOTS / 2, "{far} requests went to the other zone");
    }
}
