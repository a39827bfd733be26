//! Queries and commands on quarantined fingerprints.

use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_query::{Answer, Cell, Command, CommandResult, Subject, Winner};
use magnoliaspar_retry::{Admission, Fingerprint};

use crate::instance::Instance;
use crate::quarantine::QuarantineRecord;

/// Returns the rows of the suspected and refused fingerprints that this instance knows.
pub fn list(instance: &Instance) -> Answer {
    let mut answer = Answer::new(&Subject::Quarantine);
    for record in instance.quarantine.records() {
        let mut servers = Vec::new();
        for server in &record.servers {
            servers.push(server.as_str().into());
        }
        let age = instance.clock.now().saturating_duration_since(record.changed_at);
        answer.push([
            Cell::Text(record.fingerprint.to_string().into()),
            Cell::Text(state_name(record.admission).into()),
            crash_count(record.admission).into(),
            Cell::List(servers.into()),
            record.version.into(),
            age.into(),
        ]);
    }
    answer
}

/// Quarantines a fingerprint, so that its requests are refused, or releases it.
pub fn change(
    instance: &Instance,
    command: &Command,
    fingerprint: &str,
    is_refused: bool,
) -> Result<Answer, ErrorResponse> {
    let Some(fingerprint) = Fingerprint::parse(fingerprint) else {
        let message = "a fingerprint has 16 hexadecimal digits";
        return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
    };
    let known = instance.quarantine.record_of(fingerprint);
    if let Some(winner) = conflict_with(command.expected_version, known.as_ref()) {
        return Ok(Answer::of_command(CommandResult::Conflict { winner }));
    }
    if is_refused {
        instance.quarantine.refuse(fingerprint);
    } else {
        instance.quarantine.release(fingerprint);
    }
    let version = instance.quarantine.version_of(fingerprint);
    Ok(Answer::of_command(CommandResult::Accepted { version }))
}

/// Returns the error for a command that this build does not support.
pub fn unsupported(command: &str) -> ErrorResponse {
    let message = format!("{command} is not supported by this build");
    ErrorResponse::new(ErrorCode::BadRequest, message)
}

fn conflict_with(expected: Option<u64>, known: Option<&QuarantineRecord>) -> Option<Winner> {
    let version = known.map_or(0, |record| record.version);
    if expected.is_none_or(|expected| expected == version) {
        return None;
    }
    Some(Winner { version, operator: None, command: None, stamp: None })
}

fn state_name(admission: Admission) -> &'static str {
    match admission {
        Admission::Free => "free",
        Admission::Isolated => "suspect",
        Admission::Refused => "refused",
    }
}

fn crash_count(admission: Admission) -> u64 {
    match admission {
        Admission::Free => 0,
        Admission::Isolated => 1,
        Admission::Refused => 2,
    }
}
