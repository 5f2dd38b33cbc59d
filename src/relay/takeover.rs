//! Connections on which peers that reach no backend server hand requests over.

use std::net::TcpStream;
use std::sync::atomic::Ordering;

use async_io::Async;

use super::caller::{Counted, serve_requests};
use super::{Conn, Frontend};
use crate::prelude::*;
use crate::route::Limits;

/// Maximum number of connections of peers. Each needs up to two descriptors, and memory for a request.
const MAX_CONNECTIONS: usize = 512;
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

/// Serves one connection of a peer until it closes. Connections beyond the maximum are closed at once.
pub async fn serve_peer(frontend: Arc<Frontend>, stream: Async<TcpStream>) {
    let connections = &frontend.peer_connections;
    let _connection = Counted::new(connections);
    if connections.load(Ordering::Acquire) <= MAX_CONNECTIONS {
        serve_requests(&frontend, &mut Conn::new(stream), Origin::Peer).await;
    }
}
