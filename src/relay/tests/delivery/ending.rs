//! Where an answer ends: streams and plain answers without framing, resets, and answers to HEAD.

use super::*;

/// Starts a server that answers with `body`, without a length or chunks, and ends the connection by `end`.
fn serve_unframed(body: &str, end: End) -> SocketAddr {
    let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes();
    serve_and_end(move |_| answer.clone(), end)
}

/// Relays a stream whose first answer is lost and continues at `second`. Returns the caller's body.
fn relay_continued(first: SocketAddr, second: SocketAddr) -> String {
    let mut fixture = Fixture::start(true);
    let (_, commands) = fixture.receive_arrival();
    commands.try_send(dispatch(1, first)).expect("the delivery awaits a command");
    let mut report = fixture.receive_report();
    if report == (1, Report::Begun(None)) {
        report = fixture.receive_report();
    }
    assert_eq!(report, (1, Report::Lost(Loss::Connection)));
    commands.try_send(dispatch(2, second)).expect("the delivery awaits a command");
    String::from_utf8(fixture.body()).expect("the events are text")
}

/// Returns the positions in a stream of `EVENTS` at which an event ends.
fn event_ends() -> Vec<usize> {
    let lengths = EVENTS.iter().scan(0, |end, event| {
        *end += event.len();
        Some(*end)
    });
    lengths.collect()
}

// A stream with neither a length nor chunks counted as complete wherever its connection ended. Callers got a part of an
// event, then the last chunk.
#[test]
fn relay_unframed_stream_cut_within_an_event_resumes_without_gap_or_repeat() {
    let whole = EVENTS.concat();
    let second = serve_stream(&EVENTS);
    for cut in (1..whole.len()).filter(|cut| !event_ends().contains(cut)) {
        let first = serve_unframed(&whole[..cut], End::Close);
        assert_eq!(relay_continued(first, second), whole, "cut after {cut} bytes");
    }
}

#[test]
fn relay_unframed_stream_reset_between_events_resumes_without_gap_or_repeat() {
    let whole = EVENTS.concat();
    let second = serve_stream(&EVENTS);
    for cut in event_ends() {
        let first = serve_unframed(&whole[..cut], End::Reset);
        assert_eq!(relay_continued(first, second), whole, "reset after {cut} bytes");
    }
}

// A server that ended right after its head made an empty stream, which counted as complete.
#[test]
fn relay_unframed_stream_without_an_event_is_not_complete() {
    let second = serve_stream(&EVENTS);
    for end in [End::Close, End::Reset] {
        let first = serve_unframed("", end);
        assert_eq!(relay_continued(first, second), EVENTS.concat(), "{end:?}");
    }
}

#[test]
fn relay_unframed_stream_closed_between_events_is_complete() {
    let whole = EVENTS.concat();
    for end in event_ends() {
        let mut fixture = Fixture::start(true);
        let (_, commands) = fixture.receive_arrival();
        let server = serve_unframed(&whole[..end], End::Close);
        commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
        assert_eq!(String::from_utf8_lossy(&fixture.body()), whole[..end]);
        assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
        assert_eq!(fixture.receive_report(), (1, Report::Ended));
    }
}

/// Receives reports until the attempt has ended. Returns the last one.
fn receive_last_report(fixture: &Fixture, attempt: u32) -> Report {
    loop {
        match fixture.receive_report() {
            (number, Report::Begun(_)) => assert_eq!(number, attempt),
            (number, report) => {
                assert_eq!(number, attempt);
                return report;
            }
        }
    }
}

// The first answer shows the start of event 2. A second one that ends before that event is broken off, wherever it ends.
#[test]
fn relay_unframed_resumed_stream_without_the_event_that_was_cut_is_not_complete() {
    for second in ["", EVENTS[0]] {
        for first_head in ["", "Content-Length: 100\r\n"] {
            let start = &EVENTS.concat()[..EVENTS[0].len() + 8];
            let first = serve_once(format!("HTTP/1.1 200 OK\r\n{first_head}\r\n{start}").into());
            let second = serve_unframed(second, End::Close);
            let fixture = Fixture::start(true);
            let (_, commands) = fixture.receive_arrival();
            commands.try_send(dispatch(1, first)).expect("the delivery awaits a command");
            assert_eq!(receive_last_report(&fixture, 1), Report::Lost(Loss::Connection));
            commands.try_send(dispatch(2, second)).expect("the delivery awaits a command");
            assert_eq!(receive_last_report(&fixture, 2), Report::Lost(Loss::Connection));
        }
    }
}

