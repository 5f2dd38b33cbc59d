//! What all workspaces with a quota have left, as one daemon counts it.

use super::bucket::Bucket;
use super::limit::TAKEN_OVER;
use super::{Quota, Terms};
use crate::prelude::*;

/// Time for which what was used is told: longer than other daemons are out of touch and still count.
const TOLD_FOR: Duration = Duration::from_secs(10);

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
        is_told: bool,
    },
    /// It is told nothing; the daemons are so many.
    Other {
        /// All daemons, this one among them.
        daemons: usize,
    },
}

/// A request that wants to be let in.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The workspace's name.
    pub workspace: &'a str,
    /// What it may have.
    pub quota: Quota,
    /// Units that the request counts as.
    pub units: u64,
    /// Whether its caller was promised room before and has come back.
    pub is_back: bool,
    /// The longest time for which its caller may be told to stay away and still be answered in time.
    pub in_time: Duration,
}

/// Why a request was not let in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Over {
    /// Time after which there will be room, promised to the caller; `None` where that is too late. Under a workspace
    /// that asks for more than its quota on and on, all would else come back and be late.
    pub after: Option<Duration>,
    /// Units that were left to this daemon.
    pub left: f64,
    /// Units a second that this daemon may let in.
    pub rate: f64,
}

/// What a daemon has used of a workspace's quota since its start, less what it gave back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Use {
    /// The workspace's name.
    pub workspace: String,
    /// Units.
    pub units: u64,
}

/// Units that this daemon let in.
#[derive(Debug, Clone, Copy, Default)]
struct Own {
    units: u64,
    changed: Time,
}

/// What another daemon told of its use.
#[derive(Debug, Default)]
struct Told {
    incarnation: u64,
    units: BTreeMap<String, u64>,
}

/// The quotas of all workspaces that were used lately.
#[derive(Debug)]
pub struct State {
    terms: Terms,
    role: Role,
    /// When it came into it, and the part of what can be saved that it began with.
    since: Time,
    part: f64,
    /// When it last began with some.
    took_over_at: Option<Time>,
    buckets: BTreeMap<String, Bucket>,
    own: BTreeMap<String, Own>,
    told: BTreeMap<String, Told>,
}

impl State {
    /// A state that knows of no use, in a daemon whose clock begins now.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            role: Role::Other { daemons: 1 },
            since: Time::ZERO,
            part: 0.0,
            took_over_at: None,
            buckets: BTreeMap::new(),
            own: BTreeMap::new(),
            told: BTreeMap::new(),
        }
    }

    /// This daemon's part in counting.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Goes on in a role, and forgets what tells no more.
    pub fn set_role(&mut self, now: Time, role: Role) {
        if std::mem::discriminant(&role) != std::mem::discriminant(&self.role) {
            self.since = now;
            self.part = self.take_over(now, role);
        }
        for bucket in self.buckets.values_mut() {
            bucket.set_role(now, role, self.part);
        }
        self.role = role;
        self.buckets.retain(|_, bucket| !bucket.is_full());
    }

    /// The part of what can be saved that this daemon begins a role with; once in a window, however often roles change.
    fn take_over(&mut self, now: Time, role: Role) -> f64 {
        let lately = self.took_over_at.is_some_and(|at| now < at + self.terms.window);
        if lately || matches!(role, Role::Other { .. }) {
            return 0.0;
        }
        self.took_over_at = Some(now);
        TAKEN_OVER
    }

    /// Lets a request in and counts it, or says when there will be room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cardamomvalve::quota::{Ask, Quota, Role, State, Terms, Unit};
    /// let mut state = State::new(Terms::default());
    /// let now = Duration::from_secs(60);
    /// state.set_role(Duration::ZERO, Role::Keeper { lent: 1.0, is_new: false });
    /// let quota = Quota { rate: 10, burst: 10, unit: Unit::Requests };
    /// let in_time = Duration::from_millis(300);
    /// let ask = Ask { workspace: "lab", quota, units: 1, is_back: false, in_time };
    /// assert!(state.let_in(now, ask).is_ok());
    /// let refused = (0..99).filter(|_| state.let_in(now, ask).is_err()).count();
    /// assert!(refused > 89);
    /// ```
    pub fn let_in(&mut self, now: Time, ask: Ask<'_>) -> Result<(), Over> {
        let (terms, units) = (self.terms, ask.units as f64);
        let bucket = self.bucket(now, ask.workspace, ask.quota);
        if ask.is_back {
            bucket.keep_promise();
        }
        if bucket.has(terms, units, ask.is_back) {
            self.count(now, ask.workspace, ask.units);
            return Ok(());
        }
        let after = bucket.promise(now, units, ask.in_time);
        Err(Over { after, left: bucket.usable(), rate: bucket.rate() })
    }

    /// Counts what runs once more, whether or not it is left.
    pub fn count(&mut self, now: Time, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.take(units as f64);
        }
        let own = self.own.entry(workspace.to_owned()).or_default();
        *own = Own { units: own.units.saturating_add(units), changed: now };
    }

    /// Gives back what was counted and did not run.
    pub fn give_back(&mut self, now: Time, workspace: &str, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.take(-(units as f64));
        }
        if let Some(own) = self.own.get_mut(workspace) {
            *own = Own { units: own.units.saturating_sub(units), changed: now };
        }
    }

    /// What this daemon used lately, as other daemons are told.
    pub fn used(&self, now: Time) -> Vec<Use> {
        let lately = self.own.iter().filter(|(_, own)| now < own.changed + TOLD_FOR);
        let used =
            lately.map(|(workspace, own)| Use { workspace: workspace.clone(), units: own.units });
        used.collect()
    }

    /// Takes over what another daemon says that it used; `quota` tells what a workspace may have.
    pub fn hear(
        &mut self,
        now: Time,
        daemon: &str,
        incarnation: u64,
        used: &[Use],
        quota: impl Fn(&str) -> Option<Quota>,
    ) {
        let told = self.told.entry(daemon.to_owned()).or_default();
        if told.incarnation != incarnation {
            *told = Told { incarnation, units: BTreeMap::new() };
        }
        let mut changes = Vec::new();
        for Use { workspace, units } in used {
            let known = told.units.insert(workspace.clone(), *units).unwrap_or_default();
            if known != *units {
                changes.push((workspace, *units as f64 - known as f64));
            }
        }
        for (workspace, change) in changes {
            if let Some(quota) = quota(workspace) {
                self.bucket(now, workspace, quota).take_told(change);
            }
        }
    }

    /// Units that are left of a workspace's quota to this daemon, where it was used lately.
    pub fn left(&self, workspace: &str) -> Option<f64> {
        self.buckets.get(workspace).map(Bucket::usable)
    }

    /// Workspaces that used their quota lately.
    pub fn workspaces(&self) -> impl Iterator<Item = &str> {
        self.buckets.keys().map(String::as_str)
    }

    fn bucket(&mut self, now: Time, workspace: &str, quota: Quota) -> &mut Bucket {
        let (terms, role, since, part) = (self.terms, self.role, self.since, self.part);
        let new = || Bucket::new(now, quota, terms, role, since, part);
        let bucket = self.buckets.entry(workspace.to_owned()).or_insert_with(new);
        bucket.set_quota(now, terms, quota);
        bucket.fill(now);
        bucket
    }
}
