//! The HTTP interface for callers: checks of requests, answers and refusals.

mod answer;
mod body;
mod completion;
mod context;
mod delivery;
mod filter;
mod filters;
mod relay;
mod respond;
mod service;

pub use self::body::read_body;
pub use self::respond::json;
pub use self::service::{ServiceLoad, ServiceResilience};

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response};
use magnoliaspar_core::{Refusal, RefusalCode};

use self::completion::CompletionKind;
use self::context::CallContext;
use self::filter::Filter;
use crate::instance::Instance;
use crate::progress::CountedBody;

/// Handles one request of a caller.
pub async fn handle(instance: Rc<Instance>, req: Request) -> Response<BoxBody> {
    let guard = instance.in_progress.enter();
    let mut cx = CallContext::new(instance, req);
    let result = dispatch(&mut cx).await;
    let mut res = result.unwrap_or_else(|refusal| respond::refuse(&cx, &refusal));
    respond::add_request_id(&mut res, &cx.request_id);
    res.map_body(|_, body| BoxBody::new(CountedBody::new(body, guard)))
}

async fn dispatch(cx: &mut CallContext) -> Result<Response<BoxBody>, Refusal> {
    let Some(kind) = CompletionKind::from_path(cx.head.uri.path()) else {
        filters::for_services().apply(cx).await?;
        return service::call(cx).await;
    };
    if cx.head.method != Method::POST {
        let message = "completions must be requested with POST";
        return Err(Refusal::not_run(RefusalCode::MethodNotAllowed, message));
    }
    filters::for_completions(kind).apply(cx).await?;
    relay::answer(cx, kind).await
}
