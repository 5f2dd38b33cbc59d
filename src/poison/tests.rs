//! Tests of crash attribution and detection through messages alone.

use std::net::SocketAddr;

use super::*;
use crate::prelude::*;

mod isolated;
mod part;
mod probes;

const FATAL: Fingerprint = Fingerprint(1);
const BYSTANDER: Fingerprint = Fingerprint(2);

fn ms(milliseconds: u64) -> Time {
    Duration::from_millis(milliseconds)
}

fn interruption(fingerprint: Fingerprint, server: u64) -> Interruption {
    let incarnation = Incarnation { server, start: Some(1) };
    Interruption {
        fingerprint,
        parts: Vec::new(),
        incarnation,
        pool: 1,
        servers: 18,
        run_time: ms(100),
        age: ms(0),
        ran_alone: false,
    }
}

fn endpoint(start: Option<u64>) -> Endpoint {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    Endpoint { incarnation: Incarnation { server: 1, start }, address, pool: 1, servers: 18 }
}

fn disconnect(fingerprint: Fingerprint) -> Disconnect {
    Disconnect { fingerprint, parts: Vec::new(), run_time: ms(100), ran_alone: false }
}

#[test]
fn record_interruption_same_crash_reported_twice_counts_once() {
    let mut state = State::default();
    for at in 0..10 {
        assert!(!state.record_interruption(ms(1_000 + at), interruption(FATAL, 1)));
    }
    assert!(!state.is_near_block_threshold(FATAL));
}

#[test]
fn record_interruption_long_runs_while_servers_crash_often_is_chance() {
    let mut state = State::default();
    for server in 0..30 {
        let other =
            Interruption { run_time: ms(2_000), ..interruption(Fingerprint(100 + server), server) };
        assert!(!state.record_interruption(ms(1_000 + 500 * server), other));
    }
    for (server, at) in [(3, 2_500), (9, 5_500), (15, 8_500)] {
        let beside = Interruption { run_time: ms(2_000), ..interruption(BYSTANDER, server) };
        assert!(
            !state.record_interruption(ms(at), beside),
            "its presence is as likely as anywhere"
        );
    }
}

#[test]
fn record_interruption_long_runs_in_a_small_pool_are_blocked_at_the_sixth_crash() {
    let mut state = State::default();
    let blocked = (1..=6).map(|server| {
        let long = Interruption { run_time: ms(2_000), servers: 3, ..interruption(FATAL, server) };
        state.record_interruption(ms(2_500 * server), long)
    });
    let blocked: Vec<bool> = blocked.collect();
    assert_eq!(blocked, [false, false, false, false, false, true]);
}

/// A completion crashed four engines of five instead of being blocked at three. The daemon retried
/// it at once at three, which crashed within 10 ms, 2 ms after each attempt. As the only crashes of
/// that time they set the crash rate against which they were judged, so an unrelated request passed
/// for likely enough to be present (5e-5).
#[test]
fn record_interruption_in_a_row_in_a_small_pool_is_blocked_at_the_third_crash() {
    let mut state = State::default();
    let blocked = [309, 312, 316].map(|at| {
        let short = Interruption { run_time: ms(2), servers: 5, ..interruption(FATAL, at) };
        state.record_interruption(ms(at), short)
    });
    assert_eq!(blocked, [false, false, true]);
}

#[test]
fn evidence_only_where_the_daemon_decided_on_the_block() {
    let mut state = State::default();
    for (server, at) in [(1, 1_000), (2, 1_500), (3, 2_000)] {
        assert_eq!(state.evidence(FATAL), None);
        state.record_interruption(ms(at), interruption(FATAL, server));
    }
    let evidence = state.evidence(FATAL).expect("the request is blocked");
    assert_eq!(evidence.crashes, 3);
    assert!(evidence.expected > 0.0 && evidence.expected <= 1e-4, "{evidence:?}");
    state.merge_block(ms(3_000), Blocked { fingerprint: BYSTANDER, age: ms(0) });
    assert_eq!(state.evidence(BYSTANDER), None);
}

