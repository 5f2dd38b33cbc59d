//! Candidate servers of a request: load, cached prefix and free slots as this daemon knows them.

use xxhash_rust::xxh3::xxh3_64;

use super::Node;
use crate::admission;
use crate::attempt::{self, Phase, Request, Target};
use crate::manifest::Objective;
use crate::membership::{self, Role, Server};
use crate::peer;
use crate::placement::{Candidate, Query, Score, choose};
use crate::prefix::{BLOCK_TOKENS, Depth, Key, Prefix};
use crate::prelude::*;

/// Work that one copy of a first level should carry, in milliseconds of engine time a second.
const COPY_LOAD_MS_PER_S: f64 = 500.0;
/// Engine time assumed for one answer token, in milliseconds.
const ANSWER_TOKEN_MS: f64 = 2.0;

impl Node {
    /// Digests of live peers.
    pub(super) fn live_peers(&self, now: Time) -> impl Iterator<Item = &peer::Digest> {
        let lifetime = self.policy.digest_lifetime;
        self.peers
            .values()
            .filter(move |peer| now.saturating_sub(peer.received_at) < lifetime)
            .map(|peer| &peer.digest)
    }

    /// Servers that can take `request` now.
    pub(super) fn usable_servers(
        &self,
        now: Time,
        request: attempt::Key,
    ) -> impl Iterator<Item = (membership::Key, &Server)> {
        let state = self.requests.get(&request);
        state.into_iter().flat_map(move |state| {
            self.membership
                .pool(&state.arrival.pool)
                .filter(move |(_, server)| is_eligible(now, state, server))
        })
    }

