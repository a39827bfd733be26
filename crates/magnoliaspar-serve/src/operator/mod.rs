//! The HTTP interface for operators: health, readiness, metrics, queries over all instances and
//! commands.

mod access;
mod apply;
mod drain;
mod fan_out;
mod load;
mod orders;
mod quarantine;
mod respond;
mod rows;
mod statement;
mod status;

pub use self::drain::apply_operator_drains;
pub use self::fan_out::answer_peer;
pub use self::orders::{ZoneOrders, reconcile_engines};

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Payload, Request, Response, StatusCode};
use magnoliaspar_event::EventFilter;
use magnoliaspar_query::api::{
    APPLY_PATH, ApplyRequest, CONFIG_PATH, EVENTS_PATH, ErrorCode, ErrorResponse, EventsResponse,
    HEALTH_PATH, METRICS_PATH, READY_PATH, SPREAD_PATH, STATEMENT_PATH, STATUS_PATH,
    StatementRequest,
};
use magnoliaspar_settings::OperatorRights;
use serde::de::DeserializeOwned;

use self::respond::{ok_json, text};
use crate::caller::read_body;
use crate::instance::{Instance, Readiness};

/// Maximum size of the body of a request in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Handles one request of an operator.
pub async fn handle(instance: Rc<Instance>, req: Request) -> Response<BoxBody> {
    match req.path() {
        HEALTH_PATH => text(StatusCode::OK, "ok\n"),
        READY_PATH => answer_readiness(&instance),
        METRICS_PATH => {
            Response::with_body(StatusCode::OK, BoxBody::new(instance.metrics.encode()))
        }
        _ => answer_api(&instance, req).await.unwrap_or_else(|error| respond::refuse(&error)),
    }
}

async fn answer_api(
    instance: &Rc<Instance>,
    mut req: Request,
) -> Result<Response<BoxBody>, ErrorResponse> {
    let operator = access::find_operator(instance, &req)?;
    let (method, path) = (req.method().clone(), req.path().to_owned());
    let mut payload = req.take_payload();
    match (method, path.as_str()) {
        (Method::GET, STATUS_PATH) => Ok(ok_json(&status::describe(instance))),
        (Method::GET, CONFIG_PATH) => Ok(ok_json(&status::configuration(instance)?)),
        (Method::GET, SPREAD_PATH) => Ok(ok_json(&apply::rollout(instance).await)),
        (Method::GET, EVENTS_PATH) => Ok(ok_json(&events(instance, &req).await?)),
        (Method::POST, STATEMENT_PATH) => {
            let req: StatementRequest = read_json(&mut payload).await?;
            Ok(ok_json(&statement::run(instance, operator, &req.text).await?))
        }
        (Method::POST, APPLY_PATH) => {
            access::check_rights(instance, operator, OperatorRights::Command)?;
            let req: ApplyRequest = read_json(&mut payload).await?;
            Ok(ok_json(&apply::apply(instance, &operator.name, req).await?))
        }
        _ => {
            let message = "there is nothing at this path, or not for this method";
            Err(ErrorResponse::new(ErrorCode::NotFound, message))
        }
    }
}

async fn events(instance: &Rc<Instance>, req: &Request) -> Result<EventsResponse, ErrorResponse> {
    let query = req.uri().query().unwrap_or("");
    let filter = EventFilter::try_from(query)
        .map_err(|error| ErrorResponse::new(ErrorCode::BadRequest, error.to_string()))?;
    let gathered = fan_out::events(instance, &filter).await;
    let silent = gathered.unanswered();
    Ok(EventsResponse { parts: gathered.parts, silent })
}

async fn read_json<T: DeserializeOwned>(payload: &mut Payload) -> Result<T, ErrorResponse> {
    let body = read_body(payload, MAX_BODY_BYTES)
        .await
        .map_err(|refusal| ErrorResponse::new(ErrorCode::BadRequest, refusal.message))?;
    serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body cannot be read: {error}");
        ErrorResponse::new(ErrorCode::BadRequest, message)
    })
}

fn answer_readiness(instance: &Instance) -> Response<BoxBody> {
    let readiness = instance.readiness();
    let is_ready = readiness == Readiness::Ready;
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    text(status, &format!("{readiness}\n"))
}