/// One of 1,597 requests was present at four of five spontaneous crashes of 18 engines, 160 ms to
/// 1.94 s after it had been sent there. That is unlikely for one given request (1e-5), but not for
/// any one of all that were interrupted.
#[test]
fn record_interruption_one_of_many_is_at_several_crashes_by_chance() {
    for (beside, is_blocked) in [(0, true), (10, false)] {
        let mut state = State::default();
        state.record_interruption(ms(21_000), interruption(FATAL, 9));
        let ends = [(1, 19_070, 860), (2, 19_690, 410), (3, 20_010, 160), (4, 22_030, 1_500)];
        let blocked = ends.map(|(server, at, ran)| {
            for other in 0..beside {
                let other = Fingerprint(100 * server + other);
                state.record_interruption(
                    ms(at),
                    Interruption { run_time: ms(ran), ..interruption(other, server) },
                );
            }
            state.record_interruption(
                ms(at),
                Interruption { run_time: ms(ran), ..interruption(BYSTANDER, server) },
            )
        });
        assert_eq!(blocked.contains(&true), is_blocked, "{beside} beside it at each crash");
    }
}

/// Three requests caused 24 crashes in a pool of 18 engines. Another request with the same prompts
/// was present at six of the crashes within three seconds and was blocked, although one of the
/// three, which had arrived some 90 ms before, was present at each of them too.
///
/// ```text
/// 3 ends 6 rans [90ms, 260ms, 720ms, 240ms, 80ms, 850ms]
/// ffffffffffffffff ends 5 rans [90ms, 90ms, 100ms, 90ms, 100ms] shared 3
/// ```
#[test]
fn record_interruption_at_many_crashes_that_others_explain_better_is_not_blocked() {
    let mut state = State::default();
    let ends = [
        (3, 4_110, Some(90)),
        (4, 4_300, Some(260)),
        (3, 4_500, Some(720)),
        (4, 4_700, Some(80)),
        (3, 4_900, None),
        (4, 5_100, None),
        (3, 5_300, None),
        (4, 5_500, None),
        (3, 5_510, Some(240)),
        (4, 6_490, Some(850)),
    ];
    for (server, (cause, at, beside)) in ends.into_iter().enumerate() {
        let server = server as u64;
        for other in 0..10 {
            state.record_interruption(
                ms(at),
                interruption(Fingerprint(100 + 10 * server + other), server),
            );
        }
        if let Some(ran) = beside {
            let beside = Interruption { run_time: ms(ran), ..interruption(BYSTANDER, server) };
            assert!(!state.record_interruption(ms(at), beside), "at {at} ms");
        }
        state.record_interruption(
            ms(at),
            Interruption { run_time: ms(90), ..interruption(Fingerprint(cause), server) },
        );
    }
}

/// In a pool of nine, each of some twenty requests that a crash interrupts meets the cause again at
/// one or two of its next crashes. So almost every crash of the cause had another suspect, and six
/// engines crashed.
///
/// ```text
/// 4 ends rans [120, 80, 120, 120] expected 6.38e-6
///    rival ends 3 shared 3 rans [1100, 120, 580] expected 1.04e-1
///    rival ends 2 shared 2 rans [1020, 720]
/// ```
#[test]
fn record_interruption_beside_rivals_with_long_runs_is_blocked_before_the_crash_limit() {
    let mut state = State::default();
    let rivals = [[Some(1_100), Some(120), Some(580)], [None, Some(1_020), Some(720)]];
    let ends = [(440, 80), (560, 120), (920, 120), (1_340, 120)].into_iter().enumerate();
    let blocked = ends.map(|(end, (at, ran))| {
        let (at, server) = (ms(5_000 + at), end as u64);
        let at_end = |fingerprint, ran| Interruption {
            run_time: ms(ran),
            servers: 9,
            ..interruption(Fingerprint(fingerprint), server)
        };
        for other in 0..18 {
            state.record_interruption(at, at_end(1_000 + 100 * server + other, 100 + 100 * other));
        }
        for (number, rans) in rivals.iter().enumerate() {
            if let Some(ran) = rans.get(end).copied().flatten() {
                state.record_interruption(at, at_end(100 + number as u64, ran));
            }
        }
        state.record_interruption(at, at_end(FATAL.0, ran))
    });
    let blocked: Vec<bool> = blocked.collect();
    assert_eq!(blocked.last(), Some(&true), "{blocked:?}");
    assert!(!state.is_blocked(Fingerprint(100)) && !state.is_blocked(Fingerprint(101)));
}

/// A request that ran beside a culprit was blocked at its sixth crash, because its interruption was judged before the
/// culprit's at the same crash was recorded. The block explained these crashes, so they no longer counted against the
/// culprit, which went on to crash six more servers.
#[test]
fn record_interruptions_judges_the_strongest_suspect_of_a_crash_first() {
    let mut state = State::default();
    let mut blocked = Vec::new();
    for server in 1..=6 {
        let long = |fingerprint| Interruption {
            run_time: ms(3_000),
            ..interruption(Fingerprint(fingerprint), server)
        };
        let mut present = vec![long(BYSTANDER.0)];
        present.extend((0..9).map(|other| long(1_000 * server + other)));
        if server > 3 {
            present.push(Interruption { run_time: ms(50), ..interruption(FATAL, server) });
        }
        blocked.extend(state.record_interruptions(ms(500 * server), &present));
    }
    assert_eq!(blocked, [FATAL]);
}

