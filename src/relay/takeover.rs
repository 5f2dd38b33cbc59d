//! Requests that peers that reach no backend server hand over.

use crate::prelude::*;
use crate::route::Limits;

/// Idle timeout of a peer's connection. A pool keeps an idle connection for a shorter time, so a request rarely crosses
/// the close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size by which a head may grow at the peer, which sets the fields of the framing and the remaining time.
const HEAD_ALLOWANCE_BYTES: usize = 1 << 10;

/// The sender of the requests on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// A peer, on behalf of its callers.
    Peer,
}

impl Origin {
    /// Adapts the limits for callers to this sender.
    pub(super) fn adapt(self, limits: Limits) -> Limits {
        match self {
            Self::Caller => limits,
            Self::Peer => Limits {
                max_head_bytes: limits.max_head_bytes + HEAD_ALLOWANCE_BYTES,
                idle_timeout: IDLE_TIMEOUT,
                ..limits
            },
        }
    }
}
