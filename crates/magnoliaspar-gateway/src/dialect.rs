//! Abstraction of the platform's headers for requests and responses.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use magnoliaspar_access::Credentials;
use magnoliaspar_retry::PartId;

use crate::directory::EngineRole;
use crate::request_limit::LimitNotice;

/// Maps between the platform's headers and the data of the gateway.
pub trait Dialect {
    /// Reads the caller's description of a request; `None` if it has no identifier.
    fn read_request(&self, head: &RequestHead) -> Option<RequestFacts>;

    /// Removes headers that callers may not set, and sets those for the server.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the server's description of a response.
    fn read_response(&self, head: &ResponseHead) -> ResponseFacts;

    /// Sets the identifier of a request on a response that the gateway itself creates.
    fn write_refusal(&self, headers: &mut HeaderMap, request_id: &str);

    /// Reads the response to a prefill request.
    fn read_prefill(&self, body: &[u8]) -> Option<Prefilled>;

    /// Returns the path of the request for what a server says of its process. Plain servers answer only their
    /// service's `health_path`.
    fn report_path(&self, is_engine: bool, health_path: &str) -> Box<str>;

    /// Reads the start time of a process from its report, in milliseconds since the Unix epoch.
    fn read_report(&self, body: &[u8]) -> Option<u64>;

    /// Reads the role of an engine from its report.
    fn read_engine_state(&self, body: &[u8]) -> Option<EngineState>;

    /// Returns the path of the request that releases a KV cache.
    fn release_path(&self, handle: &str) -> Box<str>;
}

/// What an engine reports of its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineState {
    /// The role.
    pub role: EngineRole,
    /// Whether it carries out an order.
    pub is_changing: bool,
}

/// The caller's description of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestFacts {
    /// Identifier of the request; each attempt of a caller has its own.
    pub id: Box<str>,
    /// The caller's timeout.
    pub timeout: Option<Duration>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// The caller's estimate of the number of output tokens.
    pub expected_tokens: u64,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<u64>,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Box<[PartId]>,
    /// Numbers of tokens of the shared parts, in order; zero for one without a number.
    pub part_tokens: Box<[u64]>,
    /// What the request says about its caller.
    pub credentials: Credentials,
    /// Identifier of the server that the request is meant for; instances set it on what they send.
    pub intended_server: Option<Box<str>>,
}

impl RequestFacts {
    /// Returns the number of prompt tokens and of output tokens at most; `None` if the caller states none.
    pub fn size(&self) -> Option<u64> {
        Some(self.prompt_tokens + self.max_tokens).filter(|size| *size > 0)
    }
}

/// Parameters of a request to a server.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// Remaining time of the caller's timeout.
    pub remaining: Duration,
    /// Identifier of the intended server; another server at the address refuses the request.
    pub server: &'a str,
    /// Whether the server only prefills the prompt.
    pub is_prefill: bool,
    /// Address of the server that holds the KV cache of the prompt, and the cache's handle.
    pub kv_cache: Option<(SocketAddr, &'a str)>,
    /// Id of the last event that was delivered to the caller.
    pub resume_after: Option<u64>,
    /// Name of the workspace that the caller belongs to.
    pub workspace: Option<&'a str>,
    /// Priority at the server; `None` for the server's default.
    pub priority: Option<u8>,
}

/// The server's description of a response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseFacts {
    /// Identifier of the request that the response belongs to, if present.
    pub request_id: Option<Box<str>>,
    /// Whether the server states that it has not run the request.
    pub states_not_run: bool,
    /// Whether a server other than the intended one responded at the address.
    pub is_other_server: bool,
    /// Whether the response carries the seal that every genuine response has.
    pub is_sealed: bool,
    /// Time for which the server keeps the idle connection open.
    pub idle_timeout: Option<Duration>,
    /// What the response says about the server's limit on requests.
    pub limit: LimitNotice,
    /// Whether the server says that it leaves.
    pub is_leaving: bool,
    /// Time for which the server wants no requests of this instance.
    pub rest: Option<Duration>,
}

/// Result of a prefill whose KV cache is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefilled {
    /// Handle of the KV cache.
    pub handle: Box<str>,
}
