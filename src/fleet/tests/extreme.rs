//! Numbers at the ends of their types, in frames of peers and in what servers and the store say. Nothing overflows, and
//! requests are placed all the same.

use super::world::*;
use crate::capacity;
use crate::fairness::{self, Weight};
use crate::fleet::tests::site::Site;
use crate::fleet::*;
use crate::poison::{self, Fingerprint};
use crate::prelude::*;
use crate::quota::Usage;
use crate::route::{Cohort, Kind, Limits, Pool, Repeat, Route, Split, Table};

const SERVERS: [(&str, &str); 6] = [
    ("s-1", "plain 21 ready"),
    ("s-2", "plain 22 ready"),
    ("s-3", "plain 23 ready"),
    ("e-1", "engine 31 ready 1"),
    ("e-2", "engine 32 ready 1"),
    ("e-3", "engine 33 ready 1"),
];
const NUMBERS: [u64; 8] =
    [0, 1, u32::MAX as u64, 1 << 32, (1 << 53) - 1, i64::MAX as u64, 1 << 63, u64::MAX];

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn float(number: u64) -> f64 {
    match number {
        u64::MAX => f64::MAX,
        0 => f64::MIN_POSITIVE,
        other => other as f64,
    }
}

fn single(number: u64) -> f32 {
    (float(number) as f32).clamp(f32::MIN_POSITIVE, f32::MAX)
}

fn incarnation(server: &str, number: u64) -> Incarnation {
    // Of the start that is known, and of another one.
    Incarnation::new(server, if number == 1 { 0 } else { number })
}

fn workload(number: u64) -> Workload {
    Workload {
        running: narrow(number),
        pending_tokens: narrow(number),
        loading_weights: number.is_multiple_of(2),
        last_answer_age_ms: Some(narrow(number)),
        unanswered_ms: Some(narrow(number)),
    }
}

fn digest(daemon: &str, number: u64) -> Digest {
    let age = Duration::from_millis(number);
    let servers = SERVERS.iter().map(|(server, _)| *server);
    let incarnations = servers.clone().map(|server| incarnation(server, number));
    let known = servers.clone().map(|server| Incarnation::new(server, 0));
    let usage = fairness::Usage {
        workspace: "lab".into(),
        weight: Weight::new(1.25).expect("a valid weight"),
        given_ms_per_s: float(number),
        waiting_ms: float(number),
    };
    let account = Account { pool: "engines".into(), usages: vec![usage] };
    let report = capacity::Report { factor: single(number), samples: single(number), age };
    Digest {
        daemon: daemon.into(),
        address: "10.0.0.2:80".into(),
        cores: single(number),
        zone: "zone-1".into(),
        handover_address: "10.0.0.2:81".into(),
        is_cut_off: false,
        interval: age.min(Duration::from_secs(1)),
        read_ages: vec![Some(age); 4],
        incarnation: number,
        draining: false,
        end_offsets: vec![number; 4],
        workloads: incarnations
            .clone()
            .chain(known.clone())
            .map(|i| (i, workload(number)))
            .collect(),
        weights: incarnations
            .clone()
            .chain(known.clone())
            .map(|i| (i, "other".into(), number))
            .collect(),
        hot_parts: vec![(number, single(number)); 3],
        refused: vec![Fingerprint(number)],
        link_bytes_moved: number,
        link_bytes_by_store: BTreeMap::from([(address(200), number), (address(9), number)]),
        blocked: vec![poison::Blocked { fingerprint: Fingerprint(u64::MAX - 5), age }],
        sent_at: age,
        caught_up_age: Some(age),
        registrations_age: Some(age),
        settled_versions: vec![Software(u64::MAX)],
        quota_keeper: "router-2".into(),
        quota_use: vec![Usage { workspace: "lab".into(), units: number }; 2],
        reject_limits: vec![RejectLimit { pool: "engines".into(), rejects: narrow(number), age }],
        limit_statements: known
            .clone()
            .map(|server| LimitStatement { server, per_s: Some(float(number)), age })
            .collect(),
        named: vec![Naming { model: "other".into(), version: number, age: Some(age) }],
        leaving: vec![Incarnation::new("e-9", number)],
        accounts: vec![account.clone(), account],
        speeds: known.map(|server| (server, report)).collect(),
    }
}

