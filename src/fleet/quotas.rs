//! Quotas of workspaces: choice of the keeper, admission, and exchange of usage between daemons.

use super::peer::{DIGEST_INTERVAL, Peer};
use super::request::{Phase, Request};
use super::{Digest, Key, Node};
use crate::prelude::*;
use crate::quota::{Ask, Over, Quota, Role};

/// Time beyond two digest intervals after which a daemon's share no longer counts as lent: by then the daemon
/// may lend it to another keeper.
const LENDING_GRACE: Duration = Duration::from_millis(100);
/// Time within which a keeper notices that daemons lend their shares to another.
const KEEPER_TAKEOVER: Duration = Duration::from_millis(1_100);
/// Silence after which a daemon has no share if most daemons are heard: longer than partitions and restarts.
const PEER_SILENCE_MAX: Duration = Duration::from_secs(10);

/// Which daemon is the quota keeper, as this daemon sees it.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// The keeper's id; empty if none is known.
    keeper: String,
    /// When this daemon became the keeper, if it is.
    since: Option<Time>,
    /// End of the takeover, during which the keeper counts only a part of the shares lent to it.
    taking_over_until: Time,
    /// Requests that wait for a daemon that may admit them.
    pub(super) undecided: BTreeSet<Key>,
}

impl Leadership {
    /// The keeper's id.
    pub(super) fn keeper_id(&self) -> &str {
        &self.keeper
    }
}

impl Peer {
    /// Whether this peer lends its share to the daemon `id`.
    fn lends_to(&self, now: Time, id: &str) -> bool {
        self.has_fresh_digest(now) && self.digest.as_ref().is_some_and(|digest| digest.keeper == id)
    }

    /// Whether neither of its last two digests is overdue.
    fn has_fresh_digest(&self, now: Time) -> bool {
        let timeout = |digest: &Digest| digest.interval * 2 + LENDING_GRACE;
        let timeout = self.digest.as_ref().map(timeout);
        self.heard_at.zip(timeout).is_some_and(|(heard, timeout)| now < heard + timeout)
    }
}

impl Node {
    /// Updates the keeper and this daemon's role, and retries undecided requests.
    pub(super) fn update_quota_role(&mut self, now: Time) {
        let keeper = self.quota_keeper(now);
        if keeper != self.quota_leadership.keeper {
            let former = self.quota_leadership.keeper.as_str();
            let stopped = self.peers.get(former).is_some_and(Peer::is_draining);
            // A daemon that has just started lends its share for the first time: no other keeper counts it.
            let wait = if former.is_empty() || stopped { Duration::ZERO } else { KEEPER_TAKEOVER };
            self.quota_leadership.taking_over_until = now + wait;
            self.quota_leadership.keeper = keeper;
            self.next_digest = self.next_digest.min(now + DIGEST_INTERVAL / 5);
        }
        let role = self.quota_role(now);
        let is_keeper = matches!(role, Role::Keeper { .. });
        self.quota_leadership.since = is_keeper.then(|| self.quota_leadership.since.unwrap_or(now));
        self.quota.set_role(now, role);
        self.retry_undecided(now);
    }

    /// Retries requests that wait for a daemon that may admit them.
    fn retry_undecided(&mut self, now: Time) {
        for key in std::mem::take(&mut self.quota_leadership.undecided) {
            if let Some(request) = self.requests.get_mut(&key) {
                request.submissions = 0;
            }
            if !self.submit(now, key) && self.charge_quota(now, key) {
                self.send_or_queue(now, key);
            }
        }
    }

    /// Makes a request wait briefly for a daemon that may admit it. If no scheduler is heard, this daemon can't
    /// know the quota's use; right after a start, one soon appears. Returns false once the request has waited.
    fn wait_for_keeper(&mut self, now: Time, key: Key) -> bool {
        let knows = !matches!(self.quota.role(), Role::Other { .. });
        let Some(request) = self.requests.get_mut(&key) else { return false };
        if knows || request.origin.is_some() || self.draining {
            return false;
        }
        let until = now + Self::max_wait(request);
        let may_wait = now < *request.undecided_until.get_or_insert(until);
        if may_wait {
            request.phase = Phase::Waiting(now);
            self.quota_leadership.undecided.insert(key);
        }
        may_wait
    }

    /// The keeper: the scheduler of the engines, through which most tokens pass.
    fn quota_keeper(&self, now: Time) -> String {
        let table = self.table.as_ref();
        let pool = table.and_then(|table| table.engine_pools().next()).unwrap_or_default();
        match self.scheduler_of(now, pool) {
            Some(keeper) => keeper.to_owned(),
            None if self.is_scheduler(now) => self.identity.id.clone(),
            None => String::new(),
        }
    }

    fn quota_role(&self, now: Time) -> Role {
        let id = &self.identity.id;
        if !self.is_scheduler(now) {
            return Role::Other { daemons: self.daemon_count() };
        }
        let lenders = self.peers.values().filter(|peer| peer.lends_to(now, id)).count();
        // Other daemons notice first that the former keeper has ended, since their requests to it fail.
        let is_keeper = self.quota_leadership.keeper == *id || lenders * 2 > self.daemon_count();
        if !is_keeper {
            let keeper = self.peers.get(&self.quota_leadership.keeper);
            return Role::Deputy {
                is_told: keeper.is_some_and(|keeper| keeper.has_fresh_digest(now)),
            };
        }
        let lent = (lenders + 1) as f64 / self.lending_daemons(now) as f64;
        let since = self.quota_leadership.since.unwrap_or(now);
        let is_new = now < self.quota_leadership.taking_over_until.min(since + KEEPER_TAKEOVER);
        Role::Keeper { lent: lent.min(1.0), is_new }
    }

