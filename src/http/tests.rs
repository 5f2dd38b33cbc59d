//! Tests of exchanges over real sockets with misbehaving peers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use async_io::{Async, block_on};
use futures_lite::io::Cursor;
use futures_lite::{AsyncReadExt, FutureExt, StreamExt};
use http_types::Method;
use rustix::net::sockopt;

use super::client::{self, Limits, Stage};
use super::{Socket, events};
use crate::prelude::*;

const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_secs(5),
    head_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(30),
    max_body_bytes: 1_000,
};

/// Starts a server that reads one request head and sends `answer`.
fn server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
            head.push(byte[0]);
        }
        stream.write_all(answer.as_bytes()).ok();
    });
    address
}

fn exchange(address: SocketAddr, limits: Limits) -> Result<String, client::Failure> {
    let request = client::request(Method::Get, address, "/").expect("the request is valid");
    block_on(async {
        let (_, body) = client::send(address, request, limits).await?.read_whole(None).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    })
}

#[test]
fn send_whole_answer() {
    let address = server("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello");
    assert_eq!(exchange(address, LIMITS).as_deref(), Ok("hello"));
    let chunked =
        server("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    assert_eq!(exchange(chunked, LIMITS).as_deref(), Ok("hello"));
    let nothing = server("HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(exchange(nothing, LIMITS).as_deref(), Ok(""));
}

#[test]
fn send_broken_answer_is_sent_failure() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\n\r\nhello",
        "HTTP/1.1 000 None\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 099 None\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 600 None\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello",
        "HTTP/1.1 200",
        "nonsense",
        "",
    ];
    for answer in answers {
        let failure = exchange(server(answer), LIMITS).expect_err(answer);
        assert_eq!(failure.stage, Stage::Sent, "{answer:?}: {}", failure.reason);
    }
    let long = server("HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n");
    assert!(exchange(long, LIMITS).expect_err("the answer is too large").too_large);
}

/// A cut head that passed for a whole one would be an answer without a body, or with a part of it.
#[test]
fn send_answer_cut_at_any_byte_is_sent_failure() {
    let wholes = [
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
    ];
    for whole in wholes {
        let last = whole.len() - if whole.ends_with("0\r\n") { 2 } else { 0 };
        for cut in 0..last {
            let part = &whole[..cut];
            let failure = exchange(server(part), LIMITS).expect_err(part);
            assert_eq!(failure.stage, Stage::Sent, "{part:?}: {}", failure.reason);
        }
    }
}

#[test]
fn send_refused_connection_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    drop(listener);
    assert_eq!(
        exchange(address, LIMITS).expect_err("the connection is refused").stage,
        Stage::Unsent
    );
}

#[test]
fn send_silent_server_is_sent_failure() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    for limits in [
        Limits { head_timeout: Duration::from_millis(50), ..LIMITS },
        Limits { idle_timeout: Duration::from_millis(50), ..LIMITS },
    ] {
        assert_eq!(
            exchange(address, limits).expect_err("the server sends no answer").stage,
            Stage::Sent
        );
    }
}

#[test]
fn send_extra_answers_belong_to_no_exchange() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let mut stream: std::net::TcpStream = stream;
            let answer =
                |number: usize| format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
            let mut head = [0; 1_000];
            assert!(stream.read(&mut head).is_ok_and(|count| count > 0), "a request arrives");
            // The own answer, which comes first on a new connection, and a copy of the one before.
            let both = answer(number) + &answer(number.saturating_sub(1));
            stream.write_all(both.as_bytes()).ok();
        }
    });
    for number in 0..3 {
        assert_eq!(exchange(address, LIMITS), Ok(number.to_string()));
    }
}

/// Number of bytes that a server without end sends if nothing stops it, more than the buffers between two sockets hold.
const FLOOD_BYTES: usize = 64 << 20;

/// Starts a server that sends `begin` and then `text` again and again. Returns its address and the channel on which it tells how
/// many bytes it could send.
fn flood(
    begin: &'static str,
    text: &'static str,
) -> (SocketAddr, std::sync::mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let (sender, sent) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        assert!(stream.read(&mut [0; 1_000]).is_ok_and(|count| count > 0), "a request arrives");
        let piece = text.repeat((64 << 10) / text.len());
        let (mut count, mut open) = (0, stream.write_all(begin.as_bytes()).is_ok());
        while open && count < FLOOD_BYTES {
            open = stream.write_all(piece.as_bytes()).is_ok();
            count += piece.len();
        }
        sender.send(count).ok();
    });
    (address, sent)
}

// The library looks at a head's size once a line has ended. A line without an end was kept until the memory was used up.
#[test]
fn send_head_without_end_is_not_kept() {
    let heads = [
        ("", "no answer "),
        ("HTTP/1.1 200 OK\r\nx: ", "aaaa"),
        ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    ];
    for (begin, text) in heads {
        let (address, sent) = flood(begin, text);
        let failure = exchange(address, LIMITS).expect_err("it is no answer");
        assert_eq!(failure.stage, Stage::Sent, "{}", failure.reason);
        let sent = sent.recv().expect("the server runs");
        assert!(sent < FLOOD_BYTES, "{begin:?} {text:?}: {sent} bytes were read");
    }
}

// A read that always finds bytes let no other task of its thread run.
#[test]
fn read_of_many_bytes_lets_others_run() {
    const COUNT: usize = 150_000;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    sockopt::set_socket_recv_buffer_size(&listener, 4 * COUNT).expect("it is open");
    let address = listener.local_addr().expect("the listener is bound");
    let mut sender = TcpStream::connect(address).expect("the listener accepts connections");
    let (stream, _) = listener.accept().expect("a connection arrives");
    // The first empty line ends the head.
    sender.write_all(&vec![b'\n'; COUNT]).expect("the connection is open");
    // All bytes are there before the first read.
    while stream.peek(&mut vec![0; COUNT]).expect("the connection is open") < COUNT {
        std::thread::sleep(Duration::from_millis(1));
    }
    let stream = Async::new(stream).expect("the stream can be polled");
    let mut socket = Socket::new(stream, LIMITS.idle_timeout).with_bounded_reads();
    let reading = async {
        let mut piece = vec![0; 8 << 10];
        let mut count = 0;
        while count < COUNT {
            count += socket.read(&mut piece).await.expect("the connection is open");
        }
    };
    let turns = std::cell::Cell::new(0);
    let beside = std::future::poll_fn(|_| {
        turns.set(turns.get() + 1);
        std::task::Poll::Pending
    });
    block_on(reading.or(beside));
    assert!(turns.get() >= 2, "{} turns", turns.get());
}

/// Decodes `text` as events. Returns their number, and the number of bytes that were read.
fn decode_events(text: Vec<u8>) -> (usize, u64) {
    let mut text = Cursor::new(text);
    let count = block_on(events::decode(&mut text).filter(Result::is_ok).count());
    (count, text.position())
}

// An engine that sends an event without end made the daemon hold up to 1 GiB of it.
#[test]
fn decode_event_without_end_is_not_read_to_its_end() {
    for line in ["data: and so on", "data: x\n", "data: x\r\n", "data: x\r", ": x\n"] {
        let (_, read) = decode_events(line.repeat((3 << 20) / line.len()).into_bytes());
        assert!(read < 3 << 19, "{line:?}: {read} bytes");
    }
}

#[test]
fn decode_many_events_with_any_line_break() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{end}data: {}{end}{end}", "x".repeat(10_000));
        let text = event.repeat(300).into_bytes();
        let whole = text.len() as u64;
        assert_eq!(decode_events(text), (300, whole), "{end:?}");
    }
}
