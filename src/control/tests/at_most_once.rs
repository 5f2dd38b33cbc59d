//! Calls with and without an idempotency key over seeded histories. A key runs at most once, a
//! refusal reports correctly whether the call ran, and a replay returns the receipt of the run.

use super::simulation::{Answer, Faults, Simulation};
use crate::control::{AppendResult, Message, Policy, Read, Record, Stream};
use crate::peer::Frame;
use crate::prelude::*;

const HISTORY_COUNT: u64 = 2_000;
const STEPS_PER_HISTORY: usize = 250;
const KEY_COUNT: u32 = 4;

const FAULTS: Faults = Faults {
    append_percent: 30,
    run_percent: 30,
    frame_percent: 20,
    restart_per_mille: 8,
    pause_per_mille: 8,
};

fn run_history(seed: u64, nodes: usize, faults: Faults) -> Simulation {
    let mut simulation = Simulation::new(seed, nodes, faults);
    for _ in 0..STEPS_PER_HISTORY {
        if simulation.rng.u32(0..12) == 0 {
            let index = simulation.rng.usize(0..nodes);
            let key = format!("k{}", simulation.rng.u32(0..KEY_COUNT));
            let key = (simulation.rng.u32(0..5) > 0).then_some(key);
            simulation.send_payment(index, key.as_deref());
        }
        if simulation.rng.u32(0..100) == 0 {
            simulation.log_down = !simulation.log_down;
        }
        simulation.step();
    }
    simulation.settle();
    simulation
}

/// Checks the invariants of a history.
fn check_invariants(seed: u64, simulation: &Simulation) {
    let mut runs: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for (number, (_, key)) in simulation.runs.iter().enumerate() {
        if !key.is_empty() {
            runs.entry(key).or_default().push(number as u64 + 1);
        }
    }
    for (key, numbers) in &runs {
        assert_eq!(numbers.len(), 1, "seed {seed}: {key} ran as {numbers:?}");
    }
    for (request, answer) in &simulation.answers {
        let key = simulation.keys_by_request[request].as_str();
        let run_count = simulation.runs.iter().filter(|(ran, _)| ran == request).count();
        match answer {
            Answer::Run(_) => assert_eq!(run_count, 1, "seed {seed}: {request:?}"),
            Answer::Replay(receipt) => {
                let number = receipt.body.as_deref().and_then(|body| body.parse().ok());
                assert_eq!(number, runs[key].first().copied(), "seed {seed}: {request:?}");
            }
            Answer::Refused(code, Execution::NotRun) => {
                assert_eq!(run_count, 0, "seed {seed}: {request:?} answered {code} and ran");
            }
            Answer::Refused(..) => assert!(run_count <= 1, "seed {seed}: {request:?}"),
        }
    }
}

#[test]
fn history_runs_at_most_once() {
    let (mut answered, mut replayed, mut unknown, mut ran) = (0, 0, 0, 0);
    for seed in 0..HISTORY_COUNT {
        let simulation = run_history(seed, 3, FAULTS);
        check_invariants(seed, &simulation);
        ran += simulation.runs.len();
        for answer in simulation.answers.values() {
            match answer {
                Answer::Run(_) => answered += 1,
                Answer::Replay(_) => replayed += 1,
                Answer::Refused(_, Execution::Unknown) => unknown += 1,
                Answer::Refused(..) => {}
            }
        }
    }
    // Check that the histories covered each kind of answer.
    assert!(answered > 1_000 && replayed > 500 && unknown > 500 && ran > answered);
}

#[test]
fn history_without_faults_answers_all() {
    for seed in 0..200 {
        let simulation = run_history(seed, 3, Faults::default());
        check_invariants(seed, &simulation);
        let unanswered = simulation.keys_by_request.len() - simulation.answers.len();
        assert_eq!(unanswered, 0, "seed {seed}: requests without an answer");
    }
}

