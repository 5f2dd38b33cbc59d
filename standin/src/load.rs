//! A load tool that sends completions with nested shared prefixes and payments with idempotency
//! keys, and checks the answers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use async_sse::Event;
use cardamomvalve::http::client::{self, Limits};
use cardamomvalve::http::header;
use clap::Parser;
use futures_lite::StreamExt;
use hdrhistogram::Histogram;
use http_types::{Method, Request};
use serde_json::{Value, json};

use crate::engine::answer_text;

const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_secs(2),
    head_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
    max_body_bytes: 16 << 20,
};
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 20;

/// Command-line options of the load tool.
#[derive(Debug, Clone, Parser)]
#[command(
    name = "cardamomvalve-load",
    version,
    about = "Sends checked load to daemons on loopback"
)]
pub struct Options {
    /// A daemon's entry address; may be repeated, and requests go to each in turn.
    #[arg(long = "to", value_name = "ADDRESS", required = true)]
    pub to: Vec<SocketAddr>,
    /// The bearer key.
    #[arg(long)]
    pub key: String,
    /// The model.
    #[arg(long)]
    pub model: String,
    /// The service that payments go to; none without it.
    #[arg(long)]
    pub service: Option<String>,
    /// Completions.
    #[arg(long, default_value_t = 100)]
    pub requests: u32,
    /// Requests under way at a time.
    #[arg(long, default_value_t = 8)]
    pub concurrency: u32,
    /// Clients that share the standard, each with its own prefix.
    #[arg(long, default_value_t = 4)]
    pub clients: u32,
    /// Bytes of the standard that all prompts begin with.
    #[arg(long, default_value_t = 32_768)]
    pub standard_bytes: usize,
    /// Bytes of each client's own prefix.
    #[arg(long, default_value_t = 8_192)]
    pub client_bytes: usize,
    /// Answer tokens.
    #[arg(long, default_value_t = 16)]
    pub tokens: u64,
    /// Milliseconds between the starts of two requests of one worker.
    #[arg(long, default_value_t = 0)]
    pub pause_ms: u64,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Results of a load run.
#[derive(Debug)]
struct Summary {
    first_token_us: Histogram<u64>,
    complete: u64,
    wrong: u64,
    failed: u64,
    retries: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    payments: u64,
    errors: Vec<String>,
}

impl Summary {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            first_token_us: Histogram::new(3)?,
            complete: 0,
            wrong: 0,
            failed: 0,
            retries: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            payments: 0,
            errors: Vec::new(),
        })
    }

    fn record_error(&mut self, error: String) {
        if self.errors.len() < 10 {
            self.errors.push(error);
        }
    }
}

/// Sends the load and prints a summary. Fails if any answer was lost or wrong.
pub fn run(options: &Options) -> eyre::Result<()> {
    let non_loopback = options.to.iter().find(|address| !address.ip().is_loopback());
    if let Some(address) = non_loopback {
        eyre::bail!("{address} is not on loopback; this tool sends load nowhere else");
    }
    let summary = Rc::new(RefCell::new(Summary::new()?));
    let executor = Rc::new(LocalExecutor::new());
    let next_number = Rc::new(RefCell::new(0_u32));
    let workers: Vec<_> = (0..options.concurrency)
        .map(|_| {
            executor.spawn(run_worker(
                options.clone(),
                Rc::clone(&next_number),
                Rc::clone(&summary),
            ))
        })
        .collect();
    block_on(executor.run(async {
        for worker in workers {
            worker.await;
        }
    }));
    let summary = summary.borrow();
    print_summary(options, &summary);
    eyre::ensure!(summary.wrong + summary.failed == 0, "answers were wrong or lost");
    Ok(())
}

