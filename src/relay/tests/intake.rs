//! Tests of how requests are read: what is kept of them, and what becomes of callers that send too much.

use std::io::{Read, Write};
use std::thread;

use super::fixture::{Caller, Daemon, READ_TIMEOUT, answer_each};
use crate::fleet::Message;
use crate::http::header;
use crate::memory::Holding;
use crate::prelude::*;

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const GET: &str = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
/// More than a caller may send ahead of its turn.
const AHEAD_BYTES: usize = 256 << 10;
/// A legal body that is more than a small part of the memory.
const BODY_BYTES: usize = 1 << 20;

/// The head of a request with a body for a host that has a route, or for another.
fn head(host: &str, body_bytes: usize) -> String {
    format!("POST / HTTP/1.1\r\nHost: {host}\r\nContent-Length: {body_bytes}\r\n\r\n")
}

/// Takes all memory that large requests and answers may have.
fn take_memory(daemon: &Daemon) -> Holding {
    let holding = daemon.frontend.account.begin();
    holding.set(64_000_000).ok();
    holding
}

/// Checks that no more bytes come, and that the connection has ended without a reset.
fn assert_ended(caller: &mut Caller) {
    caller.stream.set_nonblocking(false).expect("the connection is open");
    caller.stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the time is not zero");
    assert_eq!(caller.stream.read(&mut [0]).expect("no reset"), 0);
}

#[test]
fn serve_request_without_a_route_drops_its_body_and_keeps_the_connection() {
    let daemon = Daemon::start(false);
    let mut caller = Caller::connect(daemon.entry);
    caller.send(&head("b.example", BODY_BYTES));
    caller.send(&"b".repeat(BODY_BYTES - 1));
    thread::sleep(Duration::from_millis(100));
    assert!(daemon.frontend.account.held_bytes() < BODY_BYTES / 4);
    caller.send("b");
    let refusal = caller.read_head();
    assert_eq!(refusal.status, Code::UnknownPath.row().status);
    assert!(caller.read_body(&refusal).1);
    caller.send(GET);
    let (server, _) = answer_each(ANSWER);
    daemon.send_to(server);
    assert_eq!(caller.read_head().status, 200);
}

#[test]
fn serve_request_without_a_route_that_waits_to_send_its_body_is_refused() {
    let daemon = Daemon::start(false);
    let mut caller = Caller::connect(daemon.entry);
    let asking = head("b.example", 9).replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
    caller.send(&asking);
    let refusal = caller.read_head();
    assert_eq!((refusal.status, refusal.keep_alive), (Code::UnknownPath.row().status, true));
    assert!(caller.read_body(&refusal).1);
    assert_ended(&mut caller);
}

#[test]
fn serve_caller_that_sends_ahead_without_end_has_its_answer_and_then_the_end() {
    let daemon = Daemon::start(false);
    let (server, _) = answer_each(ANSWER);
    let mut caller = Caller::connect(daemon.entry);
    caller.send(GET);
    let (_, commands) = daemon.receive_arrival();
    caller.send(&"x".repeat(AHEAD_BYTES));
    thread::sleep(Duration::from_millis(100));
    assert!(daemon.frontend.account.held_bytes() < AHEAD_BYTES / 2);
    super::fixture::give(&commands, super::delivery::dispatch(1, server));
    let answer = caller.read_head();
    assert_eq!(caller.read_body(&answer), ("whole".to_owned(), true));
    assert_ended(&mut caller);
}

#[test]
fn serve_caller_that_sent_ahead_and_disconnects_ends_its_request() {
    let daemon = Daemon::start(false);
    let mut caller = Caller::connect(daemon.entry);
    caller.send(GET);
    let (_arrival, _commands) = daemon.receive_arrival();
    caller.stream.set_nonblocking(false).expect("the connection is open");
    caller.stream.write_all(&vec![b'x'; AHEAD_BYTES]).expect("the daemon reads");
    drop(caller);
    assert!(matches!(daemon.receive_message(), Message::Cancel(_)));
}

