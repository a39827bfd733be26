use std::rc::Rc;

use log::info;
use magnoliaspar_core::InstanceName;
use magnoliaspar_declaration::{Declarations, Document, DocumentDelta, EntityId};
use magnoliaspar_event::EventKind;
use magnoliaspar_query::api::{
    ApplyRequest, ApplyResponse, ErrorResponse, InstanceVersion, SpreadResponse,
};
use magnoliaspar_query::{Answer, Assignment, Command, CommandResult};

use super::ask;
use super::configuration::{ConfigurationChange, NewestConfiguration};
use crate::instance::{InForce, Instance};

/// Has a change of the declarations accepted.
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
    accept(instance, operator, command.into(), req.expected_version, req.delta).await
}

/// Changes fields of a declared thing.
pub async fn change(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    id: &EntityId,
    assignments: &[Assignment],
) -> Result<Answer, ErrorResponse> {
    let newest = instance.configuration_writer.newest().await?;
    let NewestConfiguration { document, made_by } = newest;
    let expected = command.expected_version.unwrap_or(made_by.version);
    if expected != made_by.version {
        return Ok(Answer::of_command(CommandResult::Conflict { winner: made_by }));
    }
    let delta = match Assignment::delta(assignments, id, &document) {
        Ok(delta) => delta,
        Err(findings) => return Ok(Answer::of_findings(findings)),
    };
    let text = command.to_string().into();
    match accept(instance, operator, text, expected, delta).await? {
        ApplyResponse::Accepted { version } => {
            Ok(Answer::of_command(CommandResult::Accepted { version }))
        }
        ApplyResponse::Conflict { winner } => {
            Ok(Answer::of_command(CommandResult::Conflict { winner }))
        }
        ApplyResponse::Refused { findings } => Ok(Answer::of_findings(findings)),
    }
}

/// Tells which version is in force where.
pub async fn spread(instance: &Rc<Instance>) -> SpreadResponse {
    let parts = ask::statuses(instance).await;
    let unreachable: Vec<InstanceName> = parts.silent();
    let mut instances = Vec::new();
    for status in parts.answered {
        instances.push(InstanceVersion {
            instance: status.instance,
            zone: status.zone,
            version: status.config_version,
        });
    }
    SpreadResponse { instances, unreachable }
}

async fn accept(
    instance: &Rc<Instance>,
    operator: &str,
    command: Box<str>,
    expected_version: u64,
    delta: DocumentDelta,
) -> Result<ApplyResponse, ErrorResponse> {
    record_command(instance, operator, &command);
    let stamp = instance.journal.stamp();
    let operator = operator.into();
    let change = ConfigurationChange { expected_version, delta, operator, command, stamp };
    let response = instance.configuration_writer.apply(&change).await?;
    if let ApplyResponse::Accepted { version } = response {
        put_in_force(instance, version, &change.delta);
    }
    Ok(response)
}

/// Records that an operator gave a command, whatever becomes of it.
pub fn record_command(instance: &Instance, operator: &str, command: &str) {
    info!(operator; "command: {command}");
    let (operator, command) = (operator.into(), command.into());
    instance.journal.record_own(EventKind::CommandGiven { operator, command });
}

/// Puts an accepted change in force here at once, if the version before it is in force.
fn put_in_force(instance: &Instance, version: u64, delta: &DocumentDelta) {
    let before = instance.in_force();
    let mut document = match &before {
        Some(in_force) if in_force.version + 1 == version => in_force.document.clone(),
        None if version == 1 => Document::default(),
        _ => return,
    };
    document.apply(delta);
    let Ok(declarations) = Declarations::try_from(&document) else { return };
    instance.configuration.set(InForce { version, declarations, document });
    instance.journal.record_own(EventKind::ConfigApplied { version });
}
