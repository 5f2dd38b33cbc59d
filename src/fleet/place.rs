//! Chooses the server for a request: the one with the lowest predicted time to the first token.

use std::net::SocketAddr;

use super::homes::{Homes, Role};
use super::load::Load;
use super::notice::LARGE_TOKENS;
use super::pool::Cell;
use super::prompt::{PREFILL_TOKENS_PER_MS, held_tokens, shared_tokens};
use super::request::Request;
use super::residency::{FetchPlan, Source, Sources};
use super::{Key, Node, Prompt, Server, Topic, server};
use crate::prelude::*;

/// Cost of a shared token that the server lacks and another holds. A transfer costs a fifth of it;
/// if the transfer fails, reading the token again costs more than a late answer.
const REREAD_PENALTY_MS_PER_TOKEN: f64 = 0.05;
/// Silence of a server that is normal: a large prompt takes this long, and peers report with a
/// delay.
const NORMAL_SILENCE: Duration = Duration::from_millis(350);
/// Weight of silence beyond that relative to waiting time: a failed server never answers.
const SILENCE_WEIGHT: f64 = 2.0;
/// Cost of a server in another availability zone: two crossings, and the price of the bytes.
const CROSS_ZONE_PENALTY_MS: f64 = 2.0;
/// Cost of a start on superseded weights after [`OLD_WEIGHTS_GRACE`].
const OLD_WEIGHTS_PENALTY_MS: f64 = 120.0;
/// Time after new weights are named in which a start on older ones keeps its full value.
const OLD_WEIGHTS_GRACE: Duration = Duration::from_millis(1_300);
/// Time before the weights limit at which requests are no longer sent to older weights: an engine
/// with a queue starts them seconds later.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(2_500);
/// Time before the weights limit at which requests that have not begun are recalled: the engine
/// must still receive the recall.
const RECALL_MARGIN: Duration = Duration::from_millis(400);
/// Maximum wait at an engine, as a ratio of the route's target. It covers the requests sent before
/// and the part of the prompt that the engine lacks. With more, a pool that is overloaded for
/// seconds (engines gone, weights loading) answers every request late and reads everywhere what one
/// engine holds. A request that is not sent goes to the engine that holds its parts once that is
/// free, or is refused with a retry-after time.
const MAX_ENGINE_WAIT_RATIO: f64 = 0.5;
/// The same for a prompt that is read in some 20 ms. Refusing it frees no capacity, engines begin
/// such prompts sooner than predicted, and per millisecond of an engine they are worth several
/// times as much as large ones.
const MAX_ENGINE_WAIT_RATIO_SMALL: f64 = 1.0;
/// Penalty of a server that this request was already sent to without success.
const TRIED_PENALTY_MS: f64 = 10_000.0;

/// The chosen server for a request, and the predicted cost.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Choice {
    pub(super) server: server::Key,
    /// Prompt tokens that the server must compute.
    pub(super) read_tokens: u32,
    /// Shared tokens that the server is believed to hold.
    pub(super) held_tokens: u32,
    /// Shared tokens that the server fetches.
    pub(super) fetched_tokens: u32,
    pub(super) salt: Option<String>,
    pub(super) weights: Option<u64>,
    pub(super) fetch_from: Option<SocketAddr>,
    pub(super) save_to: Option<SocketAddr>,
    /// The KV store that this fetches from or saves to.
    pub(super) store: Option<SocketAddr>,
    /// Whether the server fetches from the KV store.
    pub(super) from_store: bool,
    /// Bytes that this moves over the KV store's link, each counted as often as it takes up the
    /// link.
    pub(super) moved_bytes: f64,
    /// Whether the server is a home of the shared parts.
    pub(super) is_home: bool,
    /// Predicted milliseconds to the first token, with penalties.
    pub(super) cost_ms: f64,
}

/// Requirements of a request that are the same for every engine.
struct Requirement<'a> {
    request: &'a Request,
    prompt: &'a Prompt,
    homes: Homes,
    /// Maximum milliseconds that it may wait at an engine.
    max_wait_ms: f64,
    /// Whether it waits for a home instead of being read on another engine.
    waits_for_home: bool,
}

