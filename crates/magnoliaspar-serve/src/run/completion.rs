use std::net::SocketAddr;
use std::time::Instant;

use magnoliaspar_core::{AttemptId, RequestId, RouteName, WorkspaceName};
use magnoliaspar_engine::EndReason;
use xxhash_rust::xxh3::Xxh3;

/// A checked request for a completion.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The identifier, unique within the workspace.
    pub id: ScopedId,
    /// The route.
    pub route: RouteName,
    /// The prompt.
    pub prompt: Box<str>,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// When the request was accepted.
    pub accepted_at: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// The index of the first token that the caller still needs.
    pub from: u32,
    /// The tokens that earlier attempts have produced, from the first on.
    pub emitted: Vec<Box<str>>,
    /// Where an earlier attempt was running, if it may still be.
    pub placement: Option<Placement>,
}

impl CompletionRequest {
    /// Returns a number that differs for requests that ask for something else.
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

/// Identifies a request over all workspaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScopedId {
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The identifier that the caller chose or was given.
    pub request: RequestId,
}

impl ScopedId {
    /// Returns the identifier under which engines know the request.
    ///
    /// Callers of different workspaces may choose the same identifier; engines must not mix them
    /// up.
    pub fn to_engine_id(&self) -> RequestId {
        let mut hasher = Xxh3::new();
        hasher.update(self.workspace.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(self.request.as_str().as_bytes());
        let text = format!("{:032x}", hasher.digest128());
        RequestId::try_from(text.as_str()).expect("hexadecimal digits are a valid name")
    }
}

/// Where an attempt runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The address of the decode engine.
    pub decode: SocketAddr,
    /// The attempt.
    pub attempt: AttemptId,
}

/// How a completion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Completed {
    /// How many tokens the whole answer has.
    pub tokens: u32,
    /// Why it ended.
    pub reason: EndReason,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// How many tokens of the prompt were found in a prefix cache.
    pub cached_tokens: u32,
}
