//! Which server a request goes to: the one at which its answer is predicted to begin first.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::prompt::{keyed, salt, shared, shared_tokens};
use super::requests::Request;
use super::{Busy, Key, Node, Prompt, Server, server};
use crate::prefix;
use crate::prelude::*;
use crate::route::Kind;

/// Prompt tokens that an engine reads in a millisecond, as its maker states; the platform's sheet
/// gives 51.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Milliseconds of delay that a shared token is worth which a server lacks: a transfer takes 0.01, and
/// reading it again, where the transfer fails, costs more than a late answer does. Measured: 0.01,
/// 0.03 and 0.06 were tried.
const MISS_MS_PER_TOKEN: f64 = 0.05;
/// Milliseconds of an engine that a token of an answer takes, where some dozen are made together.
const ANSWER_TOKEN_MS: f64 = 0.5;
/// Milliseconds of work a second that one copy of a part is to carry.
const COPY_CARRIES_MS: f64 = 200.0;
/// Silence of a server that says nothing: a large prompt takes so long, and peers tell late.
const USUAL_SILENCE: Duration = Duration::from_millis(350);
/// By how much silence beyond that counts more than waiting time: a server that has failed answers
/// never.
const SILENCE_WEIGHT: f64 = 2.0;
/// The part of a fetch that is moved: the server holds some of it already.
const FETCHED_PART: f64 = 0.5;
/// Shared tokens below which nothing is moved: to set a transfer up takes as long as to read them.
const WORTH_MOVING: u32 = 1_000;
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
const PLAIN_MS: f64 = 40.0;
/// The part of a route's target that a request may wait at an engine for what was sent before it, what
/// the engine lacks of its prompt included. With more, a pool that is overloaded for seconds (engines
/// gone, weights loading) answers everything late, and reads everywhere what one engine holds; what
/// has not been sent goes to the engine that holds its parts once that is free, or is told to come
/// back. Measured: 0.5, 0.7, 1.0 and 1.6 were tried.
const QUEUED_PART: f64 = 0.5;
/// Milliseconds by which a server that was tried in vain is passed over for others.
const TRIED_MS: f64 = 10_000.0;

/// Work at a server, from peers or from all daemons.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) pending_tokens: u32,
    pub(super) ordered: bool,
    heard_at: Option<Time>,
    unanswered_since: Option<Time>,
    /// When the oldest of the peers' words that count came.
    told_at: Option<Time>,
}

impl Load {
    /// When the oldest of the peers' words that count came; `None` where no peer has work there.
    pub(super) fn told_at(&self) -> Option<Time> {
        self.told_at
    }

    /// Adds what a peer told at time `told`.
    pub(super) fn add(&mut self, told: Time, busy: &Busy) {
        let before = |ms: Option<u32>| {
            ms.map(|ms| told.saturating_sub(Duration::from_millis(u64::from(ms))))
        };
        self.running += busy.running;
        self.pending_tokens = self.pending_tokens.saturating_add(busy.pending_tokens);
        self.ordered |= busy.ordered;
        self.told_at = earlier(self.told_at, Some(told));
        self.heard_at = self.heard_at.max(before(busy.heard_ms));
        self.unanswered_since = earlier(self.unanswered_since, before(busy.unanswered_ms));
    }

    /// For how long the server has answered no daemon though some wait for it.
    pub(super) fn silence(&self, now: Time) -> Duration {
        let Some(since) = self.unanswered_since else { return Duration::ZERO };
        now.saturating_sub(self.heard_at.map_or(since, |heard| heard.max(since)))
    }
}

fn earlier(a: Option<Time>, b: Option<Time>) -> Option<Time> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Where a request goes, and what it costs there.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Choice {
    pub(super) server: server::Key,
    /// Prompt tokens that the server must read for it.
    pub(super) tokens: u32,
    pub(super) salt: Option<String>,
    pub(super) weights: Option<u64>,
    pub(super) fetch_from: Option<SocketAddr>,
    pub(super) save_to: Option<SocketAddr>,
    /// Bytes that this moves over the KV store's link.
    pub(super) moved_bytes: f64,
    /// Whether the server is believed to hold what the prompt shares.
    pub(super) at_home: bool,
    /// Predicted milliseconds to its first token.
    pub(super) cost_ms: f64,
}

impl Node {
    /// The server for a request; `None` while none has room.
    pub(super) fn place(&self, now: Time, key: Key) -> Option<Choice> {
        let request = self.requests.get(&key)?;
        let keys = self.pools.get(&request.pool)?;
        let servers = keys.iter().filter_map(|key| Some((*key, self.servers.get(*key)?)));
        let usable: Vec<(server::Key, &Server)> =
            servers.filter(|(key, server)| self.has_room(now, *key, server)).collect();
        match &request.arrival.prompt {
            None => self.place_plain(now, request, &usable),
            Some(prompt) => self.place_prompt(now, request, prompt, &usable),
        }
    }

