//! Keyed and unkeyed calls over thousands of seeded histories: at most one run, true refusals,
//! one receipt.

use super::world::{Answer, Faults, World};
use crate::control::{AppendResult, Message, Policy, Read, Record, Stream};
use crate::peer::Frame;
use crate::prelude::*;

const HISTORIES: u64 = 2_000;
const STEPS: usize = 250;
const KEYS: u32 = 4;

const FAULTS: Faults = Faults { append: 30, run: 30, frame: 20, kill: 8, pause: 8 };

fn history(seed: u64, nodes: usize, faults: Faults) -> World {
    let mut world = World::new(seed, nodes, faults);
    for _ in 0..STEPS {
        if world.rng.u32(0..12) == 0 {
            let index = world.rng.usize(0..nodes);
            let key = format!("k{}", world.rng.u32(0..KEYS));
            let key = (world.rng.u32(0..5) > 0).then_some(key);
            world.pay(index, key.as_deref());
        }
        if world.rng.u32(0..100) == 0 {
            world.log_down = !world.log_down;
        }
        world.step();
    }
    world.quiet();
    world
}

/// Every rule that a history must obey.
fn check(seed: u64, world: &World) {
    let mut runs: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for (number, (_, key)) in world.runs.iter().enumerate() {
        if !key.is_empty() {
            runs.entry(key).or_default().push(number as u64 + 1);
        }
    }
    for (key, numbers) in &runs {
        assert_eq!(numbers.len(), 1, "seed {seed}: {key} ran as {numbers:?}");
    }
    for (request, answer) in &world.answers {
        let key = world.asked[request].as_str();
        let own_runs = world.runs.iter().filter(|(ran, _)| ran == request).count();
        match answer {
            Answer::Run(_) => assert_eq!(own_runs, 1, "seed {seed}: {request:?}"),
            Answer::Replay(receipt) => {
                let number = receipt.body.as_deref().and_then(|body| body.parse().ok());
                assert_eq!(number, runs[key].first().copied(), "seed {seed}: {request:?}");
            }
            Answer::Refused(code, Execution::NotRun) => {
                assert_eq!(own_runs, 0, "seed {seed}: {request:?} answered {code} and ran");
            }
            Answer::Refused(..) => assert!(own_runs <= 1, "seed {seed}: {request:?}"),
        }
    }
}

#[test]
fn history_runs_at_most_once() {
    let (mut answered, mut replayed, mut unknown, mut ran) = (0, 0, 0, 0);
    for seed in 0..HISTORIES {
        let world = history(seed, 3, FAULTS);
        check(seed, &world);
        ran += world.runs.len();
        for answer in world.answers.values() {
            match answer {
                Answer::Run(_) => answered += 1,
                Answer::Replay(_) => replayed += 1,
                Answer::Refused(_, Execution::Unknown) => unknown += 1,
                Answer::Refused(..) => {}
            }
        }
    }
    // The histories must have tried what they are for.
    assert!(answered > 1_000 && replayed > 500 && unknown > 500 && ran > answered);
}

#[test]
fn history_without_faults_answers_all() {
    for seed in 0..200 {
        let world = history(seed, 3, Faults::default());
        check(seed, &world);
        let open = world.asked.len() - world.answers.len();
        assert_eq!(open, 0, "seed {seed}: requests without an answer");
    }
}

#[test]
fn history_same_seed_same_end() {
    let (one, two) = (history(7, 3, FAULTS), history(7, 3, FAULTS));
    assert_eq!(one.runs, two.runs);
    assert_eq!(one.answers, two.answers);
    assert_eq!(one.log, two.log);
}

#[test]
fn claim_landing_late_is_released() {
    let mut world = World::new(1, 2, Faults::default());
    // The append's answer is lost and the record is held back.
    world.log_down = true;
    let request = world.pay(0, Some("k"));
    assert_eq!(world.answers.get(&request), None);
    world.actions.clear();
    world.tell(0, Message::Appended { number: 1, result: AppendResult::Unknown });
    for _ in 0..10 {
        world.now += Duration::from_millis(500);
        world.tell(1, Message::Tick);
    }
    world.actions.clear();
    world.tell(0, Message::Tick);
    let refused = Answer::Refused(Code::LogUnavailable, Execution::NotRun);
    assert_eq!(world.answers[&request], refused);
    // It lands after all: first unknown to others, then released, then free.
    world.log_down = false;
    let claim = crate::ledger::Batch::new(vec![crate::ledger::Entry::Claim {
        id: crate::ledger::ClaimId { daemon: "router-0".into(), incarnation: 0, sequence: 1 },
        key: crate::ledger::Key { workspace: "w".into(), service: "pay".into(), key: "k".into() },
        digest: "digest".into(),
        window_s: 1_000,
    }]);
    if world.log[&Stream::Ledger].is_empty() {
        world.land(Stream::Ledger, claim.encode());
    }
    world.read(1, Stream::Ledger);
    let meanwhile = world.pay(1, Some("k"));
    let unknown = Answer::Refused(Code::KeyOutcomeUnknown, Execution::Unknown);
    assert_eq!(world.answers[&meanwhile], unknown);
    world.quiet();
    let after = world.pay(1, Some("k"));
    world.quiet();
    assert!(matches!(world.answers[&after], Answer::Run(_)), "{:?}", world.answers);
    assert_eq!(world.runs.len(), 1);
}

