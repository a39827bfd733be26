use magnoliaspar_core::RequestId;
use magnoliaspar_engine::EndReason;
use serde::Serialize;

use super::completion::CompletionShape;
use crate::run::Completed;

/// One chunk of a streamed answer, or a whole answer, in the shape that callers use.
#[derive(Debug)]
#[derive(Serialize)]
pub struct AnswerBody<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<EndReason>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug)]
#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    cached_tokens: u32,
}

/// Writes the answers to one request.
#[derive(Debug, Clone)]
pub struct AnswerWriter {
    /// The shape that the caller asked for.
    pub shape: CompletionShape,
    /// The identifier of the request.
    pub id: RequestId,
    /// The model that the caller named.
    pub model: Box<str>,
}

impl AnswerWriter {
    /// Returns one token of a streamed answer.
    pub fn chunk<'a>(&'a self, text: &'a str) -> AnswerBody<'a> {
        self.body(true, text, None)
    }

    /// Returns the end of a streamed answer.
    pub fn last_chunk(&self, completed: &Completed) -> AnswerBody<'_> {
        self.body(true, "", Some(completed))
    }

    /// Returns a whole answer.
    pub fn whole<'a>(&'a self, text: &'a str, completed: &Completed) -> AnswerBody<'a> {
        self.body(false, text, Some(completed))
    }

    fn body<'a>(
        &'a self,
        is_chunk: bool,
        text: &'a str,
        completed: Option<&Completed>,
    ) -> AnswerBody<'a> {
        let message = Message { role: "assistant", content: text };
        let mut choice = Choice {
            index: 0,
            text: None,
            delta: None,
            message: None,
            finish_reason: completed.map(|completed| completed.reason),
        };
        match (self.shape, is_chunk) {
            (CompletionShape::Text, _) => choice.text = Some(text),
            (CompletionShape::Chat, true) => choice.delta = Some(message),
            (CompletionShape::Chat, false) => choice.message = Some(message),
        }
        AnswerBody {
            id: self.id.as_str(),
            object: self.object(is_chunk),
            model: &self.model,
            choices: [choice],
            usage: completed.map(usage),
        }
    }

    fn object(&self, is_chunk: bool) -> &'static str {
        match (self.shape, is_chunk) {
            (CompletionShape::Text, _) => "text_completion",
            (CompletionShape::Chat, true) => "chat.completion.chunk",
            (CompletionShape::Chat, false) => "chat.completion",
        }
    }
}

fn usage(completed: &Completed) -> Usage {
    Usage {
        prompt_tokens: completed.prompt_tokens,
        completion_tokens: completed.tokens,
        total_tokens: completed.prompt_tokens + completed.tokens,
        cached_tokens: completed.cached_tokens,
    }
}