#[test]
fn serve_body_without_memory_is_refused_as_not_run() {
    let daemon = Daemon::start(false);
    let taken = take_memory(&daemon);
    let mut caller = Caller::connect(daemon.entry);
    caller.send(&head("a.example", BODY_BYTES));
    caller.send(&"b".repeat(BODY_BYTES));
    let refusal = caller.read_head();
    assert_eq!((refusal.status, refusal.keep_alive), (503, false));
    assert_eq!(refusal.fields.get(header::EXECUTION), Some("not-run"));
    assert_eq!(refusal.fields.get("retry-after"), Some("1.00"));
    assert!(caller.read_body(&refusal).1);
    assert_ended(&mut caller);
    drop(taken);
    let mut next = Caller::connect(daemon.entry);
    next.send(&head("a.example", BODY_BYTES));
    next.send(&"b".repeat(BODY_BYTES));
    let (server, _) = answer_each(ANSWER);
    daemon.send_to(server);
    assert_eq!(next.read_head().status, 200);
}

#[test]
fn serve_small_request_while_large_ones_have_all_memory() {
    let daemon = Daemon::start(false);
    let holding = daemon.frontend.account.begin();
    assert!(holding.set(48_000_000).is_ok(), "all that is not for small ones");
    let (server, _) = answer_each(ANSWER);
    let mut caller = Caller::connect(daemon.entry);
    caller.send(&head("a.example", 4));
    caller.send("body");
    daemon.send_to(server);
    assert_eq!(caller.read_head().status, 200);
}

#[test]
fn serve_body_over_the_limit_is_refused_and_the_refusal_outlives_what_still_comes() {
    let daemon = Daemon::start(false);
    let mut caller = Caller::connect(daemon.entry);
    caller.send(&head("a.example", 100 * BODY_BYTES));
    caller.send(&"b".repeat(2 * BODY_BYTES));
    let refusal = caller.read_head();
    assert_eq!(refusal.status, Code::BodyTooLarge.row().status);
    assert!(caller.read_body(&refusal).1);
    assert_ended(&mut caller);
}

#[test]
fn relay_answer_without_memory_is_passed_on_whole() {
    let framings = [
        format!("Content-Length: {BODY_BYTES}\r\n\r\n{}", "b".repeat(BODY_BYTES)),
        format!(
            "Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{}\r\n0\r\n\r\n",
            "b".repeat(BODY_BYTES)
        ),
    ];
    for framing in framings {
        let daemon = Daemon::start(false);
        let _taken = take_memory(&daemon);
        let (server, _) = answer_each(format!("HTTP/1.1 200 OK\r\n{framing}"));
        let mut caller = Caller::connect(daemon.entry);
        caller.send(GET);
        daemon.send_to(server);
        let answer = caller.read_head();
        let (body, is_complete) = caller.read_body(&answer);
        assert!(is_complete && body == "b".repeat(BODY_BYTES), "{}", body.len());
        caller.send(GET);
        daemon.wait_for_end();
        let (again, _) = answer_each(ANSWER);
        daemon.send_to(again);
        assert_eq!(caller.read_head().status, 200, "the connection is kept");
    }
}

#[test]
fn relay_answer_without_memory_that_is_cut_does_not_look_complete() {
    let framings = [
        format!("Content-Length: {}\r\n\r\n{}", 2 * BODY_BYTES, "b".repeat(BODY_BYTES)),
        format!(
            "Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n{}\r\n",
            "b".repeat(BODY_BYTES)
        ),
    ];
    for framing in framings {
        let daemon = Daemon::start(false);
        let _taken = take_memory(&daemon);
        let server = super::fixture::listen(move |mut stream| {
            super::fixture::read_request(&mut stream).expect("a request arrives");
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}").as_bytes()).ok();
        });
        let mut caller = Caller::connect(daemon.entry);
        caller.send(GET);
        daemon.send_to(server);
        let answer = caller.read_head();
        assert!(!caller.read_body(&answer).1);
        assert_ended(&mut caller);
        // No other attempt follows what the caller has of this one.
        daemon.wait_for_end();
    }
}
