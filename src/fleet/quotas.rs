//! Quotas of workspaces: who keeps them, what is let in, and what daemons tell each other of their use.

use super::peer::{DIGEST_INTERVAL, Peer};
use super::request::{Phase, Request};
use super::{Digest, Key, Node};
use crate::prelude::*;
use crate::quota::{Ask, Over, Quota, Role};

/// Time beyond two digests after which a daemon no longer lends its share: by then it may lend it to another.
const LENT_FOR: Duration = Duration::from_millis(100);
/// Time in which a keeper notices that others have gone to another.
const TAKES_OVER: Duration = Duration::from_millis(1_100);
/// Silence of a daemon after which it has no share where most are heard of: longer than cuts and restarts.
const GONE_AFTER: Duration = Duration::from_secs(10);

/// Who keeps the quotas, as this daemon sees it.
#[derive(Debug, Default)]
pub(super) struct Keeping {
    /// The keeper's id; empty where none is known.
    keeper: String,
    /// Since when this daemon has been the keeper, where it is.
    since: Option<Time>,
    /// Until when it counts only a part of what it is lent.
    taking_over_until: Time,
    /// Requests that wait for a daemon that may let them in.
    pub(super) undecided: BTreeSet<Key>,
}

impl Keeping {
    /// The keeper's id.
    pub(super) fn name(&self) -> &str {
        &self.keeper
    }
}

impl Peer {
    /// Whether it lends its share to the daemon `id`.
    fn lends_to(&self, now: Time, id: &str) -> bool {
        self.is_told_of(now) && self.digest.as_ref().is_some_and(|digest| digest.quota_keeper == id)
    }

    /// Whether neither of its last two digests is overdue.
    fn is_told_of(&self, now: Time) -> bool {
        let lasts = |digest: &Digest| digest.interval * 2 + LENT_FOR;
        let lasts = self.digest.as_ref().map(lasts);
        self.heard_at.zip(lasts).is_some_and(|(heard, lasts)| now < heard + lasts)
    }
}

impl Node {
    /// Looks at who keeps the quotas and what this daemon may let in.
    pub(super) fn look_at_quotas(&mut self, now: Time) {
        let keeper = self.quota_keeper(now);
        if keeper != self.quota_leadership.keeper {
            let former = self.quota_leadership.keeper.as_str();
            let stopped = self.peers.get(former).is_some_and(Peer::is_draining);
            // Who has just started lends its share for the first time, so nobody else counts it.
            let wait = if former.is_empty() || stopped { Duration::ZERO } else { TAKES_OVER };
            self.quota_leadership.taking_over_until = now + wait;
            self.quota_leadership.keeper = keeper;
            self.next_digest = self.next_digest.min(now + DIGEST_INTERVAL / 5);
        }
        let role = self.quota_role(now);
        let keeps = matches!(role, Role::Keeper { .. });
        self.quota_leadership.since = keeps.then(|| self.quota_leadership.since.unwrap_or(now));
        self.quota.set_role(now, role);
        self.look_at_undecided(now);
    }

    /// Tries what waits for a daemon that may let it in once more.
    fn look_at_undecided(&mut self, now: Time) {
        for key in std::mem::take(&mut self.quota_leadership.undecided) {
            if let Some(request) = self.requests.get_mut(&key) {
                request.submissions = 0;
            }
            if !self.submit(now, key) && self.let_in(now, key) {
                self.send_or_queue(now, key);
            }
        }
    }

    /// Has a request wait a little for a daemon that may let it in, where this one hears of none: it could not know,
    /// and right after a start others soon do. False once it has waited for that.
    fn may_wait_undecided(&mut self, now: Time, key: Key) -> bool {
        let knows = !matches!(self.quota.role(), Role::Other { .. });
        let Some(request) = self.requests.get_mut(&key) else { return false };
        if knows || request.origin.is_some() || self.draining {
            return false;
        }
        let until = now + Self::max_wait(request);
        let waits = now < *request.admission_deadline.get_or_insert(until);
        if waits {
            request.phase = Phase::Waiting(now);
            self.quota_leadership.undecided.insert(key);
        }
        waits
    }

