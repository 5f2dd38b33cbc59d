//! Which server a request goes to: the one at which its answer is predicted to begin first.

use std::net::SocketAddr;

use super::homes::{Homes, Role};
use super::load::Load;
use super::notice::LARGE;
use super::prompt::{PREFILL_TOKENS_PER_MS, held_tokens, own_ms, salt, shared_tokens};
use super::request::Request;
use super::residency::{Sources, Supply};
use super::{Key, Node, Place, Prompt, Server, Topic, server};
use crate::prelude::*;

/// Milliseconds of delay that a shared token is worth which a server lacks and another holds: a
/// transfer takes a fifth of it, and reading it again, where the transfer fails, costs more than a late
/// answer does.
const AGAIN_MS_PER_TOKEN: f64 = 0.05;
/// Silence of a server that says nothing: a large prompt takes so long, and peers tell late.
const USUAL_SILENCE: Duration = Duration::from_millis(350);
/// By how much silence beyond that counts more than waiting time: a server that has failed answers
/// never.
const SILENCE_WEIGHT: f64 = 2.0;
/// Milliseconds by which each running request delays the first token of the next: its share of the
/// steps that pass meanwhile.
const RUNNING_MS: f64 = 2.0;
/// Milliseconds that another availability zone costs: two crossings, and the price of the bytes.
const OTHER_ZONE_MS: f64 = 2.0;
/// Milliseconds of delay that a start on older weights is worth, once it costs a part of its value.
const OLD_WEIGHTS_MS: f64 = 120.0;
/// Time from the naming of weights until a start on older ones costs a part of its value.
const OLD_WEIGHTS_FREE: Duration = Duration::from_millis(1_300);
/// Time before the limit at which requests are no longer sent to older weights: an engine with a
/// queue begins them seconds later.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(2_500);
/// Time before the limit at which those are taken back that have not begun: the engine must notice.
const RECALL_MARGIN: Duration = Duration::from_millis(400);
/// Milliseconds that a plain server's running request is assumed to hold its slot.
pub(super) const PLAIN_MS: f64 = 40.0;
/// The part of a route's target that a request may wait at an engine for what was sent before it, what
/// the engine lacks of its prompt included. With more, a pool that is overloaded for seconds (engines
/// gone, weights loading) answers everything late, and reads everywhere what one engine holds; what
/// has not been sent goes to the engine that holds its parts once that is free, or is told to come
/// back.
const QUEUED_PART: f64 = 0.5;
/// The same for a prompt that is read in some 20 ms: to refuse it makes room for nobody, engines begin
/// such prompts sooner than predicted, and for each millisecond of an engine they are worth several
/// times as much as large ones.
const QUEUED_PART_SMALL: f64 = 1.0;
/// Milliseconds by which a server that was tried in vain is passed over for others.
const TRIED_MS: f64 = 10_000.0;

/// Where a request goes, and what it costs there.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Choice {
    pub(super) server: server::Key,
    /// Prompt tokens that the server must read for it.
    pub(super) tokens: u32,
    /// Shared tokens that it is believed to hold.
    pub(super) held: u32,
    /// Shared tokens that it fetches.
    pub(super) fetched: u32,
    pub(super) salt: Option<String>,
    pub(super) weights: Option<u64>,
    pub(super) fetch_from: Option<SocketAddr>,
    pub(super) save_to: Option<SocketAddr>,
    /// Whether it fetches from the KV store.
    pub(super) from_store: bool,
    /// Bytes that this moves over the KV store's link, each as often as it takes the link's time.
    pub(super) moved_bytes: f64,
    /// Whether the server is believed to hold what the prompt shares.
    pub(super) at_home: bool,
    /// Predicted milliseconds to its first token.
    pub(super) cost_ms: f64,
}

/// What a request wants of any engine.
struct Wish<'a> {
    request: &'a Request,
    prompt: &'a Prompt,
    /// Its workspace, where that shares with no other.
    isolated: Option<&'a str>,
    homes: Homes,
    /// Most milliseconds that it may wait at an engine.
    most_ms: f64,
    /// Whether it waits for a home rather than being read elsewhere.
    waits: bool,
}

impl Wish<'_> {
    /// Milliseconds that the shared tokens cost which are read, or may have to be. Somebody has to read
    /// what nobody holds: a home, unless it was waited for in vain.
    fn again_ms(&self, role: Role, supply: &Supply) -> f64 {
        let tokens = f64::from(supply.read + supply.unsure);
        match role {
            Role::Other if self.waits => tokens * AGAIN_MS_PER_TOKEN,
            Role::Home | Role::StandIn | Role::Other => tokens / PREFILL_TOKENS_PER_MS,
        }
    }
}

