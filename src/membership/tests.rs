//! Tests of the server table with VM lists and reports in any order.

use quickcheck::quickcheck;

use super::*;
use crate::prelude::*;

fn vm(id: &str, standing: Standing) -> Vm {
    Vm {
        id: id.into(),
        role: Role::ModelServer,
        pool: "p".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        region: "r".into(),
        zone: "z".into(),
        standing,
    }
}

fn report(incarnation: &str, from: u64, seqs: std::ops::Range<u64>, next_seq: u64) -> Report {
    Report {
        incarnation: incarnation.into(),
        from,
        next_seq,
        events: seqs.map(|seq| CacheEvent { seq, change: Change::Stored, block: seq }).collect(),
        ..Report::default()
    }
}

#[test]
fn apply_vm_list_adds_drains_and_removes() {
    let mut state = State::default();
    let added = state.apply_vm_list(vec![vm("a", Standing::Live), vm("b", Standing::Leaving)]);
    assert_eq!(added.len(), 3, "{added:?}");
    let b = state.find("b").expect("the server is listed");
    assert!(state.get(b).is_some_and(|server| server.draining));
    // An outdated list does not reset draining, and the key of a removed server finds nothing.
    assert_eq!(state.apply_vm_list(vec![vm("b", Standing::Live)]).len(), 1);
    assert!(state.get(b).is_some_and(|server| server.draining));
    state.apply_vm_list(Vec::new());
    assert!(state.get(b).is_none() && state.find("b").is_none());
}

/// Guards against new requests to a draining server. The VM list may lag: the server is missing from one answer,
/// and the next one is older and lists it as live. The router must remember that the removed server drained.
#[test]
fn apply_vm_list_older_after_removal_keeps_draining() {
    let mut state = State::default();
    state.apply_vm_list(vec![vm("a", Standing::Live), vm("b", Standing::Leaving)]);
    state.apply_vm_list(vec![vm("a", Standing::Live)]);
    state.apply_vm_list(vec![vm("a", Standing::Live), vm("b", Standing::Live)]);
    let b = state.find("b").expect("the server is listed");
    assert!(state.get(b).is_some_and(|server| server.draining));
    // A removed server that was not draining is in use again.
    state.apply_vm_list(vec![vm("b", Standing::Live)]);
    state.apply_vm_list(vec![vm("a", Standing::Live)]);
    let a = state.find("a").expect("the server is listed");
    assert!(state.get(a).is_some_and(|server| !server.draining));
}

#[test]
fn apply_report_detects_restart_and_gap() {
    let mut state = State::default();
    state.apply_vm_list(vec![vm("a", Standing::Live)]);
    let a = state.find("a").expect("the server is listed");
    let cases = [
        (report("one", 0, 0..3, 3), vec![]),
        (report("one", 3, 3..3, 3), vec![]),
        (report("one", 3, 5..6, 6), vec![Notice::Gap(a, 2)]),
        (report("one", 6, 6..7, 9), vec![Notice::Gap(a, 2)]),
        (report("two", 9, 0..0, 1), vec![Notice::Restarted(a)]),
        (report("two", 0, 0..1, 1), vec![]),
    ];
    for (report, expected) in cases {
        assert_eq!(state.apply_report(Time::ZERO, a, &report), expected, "{report:?}");
    }
}

#[test]
fn apply_report_after_restart_requests_events_from_zero() {
    let mut state = State::default();
    state.apply_vm_list(vec![vm("a", Standing::Live)]);
    let a = state.find("a").expect("the server is listed");
    state.apply_report(Time::ZERO, a, &report("one", 0, 0..7, 7));
    state.apply_report(Time::ZERO, a, &report("two", 7, 0..0, 2));
    assert_eq!(state.get(a).map(|server| server.next_seq), Some(0));
}

#[test]
fn back_off_expires_and_grows() {
    let mut state = State::default();
    state.apply_vm_list(vec![vm("a", Standing::Live)]);
    let a = state.find("a").expect("the server is listed");
    state.apply_report(Time::ZERO, a, &report("one", 0, 0..0, 0));
    let usable = |state: &State, ms| {
        state.get(a).is_some_and(|server| server.is_usable(Duration::from_millis(ms)))
    };
    assert!(usable(&state, 0));
    state.back_off(Time::ZERO, a);
    assert!(!usable(&state, 249) && usable(&state, 250));
    state.back_off(Time::ZERO, a);
    assert!(!usable(&state, 499) && usable(&state, 500));
    state.record_poll_failure(a);
    assert_eq!(state.record_poll_failure(a), Some(Notice::Unreachable(a)));
    assert!(!usable(&state, 10_000));
}

quickcheck! {
    fn apply_vm_list_keeps_listed_servers(lists: Vec<Vec<u8>>) -> bool {
        let mut state = State::default();
        lists.iter().all(|list| {
            let ids: BTreeSet<String> = list.iter().map(|id| (id % 8).to_string()).collect();
            state.apply_vm_list(ids.iter().map(|id| vm(id, Standing::Live)).collect());
            let known: BTreeSet<String> = state.iter().map(|(_, s)| s.vm.id.clone()).collect();
            known == ids
        })
    }
}
