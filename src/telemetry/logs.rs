//! Log lines on standard output, as text or JSON: bounded in number and size, and written by a thread
//! of their own, so that a reader that stalls costs the traffic nothing.

use std::io::Write;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;

use jiff::Timestamp;
use log::kv;
use logforth::append::Append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::layout::TextLayout;
use logforth::record::Record;
use logforth::{Diagnostic, Layout};
use serde_json::{Map, Value as Json};

use super::budget::{Budget, Rate};
use crate::clock::Clock;
use crate::prelude::*;
use crate::settings::{LogFormat, LogLevel, Telemetry};

/// What log lines of this project are filtered by.
const TARGET: &str = "cardamomvalve";
/// Lines that wait to be written; more are left out.
const MAX_QUEUED_LINES: usize = 2_048;
/// Time in which lines are gathered into one write: a write a line would wake a thread for each.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Time between two lines that say what was left out.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time that the end of a process waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The lines of this process.
static LOGGER: OnceLock<Logger> = OnceLock::new();

/// What the lines of a process share.
#[derive(Debug)]
struct Logger {
    daemon: String,
    clock: Clock,
    budget: Mutex<Budget>,
    queue: SyncSender<Message>,
}

/// What the writing thread is sent.
#[derive(Debug)]
enum Message {
    /// A line, with its end.
    Line(Vec<u8>),
    /// Answer once all before this is written.
    Flush(SyncSender<()>),
}

impl Logger {
    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets the process's logger up, for the daemon of this id; a second call changes nothing.
pub fn init(settings: &Telemetry, daemon: &str) {
    let level = match settings.log_level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
    };
    let clock = Clock::start();
    let rate =
        Rate { lines_per_s: settings.log_lines_per_s, bytes_per_s: settings.log_bytes_per_s };
    let (queue, messages) = sync_channel(MAX_QUEUED_LINES);
    let budget = Mutex::new(Budget::new(clock.now(), rate));
    let logger = Logger { daemon: daemon.to_owned(), clock, budget, queue };
    if LOGGER.set(logger).is_err() {
        return;
    }
    thread::spawn(move || run_writer(&messages));
    let layout: Box<dyn Layout> = match settings.log_format {
        LogFormat::Text => Box::new(TextLayout::default().no_color()),
        LogFormat::Json => Box::new(JsonLayout),
    };
    let filter = RustLogFilterBuilder::from_spec(format!("off,{TARGET}={level}")).build();
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(Appender { layout }))
        .try_apply()
        .ok();
}

/// Writes one log line for `event`, unless too many were written.
pub fn emit(event: Event, detail: Detail) {
    if !log::log_enabled!(target: TARGET, event.level()) {
        return;
    }
    let Some(logger) = LOGGER.get() else { return };
    if !logger.budget().admit(logger.clock.now(), event) {
        return;
    }
    let line = Line { event, detail: &detail, uptime: logger.clock.now(), daemon: &logger.daemon };
    let mut record = log::Record::builder();
    record.level(event.level()).target(TARGET).key_values(&line);
    log::logger().log(&record.args(format_args!("{}", event.text())).build());
}

/// Waits for a bounded time until what was logged is written.
pub fn flush() {
    let Some(logger) = LOGGER.get() else { return };
    let (done, written) = sync_channel(1);
    if logger.queue.try_send(Message::Flush(done)).is_ok() {
        written.recv_timeout(FLUSH_TIMEOUT).ok();
    }
}

/// The values of one line.
struct Line<'a> {
    event: Event,
    detail: &'a Detail,
    uptime: Time,
    daemon: &'a str,
}

impl kv::Source for Line<'_> {
    fn visit<'kvs>(
        &'kvs self,
        visitor: &mut dyn kv::VisitSource<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        let uptime = u64::try_from(self.uptime.as_millis()).unwrap_or(u64::MAX);
        visitor.visit_pair("uptime_ms".into(), uptime.into())?;
        visitor.visit_pair("daemon".into(), self.daemon.into())?;
        visitor.visit_pair("event".into(), self.event.number().into())?;
        visitor.visit_pair("name".into(), self.event.name().into())?;
        self.detail.visit(visitor)
    }
}

/// One JSON object a line, its fields side by side.
#[derive(Debug)]
struct JsonLayout;

struct Collector<'a>(&'a mut Map<String, Json>);

impl Visitor for Collector<'_> {
    fn visit(
        &mut self,
        key: KeyView,
        value: ValueView,
    ) -> std::result::Result<(), logforth::Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

impl Layout for JsonLayout {
    fn format(
        &self,
        record: &Record,
        _: &[Box<dyn Diagnostic>],
    ) -> std::result::Result<Vec<u8>, logforth::Error> {
        let mut fields = Map::new();
        let time = Timestamp::try_from(record.time()).unwrap_or_default();
        fields.insert("time".into(), format!("{time:.3}").into());
        fields.insert("level".into(), record.level().name().into());
        record.key_values().visit(&mut Collector(&mut fields))?;
        serde_json::to_vec(&fields).map_err(|error| {
            logforth::Error::new("a log line could not be encoded").with_source(error)
        })
    }
}

/// Hands lines to the writing thread.
#[derive(Debug)]
struct Appender {
    layout: Box<dyn Layout>,
}

impl Append for Appender {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> std::result::Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        let Some(logger) = LOGGER.get() else { return Ok(()) };
        let bytes = line.len();
        match logger.queue.try_send(Message::Line(line)) {
            Ok(()) => logger.budget().record_written(bytes),
            Err(_) => logger.budget().count_unwritten(),
        }
        Ok(())
    }

    fn flush(&self) -> std::result::Result<(), logforth::Error> {
        flush();
        Ok(())
    }
}

/// Writes what comes, many lines at a time, and says now and then what was left out.
fn run_writer(messages: &Receiver<Message>) {
    let mut reported_at = Time::ZERO;
    loop {
        let first = match messages.recv_timeout(DROP_REPORT_INTERVAL) {
            Ok(message) => Some(message),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut bytes = Vec::new();
        let mut flushes = Vec::new();
        let flushing = matches!(first, Some(Message::Flush(_)));
        if first.is_some() && !flushing {
            thread::sleep(BATCH_DELAY);
        }
        for message in first.into_iter().chain(messages.try_iter()) {
            match message {
                Message::Line(line) => bytes.extend_from_slice(&line),
                Message::Flush(done) => flushes.push(done),
            }
        }
        let mut output = std::io::stdout().lock();
        // Where standard output can't be written to there is nobody left to tell.
        output.write_all(&bytes).and_then(|()| output.flush()).ok();
        drop(output);
        for done in flushes {
            done.try_send(()).ok();
        }
        report_dropped(&mut reported_at);
    }
}

fn report_dropped(reported_at: &mut Time) {
    let Some(logger) = LOGGER.get() else { return };
    let now = logger.clock.now();
    if now < *reported_at + DROP_REPORT_INTERVAL {
        return;
    }
    *reported_at = now;
    let dropped = logger.budget().take_dropped();
    if dropped.is_empty() {
        return;
    }
    let detail =
        dropped.into_iter().fold(Detail::none(), |detail, (name, count)| detail.and(name, count));
    emit(Event::LinesDropped, detail);
}
