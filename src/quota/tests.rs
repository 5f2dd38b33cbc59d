//! What one daemon lets in, by messages alone.

use quickcheck::quickcheck;

use super::*;
use crate::prelude::*;

const TERMS: Terms = Terms { window: Duration::from_secs(8), overage: 0.1, slack: 110_000.0 };
const QUOTA: Quota = Quota { rate: 100_000, burst: 100_000, unit: Unit::Tokens { plain: 200 } };
const KEEPER: Role = Role::Keeper { lent: 1.0, is_new: false };

fn ms(milliseconds: u64) -> Time {
    Duration::from_millis(milliseconds)
}

fn ask(quota: Quota, units: u64) -> Ask<'static> {
    Ask { workspace: "lab", quota, units, is_back: false, in_time: ms(300) }
}

/// A state that came into a role long ago.
fn settled(role: Role) -> State {
    let mut state = State::new(TERMS);
    state.set_role(ms(0), role);
    state
}

fn used(units: u64) -> Vec<Use> {
    vec![Use { workspace: "lab".into(), units }]
}

/// Units that are let in at a time by requests of so many.
fn let_in(state: &mut State, now: Time, quota: Quota, units: u64) -> u64 {
    let ask = Ask { is_back: true, ..ask(quota, units) };
    (0..10_000).take_while(|_| state.let_in(now, ask).is_ok()).count() as u64 * units
}

/// Units of the window that has most.
fn worst(runs: &[(Time, u64)]) -> u64 {
    let window = |first: Time| {
        let within = runs.iter().filter(|(at, _)| (first..first + TERMS.window).contains(at));
        within.map(|(_, units)| units).sum()
    };
    runs.iter().map(|(first, _)| window(*first)).max().unwrap_or_default()
}

quickcheck! {
    fn let_in_never_more_than_the_quota_in_any_window(asks: Vec<(u8, u16)>) -> bool {
        let mut state = settled(KEEPER);
        let mut now = ms(60_000);
        let mut runs = Vec::new();
        for (gap, units) in asks.iter().cycle().take(3_000) {
            now += ms(u64::from(*gap) / 16);
            let units = u64::from(*units);
            if state.let_in(now, ask(QUOTA, units)).is_ok() {
                runs.push((now, units));
            }
        }
        worst(&runs) as f64 <= QUOTA.most(TERMS)
    }
}

#[test]
fn let_in_far_from_the_limit_refuses_nothing() {
    let mut state = settled(KEEPER);
    for step in 0..2_000 {
        assert!(state.let_in(ms(60_000 + step * 90), ask(QUOTA, 9_000)).is_ok());
    }
}

#[test]
fn let_in_after_a_start_knows_of_nothing_before() {
    let mut state = State::new(TERMS);
    state.set_role(ms(0), KEEPER);
    assert_eq!(let_in(&mut state, ms(0), QUOTA, 1_000), 0);
    let a_second = QUOTA.steady(TERMS) as u64;
    assert!(let_in(&mut state, ms(1_000), QUOTA, 1_000) <= a_second);
}

#[test]
fn let_in_by_two_keepers_that_share_what_is_lent_is_one_quota() {
    let half = Role::Keeper { lent: 0.5, is_new: false };
    let mut keepers = [settled(half), settled(half)];
    let mut runs = Vec::new();
    for step in 0..1_000 {
        let now = ms(60_000 + step * 20);
        for keeper in &mut keepers {
            keeper.set_role(now, half);
            if keeper.let_in(now, ask(QUOTA, 9_000)).is_ok() {
                runs.push((now, 9_000));
            }
        }
    }
    assert!(worst(&runs) as f64 <= QUOTA.most(TERMS), "{}", worst(&runs));
}

#[test]
fn let_in_by_a_daemon_that_stood_still_is_not_filled_for_it() {
    let mut state = settled(KEEPER);
    let first = let_in(&mut state, ms(60_000), QUOTA, 1_000);
    let thawed = let_in(&mut state, ms(64_000), QUOTA, 1_000);
    assert!(thawed < first / 2, "{thawed} after {first}");
}

#[test]
fn let_in_by_others_together_is_a_part() {
    let mut state = settled(Role::Other { daemons: 78 });
    let alone = let_in(&mut state, ms(60_000), QUOTA, 1);
    assert!(78 * alone as u32 as u64 <= QUOTA.saved(TERMS) as u64 / 8, "{alone}");
}

