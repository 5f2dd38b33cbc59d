//! Divides the engines of a pool between long prompts and token streams.
//!
//! Load answered: prompts of thousands of tokens beside streams of many tokens. An engine reads a
//! piece of a prompt in each step, so a stream beside it gets a token only each few dozen
//! milliseconds: its pauses grow beyond what its reader accepts, and it holds its slot several
//! times as long. With enough of both, the pool serves less the more it is asked. Streams therefore
//! go to some of the engines and long prompts to the others, in proportion to the work of both, and
//! each takes the engines of the other when its own have no room. See `docs/design/uneven-load.md`.

mod demand;
mod share;
#[cfg(test)]
mod tests;

pub use share::{Division, MIN_ENGINES, Work};
