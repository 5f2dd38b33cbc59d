//! HTTP/1.1 on blocking sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The word of the first line with this number.
    pub fn word(&self, number: usize) -> &str {
        self.first.split(' ').nth(number).unwrap_or_default()
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let first = read_line(reader)?;
    let mut fields = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(Head { first, fields });
        }
        let (name, value) = line.split_once(':')?;
        fields.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok().filter(|count| *count > 0)?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).ok()
}

/// Reads a body by its framing; `None` if it is not complete.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Option<Vec<u8>> {
    if head.field("Transfer-Encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.field("Content-Length").map_or(Ok(0), str::parse).ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// The whole answer to a request.
pub struct Answer {
    pub status: u16,
    pub head: Head,
}

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(method: &'static str, target: &str, id: &str, key: &str, deadline_ms: u64) -> Self {
        let fields = [
            ("Host", "a.example"),
            ("X-Request-Id", id),
            ("X-Request-Deadline-Ms", &deadline_ms.to_string()),
            ("Authorization", &format!("Bearer {key}")),
        ];
        let fields = fields.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
        Self { method, target: target.to_owned(), fields, body: Vec::new() }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection and reads the answer; `None` if it is not whole.
pub fn call(address: SocketAddr, request: &Request, timeout: Duration) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(&request.encode()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let head = read_head(reader)?;
    let status = head.word(1).parse().ok()?;
    read_body(reader, &head)?;
    Some(Answer { status, head })
}
