//! Interface to a platform's header fields.

use std::time::Duration;

use super::{Fields, Malformed, Request, Response};
use crate::fleet::{Dispatch, Prompt, Refusal, Start, Statement};
use crate::route::Workspace;

/// Metadata in the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// The request id that the caller set.
    pub id: String,
    /// The time that the caller waits.
    pub timeout: Option<Duration>,
    /// The workspace's API key.
    pub workspace_key: Option<String>,
    /// The prompt of a request to an engine.
    pub prompt: Option<Prompt>,
    /// The id of the last stream event that the caller received.
    pub last_event_id: Option<u64>,
    /// The id of the caller's attempt that brought the first event of the stream that this request takes up.
    pub first_attempt_id: Option<String>,
}

impl Metadata {
    /// Returns how the request starts.
    pub(super) fn start(&self) -> Start {
        match (&self.first_attempt_id, self.last_event_id) {
            (None, None) => Start::New,
            (first, _) => Start::Resumed(first.clone()),
        }
    }
}

/// Classification of a backend server's answer by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// An answer to this request, from this version of the weights.
    Answer(Option<u64>),
    /// An answer like these, but of a status that tells callers that the request did not run, and the server does not say so.
    Unconfirmed(Option<u64>),
    /// The server refused the request and did not run it.
    Refused(Refusal),
    /// An answer that does not name this request: a late or repeated one, or one to a call of this router.
    Foreign,
    /// An answer that is not from a backend server.
    Invalid,
}

/// A platform's header fields.
pub trait Dialect: Send + Sync {
    /// Reads the metadata of a caller's request.
    fn metadata(&self, request: &Request) -> Result<Metadata, Malformed>;

    /// Returns the fields for a backend server: the caller's, without those that only this router
    /// may set, and the router's own. `remaining` is the time that the caller still waits.
    fn forwarded_fields(
        &self,
        request: &Request,
        metadata: &Metadata,
        workspace: Option<&Workspace>,
        dispatch: &Dispatch,
        remaining: Option<Duration>,
        last_event_id: Option<u64>,
    ) -> Fields;

    /// Returns the fields for a peer that takes the request over: the caller's, with `remaining` in place of the time
    /// that the caller waits, if it gave one.
    fn handover_fields(&self, request: &Request, remaining: Option<Duration>) -> Fields;

    /// Classifies an answer by its head.
    fn classify(&self, metadata: &Metadata, response: &Response) -> Classification;

    /// Returns the id of the request that an answer names.
    fn named_request<'a>(&self, response: &'a Response) -> Option<&'a str>;

    /// Returns what an answer states about its server.
    fn statement(&self, response: &Response) -> Statement;

    /// Returns the fields of an error answer from this router.
    fn error_fields(&self, metadata: &Metadata) -> Fields;
}
