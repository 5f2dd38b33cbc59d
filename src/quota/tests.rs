//! Tests of a daemon's admissions through messages alone.

use quickcheck::quickcheck;

use super::*;
use crate::prelude::*;

const POLICY: Policy = Policy { window: Duration::from_secs(8), overage: 0.1, slack: 110_000.0 };
const QUOTA: Quota =
    Quota { rate: 100_000, burst: 100_000, unit: Unit::Tokens { default_tokens: 200 } };
const KEEPER: Role = Role::Keeper { lent: 1.0, is_new: false };

fn ms(milliseconds: u64) -> Time {
    Duration::from_millis(milliseconds)
}

fn demand(quota: Quota, units: u64) -> Demand<'static> {
    Demand { workspace: "lab", quota, units, has_reservation: false, max_wait: ms(300) }
}

/// Returns a state that has been in a role for long.
fn settled_state(role: Role) -> State {
    let mut state = State::new(POLICY);
    state.set_role(ms(0), role);
    state
}

fn usage(units: u64) -> Vec<Usage> {
    vec![Usage { workspace: "lab".into(), units }]
}

/// Returns the units admitted at once in requests of `units`.
fn admit(state: &mut State, now: Time, quota: Quota, units: u64) -> u64 {
    let demand = Demand { has_reservation: true, ..demand(quota, units) };
    (0..10_000).take_while(|_| state.admit(now, demand).is_ok()).count() as u64 * units
}

/// Returns the units of the fullest window.
fn max_window_units(runs: &[(Time, u64)]) -> u64 {
    let window = |first: Time| {
        let within = runs.iter().filter(|(at, _)| (first..first + POLICY.window).contains(at));
        within.map(|(_, units)| units).sum()
    };
    runs.iter().map(|(first, _)| window(*first)).max().unwrap_or_default()
}

quickcheck! {
    fn admit_never_more_than_the_quota_in_any_window(demands: Vec<(u8, u16)>) -> bool {
        let mut state = settled_state(KEEPER);
        let mut now = ms(60_000);
        let mut runs = Vec::new();
        for (gap, units) in demands.iter().cycle().take(3_000) {
            now += ms(u64::from(*gap) / 16);
            let units = u64::from(*units);
            if state.admit(now, demand(QUOTA, units)).is_ok() {
                runs.push((now, units));
            }
        }
        max_window_units(&runs) as f64 <= QUOTA.max_in_window(POLICY)
    }
}

#[test]
fn admit_far_from_the_limit_refuses_nothing() {
    let mut state = settled_state(KEEPER);
    for step in 0..2_000 {
        assert!(state.admit(ms(60_000 + step * 90), demand(QUOTA, 9_000)).is_ok());
    }
}

#[test]
fn admit_after_a_start_begins_with_an_empty_bucket() {
    let mut state = State::new(POLICY);
    state.set_role(ms(0), KEEPER);
    assert_eq!(admit(&mut state, ms(0), QUOTA, 1_000), 0);
    let a_second = QUOTA.steady_rate(POLICY) as u64;
    assert!(admit(&mut state, ms(1_000), QUOTA, 1_000) <= a_second);
}

#[test]
fn admit_by_two_keepers_with_half_the_rate_each_is_one_quota() {
    let half = Role::Keeper { lent: 0.5, is_new: false };
    let mut keepers = [settled_state(half), settled_state(half)];
    let mut runs = Vec::new();
    for step in 0..1_000 {
        let now = ms(60_000 + step * 20);
        for keeper in &mut keepers {
            keeper.set_role(now, half);
            if keeper.admit(now, demand(QUOTA, 9_000)).is_ok() {
                runs.push((now, 9_000));
            }
        }
    }
    assert!(
        max_window_units(&runs) as f64 <= QUOTA.max_in_window(POLICY),
        "{}",
        max_window_units(&runs)
    );
}

#[test]
fn admit_after_a_freeze_is_not_refilled_for_it() {
    let mut state = settled_state(KEEPER);
    let first = admit(&mut state, ms(60_000), QUOTA, 1_000);
    let after_freeze = admit(&mut state, ms(64_000), QUOTA, 1_000);
    assert!(after_freeze < first / 2, "{after_freeze} after {first}");
}

#[test]
fn admit_by_all_other_daemons_is_a_part() {
    let mut state = settled_state(Role::Other { daemons: 78 });
    let alone = admit(&mut state, ms(60_000), QUOTA, 1);
    assert!(78 * alone as u32 as u64 <= QUOTA.capacity(POLICY) as u64 / 8, "{alone}");
}

