//! How long requests wait, and what becomes of those that cannot be answered in time.

use super::world::ms;
use crate::fleet::patience::{Times, Verdict};
use crate::prelude::*;

/// A request that came at 1 s, with a target of 500 ms and a deadline after 4 s, of which a server
/// takes 60 ms.
fn times() -> Times {
    Times {
        asked: ms(1_000),
        waits_since: ms(1_000),
        target: ms(500),
        deadline: ms(5_000),
        service: ms(60),
    }
}

#[test]
fn in_time_until_answer_would_be_late() {
    let until = times().in_time_until();
    assert!(until > ms(1_400) && until + ms(60) < ms(1_500), "{until:?}");
}

#[test]
fn in_time_until_counts_from_first_try() {
    let again = Times { waits_since: ms(1_200), ..times() };
    assert!(again.in_time_until() <= ms(1_450));
}

#[test]
fn in_time_until_grants_part_of_target_to_slow_work() {
    let slow = Times { service: ms(450), ..times() };
    assert_eq!(slow.in_time_until(), ms(1_250));
}

#[test]
fn in_time_until_ends_before_deadline() {
    let short = Times { deadline: ms(1_200), service: ms(100), target: ms(500), ..times() };
    assert!(short.in_time_until() + ms(100) < ms(1_500));
    let slow = Times { deadline: ms(1_300), service: ms(450), ..times() };
    assert!(slow.in_time_until() <= ms(1_050), "{:?}", slow.in_time_until());
}

#[test]
fn decide_waits_while_answer_is_in_time() {
    assert_eq!(times().decide(ms(1_000), ms(300)), Verdict::Wait);
    assert_eq!(times().decide(ms(1_200), ms(100)), Verdict::Wait);
}

#[test]
fn decide_refuses_what_will_be_late() {
    assert_eq!(times().decide(ms(1_200), ms(300)), Verdict::Refuse);
    assert_eq!(times().decide(ms(1_000), Duration::MAX), Verdict::Refuse);
}

#[test]
fn decide_puts_caller_that_is_back_late_behind() {
    let back = Times { waits_since: ms(1_600), ..times() };
    assert_eq!(back.decide(ms(1_600), ms(200)), Verdict::WaitBehind);
    assert_eq!(back.decide(ms(1_600), ms(300)), Verdict::Refuse);
}

#[test]
fn max_engine_wait_shrinks_with_time_waited() {
    let at_once = times().max_engine_wait_ms(ms(1_000), false);
    let later = times().max_engine_wait_ms(ms(1_300), false);
    assert!((at_once - later - 300.0).abs() < 1.0, "{at_once} {later}");
    assert_eq!(times().max_engine_wait_ms(ms(1_600), false), 0.0);
}
