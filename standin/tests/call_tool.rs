//! The tool that sends one request.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::thread;

/// Sends one request with the tool to a server that answers with these bytes and closes.
fn call(answer: &'static str) -> Output {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the tool connects");
        let mut head = [0; 4_096];
        let read = stream.read(&mut head).expect("a request arrives");
        assert!(head[..read].ends_with(b"\r\n\r\n"), "the head arrives in one read");
        stream.write_all(answer.as_bytes()).expect("the tool reads");
    });
    let output = Command::new(env!("CARGO_BIN_EXE_standin-call"))
        .args(["get", &address.to_string(), "/"])
        .output()
        .expect("the tool runs");
    serving.join().expect("the server does not panic");
    output
}

// An answer that ended before its length was printed as if it were whole.
#[test]
fn call_fails_on_truncated_answer() {
    let whole = call("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    assert!(whole.status.success() && whole.stdout == b"body", "{whole:?}");
    let cut = call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody");
    assert!(!cut.status.success() && cut.stdout == b"body", "{cut:?}");
    let cut = call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
    assert!(!cut.status.success() && cut.stdout == b"body", "{cut:?}");
}
