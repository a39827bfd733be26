use actix_http::Response;
use actix_http::body::{BodyStream, BoxBody};
use futures_util::TryStreamExt;
use magnoliaspar_core::{Refusal, RefusalCode};
use magnoliaspar_declaration::{RepeatRule, RouteTarget};

use super::context::CallContext;
use crate::service::{ServiceCall, ServiceError, is_passed_on};

/// Passes a call on to a plain service.
pub async fn call(cx: &mut CallContext) -> Result<Response<BoxBody>, Refusal> {
    let route = cx.chosen_route()?.route.clone();
    let RouteTarget::Service(service) = &route.target else {
        return Err(Refusal::not_run(RefusalCode::NotFound, "the route leads to a model"));
    };
    if service.repeat == RepeatRule::AtMostOnce {
        let message = "calls that must not be repeated cannot be claimed yet";
        return Err(Refusal::not_run(RefusalCode::StoreUnavailable, message));
    }
    let Some(server) = cx.instance.directory.live_of(&service.pool).into_iter().next() else {
        return Err(Refusal::not_run(RefusalCode::NoServer, "no server of the pool is live"));
    };
    let path = cx.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let call = ServiceCall {
        method: cx.head.method.clone(),
        path,
        headers: &cx.head.headers,
        body: std::mem::replace(&mut cx.payload, actix_http::Payload::None),
    };
    let answer = cx.instance.services.call(server.address, call, route.limits.progress).await;
    let answer = answer.map_err(refuse)?;
    let mut res = Response::new(answer.status());
    for (name, value) in answer.headers() {
        if is_passed_on(name.as_str()) {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
    let body = BodyStream::new(answer.map_err(|error| error.to_string()));
    Ok(res.set_body(BoxBody::new(body)))
}

fn refuse(error: ServiceError) -> Refusal {
    let message = error.to_string();
    match error {
        ServiceError::NotReached(_) => Refusal::not_run(RefusalCode::ServerFailed, message),
        ServiceError::Lost(_) | ServiceError::Stalled(_) => {
            Refusal::may_have_run(RefusalCode::ServerFailed, message)
        }
    }
}