#[test]
fn history_same_seed_same_result() {
    let (first, second) = (run_history(7, 3, FAULTS), run_history(7, 3, FAULTS));
    assert_eq!(first.runs, second.runs);
    assert_eq!(first.answers, second.answers);
    assert_eq!(first.log, second.log);
}

#[test]
fn claim_written_late_is_released() {
    let mut simulation = Simulation::new(1, 2, Faults::default());
    // The answer of the append is lost and the record is not yet on the log.
    simulation.log_down = true;
    let request = simulation.send_payment(0, Some("k"));
    assert_eq!(simulation.answers.get(&request), None);
    simulation.pending.clear();
    simulation.deliver(0, Message::Appended { number: 1, result: AppendResult::Unknown });
    for _ in 0..10 {
        simulation.now += Duration::from_millis(500);
        simulation.deliver(1, Message::Tick);
    }
    simulation.pending.clear();
    simulation.deliver(0, Message::Tick);
    let refused = Answer::Refused(Code::LogUnavailable, Execution::NotRun);
    assert_eq!(simulation.answers[&request], refused);
    // The claim is written late. Its outcome is unknown at first, until the claim is released.
    simulation.log_down = false;
    let claim = crate::ledger::Batch::new(vec![crate::ledger::Entry::Claim {
        id: crate::ledger::ClaimId { daemon: "router-0".into(), incarnation: 0, sequence: 1 },
        key: crate::ledger::Key { workspace: "w".into(), service: "pay".into(), key: "k".into() },
        digest: "digest".into(),
        window_s: 1_000,
    }]);
    if simulation.log[&Stream::Ledger].is_empty() {
        simulation.append_record(Stream::Ledger, claim.encode());
    }
    simulation.read(1, Stream::Ledger);
    let early = simulation.send_payment(1, Some("k"));
    let unknown = Answer::Refused(Code::KeyOutcomeUnknown, Execution::Unknown);
    assert_eq!(simulation.answers[&early], unknown);
    simulation.settle();
    let after = simulation.send_payment(1, Some("k"));
    simulation.settle();
    assert!(matches!(simulation.answers[&after], Answer::Run(_)), "{:?}", simulation.answers);
    assert_eq!(simulation.runs.len(), 1);
}

#[test]
fn claim_refused_while_ledger_is_behind() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    for _ in 0..3 {
        simulation.append_record(Stream::Ledger, "not read yet".into());
    }
    simulation.restart(0);
    let next = simulation.nodes[0].next_offset(Stream::Ledger);
    assert!(next < 3, "the first read returned all records");
    let request = simulation.send_payment(0, Some("k"));
    assert_eq!(
        simulation.answers[&request],
        Answer::Refused(Code::LedgerBehind, Execution::NotRun)
    );
    let unkeyed = simulation.send_payment(0, None);
    assert_eq!(simulation.answers.get(&unkeyed), None, "calls without a key need no ledger");
}

/// Guards against taking an empty snapshot for the whole ledger. Two of three daemons restart while only the
/// ledger stream is down, and each receives the other's empty snapshot first. They must still ask the third
/// daemon. Otherwise they refuse retries (2007) until the outage ends.
#[test]
fn receipts_fetched_from_the_peer_that_has_them() {
    for receipt_holder in 0..3 {
        let mut simulation = Simulation::new(1, 3, Faults::default());
        simulation.send_payment(receipt_holder, Some("k"));
        simulation.settle();
        simulation.log_down = true;
        let restarted: Vec<usize> = (0..3).filter(|index| *index != receipt_holder).collect();
        for index in &restarted {
            simulation.restart(*index);
        }
        simulation.log_down = false;
        for index in &restarted {
            simulation.read(*index, Stream::Manifest);
        }
        // The restarted daemons receive each other's snapshot first.
        let empty = simulation.nodes[restarted[0]].snapshot(simulation.now);
        simulation.deliver(restarted[1], Message::Frame(Frame::Snapshot(empty)));
        let empty = simulation.nodes[restarted[1]].snapshot(simulation.now);
        simulation.deliver(restarted[0], Message::Frame(Frame::Snapshot(empty)));
        simulation.exchange_messages(30);
        for index in restarted {
            let again = simulation.send_payment(index, Some("k"));
            let answer = &simulation.answers[&again];
            assert!(
                matches!(answer, Answer::Replay(_)),
                "router-{index}, receipt at router-{receipt_holder}: {answer:?}"
            );
        }
    }
}

