//! Streams under failure: complete and in order, or ended by an explicit error.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;

use cardamomvalve_standin::engine::answer_text;
use common::{Fleet, LAB, Plan, Process, call, put, until};
use http_types::Method;
use rustix::process::Signal;
use serde_json::{Value, json};

const TOKENS: u64 = 6;

fn fault_all(fleet: &Fleet, faults: &Value) {
    for engine in &fleet.engines {
        put(engine.address(), "/faults", faults);
    }
}

/// Whether a streamed answer is whole and in order.
fn assert_whole(answer: &common::Answer, prompt: &str, tokens: u64) {
    assert_eq!(answer.text(), answer_text(prompt, tokens), "{}", answer.body);
    assert_eq!(answer.events().last(), Some(&"[DONE]"));
}

#[test]
fn stream_survives_each_fault() {
    let fleet = Fleet::start(Plan { daemons: 1, ..Plan::default() });
    let mut faults: Vec<Value> = (0..=TOKENS).map(|cut| json!({ "cut_after": cut })).collect();
    faults.extend((0..TOKENS).map(|position| json!({ "repeat": position })));
    faults.extend((0..TOKENS).map(|position| json!({ "omit": position })));
    faults.extend((0..TOKENS).map(|end| json!({ "end_after": end })));
    faults.extend([
        json!({ "no_end": true }),
        json!({ "wrong_attempt": true }),
        json!({ "wrong_incarnation": true }),
        json!({ "decline": 503 }),
        json!({ "decline": 409 }),
    ]);
    for (index, fault) in faults.iter().enumerate() {
        fault_all(&fleet, fault);
        let prompt = format!("prompt {index}");
        let answer = fleet.complete(0, &prompt, TOKENS, index % 2 == 0).expect("an answer");
        if index % 2 == 0 {
            assert_whole(&answer, &prompt, TOKENS);
        } else {
            assert_eq!(answer.text(), answer_text(&prompt, TOKENS), "{fault}: {}", answer.body);
        }
        fault_all(&fleet, &json!({}));
        // Retries are budgeted: a tenth of one is earned with each request.
        for _ in 0..20 {
            fleet.complete(0, "p", 1, false).expect("an answer");
        }
    }
}

#[test]
fn stream_error_is_explicit() {
    let fleet = Fleet::start(Plan { engines: 1, daemons: 1, ..Plan::default() });
    fault_all(&fleet, &json!({ "omit": 3, "always": true }));
    let answer = fleet.complete(0, "p", TOKENS, true).expect("a whole body");
    assert!(answer.body.contains("event: error\ndata: "), "{}", answer.body);
    assert!(answer.body.contains("\"code\":3004"), "{}", answer.body);
    assert!(!answer.body.contains("[DONE]"));
    assert_eq!(answer.text(), answer_text("p", 3));
}

#[test]
fn decline_for_good_is_passed_on() {
    let fleet = Fleet::start(Plan { daemons: 1, ..Plan::default() });
    fault_all(&fleet, &json!({ "decline": 422 }));
    let answer = fleet.complete(0, "p", 1, false).expect("an answer");
    assert_eq!((answer.status, answer.execution()), (422, "not-run"));
}

/// Starts a slow stream in a thread and runs `harm` on the engine that serves it.
fn harm_mid_stream(plan: Plan, harm: impl FnOnce(&mut Fleet, usize)) -> (Fleet, common::Answer) {
    let mut fleet = Fleet::start(plan);
    let entry = fleet.entry(0);
    let asking = std::thread::spawn(move || {
        let body = json!({ "model": "dga", "prompt": "slow", "max_tokens": 40, "stream": true });
        let key = format!("Bearer {LAB}");
        let headers = [("authorization", key.as_str())];
        call(Method::Post, entry, "/v1/completions", &headers, &body.to_string())
    });
    let mut busy = 0;
    until("a stream under way", || {
        let running = |index: usize| {
            let report = call(Method::Get, fleet.engines[index].address(), "/report", &[], "");
            report.is_ok_and(|report| report.json()["running"] != 0)
        };
        let found = (0..fleet.engines.len()).find(|index| running(*index));
        busy = found.unwrap_or(0);
        found.is_some()
    });
    harm(&mut fleet, busy);
    let answer = asking.join().expect("it ends").expect("an answer");
    (fleet, answer)
}

fn slow() -> Plan {
    Plan { daemons: 1, engine_args: vec!["--token-ms", "20"], ..Plan::default() }
}

#[test]
fn stream_continues_when_engine_is_killed() {
    let (_, answer) = harm_mid_stream(slow(), |fleet, busy| fleet.engines[busy].kill());
    assert_whole(&answer, "slow", 40);
}

#[test]
fn stream_continues_when_engine_freezes() {
    let (_fleet, answer) =
        harm_mid_stream(slow(), |fleet, busy| fleet.engines[busy].signal(Signal::STOP));
    assert_whole(&answer, "slow", 40);
}

#[test]
fn stream_continues_when_engine_restarts_at_its_address() {
    let (fleet, answer) = harm_mid_stream(slow(), |fleet, busy| {
        let address = fleet.engines[busy].address().to_string();
        fleet.engines[busy].kill();
        let args = ["--weights", "dga=v1", "--listen", &address];
        fleet.engines[busy] = Process::start("standin-engine", &args);
    });
    assert_whole(&answer, "slow", 40);
    until("both engines in use", || fleet.sees_all(0));
    assert_whole(&fleet.complete(0, "again", 3, true).expect("an answer"), "again", 3);
}

