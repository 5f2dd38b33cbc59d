//! The end of a connection whose peer still sends.

use std::net::Shutdown;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

use super::{Conn, Cut};

/// Time for which bytes are discarded before a connection is closed beside them, so that the peer can read the last answer:
/// closing a connection with unread bytes resets it.
const LINGER_TIME: Duration = Duration::from_secs(3);

impl Conn {
    /// Ends the sending direction and discards what still comes, until the peer closes the connection, time is over or the
    /// connection is revoked.
    pub(in crate::relay) async fn linger(&mut self) {
        self.keep_body(0);
        let revocation = self.revocation();
        if !self.record_progress() || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let expire = async {
            Timer::after(LINGER_TIME).await;
        };
        self.discard_rest().or(expire).or(revocation).await;
    }

    /// Discards what the peer sends until it closes the connection.
    async fn discard_rest(&mut self) {
        self.discard_read_ahead();
        while matches!(self.fill().await, Ok(1..) | Err(Cut::Full)) {
            self.discard_read_ahead();
        }
    }
}
