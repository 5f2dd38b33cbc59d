//! The daemon process: startup, one control thread, a few traffic threads, and the planned stop.

mod control;
mod options;
mod run;
mod runner;

pub use control::{Clock, Control};
pub use options::Options;
pub use run::run;
