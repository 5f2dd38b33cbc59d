//! Encoding and decoding of frames, also from arbitrary bytes.

use super::world::prompt;
use crate::capacity;
use crate::fairness::{self, Weight};
use crate::fleet::*;
use crate::poison::{self, Fingerprint};
use crate::prelude::*;
use crate::quota::Usage;
use crate::route::{Cohort, Repeat};

fn digest() -> Digest {
    let busy = Workload {
        running: 3,
        pending_tokens: 700,
        loading_weights: true,
        last_answer_age_ms: Some(12),
        unanswered_ms: None,
    };
    Digest {
        daemon: "router-1".into(),
        address: "10.0.0.1:7000".into(),
        cores: 0.5,
        zone: "zone-1".into(),
        handover_address: "10.0.0.2:701".into(),
        is_cut_off: true,
        interval: Duration::from_millis(250),
        read_ages: vec![Some(Duration::ZERO), None, Some(Duration::from_millis(90))],
        incarnation: u64::MAX,
        draining: true,
        end_offsets: vec![4, 0, 9],
        workloads: BTreeMap::from([(Incarnation::new("server-1", 1_764_000_000_123), busy)]),
        weights: vec![(Incarnation::new("server-1", 9), "m".into(), 4)],
        hot_parts: vec![(9, 120.5), (10, 0.0)],
        refused: vec![Fingerprint(7)],
        link_bytes_moved: 1 << 40,
        link_bytes_by_store: BTreeMap::from([(([10, 0, 0, 9], 80).into(), 1 << 40)]),
        blocked: vec![poison::Blocked {
            fingerprint: Fingerprint(9),
            age: Duration::from_millis(70),
        }],
        sent_at: Duration::from_millis(1 << 33),
        caught_up_age: Some(Duration::ZERO),
        registrations_age: Some(Duration::from_millis(140)),
        settled_versions: vec![Software(0), Software(u64::MAX)],
        quota_keeper: "router-2".into(),
        quota_use: vec![Usage { workspace: "lab".into(), units: 1 << 40 }],
        reject_limits: vec![RejectLimit {
            pool: "engines".into(),
            rejects: 8,
            age: Duration::from_millis(70),
        }],
        limit_statements: vec![
            LimitStatement {
                server: Incarnation::new("server-1", 9),
                per_s: Some(1.7),
                age: Duration::from_millis(70),
            },
            LimitStatement {
                server: Incarnation::new("server-2", 0),
                per_s: None,
                age: Duration::ZERO,
            },
        ],
        named: vec![Naming { model: "m".into(), version: 4, age: Some(Duration::from_millis(70)) }],
        leaving: vec![Incarnation::new("e-1", 9)],
        accounts: vec![account("engines", 2), account("plain", 0)],
        speeds: vec![speed(1), speed(2)],
    }
}

/// The account of a pool with so many workspaces, each with a name of twenty bytes.
fn account(pool: &str, workspaces: usize) -> Account {
    let usage = |number| fairness::Usage {
        workspace: format!("workspace-{number:010}").into(),
        weight: Weight::new(1.25).expect("a valid weight"),
        given_ms_per_s: 8_000.5,
        waiting_ms: 120.0,
    };
    let usages = (0..workspaces).map(usage).collect();
    Account { pool: pool.into(), usages }
}

fn speed(server: u64) -> (Incarnation, capacity::Report) {
    let incarnation = Incarnation::new(format!("i-{server:010}"), 1_764_000_000_123);
    let age = Duration::from_millis(900);
    (incarnation, capacity::Report { factor: 1.75, samples: 20.5, age })
}

fn found(finding: streams::Finding) -> Frame {
    Frame::Streams(streams::Message::Found(Key(4), StreamId(1), finding))
}

