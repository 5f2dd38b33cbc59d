//! One life of a server: from a start to its end. A server may start again under the id that it had;
//! it then knows nothing of before, so whatever is believed of a server is believed of one life.

use super::server;
use crate::prelude::*;

/// Ids of servers that are gone whose last life is remembered, so that what still comes from it late
/// brings no server back.
const MAX_ENDED: usize = 4_096;

/// One life of a server.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The server's id.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock; 0 where it does not say.
    pub started_ms: u64,
}

impl Incarnation {
    /// The life of server `id` that began at `born`.
    ///
    /// ```
    /// use cardamomvalve::fleet::Incarnation;
    /// assert!(Incarnation::new("i-1", 5) < Incarnation::new("i-1", 6));
    /// ```
    pub fn new(id: impl Into<String>, born: u64) -> Self {
        Self { id: id.into(), started_ms: born }
    }
}

/// What a life is to those that are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Known {
    /// Nothing is known of a server with its id.
    New,
    /// It is the one that is known.
    Same(server::Key),
    /// It follows the one that is known.
    Next(server::Key),
    /// It had ended before the newest that was seen.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Newest {
    born: u64,
    /// The server, while it is registered.
    server: Option<server::Key>,
}

/// The newest life of each server.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    newest: BTreeMap<String, Newest>,
}

impl Incarnations {
    /// What is known of `life`.
    pub(super) fn find(&self, life: &Incarnation) -> Known {
        match self.newest.get(&life.id) {
            None => Known::New,
            Some(newest) if life.started_ms < newest.born => Known::Ended,
            Some(Newest { server: None, .. }) => Known::New,
            Some(Newest { born, server: Some(key) }) if life.started_ms == *born => {
                Known::Same(*key)
            }
            Some(Newest { server: Some(key), .. }) => Known::Next(*key),
        }
    }

    /// The server of exactly this life.
    pub(super) fn server(&self, life: &Incarnation) -> Option<server::Key> {
        match self.find(life) {
            Known::Same(key) => Some(key),
            Known::New | Known::Next(_) | Known::Ended => None,
        }
    }

    /// The server of this id, in whichever life it is.
    pub(super) fn registered(&self, id: &str) -> Option<server::Key> {
        self.newest.get(id)?.server
    }

    pub(super) fn begin(&mut self, life: &Incarnation, server: server::Key) {
        let newest = Newest { born: life.started_ms, server: Some(server) };
        self.newest.insert(life.id.clone(), newest);
    }

    /// Notes that `life` is no longer registered.
    pub(super) fn end(&mut self, life: &Incarnation) {
        if let Some(newest) = self.newest.get_mut(&life.id)
            && newest.born == life.started_ms
        {
            newest.server = None;
        }
        self.trim();
    }

    fn trim(&mut self) {
        let ended = self.newest.iter().filter(|(_, newest)| newest.server.is_none());
        let mut ended: Vec<(u64, String)> =
            ended.map(|(id, newest)| (newest.born, id.clone())).collect();
        if ended.len() <= MAX_ENDED {
            return;
        }
        ended.sort_unstable();
        for (_, id) in &ended[..ended.len() - MAX_ENDED] {
            self.newest.remove(id);
        }
    }
}
