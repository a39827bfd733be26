//! The rows of the declared routes, pools and workspaces.

use std::collections::BTreeMap;
use std::rc::Rc;

use magnoliaspar_declaration::{CompletionRoute, RepeatRule, RouteTarget, ServiceRoute, WaitRule};
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_query::{Answer, Cell, Subject};

use crate::instance::{ActiveConfiguration, Instance};

/// Returns the routes of the active configuration.
pub fn routes(instance: &Instance) -> Result<Answer, ErrorResponse> {
    let active_configuration = active_configuration(instance)?;
    let mut answer = Answer::new(&Subject::Routes);
    for (name, route) in &active_configuration.declarations.routes {
        let name = name.as_str().into();
        answer.push(match &route.target {
            RouteTarget::Completion(route) => completion_row(name, route),
            RouteTarget::Service(route) => service_row(name, route),
        });
    }
    Ok(answer)
}

/// Returns the pools of the active configuration, each with the number of its rows in `servers`.
pub fn pools(instance: &Instance, servers: &Answer) -> Result<Answer, ErrorResponse> {
    let active_configuration = active_configuration(instance)?;
    let all = count_by(servers, "pool", |_| true);
    let live = count_by(servers, "pool", |row| row.contains(&Cell::from("live")));
    let mut answer = Answer::new(&Subject::Pools);
    for (name, pool) in &active_configuration.declarations.pools {
        answer.push([
            name.as_str().into(),
            Cell::text(pool.kind.to_string()),
            pool.is_fencing.into(),
            all.get(name.as_str()).copied().unwrap_or(0).into(),
            live.get(name.as_str()).copied().unwrap_or(0).into(),
        ]);
    }
    answer.gaps = servers.gaps.clone();
    Ok(answer)
}

/// Returns the workspaces of the active configuration, each with the number of its rows in
/// `running`.
pub fn workspaces(instance: &Instance, running: &Answer) -> Result<Answer, ErrorResponse> {
    let active_configuration = active_configuration(instance)?;
    let counts = count_by(running, "workspace", |_| true);
    let mut answer = Answer::new(&Subject::Workspaces);
    for (name, workspace) in &active_configuration.declarations.workspaces {
        answer.push([
            name.as_str().into(),
            u64::from(workspace.share).into(),
            u64::from(workspace.concurrency).into(),
            counts.get(name.as_str()).copied().unwrap_or(0).into(),
        ]);
    }
    answer.gaps = running.gaps.clone();
    Ok(answer)
}

/// Returns all declared entities; their version is that of the whole configuration.
pub fn config(instance: &Instance) -> Result<Answer, ErrorResponse> {
    let active_configuration = active_configuration(instance)?;
    let mut answer = Answer::new(&Subject::Config);
    for (id, value) in &active_configuration.document.entities {
        let value = Cell::text(value.to_string());
        answer.push([Cell::Text(id.0.clone()), active_configuration.version.into(), value]);
    }
    Ok(answer)
}

fn active_configuration(instance: &Instance) -> Result<Rc<ActiveConfiguration>, ErrorResponse> {
    let message = "the instance has not learned any configuration yet";
    instance.active_configuration().ok_or_else(|| ErrorResponse::new(ErrorCode::NotReady, message))
}

fn completion_row(name: Cell, route: &CompletionRoute) -> Vec<Cell> {
    let wait = match route.wait {
        WaitRule::RefuseLate => "refuse_late",
        WaitRule::MayWait => "may_wait",
    };
    let pools = [route.prefill_pool.as_str().into(), route.decode_pool.as_str().into()];
    vec![
        name,
        "completion".into(),
        route.model.as_str().into(),
        Cell::Text(route.version.clone()),
        Cell::List(route.adapters.clone()),
        Cell::List(pools.into()),
        Cell::Empty,
        Cell::Empty,
        wait.into(),
        route.weights.wasted_prefill.into(),
        route.weights.goodput.into(),
    ]
}

fn service_row(name: Cell, route: &ServiceRoute) -> Vec<Cell> {
    let repeat = match route.repeat {
        RepeatRule::Lookup => "lookup",
        RepeatRule::Idempotent => "idempotent",
        RepeatRule::AtMostOnce => "at_most_once",
    };
    vec![
        name,
        "service".into(),
        Cell::Empty,
        Cell::Empty,
        Cell::Empty,
        Cell::List([route.pool.as_str().into()].into()),
        Cell::Text(route.prefix.clone()),
        repeat.into(),
        Cell::Empty,
        Cell::Empty,
        Cell::Empty,
    ]
}

/// Counts the rows that `accepts` selects, grouped by the text in a column.
fn count_by(
    answer: &Answer,
    column: &str,
    accepts: impl Fn(&[Cell]) -> bool,
) -> BTreeMap<Box<str>, u64> {
    let mut counts = BTreeMap::new();
    let Some(index) = answer.columns.iter().position(|known| &*known.name == column) else {
        return counts;
    };
    for row in &answer.rows {
        if !accepts(row) {
            continue;
        }
        *counts.entry(row[index].to_string().into()).or_insert(0) += 1;
    }
    counts
}
