//! Encoding and decoding of frames, also from arbitrary bytes.

use crate::fleet::*;
use crate::poison::{self, Fingerprint};
use crate::prelude::*;
use crate::quota::Usage;

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
    }
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
            max_age: Duration::from_secs(10),
        })),
        Frame::Streams(streams::Message::Found(Key(4), StreamId(0), None)),
        Frame::Streams(streams::Message::Found(Key(4), StreamId(1), Some(Software(0)))),
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
