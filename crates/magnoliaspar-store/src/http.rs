//! HTTP adapters for the services of the platform.

use std::net::SocketAddr;

use async_trait::async_trait;
use awc::http::Method;
use bytes::Bytes;
use magnoliaspar_core::ZoneName;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{Answer, Effect, HttpTimeouts, ServiceClient};
use crate::protocol::{
    AcquireRequest, INSTANCES_PATH, OBJECTS_PATH, ReadRequest, ScanRequest, TABLE_COMMIT_PATH,
    TABLE_READ_PATH, TABLE_SCAN_PATH, WEIGHTS_PATH,
};
use crate::{
    InstanceList, ListEntry, ObjectStore, PlatformError, Row, RowKey, TableService, Transaction,
    WeightStore, WriteOutcome,
};

/// The table service over HTTP.
pub struct HttpTableService(ServiceClient);

impl HttpTableService {
    /// Creates an adapter that connects when it is first used.
    pub fn new(address: SocketAddr, timeouts: HttpTimeouts) -> Self {
        Self(ServiceClient::new(address, timeouts))
    }
}

#[async_trait(?Send)]
impl TableService for HttpTableService {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        let body = ReadRequest { key: key.clone() };
        post(&self.0, TABLE_READ_PATH, &body, Effect::None).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let body = ScanRequest { prefix: prefix.into(), after: after.cloned(), limit };
        post(&self.0, TABLE_SCAN_PATH, &body, Effect::None).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError> {
        post(&self.0, TABLE_COMMIT_PATH, transaction, Effect::Write).await
    }
}

/// The object store over HTTP.
pub struct HttpObjectStore(ServiceClient);

impl HttpObjectStore {
    /// Creates an adapter that connects when it is first used.
    pub fn new(address: SocketAddr, timeouts: HttpTimeouts) -> Self {
        Self(ServiceClient::new(address, timeouts))
    }
}

#[async_trait(?Send)]
impl ObjectStore for HttpObjectStore {
    async fn get(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = object_path(name)?;
        match self.0.call(Method::GET, &path, Bytes::new(), Effect::None).await? {
            Answer::Content(content) => Ok(Some(content)),
            Answer::NotFound => Ok(None),
        }
    }

    async fn put(&self, name: &str, content: Bytes) -> Result<(), PlatformError> {
        let path = object_path(name)?;
        match self.0.call(Method::PUT, &path, content, Effect::Write).await? {
            Answer::Content(_) => Ok(()),
            Answer::NotFound => Err(not_found()),
        }
    }
}

/// The weight store over HTTP.
pub struct HttpWeightStore(ServiceClient);

impl HttpWeightStore {
    /// Creates an adapter that connects when it is first used.
    pub fn new(address: SocketAddr, timeouts: HttpTimeouts) -> Self {
        Self(ServiceClient::new(address, timeouts))
    }
}

#[async_trait(?Send)]
impl WeightStore for HttpWeightStore {
    async fn acquire(&self, model: &str, bytes: u64) -> Result<(), PlatformError> {
        let body = to_json(&AcquireRequest { model: model.into(), bytes })?;
        match self.0.call(Method::POST, WEIGHTS_PATH, body, Effect::Write).await? {
            Answer::Content(_) => Ok(()),
            Answer::NotFound => Err(not_found()),
        }
    }
}

/// The list of instances and backend servers over HTTP.
pub struct HttpInstanceList(ServiceClient);

impl HttpInstanceList {
    /// Creates an adapter that connects when it is first used.
    pub fn new(address: SocketAddr, timeouts: HttpTimeouts) -> Self {
        Self(ServiceClient::new(address, timeouts))
    }
}

#[async_trait(?Send)]
impl InstanceList for HttpInstanceList {
    async fn list(&self, zone: Option<&ZoneName>) -> Result<Vec<ListEntry>, PlatformError> {
        let path = match zone {
            Some(zone) => format!("{INSTANCES_PATH}?zone={zone}"),
            None => INSTANCES_PATH.to_owned(),
        };
        let answer = self.0.call(Method::GET, &path, Bytes::new(), Effect::None).await?;
        from_json(answer, Effect::None)
    }
}

async fn post<B: Serialize, A: DeserializeOwned>(
    client: &ServiceClient,
    path: &str,
    body: &B,
    effect: Effect,
) -> Result<A, PlatformError> {
    let body = to_json(body)?;
    let answer = client.call(Method::POST, path, body, effect).await?;
    from_json(answer, effect)
}

fn to_json<B: Serialize>(body: &B) -> Result<Bytes, PlatformError> {
    let json = serde_json::to_vec(body)
        .map_err(|error| PlatformError::Rejected(error.to_string().into()))?;
    Ok(Bytes::from(json))
}

fn from_json<A: DeserializeOwned>(answer: Answer, effect: Effect) -> Result<A, PlatformError> {
    let Answer::Content(content) = answer else { return Err(not_found()) };
    serde_json::from_slice(&content)
        .map_err(|error| effect.error_after_send(&format!("the answer is not readable: {error}")))
}

/// Returns the path of an object; names may contain only characters that need no escaping.
fn object_path(name: &str) -> Result<Box<str>, PlatformError> {
    for c in name.chars() {
        if !c.is_ascii_alphanumeric() && !matches!(c, '-' | '_' | '.' | '/') {
            let message = format!("the object name {name:?} contains {c:?}");
            return Err(PlatformError::Rejected(message.into()));
        }
    }
    Ok(format!("{OBJECTS_PATH}{name}").into())
}

fn not_found() -> PlatformError {
    PlatformError::Rejected("not found".into())
}
