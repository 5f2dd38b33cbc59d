//! Tests of the division of a pool's room.
//!
//! Bounds are those that callers are told: a workspace below its share waits no longer than it would
//! alone, plus one request of others at each server; shares differ from the weights by at most a
//! tenth.

mod bounds;
mod load;
mod takeover;

use load::{Load, Pool};

use super::*;
use crate::prelude::*;

/// Milliseconds of server time of each request, unless a test says otherwise.
const COST_MS: u64 = 20;
/// Length of the loads.
const SPAN: Duration = Duration::from_secs(10);

/// A workspace that asks for `per_s` requests a second.
fn load(workspace: &str, per_s: u64) -> Load {
    Load::new(workspace, per_s, COST_MS)
}

/// Eight servers, which serve 400 requests a second.
fn pool() -> Pool {
    Pool::new(8)
}

/// Whether a workspace waited no longer than one request of others at each server takes.
fn waits_for_one(pool: &Pool, workspace: &str) -> bool {
    pool.longest_wait(workspace) <= Duration::from_millis(COST_MS)
}

fn is_near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() <= wanted * 0.1
}

#[test]
fn serve_one_workspace_at_six_times_its_usual() {
    // Four ask for 60 requests a second each, and a fifth for 360: 600 where 400 are served.
    let mut pool = pool();
    let mut loads: Vec<Load> = ["a", "b", "c", "d"].map(|name| load(name, 60)).into();
    loads.push(load("hot", 360));
    pool.run(&loads, SPAN);
    for name in ["a", "b", "c", "d"] {
        assert!(waits_for_one(&pool, name), "{name}: {:?}", pool.longest_wait(name));
        assert!(is_near(pool.served_per_s(name), 60.0), "{name}");
    }
    assert!(is_near(pool.served_per_s("hot"), 160.0), "{}", pool.served_per_s("hot"));
}

#[test]
fn serve_three_workspaces_at_six_times_their_usual() {
    // Three of five ask for 360 requests a second each, two for 40: 1,160 where 400 are served.
    let mut pool = pool();
    let hot = ["x", "y", "z"].map(|name| load(name, 360));
    let loads: Vec<Load> = hot.into_iter().chain([load("a", 40), load("b", 40)]).collect();
    pool.run(&loads, SPAN);
    for name in ["a", "b"] {
        assert!(waits_for_one(&pool, name), "{name}: {:?}", pool.longest_wait(name));
    }
    for name in ["x", "y", "z"] {
        assert!(is_near(pool.served_per_s(name), 320.0 / 3.0), "{}", pool.served_per_s(name));
    }
}

#[test]
fn serve_crowd_of_returners() {
    // A workspace asks for six times its share; who waits 300 ms is refused and comes back.
    let mut pool = pool();
    let crowd =
        Load { patience: Some(ms(300)), returns_after: Some(ms(200)), ..load("crowd", 600) };
    pool.run(&[crowd, load("a", 60), load("b", 60)], SPAN);
    for name in ["a", "b"] {
        assert!(waits_for_one(&pool, name), "{name}: {:?}", pool.longest_wait(name));
    }
    assert!(is_near(pool.served_per_s("crowd"), 280.0), "{}", pool.served_per_s("crowd"));
}

#[test]
fn serve_returners_alone_within_share() {
    // Two workspaces ask for all the room; each request of one says that its caller came back.
    let mut pool = pool();
    let returners = Load { returns: true, ..load("returners", 600) };
    pool.run(&[returners, load("new", 600)], SPAN);
    assert!(is_near(pool.served_per_s("returners"), 200.0), "{}", pool.served_per_s("returners"));
    assert!(is_near(pool.served_per_s("new"), 200.0), "{}", pool.served_per_s("new"));
}

#[test]
fn join_returner_before_new_of_own_workspace() {
    let (mut ledger, now) = (Ledger::default(), ms(0));
    let claim = load("lab", 1).claim();
    let starts: Vec<Start> = (0..10).map(|_| ledger.join(now, &claim)).collect();
    let back = ledger.join(now, &Claim { returns: true, ..claim.clone() });
    assert!(back < starts[1], "{back:?} {starts:?}");
    let next = ledger.join(now, &claim);
    assert!(next > starts[9], "what the returner takes is charged to its workspace");
}

#[test]
fn serve_clients_that_repeat_at_once() {
    // Clients of a workspace give up after 60 ms and repeat at once, for as long as they are refused.
    let mut pool = pool();
    let abuse = Load { patience: Some(ms(60)), returns_after: Some(ms(0)), ..load("abuse", 500) };
    pool.run(&[abuse, load("a", 100), load("b", 100)], SPAN);
    for name in ["a", "b"] {
        assert!(waits_for_one(&pool, name), "{name}: {:?}", pool.longest_wait(name));
        assert!(is_near(pool.served_per_s(name), 100.0), "{name}");
    }
    assert!(is_near(pool.served_per_s("abuse"), 200.0), "{}", pool.served_per_s("abuse"));
}

