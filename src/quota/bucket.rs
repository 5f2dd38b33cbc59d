//! The token bucket of one workspace in one daemon.

use std::collections::VecDeque;

use super::limit::{DEPUTY_CAPACITY_PART, NEW_KEEPER_RATE_PART, OTHERS_CAPACITY_PART};
use super::{Policy, Quota, Role};
use crate::prelude::*;

/// Max time covered by one refill: several times the interval between refills.
const MAX_REFILL_TIME: Duration = Duration::from_millis(400);
/// Time by which callers may return later than their retry-after time.
const RESERVATION_GRACE: Duration = Duration::from_millis(500);

/// A token bucket that refills at the workspace's rate.
#[derive(Debug)]
pub(super) struct Bucket {
    quota: Quota,
    /// Negative if more was used than was available.
    level: f64,
    /// Units of it that a deputy may use.
    deputy_level: f64,
    /// Max units, and units refilled per second.
    capacity: f64,
    steady_rate: f64,
    refilled_at: Time,
    role: Role,
    /// Units reserved for callers that were sent a retry-after time, and the time at which each
    /// reservation expires.
    reservations: VecDeque<(Time, f64)>,
}

impl Bucket {
    /// Creates the bucket of a daemon that has been in its role since `since`, began it with
    /// `initial_part` of the capacity, and admitted nothing. The daemon knows of no usage before
    /// its start at time zero.
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

    /// Returns the initial level of a daemon that begins a role after `uptime`: the former keeper
    /// may have spent the rest unreported.
    fn initial_level(&self, uptime: Duration, initial_part: f64) -> f64 {
        let filled = self.steady_rate * uptime.as_secs_f64();
        filled.min(self.capacity * initial_part).min(self.max_level())
    }

    /// Returns the max level in the present role.
    fn max_level(&self) -> f64 {
        match self.role {
            Role::Keeper { .. } | Role::Deputy { .. } => self.capacity,
            Role::Other { daemons } => self.capacity * OTHERS_CAPACITY_PART / daemons.max(1) as f64,
        }
    }

    /// Returns the refill rate in units per second.
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

    /// Refills the bucket for the elapsed time. Time for which the daemon was frozen doesn't count,
    /// since others counted meanwhile.
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

    /// Changes the role.
    pub(super) fn set_role(&mut self, now: Time, role: Role, initial_part: f64) {
        let former = self.role;
        if self.rate_in(role) < self.rate() {
            // It is unknown when others noticed, so the lower rate applies from the last refill on.
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

    /// Changes the quota.
    pub(super) fn set_quota(&mut self, now: Time, policy: Policy, quota: Quota) {
        if quota != self.quota {
            self.refill(now);
            self.quota = quota;
            (self.capacity, self.steady_rate) = (quota.capacity(policy), quota.steady_rate(policy));
            self.level = self.level.min(self.max_level());
        }
    }

    /// Returns the units that this daemon may admit at once.
    pub(super) fn available(&self) -> f64 {
        match self.role {
            Role::Keeper { lent, .. } => self.level.min(self.capacity * lent),
            Role::Deputy { .. } => self.level.min(self.deputy_level),
            Role::Other { .. } => self.level,
        }
    }

    /// Whether a request of `units` may be admitted. Callers with a reservation have precedence:
    /// reserved units are not available to new ones.
    pub(super) fn can_admit(&self, policy: Policy, units: f64, has_reservation: bool) -> bool {
        let reserved =
            if has_reservation { 0.0 } else { self.reserved_units().min(self.capacity / 2.0) };
        // A request larger than the capacity waits for a full bucket.
        let needed = (units + reserved).min(self.capacity);
        units <= self.quota.max_burst(policy).max(1.0) && self.available() >= needed
    }

    /// Charges units, also beyond those available: they were or will be used.
    pub(super) fn charge(&mut self, units: f64) {
        self.level -= units;
        self.deputy_level -= units;
    }

    /// Charges units that another daemon used. A daemon not heard of before may report old usage,
    /// so this causes no lasting debt.
    pub(super) fn charge_remote(&mut self, units: f64) {
        let min_level = self.level.min(-self.steady_rate);
        self.level = (self.level - units).max(min_level);
    }

    /// Returns the time after which there is room for a request of `units` behind the existing
    /// reservations, and reserves them unless that is later than `max_wait`.
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

    /// Removes the oldest reservation, whose caller has returned.
    pub(super) fn claim_reservation(&mut self) {
        self.reservations.pop_front();
    }

    fn reserved_units(&self) -> f64 {
        self.reservations.iter().map(|(_, units)| units).sum()
    }

    /// Whether the bucket is full and without reservations, and so equals a new one.
    pub(super) fn is_full(&self) -> bool {
        self.reservations.is_empty() && self.level >= self.max_level()
    }
}
