//! The form of schedulers' frames on the wire.

use std::net::SocketAddr;

use super::{Assignment, Decision, Step};
use crate::fleet::{Incarnation, Key, Loss, Malformed, Part, Prompt, Refusal, Report};
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::quota::{Quota, Unit};
use crate::route::{Repeat, Workspace};

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct Submission {
    #[prost(string, tag = "1")]
    daemon: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    request: u64,
    #[prost(string, tag = "4")]
    id: String,
    #[prost(string, tag = "5")]
    route: String,
    #[prost(uint32, tag = "6")]
    repeat: u32,
    #[prost(uint32, tag = "7")]
    target_ms: u32,
    #[prost(uint32, tag = "8")]
    rank: u32,
    #[prost(uint32, tag = "9")]
    attempts: u32,
    #[prost(string, tag = "10")]
    pool: String,
    /// The workspace, where it shares no cached prompt with others.
    #[prost(string, optional, tag = "11")]
    isolated: Option<String>,
    #[prost(uint32, tag = "12")]
    left_ms: u32,
    #[prost(message, optional, tag = "13")]
    prompt: Option<WirePrompt>,
    #[prost(fixed64, tag = "14")]
    fingerprint: u64,
    /// Any other workspace.
    #[prost(string, optional, tag = "15")]
    workspace: Option<String>,
    #[prost(message, optional, tag = "16")]
    quota: Option<WireQuota>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireQuota {
    #[prost(uint64, tag = "1")]
    rate: u64,
    #[prost(uint64, tag = "2")]
    burst: u64,
    /// Tokens of a request that tells of none, where tokens are counted.
    #[prost(uint32, optional, tag = "3")]
    plain: Option<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WirePrompt {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(uint32, tag = "2")]
    input: u32,
    #[prost(uint32, tag = "3")]
    output: u32,
    /// Parts, beside their tokens.
    #[prost(fixed64, repeated, tag = "4")]
    parts: Vec<u64>,
    #[prost(uint32, repeated, tag = "5")]
    tokens: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct Progress {
    #[prost(string, tag = "1")]
    daemon: String,
    #[prost(uint64, tag = "2")]
    request: u64,
    #[prost(uint32, tag = "3")]
    attempt: u32,
    #[prost(uint32, tag = "4")]
    step: u32,
    #[prost(uint64, optional, tag = "5")]
    weights: Option<u64>,
    /// Of a lost answer: whether something came that is none.
    #[prost(bool, tag = "6")]
    unusable: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireAssignment {
    #[prost(uint32, tag = "1")]
    attempt: u32,
    #[prost(string, tag = "2")]
    server: String,
    #[prost(uint64, tag = "3")]
    born: u64,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(uint32, tag = "5")]
    tokens: u32,
    #[prost(string, optional, tag = "6")]
    salt: Option<String>,
    #[prost(uint64, optional, tag = "7")]
    weights: Option<u64>,
    #[prost(string, optional, tag = "8")]
    fetch_from: Option<String>,
    #[prost(string, optional, tag = "9")]
    save_to: Option<String>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct Verdict {
    #[prost(string, tag = "1")]
    daemon: String,
    #[prost(uint64, tag = "2")]
    request: u64,
    #[prost(uint32, tag = "3")]
    ruling: u32,
    #[prost(message, optional, tag = "4")]
    assignment: Option<WireAssignment>,
    #[prost(uint32, tag = "5")]
    code: u32,
    #[prost(uint32, tag = "6")]
    after_ms: u32,
}

fn ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn span(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

fn unknown(what: &str, number: u32) -> Malformed {
    Malformed(format!("no {what} {number}"))
}

fn address(text: &str) -> Result<SocketAddr, Malformed> {
    text.parse().map_err(|_| Malformed(format!("no address: {text:?}")))
}

fn maybe_address(text: Option<String>) -> Result<Option<SocketAddr>, Malformed> {
    text.map(|text| address(&text)).transpose()
}

impl From<super::Submission> for Submission {
    fn from(submission: super::Submission) -> Self {
        let repeat = match submission.repeat {
            Repeat::Idempotent => 0,
            Repeat::AtMostOnce => 1,
            Repeat::Resumable => 2,
        };
        let quota = submission.workspace.as_ref().and_then(|owner| owner.quota);
        let (isolated, workspace) = match submission.workspace {
            Some(owner) if owner.isolated => (Some(owner.name), None),
            owner => (None, owner.map(|owner| owner.name)),
        };
        Self {
            daemon: submission.daemon,
            incarnation: submission.incarnation,
            request: submission.request.0,
            id: submission.id,
            route: submission.route,
            repeat,
            target_ms: ms(submission.target),
            rank: u32::from(submission.rank),
            attempts: submission.attempts,
            pool: submission.pool,
            isolated,
            left_ms: ms(submission.left),
            prompt: submission.prompt.map(WirePrompt::from),
            fingerprint: submission.fingerprint.0,
            workspace,
            quota: quota.map(WireQuota::from),
        }
    }
}

impl TryFrom<Submission> for super::Submission {
    type Error = Malformed;

    fn try_from(wire: Submission) -> Result<Self, Malformed> {
        let repeat = match wire.repeat {
            0 => Repeat::Idempotent,
            1 => Repeat::AtMostOnce,
            2 => Repeat::Resumable,
            other => return Err(unknown("repetition", other)),
        };
        let quota = wire.quota.map(Quota::from);
        let owner = |name, isolated| Workspace { name, priority: None, isolated, quota };
        let isolated = wire.isolated.map(|name| owner(name, true));
        let workspace = isolated.or_else(|| wire.workspace.map(|name| owner(name, false)));
        if wire.daemon.is_empty() || wire.pool.is_empty() {
            return Err(Malformed("the submission names no daemon or no pool".into()));
        }
        Ok(Self {
            daemon: wire.daemon,
            incarnation: wire.incarnation,
            request: Key(wire.request),
            id: wire.id,
            route: wire.route,
            repeat,
            target: span(wire.target_ms),
            rank: u8::try_from(wire.rank).map_err(|_| unknown("rank", wire.rank))?,
            attempts: wire.attempts,
            pool: wire.pool,
            workspace,
            left: span(wire.left_ms),
            prompt: wire.prompt.map(Prompt::try_from).transpose()?,
            fingerprint: Fingerprint(wire.fingerprint),
        })
    }
}

impl From<Quota> for WireQuota {
    fn from(Quota { rate, burst, unit }: Quota) -> Self {
        let plain = match unit {
            Unit::Requests => None,
            Unit::Tokens { plain } => Some(plain),
        };
        Self { rate, burst, plain }
    }
}

impl From<WireQuota> for Quota {
    fn from(WireQuota { rate, burst, plain }: WireQuota) -> Self {
        let unit = plain.map_or(Unit::Requests, |plain| Unit::Tokens { plain });
        Self { rate, burst, unit }
    }
}

impl From<Prompt> for WirePrompt {
    fn from(prompt: Prompt) -> Self {
        Self {
            model: prompt.model,
            input: prompt.input,
            output: prompt.output,
            parts: prompt.parts.iter().map(|part| part.id).collect(),
            tokens: prompt.parts.iter().map(|part| part.tokens).collect(),
        }
    }
}

impl TryFrom<WirePrompt> for Prompt {
    type Error = Malformed;

    fn try_from(wire: WirePrompt) -> Result<Self, Malformed> {
        if wire.parts.len() != wire.tokens.len() {
            return Err(Malformed("the prompt's parts and their tokens do not match".into()));
        }
        let parts = wire.parts.into_iter().zip(wire.tokens);
        Ok(Self {
            model: wire.model,
            input: wire.input,
            output: wire.output,
            parts: parts.map(|(id, tokens)| Part { id, tokens }).collect(),
        })
    }
}

impl From<super::Progress> for Progress {
    fn from(progress: super::Progress) -> Self {
        let (step, weights) = match progress.step {
            Step::Left => (0, None),
            Step::Report(Report::Begun(weights)) => (1, weights),
            Step::Report(Report::Ended) => (2, None),
            Step::Report(Report::Refused(Refusal::Busy)) => (3, None),
            Step::Report(Report::Refused(Refusal::Gone)) => (4, None),
            Step::Report(Report::Refused(Refusal::Weights(weights))) => (5, weights),
            Step::Report(Report::Unsent) => (6, None),
            Step::Report(Report::Lost(_)) => (7, None),
            Step::Report(Report::Failed) => (8, None),
        };
        let unusable = progress.step == Step::Report(Report::Lost(Loss::Answer));
        let super::Progress { daemon, request, attempt, .. } = progress;
        Self { daemon, request: request.0, attempt, step, weights, unusable }
    }
}

impl TryFrom<Progress> for super::Progress {
    type Error = Malformed;

    fn try_from(wire: Progress) -> Result<Self, Malformed> {
        let step = match wire.step {
            0 => Step::Left,
            1 => Step::Report(Report::Begun(wire.weights)),
            2 => Step::Report(Report::Ended),
            3 => Step::Report(Report::Refused(Refusal::Busy)),
            4 => Step::Report(Report::Refused(Refusal::Gone)),
            5 => Step::Report(Report::Refused(Refusal::Weights(wire.weights))),
            6 => Step::Report(Report::Unsent),
            7 if wire.unusable => Step::Report(Report::Lost(Loss::Answer)),
            7 => Step::Report(Report::Lost(Loss::Connection)),
            8 => Step::Report(Report::Failed),
            other => return Err(unknown("step", other)),
        };
        let Progress { daemon, request, attempt, .. } = wire;
        Ok(Self { daemon, request: Key(request), attempt, step })
    }
}

impl From<Assignment> for WireAssignment {
    fn from(assignment: Assignment) -> Self {
        Self {
            attempt: assignment.attempt,
            server: assignment.life.id,
            born: assignment.life.started_ms,
            address: assignment.address.to_string(),
            tokens: assignment.tokens,
            salt: assignment.salt,
            weights: assignment.weights,
            fetch_from: assignment.fetch_from.map(|address| address.to_string()),
            save_to: assignment.save_to.map(|address| address.to_string()),
        }
    }
}

impl TryFrom<WireAssignment> for Assignment {
    type Error = Malformed;

    fn try_from(wire: WireAssignment) -> Result<Self, Malformed> {
        Ok(Self {
            attempt: wire.attempt,
            life: Incarnation::new(wire.server, wire.born),
            address: address(&wire.address)?,
            tokens: wire.tokens,
            salt: wire.salt,
            weights: wire.weights,
            fetch_from: maybe_address(wire.fetch_from)?,
            save_to: maybe_address(wire.save_to)?,
        })
    }
}

impl From<super::Verdict> for Verdict {
    fn from(verdict: super::Verdict) -> Self {
        let wire = Self { daemon: verdict.daemon, request: verdict.request.0, ..Self::default() };
        match verdict.ruling {
            Decision::Queued => Self { ruling: 0, ..wire },
            Decision::Send(assignment) => {
                Self { ruling: 1, assignment: Some(assignment.into()), ..wire }
            }
            Decision::Refuse(code, after) => {
                let code = u32::from(code.row().number);
                Self { ruling: 2, code, after_ms: ms(after), ..wire }
            }
            Decision::GiveUp => Self { ruling: 3, ..wire },
            Decision::Return => Self { ruling: 4, ..wire },
        }
    }
}

impl TryFrom<Verdict> for super::Verdict {
    type Error = Malformed;

    fn try_from(wire: Verdict) -> Result<Self, Malformed> {
        let ruling = match wire.ruling {
            0 => Decision::Queued,
            1 => {
                let assignment = wire.assignment;
                let assignment =
                    assignment.ok_or_else(|| Malformed("nothing is assigned".into()))?;
                Decision::Send(assignment.try_into()?)
            }
            2 => {
                let named = |code: &&Code| u32::from(code.row().number) == wire.code;
                let code = Code::ALL.iter().find(named);
                let code = code.ok_or_else(|| unknown("code", wire.code))?;
                Decision::Refuse(*code, span(wire.after_ms))
            }
            3 => Decision::GiveUp,
            4 => Decision::Return,
            other => return Err(unknown("ruling", other)),
        };
        Ok(Self { daemon: wire.daemon, request: Key(wire.request), ruling })
    }
}
