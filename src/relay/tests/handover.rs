//! Tests of requests that one daemon hands over to another, or to a stand-in for one.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;

use rustix::net::sockopt;

use super::delivery::{dispatch, serve_until_unread};
use super::fixture::{
    CONTINUE, Caller, Daemon, REQUEST_ID, answer_each, give, hand_over, listen, read_request,
    receive_end, send_through, take_all,
};
use crate::fleet::{Command, HandoverEnd, Message, Report};
use crate::memory::Port;
use crate::prelude::*;
use crate::relay::*;
use crate::route::Repeat;

const GET: &str = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwhole";
const EVENTS: [&str; 3] = ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\ndata: c\n\n"];

fn own_answer(code: Code) -> String {
    let row = code.row();
    format!(
        "HTTP/1.1 {} {}\r\nx-cardamomvalve-execution: {}\r\nx-cardamomvalve-code: {}\r\n\
         Retry-After: 0.25\r\nContent-Length: 3\r\n\r\nown",
        row.status,
        row.name,
        row.execution.as_str(),
        row.number
    )
}

#[test]
fn hand_over_whole_answer_leaves_request_and_answer_unchanged() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let (server, requests) = answer_each(ANSWER);
    let request = "POST /p?q=1 HTTP/1.1\r\nHost: a.example\r\nX-Timeout-Ms: 5000\r\n\
        X-Custom: kept\r\nX-Hop: dropped\r\nConnection: X-Hop\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\nabc\r\n0\r\n\r\n";
    let mut caller = Caller::connect(first.entry);
    for _ in 0..2 {
        caller.send(request);
        let (_, commands) = first.receive_arrival();
        give(&commands, hand_over(1, second.handover));
        assert!(second.send_to(server).is_handed_over);
        let response = caller.read_head();
        assert_eq!((response.status, response.fields.get("x-seal")), (200, Some("s")));
        assert_eq!(caller.read_body(&response), ("whole".to_owned(), true));
        assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
        let received = requests.recv_blocking().expect("the server runs");
        let (head, body) = received.split_once("\r\n\r\n").expect("a head");
        assert_eq!(body, "abc");
        let (fields, timeout) = head.split_once("\r\nX-Timeout-Ms: ").expect("a timeout");
        assert_eq!(fields, "POST /p?q=1 HTTP/1.1\r\nHost: a.example\r\nX-Custom: kept");
        let timeout = timeout.lines().next().and_then(|ms| ms.parse::<u64>().ok());
        assert!(timeout.is_some_and(|ms| (1..=5_000).contains(&ms)), "{timeout:?}");
        second.wait_for_end();
    }
}

#[test]
fn hand_over_without_deadline_sets_none() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let (server, requests) = answer_each(ANSWER);
    let (mut caller, _commands) = send_through(&first, second.handover, GET);
    second.send_to(server);
    assert_eq!(caller.read_head().status, 200);
    assert_eq!(requests.recv_blocking().expect("the server runs"), GET);
}

#[test]
fn hand_over_reduces_deadline_by_the_time_that_has_passed() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let (server, requests) = answer_each(ANSWER);
    let caller = Caller::connect(first.entry);
    caller.send("GET / HTTP/1.1\r\nHost: a.example\r\nX-Timeout-Ms: 5000\r\n\r\n");
    let (_, commands) = first.receive_arrival();
    thread::sleep(Duration::from_millis(200));
    give(&commands, hand_over(1, second.handover));
    second.send_to(server);
    let received = requests.recv_blocking().expect("the server runs");
    let timeout = received.lines().find_map(|line| line.strip_prefix("X-Timeout-Ms: "));
    let timeout: u64 = timeout.and_then(|ms| ms.parse().ok()).expect("a timeout");
    assert!((1..=4_800).contains(&timeout), "{timeout}");
}

#[test]
fn hand_over_passes_server_failure_on() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let failure = "HTTP/1.1 500 Broken\r\nX-Seal: f\r\nContent-Length: 6\r\n\r\nfailed";
    let (server, _) = answer_each(failure);
    let (mut caller, _commands) = send_through(&first, second.handover, GET);
    let (_, commands) = second.receive_arrival();
    give(&commands, dispatch(1, server));
    let is_failed = |message| matches!(message, Message::Report { report: Report::Failed, .. });
    while !is_failed(second.receive_message()) {}
    give(&commands, Command::GiveUp);
    let response = caller.read_head();
    let text = (response.status, response.reason.as_str(), response.fields.get("x-seal"));
    assert_eq!(text, (500, "Broken", Some("f")));
    assert_eq!(caller.read_body(&response), ("failed".to_owned(), true));
    assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
}

