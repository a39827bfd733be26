use std::rc::Rc;
use std::time::{Duration, SystemTime};

use magnoliaspar_claim::ClaimOwner;
use magnoliaspar_order::{DesiredRow, DesiredTable};
use magnoliaspar_platform::{Backoff, PlatformError, Row, TableService, TimerSleep};
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_query::{Answer, Cell, Subject};
use serde::Deserialize;
use serde_json::Value;

use crate::instance::Instance;

/// What stands before the workspace in the key of a claim's row.
const CLAIM_PREFIX: &str = "claim/";

/// How many rows one read returns.
const PAGE_ROWS: usize = 500;

/// How many claims are read for one answer.
const MAX_CLAIMS: usize = 5_000;

/// Returns the claims that the table holds, up to a bound; a finding tells when there are more.
pub async fn claims(instance: &Instance) -> Result<Answer, ErrorResponse> {
    let mut answer = Answer::new(&Subject::Claims);
    let now = instance.clock.wall();
    let mut after = None;
    while answer.rows.len() < MAX_CLAIMS {
        let page = instance.table.scan(CLAIM_PREFIX, after.as_ref(), PAGE_ROWS).await;
        let rows = page.map_err(unavailable)?;
        for row in &rows {
            if let Some(cells) = claim(row, now) {
                answer.push(cells);
            }
        }
        after = match rows.last() {
            Some(row) if rows.len() == PAGE_ROWS => Some(row.key.clone()),
            _ => return Ok(answer),
        };
    }
    let message = format!("only the first {MAX_CLAIMS} claims were looked at");
    answer.findings.push(magnoliaspar_core::Finding::at("$", message));
    Ok(answer)
}

/// Returns what the engines of the own availability zone should run.
pub async fn orders(instance: &Instance) -> Result<Answer, ErrorResponse> {
    let backoff = Backoff::new(Rc::new(TimerSleep));
    let (table, zone) = (instance.table.clone(), &instance.settings.zone);
    let table = DesiredTable::new(table, backoff, zone, "reader".into());
    let mut answer = Answer::new(&Subject::Orders);
    for (server, row) in table.list().await.map_err(unavailable)? {
        let order = describe_order(&row);
        answer.push([
            server.as_str().into(),
            Cell::text(order),
            "desired".into(),
            Cell::Empty,
            Cell::Empty,
            Cell::Empty,
        ]);
    }
    Ok(answer)
}

/// What an answer shows of a claim's row.
#[derive(Deserialize)]
struct ClaimView {
    state: Value,
    route: Box<str>,
    owner: ClaimOwner,
    began_ms: u64,
}

fn claim(row: &Row, now: SystemTime) -> Option<Vec<Cell>> {
    let (workspace, key) = row.key.0.strip_prefix(CLAIM_PREFIX)?.split_once('/')?;
    let view: ClaimView = serde_json::from_value(row.value.clone()).ok()?;
    let began = SystemTime::UNIX_EPOCH + Duration::from_millis(view.began_ms);
    let age = now.duration_since(began).unwrap_or_default();
    Some(vec![
        Cell::text(workspace.replace("%2F", "/")),
        key.into(),
        Cell::Text(view.route),
        outcome(&view.state).into(),
        view.owner.instance.as_str().into(),
        age.into(),
    ])
}

/// Returns what is known of whether the claimed call ran.
fn outcome(state: &Value) -> &'static str {
    match state.as_str() {
        Some("claimed" | "expired") => "may_have_run",
        Some("abandoned") => "not_run",
        _ => "answered",
    }
}

fn describe_order(row: &DesiredRow) -> String {
    let Some(state) = &row.state else { return "none".to_owned() };
    let mut order = format!("{} {} as {}", state.model, state.version, state.role.as_str());
    for adapter in &state.adapters {
        order.push_str(&format!(" +{adapter}"));
    }
    order
}

fn unavailable(error: PlatformError) -> ErrorResponse {
    ErrorResponse::new(ErrorCode::StoreUnavailable, error.to_string())
}
