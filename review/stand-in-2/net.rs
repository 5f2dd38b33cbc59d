//! HTTP over TCP for the stand-ins and clients: heads, bodies, and no more than the cases need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its fields and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing declares.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self.fields.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    #[allow(dead_code)]
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    pub fn query_number(&self, name: &str) -> u64 {
        self.query(name).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, ahead: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head. `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Ok(Some(Message { line, fields: fields.collect(), ..Message::default() }))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads `count` bytes to `body`. Returns whether all came.
    fn take(&mut self, count: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                body.append(&mut self.ahead);
                return Ok(false);
            }
        }
        body.extend(self.ahead.drain(..count));
        Ok(true)
    }

    /// Reads the body of `message`. That of an answer may end with the connection. Calls `on_bytes` with what has come.
    pub fn body(
        &mut self,
        message: &mut Message,
        is_answer: bool,
        on_bytes: &mut dyn FnMut(&[u8]),
    ) -> io::Result<()> {
        let length = message.field("content-length").and_then(|length| length.parse().ok());
        if message.field("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line()? else { return Ok(()) };
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let Ok(size) = size else { return Ok(()) };
                if size == 0 {
                    message.is_whole = self.line()?.is_some();
                    return Ok(());
                }
                let before = message.body.len();
                let mut body = std::mem::take(&mut message.body);
                let whole = self.take(size, &mut body);
                message.body = body;
                on_bytes(&message.body[before..]);
                if !whole? || self.line()?.is_none() {
                    return Ok(());
                }
            }
        }
        let none = message.status() == 204 || message.status() == 304;
        match length {
            Some(length) => {
                let mut body = std::mem::take(&mut message.body);
                let whole = self.take(length, &mut body);
                message.body = body;
                on_bytes(&message.body);
                message.is_whole = whole?;
            }
            None if is_answer && !none => {
                message.body.append(&mut self.ahead);
                on_bytes(&message.body);
                loop {
                    if self.fill()? == 0 {
                        break;
                    }
                    on_bytes(&self.ahead);
                    message.body.append(&mut self.ahead);
                }
                message.is_whole = true;
            }
            None => message.is_whole = true,
        }
        Ok(())
    }

    /// Reads a whole request. `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        self.body(&mut message, false, &mut |_| {})?;
        Ok(message.is_whole.then_some(message))
    }

    /// Sends an answer with a length.
    pub fn answer(&mut self, status: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.stream.write_all(&all)
    }
}

/// The end of a request as its client saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The answer's head and what came of its body; `None` if there was no head.
    pub answer: Option<Message>,
    #[allow(dead_code)]
    pub took: Duration,
    pub error: Option<String>,
}

impl Seen {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    pub fn is_whole(&self) -> bool {
        self.error.is_none() && self.answer.as_ref().is_some_and(|answer| answer.is_whole)
    }
}

/// Sends a request on a new connection and reads its answer, for `patience` at most.
pub fn ask(
    address: SocketAddr,
    line: &str,
    fields: &[(String, String)],
    body: &[u8],
    patience: Duration,
) -> Seen {
    let started = Instant::now();
    let mut answer = None;
    let mut exchange = || -> io::Result<()> {
        let mut conn = Conn::connect(address, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(patience))?;
        let mut head = format!("{line} HTTP/1.1\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !line.starts_with("GET") {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        conn.stream.write_all(&all)?;
        answer = conn.head()?;
        if let Some(message) = &mut answer {
            conn.body(message, true, &mut |_| {})?;
        }
        Ok(())
    };
    let error = exchange().err().map(|error| error.to_string());
    Seen { answer, took: started.elapsed(), error }
}
