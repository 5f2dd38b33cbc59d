//! The ledger of one pool: what each workspace has been given, and has waiting.

use xxhash_rust::xxh3::xxh3_64;

use super::Weight;
use super::account::{Account, Debt};
use super::level::Level;
use crate::prelude::*;

/// Bounds of the cost of one request. Each takes some time of a server, and none is worth more than
/// callers wait for.
const MIN_COST_MS: f64 = 1.0;
const MAX_COST_MS: f64 = 60_000.0;
/// Workspaces beyond which those without a waiting request are dropped, the idlest first.
const MAX_WORKSPACES: usize = 16_384;
/// Time after which a workspace without requests is like one that was never seen.
const IDLE_LIFETIME: Duration = Duration::from_secs(10);
/// Interval between two searches for such workspaces.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Milliseconds of server time a second below which what a workspace was given no longer counts,
/// and the most that another daemon's word is taken for: all the time of 100,000 servers.
const MIN_GIVEN_MS_PER_S: f64 = 1.0;
const MAX_GIVEN_MS_PER_S: f64 = 1e8;
/// Time after the last sent request for which this daemon counts as placing requests of the pool.
const ACTIVE_LIFETIME: Duration = Duration::from_secs(1);
/// Time by which a workspace with more than its share starts behind all others on a change of the
/// scheduler, if these ask for all the room: about the age of what is known of its use.
const ADOPTED_TIME: Duration = Duration::from_millis(500);
/// Time for which what another scheduler said is valid: its silence is noticed sooner.
const ADOPTED_LIFETIME: Duration = Duration::from_secs(3);

/// Virtual start time of a request: microseconds of server time for each unit of weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start(pub u64);

/// The part of a pool's room that one request asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// The workspace; empty for requests without one.
    pub workspace: Arc<str>,
    /// Its weight.
    pub weight: Weight,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// Predicted milliseconds of server time.
    pub cost_ms: f64,
    /// Whether its caller comes back after a refusal.
    pub returns: bool,
}

impl Claim {
    fn account(&self) -> Key {
        Key::of(&self.workspace)
    }

    pub(super) fn cost_us(&self) -> u64 {
        cost_us(self.cost_ms)
    }

    fn virtual_us(&self) -> u64 {
        self.weight.virtual_us(self.cost_us())
    }
}

/// What one workspace was given of a pool lately.
#[derive(Debug, Clone, PartialEq)]
pub struct Usage {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Its weight.
    pub weight: Weight,
    /// Milliseconds of server time a second, given to it.
    pub given_ms_per_s: f64,
    /// Milliseconds of server time that its waiting requests ask for.
    pub waiting_ms: f64,
}

/// What all workspaces of a pool were given lately.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Total {
    /// Milliseconds of server time a second.
    pub given_ms_per_s: f64,
    /// Milliseconds of server time that wait.
    pub waiting_ms: f64,
    /// Sum of the weights of the workspaces.
    pub weights: f64,
}

impl Total {
    /// Milliseconds of server time a second that are the share of a weight.
    ///
    /// ```
    /// use cardamomvalve::fairness::{Total, Weight};
    /// let total = Total { given_ms_per_s: 900.0, waiting_ms: 0.0, weights: 3.0 };
    /// assert_eq!(total.share_ms_per_s(Weight::ONE), 300.0);
    /// ```
    pub fn share_ms_per_s(&self, weight: Weight) -> f64 {
        self.given_ms_per_s * weight.value() / self.weights.max(weight.value())
    }

    /// Virtual microseconds by which a workspace that was given more than its share starts behind
    /// the others.
    fn excess_us(&self, usage: &Usage) -> u64 {
        let excess = usage.given_ms_per_s - self.share_ms_per_s(usage.weight);
        let share = self.given_ms_per_s / self.weights;
        let behind = (excess / usage.weight.value()).min(share).max(0.0);
        (behind * ADOPTED_TIME.as_secs_f64() * 1_000.0) as u64
    }

    fn add(&mut self, usage: &Usage) {
        self.given_ms_per_s += usage.given_ms_per_s;
        self.waiting_ms += usage.waiting_ms;
        self.weights += usage.weight.value();
    }
}

/// Hash of a workspace's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key(u64);

impl Key {
    fn of(workspace: &str) -> Self {
        Self(xxh3_64(workspace.as_bytes()))
    }
}

/// What workspaces were given of one pool, and have waiting.
///
/// It takes at most 352 bytes a workspace with requests of one priority, beside its name, and some
/// 20 a waiting request. A request's calls must all have the claim with which it joined.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) levels: BTreeMap<u8, Level>,
    accounts: BTreeMap<Key, Account>,
    next_sweep: Time,
    /// Number of workspaces at which the next search for idle ones begins early.
    max_accounts: usize,
    last_sent: Option<Time>,
}

