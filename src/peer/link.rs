//! Connections between daemons. Each carries length-delimited frames over TCP in one direction.

use std::net::{SocketAddr, TcpListener};
use std::time::Instant;

use async_channel::{Receiver, Sender, TrySendError};
use async_executor::Executor;
use async_io::Async;
use bytes::{Bytes, BytesMut};
use futures_lite::FutureExt;
use futures_util::{SinkExt, StreamExt};
use tokio_util::codec::{Decoder, FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::compat::{FuturesAsyncReadCompatExt, FuturesAsyncWriteCompatExt};

use super::MAX_FRAME_BYTES;
use crate::http::{Socket, accept};
use crate::memory::{Account, Holding, Port};
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

/// Splits what a peer sends into frames, and counts what has come of the next one.
struct Counted {
    codec: LengthDelimitedCodec,
    holding: Holding,
}

impl Decoder for Counted {
    type Item = BytesMut;
    type Error = std::io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>, Self::Error> {
        let frame = self.codec.decode(buffer)?;
        if frame.is_some() {
            self.holding.record_progress();
        }
        self.holding.set(buffer.len()).map_err(|full| std::io::Error::other(full.to_string()))?;
        Ok(frame)
    }
}

/// Accepts connections of peers and passes each frame to `handle_frame`. Closes a connection at the
/// first frame that `handle_frame` rejects as malformed, or for which `account` has no memory.
pub async fn listen<F>(
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
    account: Arc<Account>,
    handle_frame: F,
) where
    F: Fn(&[u8]) -> Result<(), String> + Clone + Send + 'static,
{
    loop {
        let socket = Socket::new(accept(&listener).await, IDLE_TIMEOUT);
        // A peer that is turned away connects again.
        let Some(holding) = account.open(Port::Peers).await else { continue };
        let handle_frame = handle_frame.clone();
        let receiving = async move {
            emit(Event::PeerUp, Detail::none());
            let reason = receive(socket, holding, handle_frame).await.err().unwrap_or_default();
            emit(Event::PeerDown, Detail::of("reason", reason));
        };
        executor.spawn(receiving).detach();
    }
}

/// Reads frames from one peer's connection until it ends, a frame is malformed or the connection is revoked.
async fn receive(
    socket: Socket,
    holding: Holding,
    handle_frame: impl Fn(&[u8]) -> Result<(), String> + Send,
) -> Result<(), String> {
    let revocation = holding.revocation();
    let revoked = async {
        revocation.await;
        Err("it sent nothing for longest, and its place is needed".to_owned())
    };
    let mut reader = FramedRead::new(socket.compat(), Counted { codec: codec(), holding });
    let frames = async move {
        while let Some(bytes) = reader.next().await {
            handle_frame(&bytes.map_err(|error| error.to_string())?)?;
        }
        Ok(())
    };
    frames.or(revoked).await
}
