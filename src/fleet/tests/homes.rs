//! Homes of parts by the learnt speed of engines.

use super::world::*;
use crate::capacity::Sample;
use crate::fleet::homes::weight::{Candidate, changes};
use crate::fleet::homes::{Homes, Role, Weight};
use crate::fleet::*;
use crate::prelude::*;
use crate::route::Repeat;

/// Number of engines of the daemons here.
const ENGINES: usize = 16;
/// Number of different prompts.
const SUBJECTS: u64 = 2_000;

fn daemon(learns_capacity: bool) -> Daemon {
    let identity = Identity {
        id: "router-1".into(),
        incarnation: 1,
        zone: "zone-1".into(),
        address: address(1),
        handover_address: handover_address(1),
        cores: 1.0,
    };
    let policy = Policy { learns_capacity, ..POLICY };
    let mut daemon = Daemon::with_node(Node::new(identity, policy, decode, &[]));
    daemon.deliver_records(ms(0), Topic::Operator, &[("config", "table 1")]);
    let engines = (0..ENGINES).map(|n| (format!("e-{n}"), format!("engine {} ready 1", 21 + n)));
    let engines: Vec<(String, String)> = engines.collect();
    daemon.deliver_records(ms(0), Topic::Servers, &borrowed(&engines));
    daemon
}

fn set_weight(daemon: &mut Daemon, id: &str, weight: Weight) {
    let mut servers = daemon.node.servers.values_mut();
    let server = servers.find(|server| server.entry.incarnation.id == id);
    server.expect("the engine is registered").home_weight = weight;
}

/// The homes of each subject's prompt. The pool is one cell, that of any request.
fn homes(daemon: &mut Daemon) -> Vec<Homes> {
    let route = route("engines", Repeat::Resumable, 2);
    let (request, _) = daemon.arrive(ms(6_000), &route, Some(prompt(0, 0)));
    let request = &daemon.node.requests[&request];
    let cell = daemon.node.pools["engines"].cells_of(request).next().expect("a pool has a cell");
    let prompts = (0..SUBJECTS).map(|subject| prompt(subject, subject));
    prompts.map(|prompt| daemon.node.homes(ms(6_000), "", cell, &prompt)).collect()
}

/// Number of prompts that have an engine as home, by its id.
fn counts(daemon: &mut Daemon) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for homes in homes(daemon) {
        let servers = daemon.node.servers.iter();
        for (_, server) in servers.filter(|(key, _)| homes.role(*key) == Role::Home) {
            *counts.entry(server.entry.incarnation.id.clone()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn homes_of_engines_with_equal_weights_are_the_same() {
    let without = homes(&mut daemon(false));
    let mut learning = daemon(true);
    for now in (0..5_000).step_by(500) {
        learning.tick(ms(now));
    }
    assert_eq!(homes(&mut learning), without);
    for n in 0..ENGINES {
        set_weight(&mut learning, &format!("e-{n}"), Weight::Double);
    }
    assert_eq!(homes(&mut learning), without);
}

#[test]
fn homes_slow_engine_has_half_and_fast_engine_twice_as_many() {
    let mut daemon = daemon(true);
    let before = counts(&mut daemon);
    set_weight(&mut daemon, "e-3", Weight::Half);
    set_weight(&mut daemon, "e-5", Weight::Double);
    let after = counts(&mut daemon);
    let ratio = |id: &str| after[id] as f64 / before[id] as f64;
    assert!((0.4..0.6).contains(&ratio("e-3")), "{}", ratio("e-3"));
    assert!((1.6..2.1).contains(&ratio("e-5")), "{}", ratio("e-5"));
}

#[test]
fn homes_of_other_engines_do_not_move() {
    let mut daemon = daemon(true);
    let before = homes(&mut daemon);
    set_weight(&mut daemon, "e-5", Weight::Double);
    let after = homes(&mut daemon);
    let fast = daemon.node.servers.iter().find(|(_, server)| server.home_weight == Weight::Double);
    let fast = fast.expect("one engine is fast").0;
    let home = |homes: &Homes| {
        let mut engines = daemon.node.servers.keys();
        engines.find(|key| homes.role(*key) == Role::Home)
    };
    for (before, after) in before.iter().zip(&after) {
        assert!(home(after) == home(before) || home(after) == Some(fast));
    }
}

#[test]
fn weight_after_a_measurement_has_hysteresis() {
    for (weight, slowness, expected) in [
        (Weight::One, 1.4, Weight::One),
        (Weight::One, 1.6, Weight::Half),
        (Weight::Half, 1.4, Weight::Half),
        (Weight::Half, 1.1, Weight::One),
        (Weight::One, 0.7, Weight::One),
        (Weight::One, 0.6, Weight::Double),
        (Weight::Double, 0.7, Weight::Double),
        (Weight::Double, 0.9, Weight::One),
    ] {
        assert_eq!(weight.after(slowness), expected, "{weight:?} at {slowness}");
    }
}

#[test]
fn weight_changes_are_limited_and_begin_with_the_largest_difference() {
    let daemon = daemon(true);
    let keys: Vec<server::Key> = daemon.node.servers.keys().collect();
    let candidates = keys.iter().enumerate().map(|(n, key)| {
        let slowness = if n == 7 { 4.0 } else { 1.6 };
        Candidate { key: *key, weight: Weight::One, slowness }
    });
    let candidates: Vec<Candidate> = candidates.collect();
    assert_eq!(changes(ENGINES, candidates.clone()), [(keys[7], Weight::Half)]);
    assert_eq!(changes(100, candidates).len(), 5);
}

/// The weights of all engines after each has answered eight times, the first three times as slowly
/// as the others.
fn weights_after_answers(learns_capacity: bool) -> Vec<(String, Weight)> {
    let mut daemon = daemon(learns_capacity);
    let pool = daemon.node.pool_speeds.entry("engines".into()).or_default();
    for round in 0..8 {
        let now = ms(5_000 + round * 100);
        for server in daemon.node.servers.values_mut() {
            let is_slow = server.entry.incarnation.id == "e-0";
            let took_ms = if is_slow { 60.0 } else { 20.0 };
            let sample = Sample { predicted_ms: 20.0, took_ms };
            server.speed.record(now, sample);
            pool.record(now, sample);
        }
    }
    daemon.node.update_home_weights(ms(6_000));
    let servers = daemon.node.servers.values();
    servers.map(|server| (server.entry.incarnation.id.clone(), server.home_weight)).collect()
}

/// Weights needed more samples than an estimate ever has, so a slow engine kept its parts.
#[test]
fn update_home_weights_halves_that_of_a_slow_engine() {
    for (id, weight) in weights_after_answers(true) {
        let expected = if id == "e-0" { Weight::Half } else { Weight::One };
        assert_eq!(weight, expected, "{id}");
    }
}

#[test]
fn update_home_weights_without_learnt_speeds_changes_nothing() {
    assert!(weights_after_answers(false).iter().all(|(_, weight)| *weight == Weight::One));
}
