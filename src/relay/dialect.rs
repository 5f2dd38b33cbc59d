//! How requests and answers are read and marked at a process's edge.

use std::time::Duration;

use super::{Fields, Malformed, Request, Response};
use crate::fleet::{Dispatch, Prompt, Refusal};
use crate::route::Workspace;

/// What a caller's request says beyond its method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The id that the caller gave it.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The key of its workspace.
    pub key: Option<String>,
    /// Its prompt, where it goes to an engine.
    pub prompt: Option<Prompt>,
    /// The last event of its stream that the caller has.
    pub after: Option<u64>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answers this request; its weights had this version.
    Answer(Option<u64>),
    /// The server did not run the request.
    Refused(Refusal),
    /// It answers another request, or is no answer of a backend server.
    Foreign,
}

/// The header fields of one platform.
pub trait Dialect: Send + Sync {
    /// Reads what a caller's head asks.
    fn ask(&self, request: &Request) -> Result<Ask, Malformed>;

    /// The fields that go to a backend server: the caller's, without those that only this router
    /// may set, and its own. `left` is the time that the caller still waits.
    fn forward(
        &self,
        request: &Request,
        ask: &Ask,
        workspace: Option<&Workspace>,
        dispatch: &Dispatch,
        left: Option<Duration>,
        after: Option<u64>,
    ) -> Fields;

    /// Reads what an answer's head says.
    fn verdict(&self, ask: &Ask, response: &Response) -> Verdict;

    /// Fields of an answer that this router makes itself.
    fn own_fields(&self, ask: &Ask) -> Fields;
}