#[test]
fn decode_encoded() {
    let records = vec![
        Record { key: "a".into(), offset: 1, value: Some(vec![0, 1]) },
        Record { key: "b".into(), offset: 2, value: None },
    ];
    for frame in [
        Frame::Digest(Box::new(digest())),
        Frame::Fetch("router-1".into(), Topic::Operator, 8),
        Frame::Relay(Relay {
            to: vec![([10, 0, 0, 1], 7_000).into(), ([0, 0, 0, 0, 0, 0, 0, 1], 7_001).into()],
            frame: Box::new(Frame::Fetch("router-1".into(), Topic::Operator, 8)),
        }),
        Frame::Notice(Notice {
            daemon: "router-1".into(),
            incarnation: Incarnation::new("server-1", 4),
            busy: Workload { running: 2, ..Workload::default() },
            parts: vec![7, u64::MAX],
        }),
        Frame::Residency(Update {
            daemon: "router-1".into(),
            holder: Holder::Engine(Incarnation::new("server-1", 4)),
            sequence: 9,
            full: true,
            changes: vec![(7, 0), (8, 13_300)],
        }),
        Frame::FetchResidency("router-2".into(), Holder::Store(([10, 0, 0, 9], 80).into())),
        Frame::Records(Batch { topic: Topic::Servers, from: 1, to: 3, records: records.clone() }),
        Frame::Snapshot(Batch { topic: Topic::Operator, from: 0, to: 3, records }),
        Frame::Streams(streams::Message::Replicate(vec![streams::Binding {
            stream: StreamId::of("lab", "r-1"),
            software: Software::of("engines", "v1"),
            time_left: Duration::from_millis(14_999),
        }])),
        Frame::Streams(streams::Message::Lookup(streams::Lookup {
            daemon: "router-1".into(),
            request: Key(4),
            stream: StreamId(u64::MAX),
            pool: "engines".into(),
        })),
        found(streams::Finding::Unknown),
        found(streams::Finding::Ambiguous),
        found(streams::Finding::Proven(Software(0))),
        found(streams::Finding::Bound(Software(u64::MAX))),
        Frame::Poison(poison::Message::Interruptions(vec![poison::Interruption {
            fingerprint: Fingerprint(u64::MAX),
            parts: vec![Fingerprint::of_part(1), Fingerprint::of_part(2)],
            incarnation: poison::Incarnation::of("server-1", None),
            pool: 8,
            servers: 18,
            run_time: Duration::from_millis(140),
            age: Duration::from_millis(70),
            ran_alone: true,
        }])),
        Frame::Poison(poison::Message::Served(Fingerprint(0))),
        Frame::Poison(poison::Message::Blocked(vec![
            poison::Blocked { fingerprint: Fingerprint(4), age: Duration::ZERO },
            poison::Blocked { fingerprint: Fingerprint(5), age: Duration::from_secs(86_399) },
        ])),
    ] {
        assert_eq!(Frame::decode(&frame.encode()), Ok(frame));
    }
}

/// Bytes by which some accounts and speeds lengthen a digest, before compression.
fn bytes(accounts: Vec<Account>, speeds: Vec<(Incarnation, capacity::Report)>) -> usize {
    let size = |digest: Digest| {
        let relay = Relay { to: Vec::new(), frame: Box::new(Frame::Digest(Box::new(digest))) };
        Frame::Relay(relay).encode().len()
    };
    let without = Digest { accounts: Vec::new(), speeds: Vec::new(), ..digest() };
    size(Digest { accounts, speeds, ..without.clone() }) - size(without)
}

#[test]
fn encode_accounts_bounded() {
    // At most 36 bytes a workspace with a name of twenty, and 48 a server, of which there are 64.
    let pool = bytes(vec![account("engines", 32)], Vec::new());
    assert!(pool <= 32 * 36 + 40, "{pool} bytes");
    let servers = bytes(Vec::new(), (0..64).map(speed).collect());
    assert!(servers <= 64 * 48, "{servers} bytes");
}

