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

/// Names a request; it is given back with the answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// How many milliseconds the caller waits for the whole answer.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The longest identifier that a caller may choose, in characters.
const MAX_REQUEST_ID_CHARS: usize = 64;

/// A request on its way through the filters, with all that is known of it.
pub struct CallContext {
    /// The instance that took the request.
    pub instance: Rc<Instance>,
    /// The head of the request.
    pub head: CallHead,
    /// The body that has not been read yet.
    pub payload: Payload,
    /// The identifier of the request.
    pub request_id: RequestId,
    /// Whether the caller chose the identifier.
    pub has_own_id: bool,
    /// Whether the caller's identifier is not a valid one.
    pub has_bad_id: bool,
    /// When the request was accepted.
    pub accepted_at: Instant,
    /// When the request must be answered.
    pub deadline: Option<Instant>,
    /// The configuration under which the request is served.
    pub active_configuration: Option<Rc<ActiveConfiguration>>,
    /// The workspace of the caller.
    pub workspace: Option<CallerWorkspace>,
    /// The route.
    pub route: Option<ChosenRoute>,
    /// The body, if it was read.
    pub body: Bytes,
    /// What a completion asks for.
    pub completion: Option<CompletionCall>,
    /// What the request occupies while it is in progress.
    pub permits: Vec<Permit>,
}

/// The head of a request.
pub struct CallHead {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
}

/// The workspace of a caller.
#[derive(Debug, Clone)]
pub struct CallerWorkspace {
    /// The name.
    pub name: WorkspaceName,
    /// How many of its requests may be in progress on one instance.
    pub concurrency: u32,
}

/// The route of a request.
#[derive(Debug, Clone)]
pub struct ChosenRoute {
    /// The name.
    pub name: RouteName,
    /// The route.
    pub route: Route,
}

impl CallContext {
    /// Starts with what the head of a request tells.
    pub fn new(instance: Rc<Instance>, mut req: Request) -> Self {
        let payload = req.take_payload();
        let head = CallHead {
            method: req.method().clone(),
            uri: req.uri().clone(),
            headers: std::mem::replace(req.headers_mut(), HeaderMap::new()),
        };
        let given = head.header(REQUEST_ID_HEADER).map(parse_request_id);
        let accepted_at = instance.clock.now();
        Self {
            has_own_id: matches!(given, Some(Some(_))),
            has_bad_id: matches!(given, Some(None)),
            request_id: given.flatten().unwrap_or_else(RequestId::random),
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

    /// Returns the deadline, or the end of `limit` if that is earlier.
    pub fn deadline_within(&self, limit: Duration) -> Instant {
        let latest = self.accepted_at + limit;
        self.deadline.map_or(latest, |deadline| deadline.min(latest))
    }
}

impl CallHead {
    /// Returns a header as text; one that is not text counts as empty.
    pub fn header(&self, name: &str) -> Option<&str> {
        let value = self.headers.get(name)?;
        Some(value.to_str().unwrap_or(""))
    }

    /// Returns the size of all headers in bytes.
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
