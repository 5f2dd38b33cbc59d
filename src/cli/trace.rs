//! `trace`: shows the history of a request, merged from the log lines of several daemons.
//!
//! Lines of one run of a daemon are ordered by its uptime, which steps of the wall clock don't affect. Runs
//! are aligned by the median difference between their wall clock and their uptime.

use std::io::{BufRead, BufReader};
use std::path::Path;

use jiff::Timestamp;
use serde_json::{Map, Value};

use super::options::Trace;
use super::pretty_json;
use crate::prelude::*;

/// Time before and after a request's own lines for which lines on its servers and daemons are shown. The
/// state behind a decision has often changed shortly before it.
const CONTEXT_MS: i64 = 2_000;
/// Fields that a row doesn't list among its values.
const UNLISTED_FIELDS: [&str; 8] =
    ["time", "level", "uptime_ms", "daemon", "event", "name", "request", "line_at_ms"];
/// The highest number of the events on a daemon and its dependencies.
const MAX_DAEMON_EVENT: u64 = 299;

/// A log line and the time that orders it.
#[derive(Debug, Clone)]
struct Line {
    fields: Map<String, Value>,
    daemon: String,
    uptime_ms: i64,
    /// Wall-clock time in the line, in milliseconds since the epoch.
    wall_clock_ms: i64,
    /// The same time derived from the daemon's uptime.
    at_ms: i64,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let Ok(Value::Object(fields)) = serde_json::from_str(text) else { return None };
        let time: Timestamp = fields.get("time")?.as_str()?.parse().ok()?;
        let daemon = fields.get("daemon")?.as_str()?.to_owned();
        let uptime_ms = fields.get("uptime_ms")?.as_i64()?;
        let wall_clock_ms = time.as_millisecond();
        Some(Self { fields, daemon, uptime_ms, wall_clock_ms, at_ms: wall_clock_ms })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns whether the line is on request `id`, or on requests with the fingerprint `id`.
    fn concerns(&self, id: &str) -> bool {
        self.text("request") == Some(id) || self.has_fingerprint(id)
    }

    fn has_fingerprint(&self, fingerprint: &str) -> bool {
        let mut fingerprints = self.text("fingerprints").unwrap_or_default().split(' ');
        self.text("fingerprint") == Some(fingerprint)
            || fingerprints.any(|listed| listed == fingerprint)
    }

    /// Returns whether the line is on the daemon itself or on its dependencies.
    fn is_daemon_event(&self) -> bool {
        let event = self.fields.get("event").and_then(Value::as_u64);
        event.is_some_and(|event| event <= MAX_DAEMON_EVENT)
    }
}

/// Runs the command.
pub(super) fn run(options: &Trace) -> Result<String> {
    let lines = read_all(options)?;
    let history = history(lines, &options.request);
    if history.is_empty() {
        let detail = format!("request {}", options.request);
        return Err(Error::new(Code::RequestUnknown, detail));
    }
    Ok(if options.json { as_json(&history) } else { as_text(&history, &options.request) })
}

fn read_all(options: &Trace) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    for path in &options.files {
        read_file(path, &mut lines).map_err(|error| {
            Error::new(Code::FileUnreadable, format!("{}: {error}", path.display()))
        })?;
    }
    if options.files.is_empty() {
        read_lines(std::io::stdin().lock(), &mut lines).map_err(|error| {
            Error::new(Code::FileUnreadable, format!("standard input: {error}"))
        })?;
    }
    Ok(lines)
}

fn read_file(path: &Path, lines: &mut Vec<Line>) -> std::io::Result<()> {
    read_lines(BufReader::new(std::fs::File::open(path)?), lines)
}

