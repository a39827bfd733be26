use std::time::Instant;

use magnoliaspar_core::{ServerName, ZoneName};

/// What a policy knows of a backend server that does not change while it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSpec {
    /// The name of the server.
    pub name: ServerName,
    /// The availability zone in which the server runs.
    pub zone: ZoneName,
    /// What the server does.
    pub role: Role,
    /// How many requests the server runs at the same time.
    pub slots: u32,
    /// How many pieces of KV cache memory the server has.
    pub memory_pieces: u32,
    /// How many tokens one piece of memory holds.
    pub piece_tokens: u32,
    /// How many tokens a prefill engine reads in a second, when they are not cached.
    pub prefill_tokens_per_second: f64,
    /// How many tokens of KV cache the server's link carries in a second.
    pub link_tokens_per_second: f64,
    /// How many seconds a decode engine takes for one token of one request.
    pub seconds_per_token: f64,
    /// For how many seconds a prefill engine holds the KV cache of a finished prefill.
    pub hold_seconds: f64,
}

/// What a model engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The engine reads prompts and exports KV cache.
    Prefill,
    /// The engine imports KV cache and produces tokens.
    Decode,
}

/// A server's report of its load, which comes with a lag.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// When the server made the report.
    pub made_at: Instant,
    /// How many requests run on the server.
    pub running: u32,
    /// How many requests wait on the server.
    pub waiting: u32,
    /// How many pieces of memory are in use.
    pub used_pieces: u32,
    /// How many prompt tokens are queued on the server.
    pub queued_tokens: u32,
}

/// What the books of a scheduler show of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerUsage {
    /// Whether the server gets no new work.
    pub is_sealed: bool,
    /// How many prompts a prefill engine reads or has queued.
    pub reading: u32,
    /// How many pieces of memory a prefill engine uses for prompts that it reads or holds.
    pub read_pieces: u32,
    /// How many slots of a decode engine are in use.
    pub running: u32,
    /// How many pieces of memory the jobs in these slots are expected to need.
    pub running_pieces: u32,
    /// How many slots are reserved for prompts that are read or held.
    pub reserved: u32,
    /// How many pieces of memory the reservations are expected to need.
    pub reserved_pieces: u32,
    /// How many slots were in use for others, by the last report.
    pub foreign: u32,
    /// How many transfers are planned or run on the server's link.
    pub transfers: u32,
}
