//! The command that sets the model of engines.

use std::rc::Rc;

use magnoliaspar_core::{ModelName, PoolName, ServerName, ZoneName};
use magnoliaspar_declaration::PoolKind;
use magnoliaspar_order::{DesiredError, DesiredRole, DesiredState, OperatorName};
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_query::{Answer, Cell, Command, CommandResult, LoadTarget, Subject, Winner};
use magnoliaspar_store::{PlatformError, RowVersion};

use super::apply::record_command;
use super::orders::desired_table;
use super::rows;
use crate::instance::Instance;

/// A command to load a model on engines.
#[derive(Debug, Clone, Copy)]
pub struct ModelLoad<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The version of the model.
    pub version: &'a str,
    /// The adapters to load with the model.
    pub adapters: &'a [Box<str>],
    /// The size of the weights in bytes, if the operator named it.
    pub weight_bytes: Option<u64>,
    /// The server, or the pool whose engines load the model.
    pub target: &'a LoadTarget,
}

/// An engine that the command selects.
struct TargetEngine {
    server: ServerName,
    zone: ZoneName,
    role: DesiredRole,
}

/// Writes the desired states of engines; the holder of each zone's order lease applies them.
pub async fn load(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    load: ModelLoad<'_>,
) -> Result<Answer, ErrorResponse> {
    let engines = find_engines(instance, load.target).await?;
    if command.expected_version.is_some() && matches!(load.target, LoadTarget::Pool(_)) {
        let message = "the engines of a pool have a version each; name one server";
        return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
    }
    record_command(instance, operator, &command.to_string());
    let mut answer = Answer::new(&Subject::Orders);
    for engine in engines {
        let result = set_desired(instance, operator, command, load, &engine).await?;
        let state = match &result {
            CommandResult::Accepted { .. } => "desired".into(),
            CommandResult::Conflict { winner } => format!("lost to {winner}"),
        };
        let mut row = vec![Cell::Empty; answer.columns.len()];
        row[0] = engine.server.as_str().into();
        row[1] = Cell::text(format!("{} {}", load.model, load.version));
        row[2] = Cell::text(state);
        answer.push(row);
        answer.command = Some(more_significant(answer.command.take(), result));
    }
    Ok(answer)
}

/// Writes the desired state of one engine.
async fn set_desired(
    instance: &Instance,
    operator: &str,
    command: &Command,
    load: ModelLoad<'_>,
    engine: &TargetEngine,
) -> Result<CommandResult, ErrorResponse> {
    let table = desired_table(instance, &engine.zone);
    let current = table.read(&engine.server).await.map_err(unavailable)?;
    let known = current.as_ref().and_then(|row| row.state.as_ref());
    let is_same =
        |state: &&DesiredState| state.model == *load.model && *state.version == *load.version;
    let weight_bytes = load.weight_bytes.or(known.filter(is_same).map(|state| state.weight_bytes));
    let Some(weight_bytes) = weight_bytes else {
        let message = "the size of the weights is not known; give it as size BYTES";
        return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
    };
    let seen = match command.expected_version {
        Some(0) => None,
        Some(version) => Some(RowVersion(version)),
        None => current.map(|row| row.version),
    };
    let state = DesiredState {
        model: load.model.clone(),
        version: load.version.into(),
        adapters: load.adapters.iter().cloned().collect(),
        role: engine.role,
        weight_bytes,
    };
    match table.set(&engine.server, Some(&state), seen, &OperatorName(operator.into())).await {
        Ok(version) => Ok(CommandResult::Accepted { version: version.0 }),
        Err(DesiredError::Conflict { winner, at_version }) => {
            let version = at_version.map_or(0, |version| version.0);
            let operator = winner.map(|winner| winner.0);
            let winner = Winner { version, operator, command: None, stamp: None };
            Ok(CommandResult::Conflict { winner })
        }
        Err(error @ DesiredError::Ambiguous) => {
            Err(ErrorResponse::new(ErrorCode::StoreUnavailable, error.to_string()))
        }
        Err(DesiredError::Platform(error)) => Err(unavailable(error)),
    }
}

async fn find_engines(
    instance: &Rc<Instance>,
    target: &LoadTarget,
) -> Result<Vec<TargetEngine>, ErrorResponse> {
    let servers = rows::servers(instance).await;
    let mut engines = Vec::new();
    for row in &servers.rows {
        let [server, pool, zone, ..] = &**row else { continue };
        let is_target = match target {
            LoadTarget::Server(name) => *server == Cell::from(name.as_str()),
            LoadTarget::Pool(name) => *pool == Cell::from(name.as_str()),
        };
        if is_target {
            engines.extend(read_engine(instance, server, pool, zone)?);
        }
    }
    if engines.is_empty() {
        let message = format!("no engine is known for {target}");
        return Err(ErrorResponse::new(ErrorCode::NotFound, message));
    }
    Ok(engines)
}

fn read_engine(
    instance: &Instance,
    server: &Cell,
    pool: &Cell,
    zone: &Cell,
) -> Result<Option<TargetEngine>, ErrorResponse> {
    let (server, zone) = (server.to_string(), zone.to_string());
    let (Ok(server), Ok(zone)) = (server.as_str().try_into(), zone.as_str().try_into()) else {
        return Ok(None);
    };
    let active_configuration = instance.active_configuration();
    let declared = PoolName::try_from(pool.to_string().as_str()).ok();
    let kind = active_configuration.zip(declared).and_then(|(active_configuration, name)| {
        active_configuration.declarations.pools.get(&name).map(|declared| declared.kind)
    });
    let role = match kind {
        Some(PoolKind::Prefill) => DesiredRole::Prefill,
        Some(PoolKind::Decode) => DesiredRole::Decode,
        Some(PoolKind::Service) => {
            let message = format!("{server} is a plain service and loads no model");
            return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
        }
        None => {
            let message = format!("the pool {pool} of {server} is not declared");
            return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
        }
    };
    Ok(Some(TargetEngine { server, zone, role }))
}

/// Returns the result to report of two: a conflict if there is one, otherwise the newer version.
fn more_significant(first: Option<CommandResult>, second: CommandResult) -> CommandResult {
    match (first, second) {
        (Some(conflict @ CommandResult::Conflict { .. }), _) => conflict,
        (
            Some(CommandResult::Accepted { version: first }),
            CommandResult::Accepted { version: second },
        ) => CommandResult::Accepted { version: first.max(second) },
        (_, second) => second,
    }
}

fn unavailable(error: PlatformError) -> ErrorResponse {
    ErrorResponse::new(ErrorCode::StoreUnavailable, error.to_string())
}
