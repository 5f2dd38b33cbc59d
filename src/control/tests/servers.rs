//! Handling of requests when engines restart, freeze, drain or fail.

use super::simulation::{Faults, Simulation, manifest_value, publish_record};
use crate::attempt::{self, Arrival, Command, Dispatch, Outcome, Report, Target};
use crate::control::{Effect, Message, Read, Stream};
use crate::manifest::{Objective, Priority};
use crate::membership::{CacheEvent, Change, Standing};
use crate::peer::{Copy, Digest, Frame};
use crate::poison::{Blocked, Fingerprint, Record};
use crate::prefix::{BLOCK_BYTES, Key, Prefix, Scope, root};
use crate::prelude::*;

fn report(incarnation: &str, weights: &str) -> crate::membership::Report {
    crate::membership::Report {
        incarnation: incarnation.into(),
        weights: BTreeMap::from([("m".into(), BTreeSet::from([weights.to_owned()]))]),
        prefill_tokens_per_s: 1_000,
        ..crate::membership::Report::default()
    }
}

/// One node and two engines that have reported.
struct Fixture {
    simulation: Simulation,
    next_request: u64,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture =
            Self { simulation: Simulation::new(1, 1, Faults::default()), next_request: 0 };
        for id in ["engine-0", "engine-1"] {
            fixture.deliver_report(id, report("one", "v1"));
        }
        fixture
    }

    fn apply(&mut self, message: Message) -> Vec<Effect> {
        self.simulation.nodes[0].apply(self.simulation.now, message)
    }

    fn deliver_report(&mut self, id: &str, report: crate::membership::Report) -> Vec<Effect> {
        let server = self.simulation.server_key(0, id);
        self.apply(Message::Polled(server, Box::new(report)))
    }

    fn send_request(&mut self, workspace: &str, weights: &str) -> (attempt::Key, Vec<Effect>) {
        self.send_prompt("p", workspace, weights)
    }

    fn send_prompt(
        &mut self,
        text: &str,
        workspace: &str,
        weights: &str,
    ) -> (attempt::Key, Vec<Effect>) {
        let request = attempt::Key(1_000 + self.next_request);
        self.next_request += 1;
        let salt = root(Scope { workspace, model: "m", weights, adapter: "" });
        let prompt = text.repeat(8 * BLOCK_BYTES);
        let arrival = Arrival {
            request,
            workspace: workspace.into(),
            share: 1,
            target: Target::Model {
                model: "m".into(),
                weights: weights.into(),
                objective: Objective::TimeToFirstToken,
                salt,
            },
            pool: "model".into(),
            priority: Priority::Normal,
            deadline: self.simulation.now + Duration::from_secs(1),
            prefix: Prefix::new(salt, prompt.as_bytes(), &[]),
            prompt_tokens: 2_048,
            max_tokens: 1,
            idempotent: true,
            fingerprint: Fingerprint(request.0),
            claim: None,
        };
        let effects = self.apply(Message::Arrive(Box::new(arrival)));
        (request, effects)
    }

    fn end_attempt(
        &mut self,
        request: attempt::Key,
        attempt: u32,
        outcome: Outcome,
    ) -> Vec<Effect> {
        self.apply(Message::Report { request, attempt, report: Report::Ended(outcome) })
    }

    fn begin_answer(&mut self, request: attempt::Key, attempt: u32) {
        let report = Report::Begun { cached_tokens: Some(0) };
        self.apply(Message::Report { request, attempt, report });
    }
}

fn commands(effects: &[Effect]) -> Vec<&Command> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Command(_, command) => Some(&**command),
            _ => None,
        })
        .collect()
}

fn find_dispatch(effects: &[Effect]) -> Option<&Dispatch> {
    commands(effects).into_iter().find_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    })
}

fn find_refusal(effects: &[Effect]) -> Option<(Code, Execution)> {
    commands(effects).into_iter().find_map(|command| match command {
        Command::Refuse(refusal) => Some((refusal.error.code, refusal.execution)),
        _ => None,
    })
}

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

#[test]
fn broken_stream_resumes_then_continues_elsewhere() {
    let mut fixture = Fixture::new();
    let (request, effects) = fixture.send_request("w", "v1");
    let server = find_dispatch(&effects).expect("the request is dispatched").server;
    fixture.begin_answer(request, 1);
    let effects = fixture.end_attempt(request, 1, Outcome::Broken("cut".into()));
    let second = find_dispatch(&effects).expect("the stream is resumed").clone();
    assert!(second.resume && second.server == server);
    let effects = fixture.end_attempt(request, 2, Outcome::Broken("cut again".into()));
    let third = find_dispatch(&effects).expect("the stream is continued").clone();
    assert!(!third.resume && third.server != server);
    fixture.end_attempt(request, 3, Outcome::Broken("cut".into()));
    let effects = fixture.end_attempt(request, 4, Outcome::Broken("cut".into()));
    assert_eq!(find_refusal(&effects), Some((Code::GenerationFailed, Execution::Unknown)));
}

