//! Tests of encoding and decoding frames.

use quickcheck::quickcheck;

use super::*;
use crate::poison::{self, Blocked, Fingerprint};
use crate::prefix::Key;
use crate::prelude::*;

fn digest() -> Digest {
    Digest {
        daemon: "router-0".into(),
        incarnation: 7,
        generation: 3,
        loads: BTreeMap::from([("engine".into(), Load { requests: 1, pending_tokens: 2 })]),
        heat: vec![(Key(u64::MAX), 0.5)],
        copies: vec![Copy { level: Key(1), server: "engine".into(), incarnation: "one".into() }],
        draining_servers: vec!["gone".into()],
        draining: true,
        blocked: vec![Blocked { fingerprint: Fingerprint(5), age: Duration::from_millis(70) }],
        ledger_next: 8,
    }
}

#[test]
fn decode_round_trip() {
    let blocked = vec![Blocked { fingerprint: Fingerprint(9), age: Duration::from_secs(86_399) }];
    let manifest = "{}".into();
    let snapshot = Snapshot { generation: 4, manifest, blocked, ..Snapshot::default() };
    let served = poison::Message::Served(Fingerprint(6));
    for frame in [
        Frame::Digest(digest()),
        Frame::SnapshotRequest("r".into()),
        Frame::Snapshot(snapshot),
        Frame::Poison(served),
    ] {
        assert_eq!(Frame::decode(&frame.clone().encode()), Ok(frame));
    }
}

#[test]
fn decode_refuses_invalid_frames() {
    let unnamed = Frame::Digest(Digest { daemon: String::new(), ..digest() });
    let infinite_rate = Frame::Digest(Digest { heat: vec![(Key(1), f64::INFINITY)], ..digest() });
    for frame in [unnamed, infinite_rate] {
        assert!(Frame::decode(&frame.encode()).is_err());
    }
    assert!(Frame::decode(&[]).is_err());
}

quickcheck! {
    fn decode_any_bytes(bytes: Vec<u8>) -> bool {
        match Frame::decode(&bytes) {
            Ok(frame) => Frame::decode(&frame.clone().encode()) == Ok(frame),
            Err(_) => true,
        }
    }
}
