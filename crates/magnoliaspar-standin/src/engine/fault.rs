use serde::{Deserialize, Serialize};

/// The faults of an engine; all are off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The engine dies once it has produced this many more tokens.
    pub die_after_tokens: Option<u32>,
    /// The engine dies when it starts to read a prompt that contains this text.
    pub crash_mark: Option<Box<str>>,
    /// For how many milliseconds a dead engine stays away; then it comes back empty.
    pub restart_ms: u64,
    /// How many exports of KV cache stall for good.
    pub stall_exports: u32,
    /// How many prefills lose their KV cache at once, although their hold should last longer.
    pub lost_holds: u32,
    /// Open answers go silent once this many more tokens were produced; new ones work.
    pub silent_after_tokens: Option<u32>,
    /// How many decode calls are answered with another stream's frames.
    pub crossed_answers: u32,
    /// By how many milliseconds answers to calls are late.
    pub late_ms: u64,
    /// Whether the engine refuses all new work as if it were full.
    pub is_full: bool,
}
