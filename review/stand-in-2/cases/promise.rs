//! A server runs requests that may run once, and then answers 503 or 429 without `X-Not-Executed`.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::net::{self, Conn, Message, Seen};
use crate::record::Record;
use crate::rig::Rig;
use crate::servers::{self, echo};

/// Payments, each sent once more if its client is told that it has not run.
const PAYMENTS: usize = 30;
/// One request of this number fails at the failing server.
const FAILS_EACH: usize = 3;

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"pay\",\"host\":\"pay.example\",\
    \"path_prefix\":\"/pay/\",\"kind\":\"non_idempotent\",\"timeout_ms\":2500,\
    \"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\"attempts\":2,\"public\":true}],\
    \"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000}}";

type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

fn pay(rig: &Rig, daemon: usize, id: &str, payment: &str) -> Seen {
    let fields: Vec<(String, String)> = [
        ("Host", "pay.example"),
        ("X-Request-Id", id),
        ("X-Request-Deadline-Ms", "2500"),
        ("Connection", "close"),
    ]
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .into();
    let body = payment.as_bytes();
    let seen = net::ask(rig.entry(daemon), "POST /pay/1", &fields, body, Duration::from_secs(4));
    let seal = seen.answer.as_ref().and_then(|answer| answer.field("x-response-seal"));
    rig.record.line(&format!(
        "client sends {id} ({payment}): status {}, seal {seal:?}",
        seen.status()
    ));
    seen
}

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let mut rig = Rig::start(record);
    let runs: Runs = Arc::default();
    for id in ["i-d1", "i-d2"] {
        let address = rig.address();
        let (fails, server) = (trouble && id == "i-d1", id.to_owned());
        let (count, runs, record) = (AtomicUsize::new(0), Arc::clone(&runs), record.clone());
        let answer = move |request: &Message, conn: &mut Conn| {
            let Some(id) = request.field("x-request-id") else {
                let fields = [("X-Not-Executed", "1")];
                return conn.answer("400 Bad Request", &fields, b"").is_ok();
            };
            thread::sleep(Duration::from_millis(30));
            let payment = String::from_utf8_lossy(&request.body).into_owned();
            runs.lock().unwrap().entry(payment.clone()).or_default().push(id.to_owned());
            let number = count.fetch_add(1, Ordering::Relaxed);
            let status = match (fails && number % FAILS_EACH == 0, number / FAILS_EACH % 2) {
                (false, _) => "200 OK",
                (true, 0) => "503 Service Unavailable",
                (true, _) => "429 Too Many Requests",
            };
            record.line(&format!("server {server} runs {id} ({payment}) and answers {status}"));
            let seal = format!("{server}.{id}");
            let fields = echo(request, &[("X-Response-Seal", &seal), ("Keep-Alive", "timeout=5")]);
            conn.answer(status, &fields, b"receipt").is_ok()
        };
        if let Err(error) = servers::serve(address, id, Arc::new(answer)) {
            crate::rig::give_up(&error.to_string());
        }
        rig.register(id, "desk", address, None);
    }
    rig.store.put("keyed.op", "config", CONFIG);
    rig.start_daemons(2);
    rig.wait_until_ready();
    thread::sleep(Duration::from_secs(2));

    let mut broken = Vec::new();
    let mut paid = 0;
    for number in 0..PAYMENTS {
        let payment = format!("payment {number}");
        for attempt in 0..2 {
            let id = format!("p{number}-{attempt}");
            let seen = pay(&rig, number % 2, &id, &payment);
            let has_run = |id: &str| {
                let runs = runs.lock().unwrap();
                runs.get(&payment).is_some_and(|runs| runs.iter().any(|run| run == id))
            };
            paid += usize::from(seen.status() == 200);
            if !matches!(seen.status(), 408 | 421 | 429 | 503) {
                break;
            }
            if has_run(&id) {
                broken.push(format!("{id} was answered {} and has run", seen.status()));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let runs = runs.lock().unwrap();
    for (payment, runs) in runs.iter().filter(|(_, runs)| runs.len() > 1) {
        record.line(&format!("{payment} ran {} times: {}", runs.len(), runs.join(", ")));
    }
    if paid < PAYMENTS / 2 {
        crate::rig::give_up(&format!("only {paid} payments were answered"));
    }
    broken
}
