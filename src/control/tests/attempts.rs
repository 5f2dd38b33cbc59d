//! Attempts that end without an answer: resumes, retries and refusals.

use super::fixture::{Fixture, find_dispatch, find_refusal, report};
use super::simulation::{Faults, Simulation};
use crate::attempt::{self, Outcome, Report};
use crate::control::Message;
use crate::prelude::*;

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
        // The first retry resumes the stream at its engine and fails.
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
