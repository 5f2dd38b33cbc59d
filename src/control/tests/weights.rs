//! Requests for weights that engines do not serve, or not yet.

use super::fixture::{Fixture, find_dispatch, find_refusal, report};
use super::simulation::{Faults, Simulation, manifest_value, publish_record};
use crate::attempt::{self, Outcome};
use crate::control::{Effect, Message, Stream};
use crate::prelude::*;

#[test]
fn weights_unserved_are_refused() {
    let mut fixture = Fixture::new();
    let (_, effects) = fixture.send_request("w", "v2");
    assert_eq!(find_refusal(&effects), Some((Code::NoServer, Execution::NotRun)));
}

/// Puts `v2` in force and requests it from a node whose engines last reported `v1`.
fn send_request_after_switch(fixture: &mut Fixture) -> (attempt::Key, Vec<Effect>) {
    fixture.simulation.now += Duration::from_millis(100);
    fixture
        .simulation
        .append_record(Stream::Manifest, publish_record("second", 1, manifest_value("v2")));
    fixture.simulation.read(0, Stream::Manifest);
    fixture.simulation.now += Duration::from_millis(20);
    fixture.send_request("w", "v2")
}

fn count_polls(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::Poll { .. })).count()
}

fn report_with_both_versions(incarnation: &str) -> crate::membership::Report {
    let both = BTreeSet::from(["v1".to_owned(), "v2".to_owned()]);
    let weights = BTreeMap::from([("m".to_owned(), both)]);
    crate::membership::Report { weights, ..report(incarnation, "v1") }
}

/// Guards against refusing on reports from before a switch. Operators put weights in force once one daemon
/// reports that all engines have them. Another daemon may have polled the engines just before they loaded
/// them. It would refuse with 503 and code 2002 until its next polls, up to 500 ms later.
#[test]
fn weights_loaded_since_the_last_report_are_served() {
    let mut fixture = Fixture::new();
    let (_, effects) = send_request_after_switch(&mut fixture);
    assert_eq!(find_refusal(&effects), None, "no engine has been polled since v2 came into force");
    assert_eq!(count_polls(&effects), 2, "{effects:?}");
    let effects = fixture.deliver_report("engine-1", report_with_both_versions("one"));
    assert_eq!(find_dispatch(&effects).map(|dispatch| dispatch.id.as_str()), Some("engine-1"));
}

/// Guards against judging a pool by one engine. A daemon that just started has polled only an engine without
/// the new weights. It must not refuse a request that the other engine could serve.
#[test]
fn weights_at_unpolled_engine_are_served() {
    let mut fixture =
        Fixture { simulation: Simulation::new(1, 1, Faults::default()), next_request: 0 };
    fixture.deliver_report("engine-0", report("one", "v1"));
    assert!(fixture.simulation.nodes[0].is_ready());
    let (_, effects) = send_request_after_switch(&mut fixture);
    assert_eq!(find_refusal(&effects), None, "engine-1 has not been polled");
    fixture.deliver_report("engine-0", report("one", "v1"));
    let effects = fixture.deliver_report("engine-1", report("one", "v2"));
    assert_eq!(find_dispatch(&effects).map(|dispatch| dispatch.id.as_str()), Some("engine-1"));
}

/// A request is refused once every engine has been polled since the switch, or its poll has failed.
#[test]
fn weights_unserved_are_refused_once_all_engines_polled() {
    let mut fixture = Fixture::new();
    let (_, effects) = send_request_after_switch(&mut fixture);
    assert_eq!(find_refusal(&effects), None, "no engine has been polled since the switch");
    let effects = fixture.deliver_report("engine-0", report("one", "v1"));
    assert_eq!(find_refusal(&effects), None, "engine-1 has not been polled since the switch");
    let server = fixture.simulation.server_key(0, "engine-1");
    let effects = fixture.apply(Message::PollFailed(server));
    assert_eq!(find_refusal(&effects), Some((Code::NoServer, Execution::NotRun)));
    let (_, effects) = fixture.send_request("w", "v2");
    assert_eq!(find_refusal(&effects), Some((Code::NoServer, Execution::NotRun)));
}

/// A poll that was in flight when the weights came into force may report the state before.
#[test]
fn report_from_before_switch_is_not_conclusive() {
    let mut fixture = Fixture::new();
    fixture.simulation.now += Duration::from_millis(600);
    assert_eq!(count_polls(&fixture.apply(Message::Tick)), 2, "polls are due");
    let (request, effects) = send_request_after_switch(&mut fixture);
    assert_eq!((find_refusal(&effects), count_polls(&effects)), (None, 0));
    for id in ["engine-0", "engine-1"] {
        let effects = fixture.deliver_report(id, report("one", "v1"));
        assert_eq!(
            (find_refusal(&effects), count_polls(&effects)),
            (None, 1),
            "{id} is polled again"
        );
    }
    let effects = fixture.deliver_report("engine-0", report_with_both_versions("one"));
    assert!(find_dispatch(&effects).is_some());
    fixture.end_attempt(request, 1, Outcome::Complete(None));
}

/// A frozen engine delays a request no longer than until its deadline.
#[test]
fn request_waiting_for_reports_ends_at_deadline() {
    let mut fixture = Fixture::new();
    let (_, effects) = send_request_after_switch(&mut fixture);
    assert_eq!(find_refusal(&effects), None);
    fixture.simulation.now += Duration::from_millis(1_001);
    let effects = fixture.apply(Message::Tick);
    assert_eq!(find_refusal(&effects), Some((Code::DeadlinePassed, Execution::NotRun)));
}
