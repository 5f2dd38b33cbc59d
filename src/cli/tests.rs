//! Tests of the generated pages, `trace` and `publish`.

use std::io::Write;

use super::publish::Publication;
use super::{Command, Options, Trace, run, tables};
use crate::manifest::{Body, FORMAT, Record};
use crate::prelude::*;

/// Asserts that a page has exactly the rows of `table`.
fn assert_page_matches(page: &str, table: &str) {
    for line in table.lines() {
        assert!(page.contains(line), "the page lacks this line: {line}");
    }
    let rows = |text: &str| text.lines().filter(|line| line.starts_with("| ")).count();
    assert_eq!(rows(page), rows(table), "the page and the code differ in their number of rows");
}

#[test]
fn codes_page_matches() {
    assert_page_matches(include_str!("../../docs/CODES.md"), &tables::codes(false));
}

#[test]
fn events_page_matches() {
    assert_page_matches(include_str!("../../docs/EVENTS.md"), &tables::events(false));
}

/// Runs `trace` for request `r-1` on files with these lines.
fn trace(files: &[&[&str]], json: bool) -> Result<String> {
    static NEXT_FILE: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let paths = files.iter().map(|lines| {
        let number = NEXT_FILE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let name = format!("cardamomvalve-trace-{}-{number}.log", std::process::id());
        let path = std::env::temp_dir().join(name);
        let mut file = std::fs::File::create(&path).expect("the temporary directory is writable");
        file.write_all(lines.join("\n").as_bytes()).expect("the temporary file is writable");
        path
    });
    let files: Vec<std::path::PathBuf> = paths.collect();
    let command = Command::Trace(Trace { request: "r-1".into(), files: files.clone(), json });
    let result = run(&Options { command });
    for file in files {
        std::fs::remove_file(file).ok();
    }
    result
}

const SENT: &str = r#"{"time":"2026-12-02T10:00:01.500Z","uptime_ms":1500,"daemon":"a","event":405,"name":"AttemptSent","request":"r-1","server":"s-1"}"#;
const ENDED: &str = r#"{"time":"2026-12-02T10:00:02.000Z","uptime_ms":2000,"daemon":"a","event":410,"name":"RequestEnded","request":"r-1","outcome":"cut"}"#;
const OTHER_REQUEST: &str = r#"{"time":"2026-12-02T10:00:01.600Z","uptime_ms":1600,"daemon":"a","event":405,"name":"AttemptSent","request":"r-2","server":"s-1"}"#;
const REMOVED: &str = r#"{"time":"2026-12-02T10:00:01.800Z","uptime_ms":9000,"daemon":"b","event":302,"name":"ServerRemoved","server":"s-1"}"#;
const OTHER_SERVER: &str = r#"{"time":"2026-12-02T10:00:01.810Z","uptime_ms":9010,"daemon":"b","event":302,"name":"ServerRemoved","server":"s-7"}"#;

fn event_names(text: &str) -> Vec<&str> {
    text.lines()
        .skip(1)
        .filter_map(|line| {
            line.split_whitespace().rev().find(|w| w.starts_with(char::is_uppercase))
        })
        .collect()
}

#[test]
fn trace_orders_lines_of_all_daemons_and_adds_related_events() {
    let text =
        trace(&[&[ENDED, "no log line", SENT, OTHER_REQUEST], &[REMOVED, OTHER_SERVER]], false);
    let text = text.expect("the request has log lines");
    assert_eq!(event_names(&text), ["AttemptSent", "ServerRemoved", "RequestEnded"], "{text}");
    assert!(text.contains("~    +300 ms  b"), "{text}");
    assert!(text.starts_with("request r-1: 2 lines of a, from 2026-12-02T10:00:01.500Z"), "{text}");
}

#[test]
fn trace_clock_jump_keeps_order() {
    let jumped = ENDED.replace("10:00:02.000Z", "11:06:42.000Z");
    let lines = [SENT, OTHER_REQUEST, OTHER_REQUEST, jumped.as_str()];
    let text = trace(&[&lines, &[REMOVED]], false).expect("the request has log lines");
    assert_eq!(event_names(&text), ["AttemptSent", "ServerRemoved", "RequestEnded"], "{text}");
    assert!(text.contains("    +500 ms  a"), "{text}");
}

#[test]
fn trace_as_json_keeps_every_field() {
    let text = trace(&[&[SENT, ENDED]], true).expect("the request has log lines");
    let lines: Vec<serde_json::Value> = serde_json::from_str(&text).expect("the output is JSON");
    assert_eq!(lines[0]["server"], "s-1");
    assert_eq!(lines[1]["outcome"], "cut");
    assert_eq!(lines.len(), 2);
}

#[test]
fn trace_unknown_request_is_an_error() {
    let error = trace(&[&[OTHER_REQUEST, "{}", "{\"time\":1}"]], false)
        .expect_err("no line names the request");
    assert_eq!(error.code, Code::RequestUnknown);
}

/// Encodes a manifest record with this id that replaces generation `replaces`.
fn record(id: &str, replaces: u64) -> String {
    let manifest = serde_json::json!({
        "format": 1,
        "pools": { "p": { "max_in_flight": 1, "max_waiting": 1 } },
        "models": {},
        "services": { "s": { "pool": "p", "default_deadline_ms": 1 } },
        "workspaces": {
            "w": {
                "keys_sha256": ["0".repeat(64)], "share": 1, "models": [], "services": ["s"],
                "default_priority": "normal", "highest_priority": "urgent",
            },
        },
    });
    Record { format: FORMAT, id: id.into(), body: Body::Publish { replaces, manifest } }.encode()
}

#[test]
fn publish_replaced_before_it_is_read_back_is_accepted() {
    // The publisher reads its own record and its successor in one read.
    let log = [record("first", 0), record("second", 1), record("late", 1)];
    let accepted = |id: &str| {
        let mut publication = Publication::new(id.into());
        for (offset, text) in (0..).zip(&log) {
            publication.fold(offset, text);
        }
        publication.accepted()
    };
    assert_eq!((accepted("first"), accepted("second"), accepted("late")), (Some(1), Some(2), None));
}
