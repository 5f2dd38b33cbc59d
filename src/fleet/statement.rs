//! What servers state about themselves in their answers.
//!
//! All of it takes the same way: the dialect reads it from the head of an answer, the relay reports it before the outcome
//! of the attempt, and the node hands each fact to the module that acts on it.

use super::{Key, Node, server};
use crate::prelude::*;

/// What an answer states about its server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// Requests per second that it can reject without crashing.
    pub reject_limit: Option<u32>,
    /// Requests per second that it takes from all daemons together.
    pub request_limit: RequestLimit,
    /// Whether it is about to stop by plan.
    pub is_leaving: bool,
    /// Time for which it wants no requests of the daemon that it turned away.
    pub rest: Option<Duration>,
}

/// What an answer says about a request limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RequestLimit {
    /// Nothing. An earlier limit stays in force.
    #[default]
    Unstated,
    /// There is no limit any more.
    Ended,
    /// The limit, in requests per second.
    PerSecond(f64),
}

impl Statement {
    /// Whether it states nothing.
    ///
    /// ```
    /// use cardamomvalve::fleet::Statement;
    /// assert!(Statement::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl Node {
    /// Handles what the answer to an attempt states about its server.
    pub(super) fn note_statement(
        &mut self,
        now: Time,
        key: Key,
        attempt: u32,
        statement: Statement,
    ) {
        if let Some(rejects) = statement.reject_limit {
            self.note_reject_limit(now, key, rejects);
        }
        let request = self.requests.get(&key).filter(|request| request.sends == attempt);
        let Some(server) = request.and_then(|request| request.tried.last().copied()) else {
            return;
        };
        self.log_rest(server, statement);
        let is_new = statement.is_leaving && self.note_leaving(now, server);
        if let Some(rest) = statement.rest {
            let daemon = self.identity.id.clone();
            self.note_rest(now, &daemon, server, rest);
        }
        if is_new || statement.rest.is_some() {
            self.forward_statement(key, statement);
        }
        match statement.request_limit {
            RequestLimit::Unstated => {}
            RequestLimit::Ended => self.note_request_limit(now, server, None),
            RequestLimit::PerSecond(per_s) => self.note_request_limit(now, server, Some(per_s)),
        }
    }

    fn log_rest(&mut self, key: server::Key, statement: Statement) {
        let Some((server, rest)) = self.servers.get(key).zip(statement.rest) else { return };
        let detail = Detail::of("server", server.entry.incarnation.id.as_str());
        self.event(Event::RestStated, detail.and("rest_ms", rest));
    }

    /// Handles what a server stated in an answer to the daemon that received a request.
    pub(super) fn note_forwarded_statement(
        &mut self,
        now: Time,
        key: Key,
        attempt: u32,
        statement: Statement,
    ) {
        let Some(request) = self.requests.get(&key).filter(|request| request.sends == attempt)
        else {
            return;
        };
        let Some(server) = request.tried.last().copied() else { return };
        let daemon = self.receiver(request).to_owned();
        if statement.is_leaving {
            self.note_leaving(now, server);
        }
        if let Some(rest) = statement.rest {
            self.note_rest(now, &daemon, server, rest);
        }
    }
}
