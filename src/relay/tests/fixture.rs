//! Daemons, servers and callers of the tests of handovers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use async_channel::{Receiver, Sender};
use async_io::{Async, block_on};

use super::delivery::{dispatch, table};
use crate::fleet::{
    Arrival, Command, Control, Dispatch, Handover, HandoverEnd, Input, Message, Statement,
};
use crate::http::header;
use crate::memory::{Account, Holding, Port};
use crate::prelude::*;
use crate::relay::*;
use crate::route::{Repeat, Workspace};
use crate::telemetry::metrics::Metrics;

/// The request's id, if it is not `r-1`.
pub(super) const REQUEST_ID: &str = "X-Id";
/// Time that the caller waits, in milliseconds.
const TIMEOUT: &str = "X-Timeout-Ms";
/// Asks for the body of a request.
pub(super) const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";
/// Time after which a test fails that waits for bytes.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Dialect that forwards the caller's fields.
struct TestDialect;

impl Dialect for TestDialect {
    fn metadata(&self, request: &Request) -> Result<Metadata, Malformed> {
        let number = |name| request.fields.get(name).and_then(|value| value.parse().ok());
        Ok(Metadata {
            id: request.fields.get(REQUEST_ID).unwrap_or("r-1").into(),
            timeout: number(TIMEOUT).map(Duration::from_millis),
            workspace_key: None,
            prompt: None,
            last_event_id: number("Last-Event-Id"),
            first_attempt_id: None,
        })
    }

    fn forwarded_fields(
        &self,
        request: &Request,
        _: &Metadata,
        _: Option<&Workspace>,
        _: &Dispatch,
        remaining: Option<Duration>,
        _: Option<u64>,
    ) -> Fields {
        self.handover_fields(request, remaining)
    }

    fn handover_fields(&self, request: &Request, remaining: Option<Duration>) -> Fields {
        let mut fields = Fields::default();
        for (name, value) in request.fields.end_to_end().filter(|(name, _)| *name != TIMEOUT) {
            fields.push(name, value);
        }
        if let Some(remaining) = remaining {
            fields.push(TIMEOUT, remaining.as_millis().to_string());
        }
        fields
    }

    fn classify(&self, metadata: &Metadata, response: &Response) -> Classification {
        let is_own = response.fields.get(header::CODE).is_some();
        if self.named_request(response).is_some_and(|id| id != metadata.id) {
            return Classification::Foreign;
        }
        match is_own || response.fields.get("X-Unsigned").is_some() {
            true => Classification::Invalid,
            false if response.status == 503 => Classification::Unconfirmed(None),
            false => Classification::Answer(None),
        }
    }

    /// An answer without the field is to the request that was sent.
    fn named_request<'a>(&self, response: &'a Response) -> Option<&'a str> {
        response.fields.get(REQUEST_ID)
    }

    fn statement(&self, _: &Response) -> Statement {
        Statement::default()
    }

    fn error_fields(&self, _: &Metadata) -> Fields {
        Fields::default()
    }
}

/// The frontend of a daemon. The test acts as its control thread.
pub(super) struct Daemon {
    pub(super) frontend: Arc<Frontend>,
    pub(super) entry: SocketAddr,
    pub(super) handover: SocketAddr,
    inputs: Receiver<Input>,
    /// Dropped to close idle connections.
    pub(super) stop: Sender<()>,
}

impl Daemon {
    pub(super) fn start(streams: bool) -> Self {
        Self::start_for(Repeat::Resumable, streams)
    }

    /// Starts a daemon for requests that may be repeated by this rule.
    pub(super) fn start_for(repeat: Repeat, streams: bool) -> Self {
        let (control, inputs) = Control::new();
        control.set_table(table(repeat, streams));
        let (stop, stopping) = async_channel::bounded(1);
        let metrics = Arc::new(Metrics::new().expect("instruments can be created"));
        let dialect = Arc::new(TestDialect);
        let account = Arc::new(Account::default());
        let frontend = Arc::new(Frontend::new(
            dialect,
            control,
            Arc::default(),
            metrics,
            Arc::clone(&account),
            stopping,
        ));
        let entry = listen_at(Port::Entry, &account, &frontend, |frontend, stream, holding| {
            block_on(serve(frontend, stream, holding));
        });
        let handover =
            listen_at(Port::Handover, &account, &frontend, |frontend, stream, holding| {
                block_on(serve_peer(frontend, stream, holding));
            });
        Self { frontend, entry, handover, inputs, stop }
    }

    pub(super) fn receive_arrival(&self) -> (Box<Arrival>, Sender<Command>) {
        loop {
            match self.inputs.recv_blocking() {
                Ok(Input::Open(arrival, commands)) => return (arrival, commands),
                Ok(Input::Message(message)) if matches!(*message, Message::Cancel(_)) => {}
                other => panic!("expected a request: {other:?}"),
            }
        }
    }

    pub(super) fn receive_message(&self) -> Message {
        match self.inputs.recv_blocking() {
            Ok(Input::Message(message)) => *message,
            other => panic!("expected a message: {other:?}"),
        }
    }

