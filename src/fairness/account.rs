//! What one workspace was given, and has waiting.

use super::level::Level;
use super::{Usage, Weight};
use crate::prelude::*;

/// Time in which what a workspace was given comes to count half: longer than the interval of
/// digests, shorter than most bursts.
const GIVEN_HALF_LIFE: Duration = Duration::from_secs(3);

/// The requests of one workspace at one priority.
#[derive(Debug, Clone)]
pub(super) struct Flow {
    pub(super) priority: u8,
    /// Virtual time at which the workspace has had what it asked for.
    finish_us: u64,
    /// The same for the requests of callers that came back.
    returners_us: u64,
    /// Microseconds of server time that wait, and the part of callers that came back.
    pub(super) waiting_us: u64,
    returners_waiting_us: u64,
    /// Number of waiting requests.
    waiting: u32,
    /// The weight with which it counts at its priority.
    weight: Weight,
}

impl Flow {
    fn new(priority: u8, begin_us: u64) -> Self {
        Self {
            priority,
            finish_us: begin_us,
            returners_us: begin_us,
            waiting_us: 0,
            returners_waiting_us: 0,
            waiting: 0,
            weight: Weight::ONE,
        }
    }

    /// Virtual start of its next request.
    pub(super) fn next_start(&self, level: &Level, returns: bool) -> u64 {
        let own = if returns { self.returners_us } else { self.finish_us };
        own.max(level.virtual_us)
    }

    /// Charges a request; returns its virtual start.
    pub(super) fn charge(&mut self, level: &Level, returns: bool, virtual_us: u64) -> u64 {
        let start = self.next_start(level, returns);
        if returns {
            self.returners_us = start.saturating_add(virtual_us);
        }
        let finish = self.finish_us.max(level.virtual_us);
        self.finish_us = finish.saturating_add(virtual_us);
        start
    }

    /// Gives back what was charged. The clocks never fall behind the virtual time, so that a
    /// workspace gains no credit by refunds.
    pub(super) fn refund(&mut self, level: &Level, returns: bool, virtual_us: u64) {
        let refunded = |clock: u64| clock.saturating_sub(virtual_us).max(level.virtual_us);
        self.finish_us = refunded(self.finish_us);
        if returns {
            self.returners_us = refunded(self.returners_us);
        }
    }

    /// Moves the clocks to a time, unless they are past it.
    fn raise(&mut self, until_us: u64) {
        self.finish_us = self.finish_us.max(until_us);
        self.returners_us = self.returners_us.max(until_us);
    }

    /// Adds a waiting request.
    pub(super) fn add(&mut self, level: &mut Level, weight: Weight, returns: bool, cost_us: u64) {
        let former = self.is_waiting().then_some(self.weight);
        level.reweigh(former, Some(weight));
        self.weight = weight;
        self.waiting = self.waiting.saturating_add(1);
        self.waiting_us = self.waiting_us.saturating_add(cost_us);
        if returns {
            self.returners_waiting_us = self.returners_waiting_us.saturating_add(cost_us);
        }
    }

    /// Removes a waiting request.
    pub(super) fn remove(&mut self, level: &mut Level, returns: bool, cost_us: u64) {
        if !self.is_waiting() {
            return;
        }
        self.waiting -= 1;
        self.waiting_us = self.waiting_us.saturating_sub(cost_us);
        if returns {
            self.returners_waiting_us = self.returners_waiting_us.saturating_sub(cost_us);
        }
        if !self.is_waiting() {
            level.reweigh(Some(self.weight), None);
        }
    }

    /// Whether anything waits.
    pub(super) fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Whether the flow differs from that of a workspace that was idle.
    fn is_ahead(&self, level: &Level) -> bool {
        self.finish_us.max(self.returners_us) > level.virtual_us
    }

    /// Microseconds of its own requests before its next one.
    pub(super) fn own_before_us(&self, returns: bool) -> u64 {
        if returns { self.returners_waiting_us } else { self.waiting_us }
    }
}

/// The virtual time by which a workspace starts behind others, after a change of the scheduler.
#[derive(Debug, Clone, Copy)]
pub(super) struct Debt {
    pub(super) virtual_us: u64,
    pub(super) until: Time,
}

