//! The whole path through real processes: callers, daemons, engines, services, operators.

mod common;

use cardamomvalve_standin::engine::answer_text;
use common::{COURT, Fleet, LAB, Plan, call, manifest, raw, until};
use http_types::Method;
use serde_json::{Value, json};

/// Code, status, path, authorization, further headers, body.
type Case<'a> = (u16, u16, &'a str, Option<&'a str>, &'a [(&'a str, &'a str)], &'a str);

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

#[test]
fn complete_streamed_whole_and_chat() {
    let fleet = Fleet::start(Plan::default());
    let streamed = fleet.complete(0, "prompt", 5, true).expect("an answer");
    assert_eq!(streamed.text(), answer_text("prompt", 5));
    assert_eq!(streamed.events().last(), Some(&"[DONE]"));
    assert_eq!(streamed.execution(), "done");
    let whole = fleet.complete(1, "prompt", 5, false).expect("an answer");
    assert_eq!(whole.text(), streamed.text());
    assert_eq!(whole.json()["usage"]["completion_tokens"], 5);
    let key = bearer(LAB);
    let headers = [("authorization", key.as_str())];
    let body = json!({ "model": "dga", "max_tokens": 2, "messages": [{ "role": "user", "content": "hello" }] });
    let chat =
        call(Method::Post, fleet.entry(0), "/v1/chat/completions", &headers, &body.to_string())
            .expect("an answer");
    assert_eq!(chat.json()["choices"][0]["message"]["content"], answer_text("user\nhello\n", 2));
    let models = call(Method::Get, fleet.entry(0), "/v1/models", &headers, "").expect("an answer");
    assert_eq!(models.json()["data"][0]["id"], "dga");
}

