//! Benchmarks of the decisions of a daemon in a fleet, each at several sizes to show how the cost grows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cardamomvalve::fairness::{self, Claim, Ledger, Weight};
use cardamomvalve::fleet::{
    Arrival, Batch, Change, Digest, Entry, Frame, Identity, Incarnation, Key, Message, Node, Part,
    Policy, Prompt, Read, Record, Registration, Report, Start, Topic,
};
use cardamomvalve::lease;
use cardamomvalve::poison::Fingerprint;
use cardamomvalve::quota;
use cardamomvalve::route::{Cohort, Engine, Kind, Limits, Pool, Repeat, Route, Split, Table};
use divan::Bencher;

const ENGINES: [usize; 4] = [10, 100, 1_000, 10_000];
const DAEMONS: [usize; 3] = [10, 100, 1_000];
const WORKSPACES: [usize; 2] = [16, 10_000];
/// Time of the first measured input: the node has ranked the daemons by then.
const START: Duration = Duration::from_secs(5);

fn main() {
    divan::main();
}

fn address(index: usize) -> SocketAddr {
    let [_, a, b, c] = (index as u32 + 1).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 80))
}

/// Decodes the records of these benchmarks, whose keys say what they are.
fn decode(topic: Topic, record: &Record) -> Result<Change, String> {
    let index = record.key.trim_start_matches(|c: char| !c.is_ascii_digit()).parse().unwrap_or(0);
    Ok(match topic {
        Topic::Operator => Change::Table { table: Arc::new(table()), left_out: Vec::new() },
        Topic::Servers => Change::Server(Entry {
            incarnation: Incarnation::new(record.key.clone(), record.offset),
            pool: "engines".into(),
            software: "v1".into(),
            address: address(index),
            zone: format!("zone-{}", index % 5),
            slots: 24,
            draining: false,
            weights: BTreeMap::from([("m".into(), 1)]),
            sequence: 0,
        }),
        Topic::Routers => Change::Router(Registration {
            id: record.key.clone(),
            address: address(index),
            cores: 1.0,
            zone: format!("zone-{}", index % 5),
        }),
    })
}

fn table() -> Table {
    let engine = Engine {
        slots: 24,
        kv_capacity_tokens: 100_000,
        kv_token_bytes: 163_840,
        link_bytes_per_s: 16_250_000_000,
    };
    let pool = Pool { kind: Kind::Engine(engine), max_connections: 1_000 };
    let pools = BTreeMap::from([("engines".into(), pool)]);
    Table::new(1, Vec::new(), pools, None, Limits::default()).expect("the table is valid")
}

fn policy() -> Policy {
    Policy {
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 1_000.0,
        weights_limit: Duration::from_secs(10),
        engines_check_fences: true,
        lease: lease::Terms {
            ttl: Duration::from_secs(3),
            margin: Duration::from_millis(400),
            renewal_interval: Duration::from_secs(1),
        },
        quota: quota::Policy { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 },
        fair_shares: fairness::Mode::Off,
        learns_capacity: false,
        uses_all_kv_stores: false,
    }
}

fn records(topic: Topic, from: u64, keys: impl Iterator<Item = String>) -> Message {
    let records: Vec<Record> = (from..)
        .zip(keys)
        .map(|(offset, key)| Record { key, offset, value: Some(vec![1]) })
        .collect();
    let batch = Batch { topic, from, to: from + records.len() as u64, records };
    Message::Read(Read { batch, is_snapshot: false, current_at: Duration::ZERO })
}

/// Creates a node that knows `daemons` peers and `engines` engines and has run for a while. Peers rank
/// above it if `is_scheduler` is false.
fn node(daemons: usize, engines: usize, is_scheduler: bool) -> Node {
    let identity = Identity {
        id: "router-own".into(),
        incarnation: 1,
        zone: "zone-0".into(),
        address: address(1 << 20),
        handover_address: address(1 << 20),
        cores: if is_scheduler { 2.0 } else { 0.1 },
    };
    let mut node = Node::new(identity, policy(), decode, &[]);
    let now = Duration::ZERO;
    node.apply(now, records(Topic::Operator, 0, std::iter::once("config".to_owned())));
    node.apply(now, records(Topic::Servers, 0, (0..engines).map(|i| format!("engine-{i}"))));
    node.apply(now, records(Topic::Routers, 0, (0..daemons).map(|i| format!("router-{i}"))));
    for step in 1..50 {
        let now = START / 50 * step;
        for daemon in 0..daemons {
            node.apply(now, digest(daemon, now));
        }
        node.apply(now, Message::Tick);
    }
    node
}