// The first answer was broken off between two events. A second one that ends after its head shows no more than the first.
#[test]
fn relay_unframed_resumed_stream_that_brings_nothing_is_not_complete() {
    let chunk =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n{}\r\n", EVENTS[0]);
    for first in [serve_unframed(EVENTS[0], End::Reset), serve_once(chunk.into())] {
        let second = serve_unframed("", End::Close);
        let fixture = Fixture::start(true);
        let (_, commands) = fixture.receive_arrival();
        commands.try_send(dispatch(1, first)).expect("the delivery awaits a command");
        assert_eq!(receive_last_report(&fixture, 1), Report::Lost(Loss::Connection));
        commands.try_send(dispatch(2, second)).expect("the delivery awaits a command");
        assert_eq!(receive_last_report(&fixture, 2), Report::Lost(Loss::Connection));
    }
}

// Comments and empty lines are no piece of a stream.
#[test]
fn relay_unframed_stream_of_comments_alone_is_not_complete() {
    for body in [": ping\n\n", "\n\n"] {
        let first = serve_unframed(body, End::Close);
        let fixture = Fixture::start(true);
        let (_, commands) = fixture.receive_arrival();
        commands.try_send(dispatch(1, first)).expect("the delivery awaits a command");
        assert_eq!(receive_last_report(&fixture, 1), Report::Lost(Loss::Connection), "{body:?}");
    }
}

// A line break after the empty line of the last event begins no event.
#[test]
fn relay_unframed_stream_with_a_further_line_break_is_complete() {
    for rest in ["\n", "\r\n"] {
        let server = serve_unframed(&(EVENTS.concat() + rest), End::Close);
        let fixture = Fixture::start(true);
        let (_, commands) = fixture.receive_arrival();
        commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
        assert_eq!(receive_last_report(&fixture, 1), Report::Ended, "{rest:?}");
    }
}

/// Starts a server that reads only the start of a request, answers with `answer`, and then closes the connection, which
/// resets it.
fn serve_without_reading(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    sockopt::set_socket_recv_buffer_size(&listener, 16 << 10).expect("it is open");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the daemon connects");
        stream.read_exact(&mut [0; 64]).expect("a request arrives");
        stream.write_all(answer.as_bytes()).expect("the connection is open");
        thread::sleep(Duration::from_millis(300));
    });
    address
}

// The reset shows in the write of the request, which leaves no error for the next read: it looks like an orderly end.
#[test]
fn fetch_unframed_answer_reset_while_its_request_is_sent_is_not_complete() {
    let body = vec![b'b'; 3 * LARGE_BYTES];
    let address = serve_without_reading("HTTP/1.1 200 OK\r\n\r\nhalf of an ans".into());
    let call = Call { method: "POST", target: "/".into(), body, ..Call::default() };
    let limit = Duration::from_secs(5);
    let answer = block_on(fetch(&Pool::default(), address, call, limit, LARGE_BYTES));
    assert!(matches!(answer, Err(Failure::Lost(Cut::Broken(_)))), "{answer:?}");
}

// The same on a caller's request, with a body that exceeds the socket's send buffer and is within the limits.
#[test]
fn relay_unframed_answer_reset_while_its_request_is_sent_is_not_complete() {
    let body = "b".repeat(Limits::default().max_body_bytes);
    let head =
        format!("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: {}\r\n\r\n", body.len());
    for (streams, part) in [(false, "half of an ans"), (true, EVENTS[0])] {
        let fixture = Fixture::start_request(format!("{head}{body}").as_bytes(), streams);
        let (_, commands) = fixture.receive_arrival();
        let server = serve_without_reading(format!("HTTP/1.1 200 OK\r\n\r\n{part}"));
        commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
        let report = receive_last_report(&fixture, 1);
        assert_eq!(report, Report::Lost(Loss::Connection), "{streams}");
    }
}

/// Starts a server that reads only the start of a request, answers with `answer`, ends its sending side in good order, and
/// resets the connection a little later.
fn serve_and_reset_after_the_end(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the daemon connects");
        stream.read_exact(&mut [0; 64]).expect("a request arrives");
        stream.write_all(answer.as_bytes()).expect("the connection is open");
        stream.shutdown(Shutdown::Write).expect("the connection is open");
        thread::sleep(Duration::from_millis(10));
    });
    address
}

// The server closed its side before it had the request, whose next bytes it met with a reset. Its answer looked whole, since the
// end had come first.
#[test]
fn relay_unframed_answer_reset_after_its_end_is_not_complete() {
    let body = "b".repeat(60_000);
    let head =
        format!("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: {}\r\n\r\n", body.len());
    for (streams, part) in [(false, "half of an ans"), (true, EVENTS[0])] {
        let fixture = Fixture::start_request(format!("{head}{body}").as_bytes(), streams);
        let (_, commands) = fixture.receive_arrival();
        let server = serve_and_reset_after_the_end(format!("HTTP/1.1 200 OK\r\n\r\n{part}"));
        commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
        let report = receive_last_report(&fixture, 1);
        assert_eq!(report, Report::Lost(Loss::Connection), "{streams}");
    }
}

