//! The filters that requests of callers pass.

use async_trait::async_trait;
use magnoliaspar_core::{Refusal, RefusalCode};
use magnoliaspar_declaration::Declarations;
use magnoliaspar_event::Listener;

use super::body::{read_body, too_large};
use super::completion::{CompletionCall, CompletionKind};
use super::context::{CallContext, CallerWorkspace, ChosenRoute, DEADLINE_HEADER};
use super::filter::{Filter, FilterChain};
use crate::instance::Readiness;

/// Maximum size of the body of a completion in bytes. The route is only known after the body was
/// read, so this limit applies before the route's own.
const MAX_COMPLETION_BODY_BYTES: usize = 4 << 20;

/// Returns the filters for completions.
pub fn for_completions(kind: CompletionKind) -> FilterChain {
    FilterChain::new(vec![
        Box::new(CheckHead),
        Box::new(CheckReadiness),
        Box::new(Authenticate),
        Box::new(ReadCompletion { kind }),
        Box::new(CheckRouteLimits),
        Box::new(LimitConcurrency),
    ])
}

/// Returns the filters for calls of plain services.
pub fn for_services() -> FilterChain {
    FilterChain::new(vec![
        Box::new(CheckHead),
        Box::new(CheckReadiness),
        Box::new(Authenticate),
        Box::new(MatchServiceRoute),
        Box::new(CheckRouteLimits),
        Box::new(LimitConcurrency),
    ])
}

/// Checks the headers with the identifier and the deadline.
struct CheckHead;

#[async_trait(?Send)]
impl Filter for CheckHead {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        if cx.has_invalid_id {
            let message = "x-request-id must have 1 to 64 letters, digits or -_.:/";
            return Err(Refusal::not_run(RefusalCode::BadRequest, message));
        }
        let Some(text) = cx.head.header(DEADLINE_HEADER) else { return Ok(()) };
        let Ok(deadline_ms) = text.parse::<u32>() else {
            let message = "x-deadline-ms must be a number of milliseconds";
            return Err(Refusal::not_run(RefusalCode::BadRequest, message));
        };
        let time_left = std::time::Duration::from_millis(deadline_ms.into());
        cx.deadline = Some(cx.accepted_at + time_left);
        Ok(())
    }
}

/// Refuses requests while the instance is not ready.
struct CheckReadiness;

#[async_trait(?Send)]
impl Filter for CheckReadiness {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        let code = match cx.instance.readiness() {
            Readiness::Ready => {
                cx.active_configuration = cx.instance.active_configuration();
                return Ok(());
            }
            Readiness::NoConfiguration | Readiness::Learning => RefusalCode::NotReady,
            Readiness::Draining => RefusalCode::Draining,
        };
        let message = cx.instance.readiness().to_string();
        Err(Refusal::not_run(code, message).with_retry_after(NOT_READY_RETRY_AFTER))
    }
}

/// Retry delay for callers of an instance that is not ready; a retry should reach another instance.
const NOT_READY_RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(100);

/// Finds the workspace of the caller by its bearer key.
struct Authenticate;

#[async_trait(?Send)]
impl Filter for Authenticate {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        let status = RefusalCode::Unauthenticated.as_status();
        let header = cx.head.header("authorization").unwrap_or("");
        let Some(key) = header.strip_prefix("Bearer ") else {
            cx.instance.record_auth_failure(Listener::Callers, status);
            let message = "the authorization header must hold a bearer key";
            return Err(Refusal::not_run(RefusalCode::Unauthenticated, message));
        };
        let found = cx.declarations()?.workspace_of_key(key);
        let Some((name, workspace)) = found else {
            cx.instance.record_auth_failure(Listener::Callers, status);
            let message = "the key belongs to no workspace";
            return Err(Refusal::not_run(RefusalCode::Unauthenticated, message));
        };
        cx.workspace =
            Some(CallerWorkspace { name: name.clone(), concurrency: workspace.concurrency });
        Ok(())
    }
}

/// Reads the body of a completion and finds its route by the name of the model.
struct ReadCompletion {
    kind: CompletionKind,
}

#[async_trait(?Send)]
impl Filter for ReadCompletion {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        cx.body = read_body(&mut cx.payload, MAX_COMPLETION_BODY_BYTES).await?;
        let call = CompletionCall::parse(self.kind, &cx.body)?;
        let Some((name, route, _)) = cx.declarations()?.route_of_model(&call.model) else {
            let message = format!("no route serves a model named {:?}", call.model);
            return Err(Refusal::not_run(RefusalCode::UnknownModel, message));
        };
        cx.route = Some(ChosenRoute { name: name.clone(), route: route.clone() });
        cx.completion = Some(call);
        Ok(())
    }
}

/// Finds the route of a service call by the longest matching path prefix.
struct MatchServiceRoute;

#[async_trait(?Send)]
impl Filter for MatchServiceRoute {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        let path = cx.head.uri.path();
        let Some((name, route, _)) = cx.declarations()?.route_of_path(path) else {
            let message = "no route matches this path";
            return Err(Refusal::not_run(RefusalCode::NotFound, message));
        };
        cx.route = Some(ChosenRoute { name: name.clone(), route: route.clone() });
        Ok(())
    }
}

/// Checks the size of a request against its route.
struct CheckRouteLimits;

#[async_trait(?Send)]
impl Filter for CheckRouteLimits {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        let limits = cx.chosen_route()?.route.limits;
        if cx.body.len() > limits.body_bytes {
            return Err(too_large(limits.body_bytes));
        }
        if cx.head.header_bytes() > limits.header_bytes {
            let message = format!("the headers have more than {} bytes", limits.header_bytes);
            return Err(Refusal::not_run(RefusalCode::TooLarge, message));
        }
        Ok(())
    }
}

/// Limits the number of requests in progress of a route and of a workspace.
struct LimitConcurrency;

#[async_trait(?Send)]
impl Filter for LimitConcurrency {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        let route = cx.chosen_route()?;
        let workspace = cx.caller_workspace()?;
        let limits = &cx.instance.concurrency;
        let route_key = format!("route/{}", route.name);
        let workspace_key = format!("workspace/{}", workspace.name);
        let route_permit = limits.acquire(&route_key, route.route.limits.concurrency)?;
        let workspace_permit = limits.acquire(&workspace_key, workspace.concurrency)?;
        cx.permits.push(route_permit);
        cx.permits.push(workspace_permit);
        Ok(())
    }
}

impl CallContext {
    /// Returns the declarations of the active configuration.
    pub fn declarations(&self) -> Result<&Declarations, Refusal> {
        let Some(active_configuration) = &self.active_configuration else {
            let message = "no configuration is in force";
            return Err(Refusal::not_run(RefusalCode::NotReady, message));
        };
        Ok(&active_configuration.declarations)
    }

    /// Returns the route, or a refusal if none has been found.
    pub fn chosen_route(&self) -> Result<&ChosenRoute, Refusal> {
        self.route
            .as_ref()
            .ok_or_else(|| Refusal::not_run(RefusalCode::NotFound, "the request has no route"))
    }

    /// Returns the workspace, or a refusal if the caller is not authenticated.
    pub fn caller_workspace(&self) -> Result<&CallerWorkspace, Refusal> {
        self.workspace.as_ref().ok_or_else(|| {
            Refusal::not_run(RefusalCode::Unauthenticated, "the caller is not known")
        })
    }
}