// A peer of an older release passes on a server's answer that promises what the server does not say.
#[test]
fn hand_over_unconfirmed_refusal_of_a_request_that_runs_once_promises_nothing() {
    let failure = "HTTP/1.1 503 Broken\r\nX-Seal: f\r\nContent-Length: 6\r\n\r\nfailed";
    for (repeat, status) in [(Repeat::AtMostOnce, 502), (Repeat::Resumable, 503)] {
        let daemon = Daemon::start_for(repeat, false);
        let (peer, _) = answer_each(failure);
        let (mut caller, commands) = send_through(&daemon, peer, GET);
        let end = match repeat {
            Repeat::AtMostOnce => HandoverEnd::Lost,
            Repeat::Idempotent | Repeat::Resumable => HandoverEnd::Answered,
        };
        assert_eq!(receive_end(&daemon), (1, end));
        if end == HandoverEnd::Lost {
            give(&commands, Command::GiveUp);
        }
        assert_eq!(caller.read_head().status, status, "{repeat:?}");
    }
}

// An answer to HEAD may give the length of a body that does not follow.
#[test]
fn hand_over_answer_to_head_ends_with_its_head() {
    for streams in [true, false] {
        let (first, second) = (Daemon::start(streams), Daemon::start(streams));
        let (server, _) = answer_each("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        let mut caller = Caller::connect(first.entry);
        for _ in 0..2 {
            caller.send("HEAD / HTTP/1.1\r\nHost: a.example\r\n\r\n");
            let (_, commands) = first.receive_arrival();
            give(&commands, hand_over(1, second.handover));
            second.send_to(server);
            let response = caller.read_head();
            assert_eq!((response.status, response.fields.get("content-length")), (200, Some("5")));
            assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
            second.wait_for_end();
        }
    }
}

#[test]
fn hand_over_refused_by_peer_goes_to_another() {
    let codes = [
        Code::HandoverRefused,
        Code::ServersUnreachable,
        Code::RetriesExhausted,
        Code::NoManifest,
        Code::Draining,
        Code::UnknownPath,
        Code::WrongKey,
        Code::MalformedRequest,
        Code::BodyTooLarge,
        Code::HeadTooLarge,
        Code::HeadTimeout,
    ];
    for code in codes {
        let (first, second) = (Daemon::start(false), Daemon::start(false));
        let (server, _) = answer_each(ANSWER);
        let (refusing, _) = answer_each(own_answer(code));
        let (mut caller, commands) = send_through(&first, refusing, GET);
        assert_eq!(receive_end(&first), (1, HandoverEnd::NotTaken), "{code}");
        give(&commands, hand_over(2, second.handover));
        second.send_to(server);
        assert_eq!(caller.read_head().status, 200, "{code}");
        assert_eq!(receive_end(&first), (2, HandoverEnd::Answered), "{code}");
    }
}

#[test]
fn hand_over_refused_by_real_peer_is_not_taken() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let (_caller, _commands) = send_through(&first, second.handover, GET);
    let (_, commands) = second.receive_arrival();
    give(&commands, Command::Refuse(Code::HandoverRefused, Duration::ZERO));
    assert_eq!(receive_end(&first), (1, HandoverEnd::NotTaken));
}

#[test]
fn hand_over_not_taken_leaves_request_not_run() {
    let first = Daemon::start(false);
    let (refusing, _) = answer_each(own_answer(Code::HandoverRefused));
    let request = "GET / HTTP/1.1\r\nHost: a.example\r\nX-Timeout-Ms: 300\r\n\r\n";
    let (mut caller, _commands) = send_through(&first, refusing, request);
    assert_eq!(receive_end(&first), (1, HandoverEnd::NotTaken));
    let response = caller.read_head();
    assert_eq!(response.fields.get("x-cardamomvalve-execution"), Some("not-run"));
}

#[test]
fn hand_over_passes_peers_decision_on() {
    for code in [Code::QueueFull, Code::NoServer, Code::OverQuota, Code::OutcomeUnknown] {
        let first = Daemon::start(false);
        let (peer, _) = answer_each(own_answer(code));
        let (mut caller, _commands) = send_through(&first, peer, GET);
        let response = caller.read_head();
        let number = code.row().number.to_string();
        assert_eq!(response.status, code.row().status);
        assert_eq!(response.fields.get("x-cardamomvalve-code"), Some(number.as_str()));
        assert_eq!(response.fields.get("retry-after"), Some("0.25"));
        assert_eq!(caller.read_body(&response), ("own".to_owned(), true));
        assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
    }
}

