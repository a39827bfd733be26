//! What operators see: health, readiness, metrics, events and the state of the instance.

mod access;
mod apply;
mod body;
mod respond;
mod status;

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use magnoliaspar_event::EventFilter;
use magnoliaspar_query::api::{
    APPLY_PATH, CONFIG_PATH, EVENTS_PATH, ErrorCode, ErrorResponse, EventsResponse, HEALTH_PATH,
    METRICS_PATH, READY_PATH, STATUS_PATH,
};
use magnoliaspar_settings::OperatorRights;

use self::access::check_rights;
use self::respond::{answer, text};
use crate::instance::{Instance, Readiness};

/// Answers one request of an operator.
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
    req: Request,
) -> Result<Response<BoxBody>, ErrorResponse> {
    let path = req.path().to_owned();
    let needed = match path.as_str() {
        APPLY_PATH => OperatorRights::Command,
        _ => OperatorRights::Read,
    };
    let operator = check_rights(instance, &req, needed)?;
    match path.as_str() {
        APPLY_PATH => Ok(answer(&apply::apply(instance, &operator.name, req).await?)),
        STATUS_PATH => Ok(answer(&status::describe(instance))),
        CONFIG_PATH => Ok(answer(&status::configuration(instance)?)),
        EVENTS_PATH => Ok(answer(&events(instance, &req)?)),
        _ => Err(ErrorResponse::new(ErrorCode::NotFound, "there is nothing at this path")),
    }
}

fn events(instance: &Instance, req: &Request) -> Result<EventsResponse, ErrorResponse> {
    let query = req.uri().query().unwrap_or("");
    let filter = EventFilter::try_from(query)
        .map_err(|error| ErrorResponse::new(ErrorCode::BadRequest, format!("{error}")))?;
    let parts = vec![instance.journal.part(&filter)];
    Ok(EventsResponse { parts, silent: Vec::new() })
}

fn answer_readiness(instance: &Instance) -> Response<BoxBody> {
    let readiness = instance.readiness();
    let is_ready = readiness == Readiness::Ready;
    let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    text(status, &format!("{readiness}\n"))
}
