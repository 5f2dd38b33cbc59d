//! Logs with numbered events, metrics, and traces with a span for each hop.

mod event;
mod logs;
pub mod metrics;
pub mod trace;

pub use event::{Event, emit};
pub use logs::init as init_logs;
