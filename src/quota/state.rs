//! What all workspaces with a quota have left, as one daemon counts it.

use super::bucket::Bucket;
use super::limit::NEW_KEEPER_CAPACITY_PART;
use super::{Policy, Quota};
use crate::prelude::*;

/// Time for which what was used is told: longer than other daemons are out of touch and still count.
const USAGE_REPORT_TIME: Duration = Duration::from_secs(10);

/// A daemon's part in counting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Role {
    /// It counts for all that lend it their shares: this part of all daemons.
    Keeper {
        /// Between 0 and 1.
        lent: f64,
        /// Whether the keeper before may not have noticed yet, so that a part of the rate counts alone.
        is_new: bool,
    },
    /// It schedules and is told what others use, but another daemon is the keeper.
    Deputy {
        /// Whether the keeper was heard of lately: what it lets in meanwhile is not known otherwise.
        hears_keeper: bool,
    },
    /// It is told nothing; the daemons are so many.
    Other {
        /// All daemons, this one among them.
        daemons: usize,
    },
}

/// A request that wants to be let in.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The workspace's name.
    pub workspace: &'a str,
    /// What it may have.
    pub quota: Quota,
    /// Units that the request counts as.
    pub units: u64,
    /// Whether its caller was promised room before and has come back.
    pub has_reservation: bool,
    /// The longest time for which its caller may be told to stay away and still be answered in time.
    pub max_wait: Duration,
}

/// Why a request was not let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Time after which there will be room, promised to the caller; `None` where that is too late. Under a workspace
    /// that asks for more than its quota on and on, all would else come back and be late.
    pub retry_after: Option<Duration>,
    /// Units that were left to this daemon.
    pub available: f64,
    /// Units a second that this daemon may let in.
    pub rate: f64,
}

/// What a daemon has used of a workspace's quota since its start, less what it gave back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// The workspace's name.
    pub workspace: String,
    /// Units.
    pub units: u64,
}

/// Units that this daemon let in.
#[derive(Debug, Clone, Copy, Default)]
struct Counter {
    units: u64,
    changed_at: Time,
}

/// What another daemon told of its use.
#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    units: BTreeMap<String, u64>,
}

/// The quotas of all workspaces that were used lately.
#[derive(Debug)]
pub struct State {
    policy: Policy,
    role: Role,
    /// When it came into it, and the part of what can be saved that it began with.
    role_since: Time,
    initial_part: f64,
    /// When it last began with some.
    initial_part_at: Option<Time>,
    buckets: BTreeMap<String, Bucket>,
    local_usage: BTreeMap<String, Counter>,
    remote_usage: BTreeMap<String, Peer>,
}

impl State {
    /// A state that knows of no use, in a daemon whose clock begins now.
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

    /// This daemon's part in counting.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Goes on in a role, and forgets what tells no more.
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

    /// The part of what can be saved that this daemon begins a role with; once in a window, however often roles change.
    fn initial_part_for(&mut self, now: Time, role: Role) -> f64 {
        let is_recent = self.initial_part_at.is_some_and(|at| now < at + self.policy.window);
        if is_recent || matches!(role, Role::Other { .. }) {
            return 0.0;
        }
        self.initial_part_at = Some(now);
        NEW_KEEPER_CAPACITY_PART
    }

    /// Lets a request in and counts it, or says when there will be room.
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

    /// Counts what runs once more, whether or not it is left.
    pub fn charge(&mut self, now: Time, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.charge(units as f64);
        }
        let counter = self.local_usage.entry(workspace.to_owned()).or_default();
        *counter = Counter { units: counter.units.saturating_add(units), changed_at: now };
    }

    /// Gives back what was counted and did not run.
    pub fn refund(&mut self, now: Time, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.charge(-(units as f64));
        }
        if let Some(counter) = self.local_usage.get_mut(workspace) {
            *counter = Counter { units: counter.units.saturating_sub(units), changed_at: now };
        }
    }

    /// What this daemon used lately, as other daemons are told.
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

    /// Takes over what another daemon says that it used; `quota` tells what a workspace may have.
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

    /// Units that are left of a workspace's quota to this daemon, where it was used lately.
    pub fn available(&self, workspace: &str) -> Option<f64> {
        self.buckets.get(workspace).map(Bucket::available)
    }

    /// Workspaces that used their quota lately.
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
