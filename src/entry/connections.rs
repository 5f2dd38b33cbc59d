//! Tracks callers' open connections, for draining.

use std::sync::Mutex;

use crate::http::Socket;
use crate::prelude::*;

#[derive(Debug, Default)]
struct Table {
    next_number: u64,
    open: BTreeMap<u64, Socket>,
}

/// Table of callers' open connections.
#[derive(Debug, Default)]
pub struct Connections {
    table: Mutex<Table>,
}

/// Registration of a connection; dropping it removes the connection from the table.
pub struct Guard {
    connections: Arc<Connections>,
    /// `None` if the table can't be used.
    number: Option<u64>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let (Some(number), Ok(mut table)) = (self.number, self.connections.table.lock()) {
            table.open.remove(&number);
        }
    }
}

impl Connections {
    /// Adds a connection.
    pub fn add(self: &Arc<Self>, socket: Socket) -> Guard {
        let number = self.table.lock().ok().map(|mut table| {
            let number = table.next_number;
            table.next_number += 1;
            table.open.insert(number, socket);
            number
        });
        Guard { connections: Arc::clone(self), number }
    }

    /// Returns whether any connection has a request that is not fully answered.
    pub fn is_busy(&self) -> bool {
        self.table.lock().is_ok_and(|table| table.open.values().any(Socket::has_bytes))
    }
}