impl Ledger {
    /// Records that a request asks for room, and returns its virtual start time. A caller that
    /// comes back goes before the new requests of its workspace, within the workspace's share.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::fairness::{Claim, Ledger, Weight};
    /// let (now, mut ledger) = (Duration::ZERO, Ledger::default());
    /// let claim = |workspace: &str| Claim {
    ///     workspace: workspace.into(),
    ///     weight: Weight::ONE,
    ///     priority: 1,
    ///     cost_ms: 20.0,
    ///     returns: false,
    /// };
    /// let first = ledger.join(now, &claim("lab"));
    /// let second = ledger.join(now, &claim("lab"));
    /// assert!(ledger.join(now, &claim("court")) < second && first < second);
    /// ```
    pub fn join(&mut self, now: Time, claim: &Claim) -> Start {
        self.sweep(now);
        let level = self.levels.entry(claim.priority).or_default();
        let account = self.accounts.entry(claim.account());
        let account = account.or_insert_with(|| Account::new(now, &claim.workspace));
        account.touch(now, claim.weight);
        let flow = account.flow_or_new(now, claim.priority, level);
        let start = Start(flow.charge(level, claim.returns, claim.virtual_us()));
        flow.add(level, claim.weight, claim.returns, claim.cost_us());
        level.add(start, claim.cost_us());
        start
    }

    /// Records that a request that joined was sent to a server.
    pub fn begin(&mut self, now: Time, claim: &Claim, start: Start) {
        self.last_sent = Some(now);
        let level = self.levels.entry(claim.priority).or_default();
        let has_waited = level.remove(start, claim.cost_us());
        let mut behind_us = 0;
        if let Some(account) = self.accounts.get_mut(&claim.account()) {
            account.used_at = now;
            account.give(now, claim.cost_us() as f64 / 1_000.0);
            behind_us = account.debt_us(now);
            if let Some(flow) = account.flow_mut(claim.priority).filter(|_| has_waited) {
                flow.remove(level, claim.returns, claim.cost_us());
            }
        }
        // A workspace that starts behind others stays so when it takes what is free meanwhile.
        level.advance(Start(start.0.saturating_sub(behind_us)));
    }

    /// Records that a request that joined was refused or cancelled: its cost is given back.
    pub fn leave(&mut self, _now: Time, claim: &Claim, start: Start) {
        let Some(level) = self.levels.get_mut(&claim.priority) else { return };
        if !level.remove(start, claim.cost_us()) {
            return;
        }
        let account = self.accounts.get_mut(&claim.account());
        if let Some(flow) = account.and_then(|account| account.flow_mut(claim.priority)) {
            flow.remove(level, claim.returns, claim.cost_us());
            flow.refund(level, claim.returns, claim.virtual_us());
        }
    }

    /// Corrects what a request was charged by what it took.
    pub fn settle(&mut self, now: Time, claim: &Claim, took_ms: f64) {
        if !took_ms.is_finite() {
            return;
        }
        let charged_us = claim.cost_us();
        let took_us = (took_ms.clamp(0.0, MAX_COST_MS) * 1_000.0) as u64;
        let Some(account) = self.accounts.get_mut(&claim.account()) else { return };
        account.give(now, (took_us as f64 - charged_us as f64) / 1_000.0);
        let level = self.levels.entry(claim.priority).or_default();
        let flow = account.flow_or_new(now, claim.priority, level);
        let virtual_us = claim.weight.virtual_us(took_us.abs_diff(charged_us));
        if took_us > charged_us {
            flow.charge(level, claim.returns, virtual_us);
        } else {
            flow.refund(level, claim.returns, virtual_us);
        }
    }

    /// Milliseconds of server time that are served before a new request, if all that waits is
    /// served by fair shares: what is more urgent, and the less of what waits at its priority and
    /// of its workspace's own requests at the workspace's pace.
    pub fn ahead_ms(&self, claim: &Claim) -> f64 {
        let urgent = self.levels.range(..claim.priority).map(|(_, level)| level.waiting_us);
        let urgent_ms = urgent.sum::<u64>() as f64 / 1_000.0;
        let Some(level) = self.levels.get(&claim.priority) else { return urgent_ms };
        let all_ms = level.waiting_us as f64 / 1_000.0;
        urgent_ms + all_ms.min(self.own_ahead_ms(level, claim))
    }

    /// Milliseconds of server time until the own requests of a claim's workspace are served.
    fn own_ahead_ms(&self, level: &Level, claim: &Claim) -> f64 {
        let account = self.accounts.get(&claim.account());
        let Some(flow) = account.and_then(|account| account.flow(claim.priority)) else {
            return 0.0;
        };
        let own_us = claim.weight.virtual_us(flow.own_before_us(claim.returns));
        // What it has had beyond its share: others go first until they have had as much.
        let beyond_us = flow.next_start(level, claim.returns).saturating_sub(level.latest_us);
        let own_weight = if flow.is_waiting() { 0.0 } else { claim.weight.value() };
        own_us.max(beyond_us) as f64 / 1_000.0 * (level.weights() + own_weight)
    }

