//! What a replay measures, and how it is shown.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use cardamomvalve::manifest::Priority;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use super::faults::Fault;
use super::generate::Kind;
use super::policy::Policy;

/// Figures of one replay.
#[derive(Debug, Clone)]
pub struct Figures {
    /// Time to first token in microseconds, by class.
    pub first_token: BTreeMap<Priority, Histogram<u64>>,
    /// Prompt tokens of prefills that ended.
    pub prompt_tokens: u64,
    /// Of these, found cached.
    pub cached_tokens: u64,
    /// Prompt tokens imported from another engine.
    pub imported_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Of these, held by another live engine of the same availability zone.
    pub wasted_tokens: u64,
    /// Of those computed, held by any other live engine.
    pub wasted_anywhere_tokens: u64,
    /// Requests refused, by class.
    pub refused: BTreeMap<Priority, u64>,
    /// Of all refused, those that no engine could have begun in time.
    pub refused_rightly: u64,
    /// Requests whose first token came after their deadline, or that were refused, by class.
    pub missed: BTreeMap<Priority, u64>,
    /// Requests by class.
    pub asked: BTreeMap<Priority, u64>,
    /// Answer and prompt tokens served by workspace.
    pub served: BTreeMap<String, u64>,
    /// Tokens asked for by workspace.
    pub wanted: BTreeMap<String, u64>,
    /// Prompt tokens computed by engine.
    pub work: Vec<u64>,
    /// Frames between daemons, and their bytes.
    pub frames: (u64, u64),
    /// Requests that never got an answer.
    pub unanswered: u64,
    /// By second: sum of milliseconds to first token, answers, prompt and cached tokens.
    pub seconds: BTreeMap<u64, Second>,
    /// Length in seconds.
    pub length_s: f64,
}

/// Sums over one second of a replay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    /// Milliseconds to first token.
    pub first_token_ms: f64,
    /// Answers that began.
    pub answers: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Of these, found cached.
    pub cached_tokens: u64,
}

impl Figures {
    /// No figures yet, for this many engines.
    pub fn new(engines: usize) -> Self {
        Self {
            first_token: BTreeMap::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            imported_tokens: 0,
            computed_tokens: 0,
            wasted_tokens: 0,
            wasted_anywhere_tokens: 0,
            refused: BTreeMap::new(),
            refused_rightly: 0,
            missed: BTreeMap::new(),
            asked: BTreeMap::new(),
            served: BTreeMap::new(),
            wanted: BTreeMap::new(),
            work: vec![0; engines],
            frames: (0, 0),
            unanswered: 0,
            seconds: BTreeMap::new(),
            length_s: 0.0,
        }
    }

    /// Notes the time to a first token.
    pub fn first_token(&mut self, priority: Priority, at_ms: u64, micros: u64) {
        let histogram = self.first_token.entry(priority).or_insert_with(|| {
            Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are sound")
        });
        histogram.saturating_record(micros);
        let second = self.seconds.entry(at_ms / 1_000).or_default();
        second.first_token_ms += micros as f64 / 1_000.0;
        second.answers += 1;
    }

    /// Prompt tokens found cached, of all.
    pub fn hit_rate(&self) -> f64 {
        ratio(self.cached_tokens, self.prompt_tokens)
    }

    /// Tokens that an engine of the same zone already held, of all computed.
    pub fn wasted(&self) -> f64 {
        ratio(self.wasted_tokens, self.computed_tokens)
    }

