//! Request bodies of any shape.

use quickcheck::quickcheck;
use serde_json::json;

use super::openai::{Completion, Kind, chunk_text, prompt, whole};

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
fn whole_joins_chunks() {
    let chunk =
        json!({ "choices": [{ "text": "t", "finish_reason": "stop" }], "usage": { "x": 1 } });
    assert_eq!(chunk_text(Kind::Text, &chunk), "t");
    assert_eq!(chunk_text(Kind::Chat, &chunk), "");
    let answer = whole(Kind::Text, "id", "m", "text", Some(&chunk));
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    assert_eq!(answer["usage"]["x"], 1);
}

quickcheck! {
    fn parse_any_bytes(bytes: Vec<u8>) -> bool {
        Completion::parse(Kind::Chat, &bytes).is_err()
    }
}
