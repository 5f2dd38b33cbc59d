//! A node with two engines, and requests to it.

use super::simulation::{Faults, Simulation};
use crate::attempt::{self, Arrival, Command, Dispatch, Outcome, Report, Target};
use crate::control::{Effect, Message};
use crate::manifest::{Objective, Priority};
use crate::poison::Fingerprint;
use crate::prefix::{BLOCK_BYTES, Prefix, Scope, root};
use crate::prelude::*;

pub fn report(incarnation: &str, weights: &str) -> crate::membership::Report {
    crate::membership::Report {
        incarnation: incarnation.into(),
        weights: BTreeMap::from([("m".into(), BTreeSet::from([weights.to_owned()]))]),
        prefill_tokens_per_s: 1_000,
        ..crate::membership::Report::default()
    }
}

/// One node and two engines that have reported.
pub struct Fixture {
    pub simulation: Simulation,
    pub next_request: u64,
}

impl Fixture {
    pub fn new() -> Self {
        let mut fixture =
            Self { simulation: Simulation::new(1, 1, Faults::default()), next_request: 0 };
        for id in ["engine-0", "engine-1"] {
            fixture.deliver_report(id, report("one", "v1"));
        }
        fixture
    }

    pub fn apply(&mut self, message: Message) -> Vec<Effect> {
        self.simulation.nodes[0].apply(self.simulation.now, message)
    }

    pub fn deliver_report(&mut self, id: &str, report: crate::membership::Report) -> Vec<Effect> {
        let server = self.simulation.server_key(0, id);
        self.apply(Message::Polled(server, Box::new(report)))
    }

    pub fn send_request(&mut self, workspace: &str, weights: &str) -> (attempt::Key, Vec<Effect>) {
        self.send_prompt("p", workspace, weights)
    }

    pub fn send_prompt(
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

    pub fn end_attempt(
        &mut self,
        request: attempt::Key,
        attempt: u32,
        outcome: Outcome,
    ) -> Vec<Effect> {
        self.apply(Message::Report { request, attempt, report: Report::Ended(outcome) })
    }

    pub fn begin_answer(&mut self, request: attempt::Key, attempt: u32) {
        let report = Report::Begun { cached_tokens: Some(0) };
        self.apply(Message::Report { request, attempt, report });
    }
}

pub fn commands(effects: &[Effect]) -> Vec<&Command> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Command(_, command) => Some(&**command),
            _ => None,
        })
        .collect()
}

pub fn find_dispatch(effects: &[Effect]) -> Option<&Dispatch> {
    commands(effects).into_iter().find_map(|command| match command {
        Command::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    })
}

pub fn find_refusal(effects: &[Effect]) -> Option<(Code, Execution)> {
    commands(effects).into_iter().find_map(|command| match command {
        Command::Refuse(refusal) => Some((refusal.error.code, refusal.execution)),
        _ => None,
    })
}