#[test]
fn stream_ends_when_no_engine_has_its_weights() {
    let (_, answer) = harm_mid_stream(slow(), |fleet, busy| {
        for (index, engine) in fleet.engines.iter().enumerate() {
            if index != busy {
                put(engine.address(), "/weights", &json!({ "dga": ["v2"] }));
            }
        }
        until("the change is seen", || {
            fleet.status(0)["servers"][1 - busy]["weights"]["dga"] == json!(["v2"])
        });
        fleet.engines[busy].kill();
    });
    assert!(answer.body.contains("event: error"), "{}", answer.body);
    assert!(answer_text("slow", 40).starts_with(&answer.text()), "nothing of other weights");
}

fn imported(fleet: &Fleet) -> u64 {
    let count = |engine: &Process| {
        let counts = call(Method::Get, engine.address(), "/counts", &[], "");
        counts.expect("it answers").json()["imported"].as_u64().unwrap_or(0)
    };
    fleet.engines.iter().map(count).sum()
}

/// A prompt of 39 blocks, and a fleet whose engines import a block in 0.1 ms.
fn importing() -> (Fleet, String) {
    let engine_args = vec!["--import-ms", "0.1", "--prefill-tokens-per-s", "20000"];
    let fleet = Fleet::start(Plan { daemons: 1, engine_args, ..Plan::default() });
    (fleet, "long ".repeat(8_000))
}

/// The engine that answered.
fn server(answer: &common::Answer) -> usize {
    usize::from(answer.header("x-cardamomvalve-server") == "engine-1")
}

#[test]
fn import_from_a_leaving_holder() {
    let (fleet, prompt) = importing();
    let first = fleet.complete(0, &prompt, 1, false).expect("an answer");
    let holder = server(&first);
    put(fleet.engines[holder].address(), "/leave", &json!({}));
    until("the daemon knows", || fleet.status(0)["servers"][holder]["leaving"] == true);
    let second = fleet.complete(0, &prompt, 5, true).expect("an answer");
    assert_ne!(server(&second), holder);
    assert_whole(&second, &prompt, 5);
    assert_eq!(imported(&fleet), 39);
}

#[test]
fn import_from_a_restarted_holder_is_computed() {
    let (mut fleet, prompt) = importing();
    let first = fleet.complete(0, &prompt, 1, false).expect("an answer");
    let holder = server(&first);
    put(fleet.engines[holder].address(), "/leave", &json!({}));
    until("the daemon knows", || fleet.status(0)["servers"][holder]["leaving"] == true);
    // It comes back cold at its address; whether or not the daemon knows, nothing is imported.
    let address = fleet.engines[holder].address().to_string();
    fleet.engines[holder].kill();
    let mut args = vec!["--weights", "dga=v1", "--listen", &address];
    args.extend(&fleet.plan.engine_args);
    fleet.engines[holder] = Process::start("standin-engine", &args);
    let second = fleet.complete(0, &prompt, 5, true).expect("an answer");
    assert_whole(&second, &prompt, 5);
    assert_eq!(imported(&fleet), 0);
}

#[test]
fn workspaces_share_no_cache() {
    let fleet = Fleet::start(Plan { engines: 1, daemons: 1, ..Plan::default() });
    let mut both = common::manifest();
    both["workspaces"]["court"]["models"] = json!(["dga"]);
    fleet.publish(&both).expect("it is published");
    until("it is in force", || fleet.status(0)["generation"] == 2);
    let prompt = "same ".repeat(2_000);
    let cached = |key: &str| {
        let body = json!({ "model": "dga", "prompt": prompt, "max_tokens": 1 });
        let key = format!("Bearer {key}");
        let headers = [("authorization", key.as_str())];
        let answer =
            call(Method::Post, fleet.entry(0), "/v1/completions", &headers, &body.to_string());
        let usage = answer.expect("an answer").json()["usage"].clone();
        usage["prompt_tokens_details"]["cached_tokens"].as_u64()
    };
    assert_eq!(cached(LAB), Some(0));
    assert_eq!(cached(LAB), Some(2_304));
    assert_eq!(cached(common::COURT), Some(0), "another workspace's blocks");
}

/// Asks the first daemon for a stream on a connection of its own, with more lines of `head`.
fn open_stream(fleet: &Fleet, max_tokens: u32, head: &str) -> TcpStream {
    let body = json!({ "model": "dga", "prompt": "p", "max_tokens": max_tokens, "stream": true });
    let body = body.to_string();
    let entry = fleet.entry(0);
    let mut stream = TcpStream::connect(entry).expect("it accepts");
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {LAB}\r\n{head}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("it reads");
    stream
}

#[test]
fn caller_who_leaves_is_cancelled() {
    let fleet = Fleet::start(Plan { engines: 1, ..slow() });
    let mut stream = open_stream(&fleet, 100_000, "");
    stream.read_exact(&mut [0; 64]).expect("it answers");
    drop(stream);
    until("the engine's stream ends", || {
        let counts = call(Method::Get, fleet.engines[0].address(), "/counts", &[], "");
        counts.is_ok_and(|counts| counts.json()["cancelled"] == 1)
    });
    until("nothing is open", || fleet.status(0)["open"] == 0);
}

#[test]
fn slow_caller_gets_it_whole() {
    let plan = Plan { daemons: 1, engine_args: vec!["--token-ms", "0"], ..Plan::default() };
    let fleet = Fleet::start(plan);
    let mut stream = open_stream(&fleet, 3_000, "connection: close\r\n");
    // Others are served while this one does not read.
    for _ in 0..5 {
        assert_eq!(fleet.complete(0, "other", 2, false).expect("an answer").status, 200);
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("it answers");
    let chunks = answer.matches("\"text\":").count();
    assert_eq!(chunks, 3_000);
    assert!(answer.contains("data: [DONE]"));
}