/// Three harmful requests arrived while all running requests had just begun, so a request that
/// merely met them at their crashes had run for as short a time as they. Short runs are no evidence
/// where all are as short.
///
/// ```text
/// 4 ends rans [100, 120, 80, 70] expected 2.05e-7
///    fffffffffffffffe ends 2 shared 2 rans [100, 90] expected 3.02e-3
/// ```
#[test]
fn record_interruption_run_as_short_as_all_others_is_no_evidence() {
    let mut state = State::default();
    let ends = [
        (4_100, 70, 5, Some(90)),
        (4_200, 100, 5, Some(100)),
        (4_400, 120, 13, None),
        (4_680, 80, 1, None),
    ];
    for (server, (at, ran, present, culprit)) in ends.into_iter().enumerate() {
        let server = server as u64;
        let at_end = |fingerprint, ran| Interruption {
            run_time: ms(ran),
            ..interruption(fingerprint, server)
        };
        for other in 1..present {
            state.record_interruption(
                ms(at),
                at_end(Fingerprint(100 * (server + 1) + other), ran / 2 + 10 * other),
            );
        }
        if let Some(ran) = culprit {
            state.record_interruption(ms(at), at_end(FATAL, ran));
        }
        assert!(!state.record_interruption(ms(at), at_end(BYSTANDER, ran)), "at {at} ms");
    }
}

/// With 18 engines that crashed spontaneously twice a second, a request was present at six of 19
/// crashes and was blocked for that number, though one such request was expected.
///
/// ```text
/// 6 ends rans [540, 2790, 770, 3600, 520, 180] of 19 ends, 210 requests, expected 3.53e-2
/// ```
#[test]
fn record_interruption_at_six_crashes_of_many_is_chance_where_others_were_answered() {
    assert_eq!(blocked_at_six_crashes_of_many(true), [false; 6]);
    let bound = [false, false, false, false, false, true];
    assert_eq!(blocked_at_six_crashes_of_many(false), bound, "any of them may be the cause");
}

/// Returns whether a request is blocked at each of its crashes, while servers also crash without
/// it.
fn blocked_at_six_crashes_of_many(others_are_answered: bool) -> Vec<bool> {
    let mut state = State::default();
    let beside = [
        (7_600, 180),
        (11_200, 3_600),
        (12_260, 770),
        (15_250, 2_790),
        (15_910, 540),
        (16_490, 520),
    ];
    let others = (0..13).map(|end| (7_000 + 700 * end, None));
    let ends = beside.into_iter().map(|(at, ran)| (at, Some(ran))).chain(others);
    let mut ends: Vec<(u64, Option<u64>)> = ends.collect();
    ends.sort_unstable();
    let blocked = ends.into_iter().enumerate().filter_map(|(server, (at, ran))| {
        let server = server as u64;
        let others = (0..16).map(|other| Fingerprint(1_000 + 100 * server + other));
        for other in others.clone() {
            state.record_interruption(
                ms(at),
                Interruption { run_time: ms(1_000), ..interruption(other, server) },
            );
        }
        let blocked = ran.map(|ran| {
            state.record_interruption(
                ms(at),
                Interruption { run_time: ms(ran), ..interruption(BYSTANDER, server) },
            )
        });
        for other in others.filter(|_| others_are_answered) {
            state.clear_suspect(ms(at + 100), other);
        }
        blocked
    });
    blocked.collect()
}

#[test]
fn record_interruption_with_a_rival_waits_for_a_crash_that_distinguishes_them() {
    let mut state = State::default();
    for (server, at) in [(1, 1_000), (2, 2_000)] {
        state.record_interruption(ms(at), interruption(BYSTANDER, server));
        state.record_interruption(ms(at), interruption(FATAL, server));
    }
    assert!(
        !state.record_interruption(ms(3_000), interruption(FATAL, 3)),
        "two of three crashes may have the other cause"
    );
    assert!(!state.record_interruption(ms(4_000), interruption(FATAL, 4)));
    assert!(state.record_interruption(ms(5_000), interruption(FATAL, 5)));
    assert!(
        !state.is_blocked(BYSTANDER) && !state.reaches_block_threshold(BYSTANDER, 2),
        "its crashes are explained"
    );
}

