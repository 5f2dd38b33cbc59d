//! Tests of a caller's connection; each test acts as the control thread.

mod continuation;
mod ending;
mod head;
mod resumption;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;

use async_channel::{Receiver, Sender};
use async_io::{Async, block_on};
use rustix::net::sockopt;

use crate::fleet::{
    Arrival, Command, Control, Dispatch, Input, Loss, Message, Report, Software, Statement,
};
use crate::memory::{Account, Port};
use crate::prelude::*;
use crate::relay::*;
use crate::route::{Limits, Repeat, Route, Split, Table, Workspace};
use crate::telemetry::metrics::Metrics;

/// Size of an answer that exceeds the socket buffers, so that writing it blocks part way.
const LARGE_BYTES: usize = 6 << 20;

/// The events of a stream.
const EVENTS: [&str; 3] = ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "id: 3\ndata: c\n\n"];

/// Dialect with almost no header fields.
struct PlainDialect;

impl Dialect for PlainDialect {
    fn metadata(&self, request: &Request) -> Result<Metadata, Malformed> {
        let last_event_id = request.fields.get("Last-Event-Id").and_then(|id| id.parse().ok());
        Ok(Metadata {
            id: "r-1".into(),
            timeout: None,
            workspace_key: None,
            prompt: None,
            last_event_id,
            first_attempt_id: None,
        })
    }

    fn forwarded_fields(
        &self,
        _: &Request,
        _: &Metadata,
        _: Option<&Workspace>,
        _: &Dispatch,
        _: Option<Duration>,
        after: Option<u64>,
    ) -> Fields {
        let mut fields = Fields::default();
        if let Some(after) = after {
            fields.push("Last-Event-Id", after.to_string());
        }
        fields
    }

    fn handover_fields(&self, _: &Request, _: Option<Duration>) -> Fields {
        Fields::default()
    }

    fn classify(&self, _: &Metadata, _: &Response) -> Classification {
        Classification::Answer(None)
    }

    /// All answers are to the one request.
    fn named_request<'a>(&self, _: &'a Response) -> Option<&'a str> {
        Some("r-1")
    }

    fn statement(&self, _: &Response) -> Statement {
        Statement::default()
    }

    fn error_fields(&self, _: &Metadata) -> Fields {
        Fields::default()
    }
}

pub(super) fn table(repeat: Repeat, streams: bool) -> Arc<Table> {
    let route = Route {
        name: "only".into(),
        host: "a.example".into(),
        path_prefix: "/".into(),
        repeat,
        is_streaming: streams,
        timeout: Duration::from_secs(20),
        target_latency: Duration::from_secs(1),
        priority: 0,
        splits: vec![Split { pool: "engines".into(), weight: 1 }],
        max_attempts: 2,
        is_public: true,
    };
    let table = Table::new(1, vec![route], BTreeMap::new(), None, Limits::default());
    Arc::new(table.expect("the table is valid"))
}

/// End of a server's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Starts a server that answers the first request of each connection according to its head.
fn serve_each(answer: impl Fn(&str) -> Vec<u8> + Send + 'static) -> SocketAddr {
    serve_and_end(answer, End::Close)
}

/// Starts a server that answers the first request of each connection and ends the connection by `end`.
fn serve_and_end(answer: impl Fn(&str) -> Vec<u8> + Send + 'static, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut head = [0; 4_096];
            let read = stream.read(&mut head).unwrap_or(0);
            if read == 0 {
                // A connection that carries no request shows the daemon that the server lives.
                continue;
            }
            assert!(head[..read].ends_with(b"\r\n\r\n"), "the head arrives in one read");
            let head = String::from_utf8_lossy(&head[..read]).into_owned();
            stream.write_all(&answer(&head)).ok();
            if end == End::Reset {
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("it is open");
            }
        }
    });
    address
}

/// Starts a server that answers the first request of each connection with `answer`.
fn serve_once(answer: Vec<u8>) -> SocketAddr {
    serve_each(move |_| answer.clone())
}

