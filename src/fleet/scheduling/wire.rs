//! Wire format of the messages between daemons and schedulers.

use std::net::SocketAddr;

use super::{Assignment, Decision, Step};
use crate::fleet::{
    Incarnation, Key, Loss, Malformed, Part, Prompt, Refusal, Report, Software, Statement,
};
use crate::poison::Fingerprint;
use crate::prelude::*;
use crate::quota::{Quota, Unit};
use crate::route::{Cohort, Repeat, Workspace};

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
    /// The workspace, if it shares no cached prompts with others.
    #[prost(string, optional, tag = "11")]
    isolated: Option<String>,
    #[prost(uint32, tag = "12")]
    time_left_ms: u32,
    #[prost(message, optional, tag = "13")]
    prompt: Option<WirePrompt>,
    #[prost(fixed64, tag = "14")]
    fingerprint: u64,
    /// Any other workspace.
    #[prost(string, optional, tag = "15")]
    workspace: Option<String>,
    #[prost(message, optional, tag = "16")]
    quota: Option<WireQuota>,
    #[prost(bool, tag = "17")]
    is_counted: bool,
    #[prost(bool, tag = "18")]
    draws_on_retry_budget: bool,
    #[prost(fixed64, optional, tag = "19")]
    software: Option<u64>,
    /// Version of the configuration that the next field is from.
    #[prost(uint64, tag = "20")]
    configuration: u64,
    /// Hash of the names of the isolated workspaces, if there are any.
    #[prost(fixed64, optional, tag = "21")]
    isolated_names: Option<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireQuota {
    #[prost(uint64, tag = "1")]
    rate: u64,
    #[prost(uint64, tag = "2")]
    burst: u64,
    /// Tokens charged for a request that states none, if the quota counts tokens.
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
    /// Ids of the parts, parallel to `tokens`.
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
    /// For a lost answer: whether the server sent something that is not a valid answer.
    #[prost(bool, tag = "6")]
    invalid_answer: bool,
    /// For a statement: whether the server leaves.
    #[prost(bool, tag = "7")]
    is_leaving: bool,
    /// For a statement: the time for which the server wants no requests of the daemon.
    #[prost(uint32, optional, tag = "8")]
    rest_ms: Option<u32>,
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
    #[prost(bool, tag = "10")]
    has_limit: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet) struct Verdict {
    #[prost(string, tag = "1")]
    daemon: String,
    #[prost(uint64, tag = "2")]
    request: u64,
    #[prost(uint32, tag = "3")]
    decision: u32,
    #[prost(message, optional, tag = "4")]
    assignment: Option<WireAssignment>,
    #[prost(uint32, tag = "5")]
    code: u32,
    #[prost(uint32, tag = "6")]
    retry_after_ms: u32,
}

fn ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn duration(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

fn unknown(what: &str, number: u32) -> Malformed {
    Malformed(format!("unknown {what} {number}"))
}

fn address(text: &str) -> Result<SocketAddr, Malformed> {
    text.parse().map_err(|_| Malformed(format!("invalid address: {text:?}")))
}

fn optional_address(text: Option<String>) -> Result<Option<SocketAddr>, Malformed> {
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
            rank: u32::from(submission.priority),
            attempts: submission.max_attempts,
            pool: submission.pool,
            isolated,
            time_left_ms: ms(submission.time_left),
            prompt: submission.prompt.map(WirePrompt::from),
            fingerprint: submission.fingerprint.0,
            workspace,
            quota: quota.map(WireQuota::from),
            is_counted: submission.is_counted,
            draws_on_retry_budget: submission.draws_on_retry_budget,
            software: submission.software.map(|software| software.0),
            configuration: submission.cohort.version,
            isolated_names: submission.cohort.without,
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
            return Err(Malformed("the submission lacks a daemon or a pool".into()));
        }
        Ok(Self {
            daemon: wire.daemon,
            incarnation: wire.incarnation,
            request: Key(wire.request),
            id: wire.id,
            route: wire.route,
            repeat,
            target: duration(wire.target_ms),
            priority: u8::try_from(wire.rank).map_err(|_| unknown("rank", wire.rank))?,
            max_attempts: wire.attempts,
            pool: wire.pool,
            workspace,
            cohort: Cohort { version: wire.configuration, without: wire.isolated_names },
            time_left: duration(wire.time_left_ms),
            prompt: wire.prompt.map(Prompt::try_from).transpose()?,
            fingerprint: Fingerprint(wire.fingerprint),
            is_counted: wire.is_counted,
            draws_on_retry_budget: wire.draws_on_retry_budget,
            software: wire.software.map(Software),
        })
    }
}

impl From<Quota> for WireQuota {
    fn from(Quota { rate, burst, unit }: Quota) -> Self {
        let plain = match unit {
            Unit::Requests => None,
            Unit::Tokens { default_tokens } => Some(default_tokens),
        };
        Self { rate, burst, plain }
    }
}