#[test]
fn clear_suspect_rival_blocks_the_cause() {
    let mut state = State::default();
    for (server, at) in [(1, 1_000), (2, 2_000)] {
        state.record_interruption(ms(at), interruption(BYSTANDER, server));
        state.record_interruption(ms(at), interruption(FATAL, server));
    }
    state.record_interruption(ms(3_000), interruption(FATAL, 3));
    assert_eq!(state.clear_suspect(ms(3_500), BYSTANDER), Some(vec![FATAL]));
    assert_eq!(state.clear_suspect(ms(3_600), BYSTANDER), None);
}

#[test]
fn record_interruption_at_an_explained_crash_counts_for_no_request() {
    let mut state = State::default();
    state.block(ms(0), FATAL);
    for server in 1..=5 {
        let at = ms(1_000 * server);
        state.record_interruption(at, interruption(BYSTANDER, server));
        state.record_interruption(at, interruption(FATAL, server));
    }
    assert!(!state.reaches_block_threshold(BYSTANDER, 2));
}

#[test]
fn record_interruption_server_without_starts_may_crash_several_times() {
    let mut state = State::default();
    let same = |at: u64| {
        let incarnation = Incarnation { server: 1, start: None };
        (ms(at), Interruption { incarnation, run_time: ms(10), ..interruption(FATAL, 1) })
    };
    let blocked =
        [1_000, 1_300, 4_000, 8_000].map(same).map(|(at, s)| state.record_interruption(at, s));
    assert_eq!(blocked, [false, false, false, true]);
}

#[test]
fn expire_removes_old_crashes_and_blocks() {
    let mut state = State::default();
    state.record_interruption(ms(0), interruption(BYSTANDER, 1));
    state.block(ms(0), FATAL);
    assert_eq!(state.expire(Duration::from_secs(4_000)), []);
    assert_eq!(state.interruptions(Duration::from_secs(4_000)), []);
    assert_eq!(state.block_remaining(BLOCK_DURATION / 2, FATAL), BLOCK_DURATION / 2);
    assert_eq!(state.expire(BLOCK_DURATION), [FATAL]);
    assert!(!state.is_blocked(FATAL));
}

#[test]
fn merge_block_greatest_age_wins() {
    let mut state = State::default();
    let remote_block = |age| Blocked { fingerprint: FATAL, age };
    assert!(state.merge_block(ms(1_000), remote_block(BLOCK_DURATION / 2)));
    assert!(!state.merge_block(ms(2_000), remote_block(ms(0))), "the block is already known");
    assert_eq!(state.block_remaining(ms(2_000), FATAL), BLOCK_DURATION / 2 - ms(1_000));
    assert!(!state.merge_block(ms(2_000), remote_block(BLOCK_DURATION - ms(10))));
    assert_eq!(state.unstored_blocks(ms(2_005)), [remote_block(BLOCK_DURATION - ms(5))]);
    assert_eq!(state.expire(ms(2_010)), [FATAL]);
    assert!(!state.merge_block(ms(2_020), remote_block(BLOCK_DURATION)), "the block has expired");
}

#[test]
fn lift_overrides_peers_but_not_the_store_or_new_crashes() {
    let hour = Duration::from_secs(3_600);
    let remote_block = Blocked { fingerprint: FATAL, age: ms(100) };
    let lifted = || {
        let mut state = State::default();
        assert!(state.add_stored_block(ms(0), remote_block));
        assert!(state.lift(ms(1_000), FATAL));
        assert!(!state.merge_block(ms(2_000), remote_block) && !state.is_blocked(FATAL));
        assert_eq!(state.due_writes(ms(2_000), ms(1)), []);
        state
    };
    assert!(lifted().add_stored_block(ms(3_000), remote_block));
    assert!(lifted().block(ms(3_000), FATAL));
    let mut state = lifted();
    assert!(!state.lift(ms(3_000), FATAL));
    state.expire(hour);
    assert!(!state.merge_block(hour, remote_block), "peers may still announce it");
    state.expire(hour + ms(3_000));
    assert!(state.merge_block(hour + ms(3_000), remote_block));
}

#[test]
fn expire_bounds_the_kept_crashes() {
    let mut state = State::default();
    for server in 0..5_000 {
        state.record_interruption(ms(server), interruption(Fingerprint(server), server));
    }
    state.expire(ms(5_000));
    let left = state.interruptions(ms(5_000));
    assert_eq!(left.len(), 2_048);
    assert!(
        left.iter().all(|interruption| interruption.fingerprint.0 >= 5_000 - 2_048),
        "only the newest are kept"
    );
}

