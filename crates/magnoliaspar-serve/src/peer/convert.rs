//! Conversions between gRPC messages and the types of this crate.

use std::time::{Duration, Instant};

use magnoliaspar_core::{
    AttemptId, NameError, Outcome, Refusal, RefusalCode, RequestId, RouteName, WorkspaceName,
};
use magnoliaspar_engine::EndReason;
use magnoliaspar_event::Stamp;
use magnoliaspar_wire::peer::run_event::Event;
use magnoliaspar_wire::peer::{
    RunEnd, RunEvent, RunOpen, RunPlaced, RunRefused, RunSuperseded, RunToken,
};
use serde_json::Value;

use crate::run::{Completed, CompletionRequest, Placement, RunResult, RunUpdate, ScopedId};

/// Error for a malformed message of another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
#[displaydoc("a message of another instance is malformed: {0}")]
pub struct BadMessage(pub Box<str>);

impl std::error::Error for BadMessage {}

impl From<NameError> for BadMessage {
    fn from(error: NameError) -> Self {
        Self(error.to_string().into())
    }
}

/// Converts a request to a message, with its times relative to `now`.
pub fn to_open(req: &CompletionRequest, now: Instant, stamp: Stamp) -> RunOpen {
    RunOpen {
        request: req.id.request.to_string(),
        route: req.route.to_string(),
        workspace: req.id.workspace.to_string(),
        prompt: req.prompt.to_string(),
        max_tokens: req.max_tokens,
        deadline_ms: Some(to_millis(req.deadline.saturating_duration_since(now))),
        from: req.from,
        emitted: req.emitted.iter().map(|token| token.to_string()).collect(),
        age_ms: to_millis(now.saturating_duration_since(req.accepted_at)),
        config_version: 0,
        hlc: stamp.0,
        placement: req.placement.as_ref().map(to_placed),
    }
}

/// Converts a message to a request.
pub fn from_open(open: RunOpen, now: Instant) -> Result<CompletionRequest, BadMessage> {
    let age = Duration::from_millis(open.age_ms);
    let left = Duration::from_millis(open.deadline_ms.unwrap_or(0));
    Ok(CompletionRequest {
        id: ScopedId {
            workspace: WorkspaceName::try_from(open.workspace.as_str())?,
            request: RequestId::try_from(open.request.as_str())?,
        },
        route: RouteName::try_from(open.route.as_str())?,
        prompt: open.prompt.into(),
        max_tokens: open.max_tokens,
        accepted_at: now.checked_sub(age).unwrap_or(now),
        deadline: now + left,
        from: open.from,
        emitted: open.emitted.into_iter().map(Box::from).collect(),
        placement: open.placement.map(|placed| from_placed(&placed)).transpose()?,
    })
}

/// Converts an update to a message.
pub fn to_event(update: RunUpdate) -> RunEvent {
    let event = match update {
        RunUpdate::Placed(placement) => Event::Placed(to_placed(&placement)),
        RunUpdate::Token { index, text } => Event::Token(RunToken { index, text: text.into() }),
        RunUpdate::Superseded => Event::Superseded(RunSuperseded {}),
        RunUpdate::Ended(RunResult::Completed(completed)) => Event::End(to_end(&completed)),
        RunUpdate::Ended(RunResult::Refused(refusal)) => Event::Refused(to_refused(&refusal)),
    };
    RunEvent { event: Some(event) }
}

/// Converts a message to an update.
pub fn from_event(event: Event) -> Result<RunUpdate, BadMessage> {
    match event {
        Event::Placed(placed) => Ok(RunUpdate::Placed(from_placed(&placed)?)),
        Event::Token(token) => Ok(RunUpdate::Token { index: token.index, text: token.text.into() }),
        Event::Superseded(_) => Ok(RunUpdate::Superseded),
        Event::End(end) => Ok(RunUpdate::Ended(RunResult::Completed(from_end(&end)?))),
        Event::Refused(refused) => Ok(RunUpdate::Ended(RunResult::Refused(from_refused(refused)?))),
        Event::Accepted(_) => Err(BadMessage("a run is accepted only once".into())),
    }
}