#[test]
fn serve_with_a_third_of_the_servers_gone() {
    // Nine servers serve 450 a second, then six 300; one workspace asks for six times its usual.
    let mut pool = Pool::new(9);
    let loads = [load("hot", 360), load("a", 60), load("b", 60), load("c", 60)];
    pool.run(&loads, SPAN / 2);
    pool.remove_servers(3);
    let before = pool.served("hot");
    pool.run(&loads, SPAN / 2);
    for name in ["a", "b", "c"] {
        assert!(waits_for_one(&pool, name), "{name}: {:?}", pool.longest_wait(name));
    }
    let hot_per_s = (pool.served("hot") - before) as f64 / (SPAN / 2).as_secs_f64();
    assert!(is_near(hot_per_s, 120.0), "{hot_per_s}");
}

#[test]
fn serve_by_weights() {
    // Both ask for all the room, with weights of 1 and 3.
    let mut pool = pool();
    let heavy = Load { weight: 3.0, ..load("heavy", 600) };
    pool.run(&[heavy, load("light", 600)], SPAN);
    assert!(is_near(pool.served_per_s("heavy"), 300.0), "{}", pool.served_per_s("heavy"));
    assert!(is_near(pool.served_per_s("light"), 100.0), "{}", pool.served_per_s("light"));
}

#[test]
fn serve_by_cost_not_by_number() {
    // The requests of one workspace take four times as long as those of the other.
    let mut pool = pool();
    pool.run(&[Load::new("long", 200, 80), Load::new("short", 600, 20)], SPAN);
    assert!(is_near(pool.served_per_s("long"), 50.0), "{}", pool.served_per_s("long"));
    assert!(is_near(pool.served_per_s("short"), 200.0), "{}", pool.served_per_s("short"));
}

#[test]
fn serve_more_urgent_first() {
    // An urgent workspace asks for three quarters of the room, and another for all of it.
    let mut pool = pool();
    let urgent = Load { priority: 0, ..load("urgent", 300) };
    pool.run(&[load("other", 600), urgent], SPAN);
    assert!(waits_for_one(&pool, "urgent"), "{:?}", pool.longest_wait("urgent"));
    assert!(is_near(pool.served_per_s("other"), 100.0), "{}", pool.served_per_s("other"));
}

#[test]
fn serve_what_others_leave() {
    // One workspace alone asks for all the room, then with others that use little: no server idles.
    let mut pool = pool();
    pool.run(&[load("only", 600)], SPAN);
    assert!(is_near(pool.served_per_s("only"), 400.0), "{}", pool.served_per_s("only"));
    let mut pool = self::pool();
    pool.run(&[load("most", 600), load("little", 20)], SPAN);
    assert!(is_near(pool.served_per_s("most"), 380.0), "{}", pool.served_per_s("most"));
}

#[test]
fn serve_idle_workspace_has_saved_nothing() {
    // A workspace is idle for five seconds while another takes all, then both ask for all the room.
    let mut pool = pool();
    pool.run(&[load("busy", 600)], SPAN / 2);
    let before = pool.served("busy");
    pool.run(&[load("busy", 600), load("idle", 600)], SPAN / 2);
    let busy_per_s = (pool.served("busy") - before) as f64 / (SPAN / 2).as_secs_f64();
    assert!(is_near(busy_per_s, 200.0), "{busy_per_s}");
    let idle_per_s = pool.served("idle") as f64 / (SPAN / 2).as_secs_f64();
    assert!(is_near(idle_per_s, 200.0), "{idle_per_s}");
}

#[test]
fn begin_passed_over_requests_keep_their_place() {
    // The servers that the first requests of a workspace need have no room, and later ones go first.
    let (mut ledger, now) = (Ledger::default(), ms(0));
    let claim = load("hot", 1).claim();
    let starts: Vec<Start> = (0..100).map(|_| ledger.join(now, &claim)).collect();
    ledger.begin(now, &claim, starts[90]);
    let other = ledger.join(now, &load("other", 1).claim());
    assert!(other <= starts[0], "{other:?} waits behind {:?}", starts[0]);
}

#[test]
fn leave_gives_back() {
    let (mut ledger, now) = (Ledger::default(), ms(0));
    let claim = load("lab", 1).claim();
    let first = ledger.join(now, &claim);
    let second = ledger.join(now, &claim);
    ledger.leave(now, &claim, second);
    assert_eq!(ledger.join(now, &claim), second);
    ledger.leave(now, &claim, second);
    ledger.leave(now, &claim, first);
    assert_eq!(ledger.join(now, &claim), first);
    assert_eq!(ledger.waiting_ms(), COST_MS as f64);
}