fn prompt_of(number: u64) -> Prompt {
    let part = |id| Part { id, tokens: narrow(number) };
    Prompt {
        model: "m".into(),
        input: narrow(number),
        output: narrow(number),
        parts: vec![part(7), part(8), part(9)],
    }
}

fn frames(daemon: &str, number: u64) -> Vec<Frame> {
    let age = Duration::from_millis(number);
    let servers = SERVERS.iter().map(|(server, _)| *server);
    let update = |holder| {
        let changes = (0..4).map(|part| (part, narrow(number))).collect();
        Update { daemon: daemon.into(), holder, sequence: number, full: true, changes }
    };
    let interruption = poison::Interruption {
        fingerprint: Fingerprint(u64::MAX - 4),
        parts: vec![Fingerprint::of_part(number)],
        incarnation: poison::Incarnation::of("e-1", None),
        pool: number,
        servers: narrow(number),
        run_time: age,
        age,
        ran_alone: true,
    };
    let submission = |pool: &str| Submission {
        daemon: daemon.into(),
        incarnation: number,
        request: Key(number),
        id: "r".into(),
        route: "r".into(),
        repeat: Repeat::Idempotent,
        target: age,
        priority: narrow(number) as u8,
        max_attempts: narrow(number),
        pool: pool.into(),
        workspace: None,
        cohort: Cohort { version: number, without: Some(number) },
        time_left: age,
        prompt: (pool == "engines").then(|| prompt_of(number)),
        fingerprint: Fingerprint(number),
        is_counted: true,
        draws_on_retry_budget: true,
        software: None,
    };
    let statement = Statement {
        reject_limit: Some(narrow(number)),
        request_limit: RequestLimit::PerSecond(float(number)),
        is_leaving: false,
        rest: Some(age),
    };
    let progress = |step| Progress {
        daemon: daemon.into(),
        request: Key(number),
        attempt: narrow(number),
        step,
    };
    let binding =
        streams::Binding { stream: StreamId(number), software: Software(number), time_left: age };
    let verdict = |decision| Verdict { daemon: daemon.into(), request: Key(1), decision };
    let mut frames = vec![
        Frame::Digest(Box::new(digest(daemon, number))),
        Frame::Fetch(daemon.into(), Topic::Servers, number),
        Frame::FetchResidency(daemon.into(), Holder::Store(address(200))),
        Frame::Residency(update(Holder::Store(address(200)))),
        Frame::Poison(poison::Message::Interruptions(vec![interruption; 3])),
        Frame::Poison(poison::Message::Blocked(vec![poison::Blocked {
            fingerprint: Fingerprint(u64::MAX - 6),
            age,
        }])),
        Frame::Streams(streams::Message::Replicate(vec![binding])),
        Frame::Submission(Box::new(submission("engines"))),
        Frame::Submission(Box::new(submission("plain"))),
        Frame::Progress(progress(Step::Stated(statement))),
        Frame::Progress(progress(Step::Report(Report::Begun(Some(number))))),
        Frame::Progress(progress(Step::Report(Report::Refused(Refusal::WrongWeights(Some(
            number,
        )))))),
        Frame::Progress(progress(Step::Withdrawn)),
        Frame::Verdict(Box::new(verdict(Decision::Refuse(Code::NoServer, age)))),
    ];
    for server in servers {
        for of in [Incarnation::new(server, 0), incarnation(server, number)] {
            let (daemon, busy) = (daemon.into(), workload(number));
            frames.push(Frame::Notice(Notice {
                daemon,
                incarnation: of.clone(),
                busy,
                parts: vec![number],
            }));
            frames.push(Frame::Residency(update(Holder::Engine(of))));
        }
    }
    frames
}