/// Starts a server that reads a request and begins to answer it with `answer`. Then its process is killed: its connections end
/// in good order, and its port refuses new ones.
fn serve_until_killed(answer: String, listens_on: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the daemon connects");
        assert!(stream.read(&mut [0; 4_096]).is_ok_and(|count| count > 0), "a request arrives");
        stream.write_all(answer.as_bytes()).expect("the connection is open");
        // The kernel closes what a process had open one after the other.
        drop(stream);
        thread::sleep(listens_on);
        drop(listener);
    });
    address
}

// Half of a document looked whole, since the connection of a killed server ends as one that is closed.
#[test]
fn relay_unframed_answer_of_a_server_that_was_killed_is_not_complete() {
    let parts = [(false, "half of an ans"), (true, EVENTS[0])];
    let times = [0, 5].map(Duration::from_millis);
    for ((streams, part), listens_on) in parts.iter().flat_map(|p| times.map(|time| (*p, time))) {
        let fixture = Fixture::start(streams);
        let (_, commands) = fixture.receive_arrival();
        let server = serve_until_killed(format!("HTTP/1.1 200 OK\r\n\r\n{part}"), listens_on);
        commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
        let report = receive_last_report(&fixture, 1);
        assert_eq!(report, Report::Lost(Loss::InvalidAnswer), "{streams}");
    }
}

// To look whether a server lives costs it no connection: the next request takes it.
#[test]
fn fetch_unframed_answers_takes_one_connection_for_each() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let accepted = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            count.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
            thread::spawn(move || {
                if stream.read(&mut [0; 4_096]).is_ok_and(|count| count == 0) {
                    return;
                }
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nwhole").ok();
            });
        }
    });
    let pool = Pool::default();
    for _ in 0..5 {
        let correlation = Correlation::Content;
        let call = Call { method: "GET", target: "/".into(), correlation, ..Call::default() };
        let answer = block_on(fetch(&pool, address, call, Duration::from_secs(5), LARGE_BYTES));
        assert_eq!(answer, Ok((200, b"whole".to_vec())));
    }
    assert_eq!(accepted.load(std::sync::atomic::Ordering::Acquire), 6);
}

// A daemon that was frozen meanwhile finds the end and the reset together.
#[test]
fn read_whole_unframed_body_reset_after_its_end_is_not_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let connected = block_on(Conn::connect(address, Duration::from_secs(1)));
    let mut conn = connected.expect("the listener accepts connections");
    let (mut stream, _) = listener.accept().expect("a connection arrives");
    stream.write_all(b"half").expect("the connection is open");
    stream.shutdown(Shutdown::Write).expect("the connection is open");
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("it is open");
    drop(stream);
    thread::sleep(Duration::from_millis(100));
    let body = block_on(conn.read_whole(Framing::UntilClose, 100));
    assert!(matches!(body, Err(Cut::Broken(_))), "{body:?}");
}

/// Waits for the end of the delivery, then closes the caller's sending side. Returns the answer's head and what follows.
fn answer_to_head(mut fixture: Fixture) -> (String, String) {
    loop {
        match fixture.inputs.recv_blocking() {
            Ok(Input::Message(message)) if matches!(*message, Message::Cancel(_)) => break,
            Ok(Input::Message(_)) => {}
            other => panic!("expected a message: {other:?}"),
        }
    }
    fixture.caller.shutdown(Shutdown::Write).expect("the connection is open");
    let mut answer = String::new();
    fixture.caller.read_to_string(&mut answer).expect("an answer arrives");
    let (head, rest) = answer.split_once("\r\n\r\n").expect("a head arrives");
    (head.to_owned(), rest.to_owned())
}

// An answer to HEAD has no body. One to a stream's path was followed by the last chunk, an error by its body: callers
// took them for the start of the next answer.
#[test]
fn relay_answer_to_head_ends_with_its_head() {
    for streams in [true, false] {
        for framing in ["Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""] {
            let fixture = Fixture::start_with("HEAD", streams);
            let (_, commands) = fixture.receive_arrival();
            let server = serve_once(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").into_bytes());
            commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
            let (head, rest) = answer_to_head(fixture);
            assert_eq!(rest, "", "{streams} {framing}");
            let is_length_kept = head.contains("Content-Length: 5") == framing.contains('5');
            assert!(is_length_kept && !head.contains("Content-Length: 0"), "{head}");
        }
    }
}

#[test]
fn answer_error_to_head_ends_with_its_head() {
    let fixture = Fixture::start_with("HEAD", true);
    let (_, commands) = fixture.receive_arrival();
    let refuse = Command::Refuse(Code::NoServer, Duration::ZERO);
    commands.try_send(refuse).expect("the delivery awaits a command");
    let (head, rest) = answer_to_head(fixture);
    assert!(head.starts_with("HTTP/1.1 503") && rest.is_empty(), "{head}: {rest}");
}
