//! Streams that callers take up after a position.

use super::*;

/// A caller that has the first event takes its stream up.
const TAKEUP: &[u8] = b"GET / HTTP/1.1\r\nHost: a.example\r\nLast-Event-Id: 1\r\n\r\n";

/// Has a server answer the takeup with `body`, without a length or chunks.
fn take_up(body: &str) -> (Fixture, Sender<Command>) {
    let fixture = Fixture::start_request(TAKEUP, true);
    let (_, commands) = fixture.receive_arrival();
    let server = serve_once(format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes());
    commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
    (fixture, commands)
}

// The position of the caller counted as an event of the answer, which had none.
#[test]
fn relay_unframed_stream_taken_up_that_brings_nothing_is_not_complete() {
    for body in ["", "\n", ": ping\n\n", EVENTS[0]] {
        let (mut fixture, commands) = take_up(body);
        let mut report = fixture.receive_report();
        if report == (1, Report::Begun(None)) {
            report = fixture.receive_report();
        }
        assert_eq!(report, (1, Report::Lost(Loss::Connection)), "{body:?}");
        let rest = dispatch(2, serve_stream(&EVENTS));
        commands.try_send(rest).expect("the delivery awaits a command");
        let received = String::from_utf8(fixture.body()).expect("the events are text");
        let events = received.trim_start_matches(": ping\n\n");
        assert_eq!(events, EVENTS[1..].concat(), "{body:?}");
    }
}

#[test]
fn relay_unframed_stream_taken_up_that_brings_the_rest_is_complete() {
    let (mut fixture, _commands) = take_up(&EVENTS[1..].concat());
    let received = String::from_utf8(fixture.body()).expect("the events are text");
    assert_eq!(received, EVENTS[1..].concat());
}

// A server whose caller has all events states the end by a length or a last chunk.
#[test]
fn relay_framed_stream_taken_up_that_brings_nothing_is_complete() {
    let mut fixture = Fixture::start_request(TAKEUP, true);
    let (_, commands) = fixture.receive_arrival();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let server = serve_once(head.as_bytes().to_vec());
    commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
    assert_eq!(fixture.body(), b"");
}
