//! Connections between daemons. Each carries length-delimited frames over TCP in one direction.

use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::Executor;
use async_io::Async;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::compat::{FuturesAsyncReadCompatExt, FuturesAsyncWriteCompatExt};

use super::MAX_FRAME_BYTES;
use crate::http::{Socket, accept};
use crate::prelude::*;
use crate::telemetry::emit;

/// Maximum number of frames queued for one peer. More are dropped, since digests repeat.
const MAX_QUEUED_FRAMES: usize = 16;
/// Maximum time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection is replaced.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(15);
/// Maximum time for a write to a peer to wait or for a peer to send nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Outgoing connections, by address.
#[derive(Debug, Default)]
pub struct Links {
    senders: BTreeMap<SocketAddr, Sender<Bytes>>,
}

impl Links {
    /// Queues an encoded frame for the peer at `address` and connects if needed. Drops the frame if
    /// the queue is full.
    pub fn send(&mut self, executor: &Executor<'static>, address: SocketAddr, bytes: Bytes) {
        let bytes = match self.senders.get(&address).map(|sender| sender.try_send(bytes.clone())) {
            Some(Ok(()) | Err(TrySendError::Full(_))) => return,
            Some(Err(TrySendError::Closed(bytes))) => bytes,
            None => bytes,
        };
        self.senders.retain(|_, sender| !sender.is_closed());
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_FRAMES);
        sender.try_send(bytes).ok();
        executor.spawn(transmit(address, receiver)).detach();
        self.senders.insert(address, sender);
    }
}

/// Writes frames to one peer until the connection, its lifetime or the queue ends. The lifetime
/// limits how long frames are written to a connection whose other end is gone.
async fn transmit(address: SocketAddr, frames: Receiver<Bytes>) {
    let Ok(socket) = Socket::connect(address, CONNECT_TIMEOUT, IDLE_TIMEOUT).await else {
        return;
    };
    let mut writer = FramedWrite::new(socket.compat_write(), codec());
    let end = Instant::now() + CONNECTION_LIFETIME;
    while let Ok(bytes) = frames.recv().await {
        if writer.send(bytes).await.is_err() {
            return;
        }
        if Instant::now() >= end {
            return;
        }
    }
}

/// Accepts connections of peers and passes each frame to `handle_frame`. Closes a connection at the
/// first frame that `handle_frame` rejects as malformed.
pub async fn listen<F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    handle_frame: F,
) where
    F: Fn(&[u8]) -> Result<(), String> + Clone + Send + 'static,
{
    loop {
        let socket = Socket::new(accept(&listener).await, IDLE_TIMEOUT);
        let handle_frame = handle_frame.clone();
        let receiving = async move {
            emit(Event::PeerUp, Detail::none());
            let reason = receive(socket, handle_frame).await.err().unwrap_or_default();
            emit(Event::PeerDown, Detail::of("reason", reason));
        };
        executor.spawn(receiving).detach();
    }
}

/// Reads frames from one peer's connection until it ends or a frame is malformed.
async fn receive(
    socket: Socket,
    handle_frame: impl Fn(&[u8]) -> Result<(), String>,
) -> Result<(), String> {
    let mut reader = FramedRead::new(socket.compat(), codec());
    while let Some(bytes) = reader.next().await {
        handle_frame(&bytes.map_err(|error| error.to_string())?)?;
    }
    Ok(())
}
