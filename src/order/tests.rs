//! Tests of the due orders.

use std::net::SocketAddr;

use super::*;
use crate::manifest::{Manifest, parse};
use crate::membership::{Key, Report, Role, Standing, State, Vm};
use crate::prelude::*;

const ALL_PERMISSIONS: Permissions = Permissions { allow_unfenced: true, allow_unload: true };

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
    parse(text.to_string().as_bytes()).expect("the manifest is valid")
}

/// Creates five engines with these versions of the model loaded.
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
    state.apply_vm_list((0..5).map(vm).collect());
    let keys: Vec<Key> = state.iter().map(|(key, _)| key).collect();
    let versions = versions.iter().map(|version| (*version).to_owned()).collect();
    let report = Report {
        incarnation: "one".into(),
        weights: BTreeMap::from([("m".into(), versions)]),
        ..Report::default()
    };
    for key in &keys {
        state.apply_report(Time::ZERO, *key, &report);
    }
    (state, keys)
}

fn load(weights: &str) -> Action {
    Action::Load { model: "m".into(), weights: weights.into(), adapter: None }
}

#[test]
fn plan_loads_missing_versions_two_engines_at_a_time() {
    let (state, keys) = engines(&["v1"]);
    let assignments = plan(&manifest(true), &state, &BTreeSet::new(), ALL_PERMISSIONS);
    assert_eq!(assignments.len(), 2);
    assert!(assignments.iter().all(|assignment| assignment.action == load("v2")));
    let busy = BTreeSet::from([keys[0]]);
    assert_eq!(plan(&manifest(true), &state, &busy, ALL_PERMISSIONS).len(), 1);
    let (state, _) = engines(&["v1", "v2"]);
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), ALL_PERMISSIONS), []);
}

#[test]
fn plan_unloads_only_with_fencing_and_permission() {
    let (state, _) = engines(&["v0", "v1", "v2"]);
    let unload = Action::Unload { model: "m".into(), weights: "v0".into() };
    let assignments = plan(&manifest(true), &state, &BTreeSet::new(), ALL_PERMISSIONS);
    assert!(
        assignments.len() == 5 && assignments.iter().all(|assignment| assignment.action == unload),
        "{assignments:?}"
    );
    let no_unload = Permissions { allow_unload: false, ..ALL_PERMISSIONS };
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), no_unload), []);
    // An engine that ignores fencing numbers could receive a delayed unload order of a former lease holder.
    assert_eq!(plan(&manifest(false), &state, &BTreeSet::new(), ALL_PERMISSIONS), []);
}

#[test]
fn plan_skips_unfenced_engines_without_permission() {
    let (state, _) = engines(&["v1"]);
    let no_unfenced = Permissions { allow_unfenced: false, ..ALL_PERMISSIONS };
    assert_eq!(plan(&manifest(false), &state, &BTreeSet::new(), no_unfenced), []);
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), no_unfenced).len(), 2);
}

#[test]
fn plan_skips_draining_and_unreachable_engines() {
    let (mut state, keys) = engines(&["v1"]);
    for key in &keys[..3] {
        state.mark_draining(*key);
    }
    for key in &keys[3..] {
        state.record_poll_failure(*key);
        state.record_poll_failure(*key);
    }
    assert_eq!(plan(&manifest(true), &state, &BTreeSet::new(), ALL_PERMISSIONS), []);
}