#[test]
fn claim_refused_while_behind() {
    let mut world = World::new(1, 1, Faults::default());
    for _ in 0..3 {
        world.land(Stream::Ledger, "not read yet".into());
    }
    world.kill(0);
    let next = world.nodes[0].next_offset(Stream::Ledger);
    assert!(next < 3, "the first read returned everything");
    let request = world.pay(0, Some("k"));
    assert_eq!(world.answers[&request], Answer::Refused(Code::LedgerBehind, Execution::NotRun));
    let unkeyed = world.pay(0, None);
    assert_eq!(world.answers.get(&unkeyed), None, "calls without a key go on");
}

/// Two daemons of three started while only the ledger's stream failed. Each heard the other first, who knew
/// of no key at all, and took that for what is known: neither asked the third, and callers who came back
/// for a receipt were refused (2007) for as long as the outage lasted.
#[test]
fn receipts_are_learnt_from_the_peer_that_has_them() {
    for knows in 0..3 {
        let mut world = World::new(1, 3, Faults::default());
        world.pay(knows, Some("k"));
        world.quiet();
        world.log_down = true;
        let started: Vec<usize> = (0..3).filter(|index| *index != knows).collect();
        for index in &started {
            world.kill(*index);
        }
        world.log_down = false;
        for index in &started {
            world.read(*index, Stream::Manifest);
        }
        // They hear each other's folded state before anything else.
        let empty = world.nodes[started[0]].snapshot(world.now);
        world.tell(started[1], Message::Frame(Frame::Snapshot(empty)));
        let empty = world.nodes[started[1]].snapshot(world.now);
        world.tell(started[0], Message::Frame(Frame::Snapshot(empty)));
        world.exchange(30);
        for index in started {
            let again = world.pay(index, Some("k"));
            let answer = &world.answers[&again];
            assert!(matches!(answer, Answer::Replay(_)), "router-{index} of {knows}: {answer:?}");
        }
    }
}

/// A daemon that had just started, or had been frozen, had no fresh word of any peer, and took that for the
/// claimant's end: it told callers for good that the outcome was not learnt (3003, no time to come back),
/// while the call was running at a peer and its receipt came a moment later.
#[test]
fn claim_of_a_peer_not_heard_yet_is_in_progress() {
    let in_progress = Answer::Refused(Code::KeyInProgress, Execution::Unknown);
    let unknown = Answer::Refused(Code::KeyOutcomeUnknown, Execution::Unknown);
    for frozen in [false, true] {
        let mut world = World::new(1, 2, Faults::default());
        world.quiet();
        let lifetime = Policy::default().digest_lifetime;
        world.pay(0, Some("k"));
        world.read(0, Stream::Ledger);
        world.actions.clear();
        if frozen {
            world.now += lifetime * 10;
        } else {
            world.kill(1);
        }
        while world.nodes[1].next_offset(Stream::Ledger) < 1 {
            world.read(1, Stream::Ledger);
        }
        let early = world.pay(1, Some("k"));
        assert_eq!(world.answers[&early], in_progress, "frozen {frozen}: nobody was heard yet");
        for _ in 0..6 {
            world.now += lifetime / 6;
            world.tell(1, Message::Tick);
        }
        world.actions.clear();
        let late = world.pay(1, Some("k"));
        assert_eq!(world.answers[&late], unknown, "frozen {frozen}: it listened and heard nothing");
    }
}

#[test]
fn claim_refused_on_short_retention() {
    let mut world = World::new(1, 1, Faults::default());
    let read = Read { first: 0, next: 0, retention_s: 999, records: Vec::new() };
    world.tell(0, Message::Records(Stream::Ledger, read));
    let request = world.pay(0, Some("k"));
    assert_eq!(world.answers[&request], Answer::Refused(Code::LogUnavailable, Execution::NotRun));
}

#[test]
fn key_forgotten_after_its_window() {
    let mut world = World::new(1, 2, Faults::default());
    world.pay(0, Some("k"));
    world.quiet();
    world.now += Duration::from_secs(1_001);
    world.pay(1, Some("other"));
    world.quiet();
    let again = world.pay(1, Some("k"));
    world.quiet();
    assert!(matches!(world.answers[&again], Answer::Run(_)));
}

#[test]
fn unreadable_record_skipped_by_all() {
    let mut world = World::new(1, 2, Faults::default());
    world.land(Stream::Ledger, "{\"format\":9}".into());
    world.land(Stream::Ledger, "\u{0}".into());
    world.pay(0, Some("k"));
    world.quiet();
    for node in &world.nodes {
        assert_eq!(node.counts().unreadable_records, 2);
        assert_eq!(node.ledger.len(), 1);
    }
    let gap = Record { offset: 99, time_ms: 0, text: String::new() };
    let read = Read { first: 0, next: 100, retention_s: 1, records: vec![gap] };
    let before = world.nodes[0].next_offset(Stream::Ledger);
    world.tell(0, Message::Records(Stream::Ledger, read));
    assert_eq!(world.nodes[0].next_offset(Stream::Ledger), before, "a gap is not folded over");
}
