//! Messages of the protocol between instances and model engines.

use std::net::SocketAddr;

use magnoliaspar_core::{AttemptId, BlockHash, Incarnation, ModelName, RequestId};
use serde::{Deserialize, Serialize};

/// Identifies the work and the memory of one attempt of a request on an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StreamId {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
}

/// A request to a prefill engine to process a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PrefillCall {
    /// The stream to open.
    pub stream: StreamId,
    /// The instance that drives the stream; the engine reports it in [`HeldStream::owner`].
    pub owner: Box<str>,
    /// The model, which must be loaded on the engine.
    pub model: ModelName,
    /// The version of the model, which must be loaded on the engine.
    pub version: Box<str>,
    /// The adapters to apply.
    pub adapters: Vec<Box<str>>,
    /// The prompt.
    pub prompt: Box<str>,
    /// The tokens that earlier attempts have generated; they are appended to the prompt.
    pub emitted: Vec<Box<str>>,
    /// The chained hashes of the full blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// The priority; higher values run first.
    pub priority: i32,
}

/// The result of a prefill.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Prefilled {
    /// The stream, so that an answer to another call is detected.
    pub stream: StreamId,
    /// The length of the prompt in tokens, including emitted tokens.
    pub prompt_tokens: u32,
    /// The number of prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// The time for which the KV cache is held from now on, in milliseconds.
    pub hold_ms: u32,
}

/// A request to a decode engine to import a KV cache and generate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DecodeCall {
    /// The stream to open, the same as on the prefill engine.
    pub stream: StreamId,
    /// The instance that drives the stream; the engine reports it in [`HeldStream::owner`].
    pub owner: Box<str>,
    /// The location of the KV cache.
    pub source: KvSource,
    /// The length of the prompt in tokens, including emitted tokens.
    pub prompt_tokens: u32,
    /// The index of the first token to generate.
    pub first_index: u32,
    /// Maximum number of tokens of the whole answer, including earlier ones.
    pub max_tokens: u32,
    /// The priority; higher values run first.
    pub priority: i32,
}

/// The location of the KV cache of a finished prefill.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvSource {
    /// The address of the prefill engine.
    pub address: SocketAddr,
    /// The stream for which the prefill engine holds the KV cache.
    pub stream: StreamId,
}

/// One frame of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFrame {
    /// The KV cache is imported, and the prefill engine has freed its memory.
    Imported {
        /// The stream, so that an answer to another call is detected.
        stream: StreamId,
    },
    /// One token.
    Token {
        /// The index of the token in the whole answer, counted from 0.
        index: u32,
        /// The text of the token.
        text: Box<str>,
    },
    /// The answer is complete.
    End {
        /// The number of tokens of the whole answer.
        tokens: u32,
        /// The reason for the end.
        reason: EndReason,
    },
}

/// The reason for the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the maximum number of tokens.
    Length,
}

/// A stream for which an engine holds memory.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldStream {
    /// The stream.
    pub stream: StreamId,
    /// The instance that opened it.
    pub owner: Box<str>,
    /// The stage of the stream.
    pub stage: Stage,
    /// The number of memory pieces that the stream holds.
    pub pieces: u32,
    /// The time for which the stream has held them, in milliseconds.
    pub age_ms: u64,
}

/// The stage of a held stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The prompt is queued or in prefill.
    Prefill,
    /// The KV cache is held for export.
    Hold,
    /// The KV cache is being imported.
    Import,
    /// The engine generates tokens.
    Decode,
}

/// The load of an engine at a recent time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// The age of the snapshot in milliseconds.
    pub age_ms: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of memory pieces in use.
    pub used_pieces: u32,
    /// The number of queued prompt tokens.
    pub queued_tokens: u32,
}

/// Events of a prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number of the last event included.
    pub last: u64,
    /// True if events between the requested number and the first included one are missing.
    pub gap: bool,
    /// The blocks that were stored and not evicted again up to event `last`.
    pub stored: Vec<BlockHash>,
    /// The blocks that were evicted.
    pub evicted: Vec<BlockHash>,
}

/// The loaded model, the role and the capacity of an engine.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStatus {
    /// The incarnation of the engine; each restart increases it.
    pub incarnation: Incarnation,
    /// The role: `prefill` or `decode`.
    pub role: Box<str>,
    /// The loaded model.
    pub model: ModelName,
    /// The loaded version.
    pub version: Box<str>,
    /// The loaded adapters.
    pub adapters: Vec<Box<str>>,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
    /// The total number of memory pieces.
    pub memory_pieces: u32,
    /// The number of tokens per memory piece.
    pub piece_tokens: u32,
    /// The prefill throughput in uncached prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// The throughput of the KV transfer link in tokens per second.
    pub link_tokens_per_second: f64,
    /// The time per generated token of one request in microseconds.
    pub token_us: u64,
    /// The time for which a KV cache is held for export, in milliseconds.
    pub hold_ms: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The fencing token of the lease that authorizes the order.
    pub fence: u64,
    /// The action that the order asks for.
    pub kind: OrderKind,
}

/// The action that an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model with its version and adapters.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: Box<str>,
        /// The adapters.
        adapters: Vec<Box<str>>,
    },
    /// Change the role to `prefill` or `decode`.
    ChangeRole {
        /// The new role.
        role: Box<str>,
    },
}

/// The body of the answer to a call that the engine refuses.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// The engine is at capacity.
    Full,
    /// The engine does not know the stream.
    UnknownStream,
    /// The engine no longer holds the KV cache.
    KvGone,
    /// The fencing token of the order is outdated.
    Fenced {
        /// The fencing token in the order.
        given: u64,
        /// The highest fencing token that the engine has seen.
        seen: u64,
    },
    /// Any other reason.
    Other {
        /// The reason.
        message: Box<str>,
    },
}
