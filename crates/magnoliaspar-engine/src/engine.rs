//! The traits for model engines and for connecting to them.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use async_trait::async_trait;
use futures_core::Stream;

use crate::{
    CacheEvents, DecodeCall, EngineError, EngineStatus, HeldStream, LoadSnapshot, Order,
    PrefillCall, Prefilled, StreamFrame, StreamId,
};

/// The frames of an answer in the order of their indexes; the last is [`StreamFrame::End`].
pub type TokenStream = Pin<Box<dyn Stream<Item = Result<StreamFrame, EngineError>>>>;

/// A model engine that runs prefill or decode.
#[async_trait(?Send)]
pub trait Engine {
    /// Runs the prefill of a prompt; the engine then holds the KV cache for a limited time.
    async fn prefill(&self, call: &PrefillCall) -> Result<Prefilled, EngineError>;

    /// Imports the KV cache of a prompt and generates tokens.
    async fn decode(&self, call: &DecodeCall) -> Result<TokenStream, EngineError>;

    /// Reattaches to a running stream, starting with the token at index `from`.
    async fn attach(&self, stream: &StreamId, from: u32) -> Result<TokenStream, EngineError>;

    /// Cancels a stream in any stage and frees its memory; an unknown stream is not an error.
    async fn cancel(&self, stream: &StreamId) -> Result<(), EngineError>;

    /// Lists all streams for which the engine holds memory.
    async fn streams(&self) -> Result<Vec<HeldStream>, EngineError>;

    /// Reads the load of the engine; the snapshot may be stale.
    async fn load(&self) -> Result<LoadSnapshot, EngineError>;

    /// Reads the prefix cache events that follow event number `after`.
    async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError>;

    /// Reads the loaded model, the role and the capacity of the engine.
    async fn status(&self) -> Result<EngineStatus, EngineError>;

    /// Sends an order to the engine and waits until the engine has applied it.
    async fn order(&self, order: &Order) -> Result<(), EngineError>;
}

/// Creates engines from addresses.
pub trait EngineConnector {
    /// Returns the engine that listens on `address`.
    fn connect(&self, address: SocketAddr) -> Rc<dyn Engine>;

    /// Returns the engine that listens on `address`, without reusing any open connection.
    ///
    /// If a connection stalls, the caller repeats the call on a new one to learn its outcome.
    fn reconnect(&self, address: SocketAddr) -> Rc<dyn Engine>;
}