/// Starts a server that streams the `events` after the one in the request's `Last-Event-Id`.
fn serve_stream(events: &[&'static str]) -> SocketAddr {
    let events = events.to_vec();
    serve_each(move |head| {
        let after = head.lines().find_map(|line| line.strip_prefix("Last-Event-Id: "));
        let after: usize =
            after.map_or(0, |after| after.trim().parse().expect("the id is a number"));
        let body = events[after..].concat();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    })
}

pub(super) fn dispatch(attempt: u32, address: SocketAddr) -> Command {
    Command::Dispatch(Dispatch {
        attempt,
        server: format!("s-{attempt}"),
        software: Software::of("engines", "v1"),
        address,
        cache_salt: None,
        weights_version: None,
        fetch_from: None,
        save_to: None,
        priority: 5,
        max_idle: 4,
        has_limit: false,
    })
}

fn large_answer(streams: bool, character: char) -> Vec<u8> {
    let piece = character.to_string().repeat(LARGE_BYTES);
    let body = if streams { format!("id: 1\ndata: {piece}\n\n") } else { piece };
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A caller's connection and the control thread's end of its channel.
struct Fixture {
    frontend: Arc<Frontend>,
    caller: TcpStream,
    inputs: Receiver<Input>,
}

impl Fixture {
    fn start(streams: bool) -> Self {
        Self::start_with("GET", streams)
    }

    fn start_with(method: &str, streams: bool) -> Self {
        let request = format!("{method} / HTTP/1.1\r\nHost: a.example\r\n\r\n");
        Self::start_request(request.as_bytes(), streams)
    }

    fn start_request(request: &[u8], streams: bool) -> Self {
        let (control, inputs) = Control::new();
        control.set_table(table(Repeat::Resumable, streams));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
        let caller = TcpStream::connect(listener.local_addr().expect("the listener is bound"));
        let mut caller = caller.expect("the listener accepts connections");
        let (stream, _) = listener.accept().expect("the caller has connected");
        let (shutdown_sender, shutdown) = async_channel::bounded(1);
        let metrics = Arc::new(Metrics::new().expect("instruments can be created"));
        let account = Arc::new(Account::default());
        let holding = block_on(account.open(Port::Entry)).expect("there is room");
        let pool = Arc::default();
        let frontend =
            Frontend::new(Arc::new(PlainDialect), control, pool, metrics, account, shutdown);
        let frontend = Arc::new(frontend);
        let serving = Arc::clone(&frontend);
        thread::spawn(move || {
            let stream = Async::new(stream).expect("the stream can be polled");
            block_on(serve(serving, stream, holding));
            drop(shutdown_sender);
        });
        caller.write_all(request).expect("the connection is open");
        Self { frontend, caller, inputs }
    }

    fn receive_arrival(&self) -> (Box<Arrival>, Sender<Command>) {
        match self.inputs.recv_blocking() {
            Ok(Input::Open(arrival, commands)) => (arrival, commands),
            other => panic!("expected a request: {other:?}"),
        }
    }

    fn receive_report(&self) -> (u32, Report) {
        match self.inputs.recv_blocking() {
            Ok(Input::Message(message)) => match *message {
                Message::Report { attempt, report, .. } => (attempt, report),
                other => panic!("expected a report: {other:?}"),
            },
            other => panic!("expected a report: {other:?}"),
        }
    }

    /// Waits until a byte of the answer has reached the caller, without reading it.
    fn wait_for_answer(&self) {
        let mut byte = [0];
        assert_eq!(self.caller.peek(&mut byte).expect("the connection is open"), 1);
    }

    /// Reads all that the caller gets, until the connection ends.
    fn read_to_end(&mut self) -> String {
        self.caller.shutdown(Shutdown::Write).ok();
        let mut received = Vec::new();
        self.caller.read_to_end(&mut received).ok();
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Reads the answer's complete body.
    fn body(&mut self) -> Vec<u8> {
        let mut conn = Conn::new(Async::new(self.caller.try_clone().expect("open")).expect("open"));
        block_on(async {
            let response = conn.read_response(false).await.expect("a head arrives");
            conn.read_whole(response.framing, 4 * LARGE_BYTES)
                .await
                .expect("a complete body arrives")
        })
    }
}

#[test]
fn run_command_during_answer_write_does_not_interrupt_it() {
    for streams in [true, false] {
        for give_up in [false, true] {
            let mut fixture = Fixture::start(streams);
            let first = serve_once(large_answer(streams, 'a'));
            let second = serve_once(large_answer(streams, 'b'));
            let (_, commands) = fixture.receive_arrival();
            commands.try_send(dispatch(1, first)).expect("the delivery awaits a command");
            assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
            fixture.wait_for_answer();
            let command = if give_up { Command::GiveUp } else { dispatch(2, second) };
            commands.try_send(command).expect("the command channel is open");
            thread::sleep(Duration::from_millis(50));
            let body = fixture.body();
            assert!(body.len() >= LARGE_BYTES && !body.contains(&b'b'), "{streams} {give_up}");
            assert_eq!(fixture.receive_report(), (1, Report::Ended));
        }
    }
}

#[test]
fn run_deferred_command_applies_after_attempt_fails() {
    let mut fixture = Fixture::start(true);
    let mut cut = large_answer(true, 'a');
    let length = cut.len() - cut.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") - 4;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", length + 100);
    cut = [head.as_bytes(), &cut[cut.len() - length..], b"id: 2\nda"].concat();
    let first = serve_once(cut);
    let rest = "id: 2\ndata: b\n\n";
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{rest}", rest.len());
    let second = serve_once(whole.into_bytes());
    let (_, commands) = fixture.receive_arrival();
    commands.try_send(dispatch(1, first)).expect("the delivery awaits a command");
    assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
    fixture.wait_for_answer();
    commands.try_send(dispatch(2, second)).expect("the command channel is open");
    let body = fixture.body();
    assert!(body.len() == length + rest.len() && body.ends_with(rest.as_bytes()));
    assert_eq!(fixture.receive_report(), (1, Report::Lost(Loss::Connection)));
    assert_eq!(fixture.receive_report(), (2, Report::Begun(None)));
    assert_eq!(fixture.receive_report(), (2, Report::Ended));
}

// A stream is bound to the software version of the server that began it. An error begins none.
#[test]
fn relay_error_answer_on_a_streaming_route_begins_no_stream() {
    let fixture = Fixture::start(true);
    let failing = serve_once(b"HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\nno".to_vec());
    let (_, commands) = fixture.receive_arrival();
    commands.try_send(dispatch(1, failing)).expect("the delivery awaits a command");
    assert_eq!(fixture.receive_report(), (1, Report::Failed));
}

// The second attempt was chosen before the first one began the stream, and would go on at another version.
#[test]
fn run_deferred_dispatch_to_another_software_version_ends_the_answer_as_broken() {
    let mut fixture = Fixture::start(true);
    let first = EVENTS[0];
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", first.len() + 100);
    let cut = serve_once(format!("{head}{first}id: 2").into_bytes());
    let second = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    second.set_nonblocking(true).expect("the listener can be polled");
    let address = second.local_addr().expect("the listener is bound");
    let Command::Dispatch(mut other) = dispatch(2, address) else { panic!("it is a dispatch") };
    other.software = Software::of("engines", "v2");
    let (_, commands) = fixture.receive_arrival();
    commands.try_send(dispatch(1, cut)).expect("the delivery awaits a command");
    assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
    fixture.wait_for_answer();
    commands.try_send(Command::Dispatch(other)).expect("the command channel is open");
    let mut received = Vec::new();
    fixture.caller.read_to_end(&mut received).ok();
    let received = String::from_utf8_lossy(&received).into_owned();
    assert!(received.contains(first) && !received.ends_with("0\r\n\r\n"), "{received}");
    assert!(second.accept().is_err(), "the request was sent to the other version");
}

#[test]
fn relay_stream_cut_at_any_byte_resumes_without_gap_or_repeat() {
    let whole = EVENTS.concat();
    let second = serve_stream(&EVENTS);
    for cut in 0..whole.len() {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
        let first = serve_once(format!("{head}{}", &whole[..cut]).into_bytes());
        let mut fixture = Fixture::start(true);
        let (_, commands) = fixture.receive_arrival();
        commands.try_send(dispatch(1, first)).expect("the delivery awaits a command");
        while fixture.receive_report() != (1, Report::Lost(Loss::Connection)) {}
        commands.try_send(dispatch(2, second)).expect("the delivery awaits a command");
        assert_eq!(String::from_utf8_lossy(&fixture.body()), whole, "cut after {cut} bytes");
    }
}

/// Starts a server that streams events after `start` until nobody reads them, reports that, and closes the connection
/// when told to.
pub(super) fn serve_until_unread(start: &'static str) -> (SocketAddr, Receiver<()>, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let (unread, is_unread) = async_channel::bounded(1);
    let (close, closing) = async_channel::bounded::<()>(1);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the daemon connects");
        let head = format!("{start}HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the daemon reads the head");
        stream.set_nonblocking(true).expect("the stream can be polled");
        let piece = "a".repeat(60_000);
        let mut rejected = 0;
        for id in 1.. {
            let event = format!("id: {id}\ndata: {piece}\n\n");
            rejected = if stream.write(event.as_bytes()).is_ok() { 0 } else { rejected + 1 };
            if rejected > 0 {
                thread::sleep(Duration::from_millis(20));
            }
            if rejected == 10 {
                break;
            }
        }
        unread.try_send(()).expect("the test waits");
        closing.recv_blocking().ok();
    });
    (address, is_unread, close)
}

