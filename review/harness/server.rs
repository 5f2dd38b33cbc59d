//! Servers: plain ones and model servers, as PROTOCOL.md describes them.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};
use crate::record::Record;
use crate::store::Store;

/// Time between two registrations.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time in which a model server takes new weights.
const LOAD_TIME: Duration = Duration::from_millis(570);

/// One order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at_ms: u64,
    pub server: String,
    pub holder: String,
    pub token: u64,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub server: String,
    pub id: String,
}

#[derive(Default)]
struct State {
    version: u64,
    sequence: u64,
    highest_token: u64,
    busy_until: Option<(Instant, u64)>,
    heartbeats: u64,
    is_draining: bool,
}

/// What a server does with the requests of one kind.
#[derive(Clone, Copy, Default)]
pub struct Work {
    pub work_ms: u64,
    /// Bytes of a plain answer.
    pub answer_bytes: usize,
    /// Events of a stream, and the pause before each.
    pub events: u64,
    pub pause_ms: u64,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    is_engine: bool,
    checks_fences: bool,
    work: Mutex<Work>,
    state: Mutex<State>,
    record: Arc<Record>,
    pub orders: Arc<Mutex<Vec<Order>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Cuts the end off the next stream: all events are sent, and the connection closes before the end of the body.
    pub cuts_end: Mutex<bool>,
}

pub struct Options {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub is_engine: bool,
    pub checks_fences: bool,
    pub work: Work,
}

