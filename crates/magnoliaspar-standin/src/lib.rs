//! Small stand-ins for backend servers and the platform, for tests and the playground.
//!
//! A stand-in is a fake at an interface: it answers the published protocol, keeps count of what it
//! holds, and fails in the ways that its faults ask for.

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
pub use self::platform::{Platform, PlatformAccess};
pub use self::service::{PlainService, ServiceCall};
