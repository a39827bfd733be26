//! Keeps requests that crash servers from the servers of their service.
//!
//! Completions are checked by the coordinator, which admits each of them. Plain calls are not admitted, so that each
//! instance refuses them by what it knows, and asks the coordinator only about those that may crash a server: before
//! one is repeated after a crash, and once its refusal has ended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::RequestHead;
use actix_http::header;
use bytes::Bytes;
use magnoliaspar_access::Workspace;
use magnoliaspar_core::ServerKey;
use magnoliaspar_retry::{CrashId, PartHasher, PartId};
use serde::{Deserialize, Serialize};

use crate::call::{Incoming, can_connect};
use crate::exchange::CallError;
use crate::gateway::{Gateway, display_parts};
use crate::peers::Payload;
use crate::refusal::Refusal;
use crate::route::ServiceName;

/// Timeout of a question to the coordinator about a request: about ten round trips.
const DECISION_TIMEOUT: Duration = Duration::from_millis(40);

/// Shortest run for the number of runs that a process has survived. A crash is noticed some time after its cause.
const MIN_RUN_TIME: Duration = Duration::from_millis(100);

/// Question whether a request that may crash a server may be sent to one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunQuestion {
    /// The service of the request.
    pub service: ServiceName,
    /// The parts of the request.
    pub parts: Box<[PartId]>,
}

/// A crash of a server of a service, at which it had not responded to a plain call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallCrash {
    /// The process that has ended.
    pub crash: CrashId,
    /// The service of the call.
    pub service: ServiceName,
    /// The parts of the call.
    pub parts: Box<[PartId]>,
    /// Time from the sending of the call to the crash, in milliseconds.
    pub run_ms: u64,
    /// Number of runs as long as that of the call that the process had time for before.
    pub survived: u32,
}

/// Returns the parts of a plain call by which it is recognized when it is sent again: what it asks for, and the
/// same with the caller that asks. `has_keys` tells whether `Authorization` holds the keys of workspaces.
///
/// Calls that differ in the caller only may differ in whether they crash a server, and the address of a caller may
/// change between two attempts.
pub fn parts_of_call(
    head: &RequestHead,
    has_keys: bool,
    workspace: Option<&Workspace>,
    body: &[Bytes],
) -> Box<[PartId]> {
    let mut content = PartHasher::default();
    content.add(head.method.as_str().as_bytes());
    push_part(&mut content, head.uri.to_string().as_bytes());
    let length: usize = body.iter().map(Bytes::len).sum();
    content.add(&(length as u64).to_le_bytes());
    for block in body {
        content.add(block);
    }
    let requested = content.part();
    if let Some(peer) = head.peer_addr {
        push_part(&mut content, peer.ip().to_string().as_bytes());
    }
    if let Some(workspace) = workspace {
        push_part(&mut content, workspace.name.as_str().as_bytes());
    }
    // The parts are sent to other instances and shown to operators, and nothing of them is derived from a key. A caller
    // may send one on a route that needs none.
    let names = match has_keys {
        true => &[header::COOKIE][..],
        false => &[header::AUTHORIZATION, header::COOKIE],
    };
    for name in names {
        for value in head.headers().get_all(name) {
            push_part(&mut content, value.as_bytes());
        }
    }
    [requested, content.part()].into()
}

/// Appends a part of a request with its length, so that no other sequence of parts has the same bytes.
fn push_part(content: &mut PartHasher, part: &[u8]) {
    content.add(&(part.len() as u64).to_le_bytes());
    content.add(part);
}

/// Returns an error if a plain call is refused since it crashes servers.
pub async fn admit_call(gateway: &Rc<Gateway>, req: &Incoming) -> Result<(), Refusal> {
    if gateway.quarantined_for(&req.service, &req.parts).is_some() {
        return Err(Refusal::Quarantined);
    }
    if !gateway.is_on_trial(&req.service, &req.parts) {
        return Ok(());
    }
    // Without the coordinator, several instances would try the call at once.
    match request_run(gateway, req).await {
        Some(true) => Ok(()),
        Some(false) | None => Err(Refusal::Quarantined),
    }
}

/// Returns whether a plain call that has just crashed a server may be sent to another one. The coordinator also
/// knows the crashes that other instances have reported.
pub async fn may_repeat_call(gateway: &Rc<Gateway>, req: &Incoming) -> bool {
    match request_run(gateway, req).await {
        Some(is_allowed) => is_allowed,
        None => gateway.quarantined_for(&req.service, &req.parts).is_none(),
    }
}

