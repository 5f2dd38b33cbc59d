//! Streams go on only at the software version that began them.
//!
//! Servers of several software versions may serve a pool side by side, and what two versions write does not fit
//! together. Within one answer, the daemon binds a stream to the version of the server that brought its first event. A
//! caller may also take a stream up at any daemon, and names the attempt that began it. So each daemon records the
//! bindings of its streams and, while a pool may have several versions, replicates them to a few others:
//!
//! * The replicas of a binding are chosen by the stream's id among the daemons on the largest VMs, so that every daemon
//!   finds them. Their number, and the connections to them, do not grow with the fleet.
//! * A binding expires at the caller's deadline. While this daemon's view of the servers is current and one version alone
//!   has served, streams of routes with one pool are not replicated; the scheduler that placed a stream records its binding,
//!   too, until it has seen that version alone for as long as a stream can be taken up.
//! * A daemon without a binding for a stream asks the replicas and the schedulers, and a binding goes before all else. If
//!   none has one, it goes by a proof: a daemon, this one or one of those, has seen one version alone for that long, and
//!   none has seen another. Without a proof the request is refused: it has not run.
//! * The proof of a daemon that has missed the newest registrations holds nevertheless, because no stream begins at a
//!   version before all daemons know it, or lack a view that is recent enough to prove anything.

mod binding;
mod lookup;
mod message;
mod registry;
mod software;
mod watch;
mod wire;

pub(super) use lookup::Search;
pub use message::{Binding, Finding, Lookup, Message};
pub use registry::StreamId;
pub(super) use registry::Streams;
pub(super) use software::History;
pub use software::Software;
pub(super) use wire::Message as WireMessage;
