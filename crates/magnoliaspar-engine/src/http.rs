//! The HTTP adapter for model engines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use awc::error::{JsonPayloadError, SendRequestError};
use awc::http::StatusCode;
use awc::{Client, ClientResponse, Connector};
use magnoliaspar_http::is_never_sent;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::frames::read_frames;
use crate::{
    CacheEvents, DecodeCall, Engine, EngineConnector, EngineError, EngineStatus, HeldStream,
    LoadSnapshot, Order, PrefillCall, Prefilled, Refused, StreamId, TokenStream,
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum age of a pooled connection, so that a stalled one is eventually replaced.
const CONNECTION_MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum idle time of a pooled connection.
const CONNECTION_MAX_IDLE: Duration = Duration::from_secs(10);

/// Timeout for calls that neither run a model nor load one.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for orders, which may load a model.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum size of a JSON answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A model engine that is called over HTTP.
pub struct HttpEngine {
    client: Client,
    address: SocketAddr,
    progress_timeout: Duration,
}

impl HttpEngine {
    /// Creates an adapter for the engine at `address` with a connection pool of its own.
    ///
    /// A prefill or a token stream fails if it makes no progress for `progress_timeout`.
    pub fn new(address: SocketAddr, progress_timeout: Duration) -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_lifetime(CONNECTION_MAX_AGE)
            .conn_keep_alive(CONNECTION_MAX_IDLE);
        let client =
            Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        Self { client, address, progress_timeout }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let call = async {
            let res = self.client.get(self.url(path)).send().await.map_err(map_send_error)?;
            read_answer(res).await
        };
        with_timeout(CALL_TIMEOUT, call).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, EngineError> {
        let call = async {
            let req = self.client.post(self.url(path));
            let res = req.send_json(body).await.map_err(map_send_error)?;
            read_answer(res).await
        };
        with_timeout(timeout, call).await
    }

    /// Opens a token stream by a POST request.
    async fn open_stream(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<TokenStream, EngineError> {
        let call = async {
            let req = self.client.post(self.url(path));
            let res = req.send_json(body).await.map_err(map_send_error)?;
            if !res.status().is_success() {
                return Err(read_refusal(res).await);
            }
            Ok(res)
        };
        let res = with_timeout(self.progress_timeout, call).await?;
        Ok(read_frames(res, self.progress_timeout))
    }
}

#[async_trait(?Send)]
impl Engine for HttpEngine {
    async fn prefill(&self, call: &PrefillCall) -> Result<Prefilled, EngineError> {
        let prefilled: Prefilled = self.post("/prefill", call, self.progress_timeout).await?;
        if prefilled.stream != call.stream {
            return Err(EngineError::Mismatched("the answer names another stream".into()));
        }
        Ok(prefilled)
    }

    async fn decode(&self, call: &DecodeCall) -> Result<TokenStream, EngineError> {
        self.open_stream("/decode", call).await
    }

    async fn attach(&self, stream: &StreamId, from: u32) -> Result<TokenStream, EngineError> {
        self.open_stream("/attach", &AttachCall { stream: stream.clone(), from }).await
    }

    async fn cancel(&self, stream: &StreamId) -> Result<(), EngineError> {
        let _: EmptyAnswer = self.post("/cancel", stream, CALL_TIMEOUT).await?;
        Ok(())
    }

    async fn streams(&self) -> Result<Vec<HeldStream>, EngineError> {
        self.get("/streams").await
    }

    async fn load(&self) -> Result<LoadSnapshot, EngineError> {
        self.get("/load").await
    }

    async fn cache_events(&self, after: u64) -> Result<CacheEvents, EngineError> {
        self.get(&format!("/cache-events?after={after}")).await
    }

    async fn status(&self) -> Result<EngineStatus, EngineError> {
        self.get("/status").await
    }

    async fn order(&self, order: &Order) -> Result<(), EngineError> {
        let _: EmptyAnswer = self.post("/orders", order, ORDER_TIMEOUT).await?;
        Ok(())
    }
}

/// Creates [`HttpEngine`]s and keeps one for each address.
pub struct HttpConnector {
    progress_timeout: Duration,
    engines: RefCell<BTreeMap<SocketAddr, Rc<dyn Engine>>>,
}

impl HttpConnector {
    /// Creates a connector whose engines fail calls after `progress_timeout` without progress.
    pub fn new(progress_timeout: Duration) -> Self {
        Self { progress_timeout, engines: RefCell::default() }
    }
}

impl EngineConnector for HttpConnector {
    fn connect(&self, address: SocketAddr) -> Rc<dyn Engine> {
        let mut engines = self.engines.borrow_mut();
        let engine = engines
            .entry(address)
            .or_insert_with(|| Rc::new(HttpEngine::new(address, self.progress_timeout)));
        engine.clone()
    }

    fn reconnect(&self, address: SocketAddr) -> Rc<dyn Engine> {
        let engine: Rc<dyn Engine> = Rc::new(HttpEngine::new(address, self.progress_timeout));
        self.engines.borrow_mut().insert(address, engine.clone());
        engine
    }
}

/// The body of a request to reattach to a stream.
#[derive(Serialize)]
struct AttachCall {
    stream: StreamId,
    from: u32,
}

/// The empty answer to a call without a result.
#[derive(serde::Deserialize)]
struct EmptyAnswer {}

async fn read_answer<T: DeserializeOwned>(mut res: ClientResponse) -> Result<T, EngineError> {
    if !res.status().is_success() {
        return Err(read_refusal(res).await);
    }
    match res.json::<T>().limit(MAX_ANSWER_BYTES).await {
        Ok(answer) => Ok(answer),
        Err(JsonPayloadError::Deserialize(error)) => {
            Err(EngineError::Mismatched(error.to_string().into()))
        }
        Err(error) => Err(EngineError::Lost(error.to_string().into())),
    }
}

async fn read_refusal(mut res: ClientResponse) -> EngineError {
    let status = res.status();
    let Ok(refused) = res.json::<Refused>().await else {
        return error_for_status(status);
    };
    match refused {
        Refused::Full => EngineError::Full,
        Refused::UnknownStream => EngineError::UnknownStream,
        Refused::KvGone => EngineError::KvGone,
        Refused::Fenced { given, seen } => EngineError::Fenced { given, seen },
        Refused::Other { message } if status.is_client_error() => EngineError::Refused(message),
        Refused::Other { message } => EngineError::Lost(message),
    }
}

/// Returns the error for a status without a readable body; only a 4xx status means no effect.
fn error_for_status(status: StatusCode) -> EngineError {
    let message = format!("status {status}").into();
    if status.is_client_error() {
        return EngineError::Refused(message);
    }
    EngineError::Lost(message)
}

fn map_send_error(error: SendRequestError) -> EngineError {
    if is_never_sent(&error) {
        return EngineError::Unreachable(error.to_string().into());
    }
    match error {
        SendRequestError::Url(error) => EngineError::Refused(error.to_string().into()),
        other => EngineError::Lost(other.to_string().into()),
    }
}

/// Fails `call` with [`EngineError::Stalled`] after `timeout`.
async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, EngineError>>,
) -> Result<T, EngineError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(result) => result,
        Err(_) => Err(EngineError::Stalled(timeout)),
    }
}
