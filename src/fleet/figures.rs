//! Metrics of a node: its view of the platform and the age of that, servers, queue and budgets.

use super::{Dependency, Node};
use crate::fairness::Ledger;
use crate::prelude::*;
use crate::quota::Role;
use crate::telemetry::metrics::Gauge;

/// Number of workspaces of a pool that have metrics of their own.
const SHOWN_WORKSPACES: usize = 8;
/// Name under which the metrics of the others are summed.
const OTHER_WORKSPACES: &str = "other";

/// Counts of this daemon's attempts by outcome, and of other events, since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that were sent.
    pub sent: u64,
    /// Attempts that the server refused without running them.
    pub declined: u64,
    /// Attempts of which nothing was sent.
    pub unsent: u64,
    /// Attempts without a complete answer.
    pub lost: u64,
    /// Attempts that the server answered with an error of its own.
    pub failed: u64,
    /// Attempts that were withdrawn from silent servers.
    pub moved: u64,
    /// Attempts that were recalled because of outdated weights.
    pub recalled: u64,
    /// Requests that were submitted to a scheduler.
    pub submitted: u64,
    /// Submitted requests that this daemon then placed itself.
    pub unscheduled: u64,
    /// Requests that were handed over to a peer, counted at each offer.
    pub handed_over: u64,
    /// Requests that were taken over from peers.
    pub taken_over: u64,
    /// Records of the platform's store that could not be decoded.
    pub unreadable: u64,
}

