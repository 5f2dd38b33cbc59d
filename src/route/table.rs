//! Routing table: one configuration, indexed by host and by key.

use super::{Cohort, Engine, Kind, KvStore, Limits, Pool, Route, Workspace};
use crate::fairness::Weight;
use crate::prelude::*;
use crate::quota::{Quota, Unit};

/// Error in a configuration, with its description.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error(pub String);

/// The routes, pools and workspaces of one configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Table {
    version: u64,
    /// Routes by host, sorted by descending length of the path prefix.
    routes_by_host: BTreeMap<String, Vec<Arc<Route>>>,
    pools: BTreeMap<String, Pool>,
    /// Workspaces by the keys that belong to them.
    workspaces_by_key: BTreeMap<String, Arc<Workspace>>,
    /// The names of all workspaces.
    names: BTreeSet<String>,
    /// The names of the workspaces that share no cached prompts.
    isolated: BTreeSet<String>,
    cohort: Cohort,
    /// Whether routes that are not public need a workspace's key, even if no workspace has one.
    requires_key: bool,
    /// Quotas by workspace; workspaces without a quota are left out.
    quotas: BTreeMap<String, Quota>,
    /// Workspaces whose quotas can't be read.
    unreadable_quotas: BTreeSet<String>,
    /// Weights by workspace; workspaces that never had a quota are left out.
    weights: BTreeMap<String, Weight>,
    limits: Limits,
}

/// Result of looking up a request's host, path and key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The matching route, and the workspace of the key if the key is known.
    Route(Arc<Route>, Option<Arc<Workspace>>),
    /// No route matches the host and path.
    NoRoute,
    /// A route matches, but it needs a key and the request has no known one.
    NoWorkspace,
}

