//! Streams that callers take up after a position, and streams that have no position after which they could go on.

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

/// Streams that break off after an event with data and without a number.
const UNNUMBERED: [&str; 4] = [
    "data: a\n\n",
    "event: piece\r\ndata: a\r\n\r\nid: 2\r\nda",
    "id: a1\ndata: a\n\n",
    "\u{feff}id: 1\ndata: a\n\n",
];

// The next server began the stream again, and the caller had these events twice.
#[test]
fn run_stream_without_a_position_is_not_resumed() {
    for begun in UNNUMBERED {
        let mut fixture = Fixture::start(true);
        let (_, commands) = fixture.receive_arrival();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", begun.len() + 9);
        let first = dispatch(1, serve_once(format!("{head}{begun}").into_bytes()));
        commands.try_send(first).expect("the delivery awaits a command");
        assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
        assert_eq!(fixture.receive_report(), (1, Report::Lost(Loss::Connection)));
        let second = dispatch(2, serve_stream(&EVENTS));
        commands.try_send(second).expect("the delivery awaits a command");
        let ended = fixture.inputs.recv_blocking().expect("the control thread is told");
        let is_end =
            matches!(&ended, Input::Message(message) if matches!(**message, Message::Cancel(_)));
        assert!(is_end, "{begun:?}: {ended:?}");
        let received = fixture.read_to_end();
        assert_eq!(received.matches("data: a").count(), 1, "{received}");
        assert!(!received.ends_with("0\r\n\r\n"), "{received}");
    }
}

// Comments are no piece, and an event after the last numbered one alone can come twice.
#[test]
fn run_stream_with_comments_or_earlier_unnumbered_events_is_resumed() {
    for begun in [": ping\n\n", "data: start\n\nid: 1\ndata: a\n\n", "retry: 5\n\n"] {
        let mut fixture = Fixture::start(true);
        let (_, commands) = fixture.receive_arrival();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", begun.len() + 9);
        let first = dispatch(1, serve_once(format!("{head}{begun}").into_bytes()));
        commands.try_send(first).expect("the delivery awaits a command");
        assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
        assert_eq!(fixture.receive_report(), (1, Report::Lost(Loss::Connection)));
        let second = dispatch(2, serve_stream(&EVENTS));
        commands.try_send(second).expect("the delivery awaits a command");
        let received = String::from_utf8(fixture.body()).expect("the events are text");
        assert!(received.starts_with(begun) && received.ends_with(EVENTS[2]), "{received}");
        assert_eq!(received.matches("data: a").count(), 1, "{received}");
    }
}