impl Counts {
    fn rows(self) -> [(&'static str, u64); 7] {
        [
            ("sent", self.sent),
            ("declined", self.declined),
            ("unsent", self.unsent),
            ("lost", self.lost),
            ("failed", self.failed),
            ("moved", self.moved),
            ("recalled", self.recalled),
        ]
    }
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Adds what the workspaces with most use of a pool, and the others together, were given and have
/// waiting.
fn add_workspaces(now: Time, pool: &str, ledger: &Ledger, figures: &mut Vec<Gauge>) {
    let total = ledger.total(now);
    let mut show = |workspace: &str, given_ms_per_s: f64, waiting_ms: f64| {
        let percent = 100.0 * given_ms_per_s / total.given_ms_per_s.max(f64::MIN_POSITIVE);
        for (name, value) in
            [("workspace_percent", percent.round()), ("workspace_waiting_ms", waiting_ms)]
        {
            let gauge = Gauge::labeled(name, "pool", pool, value as u64);
            figures.push(gauge.and("workspace", workspace));
        }
    };
    let top = ledger.top(now, SHOWN_WORKSPACES);
    let (mut given_ms_per_s, mut waiting_ms) = (total.given_ms_per_s, total.waiting_ms);
    for usage in &top {
        show(&usage.workspace, usage.given_ms_per_s, usage.waiting_ms);
        given_ms_per_s -= usage.given_ms_per_s;
        waiting_ms -= usage.waiting_ms;
    }
    if top.len() == SHOWN_WORKSPACES {
        show(OTHER_WORKSPACES, given_ms_per_s.max(0.0), waiting_ms.max(0.0));
    }
}

impl Node {
    /// Returns the metrics of the node.
    pub fn metrics(&mut self, now: Time) -> Vec<Gauge> {
        let mut figures = vec![
            Gauge::new("ready", u64::from(self.is_ready())),
            Gauge::new("draining", u64::from(self.draining)),
            Gauge::new("table_version", self.table.as_ref().map_or(0, |table| table.version())),
            Gauge::new("open", self.requests.len() as u64),
            Gauge::new("waiting", self.waiting.len() as u64),
            Gauge::new("lease_mine", u64::from(self.lease.fence(now).is_some())),
            Gauge::new("lease_fence", self.lease.holder().map_or(0, |held| held.fence)),
            Gauge::new("scheduler", u64::from(self.is_scheduler(now))),
            Gauge::new("scheduled_for_others", self.served.len() as u64),
            Gauge::new("submitted", self.counts.submitted),
            Gauge::new("unscheduled", self.counts.unscheduled),
            Gauge::new("servers_unreachable", u64::from(self.is_cut_off())),
            Gauge::new("handed_over", self.counts.handed_over),
            Gauge::new("taken_over", self.counts.taken_over),
            Gauge::new("stream_versions_known", self.streams.len() as u64),
            Gauge::new("servers_watched_ms", ms(self.watched_time(now))),
            Gauge::new("records_unreadable", self.counts.unreadable),
            Gauge::new("requests_blocked", self.poison.blocks(now).count() as u64),
            Gauge::new("parts_suspected", self.poison.suspect_part_count() as u64),
            Gauge::new("blocks_unwritten", self.poison.unstored_blocks(now).len() as u64),
        ];
        figures.extend(
            self.counts
                .rows()
                .map(|(outcome, n)| Gauge::labeled("attempts", "outcome", outcome, n)),
        );
        let refused = self.refusals.iter();
        figures.extend(
            refused.map(|(code, n)| {
                Gauge::labeled("refused", "code", code.row().number.to_string(), *n)
            }),
        );
        self.add_stores(now, &mut figures);
        if self.policy.learns_capacity {
            self.add_deviation(&mut figures);
        }
        self.add_quotas(&mut figures);
        self.add_pools(now, &mut figures);
        self.add_servers(now, &mut figures);
        self.add_ages(now, &mut figures);
        figures
    }

    /// Adds the state of KV stores. Without a label: whether the first one is up.
    fn add_stores(&self, now: Time, figures: &mut Vec<Gauge>) {
        let first = self.table.as_ref().and_then(|table| table.kv_store());
        let first = first.and_then(|store| self.stores.get(store.address));
        let first_is_up = first.is_some_and(|store| store.is_up(now));
        figures.push(Gauge::new("kv_store_up", u64::from(first_is_up)));
        for (address, store) in self.stores.iter() {
            let mut show = |name, value| {
                figures.push(Gauge::labeled(name, "store", address.to_string(), value));
            };
            show("kv_store_reachable", u64::from(store.is_up(now)));
            show("kv_store_parts", store.held.len() as u64);
            show("kv_store_bytes_moved", store.link.moved_bytes());
        }
    }

    /// Adds how many answers took up to some percent of the predicted time.
    fn add_deviation(&self, figures: &mut Vec<Gauge>) {
        for (percent, answers) in self.deviation.cumulative() {
            let bound = percent.map_or("inf".to_owned(), |percent| percent.to_string());
            figures.push(Gauge::labeled("answers_within_percent", "percent", bound, answers));
        }
    }

    /// Adds the keeper's share, and the remaining quota of recently active workspaces.
    fn add_quotas(&self, figures: &mut Vec<Gauge>) {
        let lent = match self.quota.role() {
            Role::Keeper { lent, .. } => lent,
            Role::Deputy { .. } | Role::Other { .. } => 0.0,
        };
        figures.push(Gauge::new("quota_keeper", u64::from(lent > 0.0)));
        figures.push(Gauge::new("quota_lent_percent", (lent * 100.0).round() as u64));
        for workspace in self.quota.workspaces() {
            let left = self.quota.available(workspace).unwrap_or_default().max(0.0);
            figures.push(Gauge::labeled("quota_left", "workspace", workspace, left as u64));
        }
    }

    fn add_pools(&mut self, now: Time, figures: &mut Vec<Gauge>) {
        for (pool, ledger) in &self.ledgers {
            figures.push(Gauge::labeled("waiting_ms", "pool", pool, ledger.waiting_ms() as u64));
            add_workspaces(now, pool, ledger, figures);
        }
        for (pool, servers) in &self.pools {
            let keys = servers.keys();
            let usable = keys.iter().filter_map(|key| self.servers.get(*key));
            let usable = usable.filter(|server| server.is_usable(now)).count();
            figures.push(Gauge::labeled("servers", "pool", pool, keys.len() as u64));
            figures.push(Gauge::labeled("servers_usable", "pool", pool, usable as u64));
            let versions = servers.versions.count(now) as u64;
            figures.push(Gauge::labeled("software_versions", "pool", pool, versions));
            if let Some((limit, rejects)) = self.reject_figures(now, pool) {
                figures.push(Gauge::labeled("reject_limit", "pool", pool, u64::from(limit)));
                figures.push(Gauge::labeled("rejects_max", "pool", pool, rejects as u64));
            }
        }
        let terms = self.retry_terms(now);
        for (pool, budget) in &mut self.budgets {
            let left = budget.remaining(now, terms);
            figures.push(Gauge::labeled("retries_left", "pool", pool, left));
            let totals = budget.totals();
            figures.push(Gauge::labeled("retry_requests", "pool", pool, totals.requests));
            figures.push(Gauge::labeled("retries_charged", "pool", pool, totals.retries));
            figures.push(Gauge::labeled("retries_withheld", "pool", pool, totals.withheld));
        }
    }

    fn add_servers(&self, now: Time, figures: &mut Vec<Gauge>) {
        for (key, server) in &self.servers {
            let id = server.entry.incarnation.id.as_str();
            let load = self.load(key, server);
            let mut show = |name, value| figures.push(Gauge::labeled(name, "server", id, value));
            show("running", u64::from(load.running));
            if self.policy.learns_capacity {
                show("slowness_percent", self.slowness_percent(now, server));
            }
            show("unread_tokens", u64::from(load.pending_tokens));
            show("usable", u64::from(server.is_usable(now)));
            show("failures_in_a_row", u64::from(server.failures()));
            show("silent_ms", ms(load.silence(now)));
            show("parts_held", server.residency.len() as u64);
            show("events_age_ms", server.residency.age(now).map_or(0, ms));
            if let Some(limit) = self.request_limit(key) {
                show("request_limit_per_1000_s", (limit * 1_000.0) as u64);
            }
            if let Some(version) = server.entry.weights.values().max() {
                show("weights", *version);
            }
            let weights = server.entry.weights.iter();
            let ages = weights.filter_map(|(m, v)| self.superseded_for(now, m, *v));
            if let Some(age) = ages.max() {
                show("weights_overtaken_ms", ms(age));
            }
        }
    }

    /// Adds the time since which each topic can't be read, and the age of each peer's last digest.
    fn add_ages(&self, now: Time, figures: &mut Vec<Gauge>) {
        for tracked in Dependency::ALL {
            let unread = self.unread_since.get(&tracked);
            let unread = unread.map_or(0, |since| ms(now.saturating_sub(*since)));
            figures.push(Gauge::labeled("unread_ms", "topic", tracked.name(), unread));
        }
        for (id, heard) in self.peers_heard() {
            let age = ms(now.saturating_sub(heard));
            figures.push(Gauge::labeled("peer_age_ms", "peer", id, age));
        }
    }
}
