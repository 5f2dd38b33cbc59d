//! Tests of request parsing, merged answers and late service calls.

use std::net::TcpListener;

use async_io::block_on;
use http_types::{Method, Request};
use quickcheck::quickcheck;
use serde_json::json;

use super::openai::{Completion, Kind, chunk_text, merged_answer, prompt};
use super::{Call, Entry};
use crate::attempt::{self, Dispatch, Outcome};
use crate::daemon::Control;
use crate::http::server::Received;
use crate::manifest::{self, Revision};
use crate::membership;
use crate::prelude::*;
use crate::settings::Settings;
use crate::telemetry::metrics::Metrics;
use crate::telemetry::trace::Hop;

#[test]
fn parse_refuses_each_fault() {
    let cases = [
        (Kind::Text, json!({ "prompt": "p" }), "model"),
        (Kind::Text, json!({ "model": "m" }), "prompt"),
        (Kind::Text, json!({ "model": "m", "prompt": ["p"] }), "prompt"),
        (Kind::Text, json!({ "model": "m", "prompt": "p", "stream": 1 }), "stream"),
        (Kind::Text, json!({ "model": "m", "prompt": "p", "n": 2 }), "n:"),
        (Kind::Text, json!({ "model": "m", "prompt": "p", "max_tokens": 0 }), "max_tokens"),
        (Kind::Chat, json!({ "model": "m", "messages": [] }), "messages"),
        (
            Kind::Chat,
            json!({ "model": "m", "messages": [{ "role": "user" }] }),
            "messages[0].content",
        ),
    ];
    for (kind, body, expected) in cases {
        let error = Completion::parse(kind, body.to_string().as_bytes()).expect_err(expected);
        assert!(error.detail.contains(expected), "{expected}: {}", error.detail);
    }
}

#[test]
fn prompt_of_chat_keeps_order() {
    let body = json!({ "messages": [
        { "role": "system", "content": "one" }, { "role": "user", "content": "two" },
    ] });
    assert_eq!(prompt(Kind::Chat, &body).as_deref(), Ok("system\none\nuser\ntwo\n"));
}

#[test]
fn merged_answer_keeps_last_chunk() {
    let chunk =
        json!({ "choices": [{ "text": "t", "finish_reason": "stop" }], "usage": { "x": 1 } });
    assert_eq!(chunk_text(Kind::Text, &chunk), "t");
    assert_eq!(chunk_text(Kind::Chat, &chunk), "");
    let answer = merged_answer(Kind::Text, "id", "m", "text", Some(&chunk));
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    assert_eq!(answer["usage"]["x"], 1);
}

/// Creates an entry whose control thread does not run.
fn entry() -> Entry {
    let settings = json!({
        "id": "router-0", "region": "r", "zone": "z",
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0",
        "log_service": "127.0.0.1:1", "vm_list": "127.0.0.1:1",
    });
    let settings =
        Settings::parse(settings.to_string().as_bytes()).expect("the settings are valid");
    let metrics = Arc::new(Metrics::new().expect("instruments can be created"));
    Entry::new(&settings, Control::new().0, metrics, &Arc::default(), Arc::default())
}

#[test]
fn send_call_late_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port exists");
    let address = listener.local_addr().expect("a bound listener has an address");
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    let manifest = json!({ "format": 1, "pools": {}, "workspaces": {} }).to_string();
    let manifest = manifest::parse(manifest.as_bytes()).expect("the manifest is valid");
    let call = Call {
        received: Received {
            request: Request::new(Method::Post, "http://localhost/services/pay/x"),
            body: b"payment".to_vec(),
            close: false,
        },
        force: Arc::new(Revision::new(1, String::new(), manifest)),
        workspace: "w".into(),
        hop: Hop::root("entry", None),
        arrived_at: Time::ZERO,
    };
    let dispatch = Dispatch {
        attempt: 1,
        server: membership::Key::default(),
        id: "service-0".into(),
        address,
        incarnation: None,
        resume: false,
        import: None,
        deadline: Time::ZERO,
    };
    let entry = entry();
    let (outcome, answer) =
        block_on(entry.send_call(&call, "/x", attempt::Key(0), &dispatch, &call.hop));
    assert_eq!(outcome, Outcome::Late);
    assert!(answer.is_none());
    assert!(listener.accept().is_err(), "a late call must not open a connection");
}

/// With a manifest whose workspaces have no key, requests with any key are to be refused.
#[test]
fn authenticate_without_any_key_is_refused() {
    let workspace = json!({
        "keys_sha256": [], "share": 1, "models": [], "services": [],
        "default_priority": "normal", "highest_priority": "urgent",
    });
    for workspaces in [json!({}), json!({ "lab": workspace })] {
        let manifest = json!({ "format": 1, "pools": {}, "workspaces": workspaces }).to_string();
        let manifest = manifest::parse(manifest.as_bytes()).expect("the manifest is valid");
        let force = Arc::new(Revision::new(1, String::new(), manifest));
        let mut request = Request::new(Method::Post, "http://localhost/v1/models");
        let workspace = |request: &Request| super::workspace_of(request, &force);
        assert_eq!(workspace(&request).map_err(|error| error.code), Err(Code::MissingKey));
        request.insert_header("authorization", "Bearer key-of-lab");
        assert_eq!(workspace(&request).map_err(|error| error.code), Err(Code::WrongKey));
    }
}

quickcheck! {
    fn parse_any_bytes(bytes: Vec<u8>) -> bool {
        Completion::parse(Kind::Chat, &bytes).is_err()
    }
}
