//! A configuration isolates a tenant whose prompts were cached before.

use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Seen};
use crate::record::Record;
use crate::rig::Rig;
use crate::servers::Engines;

const MODEL: &str = "m1";
/// The time in which a configuration has to be in force, and some more.
const APPLY: Duration = Duration::from_millis(2_000 + 2_000);

fn config(version: u64, is_isolated: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"ask\",\"host\":\"ask.example\",\
         \"path_prefix\":\"/ask/\",\"kind\":\"streaming\",\"timeout_ms\":5000,\
         \"target_latency_ms\":600,\"priority\":1,\"service\":\"engines\",\"attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":300}}],\
         \"services\":[{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_connections\":300,\
         \"max_concurrency\":12,\"engine\":{{\"slots\":6,\"kv_capacity_tokens\":100000,\
         \"kv_token_bytes\":163840,\"link_mbps\":130000}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"api_keys\":[\"key-of-first\"],\"isolated\":{is_isolated}}},\
         {{\"name\":\"second\",\"api_keys\":[\"key-of-second\"],\"isolated\":false}}]}}"
    )
}

fn ask(rig: &Rig, daemon: usize, id: &str, tenant: &str) -> Seen {
    let fields: Vec<(String, String)> = [
        ("Host", "ask.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Model", MODEL.to_owned()),
        ("X-Token-Usage", "2100,5".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:2000,{id}:100")),
        ("X-Request-Deadline-Ms", "5000".to_owned()),
        ("Authorization", format!("Bearer key-of-{tenant}")),
        ("Connection", "close".to_owned()),
    ]
    .map(|(name, value)| (name.to_owned(), value))
    .into();
    let seen = net::ask(rig.entry(daemon), "POST /ask/1", &fields, b"{}", Duration::from_secs(6));
    rig.record.line(&format!(
        "tenant {tenant} sends {id} to daemon {}: status {}, whole {}",
        daemon + 1,
        seen.status(),
        seen.is_whole()
    ));
    seen
}

pub fn run(record: &Record, trouble: bool) -> Vec<String> {
    let mut rig = Rig::start(record);
    let engines = Engines::default();
    for id in ["i-e1", "i-e2"] {
        let address = rig.address();
        if let Err(error) = engines.start(address, id, MODEL, record) {
            crate::rig::give_up(&error.to_string());
        }
        rig.register(id, "engines", address, Some(MODEL));
    }
    rig.store.put("keyed.op", "config", &config(3, false));
    rig.store.put("keyed.op", &format!("version/{MODEL}"), &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"));
    rig.start_daemons(3);
    rig.wait_until_ready();
    thread::sleep(Duration::from_secs(4));

    let mut served = 0;
    for turn in 0..6 {
        served += usize::from(ask(&rig, turn % 3, &format!("a{turn:07}"), "first").is_whole());
        thread::sleep(Duration::from_millis(200));
    }
    // Until the daemons know what is cached.
    thread::sleep(Duration::from_secs(2));
    rig.store.put("keyed.op", "config", &config(8, trouble));
    let acknowledged_at = Instant::now();
    record.line(&format!("the store acknowledges configuration 8: tenant first is isolated: {trouble}"));
    thread::sleep(APPLY);
    for turn in 0..6 {
        served += usize::from(ask(&rig, turn % 3, &format!("b{turn:07}"), "second").is_whole());
        served += usize::from(ask(&rig, turn % 3, &format!("c{turn:07}"), "first").is_whole());
        thread::sleep(Duration::from_millis(200));
    }
    if served < 16 {
        crate::rig::give_up(&format!("only {served} of 18 requests were served"));
    }
    if !trouble {
        return Vec::new();
    }
    let uses = engines.uses.lock().unwrap().clone();
    let shared = uses.iter().filter(|used| {
        used.at > acknowledged_at + APPLY - Duration::from_millis(500)
            && used.tenant != used.made_by.tenant
            && (used.tenant == "first" || used.made_by.tenant == "first")
    });
    let broken = shared.map(|used| {
        format!(
            "{} of tenant {} uses part {} (salt {:?}), which {} of tenant {} made; first is isolated",
            used.request, used.tenant, used.part, used.salt, used.made_by.request, used.made_by.tenant
        )
    });
    broken.collect()
}
