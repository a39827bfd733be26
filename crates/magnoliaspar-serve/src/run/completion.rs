//! Completion requests, their identifiers and their results.

use std::net::SocketAddr;
use std::time::Instant;

use magnoliaspar_core::{AttemptId, RequestId, RouteName, WorkspaceName};
use magnoliaspar_engine::EndReason;
use xxhash_rust::xxh3::Xxh3;

/// A validated completion request.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The identifier, unique within the workspace.
    pub id: ScopedId,
    /// The route.
    pub route: RouteName,
    /// The prompt.
    pub prompt: Box<str>,
    /// The maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// The time at which the request was accepted.
    pub accepted_at: Instant,
    /// The deadline of the caller.
    pub deadline: Instant,
    /// The index of the first token that the caller still needs.
    pub from: u32,
    /// The tokens that earlier attempts have produced, starting with the first.
    pub emitted: Vec<Box<str>>,
    /// The placement of an earlier attempt that may still be running.
    pub placement: Option<Placement>,
}

impl CompletionRequest {
    /// Returns a hash of the route, the prompt and the token limit, which distinguishes requests
    /// with different content.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.route.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.prompt.as_bytes());
        hasher.update(&[0]);
        hasher.update(&self.max_tokens.to_le_bytes());
        hasher.digest()
    }
}

/// A request identifier that is unique across workspaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScopedId {
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The identifier that the caller chose or that was generated for it.
    pub request: RequestId,
}

impl ScopedId {
    /// Returns the identifier of the request on engines, a hash of the workspace and the request.
    ///
    /// Callers of different workspaces may choose the same identifier, and engines must not confuse
    /// their requests.
    pub fn to_engine_id(&self) -> RequestId {
        let mut hasher = Xxh3::new();
        hasher.update(self.workspace.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.request.as_str().as_bytes());
        let text = format!("{:032x}", hasher.digest128());
        RequestId::try_from(text.as_str()).expect("hexadecimal digits are a valid name")
    }
}

/// The decode engine of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The address of the decode engine.
    pub decode: SocketAddr,
    /// The attempt.
    pub attempt: AttemptId,
}

/// The summary of a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completed {
    /// The number of tokens in the whole answer.
    pub tokens: u32,
    /// The reason for the end.
    pub reason: EndReason,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The number of prompt tokens that were found in a prefix cache.
    pub cached_tokens: u32,
}
