//! In-process stand-ins for backend servers and the platform, for tests and the playground.
//!
//! A stand-in implements the published protocol of the real component over HTTP, tracks the
//! memory and requests it holds, and injects the faults that a test sets.

mod deployment;
mod engine;
mod platform;
mod service;
mod web;

pub use self::deployment::{
    CALLER_KEY, Deployment, DeploymentError, DeploymentSpec, MODEL, OPERATOR_KEY, PEER_KEY,
    READER_KEY, ZoneStandIns, declarations,
};
pub use self::engine::{
    Faults, ModelEngine, ModelEngineRole, ModelEngineSpec, answer_text, answer_tokens,
};
pub use self::platform::{Platform, PlatformEndpoint};
pub use self::service::{PlainService, ServiceCall};