impl Requirement<'_> {
    /// Cost of the shared tokens that must be read, or may have to be. Tokens that no server holds
    /// must be read somewhere: by a home, unless the request has already waited for one in vain.
    fn reread_ms(&self, role: Role, supply: &FetchPlan, slowness: f64) -> f64 {
        let tokens = f64::from(supply.prefill_tokens + supply.unconfirmed_tokens);
        match role {
            Role::Other if self.waits_for_home => tokens * REREAD_PENALTY_MS_PER_TOKEN,
            Role::Home | Role::Fallback | Role::Other => tokens / PREFILL_TOKENS_PER_MS * slowness,
        }
    }
}

impl Node {
    /// Chooses a server for a request; `None` while none has room. Two other cells are
    /// considered if its own has no room, or if the request has waited long for a home.
    pub(super) fn place(&self, now: Time, key: Key) -> Option<Choice> {
        let request = self.requests.get(&key)?;
        let pool = self.pools.get(&request.pool)?;
        if self.waits_for_running_copy(now, request) {
            return None;
        }
        for cell in pool.cells_of(request) {
            let servers = cell.keys().filter_map(|key| Some((key, self.servers.get(key)?)));
            let usable: Vec<(server::Key, &Server)> = servers
                .filter(|(key, server)| self.may_place(now, request, *key, server))
                .collect();
            let has_room = !usable.is_empty();
            let choice = self.place_in_cell(now, request, cell, usable);
            if choice.is_some() || has_room && !self.has_waited_for_home(now, request) {
                return choice;
            }
        }
        None
    }

    fn may_place(&self, now: Time, request: &Request, key: server::Key, server: &Server) -> bool {
        let goes_on = request.software.is_none_or(|software| software == server.software);
        goes_on
            && !self.is_held_back(now, request, server)
            && self.has_room_for(now, request, key, server)
            && !self.avoids(now, request, key)
            && !self.rests_from(now, request, server)
    }

    /// Chooses one of the usable servers of a cell.
    fn place_in_cell(
        &self,
        now: Time,
        request: &Request,
        cell: Cell<'_>,
        mut usable: Vec<(server::Key, &Server)>,
    ) -> Option<Choice> {
        let fingerprint = request.arrival.fingerprint;
        self.retain_for_isolation(now, request, &mut usable);
        self.poison.avoid_other_suspects(fingerprint, self.running_requests(), &mut usable);
        match &request.arrival.prompt {
            None => self.place_plain(now, request, &usable),
            Some(prompt) => self.place_prompt(now, request, prompt, cell, &usable),
        }
    }

    fn zone_ms(&self, server: &Server) -> f64 {
        if server.entry.zone == self.identity.zone { 0.0 } else { CROSS_ZONE_PENALTY_MS }
    }

    fn place_plain(
        &self,
        now: Time,
        request: &Request,
        usable: &[(server::Key, &Server)],
    ) -> Option<Choice> {
        let cost = |key: server::Key, server: &Server| {
            let load = self.load(key, server);
            let running = f64::from(load.running);
            let slots = f64::from(server.entry.slots.max(1));
            let tried_ms = if request.tried.contains(&key) { TRIED_PENALTY_MS } else { 0.0 };
            running * self.plain_ms(now, server) / slots
                + self.zone_ms(server)
                + silence_penalty_ms(now, load)
                + tried_ms
        };
        let scored = usable.iter().map(|(key, server)| (cost(*key, server), *key));
        let (cost_ms, server) = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(Choice {
            server,
            read_tokens: 0,
            held_tokens: 0,
            fetched_tokens: 0,
            salt: None,
            weights: None,
            fetch_from: None,
            save_to: None,
            store: None,
            from_store: false,
            moved_bytes: 0.0,
            is_home: false,
            cost_ms,
        })
    }

