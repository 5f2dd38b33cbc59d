//! Tests of the matching of answers to requests, on connections of servers and of peers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use super::fixture::{
    Caller, Daemon, REQUEST_ID, give, hand_over, listen, read_request, receive_end, send_through,
};
use crate::fleet::{HandoverEnd, Loss, Message, Report};
use crate::prelude::*;

/// An answer to another request.
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 7\r\n\r\nforeign";
/// Bytes that are no answer.
const NOISE: &str = "\x16\x03\x01 no answer\r\nHTTP/x\r\n\r\n";

/// The head of a request of a caller that waits for 2 s.
fn request(method: &str, id: &str) -> String {
    format!(
        "{method} / HTTP/1.1\r\nHost: a.example\r\n{REQUEST_ID}: {id}\r\nX-Timeout-Ms: 2000\r\n\r\n"
    )
}

fn answer_to(id: &str) -> String {
    let body = format!("to {id}");
    format!("HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn id_of(request: &str) -> &str {
    let field = format!("{REQUEST_ID}: ");
    request.lines().find_map(|line| line.strip_prefix(field.as_str())).expect("it has an id")
}

/// Starts a server that answers each request, after what `before` returns for the number of the request on its connection.
/// Returns its address and the number of accepted connections.
fn start_server(
    before: impl Fn(usize) -> String + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    let address = listen(move |mut stream: TcpStream| {
        count.fetch_add(1, Ordering::AcqRel);
        let mut number = 0;
        while let Some(request) = read_request(&mut stream) {
            let text = format!("{}{}", before(number), answer_to(id_of(&request)));
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            number += 1;
        }
    });
    (address, accepted)
}

/// Sends a request through `daemon` to `server` and returns the body of the answer.
fn ask(daemon: &Daemon, server: SocketAddr, method: &str, id: &str) -> String {
    let mut caller = Caller::connect(daemon.entry);
    caller.send(&request(method, id));
    daemon.send_to(server);
    let response = caller.read_head();
    assert_eq!((response.status, response.fields.get(REQUEST_ID)), (200, Some(id)));
    let body = if method == "HEAD" { String::new() } else { caller.read_body(&response).0 };
    daemon.wait_for_end();
    body
}

/// Waits for the report on an attempt that has no answer.
fn receive_report(daemon: &Daemon) -> Report {
    match daemon.receive_message() {
        Message::Report { report, .. } => report,
        other => panic!("expected a report: {other:?}"),
    }
}

#[test]
fn match_answer_after_foreign_answers_and_noise_on_a_kept_connection() {
    for before in
        [FOREIGN.to_owned(), FOREIGN.repeat(3), NOISE.to_owned(), NOISE.to_owned() + FOREIGN]
    {
        let daemon = Daemon::start(false);
        let (server, accepted) =
            start_server(move |number| if number == 0 { String::new() } else { before.clone() });
        for id in ["r-1", "r-2", "r-3"] {
            assert_eq!(ask(&daemon, server, "GET", id), format!("to {id}"));
        }
        assert_eq!(accepted.load(Ordering::Acquire), 1);
    }
}

#[test]
fn match_answer_after_a_foreign_answer_on_a_new_connection() {
    let daemon = Daemon::start(false);
    let (server, _) = start_server(|_| FOREIGN.to_owned());
    assert_eq!(ask(&daemon, server, "GET", "r-1"), "to r-1");
}

#[test]
fn match_answer_noise_on_a_new_connection_is_no_answer() {
    let daemon = Daemon::start(false);
    let (server, _) = start_server(|_| NOISE.to_owned());
    let caller = Caller::connect(daemon.entry);
    caller.send(&request("GET", "r-1"));
    daemon.send_to(server);
    assert_eq!(receive_report(&daemon), Report::Lost(Loss::InvalidAnswer));
}

#[test]
fn match_answer_foreign_answers_without_end_are_given_up() {
    let daemon = Daemon::start(false);
    let server = listen(|mut stream| {
        let flood = FOREIGN.repeat(1_000);
        while stream.write_all(flood.as_bytes()).is_ok() {}
    });
    let start = Instant::now();
    let caller = Caller::connect(daemon.entry);
    caller.send(&request("GET", "r-1"));
    daemon.send_to(server);
    assert_eq!(receive_report(&daemon), Report::Lost(Loss::InvalidAnswer));
    assert!(start.elapsed() < Duration::from_millis(900), "{:?}", start.elapsed());
}

#[test]
fn match_answer_without_an_own_one_is_given_up_after_half_of_the_time() {
    let daemon = Daemon::start(false);
    let server = listen(|mut stream| {
        stream.write_all(FOREIGN.as_bytes()).ok();
        while read_request(&mut stream).is_some() {}
    });
    let start = Instant::now();
    let caller = Caller::connect(daemon.entry);
    caller.send(&request("GET", "r-1"));
    daemon.send_to(server);
    assert_eq!(receive_report(&daemon), Report::Lost(Loss::InvalidAnswer));
    let took = start.elapsed();
    assert!(took > Duration::from_millis(900) && took < Duration::from_millis(1_900), "{took:?}");
}

#[test]
fn take_second_attempt_of_a_request_has_another_connection() {
    let daemon = Daemon::start(false);
    let (server, accepted) = start_server(|_| String::new());
    assert_eq!(ask(&daemon, server, "GET", "r-1"), "to r-1");
    assert_eq!(ask(&daemon, server, "GET", "r-1"), "to r-1");
    assert_eq!(accepted.load(Ordering::Acquire), 2);
    assert_eq!(ask(&daemon, server, "GET", "r-2"), "to r-2");
    assert_eq!(accepted.load(Ordering::Acquire), 2);
}

#[test]
fn release_connection_that_carried_head_is_closed() {
    let daemon = Daemon::start(false);
    let (server, accepted) = start_server(|_| String::new());
    ask(&daemon, server, "HEAD", "r-1");
    assert_eq!(ask(&daemon, server, "GET", "r-2"), "to r-2");
    assert_eq!(accepted.load(Ordering::Acquire), 2);
}

#[test]
fn put_connection_is_closed_after_its_last_request() {
    let daemon = Daemon::start(false);
    let (server, accepted) = start_server(|_| String::new());
    for number in 0..=256 {
        let id = format!("r-{number}");
        assert_eq!(ask(&daemon, server, "GET", &id), format!("to {id}"));
    }
    assert_eq!(accepted.load(Ordering::Acquire), 2);
}

#[test]
fn hand_over_answer_of_an_earlier_request_is_discarded() {
    let daemon = Daemon::start(false);
    // `read_request` asks for the body first, so the earlier answer follows that.
    let (peer, accepted) =
        start_server(|number| if number == 0 { String::new() } else { FOREIGN.to_owned() });
    for id in ["r-1", "r-2"] {
        let (mut caller, _commands) = send_through(&daemon, peer, &request("GET", id));
        let response = caller.read_head();
        assert_eq!(response.fields.get(REQUEST_ID), Some(id));
        assert_eq!(caller.read_body(&response).0, format!("to {id}"));
        assert_eq!(receive_end(&daemon), (1, HandoverEnd::Answered));
        daemon.wait_for_end();
    }
    assert_eq!(accepted.load(Ordering::Acquire), 1);
}

// A copy of the peer's first refusal must not pass for its second one, after which the request would run elsewhere, too.
#[test]
fn hand_over_twice_to_a_peer_takes_two_connections() {
    let daemon = Daemon::start(false);
    let refusal = format!(
        "HTTP/1.1 503 Busy\r\n{REQUEST_ID}: r-1\r\nx-cardamomvalve-code: 2012\r\n\
         x-cardamomvalve-execution: not-run\r\nContent-Length: 0\r\n\r\n"
    );
    let connections = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&connections);
    let peer = listen(move |mut stream| {
        count.fetch_add(1, Ordering::AcqRel);
        while read_request(&mut stream).is_some() {
            stream.write_all(refusal.as_bytes()).ok();
        }
    });
    let (_caller, commands) = send_through(&daemon, peer, &request("GET", "r-1"));
    assert_eq!(receive_end(&daemon), (1, HandoverEnd::NotTaken));
    give(&commands, hand_over(2, peer));
    assert_eq!(receive_end(&daemon), (2, HandoverEnd::NotTaken));
    assert_eq!(connections.load(Ordering::Acquire), 2);
}
