//! The rows of the answers to queries.

mod declared;
mod requests;
mod servers;
mod stored;

use std::rc::Rc;

use magnoliaspar_membership::MemberId;
use magnoliaspar_query::api::{ErrorResponse, StatusResponse};
use magnoliaspar_query::{Answer, Cell, Query, Subject};

use super::drain::operator_drains;
use super::fan_out::{self, Gathered};
use super::quarantine;
use crate::instance::Instance;

/// Returns this instance's rows of a subject that all instances are asked for.
pub fn own(instance: &Instance, subject: &Subject) -> Answer {
    match subject {
        Subject::Running => requests::running(instance),
        Subject::Servers => servers::own(instance),
        Subject::Orders => stored::own_orders(instance),
        Subject::Quarantine => quarantine::list(instance),
        Subject::Why(request) => requests::why_waiting(instance, request),
        _ => Answer::new(subject),
    }
}

/// Returns all rows of a query's subject, without applying the query's conditions.
pub async fn all(instance: &Rc<Instance>, query: &Query) -> Result<Answer, ErrorResponse> {
    match &query.subject {
        Subject::Running => Ok(running(instance).await),
        Subject::Servers => Ok(servers(instance).await),
        Subject::Instances => Ok(instances(instance, fan_out::statuses(instance).await)),
        Subject::Routes => declared::routes(instance),
        Subject::Pools => declared::pools(instance, &servers(instance).await),
        Subject::Workspaces => declared::workspaces(instance, &running(instance).await),
        Subject::Config => declared::config(instance),
        Subject::Claims => stored::claims(instance).await,
        Subject::Orders => {
            let reported = merge(&query.subject, fan_out::rows(instance, &query.subject).await);
            stored::orders(instance, reported).await
        }
        Subject::Quarantine => Ok(quarantined(instance).await),
        Subject::Why(_) => Ok(waiting(instance, &query.subject).await),
        Subject::Timeline => Ok(Answer::new(&query.subject)),
    }
}

/// Returns the state of all instances; those that did not answer have a row and a gap.
pub fn instances(instance: &Instance, gathered: Gathered<StatusResponse>) -> Answer {
    let mut answer = Answer::new(&Subject::Instances);
    let membership = instance.cluster.membership.borrow();
    for status in &gathered.parts {
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
    for gap in &gathered.gaps {
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
    answer.gaps = gathered.gaps;
    answer
}

/// Returns the reason why a request waits, which is the last row of its explanation.
async fn waiting(instance: &Rc<Instance>, subject: &Subject) -> Answer {
    merge(subject, fan_out::rows(instance, subject).await)
}

async fn running(instance: &Rc<Instance>) -> Answer {
    merge(&Subject::Running, fan_out::rows(instance, &Subject::Running).await)
}

/// Returns the servers of all availability zones.
pub async fn servers(instance: &Rc<Instance>) -> Answer {
    let mut answer = merge(&Subject::Servers, fan_out::rows(instance, &Subject::Servers).await);
    servers::deduplicate(&mut answer);
    // If the table cannot be read, the cells of the versions stay empty.
    if let Ok(drains) = operator_drains(instance).await {
        servers::add_versions(&mut answer, &drains);
    }
    answer
}

/// Returns the fingerprints that any instance suspects or refuses, each with its strictest state.
async fn quarantined(instance: &Rc<Instance>) -> Answer {
    let gathered = fan_out::rows(instance, &Subject::Quarantine).await;
    let mut answer = merge(&Subject::Quarantine, gathered);
    // Sorting puts "refused" before "suspect", so the stricter state is kept.
    answer.rows.sort_by_key(|row| (row[0].to_string(), row[1].to_string()));
    answer.rows.dedup_by(|later, earlier| later[0] == earlier[0]);
    answer
}

fn merge(subject: &Subject, gathered: Gathered<Answer>) -> Answer {
    let mut answer = Answer::new(subject);
    for part in gathered.parts {
        answer.append(part);
    }
    answer.gaps.extend(gathered.gaps);
    answer
}
