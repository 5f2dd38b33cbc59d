//! How much a daemon may hold, derived from the resources of its VM.

/// Part of the VM's memory for buffers. The rest is for the program, its state, what the allocator keeps and what waits
/// unread in the kernel.
const BUFFER_PART: usize = 4;
/// Part of the VM's memory for connections without their buffers.
const CONNECTION_PART: usize = 8;
/// Memory of an open connection without its buffers: its task, and the kernel's share.
const CONNECTION_BYTES: usize = 8 << 10;
/// Descriptors that the platform reserves for files.
const FILE_FDS: usize = 200;
/// Descriptors for connections where none are named.
const USUAL_SOCKETS: usize = 4_096 - FILE_FDS;
/// Maximum number of connections at a port that only the platform asks.
const MAX_PLATFORM_CONNECTIONS: usize = 64;
/// Maximum number of connections that are refused at a time.
const MAX_REFUSALS: usize = 16;

/// A port on which a daemon accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// Callers' requests.
    Entry,
    /// Requests that peers hand over.
    Handover,
    /// Frames of peers.
    Peers,
    /// Readiness checks, and what operators ask.
    Readiness,
    /// Metrics.
    Metrics,
    /// Connections beyond a limit, from their accept until they have read their refusal.
    Refused,
}

impl Port {
    /// All ports.
    pub const ALL: [Self; 6] =
        [Self::Entry, Self::Handover, Self::Peers, Self::Readiness, Self::Metrics, Self::Refused];

    /// Returns the name of the port, for metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Handover => "handover",
            Self::Peers => "peers",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Refused => "refused",
        }
    }
}

/// The most that a daemon holds at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all buffers.
    pub(super) bytes: usize,
    /// Callers' connections.
    entry: usize,
    /// Descriptors for connections of all kinds.
    sockets: usize,
}

impl Limits {
    /// Returns the limits of a VM with this memory in bytes and this number of descriptors.
    ///
    /// ```
    /// use cardamomvalve::memory::{Limits, Port};
    /// let small = Limits::of_vm(88_000_000, 4_100);
    /// assert_eq!(small.connections(Port::Entry), 1_342);
    /// assert_eq!(small.connections(Port::Metrics), 64);
    /// ```
    pub fn of_vm(memory_bytes: usize, max_fds: usize) -> Self {
        let sockets = max_fds.saturating_sub(FILE_FDS);
        let entry = (sockets / 2).min(memory_bytes / CONNECTION_PART / CONNECTION_BYTES);
        Self { bytes: memory_bytes / BUFFER_PART, entry, sockets }
    }

    /// Returns limits of this number of bytes in all buffers, and of callers' connections. Those of other ports are as with
    /// 4,096 descriptors.
    ///
    /// ```
    /// use cardamomvalve::memory::{Limits, Port};
    /// let limits = Limits::of_entry(64 << 20, 2);
    /// assert_eq!((limits.connections(Port::Entry), limits.connections(Port::Readiness)), (2, 64));
    /// ```
    pub fn of_entry(bytes: usize, connections: usize) -> Self {
        Self { bytes, entry: connections, sockets: USUAL_SOCKETS }
    }

    /// Returns the maximum number of connections at `port`. What they leave is for connections to servers.
    pub fn connections(&self, port: Port) -> usize {
        match port {
            Port::Entry => self.entry,
            Port::Peers => self.sockets / 4,
            Port::Handover => self.sockets / 16,
            Port::Readiness | Port::Metrics => (self.sockets / 32).min(MAX_PLATFORM_CONNECTIONS),
            Port::Refused => MAX_REFUSALS,
        }
    }

    /// Returns the bytes up to which all holdings may grow beyond [`super::holding::SMALL_BYTES`] each. The rest is for
    /// small ones, so that large ones do not starve ordinary callers.
    pub(super) fn large_bytes(&self) -> usize {
        self.bytes / 4 * 3
    }
}

impl Default for Limits {
    /// Returns the limits of a VM with 256 MB and 4,096 descriptors.
    fn default() -> Self {
        Self::of_vm(256_000_000, 4_096)
    }
}
