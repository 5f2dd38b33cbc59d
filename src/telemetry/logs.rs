//! Where log lines go: standard error, as text or JSON.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};

use crate::settings::{LogFormat, LogLevel, Telemetry};

/// Sets the process's logger up; a second call changes nothing.
pub fn init(settings: &Telemetry) {
    let level = match settings.log_level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
    };
    let filter = RustLogFilterBuilder::from_spec(format!("off,cardamomvalve={level}")).build();
    let append = match settings.log_format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply()
        .ok();
}
