//! The parts of OpenAI-style requests and answers that the router reads.

use serde_json::{Value, json};

use crate::prelude::*;

/// Kind of completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Kind {
    /// Returns the kind served at `path`.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/completions" => Some(Self::Text),
            "/v1/chat/completions" => Some(Self::Chat),
            _ => None,
        }
    }

    /// Returns the path that serves this kind.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    /// Returns the `object` field of a non-streamed answer.
    const fn object(self) -> &'static str {
        match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion",
        }
    }
}

/// Token limit of an answer when the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// A completion request's body, with the fields that the router uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// Kind of completion requested.
    pub kind: Kind,
    /// Name of the model.
    pub model: String,
    /// Prompt text, with messages in order.
    pub prompt: String,
    /// Whether the caller requests a streamed answer.
    pub stream: bool,
    /// Maximum number of answer tokens.
    pub max_tokens: u32,
    /// The complete body.
    pub body: Value,
}

impl Completion {
    /// Parses a body.
    ///
    /// ```
    /// use cardamomvalve::entry::openai::{Completion, Kind};
    /// let body = br#"{"model": "m", "prompt": "p"}"#;
    /// assert_eq!(Completion::parse(Kind::Text, body).unwrap().prompt, "p");
    /// ```
    pub fn parse(kind: Kind, body: &[u8]) -> Result<Self> {
        let malformed = |detail: String| Error::new(Code::MalformedRequest, detail);
        let body: Value =
            serde_json::from_slice(body).map_err(|error| malformed(format!("body: {error}")))?;
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .ok_or_else(|| malformed("model: a string is required".into()))?
            .to_owned();
        let prompt = prompt(kind, &body).map_err(malformed)?;
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(malformed("stream: a boolean is required".into())),
        };
        let choices = body.get("n").unwrap_or(&Value::Null);
        if !(choices.is_null() || choices == &json!(1)) {
            return Err(malformed("n: only 1 choice is served".into()));
        }
        let max_tokens = match body.get("max_tokens").or(body.get("max_completion_tokens")) {
            None | Some(Value::Null) => DEFAULT_MAX_TOKENS,
            Some(value) => value
                .as_u64()
                .and_then(|count| u32::try_from(count).ok())
                .filter(|count| *count > 0)
                .ok_or_else(|| malformed("max_tokens: a number from 1 is required".into()))?,
        };
        Ok(Self { kind, model, prompt, stream, max_tokens, body })
    }
}

/// Extracts a body's prompt text; engines and routers must split the same text into blocks.
pub fn prompt(kind: Kind, body: &Value) -> Result<String, String> {
    match kind {
        Kind::Text => body
            .get("prompt")
            .and_then(Value::as_str)
            .map(str::to_owned)
            .ok_or_else(|| "prompt: a string is required".into()),
        Kind::Chat => chat_prompt(body),
    }
}

fn chat_prompt(body: &Value) -> Result<String, String> {
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or("messages: a list of at least one message is required")?;
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        let field = |name: &str| {
            message
                .get(name)
                .and_then(Value::as_str)
                .ok_or_else(|| format!("messages[{index}].{name}: a string is required"))
        };
        prompt.push_str(field("role")?);
        prompt.push('\n');
        prompt.push_str(field("content")?);
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Returns the text that a streamed chunk adds.
pub fn chunk_text(kind: Kind, chunk: &Value) -> &str {
    let choice = &chunk["choices"][0];
    let text = match kind {
        Kind::Text => &choice["text"],
        Kind::Chat => &choice["delta"]["content"],
    };
    text.as_str().unwrap_or_default()
}

/// Builds a non-streamed answer from a stream's joined text and its last chunk.
pub fn merged_answer(kind: Kind, id: &str, model: &str, text: &str, last: Option<&Value>) -> Value {
    let reason = last.map_or(&Value::Null, |chunk| &chunk["choices"][0]["finish_reason"]);
    let usage = last.map_or(&Value::Null, |chunk| &chunk["usage"]);
    let choice = match kind {
        Kind::Text => json!({ "index": 0, "text": text, "finish_reason": reason }),
        Kind::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": reason,
        }),
    };
    json!({
        "id": id,
        "object": kind.object(),
        "model": model,
        "choices": [choice],
        "usage": usage,
    })
}
