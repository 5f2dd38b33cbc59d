//! Numbered result codes and the error type that carries them.
//!
//! Codes are part of the public interface. Callers see them in `error.code`; operators look them up in
//! `docs/CODES.md` or with `cardamomvalve codes`.

use std::fmt;

/// The execution status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No backend server has run the request.
    NotRun,
    /// A backend server may have run the request; its outcome is unknown.
    Unknown,
    /// A backend server ran the request and its answer is known.
    Done,
}

impl Execution {
    /// Returns the value of the execution header.
    ///
    /// ```
    /// use cardamomvalve::error::Execution;
    /// assert_eq!(Execution::NotRun.as_str(), "not-run");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

/// The properties of a code, as the table of codes lists them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// The number that answers and tables show.
    pub number: u16,
    /// The stable name, which is also the `type` in an error body.
    pub name: &'static str,
    /// HTTP status; 0 for codes that only programs exit with.
    pub status: u16,
    /// The execution status that the code implies.
    pub execution: Execution,
    /// Time after which a retry may succeed, in seconds; 0 if retrying doesn't help.
    pub retry_after_s: u32,
    /// Exit code of a program that fails with this code; 0 for codes of HTTP answers.
    pub exit_code: u8,
    /// The cause and the remedy, as a full sentence.
    pub text: &'static str,
}