#[test]
fn admit_counts_usage_of_others_once() {
    let mut state = settled_state(KEEPER);
    let quota = |_: &str| Some(QUOTA);
    let now = ms(60_000);
    let capacity = QUOTA.capacity(POLICY) as u64;
    for told in [40_000, 60_000, 60_000] {
        state.merge_usage(now, "router-2", 7, &usage(told), quota);
    }
    let left = admit(&mut state, now, QUOTA, 1_000);
    assert_eq!(left / 1_000, (capacity - 60_000) / 1_000);
}

#[test]
fn admit_counts_each_incarnation_of_a_daemon() {
    let mut state = settled_state(KEEPER);
    let quota = |_: &str| Some(QUOTA);
    let now = ms(60_000);
    state.merge_usage(now, "router-2", 7, &usage(50_000), quota);
    state.merge_usage(now, "router-2", 8, &usage(20_000), quota);
    let left = admit(&mut state, now, QUOTA, 1_000);
    assert_eq!(left / 1_000, (QUOTA.capacity(POLICY) as u64 - 70_000) / 1_000);
}

#[test]
fn refund_is_available_again() {
    let mut state = settled_state(KEEPER);
    let now = ms(60_000);
    let admitted = admit(&mut state, now, QUOTA, 1_000);
    state.refund(now, "lab", admitted);
    assert_eq!(admit(&mut state, now, QUOTA, 1_000), admitted);
    assert_eq!(state.recent_usage(now), usage(admitted));
}

#[test]
fn charge_of_repeated_runs_is_a_debt() {
    let mut state = settled_state(KEEPER);
    let now = ms(60_000);
    let admitted = admit(&mut state, now, QUOTA, 1_000);
    state.charge(now, "lab", 1_000_000);
    assert!(state.admit(now + ms(2_000), demand(QUOTA, 1_000)).is_err());
    assert_eq!(state.recent_usage(now), usage(admitted + 1_000_000));
}

#[test]
fn admit_under_a_lowered_quota_applies_it_from_then_on() {
    let mut state = settled_state(KEEPER);
    let lower = Quota { rate: 20_000, ..QUOTA };
    let mut runs = Vec::new();
    for step in 0..2_000 {
        let now = ms(60_000 + step * 10);
        let quota = if step < 500 { QUOTA } else { lower };
        if state.admit(now, demand(quota, 4_000)).is_ok() && step >= 500 {
            runs.push((now, 4_000));
        }
    }
    assert!(max_window_units(&runs) as f64 <= lower.max_in_window(POLICY));
}

#[test]
fn admit_callers_with_reservations_first() {
    let mut state = settled_state(KEEPER);
    let now = ms(60_000);
    admit(&mut state, now, QUOTA, 1_000);
    let rejection = state.admit(now, demand(QUOTA, 30_000)).expect_err("the bucket is empty");
    let after = rejection.retry_after.expect("a reservation fits into the max wait");
    assert!(after > ms(100), "{after:?}");
    let later = now + after + ms(20);
    assert!(state.admit(later, demand(QUOTA, 30_000)).is_err());
    assert!(state.admit(later, Demand { has_reservation: true, ..demand(QUOTA, 30_000) }).is_ok());
}

#[test]
fn admit_reserves_nothing_that_would_be_late() {
    let mut state = settled_state(KEEPER);
    let now = ms(60_000);
    admit(&mut state, now, QUOTA, 1_000);
    let refused =
        (0..9).map(|_| state.admit(now, demand(QUOTA, 9_000)).expect_err("the bucket is empty"));
    let reserved =
        refused.filter(|rejection| rejection.retry_after.is_some()).count() as u64 * 9_000;
    assert!(reserved > 0 && reserved <= QUOTA.steady_rate(POLICY) as u64 * 3 / 10, "{reserved}");
}

#[test]
fn admit_request_larger_than_a_window_allows_is_refused() {
    let mut state = settled_state(KEEPER);
    let now = ms(60_000);
    assert!(state.admit(now, demand(QUOTA, 2_000_000)).is_err());
    // A request larger than the capacity but within the quota waits for a full bucket.
    assert!(state.admit(now, demand(QUOTA, 150_000)).is_ok());
}

#[test]
fn set_role_removes_full_buckets() {
    let mut state = settled_state(KEEPER);
    assert!(state.admit(ms(60_000), demand(QUOTA, 1_000)).is_ok());
    assert_eq!(state.workspaces().count(), 1);
    state.set_role(ms(60_100), KEEPER);
    assert_eq!(state.workspaces().count(), 0);
}
