//! Numbers at the ends of their types, in records of the log, reports of engines and frames of peers. Nothing overflows,
//! and requests are dispatched all the same.

use super::fixture::{Fixture, find_dispatch, report};
use crate::attempt::Outcome;
use crate::control::Message;
use crate::control::message::{Read, Record, Stream};
use crate::lease;
use crate::membership::{CacheEvent, Change, Report};
use crate::peer::{Copy, Digest, Frame, Load, Snapshot};
use crate::poison::{self, Blocked, Fingerprint};
use crate::prefix::Key;
use crate::prelude::*;

const NUMBERS: [u64; 6] = [0, 1, u32::MAX as u64, 1 << 32, 1 << 63, u64::MAX];

fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn check_dispatches(fixture: &mut Fixture, what: u64) {
    for _ in 0..3 {
        let (request, effects) = fixture.send_request("w", "v1");
        let dispatch = find_dispatch(&effects);
        assert!(dispatch.is_some(), "{what}: {effects:?}");
        fixture.begin_answer(request, 1);
        fixture.end_attempt(request, 1, Outcome::Complete(None));
    }
}

fn extreme_report(number: u64, ms: f64) -> Report {
    let event = |seq| CacheEvent { seq, change: Change::Stored, block: number };
    Report {
        from: number,
        running: narrow(number),
        waiting: narrow(number),
        queued_tokens: number,
        prefill_tokens_per_s: narrow(number),
        import_ms: Some(ms),
        next_seq: number,
        events: [0, 1, number / 2, number.saturating_sub(1), number].map(event).to_vec(),
        ..report("one", "v1")
    }
}

#[test]
fn reports_with_extreme_numbers_overflow_nothing() {
    for number in NUMBERS {
        let mut fixture = Fixture::new();
        for ms in [0.0, -1.0, f64::MAX, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE] {
            for engine in ["engine-0", "engine-1"] {
                fixture.deliver_report(engine, extreme_report(number, ms));
            }
            fixture.simulation.now += Duration::from_millis(100);
            fixture.apply(Message::Tick);
        }
        check_dispatches(&mut fixture, number);
    }
}

fn frames(number: u64) -> Vec<Frame> {
    let age = Duration::from_millis(number);
    let blocked = vec![Blocked { fingerprint: Fingerprint(u64::MAX - 9), age }];
    let load = Load { requests: narrow(number), pending_tokens: narrow(number) };
    let copy = Copy { level: Key(number), server: "engine-0".into(), incarnation: "one".into() };
    let digest = |daemon: &str| Digest {
        daemon: daemon.into(),
        incarnation: number,
        generation: number,
        loads: BTreeMap::from([("engine-0".into(), load)]),
        heat: vec![(Key(number), number as f64), (Key(7), f64::from(f32::MAX))],
        copies: vec![copy.clone()],
        draining_servers: Vec::new(),
        draining: false,
        blocked: blocked.clone(),
        ledger_next: number,
    };
    let snapshot = Snapshot {
        manifest_next: number,
        generation: number,
        published: "p".into(),
        manifest: String::new(),
        ledger_next: number,
        ledger_time_ms: number,
        ledger: "[]".into(),
        blocked: blocked.clone(),
    };
    let interruption = poison::Interruption {
        fingerprint: Fingerprint(u64::MAX - 8),
        parts: vec![Fingerprint(number)],
        incarnation: poison::Incarnation::of("engine-0", None),
        pool: number,
        servers: narrow(number),
        run_time: age,
        age,
        ran_alone: false,
    };
    vec![
        Frame::Digest(digest("router-8")),
        Frame::Digest(digest("router-9")),
        Frame::SnapshotRequest("router-8".into()),
        Frame::Snapshot(snapshot),
        Frame::Poison(poison::Message::Interruptions(vec![interruption; 2])),
        Frame::Poison(poison::Message::Blocked(blocked)),
    ]
}

#[test]
fn frames_with_extreme_numbers_overflow_nothing() {
    for number in NUMBERS {
        let mut fixture = Fixture::new();
        for frame in frames(number) {
            let frame = Frame::decode(&frame.encode()).expect("it is well-formed");
            fixture.apply(Message::Frame(frame));
            fixture.simulation.now += Duration::from_millis(100);
            fixture.apply(Message::Tick);
        }
        check_dispatches(&mut fixture, number);
    }
}

#[test]
fn records_with_extreme_numbers_overflow_nothing() {
    for number in NUMBERS {
        let mut fixture = Fixture::new();
        for stream in Stream::ALL {
            for text in [
                "",
                "{}",
                r#"{"format":1,"kind":"renew","daemon":"d","incarnation":1,"sequence":1,"after":null,"fence":18446744073709551615}"#,
            ] {
                let record = Record { offset: number, time_ms: number, text: text.into() };
                let read = Read {
                    first: number,
                    next: number,
                    retention_s: number,
                    records: vec![record],
                };
                fixture.apply(Message::Records(stream, read));
                fixture.simulation.now += Duration::from_millis(100);
                fixture.apply(Message::Tick);
            }
        }
        check_dispatches(&mut fixture, number);
    }
}

/// The fence of a lease is the offset of a record, so none is larger than that of the record that names it.
#[test]
fn lease_record_with_fence_past_its_offset_is_unreadable() {
    let mut state = lease::State::new("d".into(), 1, lease::Terms::DEFAULT);
    let renewal =
        |fence| lease::Record::new("d", 1, 1, None, None, lease::Body::Renew { fence }).encode();
    assert_eq!(state.fold(Time::ZERO, 3, &renewal(4)), None);
    assert_eq!(state.fold(Time::ZERO, 4, &renewal(u64::MAX)), None);
    assert_eq!(state.holder(), None);
    assert_eq!(state.fold(Time::ZERO, 5, &renewal(5)), Some(()));
    assert_eq!(state.holder().map(|holder| holder.fence), Some(5));
}