/// Converts a refusal to a message.
pub fn to_refused(refusal: &Refusal) -> RunRefused {
    RunRefused {
        code: to_name(&refusal.code),
        outcome: to_name(&refusal.outcome),
        message: refusal.message.to_string(),
        retry_after_ms: refusal.retry_after.map(to_millis),
    }
}

/// Converts a message to a refusal.
pub fn from_refused(refused: RunRefused) -> Result<Refusal, BadMessage> {
    let code: RefusalCode = from_name(refused.code)?;
    let outcome: Outcome = from_name(refused.outcome)?;
    Ok(Refusal {
        code,
        outcome,
        message: refused.message.into(),
        retry_after: refused.retry_after_ms.map(Duration::from_millis),
    })
}

fn to_placed(placement: &Placement) -> RunPlaced {
    RunPlaced { decode_address: placement.decode.to_string(), attempt: placement.attempt.0 }
}

fn from_placed(placed: &RunPlaced) -> Result<Placement, BadMessage> {
    let Ok(decode) = placed.decode_address.parse() else {
        return Err(BadMessage("a placement has no address".into()));
    };
    Ok(Placement { decode, attempt: AttemptId(placed.attempt) })
}

fn to_end(completed: &Completed) -> RunEnd {
    RunEnd {
        tokens: completed.tokens,
        reason: to_name(&completed.reason),
        prompt_tokens: completed.prompt_tokens,
        cached_tokens: completed.cached_tokens,
    }
}

fn from_end(end: &RunEnd) -> Result<Completed, BadMessage> {
    let reason: EndReason = from_name(end.reason.clone())?;
    Ok(Completed {
        tokens: end.tokens,
        reason,
        prompt_tokens: end.prompt_tokens,
        cached_tokens: end.cached_tokens,
    })
}

/// Returns the serialized name of an enum value.
fn to_name(value: &impl serde::Serialize) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Parses an enum value from its serialized name.
fn from_name<T: serde::de::DeserializeOwned>(name: String) -> Result<T, BadMessage> {
    let message = format!("{name:?} is not known");
    serde_json::from_value(Value::String(name)).map_err(|_| BadMessage(message.into()))
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::{Refusal, RefusalCode, RequestId, RouteName, WorkspaceName};

    use magnoliaspar_event::Stamp;

    use super::{from_event, from_open, to_event, to_open};
    use crate::run::{CompletionRequest, RunResult, RunUpdate, ScopedId};

    #[test]
    fn a_request_round_trips_through_a_message() {
        let now = Instant::now();
        let req = CompletionRequest {
            id: ScopedId {
                workspace: WorkspaceName::try_from("council").unwrap(),
                request: RequestId::try_from("r-1").unwrap(),
            },
            route: RouteName::try_from("assess").unwrap(),
            prompt: "why?".into(),
            max_tokens: 7,
            accepted_at: now,
            deadline: now + Duration::from_secs(3),
            from: 2,
            emitted: vec!["a".into(), "b".into()],
            placement: None,
        };
        let read = from_open(to_open(&req, now, Stamp(0)), now).unwrap();
        assert_eq!(read.id, req.id);
        assert_eq!(read.deadline, req.deadline);
        assert_eq!(read.emitted, req.emitted);
        assert_eq!(read.fingerprint(), req.fingerprint());
    }

    #[test]
    fn a_refusal_round_trips_through_a_message() {
        let refusal = Refusal::may_have_run(RefusalCode::ServerFailed, "lost")
            .with_retry_after(Duration::from_secs(2));
        let update = RunUpdate::Ended(RunResult::Refused(refusal));
        let event = to_event(update.clone()).event.unwrap();
        assert_eq!(from_event(event), Ok(update));
    }
}
