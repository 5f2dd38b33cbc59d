//! Benchmarks of single decisions, each at several sizes to show how the cost grows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cardamomvalve::attempt::{self, Arrival, Target};
use cardamomvalve::control::{Identity, Message, Node, Policy, Read, Record, Stream};
use cardamomvalve::ledger;
use cardamomvalve::manifest::{self, Objective, Priority};
use cardamomvalve::membership::{CacheEvent, Change, Report, Role, Standing, Vm};
use cardamomvalve::peer::{Digest, Frame, Load};
use cardamomvalve::poison::Fingerprint;
use cardamomvalve::prefix::{BLOCK_BYTES, Key, Prefix, Residency};
use divan::Bencher;
use serde_json::json;

const SERVERS: [usize; 4] = [20, 200, 2_000, 12_000];

fn main() {
    divan::main();
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn manifest_json(workspaces: usize) -> serde_json::Value {
    let workspace = |index: usize| {
        let entry = json!({
            "keys_sha256": [manifest::sha256_hex(&index.to_le_bytes())], "share": 1, "models": ["m"],
            "default_priority": "normal", "highest_priority": "urgent",
        });
        (format!("workspace-{index}"), entry)
    };
    json!({
        "format": 1,
        "pools": { "model": { "max_in_flight": 64, "max_waiting": 1000 } },
        "models": {
            "m": {
                "pool": "model", "weights": "v1", "objective": "time-to-first-token",
                "default_deadline_ms": 10_000,
            },
        },
        "workspaces": (0..workspaces).map(workspace).collect::<BTreeMap<_, _>>(),
    })
}

fn publish_record(workspaces: usize) -> String {
    let body = manifest::Body::Publish { replaces: 0, manifest: manifest_json(workspaces) };
    manifest::Record { format: manifest::FORMAT, id: "bench".into(), body }.encode()
}

fn report(next_seq: u64, events: Vec<CacheEvent>, from: u64) -> Report {
    Report {
        incarnation: "one".into(),
        from,
        weights: BTreeMap::from([("m".into(), BTreeSet::from(["v1".to_owned()]))]),
        prefill_tokens_per_s: 8_000,
        next_seq,
        events,
        ..Report::default()
    }
}

/// Creates a node with a manifest and `servers` engines.
fn node(servers: usize) -> Node {
    let identity = Identity { id: "router-0".into(), incarnation: 1, zone: "zone-0".into() };
    let mut node = Node::new(identity, Policy::default());
    let record = Record { offset: 0, time_ms: 0, text: publish_record(8) };
    let read = Read { first: 0, next: 1, retention_s: 1_000_000, records: vec![record] };
    node.apply(Duration::ZERO, Message::Records(Stream::Manifest, read));
    let vm = |index: usize| Vm {
        id: format!("engine-{index:05}"),
        role: Role::ModelServer,
        pool: "model".into(),
        address: address(),
        region: "r".into(),
        zone: format!("zone-{}", index % 36),
        standing: Standing::Live,
    };
    let effects = node.apply(Duration::ZERO, Message::VmList((0..servers).map(vm).collect()));
    let polls = effects.into_iter().filter_map(|effect| match effect {
        cardamomvalve::control::Effect::Poll { server, .. } => Some(server),
        _ => None,
    });
    for server in polls {
        let polled = Message::Polled(server, Box::new(report(0, Vec::new(), 0)));
        node.apply(Duration::ZERO, polled);
    }
    node
}

fn arrival(number: u64) -> Arrival {
    let prompt = vec![b'x'; 72 * BLOCK_BYTES];
    let bounds = [64 * BLOCK_BYTES, 70 * BLOCK_BYTES];
    Arrival {
        request: attempt::Key(number),
        workspace: "workspace-0".into(),
        share: 1,
        target: Target::Model {
            model: "m".into(),
            weights: "v1".into(),
            objective: Objective::TimeToFirstToken,
            salt: Key(number % 16),
        },
        pool: "model".into(),
        priority: Priority::Normal,
        deadline: Duration::from_secs(1_000),
        prefix: Prefix::new(Key(number % 16), &prompt, &bounds),
        prompt_tokens: 18_432,
        max_tokens: 64,
        idempotent: true,
        fingerprint: Fingerprint(number),
        claim: None,
    }
}

/// Handles one request from arrival to end: placed, begun, complete.
#[divan::bench(args = SERVERS)]
fn place_one_request(bencher: Bencher, servers: usize) {
    let mut node = node(servers);
    let mut number = 0;
    bencher.bench_local(|| {
        number += 1;
        let request = attempt::Key(number);
        let now = Duration::from_micros(number);
        node.apply(now, Message::Arrive(Box::new(arrival(number))));
        for report in [
            attempt::Report::Begun { cached_tokens: Some(0) },
            attempt::Report::Ended(attempt::Outcome::Complete(None)),
        ] {
            node.apply(now, Message::Report { request, attempt: 1, report });
        }
    });
}

/// Computes the keys of one prompt of 72 KiB.
#[divan::bench]
fn hash_one_prompt() -> Prefix {
    let prompt = vec![b'x'; 72 * BLOCK_BYTES];
    Prefix::new(Key(1), divan::black_box(&prompt), &[64 * BLOCK_BYTES])
}

/// Applies 1,000 cache events of one engine, alternately stored and evicted, to a residency of
/// `entries` entries.
#[divan::bench(args = [1_000, 10_000, 100_000, 1_000_000])]
fn fold_1000_cache_events(bencher: Bencher, entries: u64) {
    let mut node = node(20);
    let server = 1;
    let mut residency = Residency::new(usize::MAX);
    let key = slotmap::KeyData::from_ffi((1 << 32) | server).into();
    for block in 0..entries {
        residency.insert(key, Key(block.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    }
    let mut seq = 0_u64;
    bencher.bench_local(|| {
        for _ in 0..500 {
            seq += 1;
            let block = Key(seq.wrapping_mul(0x517c_c1b7_2722_0a95));
            residency.insert(key, block);
            residency.remove(key, block);
        }
    });
    node.apply(Duration::ZERO, Message::Tick);
}

/// Applies one engine report with 100 cache events to a node.
#[divan::bench]
fn take_one_report(bencher: Bencher) {
    let mut node = node(20);
    let servers = node.status(Duration::ZERO).servers.len();
    assert_eq!(servers, 20);
    let key = slotmap::KeyData::from_ffi((1 << 32) | 1).into();
    let mut from = 0;
    bencher.bench_local(|| {
        let event = |offset: u64| CacheEvent {
            seq: from + offset,
            change: if offset.is_multiple_of(2) { Change::Stored } else { Change::Evicted },
            block: (from + offset) / 2,
        };
        let events = (0..100).map(event).collect();
        let message = Message::Polled(key, Box::new(report(from + 100, events, from)));
        from += 100;
        node.apply(Duration::ZERO, message);
    });
}

/// Folds one manifest record with `workspaces` workspaces.
#[divan::bench(args = [8, 52, 520])]
fn fold_one_manifest(bencher: Bencher, workspaces: usize) {
    let text = publish_record(workspaces);
    bencher.counter(divan::counter::BytesCount::new(text.len())).bench_local(|| {
        let mut state = manifest::State::default();
        state.fold(0, divan::black_box(&text))
    });
}

/// Folds one change of a workspace's share into a manifest with `workspaces` workspaces.
#[divan::bench(args = [8, 52, 520])]
fn fold_one_change(bencher: Bencher, workspaces: usize) {
    let mut state = manifest::State::default();
    state.fold(0, &publish_record(workspaces));
    let mut share = 1;
    bencher.bench_local(|| {
        share = share % 1_000 + 1;
        let patch = json!({ "workspaces": { "workspace-0": { "share": share } } });
        let body = manifest::Body::Change { replaces: state.generation(), patch };
        let record = manifest::Record { format: manifest::FORMAT, id: "bench".into(), body };
        state.fold(state.next(), &record.encode())
    });
}

/// Folds one record of 100 claims into a ledger that starts with `keys` keys.
#[divan::bench(args = [1_000, 10_000, 100_000])]
fn fold_100_claims(bencher: Bencher, keys: u64) {
    let claim = |sequence: u64| ledger::Entry::Claim {
        id: ledger::ClaimId { daemon: "router-0".into(), incarnation: 1, sequence },
        key: ledger::Key {
            workspace: "workspace-0".into(),
            service: "pay".into(),
            key: format!("key-{sequence:020}"),
        },
        digest: manifest::sha256_hex(&sequence.to_le_bytes()),
        window_s: 86_400,
    };
    let mut state = ledger::State::default();
    state.fold(0, 0, &ledger::Batch::new((0..keys).map(claim).collect()).encode());
    let mut next = keys;
    let mut offset = 1;
    bencher
        .with_inputs(|| {
            next += 100;
            ledger::Batch::new((next - 100..next).map(claim).collect()).encode()
        })
        .bench_local_values(|text| {
            state.fold(offset, 0, &text);
            offset += 1;
        });
}

fn digest(busy: usize) -> Digest {
    let entry =
        |index: usize| (format!("engine-{index:05}"), Load { requests: 3, pending_tokens: 9 });
    Digest {
        daemon: "router-1".into(),
        incarnation: 1,
        generation: 1,
        loads: (0..busy).map(entry).collect(),
        heat: (0..32).map(|level| (Key(level), 1.0)).collect(),
        copies: Vec::new(),
        draining_servers: Vec::new(),
        draining: false,
        blocked: Vec::new(),
        ledger_next: 0,
    }
}

/// Decodes and applies one digest with `busy` busy servers.
#[divan::bench(args = [20, 200, 2_000])]
fn merge_one_digest(bencher: Bencher, busy: usize) {
    let mut node = node(20);
    let bytes = Frame::Digest(digest(busy)).encode();
    bencher.counter(divan::counter::BytesCount::new(bytes.len())).bench_local(|| {
        let frame = Frame::decode(divan::black_box(&bytes)).expect("an encoded digest decodes");
        node.apply(Duration::ZERO, Message::Frame(frame))
    });
}

/// Runs one tick of an idle node.
#[divan::bench(args = SERVERS)]
fn tick_at_rest(bencher: Bencher, servers: usize) {
    let mut node = node(servers);
    let mut micros = 0;
    bencher.bench_local(|| {
        micros += 1;
        node.apply(Duration::from_micros(micros), Message::Tick)
    });
}
