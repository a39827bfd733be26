//! Small stand-ins for backend servers and the platform, for tests and the playground.
//!
//! A stand-in is a fake at an interface: it answers the published protocol, keeps count of what it
//! holds, and fails in the ways that its faults ask for.

mod engine;
mod web;

pub use self::engine::{
    Faults, ModelEngine, ModelEngineRole, ModelEngineSpec, answer_text, answer_tokens,
};
