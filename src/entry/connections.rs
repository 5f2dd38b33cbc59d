//! Tracks callers' open connections, for the connection limit and for draining.

use std::sync::Mutex;

use crate::http::Socket;
use crate::prelude::*;

#[derive(Debug, Default)]
struct Table {
    next_number: u64,
    open: BTreeMap<u64, Socket>,
}

/// Table of callers' open connections.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    table: Mutex<Table>,
}

/// Registration of a connection; dropping it removes the connection from the table.
pub struct Guard {
    connections: Arc<Connections>,
    number: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Ok(mut table) = self.connections.table.lock() {
            table.open.remove(&self.number);
        }
    }
}

impl Connections {
    /// Creates an empty table for up to `limit` connections.
    pub fn new(limit: u32) -> Self {
        Self { limit: limit as usize, table: Mutex::default() }
    }

    /// Adds a connection, or returns `None` when the table is full.
    pub fn add(self: &Arc<Self>, socket: Socket) -> Option<Guard> {
        let mut table = self.table.lock().ok()?;
        if table.open.len() >= self.limit {
            return None;
        }
        let number = table.next_number;
        table.next_number += 1;
        table.open.insert(number, socket);
        Some(Guard { connections: Arc::clone(self), number })
    }

    /// Returns whether any connection has a request that is not fully answered.
    pub fn is_busy(&self) -> bool {
        self.table.lock().is_ok_and(|table| table.open.values().any(Socket::has_bytes))
    }
}
