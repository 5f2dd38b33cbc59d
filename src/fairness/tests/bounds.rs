//! Bounds: memory, sizes of numbers, and any order of calls.

use super::super::account::{Account, Flow};
use super::*;

fn claim(workspace: &str, cost_ms: f64, weight: f64) -> Claim {
    let weight = Weight::new(weight).expect("a valid weight");
    Claim { weight, cost_ms, ..load(workspace, 1).claim() }
}

#[test]
fn ledger_10_000_workspaces() {
    // Each of 10,000 workspaces has two requests waiting, and then one of them a hundred.
    let mut ledger = Ledger::default();
    let claims: Vec<Claim> = (0..10_000).map(|n| claim(&format!("w-{n}"), 20.0, 1.0)).collect();
    let starts: Vec<Start> = claims.iter().map(|claim| ledger.join(ms(0), claim)).collect();
    claims.iter().for_each(|claim| _ = ledger.join(ms(0), claim));
    assert_eq!(ledger.len(), 10_000);
    let hot: Vec<Start> = (0..100).map(|_| ledger.join(ms(0), &claims[7])).collect();
    assert!(starts.iter().all(|start| *start < hot[0]));
    assert_eq!(ledger.ahead_ms(&claims[0]), 40.0 * 10_000.0);
    assert_eq!(ledger.top(ms(0), 32).len(), 32);
}

#[test]
fn ledger_drops_idle_workspaces() {
    let mut ledger = Ledger::default();
    for number in 0..1_000 {
        let claim = claim(&format!("w-{number}"), 20.0, 1.0);
        let start = ledger.join(ms(number), &claim);
        ledger.begin(ms(number), &claim, start);
    }
    let last = claim("last", 20.0, 1.0);
    ledger.join(ms(30_000), &last);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn ledger_of_too_many_workspaces_drops_the_idlest() {
    // 40,000 workspaces ask for one request each, within a second; the first one's still waits.
    let mut ledger = Ledger::default();
    let waiting = claim("waiting", 20.0, 1.0);
    let start = ledger.join(ms(0), &waiting);
    for number in 0..40_000 {
        let claim = claim(&format!("w-{number}"), 20.0, 1.0);
        let start = ledger.join(ms(1 + number / 40), &claim);
        ledger.begin(ms(1 + number / 40), &claim, start);
        assert!(ledger.len() <= 16_384, "{number}");
    }
    assert!(ledger.len() > 8_192);
    ledger.leave(ms(1_001), &waiting, start);
    assert_eq!(ledger.waiting_ms(), 0.0, "who waits is not dropped");
}

#[test]
fn ledger_memory_a_workspace() {
    // Nodes of ordered maps have eleven places, of which five or more are taken; a flow has an
    // allocation of its own, with a header.
    let entry = (size_of::<u64>() + size_of::<Account>()) * 11 / 5;
    let bytes = entry + size_of::<Flow>() + 16;
    assert!(bytes <= 352, "{bytes} bytes a workspace");
}

#[test]
fn join_any_cost() {
    let mut ledger = Ledger::default();
    for cost_ms in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300, f64::MIN_POSITIVE]
    {
        for weight in [1e-300, 1e300, 1.0] {
            let claim = claim("lab", cost_ms, weight);
            let start = ledger.join(ms(0), &claim);
            assert!(ledger.ahead_ms(&claim).is_finite());
            assert!(ledger.join(ms(0), &claim) > start, "{cost_ms}: each request costs something");
            ledger.begin(ms(0), &claim, start);
            ledger.settle(ms(0), &claim, cost_ms);
        }
    }
    assert!(ledger.waiting_ms().is_finite() && ledger.top(ms(0), 8).len() == 1);
}

#[test]
fn join_for_years() {
    // 1,000 servers are all given to one workspace of the least weight, by requests of the longest
    // cost: its virtual time advances by 1e11 microseconds a second.
    let mut ledger = Ledger::default();
    let claim = claim("lab", f64::INFINITY, 0.01);
    let mut last = Start::default();
    let years = 365 * 86_400 * 1_000 / 60;
    // One step stands for a hundred thousand requests.
    for step in 0..years / 100_000 {
        let start = ledger.join(ms(step), &claim);
        assert!(start >= last);
        ledger.begin(ms(step), &claim, start);
        last = start;
    }
    let a_year = last.0.saturating_mul(100_000);
    assert!(a_year < u64::MAX / 4, "four years of it fit: {a_year}");
}

/// A call of a ledger, from any bytes.
fn call(ledger: &mut Ledger, joined: &mut Vec<(Claim, Start)>, at: Time, step: (u8, u8, u32)) {
    let (kind, who, cost) = step;
    let claim = Claim {
        priority: who % 3,
        returns: who % 2 == 0,
        ..claim(&format!("w-{}", who % 7), f64::from(cost) / 1e4, f64::from(who % 5) + 0.5)
    };
    let picked = (!joined.is_empty()).then(|| usize::from(who) % joined.len().max(1));
    match (kind % 6, picked) {
        (0 | 1, _) | (2..=4, None) => {
            let start = ledger.join(at, &claim);
            joined.push((claim, start));
        }
        (2, Some(index)) => {
            let (claim, start) = joined.swap_remove(index);
            ledger.begin(at, &claim, start);
            ledger.settle(at, &claim, f64::from(cost) / 3e4);
        }
        (3, Some(index)) => {
            let (claim, start) = joined.swap_remove(index);
            ledger.leave(at, &claim, start);
        }
        (4, Some(_)) => ledger.settle(at, &claim, f64::from(cost)),
        _ => {
            let given = ledger.top(at, 4);
            ledger.adopt(at, &given);
        }
    }
}

quickcheck::quickcheck! {
    fn waiting_is_what_joined_and_did_not_end(steps: Vec<(u8, u8, u32)>) -> bool {
        let (mut ledger, mut joined) = (Ledger::default(), Vec::new());
        for (at, step) in steps.into_iter().enumerate() {
            call(&mut ledger, &mut joined, ms(at as u64 * 40), step);
        }
        let sum: f64 = joined.iter().map(|(claim, _)| claim.cost_us() as f64 / 1_000.0).sum();
        let is_sum = (ledger.waiting_ms() - sum).abs() < 1e-3;
        let is_bounded = joined.iter().all(|(claim, _)| {
            ledger.ahead_ms(claim) <= ledger.waiting_ms() + 1e-6
        });
        for (claim, start) in joined {
            ledger.leave(ms(1_000_000), &claim, start);
        }
        let is_empty = ledger.waiting_ms() == 0.0
            && ledger.levels.values().all(|level| level.weights() == 0.0);
        is_sum && is_bounded && is_empty
    }

    fn starts_of_a_workspace_do_not_fall(costs: Vec<u32>) -> bool {
        let mut ledger = Ledger::default();
        let starts: Vec<Start> = costs
            .iter()
            .map(|cost| ledger.join(ms(0), &claim("lab", f64::from(*cost), 1.0)))
            .collect();
        starts.is_sorted()
    }
}
