//! Streams go on only at the software version that began them.
//!
//! Servers of several software versions may serve a pool side by side, and what two versions write does not fit
//! together. Within one answer, the daemon binds a stream to the version of the server that brought its first event. A
//! caller may also take a stream up at any daemon, and names the attempt that began it. So each daemon notes the
//! versions of its streams, and has a few others keep them while a pool has several versions:
//!
//! * The keepers of a stream are drawn by its id from the largest VMs, so that every daemon finds them. Their number,
//!   and the connections to them, do not grow with the fleet.
//! * A version is kept until the caller's deadline. While one version alone has served, nothing is sent.
//! * A daemon that does not know the version of a stream asks the keepers. If none knows, and several versions serve,
//!   the request is refused: it has not run.

mod keeping;
mod lookup;
mod message;
mod registry;
mod software;
mod wire;

pub use message::{Kept, Lookup, Message};
pub use registry::StreamId;
pub(super) use registry::Streams;
pub(super) use software::History;
pub use software::Software;
pub(super) use wire::Message as WireMessage;
