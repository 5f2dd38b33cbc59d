//! Learnt capacity: how fast a server works, from what it was given and when it answered.
//!
//! Load answered: servers of one pool that differ in speed, that turn slow for a while, or that slow
//! down when nearly full. Placement, waits and refusals by one assumed speed queue requests at slow
//! servers while fast ones are idle.
//!
//! A time is predicted by a model with assumed constants. What a server took over what the model
//! predicted, is its factor: 1 as assumed, 2 twice as slow. A sample is the time to an engine's first
//! token, or to the end of a plain server's answer; a fast error shows no speed and is none. What was
//! learnt ends with the server's incarnation. See `docs/design/uneven-load.md`.

mod concurrency;
mod deviation;
mod ratio;
mod speed;
#[cfg(test)]
mod tests;

pub use concurrency::Concurrency;
pub use deviation::Deviation;
pub use speed::{Change, Estimate, Pool, Report, Sample, Speed};
