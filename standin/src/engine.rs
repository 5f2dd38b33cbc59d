//! A stand-in for a model engine. It queues prefills, caches prompt blocks and streams a text that
//! is computed from the prompt.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use cardamomvalve::clients;
use cardamomvalve::entry::openai::{self, Kind};
use cardamomvalve::http::server::{self, Received};
use cardamomvalve::http::{client, header};
use cardamomvalve::membership::Report;
use cardamomvalve::order::{Action, Order};
use cardamomvalve::prefix::{self, BLOCK_TOKENS, BYTES_PER_TOKEN, Key};
use clap::Parser;
use futures_util::TryStreamExt;
use http_types::{Body, Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::cache::Cache;
use crate::serve;

/// Number of answer tokens for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Interval at which a queued request checks if its prefill is next.
const PREFILL_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Command-line options of the engine.
#[derive(Debug, Clone, Parser)]
#[command(name = "standin-engine", version, about = "A stand-in for a model engine")]
pub struct Options {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// A model and the weights version served, as MODEL=VERSION; may be repeated.
    #[arg(long = "weights", value_name = "MODEL=VERSION", required = true)]
    pub weights: Vec<String>,
    /// Blocks that the cache holds.
    #[arg(long, default_value_t = 4_096)]
    pub cache_blocks: usize,
    /// Prompt tokens computed in a second.
    #[arg(long, default_value_t = 100_000)]
    pub prefill_tokens_per_s: u32,
    /// Milliseconds in which one block is imported; no imports without it.
    #[arg(long)]
    pub import_ms: Option<f64>,
    /// Milliseconds in which a weights version is loaded.
    #[arg(long, default_value_t = 50)]
    pub load_ms: u64,
    /// Refuse orders that carry an older fencing number than one seen.
    #[arg(long)]
    pub checks_fencing: bool,
    /// End as a crash does once a prompt with this text has been read.
    #[arg(long, value_name = "TEXT")]
    pub ends_on: Option<String>,
    /// Milliseconds for one answer token.
    #[arg(long, default_value_t = 2)]
    pub token_ms: u64,
}

/// Faults set with `PUT /faults`, injected into the next answer or into all answers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Inject the faults into every answer, not only into the next.
    pub always: bool,
    /// Cut the connection after this many chunks.
    pub cut_after: Option<u64>,
    /// Send this chunk twice.
    pub repeat: Option<u64>,
    /// Omit this chunk.
    pub omit: Option<u64>,
    /// Name another attempt in the answer and send another prompt's text.
    pub wrong_attempt: bool,
    /// Name another incarnation in the answer.
    pub wrong_incarnation: bool,
    /// End the response body cleanly after this many chunks.
    pub end_after: Option<u64>,
    /// Omit the stream's last event.
    pub no_end: bool,
    /// Decline the request with this status and mark it as not run.
    pub decline: Option<u16>,
}

#[derive(Debug)]
struct State {
    incarnation: String,
    weights: BTreeMap<String, BTreeSet<String>>,
    cache: Cache,
    options: Options,
    faults: Faults,
    draining: bool,
    running: u32,
    /// Prompt tokens of queued and running prefills, by priority and arrival number.
    prefills: BTreeMap<(u8, u64), u64>,
    arrivals: u64,
    generated: u64,
    cancelled: u64,
    /// Highest fencing number seen.
    highest_fence: u64,
    orders: u64,
    orders_refused: u64,
    /// Number of blocks imported from other engines.
    imported_blocks: u64,
}

/// Returns the text of the token at `position` in the answer to `prompt`.
///
/// ```
/// use cardamomvalve_standin::engine::token;
/// assert_eq!(token("p", 0), token("p", 0));
/// ```
pub fn token(prompt: &str, position: u64) -> String {
    let hash = xxh3_64_with_seed(&position.to_le_bytes(), xxh3_64(prompt.as_bytes()));
    format!("w{:04x} ", hash & 0xffff)
}

/// Returns the complete answer of `count` tokens to `prompt`.
pub fn answer_text(prompt: &str, count: u64) -> String {
    (0..count).map(|position| token(prompt, position)).collect()
}