/// Reads the log lines of one file, skipping other content, and sets their times.
fn read_lines(mut reader: impl BufRead, lines: &mut Vec<Line>) -> std::io::Result<()> {
    let mut runs: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        let text = String::from_utf8_lossy(&bytes);
        // A log collector may have added a prefix to the object.
        if let Some(line) = text.find('{').and_then(|start| Line::parse(&text[start..])) {
            let run = runs.entry(line.daemon.clone()).or_default();
            if run.last().is_some_and(|last| line.uptime_ms < last.uptime_ms) {
                lines.append(&mut align_times(std::mem::take(run)));
            }
            run.push(line);
        }
        bytes.clear();
    }
    lines.extend(runs.into_values().flat_map(align_times));
    Ok(())
}

/// Sets the times of the lines of one run.
fn align_times(mut run: Vec<Line>) -> Vec<Line> {
    let mut starts: Vec<i64> = run.iter().map(|line| line.wall_clock_ms - line.uptime_ms).collect();
    starts.sort_unstable();
    let start = starts.get(starts.len() / 2).copied().unwrap_or(0);
    for line in &mut run {
        line.at_ms = start + line.uptime_ms;
    }
    run
}

/// Returns, ordered by time, the lines on `request`, those that name only its fingerprint (such as
/// crashes and blocks), and those on its servers and daemons at about the same time.
fn history(lines: Vec<Line>, request: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.concerns(request)).collect();
    let first_ms = own.iter().map(|line| line.at_ms).min();
    let (Some(first_ms), Some(last_ms)) = (first_ms, own.iter().map(|line| line.at_ms).max())
    else {
        return Vec::new();
    };
    let servers: BTreeSet<String> =
        own.iter().filter_map(|line| line.text("server")).map(str::to_owned).collect();
    let daemons: BTreeSet<String> = own.iter().map(|line| line.daemon.clone()).collect();
    let fingerprints: BTreeSet<String> =
        own.iter().filter_map(|line| line.text("fingerprint")).map(str::to_owned).collect();
    let context = first_ms - CONTEXT_MS..=last_ms + CONTEXT_MS;
    let mut history: Vec<Line> = lines
        .into_iter()
        .filter(|line| match line.text("request") {
            Some(_) => line.concerns(request),
            None if fingerprints.iter().any(|one| line.has_fingerprint(one)) => true,
            None if !context.contains(&line.at_ms) => false,
            None => match line.text("server") {
                Some(server) => servers.contains(server),
                None => daemons.contains(&line.daemon) && line.is_daemon_event(),
            },
        })
        .collect();
    history.sort_by_key(|line| line.at_ms);
    history
}

fn as_json(history: &[Line]) -> String {
    let lines: Vec<Value> = history
        .iter()
        .map(|line| {
            let mut fields = line.fields.clone();
            fields.insert("line_at_ms".into(), line.at_ms.into());
            Value::Object(fields)
        })
        .collect();
    pretty_json(&lines)
}

fn as_text(history: &[Line], request: &str) -> String {
    let own: Vec<&Line> = history.iter().filter(|line| line.concerns(request)).collect();
    let daemons: BTreeSet<&str> = own.iter().map(|line| line.daemon.as_str()).collect();
    let first_ms = own.first().map_or(0, |line| line.at_ms);
    let start_time = own.first().and_then(|line| line.text("time")).unwrap_or_default();
    let mut text = vec![format!(
        "request {request}: {} lines of {}, from {start_time}; ~ marks related events",
        own.len(),
        daemons.into_iter().collect::<Vec<_>>().join(", ")
    )];
    text.extend(history.iter().map(|line| as_row(line, line.at_ms - first_ms, request)));
    text.join("\n")
}

fn as_row(line: &Line, after_ms: i64, request: &str) -> String {
    let mark = if line.concerns(request) { ' ' } else { '~' };
    let values = line.fields.iter().filter(|(name, _)| !UNLISTED_FIELDS.contains(&name.as_str()));
    let values: Vec<String> = values
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let event = line.fields.get("event").map(Value::to_string).unwrap_or_default();
    let name = line.text("name").unwrap_or_default();
    let row = format!(
        "{mark} {after_ms:>+7} ms  {:16} {event:>4} {name:16} {}",
        line.daemon,
        values.join(" ")
    );
    row.trim_end().to_owned()
}
