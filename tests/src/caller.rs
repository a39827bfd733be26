//! A caller that requests completions and resumes interrupted answers.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use bytes::BytesMut;
use futures_util::StreamExt;
use magnoliaspar_standin::{CALLER_KEY, MODEL};
use serde_json::{Value, json};

/// Default timeout for the next bytes of an answer, after which the caller retries.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of attempts for one answer.
const MAX_ATTEMPTS: usize = 40;

/// Requests completions; retries through other instances when an answer is interrupted.
pub struct Caller {
    client: Client,
    idle_timeout: Duration,
}

/// The answer to one request over all its attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamedAnswer {
    /// The tokens received so far.
    pub tokens: Vec<Box<str>>,
    /// The end of the last attempt.
    pub end: AnswerEnd,
    /// Number of attempts.
    pub attempts: usize,
    /// Number of times that the answer restarted at its first token.
    pub restarts: usize,
}

/// The end of an attempt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The connection failed, timed out or ended before the answer was complete.
    #[default]
    Broken,
    /// The answer is complete.
    Complete,
    /// The request was refused, at once or within the stream.
    Refused {
        /// The error code.
        code: Box<str>,
        /// The outcome that the refusal states, such as `not_run`.
        outcome: Box<str>,
    },
}

impl Caller {
    /// Creates a caller with the default timeout.
    pub fn new() -> Self {
        Self::with_idle_timeout(IDLE_TIMEOUT)
    }

    /// Creates a caller with `idle_timeout` as the timeout for the next bytes of an answer.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Self {
        let client = Client::builder().disable_timeout().finish();
        Self { client, idle_timeout }
    }

    /// Sends the request to each entry in turn until the answer is complete or refused with a code
    /// that is not retryable, or the attempts are used up.
    pub async fn request_completion(
        &self,
        entries: &[SocketAddr],
        id: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> StreamedAnswer {
        let mut answer = StreamedAnswer::default();
        while answer.attempts < MAX_ATTEMPTS {
            let entry = entries[answer.attempts % entries.len()];
            answer.attempts += 1;
            self.attempt(entry, id, prompt, max_tokens, &mut answer).await;
            if !is_retryable(&answer.end) {
                break;
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        answer
    }

    /// Sends the request once and appends to the tokens of earlier attempts.
    ///
    /// If there are such tokens, `last-event-id` asks the entry to resume after the last of them.
    pub async fn attempt(
        &self,
        entry: SocketAddr,
        id: &str,
        prompt: &str,
        max_tokens: u32,
        answer: &mut StreamedAnswer,
    ) {
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let mut req = self
            .client
            .post(format!("http://{entry}/v1/completions"))
            .insert_header(("authorization", format!("Bearer {CALLER_KEY}")))
            .insert_header(("x-request-id", id));
        if !answer.tokens.is_empty() {
            req = req.insert_header(("last-event-id", (answer.tokens.len() - 1).to_string()));
        }
        answer.end = AnswerEnd::Broken;
        let sent = actix_rt::time::timeout(self.idle_timeout, req.send_json(&body)).await;
        let Ok(Ok(mut res)) = sent else { return };
        if !res.status().is_success() {
            let Ok(refusal) = res.json::<Value>().await else { return };
            answer.end = refused(&refusal);
            return;
        }
        let mut buf = BytesMut::new();
        loop {
            let next = actix_rt::time::timeout(self.idle_timeout, res.next()).await;
            let Ok(Some(Ok(chunk))) = next else { return };
            buf.extend_from_slice(&chunk);
            while let Some(event) = take_event(&mut buf) {
                if let Some(end) = apply_event(&event, answer) {
                    answer.end = end;
                    return;
                }
            }
        }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether a retry may lead to a complete answer.
fn is_retryable(end: &AnswerEnd) -> bool {
    match end {
        AnswerEnd::Complete => false,
        AnswerEnd::Broken => true,
        AnswerEnd::Refused { code, .. } => {
            matches!(&**code, "no_server" | "not_ready" | "draining" | "overloaded" | "in_progress")
        }
    }
}

/// Removes the first complete server-sent event from `buf`.
fn take_event(buf: &mut BytesMut) -> Option<Box<str>> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buf.split_to(end + 2);
    Some(String::from_utf8_lossy(&event).into())
}

/// Applies one server-sent event to `answer`; returns the end of the answer if the event ends it.
fn apply_event(event: &str, answer: &mut StreamedAnswer) -> Option<AnswerEnd> {
    let mut id = None;
    let mut data = "";
    for line in event.lines() {
        if let Some(text) = line.strip_prefix("id: ") {
            id = text.parse::<usize>().ok();
        }
        if let Some(text) = line.strip_prefix("data: ") {
            data = text;
        }
    }
    if data == "[DONE]" {
        return Some(AnswerEnd::Complete);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    if value.get("error").is_some() {
        return Some(refused(&value));
    }
    let index = id?;
    if index == 0 && !answer.tokens.is_empty() {
        // The answer restarts and replaces the earlier tokens.
        answer.tokens.clear();
        answer.restarts += 1;
    }
    assert_eq!(index, answer.tokens.len(), "a token is repeated or missing");
    let text = value["choices"][0]["text"].as_str().unwrap_or_default();
    answer.tokens.push(text.into());
    None
}

fn refused(value: &Value) -> AnswerEnd {
    let text = |name: &str| value["error"][name].as_str().unwrap_or_default().into();
    AnswerEnd::Refused { code: text("code"), outcome: text("outcome") }
}
