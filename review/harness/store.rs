//! The platform's store as PROTOCOL.md describes it: topics with offsets, long polls, the newest record of
//! each key, and records that expire.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    /// Whether calls of this topic are read and never answered.
    is_silent: bool,
    /// Number of such outages so far; a read that waits when one begins is never answered.
    outages: u64,
}

/// The status of a call that is never answered.
const NO_ANSWER: u16 = 0;

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Vec<u8>, is_keyed: bool) {
        if is_keyed && let Some((length, rest)) = record.split_first() {
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => self.newest.remove(&key),
                false => self.newest.insert(key, (self.end(), value.to_vec())),
            };
        }
        self.records.push_back((Instant::now(), record));
    }

    fn expire(&mut self, keep: Duration) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

pub struct Store {
    pub address: SocketAddr,
    keep: Duration,
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    pub fn start(keep: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("it is bound");
        let store = Arc::new(Self { address, keep, topics: Mutex::default(), changed: Condvar::new() });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the value of a key, as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().append(record, true);
        self.changed.notify_all();
    }

    /// Makes the partition of a topic silent, or ends that.
    pub fn set_silent(&self, topic: &str, is_silent: bool) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.outages += u64::from(is_silent && !topic.is_silent);
        topic.is_silent = is_silent;
        self.changed.notify_all();
    }

    /// Writes the value of a key unless the topic is silent. Returns whether it was accepted.
    pub fn try_put(&self, topic: &str, key: &str, value: &str) -> bool {
        if self.topics.lock().unwrap().entry(topic.to_owned()).or_default().is_silent {
            return false;
        }
        self.put(topic, key, value);
        true
    }

    /// The first offset that a topic still has, and its end.
    pub fn range(&self, topic: &str) -> (u64, u64) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.expire(self.keep);
        (topic.first, topic.end())
    }

    /// The records of a topic that have not expired, as text.
    pub fn texts(&self, topic: &str) -> Vec<(u64, String)> {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let texts = topic.records.iter().map(|(_, record)| String::from_utf8_lossy(record).into_owned());
        (topic.first..).zip(texts).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_body(&mut reader, &head) else { return };
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            std::thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.answer(head.word(0), path, &query, &body);
            if status == NO_ANSWER {
                // The connection returns nothing further.
                std::thread::sleep(Duration::from_secs(120));
                return;
            }
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", answer.len());
            if writer.write_all(&[head.as_bytes(), &answer].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, query: &BTreeMap<&str, &str>, body: &[u8]) -> (u16, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let name = query.get("topic").copied().unwrap_or_default();
        if self.topics.lock().unwrap().entry(name.to_owned()).or_default().is_silent {
            return (NO_ANSWER, Vec::new());
        }
        match (method, path) {
            ("POST", "/log-append") => {
                if name == "keyed.op" || name == "keyed.servers" {
                    return (403, Vec::new());
                }
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(name.to_owned()).or_default();
                let offset = topic.end();
                let mut rest = body;
                while let Some((length, tail)) = rest.split_first_chunk::<4>() {
                    let (record, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
                    topic.append(record.to_vec(), name.starts_with("keyed."));
                    rest = tail;
                }
                let end = topic.end();
                self.changed.notify_all();
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            ("GET", "/log-read") => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.read(name, number("from").unwrap_or(0), wait)
            }
            ("GET", "/log-newest") => {
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(name.to_owned()).or_default();
                let items: Vec<String> = topic
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                    })
                    .collect();
                let end = topic.end();
                (200, format!("{{\"items\":[{}],\"has_more\":false,\"end\":{end}}}", items.join(",")).into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, name: &str, from: u64, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        let outages = topics.entry(name.to_owned()).or_default().outages;
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            topic.expire(self.keep);
            if topic.outages != outages || topic.is_silent {
                return (NO_ANSWER, Vec::new());
            }
            if from < topic.first {
                return (410, format!("{{\"first\":{}}}", topic.first).into_bytes());
            }
            if from < topic.end() || Instant::now() >= deadline {
                let mut page = [topic.end().to_be_bytes(), topic.first.to_be_bytes()].concat();
                for (_, record) in topic.records.iter().skip((from - topic.first) as usize) {
                    page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    page.extend_from_slice(record);
                }
                return (200, page);
            }
            let left = deadline.saturating_duration_since(Instant::now()).min(Duration::from_millis(200));
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let group = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