    /// The candidates for `request` with their costs, the best first. Servers that failed it
    /// before are left out while there are others.
    pub(super) fn score_candidates(
        &self,
        now: Time,
        request: attempt::Key,
        free_only: bool,
    ) -> Vec<Score> {
        let Some(state) = self.requests.get(&request) else {
            return Vec::new();
        };
        let usable: Vec<(membership::Key, &Server)> = self.usable_servers(now, request).collect();
        let untried: Vec<(membership::Key, &Server)> =
            usable.iter().copied().filter(|(key, _)| !state.failed_servers.contains(key)).collect();
        let mut servers = if untried.is_empty() { usable } else { untried };
        self.poison.avoid_other_suspects(
            state.arrival.fingerprint,
            self.running_requests(),
            &mut servers,
        );
        let depth = self.cached_depth(now, &state.arrival.prefix);
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|(key, server)| self.candidate(now, state, &depth, *key, server))
            .collect();
        let objective = match state.arrival.target {
            Target::Model { objective, .. } => objective,
            Target::Service { .. } => Objective::TimeToFirstToken,
        };
        let query = Query {
            prefix: &state.arrival.prefix,
            prompt_tokens: state.arrival.prompt_tokens,
            objective,
            max_copies: self.max_copies(now, state.arrival.prefix.level_key(0), candidates.len()),
            exportable_blocks: self.max_reachable_depth(&depth),
            free_only,
        };
        choose(query, &candidates)
    }

    /// Number of leading blocks that each server holds or, by peers' digests, will soon hold.
    pub(super) fn cached_depth(&self, now: Time, prefix: &Prefix) -> Depth {
        let mut depth = self.residency.depth(&prefix.blocks);
        let (Some(level), Some(end)) = (prefix.level_key(0), prefix.level_ends.first()) else {
            return depth;
        };
        let copies = self.live_peers(now).flat_map(|digest| &digest.copies);
        for copy in copies.filter(|copy| copy.level == level) {
            let Some(key) = self.membership.find(&copy.server) else { continue };
            let server = self.membership.get(key);
            if server.is_some_and(|s| s.incarnation.as_ref() == Some(&copy.incarnation)) {
                let blocks = depth.entry(key).or_insert(0);
                *blocks = (*blocks).max(*end);
            }
        }
        depth
    }

    /// Maximum number of leading blocks at a reachable engine, leaving ones included.
    fn max_reachable_depth(&self, depth: &Depth) -> usize {
        let is_reachable =
            |key: &membership::Key| self.membership.get(*key).is_some_and(Server::is_reachable);
        depth
            .iter()
            .filter(|(key, _)| is_reachable(key))
            .map(|(_, blocks)| *blocks)
            .max()
            .unwrap_or(0)
    }

    fn candidate(
        &self,
        now: Time,
        state: &Request,
        depth: &Depth,
        key: membership::Key,
        server: &Server,
    ) -> Candidate {
        let arrival = &state.arrival;
        let busy = self.total_load(now, key, &server.vm.id);
        let force = self.manifest_in_force();
        let limit = force
            .and_then(|force| force.manifest.pools.get(&arrival.pool))
            .map_or(1, |pool| pool.max_in_flight);
        let free = busy.requests < admission::max_slots(arrival.priority, limit);
        let token_ms = 1_000.0 / f64::from(server.load.prefill_tokens_per_s);
        let queued = server.load.queued_tokens.max(u64::from(busy.pending_tokens));
        let hold_ms = self.averages.get(&arrival.pool).copied().unwrap_or_default().hold_ms;
        let slot_ms = if free { 0.0 } else { hold_ms / f64::from(limit.max(1)) };
        let queue_ms = match server.vm.role {
            Role::ServiceServer => f64::from(busy.requests) * hold_ms / f64::from(limit.max(1)),
            _ => queued as f64 * token_ms,
        };
        Candidate {
            key,
            id_hash: xxh3_64(server.vm.id.as_bytes()),
            has_free_slot: free,
            wait_ms: queue_ms + slot_ms,
            token_ms,
            cached_blocks: depth.get(&key).copied().unwrap_or(0),
            import_ms: server.load.import_ms,
            same_zone: server.vm.zone == self.identity.zone,
        }
    }

    /// Work at a server from this daemon and, by their digests, from live peers.
    pub(super) fn total_load(&self, now: Time, key: membership::Key, id: &str) -> peer::Load {
        let mut sum = self.busy.get(&key).copied().unwrap_or_default();
        for digest in self.live_peers(now) {
            if let Some(busy) = digest.loads.get(id) {
                sum.requests = sum.requests.saturating_add(busy.requests);
                sum.pending_tokens = sum.pending_tokens.saturating_add(busy.pending_tokens);
            }
        }
        sum
    }

    /// Maximum number of servers that hold a copy of `level`, from its work over all daemons.
    fn max_copies(&self, now: Time, level: Option<Key>, servers: usize) -> usize {
        let Some(level) = level else { return servers };
        let peer_work_ms: f64 = self
            .live_peers(now)
            .flat_map(|digest| &digest.heat)
            .filter(|(key, _)| *key == level)
            .map(|(_, rate)| rate)
            .sum();
        let work_ms = self.heat.rate(now, level) + peer_work_ms;
        let copies = (work_ms / COPY_LOAD_MS_PER_S).ceil().max(1.0);
        (copies as usize).min(servers.max(1))
    }

    /// Records a dispatch: the slot, the prefill, the heat of the first level and the blocks that
    /// the server will hold.
    pub(super) fn record_dispatch(
        &mut self,
        now: Time,
        server: membership::Key,
        pending_tokens: u32,
        blocks: &[Key],
        level: Option<Key>,
    ) {
        let busy = self.busy.entry(server).or_default();
        busy.requests += 1;
        busy.pending_tokens = busy.pending_tokens.saturating_add(pending_tokens);
        for block in blocks {
            self.residency.insert(server, *block);
        }
        let Some(level) = level else { return };
        let level_blocks = blocks.iter().position(|block| *block == level).map_or(0, |end| end + 1);
        if level_blocks > 0 && pending_tokens as usize >= level_blocks * BLOCK_TOKENS as usize {
            self.copies.insert((level, server), now);
        }
        let prefill_tokens_per_s =
            self.membership.get(server).map_or(1, |s| s.load.prefill_tokens_per_s);
        let work_ms = f64::from(pending_tokens) * 1_000.0 / f64::from(prefill_tokens_per_s);
        self.heat.record(now, level, work_ms + ANSWER_TOKEN_MS);
    }

    /// Records that a server has computed a request's prompt.
    pub(super) fn record_prompt_computed(&mut self, server: membership::Key, pending_tokens: u32) {
        if let Some(busy) = self.busy.get_mut(&server) {
            busy.pending_tokens = busy.pending_tokens.saturating_sub(pending_tokens);
        }
    }

    /// Frees the slot of a dispatched request.
    pub(super) fn release_slot(&mut self, now: Time, state: &Request) {
        let Phase::Sent { server, at, pending_tokens, begun } = state.phase else {
            return;
        };
        if !begun {
            self.record_prompt_computed(server, pending_tokens);
        }
        if let Some(busy) = self.busy.get_mut(&server) {
            busy.requests = busy.requests.saturating_sub(1);
            if busy.requests == 0 {
                self.busy.remove(&server);
            }
        }
        let hold_ms = now.saturating_sub(at).as_secs_f64() * 1_000.0;
        let averages = self.averages.entry(state.arrival.pool.clone()).or_default();
        averages.hold_ms += (hold_ms - averages.hold_ms) * 0.05;
    }
}

fn is_eligible(now: Time, state: &Request, server: &Server) -> bool {
    let serves = match &state.arrival.target {
        Target::Model { model, weights, .. } => server.serves(model, weights),
        Target::Service { .. } => server.vm.role == Role::ServiceServer,
    };
    // What two versions of the software write does not fit together.
    let goes_on = !state.begun || server.software == state.software;
    serves && goes_on && server.is_usable(now)
}
