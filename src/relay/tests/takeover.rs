//! Tests of the listener on which peers hand requests over.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;

use super::fixture::{Caller, Daemon, READ_TIMEOUT};
use crate::fleet::Command;
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
fn serve_peer_beyond_maximum_reads_nothing() {
    let daemon = Daemon::start(false);
    daemon.frontend.peer_connections.store(512, Ordering::Release);
    let mut peer = TcpStream::connect(daemon.handover).expect("the daemon listens");
    peer.set_read_timeout(Some(READ_TIMEOUT)).expect("the time is not zero");
    assert_eq!(peer.read(&mut [0]).expect("no reset"), 0);
}

#[test]
fn serve_peer_idle_ends_when_daemon_stops() {
    let daemon = Daemon::start(false);
    let mut peer = TcpStream::connect(daemon.handover).expect("the daemon listens");
    peer.set_read_timeout(Some(READ_TIMEOUT)).expect("the time is not zero");
    drop(daemon.stop);
    assert_eq!(peer.read(&mut [0]).expect("no reset"), 0);
}
