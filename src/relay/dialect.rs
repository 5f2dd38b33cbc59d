//! How requests and answers are read and marked at a process's edge.

use std::time::Duration;

use super::{Fields, Malformed, Request, Response};
use crate::fleet::{Dispatch, Prompt, Refusal};
use crate::route::Workspace;

/// What a caller's request says beyond its method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Metadata {
    /// The id that the caller gave it.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The key of its workspace.
    pub workspace_key: Option<String>,
    /// Its prompt, where it goes to an engine.
    pub prompt: Option<Prompt>,
    /// The last event of its stream that the caller has.
    pub last_event_id: Option<u64>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Classification {
    /// It answers this request; its weights had this version.
    Answer(Option<u64>),
    /// The server did not run the request.
    Refused(Refusal),
    /// It answers another request, or is no answer of a backend server.
    Invalid,
}

/// The header fields of one platform.
pub trait Dialect: Send + Sync {
    /// Reads what a caller's head asks.
    fn metadata(&self, request: &Request) -> Result<Metadata, Malformed>;

    /// The fields that go to a backend server: the caller's, without those that only this router
    /// may set, and its own. `left` is the time that the caller still waits.
    fn forwarded_fields(
        &self,
        request: &Request,
        metadata: &Metadata,
        workspace: Option<&Workspace>,
        dispatch: &Dispatch,
        remaining: Option<Duration>,
        last_event_id: Option<u64>,
    ) -> Fields;

    /// Reads what an answer's head says.
    fn classify(&self, metadata: &Metadata, response: &Response) -> Classification;

    /// Fields of an answer that this router makes itself.
    fn error_fields(&self, metadata: &Metadata) -> Fields;
}
