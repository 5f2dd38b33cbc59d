//! Tests that parsing reports all faults of a manifest, and that no input causes a panic.

use quickcheck::quickcheck;
use serde_json::{Value, json};

use super::*;

fn valid_manifest() -> Value {
    json!({
        "format": 1,
        "pools": { "p": { "max_in_flight": 1, "max_waiting": 1 } },
        "models": {
            "m": { "pool": "p", "weights": "v1", "objective": "time-to-first-token", "default_deadline_ms": 1 },
        },
        "services": { "s": { "pool": "p", "default_deadline_ms": 1 } },
        "workspaces": {
            "w": {
                "keys_sha256": ["0".repeat(64)], "share": 1, "models": ["m"], "services": ["s"],
                "default_priority": "normal", "highest_priority": "urgent",
            },
        },
    })
}

fn faults_of(value: &Value) -> BTreeSet<String> {
    let faults = parse(value.to_string().as_bytes()).expect_err("the manifest is invalid");
    faults.into_iter().map(|fault| fault.path).collect()
}

#[test]
fn parse_valid() {
    let manifest = parse(valid_manifest().to_string().as_bytes()).expect("the manifest is valid");
    assert_eq!(manifest.idempotency_window_s, DEFAULT_IDEMPOTENCY_WINDOW_S);
    let encoded = serde_json::to_vec(&manifest).expect("a manifest can be serialized");
    assert_eq!(parse(&encoded), Ok(manifest));
}

#[test]
fn parse_names_each_fault() {
    let cases: [(&str, Value, &str); 16] = [
        ("/format", json!(2), "format"),
        ("/extra", json!(1), "extra"),
        ("/pools/p/max_in_flight", json!(0), "pools.p.max_in_flight"),
        ("/pools/p/max_waiting", json!("many"), "pools.p.max_waiting"),
        ("/pools/p/extra", json!(1), "pools.p.extra"),
        ("/models/m/pool", json!("none"), "models.m.pool"),
        ("/models/m/objective", json!("fast"), "models.m.objective"),
        ("/models/m/weights", json!(""), "models.m.weights"),
        ("/models/m/default_deadline_ms", json!(0), "models.m.default_deadline_ms"),
        ("/services/s/pool", json!("none"), "services.s.pool"),
        ("/services/s/idempotent_methods", json!(["FETCH"]), "services.s.idempotent_methods"),
        ("/workspaces/w/share", json!(1001), "workspaces.w.share"),
        ("/workspaces/w/models", json!(["none"]), "workspaces.w.model"),
        ("/workspaces/w/keys_sha256", json!(["0"]), "workspaces.w.keys_sha256"),
        ("/workspaces/w/default_priority", json!("high"), "workspaces.w.default_priority"),
        ("/idempotency_window_s", json!(0), "idempotency_window_s"),
    ];
    for (pointer, value, path) in cases {
        let mut manifest = valid_manifest();
        let (parent, field) = pointer.rsplit_once('/').expect("each JSON pointer contains a slash");
        manifest.pointer_mut(parent).expect("each JSON pointer has an existing parent")[field] =
            value;
        let faults = faults_of(&manifest);
        assert!(faults.contains(path), "{path} in {faults:?}");
    }
}

#[test]
fn parse_names_all_faults_at_once() {
    let mut manifest = valid_manifest();
    manifest["pools"]["p"]["max_in_flight"] = json!(0);
    manifest["models"]["m"]["pool"] = json!("none");
    manifest["workspaces"]["w"]["share"] = json!("one");
    manifest["workspaces"]["BAD"] = json!({});
    let paths = ["models.m.pool", "pools.p.max_in_flight", "workspaces.BAD", "workspaces.w.share"];
    assert_eq!(faults_of(&manifest), paths.map(str::to_owned).into());
    assert_eq!(faults_of(&json!([])).len(), 1);
    assert!(faults_of(&json!({})).contains("workspaces"));
}

#[test]
fn parse_rejects_shared_key() {
    let mut manifest = valid_manifest();
    manifest["workspaces"]["x"] = manifest["workspaces"]["w"].clone();
    assert_eq!(faults_of(&manifest), BTreeSet::from(["workspaces.x.keys_sha256".to_owned()]));
}

fn fold(state: &mut State, body: Body) -> Verdict {
    let record = Record { format: FORMAT, id: "id".into(), body };
    state.fold(state.next(), &record.encode())
}

#[test]
fn fold_change_of_a_section() {
    let mut state = State::default();
    let patch = json!({ "workspaces": { "w": { "share": 7 } } });
    let change = |replaces| Body::Change { replaces, patch: patch.clone() };
    assert_eq!(fold(&mut state, change(1)), Verdict::Stale, "no manifest is in force yet");
    fold(&mut state, Body::Publish { replaces: 0, manifest: valid_manifest() });
    assert!(matches!(fold(&mut state, change(1)), Verdict::Accepted(_)));
    let current = state.current().expect("a manifest is in force");
    assert_eq!((current.generation, current.manifest.workspaces["w"].share), (2, 7));
    assert_eq!(fold(&mut state, change(1)), Verdict::Stale);
    let invalid_patch = json!({ "models": { "m": { "pool": "none" } } });
    let verdict = fold(&mut state, Body::Change { replaces: 2, patch: invalid_patch });
    assert_eq!(verdict, Verdict::Invalid(1));
    assert_eq!(state.generation(), 2);
}

quickcheck! {
    fn merge_patch_turns_before_into_after(before: Vec<(u8, u8)>, after: Vec<(u8, u8)>) -> bool {
        let value = |pairs: &[(u8, u8)]| {
            let inner: BTreeMap<String, u8> =
                pairs.iter().map(|(key, value)| (key.to_string(), *value)).collect();
            json!({ "inner": inner, "count": pairs.len() })
        };
        let (mut before, after) = (value(&before), value(&after));
        let patch = merge_patch(&before, &after);
        json_patch::merge(&mut before, &patch);
        before == after
    }

    fn parse_any_bytes(bytes: Vec<u8>) -> bool {
        parse(&bytes).is_err()
    }

    fn fold_any_text(texts: Vec<String>) -> bool {
        let mut state = State::default();
        for (offset, text) in texts.iter().enumerate() {
            state.fold(offset as u64, text);
        }
        state.next() == texts.len() as u64 && state.current().is_none()
    }

    fn mutated_manifest_never_panics(position: usize, byte: u8) -> bool {
        let mut bytes = valid_manifest().to_string().into_bytes();
        let position = position % bytes.len();
        bytes[position] = byte;
        parse(&bytes).is_ok() || !parse(&bytes).expect_err("parsing failed before").is_empty()
    }
}
