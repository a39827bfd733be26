//! The rows of the answers to queries.

mod declared;
mod requests;
mod servers;
mod stored;

use std::rc::Rc;

use magnoliaspar_membership::MemberId;
use magnoliaspar_query::api::{ErrorResponse, StatusResponse};
use magnoliaspar_query::{Answer, Cell, Query, Subject};

use super::ask::{self, Parts};
use super::drain::operator_drains;
use super::quarantine;
use crate::instance::Instance;

/// Returns the rows that this instance knows best, for subjects that all instances are asked for.
pub fn own(instance: &Instance, subject: &Subject) -> Answer {
    match subject {
        Subject::Running => requests::running(instance),
        Subject::Servers => servers::own(instance),
        Subject::Orders => stored::given_orders(instance),
        Subject::Quarantine => quarantine::list(instance),
        Subject::Why(request) => requests::why_waiting(instance, request),
        _ => Answer::new(subject),
    }
}

/// Returns all rows of a query's subject, whatever its conditions.
pub async fn all(instance: &Rc<Instance>, query: &Query) -> Result<Answer, ErrorResponse> {
    match &query.subject {
        Subject::Running => Ok(running(instance).await),
        Subject::Servers => Ok(servers(instance).await),
        Subject::Instances => Ok(instances(instance, ask::statuses(instance).await)),
        Subject::Routes => declared::routes(instance),
        Subject::Pools => declared::pools(instance, &servers(instance).await),
        Subject::Workspaces => declared::workspaces(instance, &running(instance).await),
        Subject::Config => declared::config(instance),
        Subject::Claims => stored::claims(instance).await,
        Subject::Orders => {
            let given = merge(&query.subject, ask::rows(instance, &query.subject).await);
            stored::orders(instance, given).await
        }
        Subject::Quarantine => Ok(strictest(instance).await),
        Subject::Why(_) => Ok(waiting(instance, &query.subject).await),
        Subject::Timeline => Ok(Answer::new(&query.subject)),
    }
}

/// Returns the state of all instances; those that did not answer have a row and a gap.
pub fn instances(instance: &Instance, parts: Parts<StatusResponse>) -> Answer {
    let mut answer = Answer::new(&Subject::Instances);
    let membership = instance.cluster.membership.borrow();
    for status in &parts.answered {
        let member = membership.member(&MemberId::Instance(status.instance.clone()));
        let incarnation = member.map(|member| member.standing.incarnation);
        let state = if status.draining { "draining" } else { "live" };
        answer.push([
            status.instance.as_str().into(),
            status.zone.as_str().into(),
            state.into(),
            incarnation.map(|incarnation| incarnation.0).into(),
            status.ready.into(),
            status.config_version.into(),
            status.running.into(),
            Cell::Empty,
        ]);
    }
    for gap in &parts.gaps {
        let mut row = vec![Cell::Empty; answer.columns.len()];
        row[0] = gap.instance.as_str().into();
        row[2] = "unreachable".into();
        if let Some(member) = membership.member(&MemberId::Instance(gap.instance.clone())) {
            row[1] = member.entry.zone.as_str().into();
            row[3] = member.standing.incarnation.0.into();
        }
        answer.push(row);
    }
    drop(membership);
    answer.gaps = parts.gaps;
    answer
}

/// Returns why a request waits, which is the last row of what is told of it.
async fn waiting(instance: &Rc<Instance>, subject: &Subject) -> Answer {
    merge(subject, ask::rows(instance, subject).await)
}

async fn running(instance: &Rc<Instance>) -> Answer {
    merge(&Subject::Running, ask::rows(instance, &Subject::Running).await)
}

/// Returns the servers of all availability zones.
pub async fn servers(instance: &Rc<Instance>) -> Answer {
    let mut answer = merge(&Subject::Servers, ask::rows(instance, &Subject::Servers).await);
    servers::keep_best(&mut answer);
    // Without the table the versions are not known, and their cells stay empty.
    if let Ok(drains) = operator_drains(instance).await {
        servers::add_versions(&mut answer, &drains);
    }
    answer
}

/// Returns the fingerprints that any instance suspects or refuses, each with the strictest state.
async fn strictest(instance: &Rc<Instance>) -> Answer {
    let parts = ask::rows(instance, &Subject::Quarantine).await;
    let mut answer = merge(&Subject::Quarantine, parts);
    // "refused" stands before "suspect".
    answer.rows.sort_by_key(|row| (row[0].to_string(), row[1].to_string()));
    answer.rows.dedup_by(|later, earlier| later[0] == earlier[0]);
    answer
}

fn merge(subject: &Subject, parts: Parts<Answer>) -> Answer {
    let mut answer = Answer::new(subject);
    for part in parts.answered {
        answer.append(part);
    }
    answer.gaps.extend(parts.gaps);
    answer
}