async fn run_worker(
    options: Options,
    next_number: Rc<RefCell<u32>>,
    summary: Rc<RefCell<Summary>>,
) {
    loop {
        let number = next_number.replace_with(|number| *number + 1);
        if number >= options.requests {
            return;
        }
        run_completion(&options, number, &summary).await;
        if let Some(service) = &options.service {
            run_payment(&options, service, number, &summary).await;
        }
        Timer::after(Duration::from_millis(options.pause_ms)).await;
    }
}

fn repeat_to_length(text: &str, bytes: usize) -> String {
    text.chars().cycle().take(bytes).collect()
}

fn authorized_request(
    options: &Options,
    address_index: u32,
    path: &str,
) -> Option<(SocketAddr, Request)> {
    let address = *options.to.get(address_index as usize % options.to.len())?;
    let mut request = client::request(Method::Post, address, path).ok()?;
    request.insert_header("authorization", format!("Bearer {}", options.key));
    Some((address, request))
}

/// Result of one attempt at a request.
enum Attempt {
    Finished,
    Retry(Duration),
    Failed(String),
}

async fn run_completion(options: &Options, number: u32, summary: &Rc<RefCell<Summary>>) {
    let client = number % options.clients.max(1);
    let levels = (options.standard_bytes, options.standard_bytes + options.client_bytes);
    let prompt = format!(
        "{}{}case {number}",
        repeat_to_length("the standard says ", levels.0),
        repeat_to_length(&format!("client {client} "), options.client_bytes)
    );
    for attempt in 0..MAX_ATTEMPTS {
        match attempt_completion(options, number + attempt, &prompt, levels, summary).await {
            Attempt::Finished => return,
            Attempt::Retry(delay) => {
                summary.borrow_mut().retries += 1;
                Timer::after(delay).await;
            }
            Attempt::Failed(reason) => {
                summary.borrow_mut().failed += 1;
                summary.borrow_mut().record_error(format!("completion {number}: {reason}"));
                return;
            }
        }
    }
    summary.borrow_mut().failed += 1;
    summary.borrow_mut().record_error(format!("completion {number}: refused {MAX_ATTEMPTS} times"));
}

async fn attempt_completion(
    options: &Options,
    address_index: u32,
    prompt: &str,
    levels: (usize, usize),
    summary: &Rc<RefCell<Summary>>,
) -> Attempt {
    let Some((address, mut request)) =
        authorized_request(options, address_index, "/v1/completions")
    else {
        return Attempt::Failed("no address".into());
    };
    request.insert_header(header::PREFIX_LEVELS, format!("{},{}", levels.0, levels.1));
    let body = json!({
        "model": options.model,
        "prompt": prompt,
        "stream": true,
        "max_tokens": options.tokens,
    });
    request.set_body(body.to_string());
    let start = Instant::now();
    let mut answer = match client::send(address, request, LIMITS).await {
        Ok(answer) => answer,
        // Completions have no side effects, so a repeat is safe.
        Err(failure) => return retry_after_error(failure.reason),
    };
    if u16::from(answer.response.status()) != 200 {
        return handle_refusal(answer).await;
    }
    let body = answer.response.take_body();
    let mut events = async_sse::decode(futures_lite::io::BufReader::new(body));
    let mut text = String::new();
    let mut usage = Value::Null;
    while let Some(event) = events.next().await {
        let message = match event {
            Ok(Event::Message(message)) => message,
            Ok(Event::Retry(_)) => continue,
            Err(error) => return retry_after_error(error.to_string()),
        };
        if message.data() == b"[DONE]" {
            return check_answer(options, prompt, &text, &usage, summary);
        }
        let chunk: Value = serde_json::from_slice(message.data()).unwrap_or_default();
        if message.name() == "error" {
            return Attempt::Failed(chunk.to_string());
        }
        if text.is_empty() {
            let elapsed_us = start.elapsed().as_micros() as u64;
            summary.borrow_mut().first_token_us.record(elapsed_us).ok();
        }
        text.push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
        if !chunk["usage"].is_null() {
            usage = chunk["usage"].clone();
        }
    }
    retry_after_error("the stream ended early".into())
}