#[test]
fn hand_over_answer_of_nobody_is_lost() {
    let answers = [
        "HTTP/1.1 200 OK\r\nX-Unsigned: yes\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\nwithout a length",
        "no answer\r\n\r\n",
    ];
    for answer in answers {
        let first = Daemon::start(false);
        let (peer, _) = answer_each(answer);
        let (mut caller, commands) = send_through(&first, peer, GET);
        assert_eq!(receive_end(&first), (1, HandoverEnd::Lost), "{answer}");
        give(&commands, Command::GiveUp);
        assert_eq!(caller.read_head().status, 502);
    }
}

#[test]
fn hand_over_unreachable_peer_is_not_taken_and_not_sent() {
    let first = Daemon::start(false);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    let request = "GET / HTTP/1.1\r\nHost: a.example\r\nX-Timeout-Ms: 300\r\n\r\n";
    let (mut caller, _commands) = send_through(&first, address, request);
    assert_eq!(receive_end(&first), (1, HandoverEnd::NotTaken));
    let response = caller.read_head();
    assert_eq!(response.fields.get("x-cardamomvalve-execution"), Some("not-run"));
}

/// Peers that do not ask for the body, by the way in which they fail.
#[test]
fn hand_over_not_asked_for_body_is_not_taken_and_can_not_run() {
    let ends: [fn(&mut TcpStream); 4] = [
        |stream| stream.shutdown(Shutdown::Write).expect("the connection is open"),
        |stream| sockopt::set_socket_linger(stream, Some(Duration::ZERO)).expect("it can be set"),
        |stream| stream.write_all(ANSWER.as_bytes()).expect("the connection is open"),
        // A frozen peer sends nothing.
        |stream| assert_eq!(stream.read(&mut [0]).expect("no reset"), 0),
    ];
    for (number, end) in ends.into_iter().enumerate() {
        let first = Daemon::start(false);
        let (sender, heads) = async_channel::unbounded();
        let peer = listen(move |mut stream| {
            let mut head = [0; 4_096];
            let read = stream.read(&mut head).expect("a head arrives");
            sender.try_send(head[..read].to_vec()).expect("the test runs");
            end(&mut stream);
        });
        let request = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n";
        let (_caller, _commands) = send_through(&first, peer, request);
        assert_eq!(receive_end(&first), (1, HandoverEnd::NotTaken), "end {number}");
        let head = heads.recv_blocking().expect("a peer was asked");
        assert!(head.ends_with(b"Expect: 100-continue\r\n\r\n"), "{head:?}");
    }
}

#[test]
fn hand_over_connection_ended_after_body_is_lost() {
    for answer in ["", &ANSWER[..20], &ANSWER[..ANSWER.len() - 1]] {
        let first = Daemon::start(false);
        let peer = listen(move |mut stream| {
            read_request(&mut stream).expect("a request arrives");
            stream.write_all(answer.as_bytes()).expect("the connection is open");
        });
        let (mut caller, commands) = send_through(&first, peer, GET);
        assert_eq!(receive_end(&first), (1, HandoverEnd::Lost));
        give(&commands, Command::GiveUp);
        let response = caller.read_head();
        assert_eq!(response.status, 502);
        assert_eq!(response.fields.get("x-cardamomvalve-execution"), Some("unknown"));
    }
}

#[test]
fn hand_over_connection_reset_after_body_is_lost() {
    let first = Daemon::start(false);
    let peer = listen(|mut stream| {
        read_request(&mut stream).expect("a request arrives");
        sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("it can be set");
    });
    let (_caller, _commands) = send_through(&first, peer, GET);
    assert_eq!(receive_end(&first), (1, HandoverEnd::Lost));
}

// A peer that stops closes its idle connections. A request that crosses the close is sent again on a new one.
#[test]
fn hand_over_on_kept_connection_that_closes_uses_new_one() {
    let first = Daemon::start(false);
    let peer = listen(|mut stream| {
        read_request(&mut stream).expect("a request arrives");
        stream.write_all(ANSWER.as_bytes()).expect("it is open");
        stream.read_exact(&mut [0]).ok();
        stream.shutdown(Shutdown::Write).expect("the connection is open");
    });
    for _ in 0..2 {
        let (mut caller, _commands) = send_through(&first, peer, GET);
        assert_eq!(caller.read_head().status, 200);
        assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
        first.wait_for_end();
    }
}

