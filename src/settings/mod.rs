//! The settings of one daemon, from a JSON file that is fully checked before anything starts.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::Path;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::memory;
use crate::prelude::*;

/// Log lines a second of one event: ten times a daemon's request rate at the design load.
const LOG_LINES_PER_S: u32 = 200;
/// Log bytes a second: four lines of some 300 bytes for each of some 100 requests.
const LOG_BYTES_PER_S: u32 = 128 << 10;

/// Everything that a daemon is told at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's id in the VM list.
    pub id: String,
    /// The VM's region.
    pub region: String,
    /// The VM's availability zone.
    pub zone: String,
    /// Where callers connect.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where other daemons connect.
    #[schemars(with = "String")]
    pub peer_listen: SocketAddr,
    /// Where operators connect.
    #[schemars(with = "String")]
    pub operators_listen: SocketAddr,
    /// The platform's log service.
    #[schemars(with = "String")]
    pub log_service: SocketAddr,
    /// The platform's VM list.
    #[schemars(with = "String")]
    pub vm_list: SocketAddr,
    /// Threads that carry traffic; control has one of its own.
    #[serde(default = "default_threads")]
    pub threads: u32,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: Telemetry,
}

fn default_threads() -> u32 {
    2
}

/// Bounds of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Bytes of an answer's body that is passed on whole.
    pub answer_bytes: u64,
    /// Bytes of requests' bodies, services' answers and peers' frames that are held at a time.
    pub held_bytes: u64,
    /// Callers' connections at a time.
    pub connections: u32,
    /// Milliseconds that a read or write may wait.
    pub idle_ms: u64,
    /// Milliseconds that a connection to a backend server may take.
    pub connect_ms: u64,
    /// Milliseconds that a backend server may take to begin its answer.
    pub answer_begin_ms: u64,
    /// Milliseconds between two polls of the VM list.
    pub vm_list_interval_ms: u64,
    /// Milliseconds from a planned stop's start for which new connections are still taken, so
    /// that the platform's balancer can notice.
    pub drain_notice_ms: u64,
    /// Milliseconds that a planned stop may take at most.
    pub drain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 << 20,
            answer_bytes: 16 << 20,
            held_bytes: 64 << 20,
            connections: 4_096,
            idle_ms: 30_000,
            connect_ms: 1_000,
            answer_begin_ms: 120_000,
            vm_list_interval_ms: 500,
            drain_notice_ms: 2_000,
            drain_ms: 300_000,
        }
    }
}

/// Logs and traces of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// The form of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// Lines a second of each event that are written at most; what is left out is counted.
    pub log_lines_per_s: u32,
    /// Bytes a second that all lines but warnings may take.
    pub log_bytes_per_s: u32,
    /// Where traces are sent as OTLP over HTTP; none by default.
    #[schemars(with = "Option<String>")]
    pub otlp: Option<SocketAddr>,
}

impl Default for Telemetry {
    fn default() -> Self {
        Self {
            log_format: LogFormat::Text,
            log_level: LogLevel::Info,
            log_lines_per_s: LOG_LINES_PER_S,
            log_bytes_per_s: LOG_BYTES_PER_S,
            otlp: None,
        }
    }
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for people.
    Text,
    /// JSON for machines.
    Json,
}

/// A level of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Errors.
    Error,
    /// Also what needs attention.
    Warn,
    /// Also what operators want to see.
    Info,
    /// Also single requests.
    Debug,
}

/// Reads a whole file. An error contains its path.
///
/// ```
/// let error = cardamomvalve::settings::read_file("/nowhere".as_ref()).unwrap_err();
/// assert!(error.to_string().contains("/nowhere"));
/// ```
pub fn read_file(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path)
        .map_err(|error| Error::new(Code::FileUnreadable, format!("{}: {error}", path.display())))
}

/// Parses a settings file. An error starts with the path of the field at fault.
pub fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let settings = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        Error::new(Code::SettingsInvalid, format!("{path}: {}", error.inner()))
    })?;
    deserializer
        .end()
        .map_err(|error| Error::new(Code::SettingsInvalid, format!("(file): {error}")))?;
    Ok(settings)
}

impl Settings {
    /// Reads a settings file and checks its values.
    pub fn load(path: &Path) -> Result<Self> {
        Self::parse(&read_file(path)?)
    }

    /// Parses a settings file and checks its values.
    ///
    /// ```
    /// let error = cardamomvalve::settings::Settings::parse(b"{\"id\": 7}").unwrap_err();
    /// assert!(error.to_string().contains("id"));
    /// ```
    pub fn parse(bytes: &[u8]) -> Result<Self> {
        let settings: Self = parse(bytes)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        for (path, name) in [("id", &self.id), ("region", &self.region), ("zone", &self.zone)] {
            require(!name.is_empty() && name.len() <= 128, path, name, "1 to 128 characters")?;
        }
        require((1..=64).contains(&self.threads), "threads", self.threads, "1 to 64")?;
        let limits = &self.limits;
        let bounds = [
            ("limits.body_bytes", limits.body_bytes, 1 << 30),
            ("limits.answer_bytes", limits.answer_bytes, 1 << 30),
            ("limits.held_bytes", limits.held_bytes, 1 << 40),
            ("limits.connections", u64::from(limits.connections), 1 << 20),
            ("limits.idle_ms", limits.idle_ms, 3_600_000),
            ("limits.connect_ms", limits.connect_ms, 60_000),
            ("limits.answer_begin_ms", limits.answer_begin_ms, 3_600_000),
            ("limits.vm_list_interval_ms", limits.vm_list_interval_ms, 60_000),
            ("limits.drain_ms", limits.drain_ms, 3_600_000),
        ];
        for (path, value, max) in bounds {
            require((1..=max).contains(&value), path, value, &format!("1 to {max}"))?;
        }
        let notice = limits.drain_notice_ms;
        let allowed = "0 to drain_ms";
        require(notice <= limits.drain_ms, "limits.drain_notice_ms", notice, allowed)
    }
}

fn require(ok: bool, path: &str, value: impl std::fmt::Display, allowed: &str) -> Result<()> {
    if ok {
        return Ok(());
    }
    let detail = format!("{path}: {value} is not allowed, give {allowed}");
    Err(Error::new(Code::SettingsInvalid, detail))
}

impl Limits {
    /// Limits of what the daemon holds for others.
    pub fn held(&self) -> memory::Limits {
        memory::Limits::of_entry(self.held_bytes as usize, self.connections as usize)
    }

    /// Limits of an exchange with a backend server.
    pub fn exchange(&self) -> crate::http::client::Limits {
        crate::http::client::Limits {
            connect_timeout: Duration::from_millis(self.connect_ms),
            head_timeout: Duration::from_millis(self.answer_begin_ms),
            idle_timeout: Duration::from_millis(self.idle_ms),
            max_body_bytes: self.answer_bytes,
        }
    }
}
