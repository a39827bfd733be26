//! Changes of the declarations, and the rollout of their versions.

use std::rc::Rc;

use log::info;
use magnoliaspar_configuration::Acceptance;
use magnoliaspar_core::InstanceName;
use magnoliaspar_declaration::{DocumentDelta, EntityId};
use magnoliaspar_event::{EventKind, Stamp};
use magnoliaspar_query::api::{
    ApplyRequest, ApplyResponse, ErrorCode, ErrorResponse, InstanceVersion, SpreadResponse,
};
use magnoliaspar_query::{Answer, Assignment, Command, CommandResult, Winner};

use super::fan_out;
use crate::instance::Instance;

/// Proposes a change of the declarations.
pub async fn apply(
    instance: &Rc<Instance>,
    operator: &str,
    req: ApplyRequest,
) -> Result<ApplyResponse, ErrorResponse> {
    let command = format!(
        "apply declarations, {} set and {} removed, if version {}",
        req.delta.upserts.len(),
        req.delta.removals.len(),
        req.expected_version
    );
    record_command(instance, operator, &command);
    propose(instance, operator, &command, req.expected_version, req.delta).await
}

/// Changes fields of a declared entity.
pub async fn change(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    id: &EntityId,
    assignments: &[Assignment],
) -> Result<Answer, ErrorResponse> {
    let text = command.to_string();
    record_command(instance, operator, &text);
    let caught_up = instance.cluster.catch_up().await;
    caught_up.map_err(|error| unavailable(error.to_string()))?;
    let configuration = instance.cluster.configuration.borrow().clone();
    let expected = command.expected_version.unwrap_or(configuration.version());
    let is_newest = expected == configuration.version();
    let delta = match Assignment::delta(assignments, id, configuration.document()) {
        Ok(delta) => delta,
        Err(findings) if is_newest => return Ok(Answer::of_findings(findings)),
        // The version is outdated, so the command conflicts whatever it changes. Proposing an
        // empty change returns the command that won.
        Err(_) => DocumentDelta::default(),
    };
    match propose(instance, operator, &text, expected, delta).await? {
        ApplyResponse::Accepted { version } => {
            Ok(Answer::of_command(CommandResult::Accepted { version }))
        }
        ApplyResponse::Conflict { winner } => {
            Ok(Answer::of_command(CommandResult::Conflict { winner }))
        }
        ApplyResponse::Refused { findings } => Ok(Answer::of_findings(findings)),
    }
}

/// Returns the active version of the configuration on each instance.
pub async fn rollout(instance: &Rc<Instance>) -> SpreadResponse {
    let gathered = fan_out::statuses(instance).await;
    let unreachable: Vec<InstanceName> = gathered.unanswered();
    let mut instances = Vec::new();
    for status in gathered.parts {
        instances.push(InstanceVersion {
            instance: status.instance,
            zone: status.zone,
            version: status.config_version,
        });
    }
    SpreadResponse { instances, unreachable }
}

async fn propose(
    instance: &Rc<Instance>,
    operator: &str,
    command: &str,
    expected_version: u64,
    delta: DocumentDelta,
) -> Result<ApplyResponse, ErrorResponse> {
    match instance.cluster.propose(expected_version, delta, operator, command).await {
        Acceptance::Accepted { version } => Ok(ApplyResponse::Accepted { version }),
        Acceptance::Conflict { winner, version, command, at } => {
            let stamp = Some(Stamp::at(at));
            let (operator, command) = (non_empty(winner), non_empty(command));
            Ok(ApplyResponse::Conflict { winner: Winner { version, operator, command, stamp } })
        }
        Acceptance::Refused(findings) => Ok(ApplyResponse::Refused { findings }),
        Acceptance::Unavailable(message) => Err(unavailable(message)),
        Acceptance::Unknown => {
            Err(unavailable("the platform gave no answer, and the change may be accepted"))
        }
    }
}

/// Logs and records that an operator gave a command, whether it succeeds or not.
pub fn record_command(instance: &Instance, operator: &str, command: &str) {
    info!(operator; "command: {command}");
    let (operator, command) = (operator.into(), command.into());
    instance.journal.record_own(EventKind::CommandGiven { operator, command });
}

fn non_empty(text: Box<str>) -> Option<Box<str>> {
    (!text.is_empty()).then_some(text)
}

fn unavailable(message: impl Into<Box<str>>) -> ErrorResponse {
    ErrorResponse::new(ErrorCode::StoreUnavailable, message)
}
