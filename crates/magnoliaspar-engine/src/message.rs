use std::net::SocketAddr;

use magnoliaspar_core::{AttemptId, BlockHash, Incarnation, ModelName, RequestId};
use serde::{Deserialize, Serialize};

/// Identifies what one attempt of a request holds on an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StreamId {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Asks a prefill engine to read a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PrefillCall {
    /// The stream to open.
    pub stream: StreamId,
    /// The instance that drives the stream, which the engine lists with it.
    pub owner: Box<str>,
    /// The model that must be loaded.
    pub model: ModelName,
    /// The version that must be loaded.
    pub version: Box<str>,
    /// The adapters to apply.
    pub adapters: Vec<Box<str>>,
    /// The prompt.
    pub prompt: Box<str>,
    /// The tokens that earlier attempts have produced and that follow the prompt.
    pub emitted: Vec<Box<str>>,
    /// The chained hashes of the prompt's whole blocks.
    pub blocks: Vec<BlockHash>,
    /// The priority; higher runs first.
    pub priority: i32,
}

/// What a prefill engine did.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Prefilled {
    /// The stream, so that a crossed answer is noticed.
    pub stream: StreamId,
    /// The length of the prompt in tokens, emitted ones included.
    pub prompt_tokens: u32,
    /// How many of them were found in the prefix cache.
    pub cached_tokens: u32,
    /// For how many milliseconds from now the KV cache is held.
    pub hold_ms: u32,
}

/// Asks a decode engine to import KV cache and produce tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DecodeCall {
    /// The stream to open, the same as on the prefill engine.
    pub stream: StreamId,
    /// The instance that drives the stream, which the engine lists with it.
    pub owner: Box<str>,
    /// Where the KV cache is.
    pub source: KvSource,
    /// The length of the prompt in tokens, emitted ones included.
    pub prompt_tokens: u32,
    /// The index of the first token to produce.
    pub first_index: u32,
    /// The most tokens that the whole answer may have, earlier ones included.
    pub max_tokens: u32,
    /// The priority; higher runs first.
    pub priority: i32,
}

/// Where the KV cache of a finished prefill is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvSource {
    /// The address of the prefill engine.
    pub address: SocketAddr,
    /// The stream under which the prefill engine holds it.
    pub stream: StreamId,
}

/// One frame of a running answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamFrame {
    /// The KV cache is imported and its memory on the prefill engine is free.
    Imported {
        /// The stream, so that a crossed answer is noticed.
        stream: StreamId,
    },
    /// One token.
    Token {
        /// The index of the token in the whole answer, from 0 on.
        index: u32,
        /// The text of the token.
        text: Box<str>,
    },
    /// The answer is complete.
    End {
        /// How many tokens the whole answer has.
        tokens: u32,
        /// Why it ended.
        reason: EndReason,
    },
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model ended the answer.
    Stop,
    /// The answer has as many tokens as were asked for.
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
    /// What it is doing.
    pub stage: Stage,
    /// How many pieces of memory it holds.
    pub pieces: u32,
    /// For how many milliseconds it has held them.
    pub age_ms: u64,
}

/// What a held stream is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Its prompt is queued or being read.
    Prefill,
    /// Its KV cache is held for export.
    Hold,
    /// Its KV cache is being imported.
    Import,
    /// It produces tokens.
    Decode,
}

/// An engine's load at some recent time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// How many milliseconds ago the snapshot was taken.
    pub age_ms: u64,
    /// How many requests run.
    pub running: u32,
    /// How many requests wait.
    pub waiting: u32,
    /// How many pieces of memory are in use.
    pub used_pieces: u32,
    /// How many prompt tokens are queued.
    pub queued_tokens: u32,
}

/// Events of a prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number of the last event contained.
    pub last: u64,
    /// Whether events between the asked number and the first contained are missing.
    pub gap: bool,
    /// The blocks that were stored and are still there at `last`.
    pub stored: Vec<BlockHash>,
    /// The blocks that were evicted.
    pub evicted: Vec<BlockHash>,
}

/// What an engine runs and how large it is.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStatus {
    /// The life of the engine; a restart raises it.
    pub incarnation: Incarnation,
    /// The role: `prefill` or `decode`.
    pub role: Box<str>,
    /// The loaded model.
    pub model: ModelName,
    /// The loaded version.
    pub version: Box<str>,
    /// The loaded adapters.
    pub adapters: Vec<Box<str>>,
    /// How many requests run at the same time.
    pub slots: u32,
    /// How many pieces of memory there are.
    pub memory_pieces: u32,
    /// How many tokens a piece of memory holds.
    pub piece_tokens: u32,
    /// How many uncached prompt tokens are read in a second.
    pub prefill_tokens_per_second: f64,
    /// How many tokens of KV cache the link carries in a second.
    pub link_tokens_per_second: f64,
    /// How many microseconds one token of one request takes.
    pub token_us: u64,
    /// For how many milliseconds KV cache is held for export.
    pub hold_ms: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the lease under which the order is given.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
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

/// The body of an engine's answer when it refuses a call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// The engine has no room.
    Full,
    /// The engine does not know the stream.
    UnknownStream,
    /// The KV cache is no longer held.
    KvGone,
    /// The order's fencing number is old.
    Fenced {
        /// The number in the order.
        given: u64,
        /// The highest number that the engine has seen.
        seen: u64,
    },
    /// Anything else.
    Other {
        /// What is wrong.
        message: Box<str>,
    },
}