    /// Milliseconds of server time that wait.
    pub fn waiting_ms(&self) -> f64 {
        self.levels.values().map(|level| level.waiting_us).sum::<u64>() as f64 / 1_000.0
    }

    /// The workspaces that were given most lately, at most `count`.
    pub fn top(&self, now: Time, count: usize) -> Vec<Usage> {
        let mut usages: Vec<Usage> = self.usages(now).collect();
        let by_use = |a: &Usage, b: &Usage| {
            b.given_ms_per_s
                .total_cmp(&a.given_ms_per_s)
                .then_with(|| a.workspace.cmp(&b.workspace))
        };
        if usages.len() > count && count > 0 {
            usages.select_nth_unstable_by(count - 1, by_use);
        }
        usages.truncate(count);
        usages.sort_by(by_use);
        usages
    }

    /// What all workspaces were given lately.
    pub fn total(&self, now: Time) -> Total {
        let mut total = Total::default();
        self.usages(now).for_each(|usage| total.add(&usage));
        total
    }

    /// Workspaces that were given something lately, or have something waiting.
    fn usages(&self, now: Time) -> impl Iterator<Item = Usage> {
        let usages = self.accounts.values().map(move |account| account.usage(now));
        usages.filter(|usage| usage.given_ms_per_s >= MIN_GIVEN_MS_PER_S || usage.waiting_ms > 0.0)
    }

    /// Whether requests were sent, or wait, so that this daemon places requests of the pool.
    pub fn is_active(&self, now: Time) -> bool {
        let has_waiting = self.levels.values().any(|level| level.waiting_us > 0);
        has_waiting || self.idle_time(now).is_some_and(|idle| idle < ACTIVE_LIFETIME)
    }

    /// Time since a request was last sent; `None` if none was.
    pub fn idle_time(&self, now: Time) -> Option<Duration> {
        self.last_sent.map(|sent| now.saturating_sub(sent))
    }

    /// Takes over what another daemon says it gave to workspaces of this pool, on becoming its
    /// scheduler: those who were given more than their share wait behind the others, by at most
    /// what half a second gives a workspace of their weight. What it said before is forgotten.
    pub fn adopt(&mut self, now: Time, given: &[Usage]) {
        self.accounts.retain(|_, account| account.is_waiting());
        let bounded = given.iter().take(MAX_WORKSPACES).map(|usage| {
            let given = if usage.given_ms_per_s.is_nan() { 0.0 } else { usage.given_ms_per_s };
            let given_ms_per_s = given.clamp(0.0, MAX_GIVEN_MS_PER_S);
            Usage { given_ms_per_s, ..usage.clone() }
        });
        let given: Vec<Usage> = bounded.collect();
        let mut total = Total::default();
        given.iter().for_each(|usage| total.add(usage));
        for usage in &given {
            let account = self.accounts.entry(Key::of(&usage.workspace));
            let account = account.or_insert_with(|| Account::new(now, &usage.workspace));
            account.adopt(now, usage);
            let virtual_us = total.excess_us(usage);
            account.owe(&self.levels, Debt { virtual_us, until: now + ADOPTED_LIFETIME });
        }
    }

    /// Number of workspaces with an entry.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no workspace has an entry.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Drops the workspaces of which nothing needs to be known, at intervals.
    fn sweep(&mut self, now: Time) {
        let is_full = self.accounts.len() >= self.max_accounts.max(MAX_WORKSPACES);
        if now < self.next_sweep && !is_full {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let levels = &self.levels;
        self.accounts.retain(|_, account| {
            let is_idle = now >= account.used_at + IDLE_LIFETIME;
            account.trim(levels, is_idle) || !is_idle
        });
        if self.accounts.len() >= MAX_WORKSPACES {
            self.drop_idlest();
        }
        // Nothing can be dropped while all wait; the next search then waits for some more.
        self.max_accounts = self.accounts.len() / 4 * 5;
    }

    /// Drops the idlest of the workspaces without a waiting request, down to three quarters of the
    /// maximum.
    fn drop_idlest(&mut self) {
        let surplus = self.accounts.len() - MAX_WORKSPACES / 4 * 3;
        let idle = self.accounts.iter().filter(|(_, account)| !account.is_waiting());
        let mut idle: Vec<(Time, Key)> =
            idle.map(|(key, account)| (account.used_at, *key)).collect();
        idle.sort_unstable();
        for (_, key) in idle.into_iter().take(surplus) {
            self.accounts.remove(&key);
        }
    }
}

fn cost_us(cost_ms: f64) -> u64 {
    let cost_ms = if cost_ms.is_nan() { MIN_COST_MS } else { cost_ms };
    (cost_ms.clamp(MIN_COST_MS, MAX_COST_MS) * 1_000.0) as u64
}