impl From<WireQuota> for Quota {
    fn from(WireQuota { rate, burst, plain }: WireQuota) -> Self {
        let unit = plain.map_or(Unit::Requests, |plain| Unit::Tokens { default_tokens: plain });
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
            return Err(Malformed("the prompt's parts and token counts differ in number".into()));
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
            Step::Withdrawn => (0, None),
            Step::Report(Report::Begun(weights)) => (1, weights),
            Step::Report(Report::Ended) => (2, None),
            Step::Report(Report::Refused(Refusal::Busy)) => (3, None),
            Step::Report(Report::Refused(Refusal::Replaced)) => (4, None),
            Step::Report(Report::Refused(Refusal::WrongWeights(weights))) => (5, weights),
            Step::Report(Report::Unsent) => (6, None),
            Step::Report(Report::Lost(_)) => (7, None),
            Step::Report(Report::Failed) => (8, None),
            Step::Stated(_) => (9, None),
        };
        let statement = match progress.step {
            Step::Stated(statement) => statement,
            Step::Report(_) | Step::Withdrawn => Statement::default(),
        };
        let invalid_answer = progress.step == Step::Report(Report::Lost(Loss::InvalidAnswer));
        let super::Progress { daemon, request, attempt, .. } = progress;
        let Statement { is_leaving, rest, .. } = statement;
        Self {
            daemon,
            request: request.0,
            attempt,
            step,
            weights,
            invalid_answer,
            is_leaving,
            rest_ms: rest.map(ms),
        }
    }
}

impl TryFrom<Progress> for super::Progress {
    type Error = Malformed;

    fn try_from(wire: Progress) -> Result<Self, Malformed> {
        let step = match wire.step {
            0 => Step::Withdrawn,
            1 => Step::Report(Report::Begun(wire.weights)),
            2 => Step::Report(Report::Ended),
            3 => Step::Report(Report::Refused(Refusal::Busy)),
            4 => Step::Report(Report::Refused(Refusal::Replaced)),
            5 => Step::Report(Report::Refused(Refusal::WrongWeights(wire.weights))),
            6 => Step::Report(Report::Unsent),
            7 if wire.invalid_answer => Step::Report(Report::Lost(Loss::InvalidAnswer)),
            7 => Step::Report(Report::Lost(Loss::Connection)),
            8 => Step::Report(Report::Failed),
            9 => Step::Stated(Statement {
                is_leaving: wire.is_leaving,
                rest: wire.rest_ms.map(duration),
                ..Statement::default()
            }),
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
            server: assignment.server.id,
            born: assignment.server.started_ms,
            address: assignment.address.to_string(),
            tokens: assignment.prefill_tokens,
            salt: assignment.cache_salt,
            weights: assignment.weights_version,
            fetch_from: assignment.fetch_from.map(|address| address.to_string()),
            save_to: assignment.save_to.map(|address| address.to_string()),
            has_limit: assignment.has_limit,
        }
    }
}

impl TryFrom<WireAssignment> for Assignment {
    type Error = Malformed;

    fn try_from(wire: WireAssignment) -> Result<Self, Malformed> {
        Ok(Self {
            attempt: wire.attempt,
            server: Incarnation::new(wire.server, wire.born),
            address: address(&wire.address)?,
            prefill_tokens: wire.tokens,
            cache_salt: wire.salt,
            weights_version: wire.weights,
            fetch_from: optional_address(wire.fetch_from)?,
            save_to: optional_address(wire.save_to)?,
            has_limit: wire.has_limit,
        })
    }
}

impl From<super::Verdict> for Verdict {
    fn from(verdict: super::Verdict) -> Self {
        let wire = Self { daemon: verdict.daemon, request: verdict.request.0, ..Self::default() };
        match verdict.decision {
            Decision::Queued => Self { decision: 0, ..wire },
            Decision::Send(assignment) => {
                Self { decision: 1, assignment: Some(assignment.into()), ..wire }
            }
            Decision::Refuse(code, after) => {
                let code = u32::from(code.row().number);
                Self { decision: 2, code, retry_after_ms: ms(after), ..wire }
            }
            Decision::GiveUp => Self { decision: 3, ..wire },
            Decision::Return => Self { decision: 4, ..wire },
        }
    }
}

impl TryFrom<Verdict> for super::Verdict {
    type Error = Malformed;

    fn try_from(wire: Verdict) -> Result<Self, Malformed> {
        let decision = match wire.decision {
            0 => Decision::Queued,
            1 => {
                let assignment = wire.assignment;
                let assignment = assignment
                    .ok_or_else(|| Malformed("the verdict lacks an assignment".into()))?;
                Decision::Send(assignment.try_into()?)
            }
            2 => {
                let named = |code: &&Code| u32::from(code.row().number) == wire.code;
                let code = Code::ALL.iter().find(named);
                let code = code.ok_or_else(|| unknown("code", wire.code))?;
                Decision::Refuse(*code, duration(wire.retry_after_ms))
            }
            3 => Decision::GiveUp,
            4 => Decision::Return,
            other => return Err(unknown("ruling", other)),
        };
        Ok(Self { daemon: wire.daemon, request: Key(wire.request), decision })
    }
}
