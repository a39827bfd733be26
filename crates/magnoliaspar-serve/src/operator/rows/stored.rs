//! The rows of claims and engine orders, which are read from the platform's table.

use std::time::{Duration, SystemTime};

use magnoliaspar_claim::ClaimOwner;
use magnoliaspar_order::{DesiredRow, OrderStep};
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_query::{Answer, Cell, Subject};
use magnoliaspar_store::{PlatformError, Row, TableService};
use serde::Deserialize;
use serde_json::Value;

use crate::instance::Instance;
use crate::operator::orders::desired_table;

/// Prefix of the keys of claim rows; the workspace and the idempotency key follow.
const CLAIM_PREFIX: &str = "claim/";

/// Maximum number of rows per read of the table.
const PAGE_ROWS: usize = 500;

/// Number of claims in one answer after which no further page is read.
const MAX_CLAIMS: usize = 5_000;

/// Returns the claims of the table. If it stops at the limit, a finding says so.
pub async fn claims(instance: &Instance) -> Result<Answer, ErrorResponse> {
    let mut answer = Answer::new(&Subject::Claims);
    let now = instance.clock.wall();
    let mut after = None;
    while answer.rows.len() < MAX_CLAIMS {
        let page = instance.table.scan(CLAIM_PREFIX, after.as_ref(), PAGE_ROWS).await;
        let rows = page.map_err(unavailable)?;
        for row in &rows {
            if let Some(cells) = claim_row(row, now) {
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

/// Returns the latest step of this instance for each engine that it reconciles.
pub fn own_orders(instance: &Instance) -> Answer {
    let mut answer = Answer::new(&Subject::Orders);
    let now = instance.clock.now();
    for (server, order) in instance.orders.all() {
        answer.push([
            server.as_str().into(),
            Cell::Empty,
            Cell::text(describe_step(&order.step)),
            order.fence.into(),
            instance.settings.instance.as_str().into(),
            now.saturating_duration_since(order.since).into(),
        ]);
    }
    answer
}

/// Adds the desired states of the engines of the own availability zone to the steps in `answer`.
pub async fn orders(instance: &Instance, mut answer: Answer) -> Result<Answer, ErrorResponse> {
    let table = desired_table(instance, &instance.settings.zone);
    for (server, row) in table.list().await.map_err(unavailable)? {
        let order = Cell::text(describe_order(&row));
        let name = Cell::from(server.as_str());
        if let Some(existing) = answer.rows.iter_mut().find(|existing| existing[0] == name) {
            existing[1] = order;
            continue;
        }
        answer.push([name, order, "desired".into(), Cell::Empty, Cell::Empty, Cell::Empty]);
    }
    Ok(answer)
}

fn describe_step(step: &OrderStep) -> String {
    match step {
        OrderStep::Undeclared => "undeclared".to_owned(),
        OrderStep::UpToDate => "in force".to_owned(),
        OrderStep::Ordered(_) => "ordered".to_owned(),
        OrderStep::Unconfirmed(_) => "ordered, not seen yet".to_owned(),
        OrderStep::Busy => "at work".to_owned(),
        OrderStep::AwaitsDrain => "awaits a drain".to_owned(),
        OrderStep::LoadsLimited => "waits for other loads".to_owned(),
        OrderStep::WeightsLimited { .. } => "waits for the weight store".to_owned(),
        OrderStep::WeightsUnavailable(error) => format!("no weights: {error}"),
        OrderStep::NoLease(error) => format!("no lease: {error}"),
        OrderStep::Failed(error) => format!("failed: {error}"),
    }
}

/// The fields of a stored claim that an answer shows.
#[derive(Deserialize)]
struct ClaimView {
    state: Value,
    route: Box<str>,
    owner: ClaimOwner,
    began_ms: u64,
}

fn claim_row(row: &Row, now: SystemTime) -> Option<Vec<Cell>> {
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

/// Returns the outcome of the claimed call; `may_have_run` if no result is stored.
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
