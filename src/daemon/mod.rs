//! The daemon: one control thread, a few threads for traffic, and the life from start to stop.

mod carrier;
mod control;
mod options;
mod run;

pub use control::{Clock, Control};
pub use options::Options;
pub use run::run;