/// Guards against taking a claimant for dead before its digests could arrive. A daemon that just started or
/// was frozen has no live peers. It must not answer that the outcome is unknown (3003, without a retry-after
/// time) while the call may be running at a peer.
#[test]
fn claim_of_unheard_peer_is_in_progress() {
    let in_progress = Answer::Refused(Code::KeyInProgress, Execution::Unknown);
    let unknown = Answer::Refused(Code::KeyOutcomeUnknown, Execution::Unknown);
    for frozen in [false, true] {
        let mut simulation = Simulation::new(1, 2, Faults::default());
        simulation.settle();
        let lifetime = Policy::default().digest_lifetime;
        simulation.send_payment(0, Some("k"));
        simulation.read(0, Stream::Ledger);
        simulation.pending.clear();
        if frozen {
            simulation.now += lifetime * 10;
        } else {
            simulation.restart(1);
        }
        while simulation.nodes[1].next_offset(Stream::Ledger) < 1 {
            simulation.read(1, Stream::Ledger);
        }
        let early = simulation.send_payment(1, Some("k"));
        assert_eq!(
            simulation.answers[&early], in_progress,
            "frozen {frozen}: no digest could arrive yet"
        );
        for _ in 0..6 {
            simulation.now += lifetime / 6;
            simulation.deliver(1, Message::Tick);
        }
        simulation.pending.clear();
        let late = simulation.send_payment(1, Some("k"));
        assert_eq!(
            simulation.answers[&late], unknown,
            "frozen {frozen}: no digest arrived within the digest lifetime"
        );
    }
}

#[test]
fn claim_refused_on_short_retention() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    let read = Read { first: 0, next: 0, retention_s: 999, records: Vec::new() };
    simulation.deliver(0, Message::Records(Stream::Ledger, read));
    let request = simulation.send_payment(0, Some("k"));
    assert_eq!(
        simulation.answers[&request],
        Answer::Refused(Code::LogUnavailable, Execution::NotRun)
    );
}

#[test]
fn key_forgotten_after_its_window() {
    let mut simulation = Simulation::new(1, 2, Faults::default());
    simulation.send_payment(0, Some("k"));
    simulation.settle();
    simulation.now += Duration::from_secs(1_001);
    simulation.send_payment(1, Some("other"));
    simulation.settle();
    let again = simulation.send_payment(1, Some("k"));
    simulation.settle();
    assert!(matches!(simulation.answers[&again], Answer::Run(_)));
}

#[test]
fn unreadable_record_skipped_by_all() {
    let mut simulation = Simulation::new(1, 2, Faults::default());
    simulation.append_record(Stream::Ledger, "{\"format\":9}".into());
    simulation.append_record(Stream::Ledger, "\u{0}".into());
    simulation.send_payment(0, Some("k"));
    simulation.settle();
    for node in &simulation.nodes {
        assert_eq!(node.counts().unreadable_records, 2);
        assert_eq!(node.ledger.len(), 1);
    }
    let gap = Record { offset: 99, time_ms: 0, text: String::new() };
    let read = Read { first: 0, next: 100, retention_s: 1, records: vec![gap] };
    let before = simulation.nodes[0].next_offset(Stream::Ledger);
    simulation.deliver(0, Message::Records(Stream::Ledger, read));
    assert_eq!(
        simulation.nodes[0].next_offset(Stream::Ledger),
        before,
        "a read that leaves a gap is not applied"
    );
}
