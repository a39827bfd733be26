//! The JSON bodies of answered completions, in the format of the OpenAI API.

use magnoliaspar_core::RequestId;
use magnoliaspar_engine::EndReason;
use serde::Serialize;

use super::completion::CompletionKind;
use crate::run::Completed;

/// A whole answer or one chunk of a streamed answer.
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

/// Builds the bodies of the answer to one request.
#[derive(Debug, Clone)]
pub struct AnswerBuilder {
    /// The API that the caller used.
    pub kind: CompletionKind,
    /// The identifier of the request.
    pub id: RequestId,
    /// The model that the caller named.
    pub model: Box<str>,
}

impl AnswerBuilder {
    /// Returns the chunk of one token of a streamed answer.
    pub fn chunk<'a>(&'a self, text: &'a str) -> AnswerBody<'a> {
        self.body(true, text, None)
    }

    /// Returns the last chunk of a streamed answer, with the finish reason and the usage.
    pub fn final_chunk(&self, completed: &Completed) -> AnswerBody<'_> {
        self.body(true, "", Some(completed))
    }

    /// Returns the body of an answer that is not streamed.
    pub fn full_answer<'a>(&'a self, text: &'a str, completed: &Completed) -> AnswerBody<'a> {
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
        match (self.kind, is_chunk) {
            (CompletionKind::Text, _) => choice.text = Some(text),
            (CompletionKind::Chat, true) => choice.delta = Some(message),
            (CompletionKind::Chat, false) => choice.message = Some(message),
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
        match (self.kind, is_chunk) {
            (CompletionKind::Text, _) => "text_completion",
            (CompletionKind::Chat, true) => "chat.completion.chunk",
            (CompletionKind::Chat, false) => "chat.completion",
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
