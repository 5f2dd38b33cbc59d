//! Parsing and encoding of request and answer heads.

use std::fmt::Write;

use super::Framing;

/// Maximum number of header fields in one head.
const MAX_FIELDS: usize = 96;
/// Statuses of answers, informational ones included (RFC 9110, section 15).
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// Connection-specific fields (RFC 9110, section 7.6.1) and fields that declare the framing.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// Error for a message that is malformed or uses an unsupported feature, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

/// Header fields in their original order; names are compared case-insensitively.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// Returns the only value of the field `name`, or `None` if it is missing or repeated.
    ///
    /// ```
    /// let mut fields = cardamomvalve::relay::Fields::default();
    /// fields.push("Host", "a.example");
    /// assert_eq!(fields.get("host"), Some("a.example"));
    /// ```
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut values = self.0.iter().filter(|(field, _)| field.eq_ignore_ascii_case(name));
        let (_, first) = values.next()?;
        values.next().is_none().then_some(first.as_str())
    }

    /// Returns all values of the field `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.0.iter().filter(move |(field, _)| field.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.0.push((name.into(), value.into()));
    }

    /// Iterates over all fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Iterates over the fields to forward: all except the connection-specific ones.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        self.iter().filter(move |(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(&name)
        })
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        self.all("connection")
            .flat_map(|value| value.split(','))
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    }

    fn parse(fields: &[httparse::Header<'_>]) -> Result<Self, Malformed> {
        let text = |field: &httparse::Header<'_>| {
            let value: String = match std::str::from_utf8(field.value) {
                Ok(value) => value.to_owned(),
                Err(_) => return Err(Malformed(format!("{} is not UTF-8", field.name))),
            };
            Ok((field.name.to_owned(), value))
        };
        Ok(Self(fields.iter().map(text).collect::<Result<_, _>>()?))
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query, unmodified.
    pub target: String,
    /// The header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection can be reused after the answer.
    pub keep_alive: bool,
}

impl Request {
    /// Parses a head. Returns it with its length in bytes, or `None` if it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Malformed> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut storage);
        let status = parsed.parse(bytes).map_err(|error| Malformed(error.to_string()))?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let fields = Fields::parse(parsed.headers)?;
        let framing = Framing::of_request(&fields)?;
        let keep_alive = parsed.version == Some(1) && !fields.closes_connection();
        let request = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            fields,
            framing,
            keep_alive,
        };
        if !request.target.starts_with('/') || request.fields.get("host").is_none() {
            return Err(Malformed("the target is no path, or there is not one Host".into()));
        }
        Ok(Some((request, length)))
    }

    /// Returns whether this is a HEAD request, whose answer has no body.
    pub fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection can be reused after the answer.
    pub keep_alive: bool,
}

impl Response {
    /// Parses a head. Returns it with its length in bytes, or `None` if it is incomplete. An answer
    /// to a HEAD request has no body, whatever framing its head declares.
    pub fn parse(bytes: &[u8], answers_head: bool) -> Result<Option<(Self, usize)>, Malformed> {
        let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut storage);
        let status = parsed.parse(bytes).map_err(|error| Malformed(error.to_string()))?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(Malformed(format!("{status:03} is no status of an answer")));
        }
        let fields = Fields::parse(parsed.headers)?;
        let bodiless = answers_head || matches!(status, 100..=199 | 204 | 304);
        let framing = if bodiless { Framing::Length(0) } else { Framing::of_response(&fields)? };
        let keep_alive = parsed.version == Some(1)
            && !fields.closes_connection()
            && framing != Framing::UntilClose;
        let reason = parsed.reason.unwrap_or_default().to_owned();
        Ok(Some((Self { status, reason, fields, framing, keep_alive }, length)))
    }
}

/// Encodes a head: the first line, the fields and an empty line.
pub(super) fn encode<'a>(
    first_line: &str,
    fields: impl Iterator<Item = (&'a str, &'a str)>,
) -> String {
    let mut text = String::with_capacity(512);
    text.push_str(first_line);
    text.push_str("\r\n");
    for (name, value) in fields {
        write!(text, "{name}: {value}\r\n").ok();
    }
    text.push_str("\r\n");
    text
}