    /// A quantile of the time to first token of a class, in milliseconds.
    pub fn quantile_ms(&self, priority: Priority, quantile: f64) -> f64 {
        self.first_token
            .get(&priority)
            .map_or(0.0, |histogram| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
    }

    /// The highest class of the trace.
    pub fn highest(&self) -> Priority {
        self.asked.keys().next().copied().unwrap_or(Priority::Normal)
    }

    /// Requests of a class that missed their deadline, of all.
    pub fn missed_rate(&self, priority: Priority) -> f64 {
        ratio(count(&self.missed, priority), count(&self.asked, priority))
    }

    /// Jain's index of service over demand by workspace; 1 is even.
    pub fn fairness(&self) -> f64 {
        let shares: Vec<f64> = self
            .wanted
            .iter()
            .map(|(name, wanted)| ratio(self.served.get(name).copied().unwrap_or(0), *wanted))
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        if squares == 0.0 { 1.0 } else { sum * sum / (shares.len() as f64 * squares) }
    }

    /// Work of the busiest engine over the mean.
    pub fn busiest(&self) -> f64 {
        let most = self.work.iter().max().copied().unwrap_or(0);
        let mean = self.work.iter().sum::<u64>() as f64 / self.work.len().max(1) as f64;
        if mean == 0.0 { 1.0 } else { most as f64 / mean }
    }

    /// Hit rates over windows of so many seconds, in order.
    fn hit_rates(&self, window_s: u64) -> Vec<f64> {
        let mut sums: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
        for (at, second) in &self.seconds {
            let sum = sums.entry(at / window_s).or_default();
            sum.0 += second.cached_tokens;
            sum.1 += second.prompt_tokens;
        }
        sums.values().map(|(cached, prompt)| ratio(*cached, *prompt)).collect()
    }

    /// All figures as JSON.
    pub fn json(&self, kind: Kind, fault: Fault, policy: Policy) -> Value {
        let classes: Vec<Value> = self
            .asked
            .keys()
            .map(|class| {
                json!({
                    "priority": class.as_str(),
                    "asked": count(&self.asked, *class),
                    "missed": count(&self.missed, *class),
                    "refused": count(&self.refused, *class),
                    "p50_ms": self.quantile_ms(*class, 0.5),
                    "p95_ms": self.quantile_ms(*class, 0.95),
                    "p99_ms": self.quantile_ms(*class, 0.99),
                })
            })
            .collect();
        json!({
            "trace": kind.as_str(),
            "fault": fault.as_str(),
            "policy": policy.as_str(),
            "hit_rate": self.hit_rate(),
            "imported_tokens": self.imported_tokens,
            "wasted": self.wasted(),
            "wasted_tokens": self.wasted_tokens,
            "wasted_anywhere_tokens": self.wasted_anywhere_tokens,
            "computed_tokens": self.computed_tokens,
            "classes": classes,
            "refused_rightly": self.refused_rightly,
            "unanswered": self.unanswered,
            "hit_rate_by_5s": self.hit_rates(5),
            "fairness": self.fairness(),
            "busiest": self.busiest(),
            "frames_per_s": self.frames.0 as f64 / self.length_s,
            "frame_bytes_per_s": self.frames.1 as f64 / self.length_s,
        })
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}

fn count(counts: &BTreeMap<Priority, u64>, class: Priority) -> u64 {
    counts.get(&class).copied().unwrap_or(0)
}

/// One figure over the seeds: median, least and most.
fn spread(rows: &[Figures], figure: impl Fn(&Figures) -> f64, digits: usize) -> String {
    let mut values: Vec<f64> = rows.iter().map(figure).collect();
    values.sort_by(f64::total_cmp);
    let Some((least, most)) = values.first().zip(values.last()) else {
        return "-".into();
    };
    let median = values[values.len() / 2];
    format!("{median:.digits$} ({least:.digits$}..{most:.digits$})")
}

/// A Markdown table of all policies on one trace and fault: median and spread over the seeds.
pub fn table(kind: Kind, fault: Fault, rows: &[(Policy, Vec<Figures>)]) -> String {
    let mut text = format!("### {}, fault: {}\n\n", kind.as_str(), fault.as_str());
    let class = rows
        .first()
        .and_then(|(_, figures)| figures.first())
        .map_or("highest", |figures| figures.highest().as_str());
    writeln!(
        text,
        "| policy | hit rate % | imported % | wasted % of computed | computed, M tokens | TTFT {class} p50 ms | p95 ms | p99 ms | missed {class} % | missed all % | refused | rightly | Jain | busiest/mean | frames KB/s |"
    )
    .ok();
    writeln!(text, "{}|", "| --- ".repeat(15)).ok();
    for (policy, figures) in rows {
        let cells = [
            spread(figures, |f| f.hit_rate() * 100.0, 1),
            spread(figures, |f| ratio(f.imported_tokens, f.prompt_tokens) * 100.0, 1),
            spread(figures, |f| f.wasted() * 100.0, 1),
            spread(figures, |f| f.computed_tokens as f64 / 1e6, 2),
            spread(figures, |f| f.quantile_ms(f.highest(), 0.5), 0),
            spread(figures, |f| f.quantile_ms(f.highest(), 0.95), 0),
            spread(figures, |f| f.quantile_ms(f.highest(), 0.99), 0),
            spread(figures, |f| f.missed_rate(f.highest()) * 100.0, 1),
            spread(figures, |f| ratio(f.missed.values().sum(), f.asked.values().sum()) * 100.0, 1),
            spread(figures, |f| f.refused.values().sum::<u64>() as f64, 0),
            spread(figures, |f| f.refused_rightly as f64, 0),
            spread(figures, Figures::fairness, 3),
            spread(figures, Figures::busiest, 2),
            spread(figures, |f| f.frames.1 as f64 / f.length_s / 1_000.0, 1),
        ];
        writeln!(text, "| {} | {} |", policy.as_str(), cells.join(" | ")).ok();
    }
    text
}
