use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use async_trait::async_trait;
use futures_core::Stream;

use crate::{
    CacheEvents, DecodeCall, EngineError, EngineStatus, HeldStream, LoadSnapshot, Order,
    PrefillCall, Prefilled, StreamFrame, StreamId,
};

/// The frames of one running answer, in the order of their indexes, up to the end mark.
pub type TokenStream = Pin<Box<dyn Stream<Item = Result<StreamFrame, EngineError>>>>;

/// One model engine.
#[async_trait(?Send)]
pub trait Engine {
    /// Reads a prompt; the engine then holds the KV cache for a short time.
    async fn prefill(&self, call: &PrefillCall) -> Result<Prefilled, EngineError>;

    /// Imports the KV cache of a prompt and produces tokens.
    async fn decode(&self, call: &DecodeCall) -> Result<TokenStream, EngineError>;

    /// Attaches to a running answer again, from the token with index `from` on.
    async fn attach(&self, stream: &StreamId, from: u32) -> Result<TokenStream, EngineError>;

    /// Ends an answer or a prefill and frees its memory; an unknown stream is no error.
    async fn cancel(&self, stream: &StreamId) -> Result<(), EngineError>;

    /// Lists all streams for which the engine holds memory.
    async fn streams(&self) -> Result<Vec<HeldStream>, EngineError>;

    /// Reads the engine's load, which lags.
    async fn load(&self) -> Result<LoadSnapshot, EngineError>;

    /// Reads the events of the prefix cache after the one with number `after`.
    async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError>;

    /// Reads what the engine runs and how large it is.
    async fn status(&self) -> Result<EngineStatus, EngineError>;

    /// Gives the engine an order and waits until it is carried out.
    async fn order(&self, order: &Order) -> Result<(), EngineError>;
}

/// Makes engines from addresses.
pub trait EngineConnector {
    /// Returns the engine that listens on `address`.
    fn connect(&self, address: SocketAddr) -> Rc<dyn Engine>;

    /// Returns the engine that listens on `address`, without any of the connections used so far.
    ///
    /// A call over a connection that went silent is settled by asking again on a fresh one.
    fn connect_afresh(&self, address: SocketAddr) -> Rc<dyn Engine>;
}