    /// Waits until a request has ended.
    pub(super) fn wait_for_end(&self) {
        while !matches!(self.receive_message(), Message::Cancel(_)) {}
    }

    /// Takes a request over and sends it to `server`.
    pub(super) fn send_to(&self, server: SocketAddr) -> Box<Arrival> {
        let (arrival, commands) = self.receive_arrival();
        commands.try_send(dispatch(1, server)).expect("the delivery awaits a command");
        arrival
    }
}

/// Starts a listener of a daemon, which refuses the connections beyond its limit.
fn listen_at(
    port: Port,
    account: &Arc<Account>,
    frontend: &Arc<Frontend>,
    serve: fn(Arc<Frontend>, Async<TcpStream>, Holding),
) -> SocketAddr {
    let (account, frontend) = (Arc::clone(account), Arc::clone(frontend));
    listen(move |stream| {
        let stream = Async::new(stream).expect("the stream can be polled");
        if let Some(holding) = block_on(account.open(port)) {
            return serve(Arc::clone(&frontend), stream, holding);
        }
        let holding = block_on(account.open(Port::Refused)).expect("few are refused");
        block_on(refuse(stream, holding));
    })
}

/// Takes all connections that may be open at `port`.
pub(super) fn take_all(account: &Arc<Account>, port: Port) -> Vec<Holding> {
    let mut taken = Vec::new();
    while let Some(holding) = block_on(account.open(port)) {
        assert!(holding.begin_serving());
        taken.push(holding);
    }
    taken
}

/// Starts a server that handles each connection in a thread of its own.
pub(super) fn listen(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// Reads one request whose body has a length, or is sent in chunks once it is asked for; `None` if the connection ends.
pub(super) fn read_request(stream: &mut TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the time is not zero");
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with("\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        text.push(char::from(byte[0]));
    }
    if text.contains("\r\nExpect: 100-continue\r\n") {
        stream.write_all(CONTINUE.as_bytes()).ok()?;
        while !text.ends_with("0\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            text.push(char::from(byte[0]));
        }
        return Some(text);
    }
    let length = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    stream.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8_lossy(&body))
}

/// Starts a server that answers each request with `answer` and passes the requests on.
pub(super) fn answer_each(answer: impl Into<Vec<u8>>) -> (SocketAddr, Receiver<String>) {
    let answer = answer.into();
    let (sender, requests) = async_channel::unbounded();
    let address = listen(move |mut stream| {
        while let Some(request) = read_request(&mut stream) {
            sender.try_send(request).ok();
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    });
    (address, requests)
}

/// A caller's connection.
pub(super) struct Caller {
    pub(super) stream: TcpStream,
    conn: Conn,
}

impl Caller {
    pub(super) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the daemon listens");
        let reading = stream.try_clone().expect("the connection is open");
        let conn = Conn::new(Async::new(reading).expect("the stream can be polled"));
        Self { stream, conn }
    }

    pub(super) fn send(&self, request: &str) {
        block_on(self.conn.write(request.as_bytes())).expect("the connection is open");
    }

    pub(super) fn read_head(&mut self) -> Response {
        block_on(self.conn.read_response(false)).expect("a head arrives")
    }

    /// Reads the body until it is complete or ends; returns it and whether it is complete.
    pub(super) fn read_body(&mut self, response: &Response) -> (String, bool) {
        let mut decoder = Decoder::new(response.framing);
        let mut body = Vec::new();
        while let Ok(true) = block_on(self.conn.read_body(&mut decoder, &mut body)) {}
        (String::from_utf8(body).expect("text"), decoder.is_complete())
    }

    /// Reads body bytes that have arrived, without waiting for the rest.
    pub(super) fn read_some(&mut self, decoder: &mut Decoder) -> String {
        let mut body = Vec::new();
        block_on(self.conn.read_body(decoder, &mut body)).expect("bytes arrive");
        String::from_utf8(body).expect("text")
    }
}

pub(super) fn hand_over(attempt: u32, address: SocketAddr) -> Command {
    Command::HandOver(Handover { attempt, daemon: format!("peer-{attempt}"), address })
}

pub(super) fn give(commands: &Sender<Command>, command: Command) {
    commands.try_send(command).expect("the delivery awaits a command");
}

pub(super) fn receive_end(daemon: &Daemon) -> (u32, HandoverEnd) {
    match daemon.receive_message() {
        Message::HandoverEnded { attempt, end, .. } => (attempt, end),
        other => panic!("expected the end of a handover: {other:?}"),
    }
}

/// Sends `request` to a daemon that hands it over to `peer`. Returns the caller and the channel for more commands.
pub(super) fn send_through(
    daemon: &Daemon,
    peer: SocketAddr,
    request: &str,
) -> (Caller, Sender<Command>) {
    let caller = Caller::connect(daemon.entry);
    caller.send(request);
    let (arrival, commands) = daemon.receive_arrival();
    assert!(!arrival.is_handed_over);
    give(&commands, hand_over(1, peer));
    (caller, commands)
}