    /// Number of daemons that have a share. If most daemons are heard, those that have long been silent have none;
    /// on the other side of a partition, they are a minority.
    fn lending_daemons(&self, now: Time) -> usize {
        let daemons = self.daemon_count();
        let is_silent = |peer: &&Peer| now >= peer.heard_at.unwrap_or_default() + PEER_SILENCE_MAX;
        let silent = self.peers.values().filter(is_silent).count();
        let heard = daemons.saturating_sub(silent).max(1);
        if heard * 2 > daemons { heard } else { daemons }
    }

    /// The quota of a request's workspace, from the table in force or else from the daemon that received the request.
    fn quota_of(&self, request: &Request) -> Option<Quota> {
        let workspace = request.arrival.workspace.as_ref()?;
        let own = self.table.as_ref().and_then(|table| table.quota(&workspace.name));
        own.or(workspace.quota)
    }

    /// The workspace of a request, its quota, and the units of one run; `None` if the workspace has no quota.
    fn units(&self, key: Key) -> Option<(String, Quota, u64)> {
        let request = self.requests.get(&key)?;
        let quota = self.quota_of(request)?;
        let prompt = request.arrival.prompt.as_ref();
        let tokens = prompt.map(|prompt| u64::from(prompt.input) + u64::from(prompt.output));
        let workspace = request.arrival.workspace.as_ref()?;
        Some((workspace.name.clone(), quota, quota.units(tokens)))
    }

    /// Charges a request to its workspace's quota. Returns false if the request is refused, or waits for a keeper.
    pub(super) fn charge_quota(&mut self, now: Time, key: Key) -> bool {
        let Some((workspace, quota, units)) = self.units(key) else { return true };
        let Some(request) = self.requests.get(&key) else { return false };
        if request.runs > 0 || request.counted > 0 {
            return true;
        }
        let longest = Self::max_retry_after(now, request);
        let in_time = Self::max_wait(request).min(longest);
        let (is_back, fingerprint) = (request.returned, request.arrival.fingerprint);
        let ask = Ask { workspace: &workspace, quota, units, is_back, in_time };
        match self.quota.let_in(now, ask) {
            Ok(()) => {
                if let Some(request) = self.requests.get_mut(&key) {
                    request.counted = 1;
                }
                true
            }
            Err(_) if self.wait_for_keeper(now, key) => false,
            Err(over) => {
                let after = self.with_jitter(over.after.unwrap_or(longest / 2)).min(longest);
                self.log_over_quota(key, &workspace, quota, units, over);
                self.refuse_with_retry_after(now, key, Code::OverQuota, after);
                if over.after.is_none() {
                    self.expected.remove(fingerprint);
                }
                false
            }
        }
    }

    /// Charges the run that is about to begin, unless it is already charged.
    pub(super) fn charge_run(&mut self, now: Time, key: Key) {
        let Some((workspace, _, units)) = self.units(key) else { return };
        let Some(request) = self.requests.get_mut(&key) else { return };
        if request.runs >= request.counted {
            request.counted = request.runs + 1;
            self.quota.count(now, &workspace, units);
        }
    }

    /// Refunds the charged runs of a request that ends without them.
    pub(super) fn refund_quota(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let spare = u64::from(request.counted.saturating_sub(request.runs));
        if spare > 0
            && let Some((workspace, _, units)) = self.units(key)
        {
            self.quota.give_back(now, &workspace, units * spare);
        }
    }

    /// Records the usage that a peer reports. Daemons that are no schedulers don't need it.
    pub(super) fn record_peer_usage(&mut self, now: Time, digest: &Digest) {
        if !digest.used.is_empty() && self.is_scheduler(now) {
            let table = self.table.clone();
            let quota = |workspace: &str| table.as_ref()?.quota(workspace);
            self.quota.hear(now, &digest.daemon, digest.incarnation, &digest.used, quota);
        }
    }

    fn log_over_quota(&mut self, key: Key, workspace: &str, quota: Quota, units: u64, over: Over) {
        let Some(request) = self.requests.get(&key) else { return };
        let (role, lent) = match self.quota.role() {
            Role::Keeper { lent, .. } => ("keeper", lent),
            Role::Deputy { .. } => ("deputy", 1.0),
            Role::Other { daemons } => ("other", 1.0 / daemons.max(1) as f64),
        };
        let detail = Detail::of("request", request.arrival.id.as_str())
            .and("workspace", workspace)
            .and("units", units)
            .and("promised", over.after.is_some())
            .and("left", over.left.round())
            .and("rate_here", over.rate.round())
            .and("rate", quota.rate)
            .and("burst", quota.burst)
            .and("role", role)
            .and("lent", lent)
            .and("keeper", self.quota_leadership.keeper.as_str());
        self.event(Event::QuotaUsed, detail);
    }
}
