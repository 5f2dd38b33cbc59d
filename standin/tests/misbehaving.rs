//! Crowds of clients that don't behave, at the daemon's own interface. The process lives, stays within its budget of memory,
//! and an ordinary caller gets an answer. The tests run one at a time.

mod common;

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use common::{Fleet, LAB, Plan, put, until};
use serde_json::json;

/// Memory that a daemon may take (docs/CAPACITY.md), in bytes.
const MAX_MEMORY_BYTES: u64 = 256_000_000;
/// Largest legal body, by default. The bodies of a crowd have more bytes than the memory.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Number of callers that send bodies. One of [`WHOLE_EVERY`] sends all of it, the others stop one byte short.
const BODY_CROWD: usize = 48;
const WHOLE_EVERY: usize = 8;
/// Callers' connections that the daemon may have, and number of callers that open one and send nothing.
const MAX_CONNECTIONS: usize = 256;
const IDLE_CROWD: usize = 700;
/// Time for which callers may be silent: longer than a test.
const IDLE_MS: u64 = 600_000;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// Size of a large answer, which is within the limit.
const LARGE_ANSWER_BYTES: usize = 12 << 20;
/// Size of a body over the limit.
const OVER_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Time after which a caller of a crowd stops to wait for the daemon to read.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time for an answer of a service to begin, also on a busy machine.
const ANSWER_TIME: Duration = Duration::from_secs(60);

/// One test at a time, apart from the others.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start() -> Fleet {
    let settings = json!({
        "drain_notice_ms": 100, "connections": MAX_CONNECTIONS, "idle_ms": IDLE_MS,
    });
    Fleet::start(Plan { daemons: 1, settings, ..Plan::default() })
}

/// The largest memory that the daemon has had resident so far, in bytes.
fn peak_bytes(fleet: &Fleet) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", fleet.daemons[0].id()));
    let status = status.expect("the daemon is running");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kib.expect("the kernel states the peak") << 10
}

/// Checks what must hold beside and after any crowd.
fn check(fleet: &mut Fleet, name: &str) {
    let mut number = 0;
    until("an answer for an ordinary caller", || {
        number += 1;
        let payment = fleet.pay(0, None, &format!("{name} {number}"));
        payment.is_ok_and(|answer| answer.status == 200)
    });
    assert!(!fleet.daemons[0].has_ended(), "{name}: the process has ended");
    let memory = peak_bytes(fleet);
    println!("{name}: {memory} bytes");
    assert!(memory <= MAX_MEMORY_BYTES, "{name}: {memory} bytes");
}

/// Opens `count` connections, each in a thread that calls `send`, and returns those that are open afterwards.
fn send_all(
    address: SocketAddr,
    count: usize,
    send: impl Fn(usize, &mut TcpStream) -> io::Result<()> + Copy + Send + Sync,
) -> Vec<TcpStream> {
    let send_one = move |number| {
        let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
        stream.set_write_timeout(Some(PATIENCE)).ok()?;
        // The daemon may refuse the caller, and close the connection.
        send(number, &mut stream).ok();
        Some(stream)
    };
    thread::scope(|scope| {
        let senders: Vec<_> =
            (0..count).map(|number| scope.spawn(move || send_one(number))).collect();
        let sent = senders.into_iter().map(|sender| sender.join().expect("the sender has ended"));
        sent.flatten().collect()
    })
}

fn head(framing: &str, key: &str) -> Vec<u8> {
    format!(
        "POST /services/pay/payments HTTP/1.1\r\nhost: a.example\r\nauthorization: Bearer {key}\r\n\
         {framing}\r\n\r\n"
    )
    .into_bytes()
}

/// Number of bytes of a legal body that this caller of a crowd sends.
fn body_bytes(number: usize) -> usize {
    if number.is_multiple_of(WHOLE_EVERY) { MAX_BODY_BYTES } else { MAX_BODY_BYTES - 1 }
}

