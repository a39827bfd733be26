use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use magnoliaspar_core::{InstanceName, ServerName};
use magnoliaspar_event::{EventKind, Stamp};
use magnoliaspar_platform::{
    Backoff, Condition, PlatformError, Row, RowKey, RowVersion, Settled, TableService, TimerSleep,
    Transaction, Write, WriteToken, commit_settled,
};
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_query::{Answer, Command, CommandResult, Subject, Winner};
use serde::{Deserialize, Serialize};

use super::apply::record_command;
use super::{ask, rows};
use crate::instance::Instance;
use crate::peer::PeerQuestion;

/// What stands before the server in the key of a drain's row.
const DRAIN_PREFIX: &str = "drain/";

/// How often the drains of servers are read.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// How many rows one read returns.
const PAGE_ROWS: usize = 500;

/// The backend servers that operators drain, as they were last read.
#[derive(Debug, Default)]
pub struct ServerDrains(RefCell<BTreeMap<ServerName, ServerDrain>>);

/// What operators want of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerDrain {
    /// Whether the server gets no new work.
    pub is_drained: bool,
    /// Who wanted it so.
    pub made_by: Winner,
}

impl ServerDrains {
    /// Returns the servers that get no new work.
    pub fn drained(&self) -> BTreeSet<ServerName> {
        let mut drained = BTreeSet::new();
        for (name, drain) in self.0.borrow().iter() {
            if drain.is_drained {
                drained.insert(name.clone());
            }
        }
        drained
    }

    /// Returns what operators want of a server, if any ever gave a command for it.
    pub fn of(&self, server: &ServerName) -> Option<ServerDrain> {
        self.0.borrow().get(server).cloned()
    }

    fn put(&self, server: ServerName, drain: ServerDrain) {
        let mut drains = self.0.borrow_mut();
        // A slow read must not undo what a later command wrote.
        let is_older = |known: &ServerDrain| known.made_by.version > drain.made_by.version;
        if !drains.get(&server).is_some_and(is_older) {
            drains.insert(server, drain);
        }
    }
}

/// The content of a drain's row.
#[derive(Serialize, Deserialize)]
struct DrainRow {
    state: DrainState,
    operator: Box<str>,
    command: Box<str>,
    stamp: Stamp,
}

#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum DrainState {
    Draining,
    Withdrawn,
}

/// Reads the drains of servers at regular intervals.
pub async fn read_drains(instance: Rc<Instance>) {
    loop {
        if let Err(error) = operator_drains(&instance).await {
            warn!("the drains of servers cannot be read: {error}");
        }
        tokio::time::sleep(READ_PERIOD).await;
    }
}

/// Reads which servers operators drain, and remembers it.
pub async fn operator_drains(instance: &Instance) -> Result<BTreeSet<ServerName>, PlatformError> {
    let mut after = None;
    loop {
        let rows = instance.table.scan(DRAIN_PREFIX, after.as_ref(), PAGE_ROWS).await?;
        for row in &rows {
            let Ok(server) = ServerName::try_from(&row.key.0[DRAIN_PREFIX.len()..]) else {
                continue;
            };
            let Some(drain) = read_row(row) else { continue };
            instance.drains.put(server, drain);
        }
        after = match rows.last() {
            Some(row) if rows.len() == PAGE_ROWS => Some(row.key.clone()),
            _ => break,
        };
    }
    Ok(instance.drains.drained())
}

/// Gives a server no new work, or withdraws that.
pub async fn change_server(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    server: &ServerName,
    is_drained: bool,
) -> Result<Answer, ErrorResponse> {
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
    match commit_settled(&*instance.table, &backoff, &transaction, &token).await {
        Settled::Applied(versions) => {
            let version = versions.first().copied().unwrap_or(RowVersion::OVERWRITTEN);
            take_effect(instance, server, is_drained, &content, version);
            Ok(Answer::of_command(CommandResult::Accepted { version: version.0 }))
        }
        Settled::Conflict { current, may_have_applied: false, .. } => {
            let winner = winner_of(current.as_ref());
            Ok(Answer::of_command(CommandResult::Conflict { winner }))
        }
        Settled::Conflict { .. } | Settled::Unknown => {
            let message = "the table gave no answer, and the command may be accepted; ask again";
            Err(ErrorResponse::new(ErrorCode::StoreUnavailable, message))
        }
        Settled::NotApplied(error) => Err(unavailable(error)),
    }
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
    let is_target = |cell: &magnoliaspar_query::Cell| cell.to_string() == target.as_str();
    answer.rows.retain(|row| row.first().is_some_and(is_target));
    answer.gaps.retain(|gap| gap.instance == *target);
    debug_assert_eq!(answer.columns, Subject::Instances.columns());
    Ok(answer)
}

/// Has this instance drain, or withdraws that.
pub fn set_own(instance: &Instance, is_draining: bool, operator: &str, command: &str) {
    record_command(instance, operator, command);
    if instance.is_drained_by_operator.replace(is_draining) == is_draining {
        return;
    }
    let kind = if is_draining { EventKind::DrainStarted } else { EventKind::DrainWithdrawn };
    instance.journal.record_own(kind);
}

async fn pass_on(
    instance: &Rc<Instance>,
    operator: &str,
    command: Box<str>,
    target: &InstanceName,
    is_draining: bool,
) -> Result<(), ErrorResponse> {
    let others = instance.zone_homes.others();
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

fn take_effect(
    instance: &Instance,
    server: &ServerName,
    is_drained: bool,
    content: &DrainRow,
    version: RowVersion,
) {
    let made_by = content.made_by(version);
    instance.drains.put(server.clone(), ServerDrain { is_drained, made_by });
    if is_drained {
        instance.directory.seal(server);
        for (_, dispatcher) in instance.home.dispatchers() {
            dispatcher.seal_engine(server);
        }
    }
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
