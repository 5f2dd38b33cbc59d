//! Answers of servers that take a stream up, where only more of its events can follow.

use super::*;
use crate::fleet::Handover;

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

/// Answers that do not go on with a stream.
const OTHER_ANSWERS: [&str; 8] = [
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 201 Created\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 2\ndata: b\n\n",
    "HTTP/1.1 304 Not Modified\r\n\r\n",
    "HTTP/1.1 307 Elsewhere\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"id\": 2}\n\n",
];

/// Starts a stream whose server breaks off after the first event.
fn begin_stream() -> (Fixture, Sender<Command>) {
    let first = format!("{STREAM_HEAD}Content-Length: 100\r\n\r\n{}", EVENTS[0]);
    let fixture = Fixture::start(true);
    let (_, commands) = fixture.receive_arrival();
    let first = dispatch(1, serve_once(first.into_bytes()));
    commands.try_send(first).expect("the delivery awaits a command");
    assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
    assert_eq!(fixture.receive_report(), (1, Report::Lost(Loss::Connection)));
    (fixture, commands)
}

/// The head of such an answer stood inside the body of the stream.
#[test]
fn relay_resumed_stream_answered_otherwise_is_cut() {
    for other in OTHER_ANSWERS {
        let (mut fixture, commands) = begin_stream();
        let second = dispatch(2, serve_once(other.as_bytes().to_vec()));
        commands.try_send(second).expect("the delivery awaits a command");
        assert_eq!(fixture.receive_report(), (2, Report::Failed), "{other:?}");
        commands.try_send(Command::GiveUp).expect("the delivery awaits a command");
        let received = fixture.read_to_end();
        let (_, body) = received.split_once("\r\n\r\n").expect("the head of the stream");
        let only_event = format!("{:x}\r\n{}\r\n", EVENTS[0].len(), EVENTS[0]);
        assert_eq!(body, only_event, "{other:?}");
    }
}

#[test]
fn relay_resumed_stream_goes_on_after_another_answer() {
    for other in OTHER_ANSWERS {
        let (mut fixture, commands) = begin_stream();
        let second = dispatch(2, serve_once(other.as_bytes().to_vec()));
        commands.try_send(second).expect("the delivery awaits a command");
        assert_eq!(fixture.receive_report(), (2, Report::Failed), "{other:?}");
        let rest = EVENTS[1..].concat();
        // The parameters of the media type may differ.
        let head = "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\n";
        let whole = format!("{head}Content-Length: {}\r\n\r\n{rest}", rest.len());
        let third = dispatch(3, serve_once(whole.into_bytes()));
        commands.try_send(third).expect("the delivery awaits a command");
        assert_eq!(String::from_utf8_lossy(&fixture.body()), EVENTS.concat(), "{other:?}");
    }
}

// A peer is told the caller's position alone, and would begin the stream again.
#[test]
fn run_stream_that_has_begun_is_not_handed_over() {
    let (mut fixture, commands) = begin_stream();
    let peer = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    peer.set_nonblocking(true).expect("the listener can be polled");
    let address = peer.local_addr().expect("the listener is bound");
    let handover = Handover { attempt: 2, daemon: "peer-2".into(), address };
    commands.try_send(Command::HandOver(handover)).expect("the delivery awaits a command");
    let ended = fixture.inputs.recv_blocking().expect("the control thread is told");
    let is_end =
        matches!(&ended, Input::Message(message) if matches!(**message, Message::Cancel(_)));
    assert!(is_end, "{ended:?}");
    assert!(peer.accept().is_err(), "the request was offered to the peer");
    assert!(!fixture.read_to_end().ends_with("0\r\n\r\n"));
}

/// An error of the router would stand inside the body, too.
#[test]
fn relay_stream_refused_after_its_start_is_cut() {
    let (mut fixture, commands) = begin_stream();
    let refuse = Command::Refuse(Code::NoServer, Duration::from_secs(1));
    commands.try_send(refuse).expect("the delivery awaits a command");
    let received = fixture.read_to_end();
    assert_eq!(received.matches("HTTP/1.1").count(), 1, "{received}");
    assert!(!received.ends_with("0\r\n\r\n"), "{received}");
}