/// Every daemon places a request of each kind.
fn check_places(site: &mut Site, what: &str) {
    for index in 0..site.daemons.len() {
        for pool in ["plain", "engines"] {
            site.take_commands();
            let key = site.arrive(index, pool, Repeat::AtMostOnce);
            site.advance(ms(100));
            let commands = site.commands(index, key);
            let is_placed = matches!(commands.first(), Some(Command::Dispatch(_)));
            assert!(is_placed, "{what}: {pool} at {index}: {commands:?}");
            site.report(index, key, 1, Report::Begun(None));
            site.report(index, key, 1, Report::Ended);
        }
    }
}

#[test]
fn frames_with_extreme_numbers_overflow_nothing() {
    for number in NUMBERS {
        let mut site = Site::new(3, &SERVERS);
        for peer in ["router-2", "router-9"] {
            for frame in frames(peer, number) {
                let frame = Frame::decode(&frame.encode()).expect("it is well-formed");
                for index in 0..3 {
                    site.apply(index, Message::Frame(frame.clone()));
                }
            }
            site.advance(ms(200));
        }
        for daemon in &mut site.daemons {
            daemon.node.metrics(site.now);
        }
        // Digests of the daemons themselves replace those of the fleet's other writer.
        site.advance(ms(6_000));
        check_places(&mut site, &format!("{number}"));
    }
}

#[test]
fn decode_digest_with_extreme_interval_refused() {
    for (interval_ms, is_valid) in [(60_000, true), (60_001, false), (u64::MAX, false)] {
        let interval = Duration::from_millis(interval_ms);
        let frame = Frame::Digest(Box::new(Digest { interval, ..digest("router-2", 1) }));
        assert_eq!(Frame::decode(&frame.encode()).is_ok(), is_valid, "{interval_ms}");
    }
}

/// Records whose offsets are at the end of their type.
#[test]
fn records_with_extreme_offsets_overflow_nothing() {
    for number in NUMBERS {
        let mut site = Site::new(3, &SERVERS);
        let record =
            Record { key: "s-9".into(), offset: number, value: Some(b"plain 29 ready".to_vec()) };
        let removed = Record { key: "s-8".into(), offset: number, value: None };
        let records = vec![record, removed];
        let batch = Batch { topic: Topic::Servers, from: number, to: number, records };
        for frame in [Frame::Records(batch.clone()), Frame::Snapshot(batch.clone())] {
            let frame = Frame::decode(&frame.encode()).expect("it is well-formed");
            site.apply(0, Message::Frame(frame));
            site.advance(ms(500));
        }
        let read = Read { batch, is_snapshot: false, current_at: site.now };
        site.apply(1, Message::Read(read));
        site.apply(1, Message::Lease(number, vec![(number, "{}".into())]));
        site.advance(ms(500));
    }
}

/// What servers say in answers, reports and events.
#[test]
fn servers_with_extreme_numbers_overflow_nothing() {
    for number in NUMBERS {
        let mut site = Site::new(3, &SERVERS);
        let age = Duration::from_millis(number);
        let keys: Vec<server::Key> = site.daemons[0].node.servers.keys().collect();
        for key in keys {
            let state = State {
                weights: BTreeMap::from([("m".into(), number)]),
                busy: false,
                sequence: number,
                born: 0,
                is_leaving: false,
            };
            site.apply(0, Message::Polled(key, Some(state)));
            site.apply(0, Message::OrderEnded(key, OrderEnd::Accepted));
            let event = |part| CacheEvent { salt: "s".into(), part, tokens: narrow(number) };
            let events = EventBatch {
                epoch: number,
                next: number,
                has_gap: false,
                events: (0..4).map(event).collect(),
            };
            site.apply(0, Message::Events(Location::Engine(key), Some(events.clone())));
            site.apply(0, Message::Events(Location::Store(address(200)), Some(events)));
        }
        let statement = Statement {
            reject_limit: Some(narrow(number)),
            request_limit: RequestLimit::PerSecond(float(number)),
            is_leaving: false,
            rest: Some(age.min(Duration::from_secs(3_600))),
        };
        for pool in ["plain", "engines"] {
            let request = site.arrive(0, pool, Repeat::AtMostOnce);
            site.apply(0, Message::Stated { request, attempt: 1, statement });
            site.report(0, request, 1, Report::Refused(Refusal::Busy));
            site.advance(ms(100));
        }
        for daemon in &mut site.daemons {
            daemon.node.metrics(site.now);
        }
        site.advance(ms(2_000));
    }
}

