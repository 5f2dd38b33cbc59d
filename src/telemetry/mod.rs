//! Logs with numbered events, metrics, and traces with a span per hop.

mod budget;
mod detail;
mod event;
mod logs;
pub mod metrics;
#[cfg(test)]
mod tests;
pub mod trace;

pub use budget::{Budget, Rate};
pub use detail::{Detail, Value};
pub use event::Event;
pub use logs::{emit, flush as flush_logs, init as init_logs};
