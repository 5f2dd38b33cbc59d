//! A level that many prompts share crashes each engine that begins an answer on it.

use super::fixture::{Fixture, find_dispatch, find_refusal, report};
use crate::attempt::Outcome;
use crate::control::{Effect, Message};
use crate::poison::Answer;
use crate::prelude::*;

/// Time after which an engine that broke a connection is used again.
const BACK_OFF: Duration = Duration::from_secs(2);

/// Confirms the ends of the servers that these effects check.
fn confirm_end(fixture: &mut Fixture, effects: Vec<Effect>) {
    let mut effects = effects;
    for _ in 0..4 {
        let probed = effects.iter().filter_map(|effect| match effect {
            Effect::Probe(incarnation, _) => Some(*incarnation),
            _ => None,
        });
        let probed: Vec<_> = probed.collect();
        for incarnation in probed {
            fixture.apply(Message::Probed(incarnation, Answer::Refused));
        }
        fixture.simulation.now += Duration::from_millis(100);
        effects = fixture.apply(Message::Tick);
    }
}

/// Sends a request that no other equals and that crashes its engine; returns what refused it, if anything.
fn crash(fixture: &mut Fixture, number: u32) -> Option<Code> {
    let (request, effects) = fixture.send_prompt("p", "lab", "v1");
    if let Some((code, _)) = find_refusal(&effects) {
        return Some(code);
    }
    let dispatch = find_dispatch(&effects).expect("an engine is free");
    let (engine, attempt) = (dispatch.server, dispatch.attempt);
    fixture.simulation.now += Duration::from_millis(50);
    let effects = fixture.end_attempt(request, attempt, Outcome::Broken("cut".into()));
    if find_dispatch(&effects).is_some() {
        fixture.end_attempt(request, attempt + 1, Outcome::CallerGone);
    }
    confirm_end(fixture, effects);
    fixture.simulation.now += BACK_OFF;
    fixture.apply(Message::Tick);
    let report = Box::new(report(&format!("again-{number}"), "v1"));
    fixture.apply(Message::Polled(engine, report));
    None
}

#[test]
fn level_whose_requests_crashed_engines_is_blocked() {
    let mut fixture = Fixture::new();
    let refused: Vec<Option<Code>> = (0..8).map(|number| crash(&mut fixture, number)).collect();
    let crashes = refused.iter().filter(|code| code.is_none()).count();
    assert!((3..=5).contains(&crashes), "{refused:?}");
    assert_eq!(refused[5..], [Some(Code::RequestBlocked); 3]);
    let (_, effects) = fixture.send_prompt("q", "lab", "v1");
    assert!(find_dispatch(&effects).is_some(), "{effects:?}");
}

#[test]
fn level_on_which_an_answer_has_begun_is_not_blocked() {
    let mut fixture = Fixture::new();
    for number in 0..8 {
        assert_eq!(crash(&mut fixture, number), None);
        let (request, effects) = fixture.send_prompt("p", "lab", "v1");
        let attempt = find_dispatch(&effects).expect("an engine is free").attempt;
        fixture.begin_answer(request, attempt);
        fixture.end_attempt(request, attempt, Outcome::CallerGone);
    }
}
