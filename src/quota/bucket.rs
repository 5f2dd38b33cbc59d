//! What one workspace has left, as one daemon counts it.

use std::collections::VecDeque;

use super::limit::{DEPUTY, OTHERS, TAKING_OVER};
use super::{Quota, Role, Terms};
use crate::prelude::*;

/// Time that is filled at a look at most: several times as long as it is from one look to the next.
const MOST_PASSED: Duration = Duration::from_millis(400);
/// Time by which callers come back later than they were told.
const LATE: Duration = Duration::from_millis(500);

/// Units that are left, filled at the workspace's rate.
#[derive(Debug)]
pub(super) struct Bucket {
    quota: Quota,
    /// Below zero where more was used than was left.
    left: f64,
    /// What a deputy may use of it.
    spare: f64,
    /// What can be saved up, and what is filled a second.
    saved: f64,
    steady: f64,
    filled_at: Time,
    role: Role,
    /// What was promised to callers that were told to come back: until when, and units.
    promised: VecDeque<(Time, f64)>,
}

impl Bucket {
    /// What is left where a daemon that has been in its role since `since`, and began with a part of what can be
    /// saved, has let nothing in. It knows of nothing before its start, which is time zero.
    pub(super) fn new(
        now: Time,
        quota: Quota,
        terms: Terms,
        role: Role,
        since: Time,
        part: f64,
    ) -> Self {
        let (saved, steady) = (quota.saved(terms), quota.steady(terms));
        let (left, spare, promised) = (0.0, saved * DEPUTY, VecDeque::new());
        let mut bucket = Self { quota, left, spare, saved, steady, filled_at: now, role, promised };
        let filled = bucket.rate() * now.saturating_sub(since).as_secs_f64();
        bucket.left = (bucket.taken_over(since, part) + filled).min(bucket.most());
        bucket
    }

    /// What a daemon that has run for so long begins with in a new role: the keeper before may have spent what was
    /// left, untold.
    fn taken_over(&self, ran: Duration, part: f64) -> f64 {
        let filled = self.steady * ran.as_secs_f64();
        filled.min(self.saved * part).min(self.most())
    }

    /// Most that may be left.
    fn most(&self) -> f64 {
        match self.role {
            Role::Keeper { .. } | Role::Deputy { .. } => self.saved,
            Role::Other { daemons } => self.saved * OTHERS / daemons.max(1) as f64,
        }
    }

    /// Units a second that are filled.
    pub(super) fn rate(&self) -> f64 {
        self.rate_in(self.role)
    }

    fn rate_in(&self, role: Role) -> f64 {
        let rate = self.steady;
        match role {
            Role::Keeper { lent, is_new: false } => rate * lent,
            Role::Keeper { lent, is_new: true } => rate * lent * TAKING_OVER,
            Role::Deputy { is_told: true } => rate,
            Role::Deputy { is_told: false } => 0.0,
            Role::Other { daemons } => rate / daemons.max(1) as f64,
        }
    }

    /// Fills what time has brought. A daemon that stood still is not filled for it: others counted meanwhile.
    pub(super) fn fill(&mut self, now: Time) {
        let passed = now.saturating_sub(self.filled_at).min(MOST_PASSED);
        let filled = self.rate() * passed.as_secs_f64();
        self.filled_at = now;
        self.left = (self.left + filled).min(self.most());
        while self.promised.front().is_some_and(|(until, _)| now >= *until) {
            self.promised.pop_front();
        }
        self.spare = (self.spare + filled * DEPUTY).min(self.saved * DEPUTY);
    }

    /// Goes on in another role.
    pub(super) fn set_role(&mut self, now: Time, role: Role, part: f64) {
        let before = self.role;
        if self.rate_in(role) < self.rate() {
            // When others noticed is not known, so the lower rate counts from the last look on.
            self.role = role;
        }
        self.fill(now);
        self.role = role;
        match (before, role) {
            (Role::Keeper { .. }, Role::Keeper { .. }) => {}
            (Role::Deputy { .. }, Role::Keeper { .. }) => {
                self.left = self.left.min(self.taken_over(now, part));
            }
            (Role::Other { .. }, Role::Keeper { .. } | Role::Deputy { .. }) => {
                self.left = self.taken_over(now, part);
            }
            (_, Role::Deputy { .. } | Role::Other { .. }) => {}
        }
        self.left = self.left.min(self.most());
    }

    /// Goes on with another quota.
    pub(super) fn set_quota(&mut self, now: Time, terms: Terms, quota: Quota) {
        if quota != self.quota {
            self.fill(now);
            self.quota = quota;
            (self.saved, self.steady) = (quota.saved(terms), quota.steady(terms));
            self.left = self.left.min(self.most());
        }
    }

    /// Units that this daemon may let in at once.
    pub(super) fn usable(&self) -> f64 {
        match self.role {
            Role::Keeper { lent, .. } => self.left.min(self.saved * lent),
            Role::Deputy { .. } => self.left.min(self.spare),
            Role::Other { .. } => self.left,
        }
    }

    /// Whether a request of so many units may be let in. Callers that come back go first: what was promised
    /// them is not for newcomers.
    pub(super) fn has(&self, terms: Terms, units: f64, is_back: bool) -> bool {
        let promised = if is_back { 0.0 } else { self.all_promised().min(self.saved / 2.0) };
        // What is larger than all that can be saved up waits for as much as that.
        let wants = (units + promised).min(self.saved);
        units <= self.quota.at_once(terms).max(1.0) && self.usable() >= wants
    }

    /// Takes units, also those that are not left: they ran, or will.
    pub(super) fn take(&mut self, units: f64) {
        self.left -= units;
        self.spare -= units;
    }

    /// Takes what another daemon used. What one that this daemon had not heard of used may be old, so it makes no
    /// debt that lasts.
    pub(super) fn take_told(&mut self, units: f64) {
        let least = self.left.min(-self.steady);
        self.left = (self.left - units).max(least);
    }

    /// Time after which there will be room for a request of so many units behind those that were promised
    /// theirs; it is promised its own unless that is later than `in_time`.
    pub(super) fn promise(&mut self, now: Time, units: f64, in_time: Duration) -> Option<Duration> {
        let missing = (units + self.all_promised() - self.usable()).max(0.0);
        let after = missing / self.rate().max(f64::MIN_POSITIVE);
        if after > in_time.as_secs_f64() {
            return None;
        }
        let after = Duration::from_secs_f64(after);
        self.promised.push_back((now + after + LATE, units));
        Some(after)
    }

    /// Takes over that a caller has come back for what was promised.
    pub(super) fn keep_promise(&mut self) {
        self.promised.pop_front();
    }

    fn all_promised(&self) -> f64 {
        self.promised.iter().map(|(_, units)| units).sum()
    }

    /// Whether nothing was used for so long that this tells no more than a new one would.
    pub(super) fn is_full(&self) -> bool {
        self.promised.is_empty() && self.left >= self.most()
    }
}