fn write_chunks(stream: &mut TcpStream, length: usize) -> io::Result<()> {
    for chunk in vec![b'c'; length].chunks(LARGE_CHUNK_BYTES) {
        stream.write_all(format!("{:x}\r\n", chunk.len()).as_bytes())?;
        stream.write_all(chunk)?;
        stream.write_all(b"\r\n")?;
    }
    if length == MAX_BODY_BYTES { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
}

#[test]
fn crowd_with_legal_bodies_takes_bounded_memory() {
    let _alone = alone();
    let mut fleet = start();
    let framing = format!("content-length: {MAX_BODY_BYTES}");
    let crowd = send_all(fleet.entry(0), BODY_CROWD, |number, stream| {
        stream.write_all(&head(&framing, LAB))?;
        stream.write_all(&vec![b'b'; body_bytes(number)])
    });
    check(&mut fleet, "at once");
    drop(crowd);
}

#[test]
fn crowd_with_chunks_takes_bounded_memory() {
    let _alone = alone();
    let mut fleet = start();
    let crowd = send_all(fleet.entry(0), BODY_CROWD, |number, stream| {
        stream.write_all(&head("transfer-encoding: chunked", LAB))?;
        write_chunks(stream, body_bytes(number))
    });
    check(&mut fleet, "chunks");
    drop(crowd);
}

#[test]
fn crowd_with_unknown_keys_takes_bounded_memory() {
    let _alone = alone();
    let mut fleet = start();
    let framing = format!("content-length: {MAX_BODY_BYTES}");
    let crowd = send_all(fleet.entry(0), BODY_CROWD, |number, stream| {
        stream.write_all(&head(&framing, "unknown"))?;
        stream.write_all(&vec![b'b'; body_bytes(number)])
    });
    check(&mut fleet, "unknown keys");
    drop(crowd);
}

#[test]
fn crowd_with_bodies_over_the_limit_takes_bounded_memory() {
    let _alone = alone();
    let mut fleet = start();
    let framing = format!("content-length: {OVER_BYTES}");
    let announced = send_all(fleet.entry(0), BODY_CROWD, |_, stream| {
        stream.write_all(&head(&framing, LAB))?;
        stream.write_all(&vec![b'b'; OVER_BYTES - 1])
    });
    check(&mut fleet, "announced");
    let sent = send_all(fleet.entry(0), BODY_CROWD, |_, stream| {
        stream.write_all(&head("transfer-encoding: chunked", LAB))?;
        write_chunks(stream, OVER_BYTES - 1)
    });
    check(&mut fleet, "sent");
    drop((announced, sent));
}

#[test]
fn crowd_of_idle_connections_leaves_room_for_an_ordinary_caller() {
    let _alone = alone();
    let mut fleet = start();
    let crowd = send_all(fleet.entry(0), IDLE_CROWD, |_, _| Ok(()));
    check(&mut fleet, "idle");
    drop(crowd);
    let crowd = send_all(fleet.entry(0), IDLE_CROWD, |_, stream| stream.write_all(b"POST /serv"));
    check(&mut fleet, "heads");
    drop(crowd);
}

#[test]
fn crowd_at_the_peers_port_takes_bounded_memory() {
    let _alone = alone();
    let mut fleet = start();
    let peer = fleet.daemons[0].ready["peer"];
    let crowd = send_all(peer, BODY_CROWD, |_, stream| {
        let length = u32::try_from(MAX_BODY_BYTES).expect("a legal length");
        stream.write_all(&length.to_be_bytes())?;
        stream.write_all(&vec![0; MAX_BODY_BYTES - 1])
    });
    check(&mut fleet, "frames");
    drop(crowd);
}

#[test]
fn crowd_that_reads_no_answers_takes_bounded_memory() {
    let _alone = alone();
    let mut fleet = start();
    let framing = format!("content-length: {MAX_BODY_BYTES}");
    // The service answers with the body that it was sent.
    let crowd = send_all(fleet.entry(0), BODY_CROWD, |_, stream| {
        stream.write_all(&head(&framing, LAB))?;
        stream.write_all(&vec![b'b'; MAX_BODY_BYTES])
    });
    check(&mut fleet, "no reading");
    drop(crowd);
}

// Answers to small requests had no sum: each was held whole until its caller had read it.
#[test]
fn crowd_that_reads_no_large_answers_takes_bounded_memory() {
    let _alone = alone();
    let mut fleet = start();
    for service in &fleet.services {
        put(service.address(), "/faults", &json!({ "filler": LARGE_ANSWER_BYTES }));
    }
    let crowd = send_all(fleet.entry(0), BODY_CROWD, |_, stream| {
        stream.write_all(&head("content-length: 3", LAB))?;
        stream.write_all(b"pay")?;
        // The answer has begun, or the daemon has refused to hold it.
        stream.set_read_timeout(Some(ANSWER_TIME))?;
        stream.peek(&mut [0]).map(drop)
    });
    for service in &fleet.services {
        put(service.address(), "/faults", &json!({}));
    }
    check(&mut fleet, "large answers");
    drop(crowd);
}

#[test]
fn crowd_at_the_operators_port_takes_bounded_memory_and_connections() {
    let _alone = alone();
    let mut fleet = start();
    let operators = fleet.daemons[0].ready["operators"];
    let framing = format!("content-length: {MAX_BODY_BYTES}");
    let crowd = send_all(operators, BODY_CROWD, |number, stream| {
        stream.write_all(&head(&framing, LAB))?;
        stream.write_all(&vec![b'b'; body_bytes(number)])
    });
    check(&mut fleet, "operators");
    drop(crowd);
    let crowd = send_all(operators, IDLE_CROWD, |_, _| Ok(()));
    check(&mut fleet, "idle operators");
    until("readiness", || fleet.is_ready(0));
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", fleet.daemons[0].id()));
    let descriptors = descriptors.expect("the daemon is running").count();
    assert!(descriptors <= 2 * MAX_CONNECTIONS, "{descriptors} descriptors");
    drop(crowd);
}

#[test]
fn caller_whose_body_is_over_the_limit_reads_the_refusal() {
    let _alone = alone();
    let mut fleet = start();
    let mut stream = TcpStream::connect(fleet.entry(0)).expect("the daemon accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("the time is not zero");
    stream.set_write_timeout(Some(PATIENCE)).expect("the time is not zero");
    stream.write_all(&head(&format!("content-length: {OVER_BYTES}"), LAB)).expect("it reads");
    stream.write_all(&vec![b'b'; MAX_BODY_BYTES]).ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("x-cardamomvalve-execution: not-run"), "{answer}");
    check(&mut fleet, "over");
}

#[test]
fn single_request_at_the_limit_is_served_in_calm() {
    let _alone = alone();
    let mut fleet = start();
    let body = "b".repeat(MAX_BODY_BYTES);
    let answer = fleet.pay(0, None, &body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.code());
    check(&mut fleet, "calm");
}