/// Asks the coordinator whether a call may run; returns `None` if it does not reply.
async fn request_run(gateway: &Rc<Gateway>, req: &Incoming) -> Option<bool> {
    let question = RunQuestion { service: req.service.clone(), parts: req.parts.clone() };
    let is_allowed = match gateway.coordinator() {
        None => Some(decide_run(gateway, &question)),
        Some(coordinator) => {
            let send = |number| {
                gateway.send(coordinator.address, Payload::RequestRun(number, question));
            };
            gateway.run_decisions.request(DECISION_TIMEOUT, send).await
        }
    };
    log::info!(request = &*req.facts.id, parts = &*display_parts(&req.parts), is_allowed:?; "run_requested");
    is_allowed
}

/// Decides as coordinator whether a request that may crash a server may run.
pub fn decide_run(gateway: &Gateway, question: &RunQuestion) -> bool {
    let RunQuestion { service, parts } = question;
    gateway.quarantined_for(service, parts).is_none() && gateway.allows_trial(service, parts)
}

/// Reports the response to a plain call, if its parts are suspected.
pub fn report_answer(gateway: &Gateway, req: &Incoming) {
    if gateway.concerns_quarantine(&req.service, &req.parts) {
        gateway.send_to_coordinators(Payload::Answered(req.service.clone(), req.parts.clone()));
    }
}

/// The process of a server before a plain call is sent to it.
pub struct CalledProcess {
    server: ServerKey,
    name: Box<str>,
    started_ms: u64,
    known_since: Option<Instant>,
    called_at: Instant,
}

impl CalledProcess {
    /// Records the process of a server.
    pub fn new(gateway: &Gateway, server: ServerKey) -> Self {
        let directory = gateway.directory.borrow();
        let entry = directory.get(server);
        Self {
            server,
            name: entry.map_or("gone".into(), |server| server.record.id.clone()),
            started_ms: entry.map_or(0, |server| server.record.started_ms),
            known_since: entry.and_then(|server| server.known_since),
            called_at: gateway.clock.now(),
        }
    }

    /// Reports a crash if the process broke off the call and accepts no connection since; returns whether it has.
    ///
    /// A server that lives may reset a connection too.
    pub async fn report_crash(
        self,
        gateway: &Rc<Gateway>,
        req: &Incoming,
        error: &CallError,
    ) -> bool {
        let broke_at = gateway.clock.now();
        if !matches!(error, CallError::Broken(_)) || can_connect(gateway, self.server).await {
            return false;
        }
        let run_time = broke_at.saturating_duration_since(self.called_at);
        let (run_ms, survived) = (run_time.as_millis() as u64, self.survived(run_time));
        let (request, parts) = (&*req.facts.id, display_parts(&req.parts));
        log::warn!(request, server = &*self.name, parts, run_ms, survived; "server_crashed");
        let crash = CrashId::of_process(&self.name, self.started_ms);
        let (service, parts) = (req.service.clone(), req.parts.clone());
        gateway.send_to_coordinators(Payload::CallCrashed(CallCrash {
            crash,
            service,
            parts,
            run_ms,
            survived,
        }));
        true
    }

    /// Returns the number of runs as long as that of the call that the process had time for before.
    fn survived(&self, run_time: Duration) -> u32 {
        let Some(known_since) = self.known_since else { return 0 };
        let lifetime = self.called_at.saturating_duration_since(known_since);
        (lifetime.as_secs_f64() / run_time.max(MIN_RUN_TIME).as_secs_f64()) as u32
    }
}

#[cfg(test)]
mod tests {
    use actix_http::RequestHead;
    use actix_http::header::{AUTHORIZATION, HeaderValue};
    use bytes::Bytes;

    use super::parts_of_call;

    /// Guards against what is derived from a key and sent to other instances, on a route that needs none.
    #[test]
    fn the_parts_of_a_call_do_not_depend_on_a_key() {
        let parts = |value: &'static str, has_keys: bool| {
            let mut head = RequestHead::default();
            head.headers.insert(AUTHORIZATION, HeaderValue::from_static(value));
            parts_of_call(&head, has_keys, None, &[Bytes::from_static(b"body")])
        };
        assert_eq!(parts("Bearer k1", true), parts("Bearer k2", true));
        assert_ne!(parts("Bearer k1", false), parts("Bearer k2", false), "no keys of workspaces");
    }
}
