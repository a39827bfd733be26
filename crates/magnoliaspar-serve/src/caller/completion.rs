//! Parses and validates the bodies of completion requests.

use magnoliaspar_core::{Refusal, RefusalCode};
use serde::Deserialize;
use serde_json::Value;

/// Maximum number of tokens that a caller may ask for.
const MAX_OUTPUT_TOKENS: u64 = 32_768;

/// Maximum number of tokens of an answer if the caller sets none.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Maximum size of a prompt in bytes.
const MAX_PROMPT_BYTES: usize = 2 << 20;

/// The API of a completion, which determines the format of its request and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    /// The prompt is one text.
    Text,
    /// The prompt is a list of chat messages.
    Chat,
}

impl CompletionKind {
    /// Returns the API that a path belongs to.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/completions" => Some(Self::Text),
            "/v1/chat/completions" => Some(Self::Chat),
            _ => None,
        }
    }
}

/// A validated request for a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionCall {
    /// The name of a model or of a route.
    pub model: Box<str>,
    /// The prompt.
    pub prompt: Box<str>,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// True if the answer is to be streamed.
    pub is_streamed: bool,
}

impl CompletionCall {
    /// Parses and validates the body of a request.
    pub fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self, Refusal> {
        let raw: RawCall = serde_json::from_slice(body)
            .map_err(|error| bad_request(format!("the body is not a completion: {error}")))?;
        let prompt = match kind {
            CompletionKind::Text => parse_prompt(&raw)?,
            CompletionKind::Chat => parse_messages(&raw)?,
        };
        if prompt.is_empty() {
            return Err(bad_request("the prompt is empty"));
        }
        if prompt.len() > MAX_PROMPT_BYTES {
            let message = format!("the prompt has more than {MAX_PROMPT_BYTES} bytes");
            return Err(Refusal::not_run(RefusalCode::TooLarge, message));
        }
        if raw.n.is_some_and(|n| n != 1) {
            return Err(bad_request("n must be 1"));
        }
        Ok(Self {
            model: raw.model,
            prompt,
            max_tokens: parse_max_tokens(raw.max_completion_tokens.or(raw.max_tokens))?,
            is_streamed: raw.stream.unwrap_or(false),
        })
    }
}

/// The body of a request as deserialized, before its values are validated.
#[derive(Deserialize)]
struct RawCall {
    model: Box<str>,
    prompt: Option<Value>,
    messages: Option<Vec<RawMessage>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<bool>,
    n: Option<u64>,
}

#[derive(Deserialize)]
struct RawMessage {
    role: Box<str>,
    content: Value,
}

fn parse_prompt(raw: &RawCall) -> Result<Box<str>, Refusal> {
    match &raw.prompt {
        Some(Value::String(text)) => Ok(text.as_str().into()),
        Some(Value::Array(texts)) if texts.len() == 1 => match &texts[0] {
            Value::String(text) => Ok(text.as_str().into()),
            _ => Err(bad_request("prompt must be a text")),
        },
        Some(_) => Err(bad_request("prompt must be one text")),
        None => Err(bad_request("prompt is missing")),
    }
}

fn parse_messages(raw: &RawCall) -> Result<Box<str>, Refusal> {
    let Some(messages) = &raw.messages else {
        return Err(bad_request("messages are missing"));
    };
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&parse_content(&message.content)?);
        prompt.push('\n');
    }
    Ok(prompt.into())
}

fn parse_content(content: &Value) -> Result<String, Refusal> {
    if let Value::String(text) = content {
        return Ok(text.clone());
    }
    let Value::Array(parts) = content else {
        return Err(bad_request("the content of a message must be a text or a list of texts"));
    };
    let mut joined = String::new();
    for part in parts {
        let Some(text) = part.get("text").and_then(Value::as_str) else {
            return Err(bad_request("a part of a message must have a text"));
        };
        joined.push_str(text);
    }
    Ok(joined)
}

fn parse_max_tokens(requested: Option<u64>) -> Result<u32, Refusal> {
    let Some(requested) = requested else { return Ok(DEFAULT_OUTPUT_TOKENS) };
    if requested == 0 || requested > MAX_OUTPUT_TOKENS {
        return Err(bad_request(format!("max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}")));
    }
    Ok(requested as u32)
}

fn bad_request(message: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::RefusalCode;
    use proptest::prelude::{ProptestConfig, any, proptest};
    use proptest::test_runner::RngSeed;

    use super::{CompletionCall, CompletionKind};

    #[test]
    fn chat_messages_are_joined_to_one_prompt() {
        let body = br#"{"model": "m", "stream": true, "messages": [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": [{"type": "text", "text": "why?"}]}]}"#;
        let call = CompletionCall::parse(CompletionKind::Chat, body).unwrap();
        assert_eq!(&*call.prompt, "system: be short\nuser: why?\n");
        assert!(call.is_streamed);
    }

    #[test]
    fn too_many_tokens_are_refused() {
        let body = br#"{"model": "m", "prompt": "x", "max_tokens": 99999999}"#;
        let refusal = CompletionCall::parse(CompletionKind::Text, body).unwrap_err();
        assert_eq!(refusal.code, RefusalCode::BadRequest);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 256,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(7),
            ..ProptestConfig::default()
        })]

        #[test]
        fn any_body_is_parsed_or_refused(body in any::<Vec<u8>>()) {
            for kind in [CompletionKind::Text, CompletionKind::Chat] {
                let Err(refusal) = CompletionCall::parse(kind, &body) else { continue };
                assert_eq!(refusal.code, RefusalCode::BadRequest);
            }
        }
    }
}
