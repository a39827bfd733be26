//! The specification of an engine.

use std::time::Duration;

use magnoliaspar_core::ModelName;

/// Role, model, capacity and timing of a model engine.
#[derive(Debug, Clone)]
pub struct ModelEngineSpec {
    /// The role at the start.
    pub role: ModelEngineRole,
    /// The model that is loaded at the start.
    pub model: ModelName,
    /// The version that is loaded at the start.
    pub version: Box<str>,
    /// Maximum number of streams on a decode engine.
    pub slots: u32,
    /// KV memory in pieces.
    pub memory_pieces: u32,
    /// Size of a piece in tokens.
    pub piece_tokens: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Prefill rate in uncached prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Bandwidth of the link for KV transfers, in prompt tokens per second.
    pub link_tokens_per_second: f64,
    /// Decode time of one token while only one stream runs.
    pub token_time: Duration,
    /// Fraction of `token_time` that each further stream adds to the time of a token.
    pub batch_slowdown: f64,
    /// Time for which the KV cache of a finished prefill is held for export.
    pub hold: Duration,
    /// Interval at which the load report is updated.
    pub report_period: Duration,
    /// Delay until a cache event is published.
    pub event_lag: Duration,
    /// True if the engine refuses orders with an outdated fencing token.
    pub is_fencing: bool,
    /// Time to load a model.
    pub load_time: Duration,
}

impl ModelEngineSpec {
    /// Returns an engine of realistic capacity that is fast enough for tests and the playground.
    pub fn small(role: ModelEngineRole, model: ModelName) -> Self {
        Self {
            role,
            model,
            version: "1".into(),
            slots: 20,
            memory_pieces: 2_000,
            piece_tokens: 64,
            cache_blocks: 4_000,
            prefill_tokens_per_second: 200_000.0,
            link_tokens_per_second: 500_000.0,
            token_time: Duration::from_millis(2),
            batch_slowdown: 0.02,
            hold: Duration::from_millis(800),
            report_period: Duration::from_millis(200),
            event_lag: Duration::from_millis(300),
            is_fencing: true,
            load_time: Duration::from_millis(50),
        }
    }

    /// Returns the number of pieces that `tokens` tokens need, at least one.
    pub fn pieces_of(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.piece_tokens).max(1)
    }
}

/// The role of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelEngineRole {
    /// Runs the prefill of prompts.
    Prefill,
    /// Imports KV caches and decodes tokens.
    Decode,
}

impl ModelEngineRole {
    /// Returns the name of the role in engine messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}
