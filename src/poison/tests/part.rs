//! Parts of prompts that crash servers.

use super::*;

const PART: Fingerprint = Fingerprint(1_000);
const SHARED: Fingerprint = Fingerprint(1_001);

/// The crash of a server, 1 s after that of the server before it, which interrupts a request with these parts.
fn crash(state: &mut State, server: u64, request: u64, parts: &[Fingerprint]) -> Vec<Fingerprint> {
    let interruption = with_parts(server, request, parts);
    let now = ms(1_000 * server);
    state.record_interruptions(now, std::slice::from_ref(&interruption));
    state.block_parts(now, &[interruption])
}

fn with_parts(server: u64, request: u64, parts: &[Fingerprint]) -> Interruption {
    Interruption { parts: parts.to_vec(), ..interruption(Fingerprint(10 + request), server) }
}

#[test]
fn block_parts_third_crash_of_different_requests_blocks() {
    let mut state = State::default();
    assert!(crash(&mut state, 1, 1, &[PART]).is_empty());
    assert!(!state.serializes_part(PART));
    assert!(crash(&mut state, 2, 2, &[PART]).is_empty());
    assert!(state.serializes_part(PART));
    assert_eq!(crash(&mut state, 3, 3, &[PART]), [PART]);
    assert!(state.is_blocked(PART) && !state.is_blocked(Fingerprint(13)));
}

#[test]
fn block_parts_crashes_of_one_request_are_no_evidence() {
    let mut state = State::default();
    for server in 1..=10 {
        assert!(crash(&mut state, server, 1, &[PART]).is_empty());
    }
}

#[test]
fn block_parts_runs_side_by_side_are_no_evidence() {
    let mut state = State::default();
    let interruptions = (1..=10).map(|server| Interruption {
        run_time: ms(500),
        age: ms(400 - 40 * server),
        ..with_parts(server, server, &[PART])
    });
    let interruptions: Vec<Interruption> = interruptions.collect();
    state.record_interruptions(ms(1_000), &interruptions);
    assert!(state.block_parts(ms(1_000), &interruptions).is_empty());
    assert!(!state.serializes_part(PART));
}

#[test]
fn clear_part_crashes_before_no_longer_count() {
    let mut state = State::default();
    for server in [1, 2] {
        crash(&mut state, server, server, &[PART]);
    }
    assert!(state.clear_part(PART));
    for server in [3, 4] {
        assert!(crash(&mut state, server, server, &[PART]).is_empty());
    }
    assert_eq!(crash(&mut state, 5, 5, &[PART]), [PART]);
}

#[test]
fn block_parts_of_two_always_together_the_last_is_blocked_and_then_the_first() {
    let mut state = State::default();
    let blocked: Vec<Vec<Fingerprint>> =
        (1..=3).map(|server| crash(&mut state, server, server, &[SHARED, PART])).collect();
    assert_eq!(blocked, [vec![], vec![], vec![PART]]);
    let other = Fingerprint(1_002);
    assert_eq!(crash(&mut state, 4, 4, &[SHARED, other]), [SHARED]);
}

#[test]
fn block_parts_part_that_was_once_beside_the_cause_is_not_blocked() {
    let mut state = State::default();
    crash(&mut state, 1, 1, &[PART]);
    for server in [2, 3] {
        crash(&mut state, server, server, &[SHARED, PART]);
    }
    assert!(state.is_blocked(PART));
    for server in [4, 5] {
        assert!(crash(&mut state, server, server, &[SHARED]).is_empty());
    }
}

// A request that returns is blocked by itself. Its crashes still count against its part.
#[test]
fn block_parts_crash_of_a_blocked_request_counts() {
    let mut state = State::default();
    for server in 1..=3 {
        crash(&mut state, server, 1, &[PART]);
    }
    assert!(state.is_blocked(Fingerprint(11)));
    assert!(crash(&mut state, 4, 2, &[PART]).is_empty());
    assert_eq!(crash(&mut state, 5, 3, &[PART]), [PART]);
}

#[test]
fn interruptions_carry_parts_on_which_no_answer_has_begun() {
    let mut state = State::default();
    for server in [1, 2] {
        crash(&mut state, server, server, &[SHARED, PART]);
    }
    state.clear_part(SHARED);
    let mut successor = State::default();
    successor.record_interruptions(ms(2_500), &state.interruptions(ms(2_500)));
    assert!(successor.serializes_part(PART) && !successor.serializes_part(SHARED));
    assert_eq!(crash(&mut successor, 3, 3, &[SHARED, PART]), [PART]);
}
