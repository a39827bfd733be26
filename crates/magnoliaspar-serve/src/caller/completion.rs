use magnoliaspar_core::{Refusal, RefusalCode};
use serde::Deserialize;
use serde_json::Value;

/// The most tokens that an answer may have.
const MAX_OUTPUT_TOKENS: u64 = 32_768;

/// How many tokens an answer may have if the caller does not say.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The longest prompt in bytes.
const MAX_PROMPT_BYTES: usize = 2 << 20;

/// The shape in which a completion is asked for and answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionShape {
    /// A prompt as one text.
    Text,
    /// A prompt as the messages of a chat.
    Chat,
}

impl CompletionShape {
    /// Returns the shape that goes with a path.
    pub fn of_path(path: &str) -> Option<Self> {
        match path {
            "/v1/completions" => Some(Self::Text),
            "/v1/chat/completions" => Some(Self::Chat),
            _ => None,
        }
    }
}

/// What a caller asks for, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionCall {
    /// The name of a model or route.
    pub model: Box<str>,
    /// The prompt.
    pub prompt: Box<str>,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
}

impl CompletionCall {
    /// Reads the body of a request.
    pub fn parse(shape: CompletionShape, body: &[u8]) -> Result<Self, Refusal> {
        let raw: RawCall = serde_json::from_slice(body)
            .map_err(|error| bad_request(format!("the body is not a completion: {error}")))?;
        let prompt = match shape {
            CompletionShape::Text => read_prompt(&raw)?,
            CompletionShape::Chat => read_messages(&raw)?,
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
            max_tokens: read_max_tokens(raw.max_completion_tokens.or(raw.max_tokens))?,
            is_streamed: raw.stream.unwrap_or(false),
        })
    }
}

/// The body of a request, of which only types are checked.
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

fn read_prompt(raw: &RawCall) -> Result<Box<str>, Refusal> {
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

fn read_messages(raw: &RawCall) -> Result<Box<str>, Refusal> {
    let Some(messages) = &raw.messages else {
        return Err(bad_request("messages are missing"));
    };
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&read_content(&message.content)?);
        prompt.push('\n');
    }
    Ok(prompt.into())
}

fn read_content(content: &Value) -> Result<String, Refusal> {
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

fn read_max_tokens(given: Option<u64>) -> Result<u32, Refusal> {
    let Some(given) = given else { return Ok(DEFAULT_OUTPUT_TOKENS) };
    if given == 0 || given > MAX_OUTPUT_TOKENS {
        return Err(bad_request(format!("max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}")));
    }
    Ok(given as u32)
}

fn bad_request(message: impl Into<Box<str>>) -> Refusal {
    Refusal::not_run(RefusalCode::BadRequest, message)
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::RefusalCode;
    use proptest::prelude::{ProptestConfig, any, proptest};
    use proptest::test_runner::RngSeed;

    use super::{CompletionCall, CompletionShape};

    #[test]
    fn a_chat_is_read_as_one_prompt() {
        let body = br#"{"model": "m", "stream": true, "messages": [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": [{"type": "text", "text": "why?"}]}]}"#;
        let call = CompletionCall::parse(CompletionShape::Chat, body).unwrap();
        assert_eq!(&*call.prompt, "system: be short\nuser: why?\n");
        assert!(call.is_streamed);
    }

    #[test]
    fn too_many_tokens_are_refused() {
        let body = br#"{"model": "m", "prompt": "x", "max_tokens": 99999999}"#;
        let refusal = CompletionCall::parse(CompletionShape::Text, body).unwrap_err();
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
        fn any_body_is_read_or_refused(body in any::<Vec<u8>>()) {
            for shape in [CompletionShape::Text, CompletionShape::Chat] {
                let Err(refusal) = CompletionCall::parse(shape, &body) else { continue };
                assert_eq!(refusal.code, RefusalCode::BadRequest);
            }
        }
    }
}