/// Requests whose prompts have as many tokens as their fields can hold.
#[test]
fn prompts_with_extreme_numbers_overflow_nothing() {
    for number in NUMBERS {
        let mut site = Site::new(3, &SERVERS);
        for index in 0..3 {
            for _ in 0..3 {
                let (now, to) = (site.clock(index), route("engines", Repeat::AtMostOnce, u32::MAX));
                let (key, effects) = site.daemons[index].arrive(now, &to, Some(prompt_of(number)));
                for (to, message) in site.execute_effects(index, effects).into_iter().rev() {
                    site.apply(to, message);
                }
                site.advance(ms(100));
                site.report(index, key, 1, Report::Begun(Some(1)));
            }
        }
        site.advance(ms(1_000));
        check_places(&mut site, &format!("{number}"));
    }
}

/// Splits, connections and slots whose sums are larger than their type.
#[test]
fn tables_with_extreme_numbers_overflow_nothing() {
    let split = |weight| Split { pool: "plain".into(), weight };
    let of = Route {
        splits: vec![split(u32::MAX), split(u32::MAX), split(1)],
        ..Route::clone(&route("plain", Repeat::Idempotent, u32::MAX))
    };
    let mut daemon = Daemon::with_servers(1, &SERVERS);
    for max_connections in [0, u32::MAX] {
        let pools = BTreeMap::from([("plain".into(), Pool { kind: Kind::Plain, max_connections })]);
        let version = 2 + u64::from(max_connections);
        let table = Table::new(version, Vec::new(), pools, None, Limits::default());
        daemon.node.apply_table(Arc::new(table.expect("it is valid")), &[]);
        let to = Arc::new(of.clone());
        for _ in 0..3 {
            let (key, effects) = daemon.arrive(ms(100), &to, None);
            assert!(matches!(commands(&effects).as_slice(), [Command::Dispatch(_)]));
            daemon.report(ms(110), key, 1, Report::Ended);
        }
    }
}

quickcheck::quickcheck! {
    /// Frames of extreme numbers, each with a byte changed.
    fn mutated_frames_overflow_nothing(number: u64, at: usize, byte: u8) -> bool {
        let mut daemon = Daemon::with_servers(1, &SERVERS);
        let number = NUMBERS[number as usize % NUMBERS.len()];
        for (step, frame) in (1..).zip(frames("router-2", number)) {
            let mut bytes = frame.encode();
            let at = at % bytes.len();
            bytes[at] = byte;
            let Ok(frame) = Frame::decode(&bytes) else { continue };
            daemon.node.apply(ms(step * 20), Message::Frame(frame));
            daemon.tick(ms(step * 20 + 10));
        }
        daemon.tick(ms(5_000));
        true
    }
}

/// Two peers state as many requests at each server as they can, beside a request of this daemon.
#[test]
fn loads_of_peers_are_added_without_overflow() {
    let mut daemon = Daemon::with_servers(1, &SERVERS);
    let (_, effects) = daemon.arrive(ms(10), &route("plain", Repeat::AtMostOnce, 1), None);
    assert!(matches!(commands(&effects).as_slice(), [Command::Dispatch(_)]));
    for peer in ["router-8", "router-9"] {
        let digest = Digest { incarnation: 1, ..digest(peer, u32::MAX.into()) };
        daemon.node.apply(ms(20), Message::Frame(Frame::Digest(Box::new(digest))));
    }
    for step in 0..20 {
        daemon.tick(ms(30 + step * 10));
        daemon.node.metrics(ms(35 + step * 10));
    }
}
