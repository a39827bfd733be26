//! Drains of backend servers and instances on command of operators.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use log::warn;
use magnoliaspar_core::{Incarnation, InstanceName, ServerName};
use magnoliaspar_event::{EventKind, Stamp};
use magnoliaspar_membership::MemberId;
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_query::{Answer, Cell, Command, CommandResult, Winner};
use magnoliaspar_store::{
    Backoff, CommitOutcome, Condition, PlatformError, Row, RowKey, RowVersion, TableService,
    TimerSleep, Transaction, Write, WriteToken, commit_idempotent,
};
use serde::{Deserialize, Serialize};

use super::apply::record_command;
use super::{fan_out, rows};
use crate::instance::Instance;
use crate::peer::PeerQuestion;

/// Prefix of the keys of drain rows; the name of the server follows.
const DRAIN_PREFIX: &str = "drain/";

/// Duration of a turn, in which only the elected instances of a zone read the drain rows.
const READ_TURN: Duration = Duration::from_secs(2);

/// Maximum number of rows per read of the table.
const PAGE_ROWS: usize = 500;

/// The latest drain command for a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerDrain {
    /// True if the server is to get no new work, false if its drain was withdrawn.
    pub is_drained: bool,
    /// The operator, the text and the version of the command.
    pub set_by: Winner,
}

/// The value of a drain row in the table.
#[derive(Serialize, Deserialize)]
struct DrainRow {
    state: DrainState,
    operator: Box<str>,
    command: Box<str>,
    stamp: Stamp,
}

#[derive(Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DrainState {
    Draining,
    Withdrawn,
}

/// The version of a command that was applied, and the incarnation of the server at that time.
#[derive(Clone, Copy, PartialEq, Eq)]
struct AppliedDrain {
    version: u64,
    incarnation: Incarnation,
}

/// Reads the drain rows of servers whenever this instance is elected, and applies them in the zone.
pub async fn apply_operator_drains(instance: Rc<Instance>) {
    let mut applied = BTreeMap::new();
    loop {
        tokio::time::sleep(READ_TURN).await;
        let wall = instance.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let turn = wall.as_secs() / READ_TURN.as_secs();
        if !instance.cluster.membership.borrow().is_elected_reader(turn) {
            continue;
        }
        match operator_drains(&instance).await {
            Ok(drains) => apply_drains(&instance, &drains, &mut applied),
            Err(error) => warn!("failed to read the drain commands from the table: {error}"),
        }
    }
}

/// Reads the latest drain command of each server that ever had one.
pub async fn operator_drains(
    instance: &Instance,
) -> Result<BTreeMap<ServerName, ServerDrain>, PlatformError> {
    let mut drains = BTreeMap::new();
    let mut after = None;
    loop {
        let rows = instance.table.scan(DRAIN_PREFIX, after.as_ref(), PAGE_ROWS).await?;
        for row in &rows {
            let Ok(server) = ServerName::try_from(&row.key.0[DRAIN_PREFIX.len()..]) else {
                continue;
            };
            let Some(drain) = parse_row(row) else { continue };
            drains.insert(server, drain);
        }
        after = match rows.last() {
            Some(row) if rows.len() == PAGE_ROWS => Some(row.key.clone()),
            _ => return Ok(drains),
        };
    }
}

/// Applies commands that may not have reached the zone, each once per incarnation of its server.
fn apply_drains(
    instance: &Instance,
    drains: &BTreeMap<ServerName, ServerDrain>,
    applied: &mut BTreeMap<ServerName, AppliedDrain>,
) {
    for (server, drain) in drains {
        let Some(known) = instance.directory.find(server) else { continue };
        let version = drain.set_by.version;
        let current = AppliedDrain { version, incarnation: known.incarnation };
        if applied.get(server) == Some(&current) {
            continue;
        }
        apply_server_drain(instance, server, drain.is_drained);
        applied.insert(server.clone(), current);
    }
}

/// Drains a server, so that it gets no new work, or withdraws its drain.
pub async fn change_server(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    server: &ServerName,
    is_drained: bool,
) -> Result<Answer, ErrorResponse> {
    check_effective(instance, server, is_drained).await?;
    let text: Box<str> = command.to_string().into();
    record_command(instance, operator, &text);
    let key = RowKey(format!("{DRAIN_PREFIX}{server}").into());
    let current = instance.table.read(&key).await.map_err(unavailable)?;
    if let Some(winner) = conflict_with(command.expected_version, current.as_ref()) {
        return Ok(Answer::of_command(CommandResult::Conflict { winner }));
    }
    let state = if is_drained { DrainState::Draining } else { DrainState::Withdrawn };
    let stamp = instance.journal.stamp();
    let content = DrainRow { state, operator: operator.into(), command: text, stamp };
    let value = serde_json::to_value(&content).expect("a drain row has string keys only");
    let condition = current.map_or(Condition::Absent, |row| Condition::Version(row.version));
    let transaction =
        Transaction { writes: vec![Write { key, condition, value: Some(value.clone()) }] };
    let token = WriteToken(format!("drain/{}/{:032x}", operator, rand::random::<u128>()).into());
    let backoff = Backoff::new(Rc::new(TimerSleep));
    match commit_idempotent(&*instance.table, &backoff, &transaction, &token).await {
        CommitOutcome::Applied(versions) => {
            let version = versions.first().copied().unwrap_or(RowVersion::OVERWRITTEN);
            apply_server_drain(instance, server, is_drained);
            Ok(Answer::of_command(CommandResult::Accepted { version: version.0 }))
        }
        CommitOutcome::Conflict { current, may_have_applied: false, .. } => {
            let winner = latest_command(current.as_ref());
            Ok(Answer::of_command(CommandResult::Conflict { winner }))
        }
        CommitOutcome::Conflict { .. } | CommitOutcome::Unknown => {
            let message = "the table gave no answer, and the command may be accepted; ask again";
            Err(ErrorResponse::new(ErrorCode::StoreUnavailable, message))
        }
        CommitOutcome::NotApplied(error) => Err(unavailable(error)),
    }
}