// A server closed an answer that its caller had not read for seconds. That counted as a lost answer of the server: it
// got no requests for a while, the request was suspected to crash servers and was sent to another one.
#[test]
fn relay_stream_closed_because_its_caller_reads_slowly_is_no_failure_of_the_server() {
    let mut fixture = Fixture::start(true);
    let (server, is_unread, close) = serve_until_unread("");
    let (_, commands) = fixture.receive_arrival();
    commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
    assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
    is_unread.recv_blocking().expect("the server runs");
    thread::sleep(Duration::from_millis(1_100));
    drop(close);
    let mut received = Vec::new();
    fixture.caller.read_to_end(&mut received).ok();
    assert!(!received.ends_with(b"0\r\n\r\n"), "the stream looks complete");
    let next = fixture.inputs.recv_blocking().expect("the delivery ends");
    let is_cancelled = matches!(&next, Input::Message(m) if matches!(**m, Message::Cancel(_)));
    assert!(is_cancelled, "{next:?}");
}

/// Starts a server that reads its request, streams unframed events until nobody reads them and reports that. When told to,
/// it finishes the event that it is writing and closes the connection, which does not reset it.
fn serve_unframed_until_unread() -> (SocketAddr, Receiver<()>, Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let (unread, is_unread) = async_channel::bounded(1);
    let (close, closing) = async_channel::bounded::<()>(1);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the daemon connects");
        let read = stream.read(&mut [0; 4_096]).expect("a request arrives");
        assert!(read > 0, "a request arrives");
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the daemon reads the head");
        stream.set_nonblocking(true).expect("the stream can be polled");
        let piece = "a".repeat(60_000);
        let (mut event, mut sent, mut rejected) = (String::new(), 0, 0);
        for id in 1.. {
            event = format!("id: {id}\ndata: {piece}\n\n");
            sent = 0;
            while sent < event.len() && rejected < 10 {
                match stream.write(&event.as_bytes()[sent..]) {
                    Ok(count) => (sent, rejected) = (sent + count, 0),
                    Err(_) => {
                        rejected += 1;
                        thread::sleep(Duration::from_millis(20));
                    }
                }
            }
            if rejected == 10 {
                break;
            }
        }
        unread.try_send(()).expect("the test waits");
        closing.recv_blocking().ok();
        stream.set_nonblocking(false).expect("the stream can block");
        stream.write_all(&event.as_bytes()[sent..]).expect("the daemon reads the last event");
    });
    (address, is_unread, close)
}

