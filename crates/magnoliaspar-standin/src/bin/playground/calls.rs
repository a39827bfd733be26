//! The example calls of the playground.

use std::time::Duration;

use awc::Client;
use magnoliaspar_standin::{CALLER_KEY, Deployment, MODEL, answer_text};
use serde_json::{Value, json};

use crate::instances::EntryInstance;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of tokens of each answer.
const MAX_TOKENS: u32 = 24;

/// The prompt of all completions.
const PROMPT: &str = "Assess this pack.";

/// Idempotency key of the call that must run at most once.
const IDEMPOTENCY_KEY: &str = "playground-payout-17";

/// Response header of an answer that is replayed from an earlier call.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// An example call and its expected answer.
pub struct Call {
    /// A description for the output.
    pub title: &'static str,
    /// The request identifier.
    pub id: Box<str>,
    /// The index of the instance that receives the call.
    pub entry: usize,
    /// The path.
    pub path: &'static str,
    /// The body; `None` sends a GET request.
    pub body: Option<Value>,
    /// The idempotency key.
    pub key: Option<&'static str>,
    expected: Expected,
}

/// The expected kind of an answer.
enum Expected {
    Completion,
    Chat,
    Stream,
    Service,
    Replayed,
}

/// Returns the example calls: at least one for each kind of route.
pub fn examples() -> Vec<Call> {
    let prompt = |is_streamed: bool| {
        json!({
            "model": MODEL, "prompt": PROMPT, "max_tokens": MAX_TOKENS, "stream": is_streamed,
        })
    };
    let messages = json!([{ "role": "user", "content": PROMPT }]);
    let chat = json!({ "model": MODEL, "messages": messages, "max_tokens": MAX_TOKENS });
    let new_call = |title, entry, path, body, key, expected| {
        let id = format!("playground-{}", rand::random::<u32>()).into();
        Call { title, id, entry, path, body, key, expected }
    };
    let (completions, chats) = ("/v1/completions", "/v1/chat/completions");
    let payout = Some(json!({ "pounds": 250 }));
    let key = Some(IDEMPOTENCY_KEY);
    vec![
        new_call("a completion", 0, completions, Some(prompt(false)), None, Expected::Completion),
        new_call(
            "a streamed completion",
            1,
            completions,
            Some(prompt(true)),
            None,
            Expected::Stream,
        ),
        new_call("a chat", 2, chats, Some(chat), None, Expected::Chat),
        new_call("a lookup", 0, "/grants/status/17", None, None, Expected::Service),
        new_call(
            "an idempotent call",
            1,
            "/grants/notes/17",
            Some(json!({ "note": "seen" })),
            None,
            Expected::Service,
        ),
        new_call(
            "an at-most-once call",
            0,
            "/grants/payouts",
            payout.clone(),
            key,
            Expected::Service,
        ),
        new_call(
            "its resend, which is not run again",
            1,
            "/grants/payouts",
            payout,
            key,
            Expected::Replayed,
        ),
    ]
}

/// Sends a call and returns its answer; an unexpected answer is an error.
pub async fn send(entry: &EntryInstance, call: &Call) -> Result<Box<str>, Box<str>> {
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
    let is_replayed = res.headers().get(REPLAYED_HEADER).is_some_and(|value| value == "whole");
    let body = res.body().await.map_err(|error| error.to_string())?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if !res.status().is_success() {
        return Err(format!("{} was refused: {text}", call.path).into());
    }
    check(&call.expected, &text, is_replayed)?;
    match call.expected {
        Expected::Stream => Ok(format!("{} (complete stream)", streamed_text(&text)?).into()),
        _ => Ok(text.trim_end().into()),
    }
}

/// Checks that the at-most-once call ran exactly once although it was sent twice.
pub fn check_at_most_once(deployment: &Deployment) -> Result<(), Box<str>> {
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

fn check(expected: &Expected, text: &str, is_replayed: bool) -> Result<(), Box<str>> {
    let (is_expected, description) = match expected {
        Expected::Completion => {
            let answer = answer_text(PROMPT, MAX_TOKENS);
            (parse_json(text)?["choices"][0]["text"] == json!(answer), "the engine's answer")
        }
        Expected::Chat => {
            let content = &parse_json(text)?["choices"][0]["message"]["content"];
            (content.as_str().is_some_and(|text| !text.is_empty()), "an answer with a message")
        }
        Expected::Stream => {
            let is_whole = streamed_text(text)? == answer_text(PROMPT, MAX_TOKENS);
            let has_end = text.trim_end().ends_with("data: [DONE]");
            (is_whole && has_end, "the engine's answer, ended by data: [DONE]")
        }
        Expected::Service => {
            (parse_json(text)?["receipt"].is_u64() && !is_replayed, "a new receipt")
        }
        Expected::Replayed => {
            (parse_json(text)?["receipt"].is_u64() && is_replayed, "a replayed receipt")
        }
    };
    match is_expected {
        true => Ok(()),
        false => Err(format!("expected {description}, got: {text}").into()),
    }
}

fn parse_json(text: &str) -> Result<Value, Box<str>> {
    serde_json::from_str(text).map_err(|error| format!("{error} in: {text}").into())
}

fn streamed_text(stream: &str) -> Result<String, Box<str>> {
    let mut answer = String::new();
    for line in stream.lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            break;
        }
        answer.push_str(parse_json(data)?["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Ok(answer)
}