    /// The work of all daemons at a server.
    pub(super) fn load(&self, key: server::Key, server: &Server) -> Load {
        let others = self.others.get(&key).copied().unwrap_or_default();
        Load {
            running: others.running + server.running,
            pending_tokens: others.pending_tokens.saturating_add(server.pending_tokens),
            ordered: others.ordered,
            heard_at: others.heard_at.max(server.heard_at),
            unanswered_since: earlier(others.unanswered_since, server.unanswered_since),
            told_at: others.told_at,
        }
    }

    fn has_room(&self, now: Time, key: server::Key, server: &Server) -> bool {
        let load = self.load(key, server);
        server.is_usable(now) && !load.ordered && load.running < self.slots(server)
    }

    fn slots(&self, server: &Server) -> u32 {
        let pool = self.table.as_ref().and_then(|table| table.pool(&server.entry.pool));
        match pool.map(|pool| pool.kind) {
            Some(Kind::Engine(engine)) => engine.slots,
            _ => server.entry.slots,
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
            salt: None,
            weights: None,
            fetch_from: None,
            save_to: None,
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
        let isolated = request.arrival.workspace.as_ref().filter(|owner| owner.isolated);
        let fitting = usable.iter().filter_map(|(key, server)| {
            let version = server.version(&prompt.model)?;
            let old_ms = self.old_weights_ms(now, &prompt.model, version)?;
            Some((*key, *server, version, old_ms))
        });
        let fitting: Vec<(server::Key, &Server, u64, f64)> = fitting.collect();
        let owner = isolated.map_or("", |owner| owner.name.as_str());
        let candidates = fitting.iter().map(|(key, server, ..)| (*key, *server));
        let homes = self.homes(now, owner, prompt, candidates.collect());
        let most_ms = request.arrival.route.target.as_secs_f64() * 1_000.0 * QUEUED_PART;
        let scored = fitting.iter().filter_map(|(key, server, version, old_ms)| {
            let load = self.load(*key, server);
            let wait_ms = f64::from(load.pending_tokens) / PREFILL_TOKENS_PER_MS
                + f64::from(load.running) * RUNNING_MS
                + silence_ms(now, load);
            let salt = salt(*version, isolated.map(|owner| owner.name.as_str()));
            let held = match homes.contains(key) {
                true => shared_tokens(prompt),
                false => held_tokens(now, prompt, server, &salt),
            };
            let missing = shared_tokens(prompt) - held;
            let miss_ms = f64::from(missing) * MISS_MS_PER_TOKEN;
            if wait_ms + miss_ms > most_ms {
                return None;
            }
            let own = prompt.input.saturating_sub(shared_tokens(prompt));
            let tried = if request.tried.contains(key) { TRIED_MS } else { 0.0 };
            let cost_ms = wait_ms
                + f64::from(own) / PREFILL_TOKENS_PER_MS
                + miss_ms
                + self.zone_ms(server)
                + old_ms
                + tried;
            Some((cost_ms, *key, own.saturating_add(missing), *version))
        });
        let (cost_ms, server, tokens, version) = scored.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let salt = salt(version, isolated.map(|owner| owner.name.as_str()));
        let home = homes.first().filter(|_| !homes.contains(&server));
        let home = home.and_then(|home| self.servers.get(*home));
        let home = home.filter(|home| home.version(&prompt.model) == Some(version));
        let token_bytes = self.token_bytes(&request.pool);
        let home = home.map(|home| home.entry.address);
        let (fetch_from, save_to, moved_bytes) =
            self.kv_moves(now, prompt, &salt, home, token_bytes);
        Some(Choice {
            server,
            tokens,
            salt: Some(salt),
            weights: Some(version),
            fetch_from,
            save_to,
            moved_bytes,
            at_home: homes.contains(&server),
            cost_ms,
        })
    }

    /// Where the shared parts of a prompt are fetched from and sent to, and the bytes that this moves
    /// over the KV store's link: the store where it keeps them and its link has room, else the
    /// server that is their home.
    fn kv_moves(
        &self,
        now: Time,
        prompt: &Prompt,
        salt: &str,
        home: Option<SocketAddr>,
        token_bytes: f64,
    ) -> (Option<SocketAddr>, Option<SocketAddr>, f64) {
        let parts = shared(&prompt.parts);
        if shared_tokens(prompt) < WORTH_MOVING {
            return (None, None, 0.0);
        }
        let store = self.table.as_ref().and_then(|table| table.kv_store());
        let store = store.filter(|_| self.kept.is_up()).map(|store| store.address);
        let fetched = f64::from(shared_tokens(prompt)) * token_bytes * FETCHED_PART;
        let kept = parts.iter().all(|part| self.kept.has(salt, part.id));
        if kept {
            let room = store.filter(|_| self.link.has(fetched));
            return (room.or(home), None, if room.is_some() { fetched } else { 0.0 });
        }
        let sent = f64::from(prompt.input) * token_bytes;
        let on_its_way = parts.iter().all(|part| self.kept.will_have(now, salt, part.id));
        let save_to = store.filter(|_| !on_its_way && self.link.has(sent));
        (home.or(store), save_to, if save_to.is_some() { sent } else { 0.0 })
    }

    fn token_bytes(&self, pool: &str) -> f64 {
        let engine = self.table.as_ref().and_then(|table| table.engine(pool));
        engine.map_or(0.0, |engine| engine.token_bytes as f64)
    }

    /// Adds what has become free of the KV store's link.
    pub(super) fn refill_link(&mut self, now: Time) {
        let store = self.table.as_ref().and_then(|table| table.kv_store());
        let daemons = self.daemons();
        self.link.refill(now, store.map_or(0, |store| store.link), daemons);
    }

    /// The servers that hold the shared parts of a prompt by every daemon's reckoning. Each part
    /// narrows the choice that the parts before it left: to the highest in a rendezvous hash, as
    /// many as the part's work needs. So daemons agree without asking, and servers keep few of
    /// the parts that many prompts begin with.
    fn homes(
        &self,
        now: Time,
        owner: &str,
        prompt: &Prompt,
        mut servers: Vec<(server::Key, &Server)>,
    ) -> Vec<server::Key> {
        for part in shared(&prompt.parts) {
            let part = keyed(owner, part.id);
            let work_ms = self.heat.rate(now, prefix::Key(part)) * self.daemons() as f64;
            let copies = (work_ms / COPY_CARRIES_MS).ceil().max(1.0) as usize;
            servers.sort_by_cached_key(|(_, server)| {
                std::cmp::Reverse(xxh3_64_with_seed(server.entry.id.as_bytes(), part))
            });
            servers.truncate(copies);
        }
        if shared(&prompt.parts).is_empty() {
            servers.clear();
        }
        servers.into_iter().map(|(key, _)| key).collect()
    }

    /// Notes the work of a request for each part that it shares.
    pub(super) fn note_heat(&mut self, now: Time, owner: &str, prompt: &Prompt) {
        let own = prompt.input.saturating_sub(shared_tokens(prompt));
        let work_ms =
            f64::from(own) / PREFILL_TOKENS_PER_MS + f64::from(prompt.output) * ANSWER_TOKEN_MS;
        for part in shared(&prompt.parts) {
            self.heat.note(now, prefix::Key(keyed(owner, part.id)), work_ms);
        }
    }

    /// What a start on this version costs; `None` where it may no longer be used.
    fn old_weights_ms(&self, now: Time, model: &str, version: u64) -> Option<f64> {
        let Some(age) = self.rollout.overtaken_for(now, model, version) else {
            return Some(0.0);
        };
        if age.saturating_add(OLD_WEIGHTS_MARGIN) >= self.policy.weights_limit {
            return None;
        }
        Some(if age >= OLD_WEIGHTS_FREE { OLD_WEIGHTS_MS } else { 0.0 })
    }

    /// Whether a request that was sent to these weights and has not begun must not begin any more.
    pub(super) fn is_too_late(&self, now: Time, model: &str, version: u64) -> bool {
        let age = self.rollout.overtaken_for(now, model, version);
        age.is_some_and(|age| age.saturating_add(RECALL_MARGIN) >= self.policy.weights_limit)
    }
}

/// What the silence of a server adds to the time that is expected there.
fn silence_ms(now: Time, load: Load) -> f64 {
    let silence = load.silence(now).saturating_sub(USUAL_SILENCE);
    silence.as_secs_f64() * 1_000.0 * SILENCE_WEIGHT
}

/// Shared tokens of a prompt that a server is believed to hold.
fn held_tokens(now: Time, prompt: &Prompt, server: &Server, salt: &str) -> u32 {
    let held = shared(&prompt.parts)
        .iter()
        .take_while(|part| server.holds(now, keyed(salt, part.id)))
        .map(|part| part.tokens);
    held.sum::<u32>().min(prompt.input)
}
