//! What requests and answers say of themselves, whatever their headers are called.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};

/// Translates between headers and what the gateway has to know.
pub trait Dialect {
    /// Reads what a caller says of its request; none if it has no identifier.
    fn read_request(&self, head: &RequestHead) -> Option<RequestFacts>;

    /// Removes what a caller may not set, and sets what a server is told.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads what a server says of its answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerFacts;

    /// Puts the identifier of a request on an answer of the gateway's own.
    fn write_refusal(&self, headers: &mut HeaderMap, request_id: &str);

    /// Reads the answer to a request of which only the prompt was read.
    fn read_prefill(&self, body: &[u8]) -> Option<Prefilled>;

    /// Returns the path at which a KV cache is freed.
    fn release_path(&self, handle: &str) -> Box<str>;
}

/// What a caller says of its request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestFacts {
    /// The identifier, which each attempt of a caller has of its own.
    pub id: Box<str>,
    /// How long the caller will wait.
    pub patience: Option<Duration>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens that the caller expects to be produced.
    pub expected_tokens: u64,
    /// The most tokens that may be produced.
    pub most_tokens: u64,
    /// The id of the last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What a server is told with a request.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// How long the caller will still wait.
    pub remaining: Duration,
    /// The server that is meant; another one at the address refuses.
    pub server: &'a str,
    /// Whether only the prompt is to be read.
    pub is_prefill: bool,
    /// Where the KV cache of the prompt is.
    pub kv_cache: Option<(SocketAddr, &'a str)>,
    /// The id of the last event that was delivered.
    pub resume_after: Option<u64>,
}

/// What a server says of its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The identifier of the request that is answered, if it is given.
    pub request_id: Option<Box<str>>,
    /// Whether the server says that it has not run the request.
    pub is_not_run: bool,
    /// Whether another server answers at the address than the one that was meant.
    pub is_other_server: bool,
    /// Whether the answer bears the mark that each genuine one has.
    pub is_sealed: bool,
    /// How long the server keeps the connection when it is idle.
    pub idle_timeout: Option<Duration>,
}

/// A prompt that was read and whose KV cache is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prefilled {
    /// Under which name the cache is kept.
    pub handle: Box<str>,
}
