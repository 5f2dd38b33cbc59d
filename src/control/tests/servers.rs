//! Handling of requests when engines restart, freeze, drain or fail.

use super::fixture::{Fixture, commands, find_dispatch, report};
use super::simulation::{Faults, Simulation};
use crate::attempt::{Command, Outcome};
use crate::control::Message;
use crate::membership::{CacheEvent, Change, Standing};
use crate::peer::{Copy, Digest, Frame};
use crate::prefix::{BLOCK_BYTES, Key, Prefix, Scope, root};

#[test]
fn restart_drops_residency() {
    let mut fixture = Fixture::new();
    let (request, effects) = fixture.send_request("w", "v1");
    let first = find_dispatch(&effects).expect("the request is dispatched").clone();
    fixture.begin_answer(request, 1);
    fixture.end_attempt(request, 1, Outcome::Complete(None));
    assert_eq!(fixture.simulation.nodes[0].residency.len(), 8);
    let mut restarted = report("two", "v1");
    restarted.from = 5;
    fixture.deliver_report(&first.id, restarted);
    assert!(
        fixture.simulation.nodes[0].residency.is_empty(),
        "entries of a replaced incarnation remain"
    );
}

#[test]
fn residency_separate_by_workspace_and_weights() {
    let mut fixture = Fixture::new();
    fixture.send_request("w", "v1");
    for (workspace, weights) in [("other", "v1"), ("w", "v2")] {
        let salt = root(Scope { workspace, model: "m", weights, adapter: "" });
        let prefix = Prefix::new(salt, "p".repeat(8 * BLOCK_BYTES).as_bytes(), &[]);
        let depth = fixture.simulation.nodes[0].residency.depth(&prefix.blocks);
        assert!(depth.is_empty(), "{workspace} {weights}: {depth:?}");
    }
}

#[test]
fn copy_of_another_incarnation_is_ignored() {
    let mut fixture = Fixture::new();
    let salt = root(Scope { workspace: "w", model: "m", weights: "v1", adapter: "" });
    let prefix = Prefix::new(salt, "p".repeat(8 * BLOCK_BYTES).as_bytes(), &[]);
    let level = prefix.level_key(0).expect("the prefix has a level");
    for (incarnation, expected_holders) in [("one", 1), ("two", 0)] {
        let copy = Copy { level, server: "engine-1".into(), incarnation: incarnation.into() };
        let digest = Digest { daemon: "router-9".into(), copies: vec![copy], ..Digest::default() };
        fixture.apply(Message::Frame(Frame::Digest(digest)));
        let depth = fixture.simulation.nodes[0].cached_depth(fixture.simulation.now, &prefix);
        assert_eq!(depth.len(), expected_holders, "{incarnation}");
    }
}

#[test]
fn event_gap_over_many_events_drops_residency() {
    let mut fixture = Fixture::new();
    let stored = |seq| CacheEvent { seq, change: Change::Stored, block: seq };
    let events = vec![stored(0), stored(1)];
    fixture.deliver_report(
        "engine-0",
        crate::membership::Report { next_seq: 2, events, ..report("one", "v1") },
    );
    assert_eq!(fixture.simulation.nodes[0].residency.len(), 2);
    let events = vec![stored(4)];
    let gap = crate::membership::Report { from: 2, next_seq: 5, events, ..report("one", "v1") };
    fixture.deliver_report("engine-0", gap);
    let depth = fixture.simulation.nodes[0].residency.depth(&[Key(4)]);
    assert_eq!(
        fixture.simulation.nodes[0].residency.len(),
        1,
        "only entries from after the gap remain"
    );
    assert_eq!(depth.len(), 1);
}

#[test]
fn draining_server_gets_no_requests_from_any_source() {
    for source in 0..3 {
        let mut fixture = Fixture::new();
        match source {
            0 => {
                let mut vms = fixture.simulation.vms();
                for vm in vms.iter_mut().filter(|vm| vm.id == "engine-0") {
                    vm.standing = Standing::Leaving;
                }
                fixture.apply(Message::VmList(vms));
            }
            1 => {
                let draining = crate::membership::Report { leaving: true, ..report("one", "v1") };
                fixture.deliver_report("engine-0", draining);
            }
            _ => {
                let draining_servers = vec!["engine-0".to_owned()];
                let digest =
                    Digest { daemon: "router-9".into(), draining_servers, ..Digest::default() };
                fixture.apply(Message::Frame(Frame::Digest(digest)));
            }
        }
        // The VM list lags and still shows the server as live.
        let vms = fixture.simulation.vms();
        fixture.apply(Message::VmList(vms));
        for text in ["a", "b", "c", "d", "e", "f"] {
            let (request, effects) = fixture.send_prompt(text, "w", "v1");
            let dispatch = find_dispatch(&effects).expect("the request is dispatched");
            assert_eq!(dispatch.id, "engine-1", "source {source}");
            fixture.end_attempt(request, 1, Outcome::Complete(None));
        }
    }
}

/// Guards against dropping a digest's draining servers that are not known yet. A daemon that just started may
/// get the digest before the VM list, which can lag. It would send them requests until the peer's next digest,
/// and without end if the peer stops.
#[test]
fn draining_server_listed_late_gets_no_requests() {
    let mut fixture =
        Fixture { simulation: Simulation::new(1, 1, Faults::default()), next_request: 0 };
    let vms = fixture.simulation.vms();
    fixture.apply(Message::VmList(Vec::new()));
    let draining_servers = vec!["engine-0".to_owned()];
    let digest = Digest { daemon: "router-9".into(), draining_servers, ..Digest::default() };
    fixture.apply(Message::Frame(Frame::Digest(digest)));
    fixture.apply(Message::VmList(vms));
    for id in ["engine-0", "engine-1"] {
        fixture.deliver_report(id, report("one", "v1"));
    }
    for text in ["a", "b", "c", "d", "e", "f"] {
        let (request, effects) = fixture.send_prompt(text, "w", "v1");
        assert_eq!(find_dispatch(&effects).map(|dispatch| dispatch.id.as_str()), Some("engine-1"));
        fixture.end_attempt(request, 1, Outcome::Complete(None));
    }
}

#[test]
fn unreachable_engine_aborts_attempts() {
    let mut fixture = Fixture::new();
    let (request, effects) = fixture.send_request("w", "v1");
    let server = find_dispatch(&effects).expect("the request is dispatched").server;
    fixture.apply(Message::PollFailed(server));
    let effects = fixture.apply(Message::PollFailed(server));
    assert_eq!(commands(&effects), [&Command::Abort(1)]);
    let effects = fixture.end_attempt(request, 1, Outcome::Broken("aborted".into()));
    assert_ne!(
        find_dispatch(&effects).expect("the request is retried on another server").server,
        server
    );
}