#[test]
fn decode_invalid_accounts_refused() {
    let usage = |given_ms_per_s: f64, waiting_ms: f64| {
        let mut account = account("engines", 1);
        account.usages[0].given_ms_per_s = given_ms_per_s;
        account.usages[0].waiting_ms = waiting_ms;
        account
    };
    for account in
        [usage(-1.0, 0.0), usage(0.0, -1.0), usage(0.0, f64::NEG_INFINITY), account("engines", 33)]
    {
        let invalid = Digest { accounts: vec![account.clone()], ..digest() };
        let frame = Frame::Digest(Box::new(invalid));
        assert!(Frame::decode(&frame.encode()).is_err(), "{account:?}");
    }
    let too_many = Digest { accounts: vec![account("engines", 1); 9], ..digest() };
    assert!(Frame::decode(&Frame::Digest(Box::new(too_many)).encode()).is_err());
}

#[test]
fn decode_use_not_finite_refused() {
    let only = Digest { accounts: vec![account("engines", 1)], ..Digest::default() };
    let frame = Frame::Digest(Box::new(Digest { daemon: "router-1".into(), ..only }));
    let bytes = frame.encode();
    let given = 8_000.5_f32.to_le_bytes();
    let at = bytes.windows(4).position(|bytes| bytes == given).expect("the use is encoded");
    for number in [f32::NAN, f32::INFINITY, -1.0] {
        let mut bytes = bytes.clone();
        bytes[at..at + 4].copy_from_slice(&number.to_le_bytes());
        assert!(Frame::decode(&bytes).is_err(), "{number}");
    }
}

#[test]
fn decode_huge_use_is_finite() {
    let mut huge = account("engines", 1);
    huge.usages[0].given_ms_per_s = f64::MAX;
    let frame = Frame::Digest(Box::new(Digest { accounts: vec![huge], ..digest() }));
    let Ok(Frame::Digest(decoded)) = Frame::decode(&frame.encode()) else {
        panic!("a digest was expected");
    };
    assert_eq!(decoded.accounts[0].usages[0].given_ms_per_s, f64::from(f32::MAX));
}

#[test]
fn decode_invalid_speeds_refused() {
    let report = |factor: f32, samples: f32| {
        let (incarnation, report) = speed(1);
        (incarnation, capacity::Report { factor, samples, ..report })
    };
    for speed in [
        report(0.0, 1.0),
        report(-1.0, 1.0),
        report(f32::NAN, 1.0),
        report(f32::INFINITY, 1.0),
        report(1.0, -1.0),
        report(1.0, f32::NAN),
    ] {
        let invalid = Digest { speeds: vec![speed.clone()], ..digest() };
        let frame = Frame::Digest(Box::new(invalid));
        assert!(Frame::decode(&frame.encode()).is_err(), "{speed:?}");
    }
    let too_many = Digest { speeds: (0..65).map(speed).collect(), ..digest() };
    assert!(Frame::decode(&Frame::Digest(Box::new(too_many)).encode()).is_err());
}

#[test]
fn decode_digest_without_id_refused() {
    let without_id = Frame::Digest(Box::new(Digest { daemon: String::new(), ..digest() }));
    assert!(Frame::decode(&without_id.encode()).is_err());
    assert!(Frame::decode(&[]).is_err());
}

quickcheck::quickcheck! {
    fn decode_any_bytes(bytes: Vec<u8>) -> bool {
        match Frame::decode(&bytes) {
            Ok(frame) => Frame::decode(&frame.encode()) == Ok(frame),
            Err(_) => true,
        }
    }
}

// A scheduler that lost the isolated workspaces on the way would choose the salt of before.
#[test]
fn decode_encoded_submission_keeps_its_cohort() {
    for without in [None, Some(0), Some(u64::MAX)] {
        let submission = Submission {
            daemon: "router-1".into(),
            incarnation: 7,
            request: Key(4),
            id: "r-1".into(),
            route: "to-engines".into(),
            repeat: Repeat::Resumable,
            target: Duration::from_millis(600),
            priority: 1,
            max_attempts: 2,
            pool: "engines".into(),
            workspace: None,
            cohort: Cohort { version: 12, without },
            time_left: Duration::from_secs(5),
            prompt: Some(prompt(7, 3)),
            fingerprint: Fingerprint(9),
            is_counted: true,
            draws_on_retry_budget: false,
            software: None,
        };
        let frame = Frame::Submission(Box::new(submission));
        assert_eq!(Frame::decode(&frame.encode()), Ok(frame));
    }
}