fn retry_after_error(_reason: String) -> Attempt {
    Attempt::Retry(Duration::from_millis(100))
}

async fn handle_refusal(answer: client::Answer) -> Attempt {
    let head = answer.response.as_ref();
    let retry_after = header::single(head, "retry-after").ok().flatten();
    let seconds: Option<u64> = retry_after.and_then(|value| value.parse().ok());
    match seconds {
        Some(seconds) => Attempt::Retry(Duration::from_secs(seconds)),
        None => {
            let body = answer.read_whole(None).await.map(|(_, body)| body).unwrap_or_default();
            Attempt::Failed(String::from_utf8_lossy(&body).into_owned())
        }
    }
}

fn check_answer(
    options: &Options,
    prompt: &str,
    text: &str,
    usage: &Value,
    summary: &Rc<RefCell<Summary>>,
) -> Attempt {
    let mut summary = summary.borrow_mut();
    summary.prompt_tokens += usage["prompt_tokens"].as_u64().unwrap_or(0);
    summary.cached_tokens += usage["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or(0);
    if text == answer_text(prompt, options.tokens) {
        summary.complete += 1;
    } else {
        summary.wrong += 1;
        summary.record_error("a completion's text is not the prompt's answer".to_owned());
    }
    Attempt::Finished
}

async fn run_payment(
    options: &Options,
    service: &str,
    number: u32,
    summary: &Rc<RefCell<Summary>>,
) {
    let key = format!("payment-{}-{number}", options.key);
    for attempt in 0..MAX_ATTEMPTS {
        let path = format!("/services/{service}/payments");
        let Some((address, mut request)) = authorized_request(options, number + attempt, &path)
        else {
            return;
        };
        request.insert_header(header::IDEMPOTENCY_KEY, key.as_str());
        request.set_body(format!("{{\"payment\":{number}}}"));
        let result = client::send(address, request, LIMITS).await;
        let delay = match result {
            Ok(answer) if u16::from(answer.response.status()) == 200 => {
                summary.borrow_mut().payments += 1;
                return;
            }
            Ok(answer) => match handle_refusal(answer).await {
                Attempt::Retry(delay) => delay,
                // Not a loss: the answer states that the outcome is unknown.
                _ => return,
            },
            // The idempotency key makes a retry safe.
            Err(_) => Duration::from_millis(100),
        };
        summary.borrow_mut().retries += 1;
        Timer::after(delay).await;
    }
    summary.borrow_mut().failed += 1;
    summary.borrow_mut().record_error(format!("payment {number}: refused {MAX_ATTEMPTS} times"));
}

fn print_summary(options: &Options, summary: &Summary) {
    let ms = |quantile: f64| summary.first_token_us.value_at_quantile(quantile) as f64 / 1_000.0;
    let hit_rate = summary.cached_tokens as f64 / summary.prompt_tokens.max(1) as f64;
    if options.json {
        let report = json!({
            "complete": summary.complete,
            "wrong": summary.wrong,
            "failed": summary.failed,
            "asked_again": summary.retries,
            "payments": summary.payments,
            "hit_rate": hit_rate,
            "first_token_ms": {
                "p50": ms(0.5), "p95": ms(0.95), "p99": ms(0.99), "max": ms(1.0),
            },
        });
        println!("{report}");
    } else {
        println!(
            "completions: {} complete, {} wrong, {} failed, {} asked again; payments: {}",
            summary.complete, summary.wrong, summary.failed, summary.retries, summary.payments
        );
        println!("prefix hit rate: {:.1}% of prompt tokens", hit_rate * 100.0);
        println!(
            "time to first token: p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms ({} answers)",
            ms(0.5),
            ms(0.95),
            ms(0.99),
            ms(1.0),
            summary.first_token_us.len()
        );
    }
    for error in &summary.errors {
        eprintln!("{error}");
    }
}
