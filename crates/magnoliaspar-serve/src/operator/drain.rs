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
use super::{ask, rows};
use crate::instance::Instance;
use crate::peer::PeerQuestion;

/// What stands before the server in the key of a drain's row.
const DRAIN_PREFIX: &str = "drain/";

/// How long one turn of reading the drains of servers lasts.
const TURN: Duration = Duration::from_secs(2);

/// How many rows one read returns.
const PAGE_ROWS: usize = 500;

/// What operators want of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerDrain {
    /// Whether the server gets no new work.
    pub is_drained: bool,
    /// Who wanted it so.
    pub made_by: Winner,
}

/// The content of a drain's row.
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

/// Which command was made known to the members of the zone, for which life of the server.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Applied {
    version: u64,
    incarnation: Incarnation,
}

/// Reads the drains of servers whenever it is this instance's turn, and tells the zone of them.
pub async fn read_drains(instance: Rc<Instance>) {
    let mut applied = BTreeMap::new();
    loop {
        tokio::time::sleep(TURN).await;
        let wall = instance.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let turn = wall.as_secs() / TURN.as_secs();
        if !instance.cluster.membership.borrow().is_list_reader(turn) {
            continue;
        }
        match operator_drains(&instance).await {
            Ok(drains) => apply_drains(&instance, &drains, &mut applied),
            Err(error) => warn!("the drains of servers cannot be read: {error}"),
        }
    }
}

/// Reads what operators want of the servers for which they ever gave a command.
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
            let Some(drain) = read_row(row) else { continue };
            drains.insert(server, drain);
        }
        after = match rows.last() {
            Some(row) if rows.len() == PAGE_ROWS => Some(row.key.clone()),
            _ => return Ok(drains),
        };
    }
}

/// Tells the zone of commands that it may not know of, once for each life of a server.
fn apply_drains(
    instance: &Instance,
    drains: &BTreeMap<ServerName, ServerDrain>,
    applied: &mut BTreeMap<ServerName, Applied>,
) {
    for (server, drain) in drains {
        let Some(known) = instance.directory.find(server) else { continue };
        let version = drain.made_by.version;
        let fresh = Applied { version, incarnation: known.incarnation };
        if applied.get(server) == Some(&fresh) {
            continue;
        }
        take_effect(instance, server, drain.is_drained);
        applied.insert(server.clone(), fresh);
    }
}

/// Gives a server no new work, or withdraws that.
pub async fn change_server(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    server: &ServerName,
    is_drained: bool,
) -> Result<Answer, ErrorResponse> {
    check_known(instance, server, is_drained).await?;
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
    let value = serde_json::to_value(&content).expect("a drain has text keys only");
    let condition = current.map_or(Condition::Absent, |row| Condition::Version(row.version));
    let transaction =
        Transaction { writes: vec![Write { key, condition, value: Some(value.clone()) }] };
    let token = WriteToken(format!("drain/{}/{:032x}", operator, rand::random::<u128>()).into());
    let backoff = Backoff::new(Rc::new(TimerSleep));
    match commit_idempotent(&*instance.table, &backoff, &transaction, &token).await {
        CommitOutcome::Applied(versions) => {
            let version = versions.first().copied().unwrap_or(RowVersion::OVERWRITTEN);
            take_effect(instance, server, is_drained);
            Ok(Answer::of_command(CommandResult::Accepted { version: version.0 }))
        }
        CommitOutcome::Conflict { current, may_have_applied: false, .. } => {
            let winner = winner_of(current.as_ref());
            Ok(Answer::of_command(CommandResult::Conflict { winner }))
        }
        CommitOutcome::Conflict { .. } | CommitOutcome::Unknown => {
            let message = "the table gave no answer, and the command may be accepted; ask again";
            Err(ErrorResponse::new(ErrorCode::StoreUnavailable, message))
        }
        CommitOutcome::NotApplied(error) => Err(unavailable(error)),
    }
}

