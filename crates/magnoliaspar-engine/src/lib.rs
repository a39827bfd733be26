//! The interface to model engines: traits, messages and errors, with an adapter over HTTP.

mod engine;
mod error;
mod frames;
mod http;
mod message;

pub use self::engine::{Engine, EngineConnector, TokenStream};
pub use self::error::EngineError;
pub use self::http::{HttpConnector, HttpEngine};
pub use self::message::{
    CacheEvents, DecodeCall, EndReason, EngineStatus, HeldStream, KvSource, LoadSnapshot, Order,
    OrderKind, PrefillCall, Prefilled, Refused, Stage, StreamFrame, StreamId,
};
