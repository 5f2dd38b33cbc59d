//! Log lines on standard output, as text or JSON. Their rate is limited, and a separate thread writes
//! them, hence a stalled reader of the output doesn't delay requests.

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

/// Target of all log lines of this project; the level filter selects it.
const TARGET: &str = "cardamomvalve";
/// Capacity of the queue to the writer thread; lines beyond it are dropped.
const MAX_QUEUED_LINES: usize = 2_048;
/// Time for which the writer collects lines into one write. A write per line would wake it for each.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Minimum time between two log lines that report dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time that a flush, as at the end of a process, waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The logger of this process.
static LOGGER: OnceLock<Logger> = OnceLock::new();

/// The state that all log calls of a process share.
#[derive(Debug)]
struct Logger {
    daemon: String,
    clock: Clock,
    budget: Mutex<Budget>,
    queue: SyncSender<Message>,
}

/// A message to the writer thread.
#[derive(Debug)]
enum Message {
    /// A line, with its line break.
    Line(Vec<u8>),
    /// Requests a reply once all earlier lines are written.
    Flush(SyncSender<()>),
}

impl Logger {
    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sets up the logger of this process. Lines carry the id `daemon`. Later calls have no effect.
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

/// Logs one line for `event`, unless its level is disabled or a rate limit is reached.
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

/// Waits until all queued lines are written, or until the flush timeout.
pub fn flush() {
    let Some(logger) = LOGGER.get() else { return };
    let (done, written) = sync_channel(1);
    if logger.queue.try_send(Message::Flush(done)).is_ok() {
        written.recv_timeout(FLUSH_TIMEOUT).ok();
    }
}

/// The fields of one log line.
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

/// Formats each record as one flat JSON object per line.
#[derive(Debug)]
struct JsonLayout;

/// Inserts key-value pairs of a record into a JSON object.
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

/// Formats records and queues them for the writer thread.
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

/// Writes queued lines in batches and reports dropped lines periodically.
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
        // An error is ignored: standard output is the only place to report it.
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