/// Runs the engine until the process ends.
pub fn run(options: &Options) -> eyre::Result<()> {
    let mut weights: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for pair in &options.weights {
        let (model, version) =
            pair.split_once('=').ok_or_else(|| eyre::eyre!("{pair}: give MODEL=VERSION"))?;
        weights.entry(model.to_owned()).or_default().insert(version.to_owned());
    }
    let state = State {
        incarnation: format!("{:016x}", fastrand::u64(..)),
        weights,
        cache: Cache::new(options.cache_blocks),
        options: options.clone(),
        faults: Faults::default(),
        draining: false,
        running: 0,
        prefills: BTreeMap::new(),
        arrivals: 0,
        generated: 0,
        cancelled: 0,
        imported_blocks: 0,
        highest_fence: 0,
        orders: 0,
        orders_refused: 0,
    };
    let state = Rc::new(RefCell::new(state));
    serve::run("standin-engine", options.listen, move |executor, received| {
        handle_request(Rc::clone(&state), executor, received)
    })
}

async fn handle_request(
    state: Rc<RefCell<State>>,
    executor: Rc<LocalExecutor<'static>>,
    received: Received,
) -> Option<Response> {
    let path = received.request.url().path().to_owned();
    match (received.request.method(), path.as_str()) {
        (Method::Put, "/faults") => {
            state.borrow_mut().faults = serde_json::from_slice(&received.body).unwrap_or_default();
            Some(server::empty(204))
        }
        (Method::Put, "/leave") => {
            state.borrow_mut().draining = true;
            Some(server::empty(204))
        }
        (Method::Put, "/weights") => {
            state.borrow_mut().weights = serde_json::from_slice(&received.body).ok()?;
            Some(server::empty(204))
        }
        (Method::Get, "/report") => Some(report_response(&state, &received)),
        (Method::Post, "/orders") => Some(execute_order(&state, &received).await),
        (Method::Post, "/kv") => Some(count_exportable_blocks(&state, &received)),
        (Method::Get, "/counts") => {
            let state = state.borrow();
            let counts = json!({
                "generated": state.generated,
                "cancelled": state.cancelled,
                "imported": state.imported_blocks,
                "orders": state.orders,
                "orders_refused": state.orders_refused,
            });
            Some(server::json(200, &counts))
        }
        (Method::Post, path) => {
            let kind = Kind::from_path(path)?;
            Some(handle_completion(state, executor, kind, &received).await)
        }
        _ => Some(server::empty(404)),
    }
}

fn report_response(state: &Rc<RefCell<State>>, received: &Received) -> Response {
    let from: u64 = serve::query_param(&received.request, "from").unwrap_or(0);
    let state = state.borrow();
    let report = Report {
        incarnation: state.incarnation.clone(),
        from,
        leaving: state.draining,
        software: None,
        weights: state.weights.clone(),
        running: state.running,
        waiting: state.prefills.len() as u32,
        queued_tokens: state.prefills.values().sum(),
        prefill_tokens_per_s: state.options.prefill_tokens_per_s,
        import_ms: state.options.import_ms,
        next_seq: state.cache.next_seq(),
        events: state.cache.events(from),
    };
    server::json(200, &serde_json::to_value(report).unwrap_or_default())
}

/// A generation in progress.
struct Generation {
    state: Rc<RefCell<State>>,
    kind: Kind,
    prompt: String,
    first_position: u64,
    max_tokens: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    faults: Faults,
}

fn decline_response(status: u16, message: &str) -> Response {
    let mut response = server::json(status, &json!({ "error": { "message": message } }));
    response.insert_header(header::EXECUTION, "not-run");
    response
}

async fn handle_completion(
    state: Rc<RefCell<State>>,
    executor: Rc<LocalExecutor<'static>>,
    kind: Kind,
    received: &Received,
) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(&received.body) else {
        return decline_response(400, "the body is no JSON");
    };
    let Ok(prompt) = openai::prompt(kind, &body) else {
        return decline_response(400, "the prompt is missing");
    };
    let model = body["model"].as_str().unwrap_or_default();
    let weights_version =
        serve::header_value(&received.request, header::WEIGHTS).unwrap_or_default();
    let served = state
        .borrow()
        .weights
        .get(model)
        .is_some_and(|versions| versions.contains(weights_version));
    if !served {
        return decline_response(409, "these weights are not loaded");
    }
    let faults = state.borrow().faults.clone();
    if !faults.always {
        state.borrow_mut().faults = Faults::default();
    }
    if let Some(status) = faults.decline {
        return decline_response(status, "declined as told");
    }
    let salt = serve::header_value(&received.request, header::CACHE_SALT).unwrap_or("0");
    let blocks = prefix::chain(Key(u64::from_str_radix(salt, 16).unwrap_or(0)), prompt.as_bytes());
    let priority = match serve::header_value(&received.request, header::PRIORITY) {
        Some("urgent") => 0,
        Some("background") => 2,
        _ => 1,
    };
    if let Some(value) = serve::header_value(&received.request, header::KV_IMPORT) {
        import_blocks(&state, value, &blocks).await;
    }
    let cached = prefill(&state, priority, &prompt, &blocks).await;
    if state.borrow().options.ends_on.as_ref().is_some_and(|text| prompt.contains(text)) {
        std::process::exit(1);
    }
    let resume_from = serve::header_value(&received.request, header::RESUME_FROM);
    let generation = Generation {
        first_position: resume_from.and_then(|value| value.parse().ok()).unwrap_or(0),
        prompt: if faults.wrong_attempt { "another prompt".into() } else { prompt.clone() },
        max_tokens: body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS),
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u64,
        cached_tokens: cached,
        kind,
        faults: faults.clone(),
        state: Rc::clone(&state),
    };
    stream_response(&state, executor, received, generation, &faults, weights_version)
}

