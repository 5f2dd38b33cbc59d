//! Incarnations of servers: the time from a start of a server to its end. A server may restart under the
//! same id with all state lost, so all knowledge of a server belongs to one incarnation.

use super::server;
use crate::prelude::*;

/// Maximum number of removed servers whose last incarnation is remembered, so that late messages about
/// it don't register it again.
const MAX_ENDED: usize = 4_096;

/// One incarnation of a server.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The server's id.
    pub id: String,
    /// Start time in Unix milliseconds by the server's clock; 0 if the server does not report it.
    pub started_ms: u64,
}

impl Incarnation {
    /// Creates the incarnation of server `id` that started at `started_ms`.
    ///
    /// ```
    /// use cardamomvalve::fleet::Incarnation;
    /// assert!(Incarnation::new("i-1", 5) < Incarnation::new("i-1", 6));
    /// ```
    pub fn new(id: impl Into<String>, started_ms: u64) -> Self {
        Self { id: id.into(), started_ms }
    }
}

/// Relation of an incarnation to the newest known one of the same server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Known {
    /// No server with its id is registered, and none that started later is known.
    New,
    /// It is the registered one.
    Same(server::Key),
    /// It started after the registered one.
    Next(server::Key),
    /// It started before the newest known one, and so has ended.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Newest {
    started_ms: u64,
    /// The server, while it is registered.
    server: Option<server::Key>,
}

/// The newest incarnation of each server.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    newest: BTreeMap<String, Newest>,
}

impl Incarnations {
    /// Compares `incarnation` with the newest known one of its server.
    pub(super) fn find(&self, incarnation: &Incarnation) -> Known {
        match self.newest.get(&incarnation.id) {
            None => Known::New,
            Some(newest) if incarnation.started_ms < newest.started_ms => Known::Ended,
            Some(Newest { server: None, .. }) => Known::New,
            Some(Newest { started_ms, server: Some(key) })
                if incarnation.started_ms == *started_ms =>
            {
                Known::Same(*key)
            }
            Some(Newest { server: Some(key), .. }) => Known::Next(*key),
        }
    }

    /// The server, if `incarnation` is the registered one.
    pub(super) fn server(&self, incarnation: &Incarnation) -> Option<server::Key> {
        match self.find(incarnation) {
            Known::Same(key) => Some(key),
            Known::New | Known::Next(_) | Known::Ended => None,
        }
    }

    /// The registered server with this id, whatever its incarnation.
    pub(super) fn registered(&self, id: &str) -> Option<server::Key> {
        self.newest.get(id)?.server
    }

    pub(super) fn begin(&mut self, incarnation: &Incarnation, server: server::Key) {
        let newest = Newest { started_ms: incarnation.started_ms, server: Some(server) };
        self.newest.insert(incarnation.id.clone(), newest);
    }

    /// Records that `incarnation` is no longer registered.
    pub(super) fn end(&mut self, incarnation: &Incarnation) {
        if let Some(newest) = self.newest.get_mut(&incarnation.id)
            && newest.started_ms == incarnation.started_ms
        {
            newest.server = None;
        }
        self.remove_oldest();
    }

    fn remove_oldest(&mut self) {
        let ended = self.newest.iter().filter(|(_, newest)| newest.server.is_none());
        let mut ended: Vec<(u64, String)> =
            ended.map(|(id, newest)| (newest.started_ms, id.clone())).collect();
        if ended.len() <= MAX_ENDED {
            return;
        }
        ended.sort_unstable();
        for (_, id) in &ended[..ended.len() - MAX_ENDED] {
            self.newest.remove(id);
        }
    }
}
