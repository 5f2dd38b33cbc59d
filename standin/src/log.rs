//! A stand-in for the platform's log service: append-only streams with offsets, held in memory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use cardamomvalve::clients::log::{Ack, Entry, Page};
use cardamomvalve::http::server::{self, Received};
use clap::Parser;
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};

use crate::serve;

/// Maximum number of records that a read returns.
const MAX_PAGE_RECORDS: usize = 10_000;
/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Command-line options of the log service.
#[derive(Debug, Parser)]
#[command(name = "standin-log", version, about = "A stand-in for the platform's log service")]
pub struct Options {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Seconds for which records are kept.
    #[arg(long, default_value_t = 604_800)]
    pub retention_s: u64,
}

/// Fault mode of the log service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// No fault.
    #[default]
    Up,
    /// Refuses every request.
    Down,
    /// Appends the record, then closes the connection without an answer.
    LoseAnswers,
    /// Appends the record after the caller's time limit, without an answer.
    LandLate,
}

/// Faults set with `PUT /faults`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Fault mode.
    pub mode: Mode,
    /// Delay of every answer in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    lines: Vec<Entry>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.lines.len() as u64
    }

    fn expire(&mut self, cutoff_ms: u64) {
        let expired = self.lines.iter().take_while(|line| line.time_ms < cutoff_ms).count();
        self.lines.drain(..expired);
        self.first_offset += expired as u64;
    }
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    retention_s: u64,
}

impl State {
    fn append(&mut self, name: &str, text: String) -> u64 {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.lines.push(Entry { offset, time_ms: now_ms(), text });
        offset
    }

    fn read_page(&mut self, name: &str, from: u64, limit: usize) -> Page {
        let cutoff_ms = now_ms().saturating_sub(self.retention_s * 1_000);
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(cutoff_ms);
        let records = stream.lines.iter().filter(|line| line.offset >= from).take(limit).cloned();
        Page {
            first: stream.first_offset,
            next: stream.next_offset(),
            retention_s: self.retention_s,
            records: records.collect(),
        }
    }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Runs the log service until the process ends.
pub fn run(options: &Options) -> eyre::Result<()> {
    let state = State { retention_s: options.retention_s, ..State::default() };
    let state = Rc::new(RefCell::new(state));
    serve::run("standin-log", options.listen, move |_, received| {
        handle_request(Rc::clone(&state), received)
    })
}

async fn handle_request(state: Rc<RefCell<State>>, received: Received) -> Option<Response> {
    let path = received.request.url().path().to_owned();
    if path == "/faults" {
        let faults = serde_json::from_slice(&received.body).unwrap_or_default();
        state.borrow_mut().faults = faults;
        return Some(server::empty(204));
    }
    let faults = state.borrow().faults;
    if faults.delay_ms > 0 {
        Timer::after(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.mode == Mode::Down {
        return Some(server::empty(503));
    }
    let name = path.strip_prefix("/streams/")?.strip_suffix("/records")?.to_owned();
    match received.request.method() {
        Method::Post => append(&state, &name, received, faults.mode).await,
        _ => Some(read(&state, &name, &received).await),
    }
}

async fn append(
    state: &Rc<RefCell<State>>,
    name: &str,
    received: Received,
    mode: Mode,
) -> Option<Response> {
    let text = String::from_utf8(received.body).ok()?;
    let append_response = |text| {
        let offset = state.borrow_mut().append(name, text);
        let body = serde_json::to_value(Ack { offset }).unwrap_or_default();
        server::json(201, &body)
    };
    match mode {
        Mode::Up | Mode::Down => Some(append_response(text)),
        Mode::LoseAnswers => {
            append_response(text);
            None
        }
        Mode::LandLate => {
            // Longer than the caller's time limit.
            Timer::after(Duration::from_secs(4)).await;
            append_response(text);
            None
        }
    }
}

async fn read(state: &Rc<RefCell<State>>, name: &str, received: &Received) -> Response {
    let from: u64 = serve::query_param(&received.request, "from").unwrap_or(0);
    let limit: usize = serve::query_param(&received.request, "limit").unwrap_or(MAX_PAGE_RECORDS);
    let wait_ms: u64 = serve::query_param(&received.request, "wait_ms").unwrap_or(0);
    let mut polls_left = wait_ms / POLL_INTERVAL.as_millis() as u64;
    loop {
        let page = state.borrow_mut().read_page(name, from, limit.min(MAX_PAGE_RECORDS));
        if !page.records.is_empty() || polls_left == 0 || state.borrow().faults.mode == Mode::Down {
            return server::json(200, &serde_json::to_value(page).unwrap_or_default());
        }
        polls_left -= 1;
        Timer::after(POLL_INTERVAL).await;
    }
}
