//! Replay of recorded traces in virtual time: the daemons' real decision code before small fakes
//! of engines, against baselines in the same run. The same seed gives the same figures.

pub mod engine;
pub mod faults;
pub mod figures;
pub mod generate;
pub mod options;
pub mod plot;
pub mod policy;
pub mod trace;
pub mod world;