#[test]
fn hand_over_bytes_after_answer_belong_to_no_request() {
    let first = Daemon::start(false);
    let (peer, _) = answer_each(format!("{ANSWER}{ANSWER}"));
    let mut caller = Caller::connect(first.entry);
    for _ in 0..3 {
        caller.send(GET);
        let (_, commands) = first.receive_arrival();
        give(&commands, hand_over(1, peer));
        let response = caller.read_head();
        assert_eq!(caller.read_body(&response), ("whole".to_owned(), true));
        assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
    }
    let error = caller.stream.peek(&mut [0]).expect_err("no more bytes arrive");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

#[test]
fn hand_over_request_of_peer_is_not_handed_on() {
    let (first, second, third) = (Daemon::start(false), Daemon::start(false), Daemon::start(false));
    let (mut caller, _commands) = send_through(&first, second.handover, GET);
    let (_, commands) = second.receive_arrival();
    give(&commands, hand_over(1, third.handover));
    assert_eq!(receive_end(&second), (1, HandoverEnd::NotTaken));
    give(&commands, Command::Refuse(Code::NoServer, Duration::ZERO));
    assert_eq!(caller.read_head().status, 503);
    assert_eq!(third.frontend.account.connections(Port::Handover), 0);
}

#[test]
fn hand_over_stream_passes_events_on_as_they_arrive() {
    let (first, second) = (Daemon::start(true), Daemon::start(true));
    let (next, nexts) = async_channel::unbounded::<()>();
    let server = listen(move |mut stream| {
        read_request(&mut stream).expect("a request arrives");
        let length = EVENTS.concat().len();
        let head = format!("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the connection is open");
        for event in EVENTS {
            nexts.recv_blocking().expect("the test runs");
            stream.write_all(event.as_bytes()).expect("the connection is open");
        }
        read_request(&mut stream);
    });
    let (mut caller, _commands) = send_through(&first, second.handover, GET);
    second.send_to(server);
    next.try_send(()).expect("the server waits");
    let response = caller.read_head();
    assert_eq!((response.framing, response.fields.get("x-seal")), (Framing::Chunked, Some("s")));
    let mut decoder = Decoder::new(response.framing);
    for event in EVENTS {
        assert_eq!(caller.read_some(&mut decoder), event);
        next.try_send(()).expect("the channel is open");
    }
    assert_eq!(caller.read_some(&mut decoder), "");
    assert!(decoder.is_complete());
    assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
}

#[test]
fn hand_over_stream_without_framing_is_passed_on() {
    for streams in [true, false] {
        let (first, second) = (Daemon::start(streams), Daemon::start(streams));
        let server = listen(|mut stream| {
            read_request(&mut stream).expect("a request arrives");
            let answer = format!("HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n{}", EVENTS.concat());
            stream.write_all(answer.as_bytes()).expect("the connection is open");
        });
        let (mut caller, _commands) = send_through(&first, second.handover, GET);
        second.send_to(server);
        let response = caller.read_head();
        assert_eq!(caller.read_body(&response), (EVENTS.concat(), true), "{streams}");
        assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
    }
}

#[test]
fn hand_over_resumed_stream_passes_callers_last_event_on() {
    let (first, second) = (Daemon::start(true), Daemon::start(true));
    let body = EVENTS[1..].concat();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (server, requests) = answer_each(answer);
    let request = "GET / HTTP/1.1\r\nHost: a.example\r\nLast-Event-Id: 1\r\n\r\n";
    let (mut caller, _commands) = send_through(&first, second.handover, request);
    second.send_to(server);
    let response = caller.read_head();
    assert_eq!(caller.read_body(&response), (body, true));
    assert_eq!(requests.recv_blocking().expect("the server runs"), request);
}

#[test]
fn hand_over_stream_cut_at_any_byte_is_truncated_after_a_whole_event() {
    let chunks: String =
        EVENTS.iter().map(|event| format!("{:x}\r\n{event}\r\n", event.len())).collect();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("{head}{chunks}0\r\n\r\n");
    let bounds: Vec<String> = (0..=EVENTS.len()).map(|count| EVENTS[..count].concat()).collect();
    for cut in 0..whole.len() {
        let first = Daemon::start(true);
        let part = whole[..cut].to_owned();
        let peer = listen(move |mut stream| {
            read_request(&mut stream).expect("a request arrives");
            // Pieces that the daemon reads one by one.
            stream.set_nodelay(true).expect("the connection is open");
            for piece in part.as_bytes().chunks(9) {
                stream.write_all(piece).expect("the connection is open");
                thread::sleep(Duration::from_millis(1));
            }
        });
        let (mut caller, commands) = send_through(&first, peer, GET);
        assert_eq!(receive_end(&first), (1, HandoverEnd::Lost), "cut after {cut} bytes");
        give(&commands, Command::GiveUp);
        let response = caller.read_head();
        let (body, is_complete) = caller.read_body(&response);
        if response.status == 200 {
            assert!(!is_complete && bounds.contains(&body), "cut after {cut} bytes: {body}");
        } else {
            assert_eq!(response.status, 502, "cut after {cut} bytes");
        }
    }
}

#[test]
fn hand_over_ends_when_caller_leaves() {
    for streams in [true, false] {
        let (first, second) = (Daemon::start(streams), Daemon::start(streams));
        let (left, is_left) = async_channel::bounded(1);
        let server = listen(move |mut stream| {
            read_request(&mut stream).expect("a request arrives");
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
            stream.write_all(format!("{head}{}", EVENTS[0]).as_bytes()).expect("it is open");
            left.try_send(read_request(&mut stream).is_none()).ok();
        });
        let (caller, _commands) = send_through(&first, second.handover, GET);
        second.send_to(server);
        assert!(matches!(second.receive_message(), Message::Report { .. }));
        drop(caller);
        assert!(is_left.recv_blocking().expect("the server runs"));
        second.wait_for_end();
        assert!(matches!(first.receive_message(), Message::Cancel(_)));
    }
}

#[test]
fn hand_over_ends_at_time_limit() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let (left, is_left) = async_channel::bounded(1);
    let server = listen(move |mut stream| {
        read_request(&mut stream).expect("a request arrives");
        left.try_send(read_request(&mut stream).is_none()).ok();
    });
    let request = "GET / HTTP/1.1\r\nHost: a.example\r\nX-Timeout-Ms: 300\r\n\r\n";
    let (mut caller, _commands) = send_through(&first, second.handover, request);
    second.send_to(server);
    let response = caller.read_head();
    let execution = response.fields.get("x-cardamomvalve-execution");
    assert_eq!((response.status, execution), (504, Some("unknown")));
    assert!(is_left.recv_blocking().expect("the server runs"));
}

