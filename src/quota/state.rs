//! The token buckets of all workspaces with a quota in one daemon.

use super::bucket::Bucket;
use super::limit::NEW_KEEPER_CAPACITY_PART;
use super::{Policy, Quota};
use crate::prelude::*;

/// Time for which usage is reported. It is longer than other daemons are unreachable and still
/// count.
const USAGE_REPORT_TIME: Duration = Duration::from_secs(10);

/// A daemon's role in counting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Role {
    /// Counts for all daemons that lend it their shares.
    Keeper {
        /// The lending daemons as a part of all daemons, between 0 and 1.
        lent: f64,
        /// Whether the former keeper may not have noticed yet, so that only a part of the rate
        /// applies.
        is_new: bool,
    },
    /// A scheduler that receives the usage of others while another daemon is the keeper.
    Deputy {
        /// Whether the keeper was heard from lately; otherwise its admissions are unknown.
        hears_keeper: bool,
    },
    /// A daemon that receives no usage reports.
    Other {
        /// Number of all daemons including this one.
        daemons: usize,
    },
}

/// A request to be admitted.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The workspace's name.
    pub workspace: &'a str,
    /// The workspace's quota.
    pub quota: Quota,
    /// Units of the request.
    pub units: u64,
    /// Whether its caller has returned after an earlier reservation.
    pub has_reservation: bool,
    /// Max retry-after time with which the request can still be answered in time.
    pub max_wait: Duration,
}

/// Details of a request that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Time after which there is room, reserved for the caller; `None` if that is too late.
    /// Otherwise all callers of a workspace that constantly exceeds its quota would return and be
    /// late.
    pub retry_after: Option<Duration>,
    /// Units available to this daemon.
    pub available: f64,
    /// Units per second that this daemon may admit.
    pub rate: f64,
}

/// Units of a workspace's quota that a daemon has used since its start, less refunds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// The workspace's name.
    pub workspace: String,
    /// Units.
    pub units: u64,
}

/// Units that this daemon admitted.
#[derive(Debug, Clone, Copy, Default)]
struct Counter {
    units: u64,
    changed_at: Time,
}

/// Usage reported by another daemon.
#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    units: BTreeMap<String, u64>,
}

/// The quotas of all workspaces with recent usage.
#[derive(Debug)]
pub struct State {
    policy: Policy,
    role: Role,
    /// When the role began, and the part of the capacity that it began with.
    role_since: Time,
    initial_part: f64,
    /// When a role last began with a part above zero.
    initial_part_at: Option<Time>,
    buckets: BTreeMap<String, Bucket>,
    local_usage: BTreeMap<String, Counter>,
    remote_usage: BTreeMap<String, Peer>,
}