impl Node {
    /// The server for a request; `None` while none has room.
    pub(super) fn place(&self, now: Time, key: Key) -> Option<Choice> {
        let request = self.requests.get(&key)?;
        let keys = self.pools.get(&request.pool)?;
        if self.waits_for_running_copy(request) {
            return None;
        }
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let mut usable: Vec<(server::Key, &Server)> =
            servers.filter(|(key, server)| self.has_room(now, *key, server)).collect();
        self.poison.keep_apart(request.arrival.fingerprint, self.running_requests(), &mut usable);
        match &request.arrival.prompt {
            None => self.place_plain(now, request, &usable),
            Some(prompt) => self.place_prompt(now, request, prompt, &usable),
        }
    }

    fn zone_ms(&self, server: &Server) -> f64 {
        if server.entry.zone == self.identity.zone { 0.0 } else { OTHER_ZONE_MS }
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
            let tried = if request.tried.contains(&key) { TRIED_MS } else { 0.0 };
            running * PLAIN_MS / slots + self.zone_ms(server) + silence_ms(now, load) + tried
        };
        let scored = usable.iter().map(|(key, server)| (cost(*key, server), *key));
        let (cost_ms, server) = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(Choice {
            server,
            tokens: 0,
            held: 0,
            fetched: 0,
            salt: None,
            weights: None,
            fetch_from: None,
            save_to: None,
            from_store: false,
            moved_bytes: 0.0,
            at_home: false,
            cost_ms,
        })
    }

    fn place_prompt(
        &self,
        now: Time,
        request: &Request,
        prompt: &Prompt,
        usable: &[(server::Key, &Server)],
    ) -> Option<Choice> {
        let wish = self.wish(now, request, prompt, usable);
        let mut by_version: BTreeMap<u64, (String, Sources)> = BTreeMap::new();
        let mut best: Option<(Choice, Supply)> = None;
        for (key, server) in usable {
            let Some(version) = server.weights_version(&prompt.model) else { continue };
            let (salt, sources) = by_version.entry(version).or_insert_with(|| {
                let salt = salt(version, wish.isolated);
                let sources = self.sources(now, prompt, version, &salt, &wish.homes, &request.pool);
                (salt, sources)
            });
            let found = self.offer(now, &wish, *key, server, salt, sources);
            let cost = |found: &Option<(Choice, Supply)>| {
                found.as_ref().map_or(f64::INFINITY, |(choice, _)| choice.cost_ms)
            };
            if cost(&found) < cost(&best) {
                best = found;
            }
        }
        best.map(|(choice, supply)| self.with_store(now, request, prompt, choice, supply))
    }

    /// What a request wants of any engine.
    fn wish<'a>(
        &self,
        now: Time,
        request: &'a Request,
        prompt: &'a Prompt,
        usable: &[(server::Key, &Server)],
    ) -> Wish<'a> {
        let isolated = request.arrival.workspace.as_ref().filter(|owner| owner.isolated);
        let isolated = isolated.map(|owner| owner.name.as_str());
        let homes = self.homes(now, isolated.unwrap_or_default(), &request.pool, prompt);
        let part = if prompt.input < LARGE { QUEUED_PART_SMALL } else { QUEUED_PART };
        let most_ms = request.arrival.route.target.as_secs_f64() * 1_000.0 * part;
        // What a home will soon have room for waits for it; where no home has a place, or it has waited
        // for one in vain, another engine that is idle reads the parts in time.
        let has_home = usable.iter().any(|(key, server)| {
            let version = server.weights_version(&prompt.model);
            let begins = |version| self.old_weights_ms(now, &prompt.model, version).is_some();
            homes.role(*key) == Role::Home && version.is_some_and(begins)
        });
        let waits = has_home && !self.has_waited_for_home(now, request);
        Wish { request, prompt, isolated, homes, most_ms, waits }
    }

    /// What an engine costs a request, and how it gets the parts that it lacks; `None` where it could not
    /// begin in time.
    fn offer(
        &self,
        now: Time,
        wish: &Wish<'_>,
        key: server::Key,
        server: &Server,
        salt: &str,
        sources: &Sources,
    ) -> Option<(Choice, Supply)> {
        let prompt = wish.prompt;
        let version = server.weights_version(&prompt.model)?;
        let old_ms = self.old_weights_ms(now, &prompt.model, version)?;
        let role = wish.homes.role(key);
        let load = self.load(key, server);
        let wait_ms = f64::from(load.pending_tokens) / PREFILL_TOKENS_PER_MS
            + f64::from(load.running) * RUNNING_MS
            + silence_ms(now, load);
        let shared = shared_tokens(prompt);
        let held = match role {
            Role::Home if !server.residency.is_current(now) => shared,
            Role::Home | Role::StandIn | Role::Other => {
                held_tokens(prompt, salt, |part, tokens| server.residency.tokens(now, part, tokens))
            }
        };
        let supply = sources.supply(key, &server.entry.zone, held, shared);
        let again_ms = wish.again_ms(role, &supply);
        // A home reads what it has lost, however long that takes.
        let bound_ms = if role == Role::Home { 0.0 } else { again_ms };
        if wait_ms + supply.fetch_ms + bound_ms > wish.most_ms {
            return None;
        }
        let tried = if wish.request.tried.contains(&key) { TRIED_MS } else { 0.0 };
        let cost_ms = wait_ms
            + own_ms(prompt)
            + supply.fetch_ms
            + supply.copy_ms
            + again_ms
            + self.zone_ms(server)
            + old_ms
            + tried;
        let spare = || sources.spare(key, &server.entry.zone, supply.read);
        let source = supply.source.clone().or_else(spare);
        let own = prompt.input.saturating_sub(shared);
        let choice = Choice {
            server: key,
            tokens: own.saturating_add(supply.read),
            held,
            fetched: supply.fetched,
            salt: Some(salt.to_owned()),
            weights: Some(version),
            fetch_from: source.map(|source| source.address),
            from_store: supply.source.as_ref().is_some_and(|s| s.place == Place::Store),
            save_to: None,
            moved_bytes: 0.0,
            at_home: role == Role::Home,
            cost_ms,
        };
        Some((choice, supply))
    }

    /// Adds what a choice moves over the KV store's link.
    fn with_store(
        &self,
        now: Time,
        request: &Request,
        prompt: &Prompt,
        mut choice: Choice,
        supply: Supply,
    ) -> Choice {
        let salt = choice.salt.as_deref().unwrap_or_default();
        let zones = self.store_zones(choice.server);
        if choice.from_store {
            let bytes = f64::from(supply.fetched) * self.token_bytes(&request.pool);
            choice.moved_bytes = bytes * zones;
        } else if let Some((address, bytes)) = self.save_to(now, prompt, salt, &request.pool, zones)
        {
            (choice.save_to, choice.moved_bytes) = (Some(address), bytes);
        }
        choice
    }

    fn token_bytes(&self, pool: &str) -> f64 {
        let engine = self.table.as_ref().and_then(|table| table.engine(pool));
        engine.map_or(0.0, |engine| engine.token_bytes as f64)
    }

    /// Adds what has become free of the KV store's link.
    pub(super) fn refill_link(&mut self, now: Time) {
        let store = self.table.as_ref().and_then(|table| table.kv_store());
        self.kv_link.refill(now, store.map_or(0, |store| store.link));
    }

    /// What a start on this version costs; `None` where it may no longer be used, or nobody told yet which
    /// were named: a configuration may come before the topic that it is part of.
    fn old_weights_ms(&self, now: Time, model: &str, version: u64) -> Option<f64> {
        if !self.known_topics.contains(&Topic::Operator) {
            return None;
        }
        let Some(age) = self.overtaken_for(now, model, version) else {
            return Some(0.0);
        };
        if age.saturating_add(OLD_WEIGHTS_MARGIN) >= self.policy.weights_limit {
            return None;
        }
        Some(if age >= OLD_WEIGHTS_FREE { OLD_WEIGHTS_MS } else { 0.0 })
    }

    /// Whether a request may begin on these weights.
    pub(super) fn may_begin(&self, now: Time, model: &str, version: u64) -> bool {
        self.old_weights_ms(now, model, version).is_some()
    }

    /// Whether a request that was sent to these weights and has not begun must not begin any more.
    pub(super) fn is_too_late(&self, now: Time, model: &str, version: u64) -> bool {
        self.is_past_limit_in(now, RECALL_MARGIN, model, version)
    }

    /// The same for one that a scheduler placed, which takes it back by itself while it is there.
    pub(super) fn is_left_too_late(&self, now: Time, model: &str, version: u64) -> bool {
        self.is_past_limit_in(now, RECALL_MARGIN / 2, model, version)
    }

    fn is_past_limit_in(&self, now: Time, margin: Duration, model: &str, version: u64) -> bool {
        let age = self.overtaken_for(now, model, version);
        age.is_some_and(|age| age.saturating_add(margin) >= self.policy.weights_limit)
    }
}

/// What the silence of a server adds to the time that is expected there.
fn silence_ms(now: Time, load: Load) -> f64 {
    let silence = load.silence(now).saturating_sub(USUAL_SILENCE);
    silence.as_secs_f64() * 1_000.0 * SILENCE_WEIGHT
}
