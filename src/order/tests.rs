//! Which orders are due.

use std::net::SocketAddr;

use super::*;
use crate::manifest::{Manifest, parse};
use crate::membership::{Key, Report, Role, Standing, State, Vm};
use crate::prelude::*;

const ALL: Want = Want { settled: true, unload: true };

fn manifest(checks_fencing: bool) -> Manifest {
    let text = serde_json::json!({
        "format": 1,
        "pools": { "p": { "max_in_flight": 1, "max_waiting": 1, "checks_fencing": checks_fencing } },
        "models": {
            "m": {
                "pool": "p", "weights": "v1", "preload": ["v2"],
                "objective": "time-to-first-token", "default_deadline_ms": 1,
            },
        },
        "workspaces": {},
    });
    parse(text.to_string().as_bytes()).expect("it is sound")
}

/// Five engines that have these versions of the model.
fn engines(versions: &[&str]) -> (State, Vec<Key>) {
    let mut state = State::default();
    let vm = |index: usize| Vm {
        id: format!("engine-{index}"),
        role: Role::ModelServer,
        pool: "p".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        region: "r".into(),
        zone: "z".into(),
        standing: Standing::Live,
    };
    state.replace((0..5).map(vm).collect());
    let keys: Vec<Key> = state.iter().map(|(key, _)| key).collect();
    let versions = versions.iter().map(|version| (*version).to_owned()).collect();
    let report = Report {
        incarnation: "one".into(),
        weights: BTreeMap::from([("m".into(), versions)]),
        ..Report::default()
    };
    for key in &keys {
        state.report(Time::ZERO, *key, &report);
    }
    (state, keys)
}

fn load(weights: &str) -> Action {
    Action::Load { model: "m".into(), weights: weights.into(), adapter: None }
}

#[test]
fn plan_loads_what_is_missing_few_at_a_time() {
    let (state, keys) = engines(&["v1"]);
    let plans = plan(&manifest(true), &state, &BTreeSet::new(), ALL);
    assert_eq!(plans.len(), 2);
    assert!(plans.iter().all(|plan| plan.action == load("v2")));
    let busy = BTreeSet::from([keys[0]]);
    assert_eq!(plan(&manifest(true), &state, &busy, ALL).len(), 1);
    let (state, _) = engines(&["v1", "v2"]);
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), ALL), []);
}

#[test]
fn plan_unloads_only_where_it_is_safe() {
    let (state, _) = engines(&["v0", "v1", "v2"]);
    let unload = Action::Unload { model: "m".into(), weights: "v0".into() };
    let plans = plan(&manifest(true), &state, &BTreeSet::new(), ALL);
    assert!(plans.len() == 5 && plans.iter().all(|plan| plan.action == unload), "{plans:?}");
    let early = Want { unload: false, ..ALL };
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), early), []);
    // An engine that ignores fencing numbers could be told so by a former holder, late.
    assert_eq!(plan(&manifest(false), &state, &BTreeSet::new(), ALL), []);
}

#[test]
fn plan_waits_for_former_holder_where_fences_are_ignored() {
    let (state, _) = engines(&["v1"]);
    let unsettled = Want { settled: false, ..ALL };
    assert_eq!(plan(&manifest(false), &state, &BTreeSet::new(), unsettled), []);
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), unsettled).len(), 2);
}

#[test]
fn plan_leaves_leaving_and_silent_engines_alone() {
    let (mut state, keys) = engines(&["v1"]);
    for key in &keys[..3] {
        state.mark_leaving(*key);
    }
    for key in &keys[3..] {
        state.poll_failed(*key);
        state.poll_failed(*key);
    }
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), ALL), []);
}
