//! Which orders are due: a pure function of the manifest and of what engines report.

use super::Action;
use crate::manifest::Manifest;
use crate::membership::{self, Role, State};
use crate::prelude::*;

/// Engines of one pool that load at a time: the weight store is rate-limited, and those that do
/// not load go on serving.
const MAX_LOADING_ENGINES: usize = 2;

/// What the lease holder may do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permissions {
    /// Whether engines that do not check fencing numbers may be ordered.
    pub allow_unfenced: bool,
    /// Whether versions that the manifest no longer names may be unloaded.
    pub allow_unload: bool,
}

/// One order that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The engine.
    pub server: membership::Key,
    /// What it is to do.
    pub action: Action,
}

/// The orders that are due, without those to engines in `busy`, which carry one out already.
pub fn plan(
    manifest: &Manifest,
    membership: &State,
    busy: &BTreeSet<membership::Key>,
    permissions: Permissions,
) -> Vec<Assignment> {
    let mut assignments = Vec::new();
    for (name, pool) in &manifest.pools {
        if !pool.checks_fencing && !permissions.allow_unfenced {
            continue;
        }
        let engines: Vec<(membership::Key, &membership::Server)> = membership
            .pool(name)
            .filter(|(_, server)| server.vm.role == Role::ModelServer)
            .filter(|(_, server)| !server.draining && server.is_reachable())
            .filter(|(_, server)| server.incarnation.is_some())
            .collect();
        let mut loading = engines.iter().filter(|(key, _)| busy.contains(key)).count();
        for (key, server) in engines.iter().filter(|(key, _)| !busy.contains(key)) {
            let wanted = wanted_versions(manifest, name);
            if let Some(load) = load_missing(&wanted, server) {
                if loading < MAX_LOADING_ENGINES {
                    loading += 1;
                    assignments.push(Assignment { server: *key, action: load });
                }
            } else if permissions.allow_unload
                && pool.checks_fencing
                && let Some(unload) = unload_surplus(&wanted, server)
            {
                assignments.push(Assignment { server: *key, action: unload });
            }
        }
    }
    assignments
}

type Versions<'a> = BTreeMap<(&'a str, &'a str), Option<&'a str>>;

/// The versions that engines of `pool` are to have, with their adapters.
fn wanted_versions<'a>(manifest: &'a Manifest, pool: &str) -> Versions<'a> {
    let models = manifest.models.iter().filter(|(_, model)| model.pool == pool);
    models
        .flat_map(|(name, model)| {
            let all_weights = std::iter::once(&model.weights).chain(&model.preload);
            all_weights
                .map(move |weights| ((name.as_str(), weights.as_str()), model.adapter.as_deref()))
        })
        .collect()
}

fn load_missing(wanted: &Versions<'_>, server: &membership::Server) -> Option<Action> {
    let ((model, weights), adapter) =
        wanted.iter().find(|((model, weights), _)| !server.serves(model, weights))?;
    Some(Action::Load {
        model: (*model).to_owned(),
        weights: (*weights).to_owned(),
        adapter: adapter.map(str::to_owned),
    })
}

fn unload_surplus(wanted: &Versions<'_>, server: &membership::Server) -> Option<Action> {
    let loaded = server
        .weights
        .iter()
        .flat_map(|(model, versions)| versions.iter().map(move |weights| (model, weights)));
    loaded
        .into_iter()
        .find(|(model, weights)| !wanted.contains_key(&(model.as_str(), weights.as_str())))
        .map(|(model, weights)| Action::Unload { model: model.clone(), weights: weights.clone() })
}
