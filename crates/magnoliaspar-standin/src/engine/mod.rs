//! A stand-in for a model engine: prefill, KV transfer and decode with simulated timing.

mod cache;
mod decode;
mod faults;
mod link;
mod model_engine;
mod prefill;
mod priority_lock;
mod spec;
mod state;
mod text;

pub use self::faults::Faults;
pub use self::model_engine::ModelEngine;
pub use self::spec::{ModelEngineRole, ModelEngineSpec};
pub use self::text::{answer_text, answer_tokens};
