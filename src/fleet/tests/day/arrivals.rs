//! Judges the arrivals at servers as the platform's operators do.

use std::fmt;

use super::STEP;
use crate::fleet::tests::world::POLICY;

/// Requests of callers, and arrivals beyond the first of their request, by step of the day.
#[derive(Debug, Default)]
pub struct Arrivals {
    requests: Vec<usize>,
    retries: Vec<usize>,
}

/// The window of a day that used most of the budget.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Number of the window's first step.
    pub step: usize,
    pub requests: usize,
    pub retries: usize,
    pub allowed: usize,
}

impl fmt::Display for Usage {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Self { step, requests, retries, allowed } = self;
        let at = STEP * (*step as u32);
        write!(out, "{retries} retries of {requests} requests from {at:?}, {allowed} allowed")
    }
}

impl Arrivals {
    pub fn begin_step(&mut self) {
        self.requests.push(0);
        self.retries.push(0);
    }

    pub fn note_request(&mut self) {
        *self.requests.last_mut().expect("a step has begun") += 1;
    }

    pub fn note_retry(&mut self) {
        *self.retries.last_mut().expect("a step has begun") += 1;
    }

    /// Returns the window that used most of its budget; `slack` is the fixed number of retries. The requests of a window
    /// count, or those of the one before it or half a window before it, if they are more.
    pub fn max_usage(&self, slack: f64) -> Usage {
        let window = (POLICY.retry_window.as_millis() / STEP.as_millis()) as usize;
        let sum = |counts: &[usize], from: usize, to: usize| {
            counts[from.min(counts.len())..to.min(counts.len())].iter().sum::<usize>()
        };
        let usages = (0..self.requests.len()).map(|step| {
            let retries = sum(&self.retries, step, step + window);
            let starts = [step, step.saturating_sub(window / 2), step.saturating_sub(window)];
            let ends = [step + window, (step + window).saturating_sub(window / 2), step];
            let requests = starts.iter().zip(ends).map(|(from, to)| sum(&self.requests, *from, to));
            let requests = requests.max().unwrap_or_default();
            let allowed = POLICY.retry_ratio * requests as f64 + slack;
            Usage { step, requests, retries, allowed: allowed as usize }
        });
        let share = |usage: &Usage| usage.retries as f64 / usage.allowed as f64;
        usages.max_by(|a, b| share(a).total_cmp(&share(b))).unwrap_or_default()
    }
}
