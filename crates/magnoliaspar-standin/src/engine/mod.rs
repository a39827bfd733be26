//! A model engine that reads prompts, hands over KV cache and produces tokens.

mod cache;
mod decode;
mod fault;
mod link;
mod model_engine;
mod prefill;
mod spec;
mod state;
mod text;
mod turn;

pub use self::fault::Faults;
pub use self::model_engine::ModelEngine;
pub use self::spec::{ModelEngineRole, ModelEngineSpec};
pub use self::text::{answer_text, answer_tokens};