fn digest(daemon: usize, now: Duration) -> Message {
    let digest = Digest {
        daemon: format!("router-{daemon}"),
        address: address(daemon).to_string(),
        cores: 1.0,
        interval: Duration::from_secs(1),
        incarnation: 1,
        sent_at: now,
        ..Digest::default()
    };
    Message::Frame(Frame::Digest(Box::new(digest)))
}

fn arrival(number: u64, now: Duration) -> Arrival {
    let part = |id, tokens| Part { id, tokens };
    let route = Route {
        name: "to-engines".into(),
        host: "a.example".into(),
        path_prefix: "/".into(),
        repeat: Repeat::Resumable,
        is_streaming: true,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(600),
        priority: 1,
        splits: vec![Split { pool: "engines".into(), weight: 1 }],
        max_attempts: 2,
        is_public: true,
    };
    Arrival {
        request: Key(number),
        id: format!("request-{number}"),
        route: Arc::new(route),
        workspace: None,
        cohort: Cohort::default(),
        deadline: now + Duration::from_secs(5),
        prompt: Some(Prompt {
            model: "m".into(),
            input: 9_000,
            output: 13,
            parts: vec![part(number % 4, 2_500), part(number % 1_500, 3_800), part(!number, 2_700)],
        }),
        fingerprint: Fingerprint(number),
        is_handed_over: false,
        start: Start::New,
    }
}

#[divan::bench(args = ENGINES)]
fn place_one_request(bencher: Bencher, engines: usize) {
    let mut node = node(0, engines, true);
    let (mut number, mut now) = (0, START);
    bencher.bench_local(|| {
        number += 1;
        now += Duration::from_millis(2);
        node.apply(now, Message::Arrive(Box::new(arrival(number, now))));
        let key = Key(number);
        let report = |report| Message::Report { request: key, attempt: 1, report };
        node.apply(now, report(Report::Begun(Some(1))));
        node.apply(now, report(Report::Ended));
    });
}

#[divan::bench(args = ENGINES)]
fn tick_of_a_scheduler(bencher: Bencher, engines: usize) {
    let mut node = node(2, engines, true);
    let mut now = START;
    bencher.bench_local(|| {
        now += Duration::from_millis(20);
        node.apply(now, Message::Tick)
    });
}

#[divan::bench(args = ENGINES)]
fn tick_of_another_daemon(bencher: Bencher, engines: usize) {
    let mut node = node(20, engines, false);
    let mut now = START;
    bencher.bench_local(|| {
        now += Duration::from_millis(1);
        node.apply(now, Message::Tick)
    });
}

#[divan::bench(args = DAEMONS)]
fn tick_among_daemons(bencher: Bencher, daemons: usize) {
    let mut node = node(daemons, 10, false);
    let mut now = START;
    bencher.bench_local(|| {
        now += Duration::from_millis(1);
        node.apply(now, Message::Tick)
    });
}

#[divan::bench(args = DAEMONS)]
fn take_one_digest(bencher: Bencher, daemons: usize) {
    let mut node = node(daemons, 10, false);
    let mut now = START;
    bencher.bench_local(|| {
        now += Duration::from_millis(1);
        node.apply(now, digest(0, now))
    });
}

#[divan::bench(args = ENGINES)]
fn apply_one_record(bencher: Bencher, engines: usize) {
    let mut node = node(0, engines, false);
    let mut offset = engines as u64;
    bencher.bench_local(|| {
        let message = records(Topic::Servers, offset, std::iter::once("engine-0".to_owned()));
        offset += 1;
        node.apply(START, message)
    });
}

/// Decides on one request of a pool whose room is divided among workspaces that all have one waiting.
#[divan::bench(args = WORKSPACES)]
fn divide_room(bencher: Bencher, workspaces: usize) {
    let claim = |number: usize| Claim {
        workspace: format!("workspace-{number:05}").into(),
        weight: Weight::ONE,
        priority: 1,
        cost_ms: 20.0,
        returns: false,
    };
    let claims: Vec<Claim> = (0..workspaces).map(claim).collect();
    let mut ledger = Ledger::default();
    for claim in &claims {
        ledger.join(START, claim);
    }
    let (mut number, mut now) = (0, START);
    bencher.bench_local(|| {
        number += 1;
        now += Duration::from_micros(100);
        let claim = &claims[number % workspaces];
        let ahead_ms = ledger.ahead_ms(claim);
        let start = ledger.join(now, claim);
        ledger.begin(now, claim, start);
        ahead_ms
    });
}
