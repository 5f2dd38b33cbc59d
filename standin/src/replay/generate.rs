//! Seeded generators of traces. Every parameter is a constant here.

use cardamomvalve::manifest::Priority;
use clap::ValueEnum;

use super::trace::{Level, Request};

/// Which traffic a trace stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    /// An oil lab: verdicts, overnight summaries; long standards texts.
    Isolanova,
    /// Court fees: a surge to the registry cut-off.
    Mulgrave,
    /// A cold prefix takes most requests within a minute, and moves.
    BreakingStory,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Isolanova, Self::Mulgrave, Self::BreakingStory];

    /// Its name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Isolanova => "isolanova",
            Self::Mulgrave => "mulgrave",
            Self::BreakingStory => "breaking-story",
        }
    }

    /// The availability zones of its deployment.
    pub const fn zones(self) -> usize {
        match self {
            Self::Isolanova | Self::BreakingStory => 3,
            Self::Mulgrave => 4,
        }
    }
}

/// Workspaces of each deployment; the first few are large.
const WORKSPACES: usize = 8;
/// Weight of each workspace's traffic.
const WORKSPACE_WEIGHTS: [u32; WORKSPACES] = [30, 25, 20, 5, 5, 5, 5, 5];

/// Tokens of a standards text.
const STANDARD_TOKENS: u32 = 16_384;
/// Tokens of a lab client's own text.
const LAB_CLIENT_TOKENS: u32 = 2_048;
/// Clients of a lab workspace.
const LAB_CLIENTS: u64 = 12;
/// Requests a second of the lab.
const LAB_RATE: f64 = 30.0;
/// Of a hundred lab requests, verdicts; the rest are overnight summaries.
const VERDICTS: u32 = 70;

/// Tokens of the fee schedule.
const SCHEDULE_TOKENS: u32 = 12_288;
/// Tokens of a firm's own text.
const FIRM_TOKENS: u32 = 1_024;
/// Firms of a court workspace.
const FIRMS: u64 = 20;
/// Requests a second of the court at the start, and at the cut-off.
const COURT_RATES: (f64, f64) = (15.0, 50.0);
/// Of a hundred court requests, lodgement checks; the rest are notes.
const CHECKS: u32 = 60;

/// Tokens of a story.
const STORY_TOKENS: u32 = 12_288;
/// Requests a second about stories.
const STORY_RATE: f64 = 30.0;
/// Of a hundred requests, those about the breaking story.
const BREAKING: u32 = 80;
/// Older stories that the rest is about.
const OLD_STORIES: u64 = 12;

/// The trace of `kind` over `seconds`.
pub fn generate(kind: Kind, seed: u64, seconds: u64) -> Vec<Request> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let end_ms = seconds * 1_000;
    let mut trace = Vec::new();
    let mut at = 0.0;
    let mut number = 0;
    loop {
        let part = at / end_ms as f64;
        let rate = match kind {
            Kind::Isolanova => LAB_RATE,
            Kind::Mulgrave => COURT_RATES.0 + (COURT_RATES.1 - COURT_RATES.0) * part * part,
            Kind::BreakingStory => STORY_RATE,
        };
        at += -(1.0 - rng.f64()).ln() * 1_000.0 / rate;
        if at >= end_ms as f64 {
            return trace;
        }
        number += 1;
        let at_ms = at as u64;
        trace.push(match kind {
            Kind::Isolanova => lab(&mut rng, at_ms, number),
            Kind::Mulgrave => court(&mut rng, at_ms, number),
            Kind::BreakingStory => story(&mut rng, at_ms, end_ms, number),
        });
    }
}

fn workspace(rng: &mut fastrand::Rng) -> usize {
    let mut draw = rng.u32(0..WORKSPACE_WEIGHTS.iter().sum());
    for (index, weight) in WORKSPACE_WEIGHTS.iter().enumerate() {
        if draw < *weight {
            return index;
        }
        draw -= weight;
    }
    0
}

fn level(id: String, tokens: u32) -> Level {
    Level { id, tokens }
}

/// A number from 0 to `count`, small ones more often.
fn skewed(rng: &mut fastrand::Rng, count: u64) -> u64 {
    let draw = rng.f64();
    (draw * draw * count as f64) as u64
}

fn lab(rng: &mut fastrand::Rng, at_ms: u64, number: u64) -> Request {
    let lab = workspace(rng);
    let client = skewed(rng, LAB_CLIENTS);
    let verdict = rng.u32(0..100) < VERDICTS;
    let (priority, deadline_ms, case_tokens, answer_tokens) = match verdict {
        true => (Priority::Urgent, 5_000, 512, 32),
        false => (Priority::Background, 120_000, 3_072, 200),
    };
    Request {
        at_ms,
        workspace: format!("lab-{lab}"),
        client: format!("client-{client}"),
        priority,
        deadline_ms,
        levels: vec![
            level(format!("standard-{lab}"), STANDARD_TOKENS),
            level(format!("client-{lab}-{client}"), LAB_CLIENT_TOKENS),
            level(format!("case-{number}"), case_tokens),
        ],
        answer_tokens,
    }
}

fn court(rng: &mut fastrand::Rng, at_ms: u64, number: u64) -> Request {
    let court = workspace(rng);
    let firm = skewed(rng, FIRMS);
    let check = rng.u32(0..100) < CHECKS;
    let (priority, deadline_ms, case_tokens, answer_tokens) = match check {
        true => (Priority::Urgent, 3_000, 512, 8),
        false => (Priority::Normal, 15_000, 768, 150),
    };
    Request {
        at_ms,
        workspace: format!("court-{court}"),
        client: format!("firm-{firm}"),
        priority,
        deadline_ms,
        levels: vec![
            level(format!("schedule-{court}"), SCHEDULE_TOKENS),
            level(format!("firm-{court}-{firm}"), FIRM_TOKENS),
            level(format!("case-{number}"), case_tokens),
        ],
        answer_tokens,
    }
}

fn story(rng: &mut fastrand::Rng, at_ms: u64, end_ms: u64, number: u64) -> Request {
    // A new story breaks at a third and at two thirds, and takes over within some seconds.
    let third = end_ms / 3;
    let (phase, into_ms) = (at_ms / third.max(1), at_ms % third.max(1));
    let share = (into_ms / 100).min(u64::from(BREAKING)) as u32;
    let breaking = phase > 0 && rng.u32(0..100) < share;
    let id = match breaking {
        true => format!("breaking-{phase}"),
        false => format!("story-{}", skewed(rng, OLD_STORIES)),
    };
    Request {
        at_ms,
        workspace: "newsroom".into(),
        client: format!("desk-{}", rng.u32(0..10)),
        priority: Priority::Normal,
        deadline_ms: 10_000,
        levels: vec![level(id, STORY_TOKENS), level(format!("case-{number}"), 512)],
        answer_tokens: 64,
    }
}
