//! What one workspace has left, as one daemon counts it.

use std::collections::VecDeque;

use super::limit::{DEPUTY_CAPACITY_PART, NEW_KEEPER_RATE_PART, OTHERS_CAPACITY_PART};
use super::{Policy, Quota, Role};
use crate::prelude::*;

/// Time that is filled at a look at most: several times as long as it is from one look to the next.
const MAX_REFILL_TIME: Duration = Duration::from_millis(400);
/// Time by which callers come back later than they were told.
const RESERVATION_GRACE: Duration = Duration::from_millis(500);

/// Units that are left, filled at the workspace's rate.
#[derive(Debug)]
pub(super) struct Bucket {
    quota: Quota,
    /// Below zero where more was used than was left.
    level: f64,
    /// What a deputy may use of it.
    deputy_level: f64,
    /// What can be saved up, and what is filled a second.
    capacity: f64,
    steady_rate: f64,
    refilled_at: Time,
    role: Role,
    /// What was promised to callers that were told to come back: until when, and units.
    reservations: VecDeque<(Time, f64)>,
}

impl Bucket {
    /// What is left where a daemon that has been in its role since `since`, and began with a part of what can be
    /// saved, has let nothing in. It knows of nothing before its start, which is time zero.
    pub(super) fn new(
        now: Time,
        quota: Quota,
        policy: Policy,
        role: Role,
        since: Time,
        initial_part: f64,
    ) -> Self {
        let (capacity, steady_rate) = (quota.capacity(policy), quota.steady_rate(policy));
        let (level, deputy_level, reservations) =
            (0.0, capacity * DEPUTY_CAPACITY_PART, VecDeque::new());
        let mut bucket = Self {
            quota,
            level,
            deputy_level,
            capacity,
            steady_rate,
            refilled_at: now,
            role,
            reservations,
        };
        let filled = bucket.rate() * now.saturating_sub(since).as_secs_f64();
        bucket.level = (bucket.initial_level(since, initial_part) + filled).min(bucket.max_level());
        bucket
    }

    /// What a daemon that has run for so long begins with in a new role: the keeper before may have spent what was
    /// left, untold.
    fn initial_level(&self, role_time: Duration, initial_part: f64) -> f64 {
        let filled = self.steady_rate * role_time.as_secs_f64();
        filled.min(self.capacity * initial_part).min(self.max_level())
    }

    /// Most that may be left.
    fn max_level(&self) -> f64 {
        match self.role {
            Role::Keeper { .. } | Role::Deputy { .. } => self.capacity,
            Role::Other { daemons } => self.capacity * OTHERS_CAPACITY_PART / daemons.max(1) as f64,
        }
    }

    /// Units a second that are filled.
    pub(super) fn rate(&self) -> f64 {
        self.rate_in(self.role)
    }

    fn rate_in(&self, role: Role) -> f64 {
        let rate = self.steady_rate;
        match role {
            Role::Keeper { lent, is_new: false } => rate * lent,
            Role::Keeper { lent, is_new: true } => rate * lent * NEW_KEEPER_RATE_PART,
            Role::Deputy { hears_keeper: true } => rate,
            Role::Deputy { hears_keeper: false } => 0.0,
            Role::Other { daemons } => rate / daemons.max(1) as f64,
        }
    }

    /// Fills what time has brought. A daemon that stood still is not filled for it: others counted meanwhile.
    pub(super) fn refill(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.refilled_at).min(MAX_REFILL_TIME);
        let filled = self.rate() * elapsed.as_secs_f64();
        self.refilled_at = now;
        self.level = (self.level + filled).min(self.max_level());
        while self.reservations.front().is_some_and(|(until, _)| now >= *until) {
            self.reservations.pop_front();
        }
        self.deputy_level = (self.deputy_level + filled * DEPUTY_CAPACITY_PART)
            .min(self.capacity * DEPUTY_CAPACITY_PART);
    }

    /// Goes on in another role.
    pub(super) fn set_role(&mut self, now: Time, role: Role, initial_part: f64) {
        let former = self.role;
        if self.rate_in(role) < self.rate() {
            // When others noticed is not known, so the lower rate counts from the last look on.
            self.role = role;
        }
        self.refill(now);
        self.role = role;
        match (former, role) {
            (Role::Keeper { .. }, Role::Keeper { .. }) => {}
            (Role::Deputy { .. }, Role::Keeper { .. }) => {
                self.level = self.level.min(self.initial_level(now, initial_part));
            }
            (Role::Other { .. }, Role::Keeper { .. } | Role::Deputy { .. }) => {
                self.level = self.initial_level(now, initial_part);
            }
            (_, Role::Deputy { .. } | Role::Other { .. }) => {}
        }
        self.level = self.level.min(self.max_level());
    }

    /// Goes on with another quota.
    pub(super) fn set_quota(&mut self, now: Time, policy: Policy, quota: Quota) {
        if quota != self.quota {
            self.refill(now);
            self.quota = quota;
            (self.capacity, self.steady_rate) = (quota.capacity(policy), quota.steady_rate(policy));
            self.level = self.level.min(self.max_level());
        }
    }

    /// Units that this daemon may let in at once.
    pub(super) fn available(&self) -> f64 {
        match self.role {
            Role::Keeper { lent, .. } => self.level.min(self.capacity * lent),
            Role::Deputy { .. } => self.level.min(self.deputy_level),
            Role::Other { .. } => self.level,
        }
    }

    /// Whether a request of so many units may be let in. Callers that come back go first: what was promised
    /// them is not for newcomers.
    pub(super) fn can_admit(&self, policy: Policy, units: f64, has_reservation: bool) -> bool {
        let reserved =
            if has_reservation { 0.0 } else { self.reserved_units().min(self.capacity / 2.0) };
        // What is larger than all that can be saved up waits for as much as that.
        let needed = (units + reserved).min(self.capacity);
        units <= self.quota.max_burst(policy).max(1.0) && self.available() >= needed
    }

    /// Takes units, also those that are not left: they ran, or will.
    pub(super) fn charge(&mut self, units: f64) {
        self.level -= units;
        self.deputy_level -= units;
    }

    /// Takes what another daemon used. What one that this daemon had not heard of used may be old, so it makes no
    /// debt that lasts.
    pub(super) fn charge_remote(&mut self, units: f64) {
        let min_level = self.level.min(-self.steady_rate);
        self.level = (self.level - units).max(min_level);
    }

    /// Time after which there will be room for a request of so many units behind those that were promised
    /// theirs; it is promised its own unless that is later than `in_time`.
    pub(super) fn reserve(
        &mut self,
        now: Time,
        units: f64,
        max_wait: Duration,
    ) -> Option<Duration> {
        let missing = (units + self.reserved_units() - self.available()).max(0.0);
        let delay = missing / self.rate().max(f64::MIN_POSITIVE);
        if delay > max_wait.as_secs_f64() {
            return None;
        }
        let delay = Duration::from_secs_f64(delay);
        self.reservations.push_back((now + delay + RESERVATION_GRACE, units));
        Some(delay)
    }

    /// Takes over that a caller has come back for what was promised.
    pub(super) fn claim_reservation(&mut self) {
        self.reservations.pop_front();
    }

    fn reserved_units(&self) -> f64 {
        self.reservations.iter().map(|(_, units)| units).sum()
    }

    /// Whether nothing was used for so long that this tells no more than a new one would.
    pub(super) fn is_full(&self) -> bool {
        self.reservations.is_empty() && self.level >= self.max_level()
    }
}