/// One workspace.
#[derive(Debug)]
pub(super) struct Account {
    workspace: Arc<str>,
    weight: Weight,
    /// Milliseconds given, decayed until `given_at`.
    given_ms: f64,
    given_at: Time,
    pub(super) used_at: Time,
    debt: Option<Debt>,
    /// One for each priority of its requests.
    flows: Vec<Flow>,
}

impl Account {
    pub(super) fn new(now: Time, workspace: &Arc<str>) -> Self {
        Self {
            workspace: Arc::clone(workspace),
            weight: Weight::ONE,
            given_ms: 0.0,
            given_at: now,
            used_at: now,
            debt: None,
            flows: Vec::new(),
        }
    }

    /// Records that its requests are of a weight now.
    pub(super) fn touch(&mut self, now: Time, weight: Weight) {
        self.used_at = now;
        self.weight = weight;
    }

    /// Its requests at a priority, if there are any.
    pub(super) fn flow(&self, priority: u8) -> Option<&Flow> {
        self.flows.iter().find(|flow| flow.priority == priority)
    }

    /// The same, if there are any, for changes.
    pub(super) fn flow_mut(&mut self, priority: u8) -> Option<&mut Flow> {
        self.flows.iter_mut().find(|flow| flow.priority == priority)
    }

    /// Its requests at a priority; the first one starts behind others by its debt.
    pub(super) fn flow_or_new(&mut self, now: Time, priority: u8, level: &Level) -> &mut Flow {
        let found = self.flows.iter().position(|flow| flow.priority == priority);
        let index = found.unwrap_or_else(|| {
            let begin_us = level.virtual_us.saturating_add(self.debt_us(now));
            self.flows.push(Flow::new(priority, begin_us));
            self.flows.len() - 1
        });
        &mut self.flows[index]
    }

    /// Virtual time by which its first request at a priority starts behind others.
    pub(super) fn debt_us(&self, now: Time) -> u64 {
        self.debt.filter(|debt| now < debt.until).map_or(0, |debt| debt.virtual_us)
    }

    /// Sets a debt, and moves the requests to come behind others by it.
    pub(super) fn owe(&mut self, levels: &BTreeMap<u8, Level>, debt: Debt) {
        self.debt = Some(debt);
        for flow in &mut self.flows {
            if let Some(level) = levels.get(&flow.priority) {
                flow.raise(level.virtual_us.saturating_add(debt.virtual_us));
            }
        }
    }

    /// Adds what it was given; a negative amount corrects an earlier one.
    pub(super) fn give(&mut self, now: Time, ms: f64) {
        self.given_ms = (self.decayed_ms(now) + ms).max(0.0);
        self.given_at = self.given_at.max(now);
    }

    /// Sets what another daemon gave it.
    pub(super) fn adopt(&mut self, now: Time, usage: &Usage) {
        self.touch(now, usage.weight);
        self.given_ms =
            usage.given_ms_per_s * GIVEN_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.given_at = now;
    }

    fn decayed_ms(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.given_at);
        self.given_ms * (-age.div_duration_f64(GIVEN_HALF_LIFE)).exp2()
    }

    /// Returns what it was given lately, and the cost of its waiting requests.
    pub(super) fn usage(&self, now: Time) -> Usage {
        let waiting_us: u64 = self.flows.iter().map(|flow| flow.waiting_us).sum();
        let rate_factor = std::f64::consts::LN_2 / GIVEN_HALF_LIFE.as_secs_f64();
        Usage {
            workspace: Arc::clone(&self.workspace),
            weight: self.weight,
            given_ms_per_s: self.decayed_ms(now) * rate_factor,
            waiting_ms: waiting_us as f64 / 1_000.0,
        }
    }

    /// Whether anything waits.
    pub(super) fn is_waiting(&self) -> bool {
        self.flows.iter().any(Flow::is_waiting)
    }

    /// Drops the flows without information; returns whether any is left.
    pub(super) fn trim(&mut self, levels: &BTreeMap<u8, Level>, is_idle: bool) -> bool {
        let is_ahead =
            |flow: &Flow| levels.get(&flow.priority).is_some_and(|level| flow.is_ahead(level));
        self.flows.retain(|flow| flow.is_waiting() || (!is_idle && is_ahead(flow)));
        self.flows.shrink_to_fit();
        !self.flows.is_empty()
    }
}