// A server closed an answer that stayed unread, after a whole event. That looked like the end of the stream.
#[test]
fn relay_unframed_stream_closed_because_its_caller_reads_slowly_is_not_complete() {
    let fixture = Fixture::start(true);
    let (server, is_unread, close) = serve_unframed_until_unread();
    let (_, commands) = fixture.receive_arrival();
    commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
    assert_eq!(fixture.receive_report(), (1, Report::Begun(None)));
    is_unread.recv_blocking().expect("the server runs");
    thread::sleep(Duration::from_millis(1_100));
    drop(close);
    let mut reader = fixture.caller.try_clone().expect("the connection is open");
    thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    let next = fixture.inputs.recv_blocking().expect("the delivery ends");
    let is_cancelled = matches!(&next, Input::Message(m) if matches!(**m, Message::Cancel(_)));
    assert!(is_cancelled, "{next:?}");
}

#[test]
fn drain_waits_for_answers_to_refused_requests() {
    let mut fixture = Fixture::start(true);
    let (_, commands) = fixture.receive_arrival();
    // The control thread has no open request, but the caller has no answer yet.
    assert_eq!(fixture.frontend.control.open_requests(), 0);
    assert_eq!(block_on(drain(&fixture.frontend, Duration::from_millis(50))), 1);
    for expected in [Message::StopAdmission, Message::StopDeadline] {
        let Ok(Input::Message(message)) = fixture.inputs.recv_blocking() else {
            panic!("expected a message")
        };
        assert_eq!(*message, expected);
    }
    commands
        .try_send(Command::Refuse(Code::NoServer, Duration::ZERO))
        .expect("the delivery awaits a command");
    assert_eq!(block_on(drain(&fixture.frontend, Duration::from_secs(20))), 0);
    let mut answer = [0; 12];
    fixture.caller.read_exact(&mut answer).expect("an answer arrives");
    assert_eq!(&answer, b"HTTP/1.1 503");
}
