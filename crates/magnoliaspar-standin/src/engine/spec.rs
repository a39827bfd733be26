use std::time::Duration;

use magnoliaspar_core::ModelName;

/// The sizes and the kind of a model engine.
#[derive(Debug, Clone)]
pub struct ModelEngineSpec {
    /// What the engine does.
    pub role: ModelEngineRole,
    /// The model that is loaded at the start.
    pub model: ModelName,
    /// The version that is loaded at the start.
    pub version: Box<str>,
    /// How many requests decode at the same time.
    pub slots: u32,
    /// How many pieces of memory there are.
    pub memory_pieces: u32,
    /// How many tokens a piece holds.
    pub piece_tokens: u32,
    /// How many blocks the prefix cache keeps.
    pub cache_blocks: usize,
    /// How many uncached prompt tokens are read in a second.
    pub prefill_tokens_per_second: f64,
    /// How many tokens of KV cache the link carries in a second.
    pub link_tokens_per_second: f64,
    /// How long one token takes when one request runs.
    pub token_time: Duration,
    /// By which share of `token_time` each further running request slows a token down.
    pub batch_slowdown: f64,
    /// How long KV cache is held for export.
    pub hold: Duration,
    /// How often the load report is renewed.
    pub report_period: Duration,
    /// How late cache events are published.
    pub event_lag: Duration,
    /// Whether orders with old fencing numbers are refused.
    pub is_fencing: bool,
    /// How long loading a model takes.
    pub load_time: Duration,
}

impl ModelEngineSpec {
    /// Returns an engine of today's size that is fast enough for a playground.
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

    /// Returns how many pieces hold `tokens` tokens.
    pub fn pieces_of(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.piece_tokens).max(1)
    }
}

/// What a model engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ModelEngineRole {
    /// The engine reads prompts.
    Prefill,
    /// The engine produces tokens.
    Decode,
}

impl ModelEngineRole {
    /// Returns the role as it is written in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}
