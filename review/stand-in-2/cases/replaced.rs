//! Machines are replaced, one after the other, over a long time; then the configuration changes.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Conn, Message};
use crate::record::Record;
use crate::rig::{self, Rig};
use crate::servers::{self, echo};

/// Machines that were there before, and are gone for good.
const REPLACED: usize = 1_000;
/// Machines that start at a time.
const BATCH: usize = 25;
/// Machines that are there.
const DAEMONS: u8 = 3;
const ROUNDS: u64 = 5;
/// `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2_000);
/// Time between two changes.
const ROUND: Duration = Duration::from_millis(7_300);

fn config(version: u64, service: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"status\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/status/\",\"kind\":\"idempotent\",\"timeout_ms\":2500,\
         \"target_latency_ms\":150,\"priority\":2,\"service\":\"{service}\",\"attempts\":2,\
         \"public\":true}}],\
         \"services\":[{{\"name\":\"desk-a\",\"health_path\":\"/health\",\"max_connections\":100}},\
         {{\"name\":\"desk-b\",\"health_path\":\"/health\",\"max_connections\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn service_of(version: u64) -> &'static str {
    if version % 2 == 0 { "desk-a" } else { "desk-b" }
}

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let mut rig = Rig::start(record);
    // The services that ran each request.
    let runs: Arc<Mutex<Vec<(String, &str)>>> = Arc::default();
    for (id, service) in [("i-a1", "desk-a"), ("i-a2", "desk-a"), ("i-b1", "desk-b"), ("i-b2", "desk-b")] {
        let address = rig.address();
        let (server, runs) = (id.to_owned(), Arc::clone(&runs));
        let answer = move |request: &Message, conn: &mut Conn| {
            let Some(request_id) = request.field("x-request-id") else {
                return conn.answer("400 Bad Request", &[("X-Not-Executed", "1")], b"").is_ok();
            };
            runs.lock().unwrap().push((request_id.to_owned(), service));
            thread::sleep(Duration::from_millis(5));
            let seal = format!("{server}.{request_id}");
            let fields = echo(request, &[("X-Response-Seal", &seal), ("Keep-Alive", "timeout=5")]);
            conn.answer("200 OK", &fields, b"status").is_ok()
        };
        if let Err(error) = servers::serve(address, id, Arc::new(answer)) {
            rig::give_up(&error.to_string());
        }
        rig.register(id, service, address, None);
    }
    rig.store.put("keyed.op", "config", &config(2, service_of(2)));
    if trouble {
        let began = Instant::now();
        for batch in 0..REPLACED / BATCH {
            rig.start_and_remove(batch * BATCH, BATCH);
        }
        record.line(&format!(
            "{REPLACED} machines have started, registered and are gone for good, in {:.1} s",
            began.elapsed().as_secs_f64()
        ));
    }
    rig.start_daemons(DAEMONS);
    rig.wait_until_ready();
    // Calm, for longer than `stable_window_ms`.
    thread::sleep(Duration::from_secs(8));

    let mut broken = Vec::new();
    for version in 3..3 + ROUNDS {
        rig.store.put("keyed.op", "config", &config(version, service_of(version)));
        let acknowledged_at = Instant::now();
        record.line(&format!(
            "the store acknowledges configuration {version}: the route goes to {}",
            service_of(version)
        ));
        let mut late = [0; DAEMONS as usize];
        let mut last = [Duration::ZERO; DAEMONS as usize];
        let mut number = 0;
        while acknowledged_at.elapsed() < ROUND {
            for daemon in 0..usize::from(DAEMONS) {
                number += 1;
                let id = format!("v{version}-{number}");
                let fields: Vec<(String, String)> = [
                    ("Host", "desk.example"),
                    ("X-Request-Id", id.as_str()),
                    ("X-Request-Deadline-Ms", "2500"),
                    ("Connection", "close"),
                ]
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .into();
                let sent = acknowledged_at.elapsed();
                let entry = rig.entry(daemon);
                net::ask(entry, "GET /status/1", &fields, b"", Duration::from_secs(3));
                let runs = runs.lock().unwrap();
                let ran = runs.iter().rev().find(|(run, _)| *run == id);
                if ran.is_some_and(|(_, service)| *service != service_of(version)) {
                    last[daemon] = sent;
                    late[daemon] += usize::from(sent > APPLY);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        for daemon in 0..usize::from(DAEMONS) {
            record.line(&format!(
                "daemon {}: the old service still ran requests sent up to {} ms after the acknowledgement; {} of them after {} ms",
                daemon + 1,
                last[daemon].as_millis(),
                late[daemon],
                APPLY.as_millis()
            ));
            if late[daemon] > 0 {
                broken.push(format!(
                    "configuration {version} at daemon {}: {} requests run by the old service, the last one sent {} ms after the acknowledgement",
                    daemon + 1,
                    late[daemon],
                    last[daemon].as_millis()
                ));
            }
        }
    }
    broken
}
