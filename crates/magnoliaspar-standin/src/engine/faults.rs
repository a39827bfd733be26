use serde::{Deserialize, Serialize};

/// The faults that an engine injects; all are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Crashes the engine after this many more tokens.
    pub die_after_tokens: Option<u32>,
    /// Crashes the engine on each prefill call whose prompt contains this text.
    pub crash_mark: Option<Box<str>>,
    /// Delay in milliseconds until a crashed engine listens again; it restarts without state.
    pub restart_ms: u64,
    /// Number of KV exports that stall forever.
    pub stall_exports: u32,
    /// Number of prefills whose KV cache is freed at once instead of after the announced hold.
    pub lost_holds: u32,
    /// After this many more tokens, open responses send nothing more; later responses work.
    pub silent_after_tokens: Option<u32>,
    /// Number of decode and attach responses that carry another stream's identifier and tokens.
    pub crossed_answers: u32,
    /// Delay in milliseconds before the engine handles a call.
    pub late_ms: u64,
    /// Refuses all new streams as if the engine were full.
    pub is_full: bool,
}
