//! Callers' open connections: counted against the limit, and looked at when the daemon stops.

use std::sync::Mutex;

use crate::http::Socket;
use crate::prelude::*;

#[derive(Debug, Default)]
struct Table {
    next_number: u64,
    open: BTreeMap<u64, Socket>,
}

/// All open connections of callers.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    table: Mutex<Table>,
}

/// Removes its connection from the table when dropped.
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
    /// An empty table of at most `limit` connections.
    pub fn new(limit: u32) -> Self {
        Self { limit: limit as usize, table: Mutex::default() }
    }

    /// Adds a connection; `None` where the table is full.
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

    /// Whether any connection has a request that is not wholly answered.
    pub fn is_busy(&self) -> bool {
        self.table.lock().is_ok_and(|table| table.open.values().any(Socket::has_bytes))
    }
}
