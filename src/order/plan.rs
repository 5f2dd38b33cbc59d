//! Computes the orders that are due, as a pure function of the manifest and the reports of engines.

use super::Action;
use crate::manifest::Manifest;
use crate::membership::{self, Role, State};
use crate::prelude::*;

/// Maximum number of engines per pool that load at the same time. The weight store is rate-limited, and
/// the other engines continue to serve requests.
const MAX_LOADING_ENGINES: usize = 2;

/// Kinds of orders that the lease holder may send now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permissions {
    /// Whether orders to engines that do not check fencing numbers are allowed.
    pub allow_unfenced: bool,
    /// Whether unloading versions that are not in the manifest is allowed.
    pub allow_unload: bool,
}

/// A due action and the engine that is to execute it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The engine.
    pub server: membership::Key,
    /// The action.
    pub action: Action,
}

/// Returns the actions that are due, except for engines in `busy`, which already execute one.
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

/// Returns the versions that the manifest requires in `pool`, with their adapters.
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