#[test]
fn hand_over_closed_because_the_caller_reads_slowly_blames_nobody() {
    let first = Daemon::start(true);
    let (peer, is_unread, close) = serve_until_unread(CONTINUE);
    let (mut caller, _commands) = send_through(&first, peer, GET);
    is_unread.recv_blocking().expect("the peer runs");
    thread::sleep(Duration::from_millis(1_100));
    drop(close);
    let mut received = Vec::new();
    caller.stream.set_nonblocking(false).expect("the connection is open");
    caller.stream.read_to_end(&mut received).ok();
    assert!(!received.ends_with(b"0\r\n\r\n"), "the stream looks complete");
    let next = first.receive_message();
    assert!(matches!(next, Message::Cancel(_)), "{next:?}");
}

#[test]
fn hand_over_reuses_connections() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let (server, _) = answer_each(ANSWER);
    let accepted = || second.frontend.account.connections(Port::Handover);
    // A connection carries a request once only: a copy of the earlier answer would name it, too.
    for (id, connections) in [("r-1", 1), ("r-2", 1), ("r-3", 1), ("r-2", 2)] {
        let request = GET.replace("\r\n\r\n", &format!("\r\n{REQUEST_ID}: {id}\r\n\r\n"));
        let (mut caller, _commands) = send_through(&first, second.handover, &request);
        second.send_to(server);
        assert_eq!(caller.read_head().status, 200);
        assert_eq!(receive_end(&first), (1, HandoverEnd::Answered));
        first.wait_for_end();
        second.wait_for_end();
        assert_eq!(accepted(), connections, "{id}");
    }
}

#[test]
fn hand_over_beyond_peers_maximum_is_not_taken() {
    let (first, second) = (Daemon::start(false), Daemon::start(false));
    let _taken = take_all(&second.frontend.account, Port::Handover);
    for _ in 0..20 {
        let (caller, _commands) = send_through(&first, second.handover, GET);
        assert_eq!(receive_end(&first), (1, HandoverEnd::NotTaken));
        drop(caller);
        first.wait_for_end();
    }
}
