//! The daemon: one control thread, a few threads for traffic, and the life from start to stop.

mod control;
mod options;
mod run;
mod runner;

pub use control::{Clock, Control};
pub use options::Options;
pub use run::run;
