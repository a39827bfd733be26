use std::time::Duration;

use awc::Client;
use magnoliaspar_standin::{CALLER_KEY, Deployment, MODEL, answer_text};
use serde_json::{Value, json};

use crate::instances::Entry;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// How many tokens answers have at most.
const MAX_TOKENS: u32 = 24;

/// The prompt of all completions.
const PROMPT: &str = "Assess this pack.";

/// The key of the call that must be dispatched at most once.
const IDEMPOTENCY_KEY: &str = "playground-payout-17";

/// The header that tells whether an answer was kept from an earlier call.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// A request that the playground sends, and what is expected of its answer.
pub struct Call {
    /// What the call shows.
    pub title: &'static str,
    /// The identifier of the request.
    pub id: Box<str>,
    /// The number of the instance that takes it.
    pub entry: usize,
    /// The path.
    pub path: &'static str,
    /// The body; none for a lookup.
    pub body: Option<Value>,
    /// The idempotency key.
    pub key: Option<&'static str>,
    expected: Expected,
}

/// What an answer must be.
enum Expected {
    Completion,
    Chat,
    Stream,
    Service,
    Kept,
}

/// Returns one call over each kind of route.
pub fn all() -> Vec<Call> {
    let prompt = |is_streamed: bool| {
        json!({
            "model": MODEL, "prompt": PROMPT, "max_tokens": MAX_TOKENS, "stream": is_streamed,
        })
    };
    let messages = json!([{ "role": "user", "content": PROMPT }]);
    let chat = json!({ "model": MODEL, "messages": messages, "max_tokens": MAX_TOKENS });
    let call = |title, entry, path, body, key, expected| {
        let id = format!("playground-{}", rand::random::<u32>()).into();
        Call { title, id, entry, path, body, key, expected }
    };
    let (completions, chats) = ("/v1/completions", "/v1/chat/completions");
    let payout = Some(json!({ "pounds": 250 }));
    let key = Some(IDEMPOTENCY_KEY);
    vec![
        call("a completion", 0, completions, Some(prompt(false)), None, Expected::Completion),
        call("a streamed completion", 1, completions, Some(prompt(true)), None, Expected::Stream),
        call("a chat", 2, chats, Some(chat), None, Expected::Chat),
        call("a lookup", 0, "/grants/status/17", None, None, Expected::Service),
        call(
            "an idempotent call",
            1,
            "/grants/notes/17",
            Some(json!({ "note": "seen" })),
            None,
            Expected::Service,
        ),
        call("an at-most-once call", 0, "/grants/payouts", payout.clone(), key, Expected::Service),
        call(
            "its resend, which is not run again",
            1,
            "/grants/payouts",
            payout,
            key,
            Expected::Kept,
        ),
    ]
}

/// Sends a call and returns its answer, if it is the expected one.
pub async fn send(entry: &Entry, call: &Call) -> Result<Box<str>, Box<str>> {
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    let url = format!("http://{}{}", entry.addresses.callers, call.path);
    let mut req = match call.body {
        Some(_) => client.post(url),
        None => client.get(url),
    };
    req = req.insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
    req = req.insert_header(("x-request-id", &*call.id));
    if let Some(key) = call.key {
        req = req.insert_header(("idempotency-key", key));
    }
    let sent = match &call.body {
        Some(body) => req.send_json(body).await,
        None => req.send().await,
    };
    let mut res = sent.map_err(|error| error.to_string())?;
    let is_kept = res.headers().get(REPLAYED_HEADER).is_some_and(|value| value == "whole");
    let body = res.body().await.map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if !res.status().is_success() {
        return Err(format!("{} was refused: {text}", call.path).into());
    }
    check(&call.expected, &text, is_kept)?;
    match call.expected {
        Expected::Stream => {
            Ok(format!("{} (streamed to its end mark)", streamed_text(&text)?).into())
        }
        _ => Ok(text.trim_end().into()),
    }
}

/// Checks that the call that must be dispatched at most once was dispatched once.
pub fn check_runs(deployment: &Deployment) -> Result<(), Box<str>> {
    let mut runs = 0;
    for zone in &deployment.zones {
        for service in &zone.services {
            let calls = service.calls();
            runs +=
                calls.iter().filter(|call| call.key.as_deref() == Some(IDEMPOTENCY_KEY)).count();
        }
    }
    match runs {
        1 => Ok(()),
        _ => Err(format!("the at-most-once call was run {runs} times").into()),
    }
}

fn check(expected: &Expected, text: &str, is_kept: bool) -> Result<(), Box<str>> {
    let (is_right, wanted) = match expected {
        Expected::Completion => {
            let right = answer_text(PROMPT, MAX_TOKENS);
            (json_of(text)?["choices"][0]["text"] == json!(right), "the engine's answer")
        }
        Expected::Chat => {
            let content = &json_of(text)?["choices"][0]["message"]["content"];
            (content.as_str().is_some_and(|text| !text.is_empty()), "an answer with a message")
        }
        Expected::Stream => {
            let is_whole = streamed_text(text)? == answer_text(PROMPT, MAX_TOKENS);
            let has_end = text.trim_end().ends_with("data: [DONE]");
            (is_whole && has_end, "the engine's answer up to its end mark")
        }
        Expected::Service => (json_of(text)?["receipt"].is_u64() && !is_kept, "a fresh receipt"),
        Expected::Kept => (json_of(text)?["receipt"].is_u64() && is_kept, "the kept receipt"),
    };
    match is_right {
        true => Ok(()),
        false => Err(format!("expected {wanted}, got: {text}").into()),
    }
}

fn json_of(text: &str) -> Result<Value, Box<str>> {
    serde_json::from_str(text).map_err(|error| format!("{error} in: {text}").into())
}

fn streamed_text(stream: &str) -> Result<String, Box<str>> {
    let mut answer = String::new();
    for line in stream.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            break;
        }
        answer.push_str(json_of(data)?["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Ok(answer)
}
