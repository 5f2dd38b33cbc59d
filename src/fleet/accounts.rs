//! What schedulers tell each other of their pools: what workspaces were given, and the speeds of
//! servers.
//!
//! A scheduler adopts what workspaces were given of a pool that it doesn't place requests for, and
//! merges all speeds, so that both are known when another scheduler ends: the daemons submit to the
//! next one before that one has noticed.

use super::frame::{Account, MAX_ACCOUNTS, MAX_NAME_BYTES, MAX_SPEEDS, MAX_USAGES};
use super::{Incarnation, Node};
use crate::capacity;
use crate::fairness::{Ledger, Total, Usage};
use crate::prelude::*;

/// Logarithm of the factor from which a server's speed is told to others: smaller differences are
/// found anew within a few answers.
const MIN_SPEED_DIFFERENCE: f32 = 0.1;
/// Number of workspaces of a pool that are looked at, since most have little of it.
const WATCHED_WORKSPACES: usize = 8;
/// How many times its share a workspace is given when it counts as held back: shares are kept to
/// within a tenth.
const HELD_BACK_RATIO: f64 = 1.1;
/// Time within which a workspace that is held back again is not reported again.
const HELD_BACK_INTERVAL: Duration = Duration::from_secs(10);

/// When workspaces were last found to be held back, by pool and workspace.
#[derive(Debug, Default)]
pub(super) struct HeldBack(BTreeMap<(String, Arc<str>), Time>);

impl HeldBack {
    /// Records that a workspace is held back; returns whether it was not lately.
    fn record(&mut self, now: Time, pool: &str, workspace: &Arc<str>) -> bool {
        self.0.retain(|_, at| now < *at + HELD_BACK_INTERVAL);
        self.0.insert((pool.to_owned(), Arc::clone(workspace)), now).is_none()
    }
}

impl Node {
    /// What this daemon tells other schedulers of the pools that it places requests for.
    pub(super) fn accounts(&self, now: Time) -> Vec<Account> {
        let accounts = self.pools.keys().filter_map(|pool| self.account(now, pool));
        accounts.take(MAX_ACCOUNTS).collect()
    }

    fn account(&self, now: Time, pool: &str) -> Option<Account> {
        let ledger = self.ledgers.get(pool).filter(|ledger| ledger.is_active(now));
        let mut usages = ledger.map(|ledger| ledger.top(now, MAX_USAGES)).unwrap_or_default();
        usages.retain(|usage| usage.workspace.len() <= MAX_NAME_BYTES);
        (!usages.is_empty()).then(|| Account { pool: pool.to_owned(), usages })
    }

    /// The speeds of the servers that differ most from the assumed one.
    pub(super) fn speed_reports(&self, now: Time) -> Vec<(Incarnation, capacity::Report)> {
        if !self.policy.learns_capacity {
            return Vec::new();
        }
        let difference = |report: &capacity::Report| report.factor.ln().abs();
        let reports = self.servers.values().filter_map(|server| {
            let report = server.speed.report(now)?;
            let is_told = difference(&report) >= MIN_SPEED_DIFFERENCE;
            is_told.then(|| (server.entry.incarnation.clone(), report))
        });
        let mut reports: Vec<(Incarnation, capacity::Report)> = reports.collect();
        reports.sort_by(|(_, a), (_, b)| difference(b).total_cmp(&difference(a)));
        reports.truncate(MAX_SPEEDS);
        reports
    }

    /// Adopts what another scheduler tells of the pools that this daemon does not place requests
    /// for.
    pub(super) fn adopt_accounts(&mut self, now: Time, accounts: Vec<Account>) {
        if !self.is_scheduler(now) {
            return;
        }
        for Account { pool, usages } in accounts {
            if !self.pools.contains_key(&pool) {
                continue;
            }
            if self.divides_room() {
                self.adopt_usages(now, pool, &usages);
            }
        }
    }

    fn adopt_usages(&mut self, now: Time, pool: String, usages: &[Usage]) {
        let ledger = self.ledgers.entry(pool).or_default();
        if !ledger.is_active(now) {
            ledger.adopt(now, usages);
        }
    }

    /// Merges the speeds of servers that another scheduler tells.
    pub(super) fn merge_speeds(&mut self, now: Time, speeds: &[(Incarnation, capacity::Report)]) {
        if !self.policy.learns_capacity {
            return;
        }
        for (incarnation, report) in speeds {
            let key = self.incarnations.server(incarnation);
            if let Some(server) = key.and_then(|key| self.servers.get_mut(key)) {
                server.speed.merge(now, *report);
            }
        }
    }

    /// Reports the workspaces that begin to be held back for the shares of others.
    pub(super) fn report_held_back(&mut self, now: Time) {
        let mut details = Vec::new();
        for (pool, ledger) in &self.ledgers {
            let total = ledger.total(now);
            for usage in ledger.top(now, WATCHED_WORKSPACES) {
                if is_held_back(&total, &usage)
                    && self.held_back.record(now, pool, &usage.workspace)
                {
                    details.push(detail(now, pool, ledger, &total, &usage));
                }
            }
        }
        for detail in details {
            self.event(Event::WorkspaceHeldBack, detail);
        }
    }
}

/// Whether requests of a workspace wait because it was given more than its share, and others wait,
/// too.
fn is_held_back(total: &Total, usage: &Usage) -> bool {
    let share = total.share_ms_per_s(usage.weight);
    let others_wait = total.waiting_ms > usage.waiting_ms;
    usage.waiting_ms > 0.0 && others_wait && usage.given_ms_per_s > share * HELD_BACK_RATIO
}

fn detail(now: Time, pool: &str, ledger: &Ledger, total: &Total, usage: &Usage) -> Detail {
    Detail::of("pool", pool)
        .and("workspace", &*usage.workspace)
        .and("weight", usage.weight.value())
        .and("given_ms_per_s", usage.given_ms_per_s.round())
        .and("share_ms_per_s", total.share_ms_per_s(usage.weight).round())
        .and("pool_ms_per_s", total.given_ms_per_s.round())
        .and("waiting_ms", usage.waiting_ms.round())
        .and("pool_waiting_ms", total.waiting_ms.round())
        .and_some("last_sent_ms_ago", ledger.idle_time(now))
}