#[test]
fn record_disconnect_port_closed_twice_is_a_crash() {
    let mut detector = Detector::default();
    let endpoint = endpoint(Some(1));
    assert_eq!(detector.record_disconnect(ms(1_000), endpoint, disconnect(FATAL)).probes.len(), 1);
    assert_eq!(
        detector.record_disconnect(ms(1_001), endpoint, disconnect(BYSTANDER)),
        Steps::default()
    );
    assert_eq!(
        detector.record_probe(ms(1_002), endpoint.incarnation, Answer::Refused),
        Steps::default()
    );
    assert_eq!(detector.due_probes(ms(1_030)), []);
    assert_eq!(detector.due_probes(ms(1_080)).len(), 1);
    let interruptions =
        detector.record_probe(ms(1_081), endpoint.incarnation, Answer::Refused).interruptions;
    assert_eq!(interruptions.len(), 2);
    assert_eq!(interruptions[0].age, ms(81));
    let late = detector.record_disconnect(ms(1_100), endpoint, disconnect(Fingerprint(3)));
    assert_eq!(late.interruptions.len(), 1, "a later disconnect belongs to the same crash");
}

#[test]
fn record_disconnect_server_that_answers_later_requests_is_alive() {
    let mut detector = Detector::default();
    let endpoint = endpoint(Some(1));
    detector.record_disconnect(ms(1_000), endpoint, disconnect(FATAL));
    detector.record_response(ms(1_020), endpoint.incarnation);
    assert_eq!(detector.possible_crashes(ms(1_030), FATAL), 1, "that response was in flight");
    detector.record_response(ms(1_200), endpoint.incarnation);
    assert_eq!(detector.possible_crashes(ms(1_200), FATAL), 0);
    assert_eq!(
        detector.record_probe(ms(1_201), endpoint.incarnation, Answer::Refused),
        Steps::default()
    );
}

#[test]
fn record_disconnect_open_port_crash_is_confirmed_by_registration_only() {
    for answer in [Answer::Accepted, Answer::Silent] {
        let mut detector = Detector::default();
        let endpoint = endpoint(Some(1));
        detector.record_disconnect(ms(1_000), endpoint, disconnect(FATAL));
        assert_eq!(
            detector.record_probe(ms(1_001), endpoint.incarnation, answer),
            Steps::default()
        );
        assert_eq!(detector.due_probes(ms(2_000)), []);
        assert_eq!(detector.record_crash(ms(5_000), endpoint.incarnation).interruptions.len(), 1);
        assert_eq!(detector.record_crash(ms(5_001), endpoint.incarnation), Steps::default());
    }
}

#[test]
fn record_disconnect_port_open_during_a_crash_is_probed_again() {
    let mut detector = Detector::default();
    let endpoint = endpoint(Some(1));
    detector.record_disconnect(ms(1_000), endpoint, disconnect(FATAL));
    assert_eq!(
        detector.record_probe(ms(1_001), endpoint.incarnation, Answer::Accepted),
        Steps::default()
    );
    assert_eq!(detector.due_probes(ms(1_080)).len(), 1);
    assert_eq!(
        detector.record_probe(ms(1_081), endpoint.incarnation, Answer::Refused),
        Steps::default()
    );
    assert_eq!(detector.due_probes(ms(1_160)).len(), 1);
    assert_eq!(
        detector.record_probe(ms(1_161), endpoint.incarnation, Answer::Refused).interruptions.len(),
        1
    );
}

#[test]
fn record_disconnect_port_that_stays_open_is_probed_a_few_times() {
    let mut detector = Detector::default();
    let endpoint = endpoint(Some(1));
    let mut probes =
        detector.record_disconnect(ms(1_000), endpoint, disconnect(FATAL)).probes.len();
    for at in (1_001..5_000).step_by(20) {
        detector.record_probe(ms(at), endpoint.incarnation, Answer::Accepted);
        probes += detector.due_probes(ms(at + 10)).len();
    }
    assert!((2..=6).contains(&probes), "{probes}");
    assert!(!detector.has_probe_due());
}

#[test]
fn record_disconnect_much_later_crash_has_another_cause() {
    let mut detector = Detector::default();
    let endpoint = endpoint(Some(1));
    detector.record_disconnect(ms(1_000), endpoint, disconnect(FATAL));
    detector.record_probe(ms(1_001), endpoint.incarnation, Answer::Accepted);
    assert_eq!(detector.record_crash(ms(60_000), endpoint.incarnation), Steps::default());
}
