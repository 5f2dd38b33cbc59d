//! A stand-in for a plain service. It counts runs, so that tests can find payments that ran twice.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use cardamomvalve::http::server::{self, Received};
use clap::Parser;
use http_types::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::serve;

/// Command-line options of the service.
#[derive(Debug, Parser)]
#[command(name = "standin-service", version, about = "A stand-in for a plain service")]
pub struct Options {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// End as a crash does when a request's body has this text.
    #[arg(long, value_name = "TEXT")]
    pub ends_on: Option<String>,
}

/// Faults set with `PUT /faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of every answer after the run, in milliseconds.
    pub delay_ms: u64,
    /// Run the request, then close the connection without an answer.
    pub cut: bool,
    /// Run the request and answer with a body shorter than its declared length.
    pub short: bool,
    /// Number of filler bytes in the answer.
    pub filler: usize,
    /// Run the request and answer with this status in place of 200.
    pub status: Option<u16>,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    /// Number of runs by workspace, path and body.
    run_counts: BTreeMap<String, u64>,
    receipts: u64,
    crash_text: Option<String>,
}

/// Runs the service until the process ends. Every request counts as a run, except
/// `GET /runs` and `PUT /faults`.
pub fn run(options: &Options) -> eyre::Result<()> {
    let crash_text = options.ends_on.clone();
    let state = Rc::new(RefCell::new(State { crash_text, ..State::default() }));
    serve::run("standin-service", options.listen, move |_, received| {
        handle_request(Rc::clone(&state), received)
    })
}

async fn handle_request(state: Rc<RefCell<State>>, received: Received) -> Option<Response> {
    let path = received.request.url().path().to_owned();
    match (received.request.method(), path.as_str()) {
        (Method::Put, "/faults") => {
            state.borrow_mut().faults = serde_json::from_slice(&received.body).unwrap_or_default();
            return Some(server::empty(204));
        }
        (Method::Get, "/runs") => {
            return Some(server::json(200, &json!(state.borrow().run_counts)));
        }
        _ => {}
    }
    let workspace =
        serve::header_value(&received.request, "x-workspace").unwrap_or_default().to_owned();
    let body = String::from_utf8_lossy(&received.body).into_owned();
    if state.borrow().crash_text.as_ref().is_some_and(|text| body.contains(text)) {
        std::process::exit(1);
    }
    let (receipt, faults) = {
        let mut state = state.borrow_mut();
        *state.run_counts.entry(format!("{workspace} {path} {body}")).or_default() += 1;
        state.receipts += 1;
        (state.receipts, state.faults.clone())
    };
    if faults.delay_ms > 0 {
        Timer::after(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.cut {
        return None;
    }
    let filler = "x".repeat(faults.filler);
    let trace = serve::header_value(&received.request, "traceparent").unwrap_or_default();
    let body = json!({ "receipt": receipt, "path": path, "request": body, "filler": filler, "trace": trace });
    let mut response = server::json(faults.status.unwrap_or(200), &body);
    if faults.short {
        let text = body.to_string();
        let reader = futures_lite::io::Cursor::new(text.clone().into_bytes());
        response.set_body(http_types::Body::from_reader(reader, Some(text.len() + 10)));
        response.insert_header("connection", "close");
    }
    Some(response)
}