impl State {
    /// Creates a state without usage, in a daemon whose clock starts now.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            role: Role::Other { daemons: 1 },
            role_since: Time::ZERO,
            initial_part: 0.0,
            initial_part_at: None,
            buckets: BTreeMap::new(),
            local_usage: BTreeMap::new(),
            remote_usage: BTreeMap::new(),
        }
    }

    /// Returns this daemon's role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Sets the role, and removes full buckets.
    pub fn set_role(&mut self, now: Time, role: Role) {
        if std::mem::discriminant(&role) != std::mem::discriminant(&self.role) {
            self.role_since = now;
            self.initial_part = self.initial_part_for(now, role);
        }
        for bucket in self.buckets.values_mut() {
            bucket.set_role(now, role, self.initial_part);
        }
        self.role = role;
        self.buckets.retain(|_, bucket| !bucket.is_full());
    }

    /// Returns the part of the capacity that this daemon begins a role with; above zero once per
    /// window, however often roles change.
    fn initial_part_for(&mut self, now: Time, role: Role) -> f64 {
        let is_recent = self.initial_part_at.is_some_and(|at| now < at + self.policy.window);
        if is_recent || matches!(role, Role::Other { .. }) {
            return 0.0;
        }
        self.initial_part_at = Some(now);
        NEW_KEEPER_CAPACITY_PART
    }

    /// Admits and charges a request, or returns when there is room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::quota::{Demand, Quota, Role, State, Policy, Unit};
    /// let mut state = State::new(Policy::default());
    /// let now = Duration::from_secs(60);
    /// state.set_role(Duration::ZERO, Role::Keeper { lent: 1.0, is_new: false });
    /// let quota = Quota { rate: 10, burst: 10, unit: Unit::Requests };
    /// let max_wait = Duration::from_millis(300);
    /// let demand = Demand { workspace: "lab", quota, units: 1, has_reservation: false, max_wait };
    /// assert!(state.admit(now, demand).is_ok());
    /// let refused = (0..99).filter(|_| state.admit(now, demand).is_err()).count();
    /// assert!(refused > 89);
    /// ```
    pub fn admit(&mut self, now: Time, demand: Demand<'_>) -> Result<(), Rejection> {
        let (policy, units) = (self.policy, demand.units as f64);
        let bucket = self.bucket(now, demand.workspace, demand.quota);
        if demand.has_reservation {
            bucket.claim_reservation();
        }
        if bucket.can_admit(policy, units, demand.has_reservation) {
            self.charge(now, demand.workspace, demand.units);
            return Ok(());
        }
        let retry_after = bucket.reserve(now, units, demand.max_wait);
        Err(Rejection { retry_after, available: bucket.available(), rate: bucket.rate() })
    }

    /// Charges units that run again, whether or not they are available.
    pub fn charge(&mut self, now: Time, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.charge(units as f64);
        }
        let counter = self.local_usage.entry(workspace.to_owned()).or_default();
        *counter = Counter { units: counter.units.saturating_add(units), changed_at: now };
    }

    /// Refunds units that were charged and not used.
    pub fn refund(&mut self, now: Time, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.charge(-(units as f64));
        }
        if let Some(counter) = self.local_usage.get_mut(workspace) {
            *counter = Counter { units: counter.units.saturating_sub(units), changed_at: now };
        }
    }

    /// Returns this daemon's recent usage, as reported to other daemons.
    pub fn recent_usage(&self, now: Time) -> Vec<Usage> {
        let recent = self
            .local_usage
            .iter()
            .filter(|(_, counter)| now < counter.changed_at + USAGE_REPORT_TIME);
        let used = recent.map(|(workspace, counter)| Usage {
            workspace: workspace.clone(),
            units: counter.units,
        });
        used.collect()
    }

    /// Merges the usage that another daemon reports; `quota` returns a workspace's quota.
    pub fn merge_usage(
        &mut self,
        now: Time,
        daemon: &str,
        incarnation: u64,
        used: &[Usage],
        quota: impl Fn(&str) -> Option<Quota>,
    ) {
        let peer = self.remote_usage.entry(daemon.to_owned()).or_default();
        if peer.incarnation != incarnation {
            *peer = Peer { incarnation, units: BTreeMap::new() };
        }
        let mut changes = Vec::new();
        for Usage { workspace, units } in used {
            let previous = peer.units.insert(workspace.clone(), *units).unwrap_or_default();
            if previous != *units {
                changes.push((workspace, *units as f64 - previous as f64));
            }
        }
        for (workspace, change) in changes {
            if let Some(quota) = quota(workspace) {
                self.bucket(now, workspace, quota).charge_remote(change);
            }
        }
    }

    /// Returns the units of a workspace's quota available to this daemon, if it was used lately.
    pub fn available(&self, workspace: &str) -> Option<f64> {
        self.buckets.get(workspace).map(Bucket::available)
    }

    /// Returns the workspaces that used their quota lately.
    pub fn workspaces(&self) -> impl Iterator<Item = &str> {
        self.buckets.keys().map(String::as_str)
    }

    fn bucket(&mut self, now: Time, workspace: &str, quota: Quota) -> &mut Bucket {
        let (policy, role, role_since, initial_part) =
            (self.policy, self.role, self.role_since, self.initial_part);
        let new = || Bucket::new(now, quota, policy, role, role_since, initial_part);
        let bucket = self.buckets.entry(workspace.to_owned()).or_insert_with(new);
        bucket.set_quota(now, policy, quota);
        bucket.refill(now);
        bucket
    }
}
