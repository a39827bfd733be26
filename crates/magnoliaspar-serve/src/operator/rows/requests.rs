//! The rows of the requests in progress.

use magnoliaspar_core::RequestId;
use magnoliaspar_query::{Answer, Cell, Subject};

use crate::instance::Instance;

/// Returns the requests in progress whose home is this instance.
pub fn running(instance: &Instance) -> Answer {
    let mut answer = Answer::new(&Subject::Running);
    let now = instance.clock.now();
    for run in instance.home.registry().live() {
        let stage = run.stage();
        let origin = run.origin();
        let age = origin.as_ref().map(|origin| now.saturating_duration_since(origin.accepted_at));
        answer.push([
            run.id.request.as_str().into(),
            origin.as_ref().map(|origin| origin.route.as_str()).into(),
            run.id.workspace.as_str().into(),
            Cell::text(stage.step.to_string()),
            stage.server().map(|server| server.as_str()).into(),
            stage.prefill.as_ref().map(|server| server.as_str()).into(),
            stage.decode.as_ref().map(|server| server.as_str()).into(),
            instance.settings.instance.as_str().into(),
            stage.attempt.map(|attempt| attempt.0).into(),
            u64::from(run.token_count()).into(),
            age.into(),
        ]);
    }
    answer
}

/// Returns the reasons why the live runs of a request wait, if they do.
pub fn why_waiting(instance: &Instance, request: &RequestId) -> Answer {
    let mut answer = Answer::new(&Subject::Why(request.clone()));
    let now = instance.clock.now();
    for run in instance.home.registry().live() {
        if run.id.request != *request {
            continue;
        }
        let Some(waiting) = run.waiting() else { continue };
        let age = now.saturating_duration_since(waiting.decided_at);
        answer.push([
            Cell::text(instance.journal.stamp().to_string()),
            instance.settings.instance.as_str().into(),
            "waiting".into(),
            Cell::Text(waiting.reason),
            Cell::text(format!("considered {} ms ago", age.as_millis())),
            Cell::List(waiting.rejected),
        ]);
    }
    answer
}
