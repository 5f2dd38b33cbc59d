//! The platform's store, as PROTOCOL.md describes its log: appends, reads that wait, and the newest record of each key.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Conn, Message};

#[derive(Default)]
struct Log {
    /// The oldest offset that is kept.
    first: u64,
    records: Vec<Vec<u8>>,
    /// The newest record of each key, with its offset.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Log {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Log>,
}

/// The store. Clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    news: Arc<Condvar>,
}

impl Store {
    /// Serves the store at `address` from now on.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.request() {
                        let (status, kind, body) = store.handle(&request);
                        if conn.answer(status, &[("Content-Type", kind)], &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    fn handle(&self, request: &Message) -> (&'static str, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/log-append" if topic == "keyed.op" || topic == "keyed.servers" => {
                ("403 Forbidden", JSON, b"{}".to_vec())
            }
            "/log-append" => {
                let (mut rest, mut records) = (request.body.as_slice(), Vec::new());
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    if rest.len() < 4 + length {
                        return ("400 Bad Request", JSON, b"{}".to_vec());
                    }
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let at = request.query("at").and_then(|at| at.parse().ok());
                match self.append(&topic, records, at) {
                    Ok((offset, end)) => {
                        ("200 OK", JSON, format!("{{\"offset\":{offset},\"end\":{end}}}").into())
                    }
                    Err(end) => {
                        ("412 Precondition Failed", JSON, format!("{{\"end\":{end}}}").into())
                    }
                }
            }
            "/log-read" => {
                let from = request.query_number("from");
                let wait = Duration::from_millis(request.query_number("wait_ms").min(30_000));
                self.read(&topic, from, wait)
            }
            "/log-newest" => ("200 OK", JSON, self.newest(&topic)),
            _ => ("404 Not Found", JSON, b"{}".to_vec()),
        }
    }

    fn append(
        &self,
        topic: &str,
        records: Vec<Vec<u8>>,
        at: Option<u64>,
    ) -> Result<(u64, u64), u64> {
        let mut state = self.state.lock().unwrap();
        let log = state.topics.entry(topic.to_owned()).or_default();
        let offset = log.end();
        if at.is_some_and(|at| at != offset) {
            return Err(offset);
        }
        for record in records {
            if topic.starts_with("keyed.") {
                let key_end = 1 + usize::from(record.first().copied().unwrap_or(0));
                let key = String::from_utf8_lossy(record.get(1..key_end).unwrap_or(&[])).into_owned();
                let value = record.get(key_end..).unwrap_or(&[]).to_vec();
                let place = log.end();
                match value.is_empty() {
                    true => log.newest.remove(&key),
                    false => log.newest.insert(key, (place, value)),
                };
            }
            log.records.push(record);
        }
        let end = log.end();
        self.news.notify_all();
        Ok((offset, end))
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> (&'static str, &'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let log = state.topics.entry(topic.to_owned()).or_default();
            if from < log.first {
                let body = format!("{{\"first\":{}}}", log.first);
                return ("410 Gone", "application/json", body.into());
            }
            let now = Instant::now();
            if from < log.end() || now >= until {
                let mut body = log.end().to_be_bytes().to_vec();
                body.extend_from_slice(&log.first.to_be_bytes());
                for record in log.records.iter().skip((from - log.first) as usize) {
                    if body.len() > 1 << 20 {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return ("200 OK", "application/octet-stream", body);
            }
            state = self.news.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let log = state.topics.entry(topic.to_owned()).or_default();
        let items = log.newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = log.end();
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{end}}}", items.join(",")).into()
    }

    /// Writes the record of a key, as the operator and the servers do. An empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record], None).ok();
    }

    /// Whether a key has a value.
    pub fn has(&self, topic: &str, key: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.topics.get(topic).is_some_and(|log| log.newest.contains_key(key))
    }

    /// Drops the oldest records of a topic that is not keyed, as they expire.
    #[allow(dead_code)]
    pub fn forget(&self, topic: &str) {
        let mut state = self.state.lock().unwrap();
        let log = state.topics.entry(topic.to_owned()).or_default();
        log.first = log.end();
        log.records.clear();
    }

    /// The records of a topic.
    #[allow(dead_code)]
    pub fn records(&self, topic: &str) -> Vec<Vec<u8>> {
        let state = self.state.lock().unwrap();
        state.topics.get(topic).map(|log| log.records.clone()).unwrap_or_default()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            let digit = number >> (18 - 6 * place) & 63;
            out.push(if place <= three.len() { DIGITS[digit as usize] as char } else { '=' });
        }
    }
    out
}
