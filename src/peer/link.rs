//! Connections to and from other daemons: length-delimited frames over TCP, one way each.

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

/// Frames that wait for one peer at most; more are dropped, since digests repeat.
const MAX_QUEUED_FRAMES: usize = 16;
/// Time for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection is made anew.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(15);
/// Time that a write to a peer may wait, or a peer stay silent.
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
    /// Sends an encoded frame to the peer at `address`, connecting first where needed. A frame that
    /// finds no room is dropped.
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

/// Writes frames to one peer until the connection, its lifetime or the queue ends. A lifetime is
/// set so that a connection whose other end has vanished is not written to for long.
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

/// Takes peers' connections and hands each of their frames to `handle_frame`; a connection ends at the first
/// frame that `handle_frame` finds not well-formed.
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

/// Reads frames from one peer's connection until it ends or a frame is not well-formed.
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
