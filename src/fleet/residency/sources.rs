//! Plans how an engine gets the shared prompt parts that it lacks, at the lowest cost: from another
//! engine, from a KV store, or by computing them.

use std::net::SocketAddr;

use super::Location;
use crate::fleet::homes::Homes;
use crate::fleet::pool::Cell;
use crate::fleet::prompt::{PREFILL_TOKENS_PER_MS, held_tokens, shared_parts, shared_tokens};
use crate::fleet::{Node, Prompt, server};
use crate::prelude::*;
use crate::route::KvStore;

/// Minimum number of shared tokens to transfer: setting up a transfer takes as long as computing
/// them.
const MIN_FETCH_TOKENS: u32 = 512;
/// Milliseconds to set up a transfer, as stated by the engines' makers.
const TRANSFER_SETUP_MS: f64 = 5.0;
/// Factor by which a transfer between availability zones takes longer than one within a zone.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// Cost in milliseconds of each token copied to another engine. The copy evicts cached tokens,
/// which may have to be computed again; a quarter of the time to compute one.
const EVICTION_COST_MS_PER_TOKEN: f64 = 0.25 / PREFILL_TOKENS_PER_MS;

/// A holder of some of a prompt's shared parts.
#[derive(Debug, Clone, PartialEq)]
pub(in crate::fleet) struct Source {
    pub(in crate::fleet) location: Location,
    pub(in crate::fleet) address: SocketAddr,
    /// Tokens of the prompt's prefix that it holds.
    tokens: u32,
    /// Bandwidth of its link.
    link_bytes_per_s: f64,
    /// Availability zone of the holder.
    zone: String,
    /// Whether its holdings are assumed because its events can't be read.
    unconfirmed: bool,
}

impl Source {
    /// Whether it is a KV store.
    pub(in crate::fleet) fn is_store(&self) -> bool {
        matches!(self.location, Location::Store(_))
    }
}

/// The holders of a prompt's shared parts under one cache salt.
#[derive(Debug, Clone, Default)]
pub(in crate::fleet) struct Sources {
    sources: Vec<Source>,
    token_bytes: f64,
    /// Milliseconds that a fetch from the KV store is expected to wait for other transfers.
    store_delay_ms: f64,
}

/// How an engine gets the shared parts that it lacks.
#[derive(Debug, Clone, Default, PartialEq)]
pub(in crate::fleet) struct FetchPlan {
    /// The holder to fetch from.
    pub(in crate::fleet) source: Option<Source>,
    /// Tokens to fetch.
    pub(in crate::fleet) fetched_tokens: u32,
    /// Tokens to fetch that the source is only assumed to hold.
    pub(in crate::fleet) unconfirmed_tokens: u32,
    /// Shared tokens left to compute.
    pub(in crate::fleet) prefill_tokens: u32,
    /// Milliseconds by which the fetch delays the first token.
    pub(in crate::fleet) fetch_ms: f64,
    /// Cost in milliseconds of evicting other cached tokens on the engine.
    pub(in crate::fleet) eviction_cost_ms: f64,
}

impl Sources {
    /// Returns the cheapest plan for `server` in `zone`, which holds `held` of `shared` tokens and
    /// takes `slowness` times as long as assumed to read.
    pub(in crate::fleet) fn plan_fetch(
        &self,
        server: server::Key,
        zone: &str,
        (held, shared): (u32, u32),
        slowness: f64,
    ) -> FetchPlan {
        let prefill_all = FetchPlan { prefill_tokens: shared - held, ..FetchPlan::default() };
        let others =
            self.sources.iter().filter(|source| source.location != Location::Engine(server));
        let candidates =
            others.filter(|source| source.tokens >= held.saturating_add(MIN_FETCH_TOKENS));
        let plans = candidates.map(|source| {
            let fetched = source.tokens.min(shared) - held;
            let transfer_ms =
                f64::from(fetched) * self.token_bytes / source.link_bytes_per_s * 1_000.0;
            let zone_factor = zone_factor(&source.zone, zone);
            let delay_ms = match source.location {
                Location::Store(_) => self.store_delay_ms,
                Location::Engine(_) => 0.0,
            };
            FetchPlan {
                source: Some(source.clone()),
                fetched_tokens: fetched,
                unconfirmed_tokens: if source.unconfirmed { fetched } else { 0 },
                prefill_tokens: shared - held - fetched,
                fetch_ms: TRANSFER_SETUP_MS + transfer_ms * zone_factor + delay_ms,
                eviction_cost_ms: f64::from(fetched) * EVICTION_COST_MS_PER_TOKEN,
            }
        });
        let cost = |plan: &FetchPlan| {
            plan.fetch_ms + f64::from(plan.prefill_tokens) / PREFILL_TOKENS_PER_MS * slowness
        };
        let best = plans.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.filter(|best| cost(best) < cost(&prefill_all)).unwrap_or(prefill_all)
    }