/// An engine's report with a version of its software.
fn report_of_software(software: &str) -> crate::membership::Report {
    crate::membership::Report { software: Some(software.into()), ..report("one", "v1") }
}

#[test]
fn broken_stream_continues_only_at_the_software_version_that_began_it() {
    for (other, continues) in [("s1", true), ("s2", false)] {
        let mut fixture = Fixture::new();
        fixture.deliver_report("engine-0", report_of_software("s1"));
        fixture.deliver_report("engine-1", report_of_software("s1"));
        let (request, effects) = fixture.send_request("w", "v1");
        let first = find_dispatch(&effects).expect("the request is dispatched").id.clone();
        fixture.begin_answer(request, 1);
        let second = if first == "engine-0" { "engine-1" } else { "engine-0" };
        fixture.deliver_report(second, report_of_software(other));
        // The stream is resumed at its engine, in vain.
        fixture.end_attempt(request, 1, Outcome::Broken("cut".into()));
        let effects = fixture.end_attempt(request, 2, Outcome::Broken("cut again".into()));
        let next = find_dispatch(&effects).map(|dispatch| dispatch.id.as_str());
        assert_eq!(next == Some(second), continues, "{next:?} after {first}");
    }
}

#[test]
fn failure_reports_execution() {
    let cases = [
        (Outcome::Late, Code::DeadlinePassed, Execution::NotRun),
        (Outcome::Broken("b".into()), Code::OutcomeUnknown, Execution::Unknown),
        (Outcome::TooLarge, Code::AnswerTooLarge, Execution::Unknown),
    ];
    for (outcome, code, execution) in cases {
        let mut simulation = Simulation::new(1, 1, Faults::default());
        let request = simulation.send_payment(0, None);
        let report = Report::Ended(outcome.clone());
        let effects = simulation.nodes[0]
            .apply(simulation.now, Message::Report { request, attempt: 1, report });
        assert_eq!(find_refusal(&effects), Some((code, execution)), "{outcome:?}");
    }
    let mut simulation = Simulation::new(1, 1, Faults::default());
    let request = simulation.send_payment(0, None);
    for attempt in 1..=attempt::MAX_ATTEMPTS {
        let report = Report::Ended(Outcome::Unsent("refused".into()));
        let message = Message::Report { request, attempt, report };
        let effects = simulation.nodes[0].apply(simulation.now, message);
        match find_refusal(&effects) {
            None => simulation.now += Duration::from_millis(1),
            Some(answer) => {
                assert_eq!(answer.1, Execution::NotRun, "attempt {attempt}: {answer:?}");
                return;
            }
        }
    }
    panic!("the request was never refused");
}

#[test]
fn refusal_after_an_attempt_that_may_have_run_is_unknown() {
    let mut fixture = Fixture::new();
    let (request, _) = fixture.send_request("w", "v1");
    for id in ["engine-0", "engine-1"] {
        let server = fixture.simulation.server_key(0, id);
        fixture.apply(Message::PollFailed(server));
        fixture.apply(Message::PollFailed(server));
    }
    let effects = fixture.end_attempt(request, 1, Outcome::Broken("cut".into()));
    assert_eq!(find_refusal(&effects), Some((Code::NoServer, Execution::Unknown)));
}

#[test]
fn late_report_of_an_ended_attempt_changes_nothing() {
    let mut fixture = Fixture::new();
    let (request, _) = fixture.send_request("w", "v1");
    fixture.end_attempt(request, 1, Outcome::Broken("cut".into()));
    let effects = fixture.end_attempt(request, 1, Outcome::Complete(None));
    assert_eq!(effects, []);
    assert!(fixture.simulation.nodes[0].is_open(request), "the second attempt is still running");
}

#[test]
fn retries_are_budgeted() {
    let mut fixture = Fixture::new();
    let mut retry_count = 0;
    for _ in 0..100 {
        let (request, _) = fixture.send_request("w", "v1");
        for attempt in 1..=attempt::MAX_ATTEMPTS {
            let effects = fixture.end_attempt(request, attempt, Outcome::Broken("cut".into()));
            if find_dispatch(&effects).is_none() {
                break;
            }
            retry_count += 1;
        }
    }
    assert!((20..=31).contains(&retry_count), "{retry_count} retries for 100 requests");
}