    /// The daemon that schedules for the engines, through which most tokens pass.
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
        // Others notice first where the one before has ended, since their requests find it gone.
        let is_keeper = self.quota_leadership.keeper == *id || lenders * 2 > self.daemon_count();
        if !is_keeper {
            let keeper = self.peers.get(&self.quota_leadership.keeper);
            return Role::Deputy { is_told: keeper.is_some_and(|keeper| keeper.is_told_of(now)) };
        }
        let lent = (lenders + 1) as f64 / self.lending_daemons(now) as f64;
        let since = self.quota_leadership.since.unwrap_or(now);
        let is_new = now < self.quota_leadership.taking_over_until.min(since + TAKES_OVER);
        Role::Keeper { lent: lent.min(1.0), is_new }
    }

    /// Daemons that have a share. Where most are heard of, those that have been silent for long have none; on the
    /// other side of a cut they are not most.
    fn lending_daemons(&self, now: Time) -> usize {
        let daemons = self.daemon_count();
        let gone = |peer: &&Peer| now >= peer.heard_at.unwrap_or_default() + GONE_AFTER;
        let gone = self.peers.values().filter(gone).count();
        let rest = daemons.saturating_sub(gone).max(1);
        if rest * 2 > daemons { rest } else { daemons }
    }

    /// What a request's workspace may have run: by the table in force, or as the daemon that has it was told.
    fn quota_of(&self, request: &Request) -> Option<Quota> {
        let workspace = request.arrival.workspace.as_ref()?;
        let own = self.table.as_ref().and_then(|table| table.quota(&workspace.name));
        own.or(workspace.quota)
    }

    /// The workspace of a request and the units that one run of it counts as, where that is limited.
    fn units(&self, key: Key) -> Option<(String, Quota, u64)> {
        let request = self.requests.get(&key)?;
        let quota = self.quota_of(request)?;
        let prompt = request.arrival.prompt.as_ref();
        let tokens = prompt.map(|prompt| u64::from(prompt.input) + u64::from(prompt.output));
        let workspace = request.arrival.workspace.as_ref()?;
        Some((workspace.name.clone(), quota, quota.units(tokens)))
    }

    /// Counts a request against its workspace's quota; where nothing is left it is refused, and false.
    pub(super) fn let_in(&mut self, now: Time, key: Key) -> bool {
        let Some((workspace, quota, units)) = self.units(key) else { return true };
        let Some(request) = self.requests.get(&key) else { return false };
        if request.possible_runs > 0 || request.charged_runs > 0 {
            return true;
        }
        let longest = Self::max_retry_after(now, request);
        let in_time = Self::max_wait(request).min(longest);
        let (is_back, fingerprint) = (request.refused_before, request.arrival.fingerprint);
        let ask = Ask { workspace: &workspace, quota, units, is_back, in_time };
        match self.quota.let_in(now, ask) {
            Ok(()) => {
                if let Some(request) = self.requests.get_mut(&key) {
                    request.charged_runs = 1;
                }
                true
            }
            Err(_) if self.may_wait_undecided(now, key) => false,
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

    /// Counts the run that is about to begin, where it is one more than was let in.
    pub(super) fn count_run(&mut self, now: Time, key: Key) {
        let Some((workspace, _, units)) = self.units(key) else { return };
        let Some(request) = self.requests.get_mut(&key) else { return };
        if request.possible_runs >= request.charged_runs {
            request.charged_runs = request.possible_runs + 1;
            self.quota.count(now, &workspace, units);
        }
    }

    /// Gives back what was counted for a request that ends and did not run.
    pub(super) fn give_back(&mut self, now: Time, key: Key) {
        let Some(request) = self.requests.get(&key) else { return };
        let spare = u64::from(request.charged_runs.saturating_sub(request.possible_runs));
        if spare > 0
            && let Some((workspace, _, units)) = self.units(key)
        {
            self.quota.give_back(now, &workspace, units * spare);
        }
    }

    /// Takes over what a peer used. Daemons that do not schedule have no use for it.
    pub(super) fn hear_used(&mut self, now: Time, digest: &Digest) {
        if !digest.quota_use.is_empty() && self.is_scheduler(now) {
            let table = self.table.clone();
            let quota = |workspace: &str| table.as_ref()?.quota(workspace);
            self.quota.hear(now, &digest.daemon, digest.incarnation, &digest.quota_use, quota);
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