    /// Returns the source named to `server` if it has to compute `prefill_tokens`, or in case it
    /// has evicted what it should hold; a failed fetch costs it a millisecond. An engine is named
    /// even if computing was cheaper, because computing evicts more. The KV store is not named
    /// then, because its link has a queue.
    pub(in crate::fleet) fn fallback_source(
        &self,
        server: server::Key,
        zone: &str,
        prefill_tokens: u32,
    ) -> Option<Source> {
        let others = self.sources.iter().filter(|source| match source.location {
            Location::Engine(key) => key != server,
            Location::Store(_) => prefill_tokens == 0,
        });
        let rank =
            |source: &&Source| (source.unconfirmed, u32::MAX - source.tokens, source.zone != zone);
        others.min_by_key(rank).cloned()
    }
}

/// Factor by which a transfer between two availability zones takes longer than one within a zone.
fn zone_factor(from: &str, to: &str) -> f64 {
    if from == to { 1.0 } else { CROSS_ZONE_FACTOR }
}

impl Node {
    /// Returns the holders of a prompt's shared parts in a cell of its pool under weights `version`, according to their
    /// events. An engine whose events can't be read is assumed to hold the parts if it may be their
    /// home.
    pub(in crate::fleet) fn sources(
        &self,
        now: Time,
        prompt: &Prompt,
        version: u64,
        salt: &str,
        homes: &Homes,
        (pool, cell): (&str, Cell<'_>),
    ) -> Sources {
        let shared_tokens = shared_tokens(prompt);
        let engine = self.table.as_ref().and_then(|table| table.engine(pool));
        let Some(engine) = engine.filter(|_| shared_tokens >= MIN_FETCH_TOKENS) else {
            return Sources::default();
        };
        let engines = cell.keys().filter_map(|key| {
            let server = self.servers.get(key)?;
            if server.weights_version(&prompt.model) != Some(version) || server.is_backing_off(now)
            {
                return None;
            }
            let unconfirmed = !server.residency.is_current(now) && homes.rank(key).is_some();
            let held = if unconfirmed {
                shared_tokens
            } else {
                held_tokens(prompt, salt, |part, tokens| {
                    server.residency.confirmed_tokens(now, part, tokens)
                })
            };
            Some(Source {
                location: Location::Engine(key),
                address: server.entry.address,
                tokens: held,
                link_bytes_per_s: engine.link_bytes_per_s as f64,
                zone: server.entry.zone.clone(),
                unconfirmed,
            })
        });
        let token_bytes = engine.kv_token_bytes as f64;
        let mut sources: Vec<Source> =
            engines.filter(|source| source.tokens >= MIN_FETCH_TOKENS).collect();
        let rank = |source: &Source| match source.location {
            Location::Engine(key) => homes.rank(key).unwrap_or(usize::MAX),
            Location::Store(_) => usize::MAX,
        };
        sources.sort_by_key(rank);
        let store = self.store_of(prompt, salt);
        sources.extend(
            store.and_then(|store| self.store_source(now, store, prompt, salt, token_bytes)),
        );
        let store = store.and_then(|store| self.stores.get(store.address));
        let store_delay_ms = store.map_or(0.0, |store| store.link.delay_ms(now));
        Sources { sources, token_bytes, store_delay_ms }
    }

    /// Returns a KV store as a source if its link has capacity left.
    fn store_source(
        &self,
        now: Time,
        store: &KvStore,
        prompt: &Prompt,
        salt: &str,
        token_bytes: f64,
    ) -> Option<Source> {
        let state = self.stores.get(store.address).filter(|state| state.is_up(now))?;
        let tokens = held_tokens(prompt, salt, |part, tokens| {
            state.held.confirmed_tokens(now, part, tokens)
        });
        let has_room = state.link.has_room(f64::from(tokens) * token_bytes);
        (tokens >= MIN_FETCH_TOKENS && has_room).then_some(Source {
            location: Location::Store(store.address),
            address: store.address,
            tokens,
            link_bytes_per_s: store.link_bytes_per_s as f64,
            zone: store.zone.clone(),
            unconfirmed: false,
        })
    }

    /// Factor by which a transfer between a KV store and an engine uses the store's link longer.
    pub(in crate::fleet) fn store_zone_factor(&self, store: &KvStore, server: server::Key) -> f64 {
        let zone = self.servers.get(server).map(|server| server.entry.zone.as_str());
        zone.map_or(CROSS_ZONE_FACTOR, |zone| zone_factor(&store.zone, zone))
    }

    /// Returns how many bytes of a KV store's link it takes if an engine saves the parts there that
    /// it computes; `None` unless the store lacks shared parts of the prompt that are not in
    /// transit and its link has capacity for the whole prompt.
    pub(in crate::fleet) fn saved_bytes(
        &self,
        now: Time,
        store: &KvStore,
        prompt: &Prompt,
        salt: &str,
        pool: &str,
        zone_factor: f64,
    ) -> Option<f64> {
        let state = self.stores.get(store.address).filter(|state| state.is_up(now))?;
        let parts = shared_parts(&prompt.parts);
        let is_missing = parts.iter().any(|part| !state.will_hold(now, salt, *part));
        let engine = self.table.as_ref()?.engine(pool)?;
        let bytes = f64::from(prompt.input) * engine.kv_token_bytes as f64 * zone_factor;
        let worthwhile =
            shared_tokens(prompt) >= MIN_FETCH_TOKENS && is_missing && state.link.has_room(bytes);
        worthwhile.then_some(bytes)
    }
}