/// Refuses a command that would have no effect.
async fn check_effective(
    instance: &Rc<Instance>,
    server: &ServerName,
    is_drained: bool,
) -> Result<(), ErrorResponse> {
    let servers = rows::servers(instance).await;
    let name = Cell::from(server.as_str());
    let Some(row) = servers.rows.iter().find(|row| row.first() == Some(&name)) else {
        if !servers.gaps.is_empty() {
            // An instance that did not answer may know the server.
            return Ok(());
        }
        let message = format!("the server {server} is not known");
        return Err(ErrorResponse::new(ErrorCode::NotFound, message));
    };
    if !is_drained && row.contains(&"leaving".into()) {
        let message = format!("the platform itself ends the server {server}");
        return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
    }
    Ok(())
}

/// Drains an instance or withdraws its drain, and returns its state.
pub async fn change_instance(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    target: &InstanceName,
    is_draining: bool,
) -> Result<Answer, ErrorResponse> {
    if command.expected_version.is_some() {
        let message = "the drain of an instance is not kept at the platform and has no version";
        return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
    }
    let text: Box<str> = command.to_string().into();
    if *target == instance.settings.instance {
        drain_self(instance, is_draining, operator, &text);
    } else {
        record_command(instance, operator, &text);
        forward_to_instance(instance, operator, text, target, is_draining).await?;
    }
    let mut answer = rows::instances(instance, fan_out::statuses(instance).await);
    answer.rows.retain(|row| row.first() == Some(&target.as_str().into()));
    answer.gaps.retain(|gap| gap.instance == *target);
    Ok(answer)
}

/// Drains this instance or withdraws its drain.
pub fn drain_self(instance: &Instance, is_draining: bool, operator: &str, command: &str) {
    record_command(instance, operator, command);
    if instance.is_drained_by_operator.replace(is_draining) == is_draining {
        return;
    }
    instance.home.set_draining(instance.is_draining());
    let kind = if is_draining { EventKind::DrainStarted } else { EventKind::DrainWithdrawn };
    instance.journal.record_own(kind);
    // The zone then chooses other instances as homes of new requests.
    mark_drained(instance, &MemberId::Instance(instance.settings.instance.clone()), is_draining);
}

/// Forwards a drain command to the instance that it names.
async fn forward_to_instance(
    instance: &Rc<Instance>,
    operator: &str,
    command: Box<str>,
    target: &InstanceName,
    is_draining: bool,
) -> Result<(), ErrorResponse> {
    let others = fan_out::other_instances(instance).await;
    let Some(client) = others.iter().find(|client| client.instance() == target) else {
        let message = format!("the instance {target} is not known");
        return Err(ErrorResponse::new(ErrorCode::NotFound, message));
    };
    let question = PeerQuestion::Drain { is_draining, operator: operator.into(), command };
    let asked = client.ask(&question).await;
    asked.map(|_| ()).map_err(|error| {
        let message = format!("whether the instance {target} drains is not known, {error}");
        ErrorResponse::new(ErrorCode::StoreUnavailable, message)
    })
}

/// Drains a server of the own zone or withdraws its drain. Other zones read the command from the
/// table.
fn apply_server_drain(instance: &Instance, server: &ServerName, is_drained: bool) {
    mark_drained(instance, &MemberId::Server(server.clone()), is_drained);
}

/// Marks a member as drained or clears the mark, which gossip spreads in the zone.
///
/// It does nothing if the member is not of the zone.
fn mark_drained(instance: &Instance, id: &MemberId, is_drained: bool) {
    let now = instance.clock.now();
    let mut membership = instance.cluster.membership.borrow_mut();
    let changes = match is_drained {
        true => membership.drain(now, id).unwrap_or_default(),
        false => membership.undrain(now, id).unwrap_or_default(),
    };
    drop(membership);
    instance.cluster.apply_membership_changes(&changes);
}

impl DrainRow {
    fn set_by(&self, version: RowVersion) -> Winner {
        Winner {
            version: version.0,
            operator: Some(self.operator.clone()),
            command: Some(self.command.clone()),
            stamp: Some(self.stamp),
        }
    }
}

fn parse_row(row: &Row) -> Option<ServerDrain> {
    let content: DrainRow = serde_json::from_value(row.value.clone()).ok()?;
    let is_drained = content.state == DrainState::Draining;
    Some(ServerDrain { is_drained, set_by: content.set_by(row.version) })
}

/// Returns the latest command if the operator expected another version than the current one.
fn conflict_with(expected: Option<u64>, current: Option<&Row>) -> Option<Winner> {
    let version = current.map_or(0, |row| row.version.0);
    let is_current = expected.is_none_or(|expected| expected == version);
    (!is_current).then(|| latest_command(current))
}

fn latest_command(current: Option<&Row>) -> Winner {
    let none = Winner { version: 0, operator: None, command: None, stamp: None };
    let Some(row) = current else { return none };
    let unreadable = Winner { version: row.version.0, ..none };
    parse_row(row).map_or(unreadable, |drain| drain.set_by)
}

fn unavailable(error: PlatformError) -> ErrorResponse {
    ErrorResponse::new(ErrorCode::StoreUnavailable, error.to_string())
}