    fn place_prompt(
        &self,
        now: Time,
        request: &Request,
        prompt: &Prompt,
        cell: Cell<'_>,
        usable: &[(server::Key, &Server)],
    ) -> Option<Choice> {
        let requirement = self.requirement(now, request, prompt, cell, usable);
        let mut by_version: BTreeMap<u64, (String, Sources)> = BTreeMap::new();
        let mut best: Option<(Choice, FetchPlan)> = None;
        for (key, server) in usable {
            let Some(version) = server.weights_version(&prompt.model) else { continue };
            let (salt, sources) = by_version.entry(version).or_insert_with(|| {
                let salt = self.salt_of(&request.arrival, version);
                let sources = self.sources(
                    now,
                    prompt,
                    version,
                    &salt,
                    &requirement.homes,
                    (&request.pool, cell),
                );
                (salt, sources)
            });
            let candidate = self.evaluate(now, &requirement, *key, server, salt, sources);
            let cost = |candidate: &Option<(Choice, FetchPlan)>| {
                candidate.as_ref().map_or(f64::INFINITY, |(choice, _)| choice.cost_ms)
            };
            if cost(&candidate) < cost(&best) {
                best = candidate;
            }
        }
        best.map(|(choice, supply)| self.with_store_transfer(now, request, prompt, choice, supply))
    }