/// The orders and runs of all servers.
#[derive(Clone, Default)]
pub struct Seen {
    pub orders: Arc<Mutex<Vec<Order>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    pub fn start(id: &str, options: Options, store: &Arc<Store>, record: &Arc<Record>, seen: &Seen) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("it is bound");
        let Options { service, zone, slots, is_engine, checks_fences, work } = options;
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            is_engine,
            checks_fences,
            work: Mutex::new(work),
            state: Mutex::new(State { version: 1, ..State::default() }),
            record: Arc::clone(record),
            orders: Arc::clone(&seen.orders),
            runs: Arc::clone(&seen.runs),
            cuts_end: Mutex::default(),
        });
        let serving = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                std::thread::spawn(move || server.serve(stream));
            }
        });
        let (registering, store) = (Arc::clone(&server), Arc::clone(store));
        std::thread::spawn(move || {
            loop {
                let entry = registering.registration();
                store.try_put("keyed.servers", &registering.id, &entry);
                std::thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Reports that it is draining; the store has accepted that on return.
    pub fn drain(&self, store: &Store) {
        self.state.lock().unwrap().is_draining = true;
        let entry = self.registration();
        while !store.try_put("keyed.servers", &self.id, &entry) {
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line(&format!("acknowledged by the store: {} is draining", self.id));
    }

    fn registration(&self) -> String {
        let models = self.models();
        let mut state = self.state.lock().unwrap();
        state.heartbeats += 1;
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{}","cold_remaining_ms":0,"stage":"unified","models":{models},"sequence":{}}}"#,
            self.service, self.address, self.zone, self.slots,
            if state.is_draining { "draining" } else { "ready" }, state.heartbeats,
        )
    }

    fn models(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.settle();
        match self.is_engine {
            true => format!(r#"[{{"name":"m","version":{},"adapters":[]}}]"#, state.version),
            false => "[]".to_owned(),
        }
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&mut reader, &head) else { return };
            let path = head.word(1).split('?').next().unwrap_or_default().to_owned();
            let expected = head.field("X-Expect-Instance");
            let is_open = if expected.is_some_and(|expected| expected != self.id) {
                let id = head.field("X-Request-Id").unwrap_or_default();
                let fields = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
                reply(&mut writer, "421 Misdirected Request", &fields, b"")
            } else {
                match path.as_str() {
                    "/report" => {
                        let body = self.report();
                        reply(&mut writer, "200 OK", "Content-Type: application/json\r\n", body.as_bytes())
                    }
                    "/order" => {
                        let status = self.take_order(&String::from_utf8_lossy(&body));
                        reply(&mut writer, &format!("{status} X"), "", b"")
                    }
                    "/kv-events" => {
                        let wait = head.field("Wait-Ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                        std::thread::sleep(Duration::from_millis(wait));
                        let since = head.word(1).rsplit_once('=').map_or("0", |(_, since)| since).to_owned();
                        let body = format!(r#"{{"boot_epoch":1,"next":{since},"lost":false,"events":[]}}"#);
                        reply(&mut writer, "200 OK", "Content-Type: application/json\r\n", body.as_bytes())
                    }
                    "/health" => reply(&mut writer, "200 OK", &format!("X-Instance-Id: {}\r\n", self.id), b""),
                    _ => self.run(&mut writer, &head, &body),
                }
            };
            if !is_open {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let models = self.models();
        let state = self.state.lock().unwrap();
        format!(
            r#"{{"stage":"unified","models":{models},"busy":{},"sequence":{},"queued":0,"active":0,"kv_used":0,"kv_total":100000,"handles":0}}"#,
            state.busy_until.is_some(), state.sequence,
        )
    }

    fn take_order(&self, body: &str) -> u16 {
        let number = |name: &str| text_of(body, name).and_then(|text| text.parse::<u64>().ok());
        let holder = text_of(body, "holder").unwrap_or_default().trim_matches('"').to_owned();
        let (Some(token), Some(version)) = (number("fencing_token"), number("version")) else { return 400 };
        let expect = number("expect");
        let mut state = self.state.lock().unwrap();
        state.settle();
        let status = if self.checks_fences && token < state.highest_token {
            412
        } else {
            state.highest_token = state.highest_token.max(token);
            if state.busy_until.is_some() || expect.is_some_and(|expect| expect != state.sequence) {
                409
            } else if state.version == version {
                200
            } else {
                state.sequence += 1;
                state.busy_until = Some((Instant::now() + LOAD_TIME, version));
                202
            }
        };
        let at_ms = self.record.ms();
        self.record.line(&format!("order at {}: holder {holder}, token {token}, version {version}: {status}", self.id));
        let order = Order { at_ms, server: self.id.clone(), holder, token };
        self.orders.lock().unwrap().push(order);
        status
    }

    /// Runs a request. Returns whether the connection stays open.
    fn run(&self, writer: &mut TcpStream, head: &Head, body: &[u8]) -> bool {
        let id = head.field("X-Request-Id").unwrap_or_default().to_owned();
        let (version, is_busy) = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            (state.version, state.busy_until.is_some())
        };
        let own = format!("X-Request-Id: {id}\r\n");
        if self.is_engine && is_busy {
            return reply(writer, "503 Busy", &format!("{own}X-Not-Executed: 1\r\n"), b"");
        }
        if head.field("X-Expect-Weight-Version").is_some_and(|expected| expected != version.to_string()) {
            let fields = format!("{own}X-Not-Executed: 1\r\nX-Weight-Versions: {version}\r\n");
            return reply(writer, "421 Misdirected Request", &fields, b"");
        }
        let tenant = head.field("X-Tenant-Id").map(str::to_owned);
        let last_event = head.field("Last-Event-Id").and_then(|id| id.parse().ok());
        let at_ms = self.record.ms();
        self.record.line(&format!(
            "run at {}: request {id}, {} {}, tenant {}, {} bytes, after event {last_event:?}",
            self.id, head.word(0), head.word(1), tenant.as_deref().unwrap_or("-"), body.len(),
        ));
        self.runs.lock().unwrap().push(Run { at_ms, server: self.id.clone(), id });
        let work = *self.work.lock().unwrap();
        std::thread::sleep(Duration::from_millis(work.work_ms));
        // A server that is leaving says so.
        let closing = if self.state.lock().unwrap().is_draining { "Connection: close\r\n" } else { "" };
        let fields = format!("{own}X-Response-Seal: seal-{}\r\nX-Weight-Versions: {version}\r\n{closing}", self.id);
        if work.events == 0 {
            return reply(writer, "200 OK", &fields, &vec![b'a'; work.answer_bytes]) && closing.is_empty();
        }
        if last_event.is_some_and(|last| last >= work.events) {
            // No event is left: as the standard of event streams says, there is nothing to come back for.
            let head = format!("HTTP/1.1 204 No Content\r\n{fields}\r\n");
            return writer.write_all(head.as_bytes()).is_ok();
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let cuts_end = std::mem::take(&mut *self.cuts_end.lock().unwrap());
        for event in last_event.unwrap_or(0) + 1..=work.events {
            std::thread::sleep(Duration::from_millis(work.pause_ms));
            let text = format!("id: {event}\ndata: piece {event} of {}\n\n", self.id);
            if write!(writer, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                return false;
            }
        }
        !cuts_end && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

impl State {
    /// Ends a load whose time is over.
    fn settle(&mut self) {
        if let Some((until, version)) = self.busy_until
            && Instant::now() >= until
        {
            self.version = version;
            self.busy_until = None;
        }
    }
}

fn reply(writer: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    writer.write_all(&[head.as_bytes(), body].concat()).is_ok()
}

/// The text of a field in a flat JSON object.
fn text_of<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let end = rest.find([',', '}'])?;
    Some(rest[..end].trim())
}