#[test]
fn refuse_numbered() {
    let fleet = Fleet::start(Plan { daemons: 1, ..Plan::default() });
    let entry = fleet.entry(0);
    let (lab, court) = (bearer(LAB), bearer(COURT));
    let ask = |path: &str, key: Option<&str>, extra: &[(&str, &str)], body: &str| {
        let mut headers: Vec<(&str, &str)> = extra.to_vec();
        headers.extend(key.map(|key| ("authorization", key)));
        call(Method::Post, entry, path, &headers, body).expect("an answer")
    };
    let completion = r#"{"model":"dga","prompt":"p"}"#;
    let path = "/v1/completions";
    let cases: [Case; 15] = [
        (1007, 401, path, None, &[], completion),
        (1008, 401, path, Some("Bearer other"), &[], completion),
        (1009, 404, path, Some(&lab), &[], r#"{"model":"none","prompt":"p"}"#),
        (1010, 403, path, Some(&court), &[], completion),
        (1010, 403, path, Some(&lab), &[], r#"{"model":"fees","prompt":"p"}"#),
        (1011, 404, "/services/none/x", Some(&lab), &[], "x"),
        (1012, 403, "/services/pay/x", Some(&court), &[], "x"),
        (1013, 404, "/v2/other", Some(&lab), &[], ""),
        (1014, 405, "/v1/models", Some(&lab), &[], "x"),
        (1001, 400, path, Some(&lab), &[], "{"),
        (1001, 400, path, Some(&lab), &[], r#"{"model":"dga"}"#),
        (1006, 400, path, Some(&lab), &[("x-priority", "high")], completion),
        (1006, 400, path, Some(&lab), &[("x-deadline-ms", "0")], completion),
        (1006, 400, path, Some(&lab), &[("x-prefix-levels", "9,5")], completion),
        (1006, 400, "/services/pay/x", Some(&lab), &[("idempotency-key", "")], "x"),
    ];
    for (code, status, path, key, extra, body) in cases {
        let answer = ask(path, key, extra, body);
        assert_eq!((answer.code(), answer.status), (code, status), "{path} {extra:?} {body}");
        assert_eq!(answer.execution(), "not-run");
        assert_eq!(answer.json()["error"]["code"], code);
    }
    assert!(fleet.runs().is_empty(), "no refused call reached a server");
}

#[test]
fn refuse_raw_framing() {
    let plan = Plan { daemons: 1, settings: json!({ "body_bytes": 1000 }), ..Plan::default() };
    let fleet = Fleet::start(plan);
    let entry = fleet.entry(0);
    let head = format!(
        "POST /services/pay/x HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {LAB}\r\n"
    );
    let many: String = (0..70).map(|number| format!("x-{number}: 1\r\n")).collect();
    let cases = [
        (1003, "content-length: 100\r\n\r\nshort".to_owned()),
        (1004, "content-length: 5\r\ncontent-length: 6\r\n\r\nhello!".to_owned()),
        (1001, "content-length: 5, 6\r\n\r\nhello!".to_owned()),
        (1001, "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\nhello".to_owned()),
        (1004, "transfer-encoding: gzip\r\n\r\nhello".to_owned()),
        (1003, "transfer-encoding: chunked\r\n\r\n5\r\nhel".to_owned()),
        (1002, "content-length: 1001\r\n\r\n".to_owned()),
        (1006, format!("{many}content-length: 1\r\n\r\nx")),
    ];
    for (code, rest) in cases {
        let answer = raw(entry, format!("{head}{rest}").as_bytes());
        let expected = format!("x-cardamomvalve-code: {code}\r\n");
        assert!(answer.contains(&expected), "{code} for {rest:?}: {answer}");
    }
    let absolute = format!(
        "POST http://other/services/pay/x HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {LAB}\r\ncontent-length: 1\r\n\r\nx"
    );
    assert!(raw(entry, absolute.as_bytes()).contains("x-cardamomvalve-code: 1005"));
    assert!(raw(entry, b"nonsense\r\n\r\n").contains("x-cardamomvalve-code: 1001"));
    assert!(fleet.runs().is_empty(), "no refused call reached a server");
}

#[test]
fn close_after_pipelined() {
    let fleet = Fleet::start(Plan { daemons: 1, ..Plan::default() });
    let entry = fleet.entry(0);
    let one = format!(
        "POST /services/pay/x HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {LAB}\r\ncontent-length: 1\r\n\r\n"
    );
    let answer = raw(entry, format!("{one}a{one}b").as_bytes());
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 1, "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    let reused = raw(entry, format!("{one}c").as_bytes());
    assert!(!reused.contains("connection: close"), "{reused}");
    assert_eq!(fleet.runs_of("b"), 0, "the second request was not run and not answered");
}

#[test]
fn limit_connections() {
    let plan = Plan { daemons: 1, settings: json!({ "connections": 2 }), ..Plan::default() };
    let fleet = Fleet::start(plan);
    let connect = || std::net::TcpStream::connect(fleet.entry(0)).expect("it accepts");
    until("a refusal", || {
        // Connections that have been idle for a while would make room.
        let _held = [connect(), connect()];
        fleet.complete(0, "p", 1, false).is_ok_and(|answer| answer.code() == 1016)
    });
    let idle = [connect(), connect()];
    until("an answer in the place of an idle connection", || {
        fleet.complete(0, "p", 1, false).is_ok_and(|answer| answer.status == 200)
    });
    drop(idle);
    until("an answer", || {
        fleet.complete(0, "p", 1, false).is_ok_and(|answer| answer.status == 200)
    });
}

#[test]
fn slow_writers_hold_only_their_connections() {
    use std::io::Write;
    let fleet = Fleet::start(Plan { daemons: 1, ..Plan::default() });
    let entry = fleet.entry(0);
    let head = format!(
        "POST /services/pay/x HTTP/1.1\r\nhost: {entry}\r\nauthorization: Bearer {LAB}\r\n"
    );
    let parts = ["POST /serv".to_owned(), format!("{head}content-length: 9\r\n\r\nhalf")];
    let held: Vec<_> = (0..60)
        .map(|index| {
            let mut stream = std::net::TcpStream::connect(entry).expect("it accepts");
            stream.write_all(parts[index % 2].as_bytes()).expect("it reads");
            stream
        })
        .collect();
    for _ in 0..10 {
        assert_eq!(fleet.complete(0, "p", 1, false).expect("an answer").status, 200);
    }
    assert!(fleet.runs().is_empty(), "half a call is not passed on");
    drop(held);
}

#[test]
fn service_passes_answers_on() {
    let fleet = Fleet::start(Plan { services: 2, ..Plan::default() });
    let answer = fleet.pay(0, None, "one").expect("an answer");
    assert_eq!((answer.status, answer.execution()), (200, "done"));
    assert_eq!(answer.json()["request"], "one");
    assert!(answer.header("x-cardamomvalve-server").starts_with("service-"));
    let keyed = fleet.pay(0, Some("k1"), "two").expect("an answer");
    let again = fleet.pay(0, Some("\"k1\""), "two").expect("an answer");
    assert_eq!(keyed.body, again.body);
    assert_eq!(again.header("idempotent-replayed"), "true");
    assert_eq!(fleet.runs_of("two"), 1);
    let other = fleet.pay(0, Some("k1"), "three").expect("an answer");
    assert_eq!((other.code(), other.status), (1015, 422));
}

#[test]
fn operators_look_and_change_nothing() {
    let fleet = Fleet::start(Plan::default());
    let operators = fleet.daemons[0].ready["operators"];
    let get = |path: &str| call(Method::Get, operators, path, &[], "").expect("an answer");
    assert_eq!(get("/healthz").status, 200);
    fleet.complete(0, &"x".repeat(10_000), 1, false).expect("an answer");
    let metrics = get("/metrics").body;
    for name in ["cardamomvalve_answers_total", "cardamomvalve_time_to_first_token_seconds_bucket"]
    {
        assert!(metrics.contains(name), "{name} in {metrics}");
    }
    assert_eq!(get("/status").json()["generation"], 1);
    assert_eq!(get("/elsewhere").status, 404);
    let question = json!({ "workspace": "lab", "model": "dga", "prompt": "x".repeat(10_000) });
    let before = get("/status").json()["arrived"].clone();
    let answer = call(Method::Post, operators, "/explain", &[], &question.to_string());
    let candidates = answer.expect("an answer").json()["candidates"].clone();
    assert_eq!(candidates.as_array().map(Vec::len), Some(2));
    assert_eq!(candidates[0]["cached_tokens"], 2304);
    assert_eq!(candidates[0]["cache_confidence"], 1.0);
    assert_eq!(get("/status").json()["arrived"], before);
}

/// Whether a request with a length has arrived whole, or will not.
fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, _)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    bytes.len() >= head.len() + 4 + length
}

#[test]
fn trace_every_hop() {
    let collector = std::net::TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = collector.local_addr().expect("an address").to_string();
    let (sender, received) = std::sync::mpsc::channel::<Vec<u8>>();
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        for mut stream in collector.incoming().flatten() {
            let mut bytes = Vec::new();
            let mut buffer = [0; 4096];
            while !is_whole(&bytes) {
                let count = stream.read(&mut buffer).unwrap_or(0);
                bytes.extend_from_slice(&buffer[..count]);
            }
            sender.send(bytes).ok();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
                .ok();
        }
    });
    let plan = Plan { daemons: 1, telemetry: json!({ "otlp": address }), ..Plan::default() };
    let fleet = Fleet::start(plan);
    fleet.complete(0, "p", 1, false).expect("an answer");
    fleet.pay(0, Some("k"), "b").expect("an answer");
    let mut seen = Vec::new();
    let hops = ["entry", "admission", "placement", "ledger", "dispatch", "stream"];
    until("a span for every hop", || {
        seen.extend(received.try_iter().flatten());
        let text = String::from_utf8_lossy(&seen);
        hops.iter().all(|hop| text.contains(hop))
    });
}

