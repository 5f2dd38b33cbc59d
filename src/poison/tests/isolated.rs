//! Crashes of requests that ran alone.

use super::*;

/// A crash of a request that ran alone has no other possible cause, so rivals at its earlier crashes
/// do not keep it from being blocked.
#[test]
fn record_interruption_alone_is_blocked_beside_rivals_of_its_earlier_crashes() {
    let mut state = State::default();
    for server in 1..=2 {
        for other in 1..=10 {
            let rival =
                Interruption { run_time: ms(90), ..interruption(Fingerprint(other), server) };
            state.record_interruption(ms(500 * server), rival);
        }
        assert!(!state.record_interruption(ms(500 * server), interruption(FATAL, server)));
    }
    let alone = |server| Interruption { ran_alone: true, ..interruption(FATAL, server) };
    assert!(!state.record_interruption(ms(2_000), alone(3)), "one run may end so by chance");
    assert!(state.record_interruption(ms(2_500), alone(4)));
}

#[test]
fn record_interruption_alone_with_a_bystander_is_no_isolated_crash() {
    let mut state = State::default();
    let bystander = interruption(BYSTANDER, 1);
    state.record_interruption(ms(500), Interruption { ran_alone: true, ..interruption(FATAL, 1) });
    state.record_interruption(ms(500), bystander);
    assert!(state.interruptions(ms(500)).iter().all(|interruption| !interruption.ran_alone));
}
