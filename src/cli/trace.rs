//! `trace`: one request's history, put together from the log lines of any number of daemons.
//!
//! Lines of one run of a daemon are ordered by its uptime, which a jump of the time of day does not
//! disturb; runs are laid beside each other by the median of their difference to the time of day.

use std::io::{BufRead, BufReader};
use std::path::Path;

use jiff::Timestamp;
use serde_json::{Map, Value};

use super::options::Trace;
use super::pretty_json;
use crate::prelude::*;

/// Time before and after a request's own lines from which lines on its servers and daemons are shown:
/// a belief that decided something was often formed shortly before.
const CONTEXT_MS: i64 = 2_000;
/// Fields that are shown in front, and not among the others.
const LEADING_FIELDS: [&str; 8] =
    ["time", "level", "uptime_ms", "daemon", "event", "name", "request", "line_at_ms"];
/// The highest number of events that concern a daemon and what it depends on.
const MAX_DAEMON_EVENT: u64 = 299;

/// One log line, with the time by which it is ordered.
#[derive(Debug, Clone)]
struct Line {
    fields: Map<String, Value>,
    daemon: String,
    uptime_ms: i64,
    /// Milliseconds since the epoch by the time of day, as the line says.
    wall_clock_ms: i64,
    /// The same by the daemon's uptime.
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

    /// Whether it is on this request, or on requests that ask for the same where `id` is a fingerprint.
    fn concerns(&self, id: &str) -> bool {
        self.text("request") == Some(id) || self.has_fingerprint(id)
    }

    fn has_fingerprint(&self, fingerprint: &str) -> bool {
        let mut fingerprints = self.text("fingerprints").unwrap_or_default().split(' ');
        self.text("fingerprint") == Some(fingerprint) || fingerprints.any(|one| one == fingerprint)
    }

    /// Whether it tells of the daemon itself or of what it depends on, rather than of one request.
    fn is_daemon_event(&self) -> bool {
        let event = self.fields.get("event").and_then(Value::as_u64);
        event.is_some_and(|event| event <= MAX_DAEMON_EVENT)
    }
}

/// Prints the history.
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

/// Takes the lines of one file, whatever else stands between them, and sets their times.
fn read_lines(mut reader: impl BufRead, lines: &mut Vec<Line>) -> std::io::Result<()> {
    let mut runs: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        let text = String::from_utf8_lossy(&bytes);
        // A collector may have put something before the object.
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

/// Sets the times of one run's lines.
fn align_times(mut run: Vec<Line>) -> Vec<Line> {
    let mut starts: Vec<i64> = run.iter().map(|line| line.wall_clock_ms - line.uptime_ms).collect();
    starts.sort_unstable();
    let start = starts.get(starts.len() / 2).copied().unwrap_or(0);
    for line in &mut run {
        line.at_ms = start + line.uptime_ms;
    }
    run
}

/// The lines on `request`, those on what it asks for without naming a request (that servers ended under it, that it
/// is blocked), and those around them that tell of its servers and daemons, in order.
fn history(lines: Vec<Line>, request: &str) -> Vec<Line> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.concerns(request)).collect();
    let first = own.iter().map(|line| line.at_ms).min();
    let (Some(first), Some(last)) = (first, own.iter().map(|line| line.at_ms).max()) else {
        return Vec::new();
    };
    let servers: BTreeSet<String> =
        own.iter().filter_map(|line| line.text("server")).map(str::to_owned).collect();
    let daemons: BTreeSet<String> = own.iter().map(|line| line.daemon.clone()).collect();
    let fingerprints: BTreeSet<String> =
        own.iter().filter_map(|line| line.text("fingerprint")).map(str::to_owned).collect();
    let context = first - CONTEXT_MS..=last + CONTEXT_MS;
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
    let first = own.first().map_or(0, |line| line.at_ms);
    let began = own.first().and_then(|line| line.text("time")).unwrap_or_default();
    let mut text = vec![format!(
        "request {request}: {} lines of {}, from {began}; ~ marks what happened beside it",
        own.len(),
        daemons.into_iter().collect::<Vec<_>>().join(", ")
    )];
    text.extend(history.iter().map(|line| as_row(line, line.at_ms - first, request)));
    text.join("\n")
}

fn as_row(line: &Line, after_ms: i64, request: &str) -> String {
    let mark = if line.concerns(request) { ' ' } else { '~' };
    let values = line.fields.iter().filter(|(name, _)| !LEADING_FIELDS.contains(&name.as_str()));
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
