use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use bytes::BytesMut;
use futures_util::StreamExt;
use magnoliaspar_standin::{CALLER_KEY, MODEL};
use serde_json::{Value, json};

/// How long a caller waits for the next bytes of an answer before it asks again.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a caller waits between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How often a caller asks for one answer at most.
const MAX_ATTEMPTS: usize = 40;

/// Asks for completions, and asks again through other instances when an answer breaks off.
pub struct Caller {
    client: Client,
    silence_timeout: Duration,
}

/// The tokens of one answer over all its attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamedAnswer {
    /// The tokens.
    pub tokens: Vec<Box<str>>,
    /// How the last attempt ended.
    pub end: AnswerEnd,
    /// How many attempts there were.
    pub attempts: usize,
    /// How often the answer started again from its first token.
    pub restarts: usize,
}

/// How an attempt ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer broke off.
    #[default]
    Broken,
    /// The answer is complete.
    Complete,
    /// The request was refused with this code and outcome.
    Refused {
        /// The code.
        code: Box<str>,
        /// The outcome.
        outcome: Box<str>,
    },
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> Self {
        Self::with_silence_timeout(SILENCE_TIMEOUT)
    }

    /// Creates a caller that waits for `silence_timeout` for the next bytes of an answer.
    pub fn with_silence_timeout(silence_timeout: Duration) -> Self {
        let client = Client::builder().disable_timeout().finish();
        Self { client, silence_timeout }
    }

    /// Asks until the answer is complete or refused for good, through each entry in turn.
    pub async fn ask(
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
            if !is_worth_retrying(&answer.end) {
                break;
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        answer
    }

    /// Asks once and adds to the tokens that are there already.
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
        let sent = actix_rt::time::timeout(self.silence_timeout, req.send_json(&body)).await;
        let Ok(Ok(mut res)) = sent else { return };
        if !res.status().is_success() {
            let Ok(refusal) = res.json::<Value>().await else { return };
            answer.end = refused(&refusal);
            return;
        }
        let mut buf = BytesMut::new();
        loop {
            let next = actix_rt::time::timeout(self.silence_timeout, res.next()).await;
            let Ok(Some(Ok(chunk))) = next else { return };
            buf.extend_from_slice(&chunk);
            while let Some(event) = take_event(&mut buf) {
                if let Some(end) = read_event(&event, answer) {
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

/// Whether asking again may lead to a complete answer.
fn is_worth_retrying(end: &AnswerEnd) -> bool {
    match end {
        AnswerEnd::Complete => false,
        AnswerEnd::Broken => true,
        AnswerEnd::Refused { code, .. } => {
            matches!(&**code, "no_server" | "not_ready" | "draining" | "overloaded" | "in_progress")
        }
    }
}

fn take_event(buf: &mut BytesMut) -> Option<Box<str>> {
    let end = buf.windows(2).position(|pair| pair == b"\n\n")?;
    let event = buf.split_to(end + 2);
    Some(String::from_utf8_lossy(&event).into())
}

/// Takes in one event; returns how the answer ended if it did.
fn read_event(event: &str, answer: &mut StreamedAnswer) -> Option<AnswerEnd> {
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
        // The answer starts again, in place of what was there.
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