impl Table {
    /// Indexes a configuration. Workspaces come with their keys; `None` stands for a configuration
    /// without a section of workspaces, whose routes need no key. Fails if a route has no pool with a
    /// positive weight.
    ///
    /// ```
    /// use cardamomvalve::route::{Limits, Table};
    /// let table = Table::new(3, Vec::new(), Default::default(), None, Limits::default());
    /// assert_eq!(table.expect("a configuration without routes is valid").version(), 3);
    /// ```
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        pools: BTreeMap<String, Pool>,
        workspaces: Option<Vec<(Workspace, Vec<String>)>>,
        limits: Limits,
    ) -> Result<Self, Error> {
        let mut routes_by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            if route.splits.iter().all(|split| split.weight == 0) {
                return Err(Error(format!("route {} leads to no pool", route.name)));
            }
            routes_by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let requires_key = workspaces.is_some();
        let mut workspaces_by_key = BTreeMap::new();
        let mut quotas = BTreeMap::new();
        let (mut names, mut isolated) = (BTreeSet::new(), BTreeSet::new());
        for (workspace, owned_keys) in workspaces.unwrap_or_default() {
            names.insert(workspace.name.clone());
            isolated.extend(workspace.isolated.then(|| workspace.name.clone()));
            quotas.extend(workspace.quota.map(|quota| (workspace.name.clone(), quota)));
            let workspace = Arc::new(workspace);
            workspaces_by_key
                .extend(owned_keys.into_iter().map(|key| (key, Arc::clone(&workspace))));
        }
        let weights = weights_of(&quotas);
        let unreadable_quotas = BTreeSet::new();
        Ok(Self {
            version,
            routes_by_host,
            pools,
            workspaces_by_key,
            names,
            cohort: Cohort::of(version, &isolated),
            isolated,
            requires_key,
            quotas,
            unreadable_quotas,
            weights,
            limits,
        })
    }

    /// Marks workspaces whose quotas the configuration has, but that can't be read.
    pub fn with_unreadable_quotas(self, workspaces: BTreeSet<String>) -> Self {
        Self { unreadable_quotas: workspaces, ..self }
    }

    /// Keeps of the former table what this one does not say: the quotas that can't be read, and the
    /// weights of workspaces without a quota. Returns the workspaces that had a quota and have none
    /// now, with the weights that stay.
    pub fn keep_from(&mut self, former: &Self) -> Vec<(String, Weight)> {
        for workspace in &self.unreadable_quotas {
            let quota = former.quota(workspace);
            self.quotas.extend(quota.map(|quota| (workspace.clone(), quota)));
        }
        for workspace in self.workspaces_by_key.values_mut() {
            if self.unreadable_quotas.contains(&workspace.name) {
                Arc::make_mut(workspace).quota = self.quotas.get(&workspace.name).copied();
            }
        }
        self.weights = weights_of(&self.quotas);
        let mut lost = Vec::new();
        for (workspace, weight) in &former.weights {
            if !self.names.contains(workspace) || self.weights.contains_key(workspace) {
                continue;
            }
            self.weights.insert(workspace.clone(), *weight);
            if former.quotas.contains_key(workspace) {
                lost.push((workspace.clone(), *weight));
            }
        }
        lost
    }

    /// Returns the configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the workspaces that share cached prompts.
    pub fn cohort(&self) -> Cohort {
        self.cohort
    }

    /// Returns whether the workspace shares no cached prompts with others.
    pub fn is_isolated(&self, workspace: &str) -> bool {
        self.isolated.contains(workspace)
    }

    /// Returns the limits on callers' requests and connections.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the workspace's quota, or `None` if it is unlimited.
    pub fn quota(&self, workspace: &str) -> Option<Quota> {
        self.quotas.get(workspace).copied()
    }

    /// Whether any workspace has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Returns the workspace's weight in the division of pools: its quota's rate over the mean rate
    /// of the quotas with the same unit; 1 if it never had a quota.
    pub fn weight(&self, workspace: &str) -> Weight {
        self.weights.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the pool called `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// Returns all pools by name.
    pub fn pools(&self) -> &BTreeMap<String, Pool> {
        &self.pools
    }

    /// Returns the first KV store, in order of pool names.
    pub fn kv_store(&self) -> Option<&KvStore> {
        self.kv_stores().next().map(|(_, store)| store)
    }

    /// Returns all KV stores with the names of their pools, in ascending order.
    ///
    /// ```
    /// use cardamomvalve::route::Table;
    /// assert_eq!(Table::default().kv_stores().count(), 0);
    /// ```
    pub fn kv_stores(&self) -> impl Iterator<Item = (&str, &KvStore)> {
        self.pools.iter().filter_map(|(name, pool)| match &pool.kind {
            Kind::KvStore(store) => Some((name.as_str(), store)),
            Kind::Plain | Kind::Engine(_) => None,
        })
    }

    /// Returns the properties of a pool's engines, or `None` if it has no engines.
    pub fn engine(&self, pool: &str) -> Option<Engine> {
        match self.pool(pool)?.kind {
            Kind::Engine(engine) => Some(engine),
            Kind::Plain | Kind::KvStore(_) => None,
        }
    }

    /// Returns the names of the pools of engines, in ascending order.
    pub fn engine_pools(&self) -> impl Iterator<Item = &str> {
        let engines = self.pools.iter().filter(|(_, pool)| matches!(pool.kind, Kind::Engine(_)));
        engines.map(|(name, _)| name.as_str())
    }

    /// Finds the route for `path` at `host`, and the workspace that `key` belongs to.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Lookup {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&host).map(Vec::as_slice).unwrap_or_default();
        let Some(route) = routes.iter().find(|route| path.starts_with(&route.path_prefix)) else {
            return Lookup::NoRoute;
        };
        let workspace = key.and_then(|key| self.workspaces_by_key.get(key)).cloned();
        if workspace.is_none() && !route.is_public && self.requires_key {
            return Lookup::NoWorkspace;
        }
        Lookup::Route(Arc::clone(route), workspace)
    }
}

/// Weights of the workspaces with a quota. Rates of requests and of tokens are not comparable, so
/// each unit has a mean of its own.
fn weights_of(quotas: &BTreeMap<String, Quota>) -> BTreeMap<String, Weight> {
    let counts_tokens = |quota: &Quota| matches!(quota.unit, Unit::Tokens { .. });
    let mean_rate = |of_tokens: bool| {
        let same = quotas.values().filter(|quota| counts_tokens(quota) == of_tokens);
        let rates: Vec<f64> = same.map(|quota| quota.rate as f64).collect();
        rates.iter().sum::<f64>() / rates.len() as f64
    };
    let (tokens, requests) = (mean_rate(true), mean_rate(false));
    let weight = |quota: &Quota| {
        Weight::of(Some(*quota), if counts_tokens(quota) { tokens } else { requests })
    };
    quotas.iter().map(|(workspace, quota)| (workspace.clone(), weight(quota))).collect()
}
