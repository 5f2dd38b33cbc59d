//! What one connection or answer holds.

use std::fmt;
use std::time::Instant;

use async_channel::Receiver;

use super::Account;
use super::account::Phase;
use crate::prelude::*;

/// Number of bytes up to which a holding is small: an ordinary request or answer.
pub(super) const SMALL_BYTES: usize = 64 << 10;

/// Error of a holding that gets no more, since the account is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the daemon holds as many bytes as it may")
    }
}

/// A part of an account, which is given back when it is dropped.
#[derive(Debug)]
pub struct Holding {
    account: Arc<Account>,
    number: u64,
    revoked: Receiver<()>,
}

impl Holding {
    pub(super) fn new(account: Arc<Account>, number: u64, revoked: Receiver<()>) -> Self {
        Self { account, number, revoked }
    }

    /// Changes the number of held bytes before they are held. To get more, connections that have stalled are revoked.
    pub async fn grow_to(&self, bytes: usize) -> Result<(), Full> {
        self.account.grow(self.number, bytes).await
    }

    /// Counts bytes that are held already. Fails if these are not few and all holdings together have too many; this one has
    /// to give some back then.
    pub fn set(&self, bytes: usize) -> Result<(), Full> {
        self.account.set(self.number, bytes)
    }

    /// Records that the connection begins to wait, or that enough of what it waits for has come. Returns false if the
    /// holding was revoked.
    pub fn record_progress(&self) -> bool {
        self.account.set_phase(self.number, Phase::Waiting(Instant::now()))
    }

    /// Records that a request has come whole, so that the holding can't be revoked any more. Returns false if it was.
    pub fn begin_serving(&self) -> bool {
        self.account.set_phase(self.number, Phase::Serving)
    }

    /// Returns a future that waits until the holding is revoked. Its owner has to drop it soon then.
    pub fn revocation(&self) -> impl Future<Output = ()> + Send + use<> {
        let revoked = self.revoked.clone();
        async move {
            revoked.recv().await.ok();
        }
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.account.end(self.number);
    }
}