/// Refuses a command that could have no effect.
async fn check_known(
    instance: &Rc<Instance>,
    server: &ServerName,
    is_drained: bool,
) -> Result<(), ErrorResponse> {
    let servers = rows::servers(instance).await;
    let name = Cell::from(server.as_str());
    let Some(row) = servers.rows.iter().find(|row| row.first() == Some(&name)) else {
        if !servers.gaps.is_empty() {
            // An instance that does not answer may know the server.
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

/// Has an instance drain, or withdraws that, and answers with its state.
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
        set_own(instance, is_draining, operator, &text);
    } else {
        record_command(instance, operator, &text);
        pass_on(instance, operator, text, target, is_draining).await?;
    }
    let mut answer = rows::instances(instance, ask::statuses(instance).await);
    answer.rows.retain(|row| row.first() == Some(&target.as_str().into()));
    answer.gaps.retain(|gap| gap.instance == *target);
    Ok(answer)
}

/// Has this instance drain, or withdraws that.
pub fn set_own(instance: &Instance, is_draining: bool, operator: &str, command: &str) {
    record_command(instance, operator, command);
    if instance.is_drained_by_operator.replace(is_draining) == is_draining {
        return;
    }
    instance.home.set_draining(instance.is_draining());
    let kind = if is_draining { EventKind::DrainStarted } else { EventKind::DrainWithdrawn };
    instance.journal.record_own(kind);
    // The zone chooses other homes for new requests.
    mark(instance, &MemberId::Instance(instance.settings.instance.clone()), is_draining);
}

async fn pass_on(
    instance: &Rc<Instance>,
    operator: &str,
    command: Box<str>,
    target: &InstanceName,
    is_draining: bool,
) -> Result<(), ErrorResponse> {
    let others = ask::others(instance).await;
    let Some(client) = others.iter().find(|client| client.instance() == target) else {
        let message = format!("the instance {target} is not known");
        return Err(ErrorResponse::new(ErrorCode::NotFound, message));
    };
    let question = PeerQuestion::Drain { is_draining, operator: operator.into(), command };
    let asked = client.ask(&question).await;
    asked.map(|_| ()).map_err(|silence| {
        let message = format!("whether the instance {target} drains is not known, {silence}");
        ErrorResponse::new(ErrorCode::StoreUnavailable, message)
    })
}

/// Drains a server of the own zone or withdraws that; other zones read it at the platform.
fn take_effect(instance: &Instance, server: &ServerName, is_drained: bool) {
    mark(instance, &MemberId::Server(server.clone()), is_drained);
}

/// Tells the zone that a member is drained or not; nothing is told of one that is not of the zone.
fn mark(instance: &Instance, id: &MemberId, is_drained: bool) {
    let now = instance.clock.now();
    let mut membership = instance.cluster.membership.borrow_mut();
    let changes = match is_drained {
        true => membership.mark_leaving(now, id).unwrap_or_default(),
        false => membership.undrain(now, id).unwrap_or_default(),
    };
    drop(membership);
    instance.cluster.take_changes(&changes);
}

impl DrainRow {
    fn made_by(&self, version: RowVersion) -> Winner {
        Winner {
            version: version.0,
            operator: Some(self.operator.clone()),
            command: Some(self.command.clone()),
            stamp: Some(self.stamp),
        }
    }
}

fn read_row(row: &Row) -> Option<ServerDrain> {
    let content: DrainRow = serde_json::from_value(row.value.clone()).ok()?;
    let is_drained = content.state == DrainState::Draining;
    Some(ServerDrain { is_drained, made_by: content.made_by(row.version) })
}

/// Returns who won if the operator saw another version than the present one.
fn conflict_with(expected: Option<u64>, current: Option<&Row>) -> Option<Winner> {
    let present = current.map_or(0, |row| row.version.0);
    let is_seen = expected.is_none_or(|expected| expected == present);
    (!is_seen).then(|| winner_of(current))
}

fn winner_of(current: Option<&Row>) -> Winner {
    let none = Winner { version: 0, operator: None, command: None, stamp: None };
    let Some(row) = current else { return none };
    let unread = Winner { version: row.version.0, ..none };
    read_row(row).map_or(unread, |drain| drain.made_by)
}

fn unavailable(error: PlatformError) -> ErrorResponse {
    ErrorResponse::new(ErrorCode::StoreUnavailable, error.to_string())
}