macro_rules! codes {
    ($($name:ident = $number:literal, $slug:literal, $status:literal, $execution:ident, $retry:literal, $exit:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code { $(#[doc = $text] $name,)* }

        impl Code {
            /// All codes, in ascending order of number.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the properties of this code.
            ///
            /// ```
            /// use cardamomvalve::error::Code;
            /// assert_eq!(Code::QueueFull.row().status, 429);
            /// ```
            pub const fn row(self) -> Row {
                match self {
                    $(Self::$name => Row {
                        number: $number,
                        name: $slug,
                        status: $status,
                        execution: Execution::$execution,
                        retry_after_s: $retry,
                        exit_code: $exit,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

codes! {
    MalformedRequest = 1001, "malformed-request", 400, NotRun, 0, 0, "The request is not well-formed; correct it as the message says.";
    BodyTooLarge = 1002, "body-too-large", 413, NotRun, 0, 0, "The body is larger than this router accepts; send a shorter one.";
    BodyTruncated = 1003, "body-truncated", 400, NotRun, 0, 0, "The body ended before its declared length; send the whole request again.";
    ConflictingLength = 1004, "conflicting-length", 400, NotRun, 0, 0, "The length headers contradict each other or are not supported; send exactly one.";
    HostMismatch = 1005, "host-mismatch", 400, NotRun, 0, 0, "The request target names another host than the Host header; send the same in both.";
    HeaderInvalid = 1006, "header-invalid", 400, NotRun, 0, 0, "A request header has a value that is not allowed; correct it as the message says.";
    MissingKey = 1007, "missing-key", 401, NotRun, 0, 0, "The request carries no bearer key; send Authorization: Bearer with your workspace's key.";
    WrongKey = 1008, "wrong-key", 401, NotRun, 0, 0, "The bearer key belongs to no workspace; check the key.";
    UnknownModel = 1009, "unknown-model", 404, NotRun, 0, 0, "No model of this name is in the manifest; GET /v1/models lists yours.";
    ForeignModel = 1010, "foreign-model", 403, NotRun, 0, 0, "The model is not granted to your workspace; ask your operators.";
    UnknownService = 1011, "unknown-service", 404, NotRun, 0, 0, "No service of this name is in the manifest; check the path.";
    ForeignService = 1012, "foreign-service", 403, NotRun, 0, 0, "The service is not granted to your workspace; ask your operators.";
    UnknownPath = 1013, "unknown-path", 404, NotRun, 0, 0, "Nothing is served at this path; see the README for those that are.";
    MethodNotAllowed = 1014, "method-not-allowed", 405, NotRun, 0, 0, "The path does not take this method; use the one that the message names.";
    KeyReused = 1015, "idempotency-key-reused", 422, NotRun, 0, 0, "The Idempotency-Key was used with another request; use a new key for a new request.";
    TooManyConnections = 1016, "too-many-connections", 503, NotRun, 1, 0, "The router holds as many connections as it may; come back shortly.";
    HeadTooLarge = 1017, "head-too-large", 431, NotRun, 0, 0, "The request's head is larger than this router accepts; send fewer or shorter headers.";
    HeadTimeout = 1018, "head-timeout", 408, NotRun, 1, 0, "The request did not arrive within the time allowed; send it again.";

    NoManifest = 2001, "no-manifest", 503, NotRun, 2, 0, "No manifest is in force on this router yet; come back shortly.";
    NoServer = 2002, "no-server", 503, NotRun, 2, 0, "No live backend server serves this now; come back shortly.";
    QueueFull = 2003, "queue-full", 429, NotRun, 2, 0, "The queue is full; come back after the time given.";
    DeadlineUnreachable = 2004, "deadline-unreachable", 503, NotRun, 2, 0, "The request could not be served before its deadline; come back after the time given.";
    DeadlinePassed = 2005, "deadline-passed", 504, NotRun, 1, 0, "The deadline passed while the request waited; it was not sent to a backend server.";
    Draining = 2006, "draining", 503, NotRun, 1, 0, "This router is stopping; connect again to reach another.";
    LogUnavailable = 2007, "log-unavailable", 503, NotRun, 5, 0, "The log service can't be reached, so a keyed request can't be claimed; come back after the time given.";
    LedgerBehind = 2008, "ledger-behind", 503, NotRun, 1, 0, "This router has not yet read all claims; come back after the time given.";
    RetriesExhausted = 2009, "retries-exhausted", 503, NotRun, 2, 0, "No backend server could be reached to send the request to; come back after the time given.";
    RequestBlocked = 2010, "request-blocked", 503, NotRun, 86_400, 0, "Backend servers have ended whenever they ran this request, so it is not sent to another; change it, or come back after the time given.";
    OverQuota = 2011, "over-quota", 429, NotRun, 1, 0, "Your workspace has used its quota; come back after the time given.";
    ServersUnreachable = 2012, "servers-unreachable", 503, NotRun, 1, 0, "This router reaches no backend server, and no other router took the request over; come back after the time given.";
    HandoverRefused = 2013, "handover-refused", 503, NotRun, 1, 0, "This router takes no request over from another now; try a third.";
    StreamVersionGone = 2014, "stream-version-gone", 503, NotRun, 2, 0, "No backend server runs the software version that began this stream; begin the request anew, or come back after the time given.";
    StreamVersionUnknown = 2015, "stream-version-unknown", 503, NotRun, 1, 0, "The software version of the backend server that began this stream is not known; begin the request anew, or come back after the time given.";
    MemoryFull = 2016, "memory-full", 503, NotRun, 1, 0, "The router holds as many bytes as its memory allows, or the request came too slowly beside others; come back after the time given.";

    OutcomeUnknown = 3001, "outcome-unknown", 502, Unknown, 0, 0, "The backend server may have run the request, but no whole answer arrived; check before you repeat it.";
    KeyInProgress = 3002, "idempotency-key-in-progress", 409, Unknown, 1, 0, "A request with this Idempotency-Key is in progress; ask again with the same key for its outcome.";
    KeyOutcomeUnknown = 3003, "idempotency-key-unknown", 409, Unknown, 0, 0, "A request with this Idempotency-Key was started and its outcome was not learnt; it will not run again.";
    GenerationFailed = 3004, "generation-failed", 502, Unknown, 1, 0, "The model's answer could not be completed on any backend server; ask again.";
    AnswerTooLarge = 3005, "answer-too-large", 502, Unknown, 0, 0, "The answer is larger than this router passes on; ask for less.";
    ReceiptNotKept = 3006, "receipt-not-kept", 409, Done, 0, 0, "The request with this Idempotency-Key ran, but its answer was too large to keep; it will not run again.";
    AnswerTimeout = 3007, "answer-timeout", 504, Unknown, 0, 0, "The backend server did not answer within the route's time; check before you repeat the request.";

    Usage = 4001, "usage", 0, NotRun, 0, 2, "The command line is not valid; see --help.";
    SettingsInvalid = 4002, "settings-invalid", 0, NotRun, 0, 3, "The settings file is not valid; correct it as the message says.";
    ManifestInvalid = 4003, "manifest-invalid", 0, NotRun, 0, 4, "The manifest is not valid; correct it as the messages say.";
    PublishLost = 4004, "publish-lost", 0, NotRun, 0, 5, "Another publisher's manifest won; read it, merge, and publish again.";
    LogUnreachable = 4005, "log-unreachable", 0, NotRun, 0, 6, "The log service can't be reached or did not answer; try again.";
    DaemonUnreachable = 4006, "daemon-unreachable", 0, NotRun, 0, 7, "The daemon's operators' address can't be reached; check the address.";
    AddressUnusable = 4007, "address-unusable", 0, NotRun, 0, 8, "An address in the settings can't be listened on; free it or choose another.";
    FileUnreadable = 4008, "file-unreadable", 0, NotRun, 0, 9, "A file can't be read; check its path and permissions.";
    RequestUnknown = 4009, "request-unknown", 0, NotRun, 0, 10, "No log line names the request; give the log files of every daemon that callers may have reached.";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.row();
        write!(f, "CV{} {}", row.number, row.name)
    }
}

/// An error with its code and details.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The result code.
    pub code: Code,
    /// Details of this occurrence, such as the rejected value; may be empty.
    pub detail: String,
}

impl Error {
    /// Creates an error from a code and details.
    ///
    /// ```
    /// use cardamomvalve::error::{Code, Error};
    /// let error = Error::new(Code::UnknownModel, "model \"x\"");
    /// assert!(error.to_string().contains("CV1009"));
    /// ```
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }

    /// Returns the text for callers: the sentence of the code, and the details in parentheses.
    pub fn message(&self) -> String {
        let text = self.code.row().text;
        if self.detail.is_empty() { text.to_owned() } else { format!("{text} ({})", self.detail) }
    }
}

impl From<Code> for Error {
    fn from(code: Code) -> Self {
        Self::new(code, "")
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message())
    }
}

impl std::error::Error for Error {}

/// The result of an operation whose errors carry a result code.
pub type Result<T, E = Error> = std::result::Result<T, E>;
