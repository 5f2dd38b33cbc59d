//! Tests of the listener on which peers hand requests over.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::fixture::{Caller, Daemon, READ_TIMEOUT, take_all};
use crate::fleet::Command;
use crate::http::header;
use crate::memory::Port;
use crate::prelude::*;

#[test]
fn serve_peer_marks_requests() {
    let daemon = Daemon::start(false);
    let mut peer = TcpStream::connect(daemon.handover).expect("the daemon listens");
    peer.write_all(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n").expect("the connection is open");
    let (arrival, _commands) = daemon.receive_arrival();
    assert!(arrival.is_handed_over);
}

#[test]
fn serve_caller_cannot_mark_requests_as_handed_over() {
    let daemon = Daemon::start(false);
    let mut caller = Caller::connect(daemon.entry);
    caller.send(
        "GET / HTTP/1.1\r\nHost: a.example\r\nX-Handed-Over: true\r\nis_handed_over: 1\r\n\r\n",
    );
    let (arrival, commands) = daemon.receive_arrival();
    assert!(!arrival.is_handed_over);
    let refusal = Command::Refuse(Code::NoServer, Duration::ZERO);
    commands.try_send(refusal).expect("the delivery awaits a command");
    assert_eq!(caller.read_head().status, 503);
}

#[test]
fn serve_peer_beyond_maximum_is_refused_and_takes_nothing() {
    let daemon = Daemon::start(false);
    let taken = take_all(&daemon.frontend.account, Port::Handover);
    let mut peer = Caller::connect(daemon.handover);
    peer.send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    let answer = peer.read_head();
    assert_eq!((answer.status, answer.keep_alive), (503, false));
    assert_eq!(answer.fields.get(header::EXECUTION), Some("not-run"));
    assert_eq!(daemon.frontend.account.connections(Port::Handover), taken.len());
    drop(taken);
    let other = Caller::connect(daemon.handover);
    other.send("GET /other HTTP/1.1\r\nHost: a.example\r\nX-Id: r-2\r\n\r\n");
    let (arrival, _commands) = daemon.receive_arrival();
    assert_eq!(arrival.id, "r-2", "the refused one was not taken");
}

#[test]
fn serve_peer_idle_ends_when_daemon_stops() {
    let daemon = Daemon::start(false);
    let mut peer = TcpStream::connect(daemon.handover).expect("the daemon listens");
    peer.set_read_timeout(Some(READ_TIMEOUT)).expect("the time is not zero");
    drop(daemon.stop);
    assert_eq!(peer.read(&mut [0]).expect("no reset"), 0);
}
