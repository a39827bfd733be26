//! The state of a caller's request while it passes the filters.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, Payload, Request, Uri};
use bytes::Bytes;
use magnoliaspar_core::{RequestId, RouteName, WorkspaceName};
use magnoliaspar_declaration::Route;

use super::completion::CompletionCall;
use crate::instance::{ActiveConfiguration, Instance};
use crate::limit::Permit;

/// Header with the identifier of the request, which the answer repeats.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the time that the caller allows for the whole answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Maximum length of an identifier that a caller chooses, in characters.
const MAX_REQUEST_ID_CHARS: usize = 64;

/// A request in processing, to which each filter adds what it found.
pub struct CallContext {
    /// The instance that accepted the request.
    pub instance: Rc<Instance>,
    /// The head of the request.
    pub head: CallHead,
    /// The part of the body that has not been read yet.
    pub payload: Payload,
    /// The identifier of the request.
    pub request_id: RequestId,
    /// True if the caller chose the identifier.
    pub has_caller_id: bool,
    /// True if the caller sent an invalid identifier.
    pub has_invalid_id: bool,
    /// The time at which the request was accepted.
    pub accepted_at: Instant,
    /// The deadline that the caller set.
    pub deadline: Option<Instant>,
    /// The configuration that applies to the request, fixed by the readiness check.
    pub active_configuration: Option<Rc<ActiveConfiguration>>,
    /// The workspace of the caller, once it is authenticated.
    pub workspace: Option<CallerWorkspace>,
    /// The route, once one matched.
    pub route: Option<ChosenRoute>,
    /// The body if it was read, otherwise empty.
    pub body: Bytes,
    /// The parsed request for a completion.
    pub completion: Option<CompletionCall>,
    /// The concurrency permits that the request holds while it is in progress.
    pub permits: Vec<Permit>,
}

/// The head of a request.
pub struct CallHead {
    /// The method.
    pub method: Method,
    /// The path and the query string.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
}

/// The workspace of a caller.
#[derive(Debug, Clone)]
pub struct CallerWorkspace {
    /// The name.
    pub name: WorkspaceName,
    /// Maximum number of its requests in progress on one instance.
    pub concurrency: u32,
}

/// The route that matched a request.
#[derive(Debug, Clone)]
pub struct ChosenRoute {
    /// The name.
    pub name: RouteName,
    /// The declaration of the route.
    pub route: Route,
}

impl CallContext {
    /// Creates a context from the head of a request.
    pub fn new(instance: Rc<Instance>, mut req: Request) -> Self {
        let payload = req.take_payload();
        let head = CallHead {
            method: req.method().clone(),
            uri: req.uri().clone(),
            headers: std::mem::replace(req.headers_mut(), HeaderMap::new()),
        };
        let caller_id = head.header(REQUEST_ID_HEADER).map(parse_request_id);
        let accepted_at = instance.clock.now();
        Self {
            has_caller_id: matches!(caller_id, Some(Some(_))),
            has_invalid_id: matches!(caller_id, Some(None)),
            request_id: caller_id.flatten().unwrap_or_else(RequestId::random),
            deadline: None,
            instance,
            head,
            payload,
            accepted_at,
            active_configuration: None,
            workspace: None,
            route: None,
            body: Bytes::new(),
            completion: None,
            permits: Vec::new(),
        }
    }

    /// Returns the caller's deadline or the time `limit` after acceptance, whichever is earlier.
    pub fn deadline_within(&self, limit: Duration) -> Instant {
        let latest = self.accepted_at + limit;
        self.deadline.map_or(latest, |deadline| deadline.min(latest))
    }
}

impl CallHead {
    /// Returns a header as text, or an empty text if its value is not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.headers.get(name)?;
        Some(value.to_str().unwrap_or(""))
    }

    /// Returns the total size of the names and values of the headers in bytes.
    pub fn header_bytes(&self) -> usize {
        let mut bytes = 0;
        for (name, value) in &self.headers {
            bytes += name.as_str().len() + value.len();
        }
        bytes
    }
}

fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() > MAX_REQUEST_ID_CHARS {
        return None;
    }
    RequestId::try_from(text).ok()
}