    /// Collects the requirements of a request.
    fn requirement<'a>(
        &self,
        now: Time,
        request: &'a Request,
        prompt: &'a Prompt,
        cell: Cell<'_>,
        usable: &[(server::Key, &Server)],
    ) -> Requirement<'a> {
        let owner = self.isolated_owner(&request.arrival).unwrap_or_default();
        let homes = self.homes(now, owner, cell, prompt);
        let ratio = if prompt.input < LARGE_TOKENS {
            MAX_ENGINE_WAIT_RATIO_SMALL
        } else {
            MAX_ENGINE_WAIT_RATIO
        };
        let max_wait_ms = request.arrival.route.target_latency.as_secs_f64() * 1_000.0 * ratio;
        let max_wait_ms = max_wait_ms.min(self.max_engine_wait_ms(now, request));
        // A request waits for a home that will soon have room. If no home is usable, or it has
        // waited for one in vain, another idle engine reads the parts in time.
        let has_home = usable.iter().any(|(key, server)| {
            let version = server.weights_version(&prompt.model);
            let begins =
                |version| self.old_weights_penalty_ms(now, &prompt.model, version).is_some();
            homes.role(*key) == Role::Home && version.is_some_and(begins)
        });
        let waits_for_home = has_home && !self.has_waited_for_home(now, request);
        Requirement { request, prompt, homes, max_wait_ms, waits_for_home }
    }

    /// Predicts the cost of a request on an engine and the source of the parts that the engine
    /// lacks; `None` if the engine could not begin in time.
    fn evaluate(
        &self,
        now: Time,
        requirement: &Requirement<'_>,
        key: server::Key,
        server: &Server,
        salt: &str,
        sources: &Sources,
    ) -> Option<(Choice, FetchPlan)> {
        let prompt = requirement.prompt;
        let version = server.weights_version(&prompt.model)?;
        let old_ms = self.old_weights_penalty_ms(now, &prompt.model, version)?;
        let role = requirement.homes.role(key);
        let load = self.load(key, server);
        let wait_ms = self.engine_wait_ms(now, server, load) + silence_penalty_ms(now, load);
        let shared = shared_tokens(prompt);
        let held = match role {
            Role::Home if !server.residency.is_current(now) => shared,
            Role::Home | Role::Fallback | Role::Other => {
                held_tokens(prompt, salt, |part, tokens| {
                    server.residency.expected_tokens(now, part, tokens)
                })
            }
        };
        let slowness = self.slowness(now, server);
        let supply = sources.plan_fetch(key, &server.entry.zone, (held, shared), slowness);
        let reread_ms = requirement.reread_ms(role, &supply, slowness);
        // A home reads what it has lost, however long that takes.
        let bound_ms = if role == Role::Home { 0.0 } else { reread_ms };
        if wait_ms + supply.fetch_ms + bound_ms > requirement.max_wait_ms {
            return None;
        }
        let tried_ms =
            if requirement.request.tried.contains(&key) { TRIED_PENALTY_MS } else { 0.0 };
        let cost_ms = wait_ms
            + self.read_ms(now, server, prompt.input.saturating_sub(shared))
            + supply.fetch_ms
            + supply.eviction_cost_ms
            + reread_ms
            + self.zone_ms(server)
            + old_ms
            + tried_ms;
        let spare = || sources.fallback_source(key, &server.entry.zone, supply.prefill_tokens);
        let source = supply.source.clone().or_else(spare);
        let unshared = prompt.input.saturating_sub(shared);
        let choice = Choice {
            server: key,
            read_tokens: unshared.saturating_add(supply.prefill_tokens),
            held_tokens: held,
            fetched_tokens: supply.fetched_tokens,
            salt: Some(salt.to_owned()),
            weights: Some(version),
            fetch_from: source.map(|source| source.address),
            store: None,
            from_store: supply.source.as_ref().is_some_and(Source::is_store),
            save_to: None,
            moved_bytes: 0.0,
            is_home: role == Role::Home,
            cost_ms,
        };
        Some((choice, supply))
    }

    /// Adds the transfer over the KV store's link to a choice.
    fn with_store_transfer(
        &self,
        now: Time,
        request: &Request,
        prompt: &Prompt,
        mut choice: Choice,
        supply: FetchPlan,
    ) -> Choice {
        let salt = choice.salt.as_deref().unwrap_or_default();
        let Some(store) = self.store_of(prompt, salt) else { return choice };
        let zones = self.store_zone_factor(store, choice.server);
        if choice.from_store {
            let bytes = f64::from(supply.fetched_tokens) * self.token_bytes(&request.pool);
            (choice.store, choice.moved_bytes) = (Some(store.address), bytes * zones);
        } else if let Some(bytes) = self.saved_bytes(now, store, prompt, salt, &request.pool, zones)
        {
            (choice.store, choice.moved_bytes) = (Some(store.address), bytes);
            choice.save_to = choice.store;
        }
        choice
    }

    fn token_bytes(&self, pool: &str) -> f64 {
        let engine = self.table.as_ref().and_then(|table| table.engine(pool));
        engine.map_or(0.0, |engine| engine.kv_token_bytes as f64)
    }

    /// Cost of a start on this version; `None` if it may no longer be used, or if this daemon has
    /// not yet read the operators' topic: a configuration may come before the topic that it is part
    /// of.
    fn old_weights_penalty_ms(&self, now: Time, model: &str, version: u64) -> Option<f64> {
        if !self.known_topics.contains(&Topic::Operator) {
            return None;
        }
        let Some(age) = self.superseded_for(now, model, version) else {
            return Some(0.0);
        };
        if age.saturating_add(OLD_WEIGHTS_MARGIN) >= self.policy.weights_limit {
            return None;
        }
        Some(if age >= OLD_WEIGHTS_GRACE { OLD_WEIGHTS_PENALTY_MS } else { 0.0 })
    }

    /// Whether a request may begin on this version of the weights.
    pub(super) fn is_version_allowed(&self, now: Time, model: &str, version: u64) -> bool {
        self.old_weights_penalty_ms(now, model, version).is_some()
    }

    /// Whether a request that was sent to this version and has not begun must be recalled.
    pub(super) fn needs_recall(&self, now: Time, model: &str, version: u64) -> bool {
        self.reaches_limit_within(now, RECALL_MARGIN, model, version)
    }

    /// Whether the daemon of the request must take it over from a scheduler that has not recalled
    /// it. The margin is shorter because a live scheduler recalls the request itself.
    pub(super) fn needs_takeover(&self, now: Time, model: &str, version: u64) -> bool {
        self.reaches_limit_within(now, RECALL_MARGIN / 2, model, version)
    }

    fn reaches_limit_within(&self, now: Time, margin: Duration, model: &str, version: u64) -> bool {
        let age = self.superseded_for(now, model, version);
        age.is_some_and(|age| age.saturating_add(margin) >= self.policy.weights_limit)
    }
}

/// Penalty for the silence of a server.
fn silence_penalty_ms(now: Time, load: Load) -> f64 {
    let silence = load.silence(now).saturating_sub(NORMAL_SILENCE);
    silence.as_secs_f64() * 1_000.0 * SILENCE_WEIGHT
}