#[test]
fn retries_left_after_many_successes() {
    let mut fixture = Fixture::new();
    for _ in 0..100 {
        let (request, _) = fixture.send_request("w", "v1");
        fixture.end_attempt(request, 1, Outcome::Complete(None));
    }
    for number in 0..5 {
        let (request, _) = fixture.send_request("w", "v1");
        let effects = fixture.end_attempt(request, 1, Outcome::Broken("cut".into()));
        assert!(find_dispatch(&effects).is_some(), "retry {number} is not allowed");
        fixture.end_attempt(request, 2, Outcome::Complete(None));
    }
}

#[test]
fn ready_once_engines_answered_or_failed() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    assert!(!simulation.nodes[0].is_ready(), "no engine has been polled");
    let servers = ["engine-0", "engine-1"].map(|id| simulation.server_key(0, id));
    simulation.nodes[0]
        .apply(simulation.now, Message::Polled(servers[0], Box::new(report("one", "v1"))));
    assert!(simulation.nodes[0].is_ready());
    let mut simulation = Simulation::new(1, 1, Faults::default());
    for server in servers {
        simulation.nodes[0].apply(simulation.now, Message::PollFailed(server));
    }
    assert!(simulation.nodes[0].is_ready(), "a pool that is down does not delay readiness");
}

/// Guards against sending a blocked request before the stream of blocks has been read. Blocks have a stream of
/// their own, and peers report them only until the stream has them. Manifest and engines are thus not enough
/// for a daemon that just started to be ready.
#[test]
fn ready_once_blocked_requests_are_known() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    let blocked = [Fingerprint(7), Fingerprint(8)];
    for fingerprint in blocked {
        let blocked = Blocked { fingerprint, age: Duration::ZERO };
        simulation.append_record(Stream::Blocked, Record::new(&[blocked], &[]).encode());
    }
    simulation.log_down = true;
    simulation.restart(0);
    simulation.log_down = false;
    simulation.read(0, Stream::Manifest);
    let servers = ["engine-0", "engine-1"].map(|id| simulation.server_key(0, id));
    for server in servers {
        simulation.deliver(0, Message::Polled(server, Box::new(report("one", "v1"))));
    }
    assert!(simulation.nodes[0].is_ready(), "an unreadable stream does not delay readiness");
    let first = simulation.log[&Stream::Blocked][..1].to_vec();
    let page = Read { first: 0, next: 2, retention_s: 1_000, records: first };
    simulation.deliver(0, Message::Records(Stream::Blocked, page));
    assert!(!simulation.nodes[0].is_ready(), "one of two records has not been read");
    simulation.read(0, Stream::Blocked);
    assert!(simulation.nodes[0].is_ready());
}

#[test]
fn ready_once_blocked_stream_was_read_or_failed() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    let mut node = simulation.nodes.remove(0);
    node.readings.remove(&Stream::Blocked);
    for id in ["engine-0", "engine-1"] {
        let server = node.membership.find(id).expect("the VM list has the server");
        node.apply(simulation.now, Message::Polled(server, Box::new(report("one", "v1"))));
    }
    assert!(!node.is_ready(), "the first read has neither succeeded nor failed");
    node.apply(simulation.now, Message::LogDown(Stream::Blocked));
    assert!(node.is_ready());
}

#[test]
fn drain_waits_for_requests_and_outcomes() {
    let mut simulation = Simulation::new(1, 1, Faults::default());
    simulation.send_payment(0, Some("k"));
    simulation.deliver(0, Message::Stop);
    assert!(simulation.nodes[0].is_draining() && !simulation.nodes[0].is_ready());
    assert!(!simulation.nodes[0].is_drained());
    simulation.settle();
    assert!(simulation.nodes[0].is_drained());
    assert_eq!(simulation.runs.len(), 1, "the request did not run to its end");
}

/// Requested sequence number, next sequence number, and events as (sequence number, stored, block).
type ReportParts = (u64, u64, Vec<(u64, bool, u8)>);

quickcheck::quickcheck! {
    /// Reports with any events never cause a panic or more residency entries than they name.
    fn report_any_events(reports: Vec<ReportParts>) -> bool {
        let mut fixture = Fixture::new();
        let mut named_count = 0;
        for (from, next_seq, events) in reports {
            named_count += events.len();
            let event = |(seq, stored, block): (u64, bool, u8)| CacheEvent {
                seq,
                change: if stored { Change::Stored } else { Change::Evicted },
                block: block.into(),
            };
            let events = events.into_iter().map(event).collect();
            fixture.deliver_report("engine-0", crate::membership::Report {
                from,
                next_seq,
                events,
                import_ms: Some(f64::NAN),
                ..report("one", "v1")
            });
        }
        let (_, effects) = fixture.send_request("w", "v1");
        fixture.simulation.nodes[0].residency.len() <= named_count + 8 && find_dispatch(&effects).is_some()
    }
}