#[test]
fn trace_context_passed_on() {
    let collector = json!({ "otlp": "127.0.0.1:9" });
    for telemetry in [json!({}), collector] {
        let fleet = Fleet::start(Plan { daemons: 1, telemetry, ..Plan::default() });
        let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
        let parent = format!("00-{trace}-00f067aa0ba902b7-01");
        let key = bearer(LAB);
        let headers = [("authorization", key.as_str()), ("traceparent", parent.as_str())];
        let answer = call(Method::Post, fleet.entry(0), "/services/pay/x", &headers, "body");
        let passed = answer.expect("an answer").json()["trace"].to_string();
        assert!(passed.contains(trace), "{passed}");
    }
}

#[test]
fn serve_without_collector() {
    let telemetry = json!({ "otlp": "127.0.0.1:9" });
    let fleet = Fleet::start(Plan { daemons: 1, telemetry, ..Plan::default() });
    for _ in 0..20 {
        assert_eq!(fleet.complete(0, "p", 1, false).expect("an answer").status, 200);
    }
}

#[test]
fn publish_race_names_winner() {
    let fleet = Fleet::start(Plan { daemons: 1, engines: 1, services: 0, ..Plan::default() });
    let results: Vec<_> = std::thread::scope(|scope| {
        let publishers: Vec<_> =
            (0..4).map(|_| scope.spawn(|| fleet.publish(&manifest()))).collect();
        publishers.into_iter().map(|publisher| publisher.join().expect("it ends")).collect()
    });
    let generation = |index| fleet.status(index)["generation"].as_u64().unwrap_or(0);
    let won = results.iter().filter(|result| result.is_ok()).count() as u64;
    assert!(won >= 1, "{results:?}");
    until("the last winner's generation", || generation(0) == 1 + won);
    for (code, complaint) in results.into_iter().filter_map(Result::err) {
        assert_eq!(code, 5, "{complaint}");
        assert!(complaint.contains("published as"), "{complaint}");
    }
}

#[test]
fn publish_lost_answer_reads_back() {
    let fleet = Fleet::start(Plan { daemons: 1, engines: 1, services: 0, ..Plan::default() });
    common::put(fleet.log.address(), "/faults", &json!({ "mode": "lose-answers" }));
    let result = fleet.publish(&manifest());
    assert_eq!(result.as_deref().map(str::trim_end), Ok("Generation 2 is in force."));
    let mut invalid: Value = manifest();
    invalid["pools"]["model"]["max_in_flight"] = json!(0);
    assert_eq!(fleet.publish(&invalid).expect_err("it is refused").0, 4);
}