/// Executes an order. An engine that checks fencing refuses an outdated fencing number.
async fn execute_order(state: &Rc<RefCell<State>>, input: &Received) -> Response {
    let Ok(order) = serde_json::from_slice::<Order>(&input.body) else { return server::empty(400) };
    {
        let mut state = state.borrow_mut();
        if state.options.checks_fencing && order.fence < state.highest_fence {
            state.orders_refused += 1;
            return server::empty(409);
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        state.orders += 1;
    }
    let load_ms = state.borrow().options.load_ms;
    match order.action {
        Action::Load { model, weights, .. } => {
            Timer::after(Duration::from_millis(load_ms)).await;
            state.borrow_mut().weights.entry(model).or_default().insert(weights);
        }
        Action::Unload { model, weights } => {
            if let Some(versions) = state.borrow_mut().weights.get_mut(&model) {
                versions.remove(&weights);
            }
        }
    }
    server::empty(204)
}

/// Body of `POST /kv`: blocks requested by another engine.
#[derive(Debug, Serialize, Deserialize)]
struct Export {
    incarnation: String,
    blocks: Vec<u64>,
}

/// Returns the number of leading blocks that this engine caches, or 0 for another incarnation.
fn count_exportable_blocks(state: &Rc<RefCell<State>>, received: &Received) -> Response {
    let state = state.borrow();
    let held = match serde_json::from_slice::<Export>(&received.body) {
        Ok(export) if export.incarnation == state.incarnation => {
            let blocks: Vec<Key> = export.blocks.into_iter().map(Key).collect();
            state.cache.cached_prefix_blocks(&blocks)
        }
        _ => 0,
    };
    server::json(200, &json!({ "held": held }))
}

/// Imports the leading blocks that the engine named in `value` still holds.
async fn import_blocks(state: &Rc<RefCell<State>>, value: &str, blocks: &[Key]) -> Option<()> {
    let import_ms = state.borrow().options.import_ms?;
    let mut parts = value.split(';');
    let address = parts.next()?.parse().ok()?;
    let incarnation = parts.next()?.to_owned();
    let count: usize = parts.next()?.parse().ok()?;
    let requested = &blocks[..count.min(blocks.len())];
    let cached = state.borrow().cache.cached_prefix_blocks(requested);
    let export = Export { incarnation, blocks: requested.iter().map(|key| key.0).collect() };
    let body = serde_json::to_string(&export).ok()?;
    let (_, response) =
        client::send_json(address, Method::Post, "/kv", Some(body), clients::LIMITS).await.ok()?;
    let response: Value = serde_json::from_slice(&response).ok()?;
    let held = response["held"].as_u64()? as usize;
    let imported = held.saturating_sub(cached);
    let duration_us = imported as f64 * import_ms * 1_000.0;
    Timer::after(Duration::from_micros(duration_us as u64)).await;
    let mut state = state.borrow_mut();
    state.imported_blocks += imported as u64;
    state.cache.access(&requested[..held.min(requested.len())]);
    Some(())
}

/// Computes the uncached part of the prompt in order of priority and returns the cached tokens.
async fn prefill(state: &Rc<RefCell<State>>, priority: u8, prompt: &str, blocks: &[Key]) -> u64 {
    let queue_key = {
        let mut state = state.borrow_mut();
        state.arrivals += 1;
        let queue_key = (priority, state.arrivals);
        state.prefills.insert(queue_key, (prompt.len() / BYTES_PER_TOKEN) as u64);
        queue_key
    };
    while state.borrow().prefills.first_key_value().map(|(first, _)| *first) != Some(queue_key) {
        Timer::after(PREFILL_POLL_INTERVAL).await;
    }
    // A running prefill keeps the first position, so later arrivals can't overtake it.
    state.borrow_mut().prefills.remove(&queue_key);
    let cached = state.borrow().cache.cached_prefix_blocks(blocks) as u64 * u64::from(BLOCK_TOKENS);
    let total = (prompt.len() / BYTES_PER_TOKEN) as u64;
    let running_key = (0, 0);
    state.borrow_mut().prefills.insert(running_key, total.saturating_sub(cached));
    let tokens_per_s = u64::from(state.borrow().options.prefill_tokens_per_s);
    let duration_us = total.saturating_sub(cached) * 1_000_000 / tokens_per_s.max(1);
    Timer::after(Duration::from_micros(duration_us)).await;
    let mut state = state.borrow_mut();
    state.prefills.remove(&running_key);
    state.cache.access(blocks);
    cached.min(total)
}

fn stream_response(
    state: &Rc<RefCell<State>>,
    executor: Rc<LocalExecutor<'static>>,
    received: &Received,
    generation: Generation,
    faults: &Faults,
    weights: &str,
) -> Response {
    let attempt = serve::header_value(&received.request, header::ATTEMPT).unwrap_or_default();
    let attempt = if faults.wrong_attempt { "another" } else { attempt };
    let incarnation = if faults.wrong_incarnation {
        "another".into()
    } else {
        state.borrow().incarnation.clone()
    };
    let cached = generation.cached_tokens;
    let (sender, receiver) = async_channel::bounded(1);
    executor.spawn(generate(generation, sender)).detach();
    let reader = Box::pin(receiver).into_async_read();
    let mut response = server::empty(200);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    response.insert_header(header::ATTEMPT, attempt);
    response.insert_header(header::INCARNATION, incarnation);
    response.insert_header(header::WEIGHTS, weights);
    response.insert_header(header::CACHED_TOKENS, cached.to_string());
    response
}

type Sender = async_channel::Sender<std::io::Result<Vec<u8>>>;

async fn generate(generation: Generation, sender: Sender) {
    let state = Rc::clone(&generation.state);
    state.borrow_mut().running += 1;
    let completed = send_chunks(&generation, &sender).await;
    let mut state = state.borrow_mut();
    state.running -= 1;
    if completed.is_some() {
        state.generated += 1;
    } else {
        state.cancelled += 1;
    }
}

/// Sends the chunks. Returns `None` if a fault ended the stream or its reader disconnected.
async fn send_chunks(generation: &Generation, sender: &Sender) -> Option<()> {
    let token_ms = generation.state.borrow().options.token_ms;
    let faults = &generation.faults;
    let mut sent = 0;
    for position in generation.first_position..generation.max_tokens {
        Timer::after(Duration::from_millis(token_ms)).await;
        if faults.cut_after == Some(sent) {
            sender.send(Err(std::io::ErrorKind::ConnectionReset.into())).await.ok();
            return None;
        }
        if faults.end_after == Some(sent) {
            return None;
        }
        sent += 1;
        if faults.omit == Some(position) {
            continue;
        }
        let copies = if faults.repeat == Some(position) { 2 } else { 1 };
        for _ in 0..copies {
            let event = format!("id: {position}\ndata: {}\n\n", chunk(generation, position));
            sender.send(Ok(event.into_bytes())).await.ok()?;
        }
    }
    if faults.cut_after == Some(sent) {
        sender.send(Err(std::io::ErrorKind::ConnectionReset.into())).await.ok();
        return None;
    }
    if !faults.no_end {
        let end = format!("id: {}\ndata: [DONE]\n\n", generation.max_tokens);
        sender.send(Ok(end.into_bytes())).await.ok()?;
    }
    Some(())
}

fn chunk(generation: &Generation, position: u64) -> Value {
    let text = token(&generation.prompt, position);
    let is_last = position + 1 == generation.max_tokens;
    let finish_reason = if is_last { json!("length") } else { Value::Null };
    let (object, choice) = match generation.kind {
        Kind::Text => {
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish_reason }))
        }
        Kind::Chat => (
            "chat.completion.chunk",
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason }),
        ),
    };
    let mut chunk = json!({ "object": object, "choices": [choice] });
    if is_last {
        chunk["usage"] = json!({
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": generation.max_tokens,
            "total_tokens": generation.prompt_tokens + generation.max_tokens,
            "prompt_tokens_details": { "cached_tokens": generation.cached_tokens },
        });
    }
    chunk
}