#[test]
fn leave_twice_gives_back_once() {
    let (mut ledger, now) = (Ledger::default(), ms(0));
    let claim = load("lab", 1).claim();
    let starts: Vec<Start> = (0..3).map(|_| ledger.join(now, &claim)).collect();
    ledger.begin(now, &claim, starts[0]);
    ledger.leave(now, &claim, starts[0]);
    ledger.leave(now, &claim, starts[2]);
    ledger.leave(now, &claim, starts[2]);
    assert_eq!(ledger.join(now, &claim), starts[2]);
}

#[test]
fn settle_corrects_the_charge() {
    let (mut ledger, now) = (Ledger::default(), ms(0));
    let claim = load("lab", 1).claim();
    let start = ledger.join(now, &claim);
    ledger.begin(now, &claim, start);
    ledger.settle(now, &claim, 50.0);
    assert_eq!(ledger.join(now, &claim), Start(50_000));
    let start = ledger.join(now, &claim);
    ledger.settle(now, &claim, 0.0);
    assert_eq!(ledger.join(now, &claim), start, "a request that took nothing costs nothing");
}

#[test]
fn serve_costs_predicted_wrongly() {
    // Requests of one workspace take three times as long as predicted, which is settled at their
    // end; who waits 300 ms is refused.
    let mut pool = pool();
    let right = Load { patience: Some(ms(300)), ..load("right", 600) };
    let slow = Load { takes_ms: 3 * COST_MS, workspace: "slow".into(), ..right.clone() };
    pool.run(&[slow, right], SPAN);
    let (slow, right) = (pool.served_per_s("slow") * 3.0, pool.served_per_s("right"));
    assert!(is_near(slow, right), "{slow} and {right} of server time");
}

#[test]
fn ahead_own_pace_or_all() {
    let (mut ledger, now) = (Ledger::default(), ms(0));
    let (hot, other) = (load("hot", 1).claim(), load("other", 1).claim());
    (0..50).for_each(|_| _ = ledger.join(now, &hot));
    assert_eq!(ledger.ahead_ms(&other), 0.0, "a workspace with nothing waiting goes next");
    assert_eq!(ledger.ahead_ms(&hot), 1_000.0);
    (0..10).for_each(|_| _ = ledger.join(now, &other));
    // Ten of each are served by turns.
    assert_eq!(ledger.ahead_ms(&other), 400.0);
    assert_eq!(ledger.ahead_ms(&hot), 1_200.0);
    let back = Claim { returns: true, ..other.clone() };
    assert_eq!(ledger.ahead_ms(&back), 0.0, "no other caller of the workspace came back");
    assert_eq!(ledger.ahead_ms(&Claim { priority: 2, ..other.clone() }), 1_200.0);
    assert_eq!(ledger.ahead_ms(&Claim { priority: 0, ..other }), 0.0);
}

#[test]
fn ahead_predicts_the_wait() {
    // Of 1,600 requests of one workspace and 200 of another, eight servers serve the latter's last
    // one when they have served as much of both.
    let mut pool = pool();
    let now = ms(0);
    (0..1_600).for_each(|_| pool.join(now, &load("hot", 1)));
    (0..199).for_each(|_| pool.join(now, &load("other", 1)));
    let ahead_ms = pool.ledger.ahead_ms(&load("other", 1).claim());
    pool.join(now, &load("other", 1));
    pool.run(&[], SPAN);
    let waited_ms = pool.longest_wait("other").as_secs_f64() * 1_000.0;
    assert!(is_near(ahead_ms / 8.0, waited_ms), "{} predicted, {waited_ms}", ahead_ms / 8.0);
}

#[test]
fn top_most_given_first() {
    let mut pool = pool();
    pool.run(&[load("most", 300), load("some", 60), load("least", 20)], SPAN * 2);
    pool.run(&[], ms(40));
    let top = pool.ledger.top(pool.now, 2);
    let names: Vec<&str> = top.iter().map(|usage| &*usage.workspace).collect();
    assert_eq!(names, ["most", "some"]);
    assert!(is_near(top[0].given_ms_per_s, 6_000.0), "{top:?}");
    let total = pool.ledger.total(pool.now);
    assert!(is_near(total.given_ms_per_s, 7_600.0), "{total:?}");
    assert!(is_near(total.share_ms_per_s(Weight::ONE), 7_600.0 / 3.0));
    assert!(pool.ledger.top(pool.now + ms(60_000), 2).is_empty(), "old use counts nothing");
}

fn ms(milliseconds: u64) -> Time {
    Duration::from_millis(milliseconds)
}