#[test]
fn let_in_counts_what_others_used_once() {
    let mut state = settled(KEEPER);
    let quota = |_: &str| Some(QUOTA);
    let now = ms(60_000);
    let whole = QUOTA.saved(TERMS) as u64;
    for told in [40_000, 60_000, 60_000] {
        state.hear(now, "router-2", 7, &used(told), quota);
    }
    let left = let_in(&mut state, now, QUOTA, 1_000);
    assert_eq!(left / 1_000, (whole - 60_000) / 1_000);
}

#[test]
fn let_in_counts_each_life_of_a_daemon() {
    let mut state = settled(KEEPER);
    let quota = |_: &str| Some(QUOTA);
    let now = ms(60_000);
    state.hear(now, "router-2", 7, &used(50_000), quota);
    state.hear(now, "router-2", 8, &used(20_000), quota);
    let left = let_in(&mut state, now, QUOTA, 1_000);
    assert_eq!(left / 1_000, (QUOTA.saved(TERMS) as u64 - 70_000) / 1_000);
}

#[test]
fn give_back_is_there_again() {
    let mut state = settled(KEEPER);
    let now = ms(60_000);
    let whole = let_in(&mut state, now, QUOTA, 1_000);
    state.give_back(now, "lab", whole);
    assert_eq!(let_in(&mut state, now, QUOTA, 1_000), whole);
    assert_eq!(state.used(now), used(whole));
}

#[test]
fn count_of_what_runs_twice_is_owed() {
    let mut state = settled(KEEPER);
    let now = ms(60_000);
    let whole = let_in(&mut state, now, QUOTA, 1_000);
    state.count(now, "lab", 1_000_000);
    assert!(state.let_in(now + ms(2_000), ask(QUOTA, 1_000)).is_err());
    assert_eq!(state.used(now), used(whole + 1_000_000));
}

#[test]
fn let_in_under_a_lowered_quota_holds_it_from_then_on() {
    let mut state = settled(KEEPER);
    let lower = Quota { rate: 20_000, ..QUOTA };
    let mut runs = Vec::new();
    for step in 0..2_000 {
        let now = ms(60_000 + step * 10);
        let quota = if step < 500 { QUOTA } else { lower };
        if state.let_in(now, ask(quota, 4_000)).is_ok() && step >= 500 {
            runs.push((now, 4_000));
        }
    }
    assert!(worst(&runs) as f64 <= lower.most(TERMS));
}

#[test]
fn let_in_callers_that_come_back_before_newcomers() {
    let mut state = settled(KEEPER);
    let now = ms(60_000);
    let_in(&mut state, now, QUOTA, 1_000);
    let over = state.let_in(now, ask(QUOTA, 30_000)).expect_err("nothing is left");
    let after = over.after.expect("there is room soon");
    assert!(after > ms(100), "{after:?}");
    let later = now + after + ms(20);
    assert!(state.let_in(later, ask(QUOTA, 30_000)).is_err());
    assert!(state.let_in(later, Ask { is_back: true, ..ask(QUOTA, 30_000) }).is_ok());
}

#[test]
fn let_in_promises_nothing_that_would_be_late() {
    let mut state = settled(KEEPER);
    let now = ms(60_000);
    let_in(&mut state, now, QUOTA, 1_000);
    let refused =
        (0..9).map(|_| state.let_in(now, ask(QUOTA, 9_000)).expect_err("nothing is left"));
    let promised = refused.filter(|over| over.after.is_some()).count() as u64 * 9_000;
    assert!(promised > 0 && promised <= QUOTA.steady(TERMS) as u64 * 3 / 10, "{promised}");
}

#[test]
fn let_in_request_larger_than_a_window_allows_is_refused() {
    let mut state = settled(KEEPER);
    let now = ms(60_000);
    assert!(state.let_in(now, ask(QUOTA, 2_000_000)).is_err());
    // What is more than can be saved up, and within the quota, waits until all is saved.
    assert!(state.let_in(now, ask(QUOTA, 150_000)).is_ok());
}

#[test]
fn set_role_forgets_workspaces_that_have_all_left() {
    let mut state = settled(KEEPER);
    assert!(state.let_in(ms(60_000), ask(QUOTA, 1_000)).is_ok());
    assert_eq!(state.workspaces().count(), 1);
    state.set_role(ms(60_100), KEEPER);
    assert_eq!(state.workspaces().count(), 0);
}
