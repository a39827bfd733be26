//! Executes the statements of operators: queries and commands.

use std::rc::Rc;

use futures_util::future::join;
use magnoliaspar_event::Timeline;
use magnoliaspar_query::api::ErrorResponse;
use magnoliaspar_query::{
    Answer, Command, CommandKind, DrainTarget, EntityRef, Query, Statement, Subject,
};
use magnoliaspar_settings::OperatorKey;

use super::access;
use super::apply::record_command;
use super::load::{self, ModelLoad};
use super::quarantine::{self, unsupported};
use super::{apply, drain, fan_out, rows};
use crate::instance::Instance;

/// Answers a query or executes a command, if the operator has the right to it.
pub async fn run(
    instance: &Rc<Instance>,
    operator: &OperatorKey,
    text: &str,
) -> Result<Answer, ErrorResponse> {
    let statement = Statement::parse(text)?;
    access::check_rights(instance, operator, statement.required_rights())?;
    match statement {
        Statement::Query(query) => answer_query(instance, &query).await,
        Statement::Command(command) => execute(instance, &operator.name, &command).await,
    }
}

async fn answer_query(instance: &Rc<Instance>, query: &Query) -> Result<Answer, ErrorResponse> {
    let mut answer = match &query.subject {
        Subject::Timeline => Answer::of_timeline(&timeline(instance, query).await),
        Subject::Why(_) => why(instance, query).await?,
        _ => rows::all(instance, query).await?,
    };
    query.apply(&mut answer);
    Ok(answer)
}

/// Returns the decisions about a request, and the reason why it waits if it does.
async fn why(instance: &Rc<Instance>, query: &Query) -> Result<Answer, ErrorResponse> {
    let (timeline, waiting) = join(timeline(instance, query), rows::all(instance, query)).await;
    let mut answer = Answer::of_why(&timeline, &query.subject);
    // The timeline already lists the instances that did not answer as gaps.
    answer.rows.append(&mut waiting?.rows);
    Ok(answer)
}

async fn timeline(instance: &Rc<Instance>, query: &Query) -> Timeline {
    let filter = query.event_filter(instance.journal.stamp());
    let gathered = fan_out::events(instance, &filter).await;
    let unanswered = gathered.unanswered();
    Timeline::merge(&filter, gathered.parts, unanswered)
}

async fn execute(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
) -> Result<Answer, ErrorResponse> {
    match &command.kind {
        CommandKind::Drain(target) => change_drain(instance, operator, command, target, true).await,
        CommandKind::Undrain(target) => {
            change_drain(instance, operator, command, target, false).await
        }
        CommandKind::Change { target: EntityRef::Declared(id), assignments } => {
            apply::change(instance, operator, command, id, assignments).await
        }
        CommandKind::Change { target: EntityRef::Server(_), .. } => {
            Err(unsupported("changing a backend server"))
        }
        CommandKind::AddServer { .. } => Err(unsupported("adding a backend server")),
        CommandKind::Quarantine { fingerprint } => {
            record_command(instance, operator, &command.to_string());
            quarantine::change(instance, command, fingerprint, true)
        }
        CommandKind::Release { fingerprint } => {
            record_command(instance, operator, &command.to_string());
            quarantine::change(instance, command, fingerprint, false)
        }
        CommandKind::LoadModel { model, version, adapters, weight_bytes, target } => {
            let weight_bytes = *weight_bytes;
            let load = ModelLoad { model, version, adapters, weight_bytes, target };
            load::load(instance, operator, command, load).await
        }
    }
}

async fn change_drain(
    instance: &Rc<Instance>,
    operator: &str,
    command: &Command,
    target: &DrainTarget,
    is_drained: bool,
) -> Result<Answer, ErrorResponse> {
    match target {
        DrainTarget::Server(server) => {
            drain::change_server(instance, operator, command, server, is_drained).await
        }
        DrainTarget::Instance(target) => {
            drain::change_instance(instance, operator, command, target, is_drained).await
        }
    }
}
