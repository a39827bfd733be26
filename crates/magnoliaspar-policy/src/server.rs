//! Backend servers as the policy sees them.

use std::time::Instant;

use magnoliaspar_core::{ServerName, ZoneName};

/// The specification of a backend server, which does not change while the server runs.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSpec {
    /// The name of the server.
    pub name: ServerName,
    /// The availability zone in which the server runs.
    pub zone: ZoneName,
    /// The role of the server.
    pub role: Role,
    /// The maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// The KV cache memory of the server, in pieces (allocation units).
    pub memory_pieces: u32,
    /// The number of tokens that one piece of memory holds.
    pub piece_tokens: u32,
    /// The prefill rate for tokens that are not cached, in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// The rate of the server's link for KV transfers, in tokens per second.
    pub link_tokens_per_second: f64,
    /// The time of a decode step, in seconds per token of one request.
    pub seconds_per_token: f64,
    /// The time for which a prefill engine holds the KV cache of a finished prefill, in seconds.
    pub hold_seconds: f64,
}

/// The role of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The engine prefills prompts and exports their KV cache.
    Prefill,
    /// The engine imports KV caches and decodes tokens.
    Decode,
}

/// A server's report of its load, which arrives with a delay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The time when the server made the report.
    pub made_at: Instant,
    /// The number of requests running on the server.
    pub running: u32,
    /// The number of requests queued on the server.
    pub waiting: u32,
    /// The number of pieces of memory in use.
    pub used_pieces: u32,
    /// The number of prompt tokens queued on the server.
    pub queued_tokens: u32,
}

/// The load that a scheduler accounts for on a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerUsage {
    /// True if the server gets no new work.
    pub is_cordoned: bool,
    /// The number of prefills that are queued or running on a prefill engine.
    pub prefills: u32,
    /// The number of pieces of memory that a prefill engine uses for prefills and held KV caches.
    pub prefill_pieces: u32,
    /// The number of slots of a decode engine in use.
    pub running: u32,
    /// The number of pieces of memory that the jobs in these slots are expected to need.
    pub running_pieces: u32,
    /// The number of slots reserved for jobs that prefill or whose KV cache is held.
    pub reserved: u32,
    /// The number of pieces of memory that the reservations are expected to need.
    pub reserved_pieces: u32,
    /// The number of slots that other schedulers' jobs used according to the last report.
    pub external: u32,
    /// The number of planned and running transfers on the server's link.
    pub transfers: u32,
}
