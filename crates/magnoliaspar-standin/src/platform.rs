//! The platform's services over HTTP, backed by in-memory fakes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use magnoliaspar_core::{Clock, SystemClock, ZoneName};
use magnoliaspar_fake::{MemoryInstances, MemoryObjects, MemoryTable, MemoryWeights};
use magnoliaspar_http::{Handler, Server, ServerError, StopHandle};
use magnoliaspar_store::protocol::{
    AcquireRequest, INSTANCES_PATH, OBJECTS_PATH, RETRY_AFTER_HEADER, ReadRequest, ScanRequest,
    TABLE_COMMIT_PATH, TABLE_READ_PATH, TABLE_SCAN_PATH, WEIGHTS_PATH,
};
use magnoliaspar_store::{
    InstanceList, ObjectStore, PlatformError, TableService, Transaction, WeightStore,
};
use serde_json::json;

use crate::web::{json_response, json_response_with, query_parameter, read_body, read_json};

/// Delay between two attempts to bind the address of a restored endpoint.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of failed attempts to bind before the next failure is an error.
const MAX_REBIND_ATTEMPTS: u32 = 200;

/// A stand-in for the platform; it runs on the thread that created it.
#[derive(Clone)]
pub struct Platform {
    /// The table service.
    pub table: MemoryTable,
    /// The object store.
    pub objects: MemoryObjects,
    /// The weight store.
    pub weights: MemoryWeights,
    /// The list of instances and backend servers.
    pub instances: MemoryInstances,
}

impl Platform {
    /// Creates a platform without stored data.
    pub fn new() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        Self {
            table: MemoryTable::new(clock.clone()),
            objects: MemoryObjects::new(clock.clone()),
            weights: MemoryWeights::new(clock.clone()),
            instances: MemoryInstances::new(clock),
        }
    }

    /// Serves the platform on `address`.
    ///
    /// Each availability zone may have an endpoint of its own, so that one zone can be
    /// disconnected while the others still reach the platform.
    pub async fn listen(&self, address: SocketAddr) -> Result<PlatformEndpoint, ServerError> {
        let server = Server::bind(address, self.handler()).await?;
        let endpoint = PlatformEndpoint {
            platform: self.clone(),
            address: server.address(),
            stop: Rc::new(RefCell::new(server.stop_handle())),
            is_disconnected: Rc::new(Cell::new(false)),
        };
        actix_rt::spawn(server.run());
        Ok(endpoint)
    }

    fn handler(&self) -> Handler {
        let platform = self.clone();
        Rc::new(move |req| {
            let platform = platform.clone();
            Box::pin(async move { platform.handle(req).await })
        })
    }

    async fn handle(&self, req: Request) -> Response<BoxBody> {
        let path = req.path().to_owned();
        let result = match path.as_str() {
            TABLE_READ_PATH => self.read(req).await,
            TABLE_SCAN_PATH => self.scan(req).await,
            TABLE_COMMIT_PATH => self.commit(req).await,
            WEIGHTS_PATH => self.acquire(req).await,
            INSTANCES_PATH => self.list(&req).await,
            _ => match path.strip_prefix(OBJECTS_PATH) {
                Some(name) => self.object(req, name).await,
                None => Err(json_response_with(StatusCode::NOT_FOUND, &json!({}))),
            },
        };
        result.unwrap_or_else(|refused| refused)
    }

    async fn read(&self, req: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let read: ReadRequest = read_json(req).await?;
        let row = self.table.read(&read.key).await.map_err(error_response)?;
        Ok(json_response(&row))
    }

    async fn scan(&self, req: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let scan: ScanRequest = read_json(req).await?;
        let rows = self.table.scan(&scan.prefix, scan.after.as_ref(), scan.limit).await;
        Ok(json_response(&rows.map_err(error_response)?))
    }

    async fn commit(&self, req: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let transaction: Transaction = read_json(req).await?;
        let outcome = self.table.commit(&transaction).await;
        if matches!(outcome, Err(PlatformError::Ambiguous(_))) {
            // Models a lost response: the calling side learns nothing until its timeout.
            std::future::pending::<()>().await;
        }
        Ok(json_response(&outcome.map_err(error_response)?))
    }

    async fn acquire(&self, req: Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let call: AcquireRequest = read_json(req).await?;
        self.weights.acquire(&call.model, call.bytes).await.map_err(error_response)?;
        Ok(json_response(&json!({})))
    }

    async fn list(&self, req: &Request) -> Result<Response<BoxBody>, Response<BoxBody>> {
        let zone = query_parameter(req, "zone").and_then(|zone| ZoneName::try_from(zone).ok());
        let entries = self.instances.list(zone.as_ref()).await.map_err(error_response)?;
        Ok(json_response(&entries))
    }

    async fn object(
        &self,
        req: Request,
        name: &str,
    ) -> Result<Response<BoxBody>, Response<BoxBody>> {
        if req.method() == Method::PUT {
            let content = read_body(req).await?;
            self.objects.put(name, content).await.map_err(error_response)?;
            return Ok(json_response(&json!({})));
        }
        let Some(content) = self.objects.get(name).await.map_err(error_response)? else {
            return Err(json_response_with(StatusCode::NOT_FOUND, &json!({})));
        };
        Ok(Response::with_body(StatusCode::OK, BoxBody::new(content)))
    }
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

/// An address on which the platform is served; it can be disconnected and restored.
#[derive(Clone)]
pub struct PlatformEndpoint {
    platform: Platform,
    address: SocketAddr,
    stop: Rc<RefCell<StopHandle>>,
    is_disconnected: Rc<Cell<bool>>,
}

impl PlatformEndpoint {
    /// Returns the address on which the endpoint listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and accepts no new ones.
    pub fn disconnect(&self) {
        self.is_disconnected.set(true);
        self.stop.borrow().abort();
    }

    /// Accepts connections again on the same address; does nothing unless it is disconnected.
    pub async fn restore(&self) -> Result<(), ServerError> {
        if !self.is_disconnected.replace(false) {
            return Ok(());
        }
        let mut failed_attempts = 0;
        loop {
            match Server::bind(self.address, self.platform.handler()).await {
                Ok(server) => {
                    *self.stop.borrow_mut() = server.stop_handle();
                    actix_rt::spawn(server.run());
                    return Ok(());
                }
                Err(error) if failed_attempts >= MAX_REBIND_ATTEMPTS => return Err(error),
                Err(_) => failed_attempts += 1,
            }
            tokio::time::sleep(REBIND_DELAY).await;
        }
    }
}

fn error_response(error: PlatformError) -> Response<BoxBody> {
    let message = error.to_string();
    match error {
        PlatformError::RateLimited { retry_after } => {
            let mut res = json_response_with(StatusCode::TOO_MANY_REQUESTS, &message);
            let value = HeaderValue::from(retry_after.as_millis() as u64);
            res.headers_mut().insert(HeaderName::from_static(RETRY_AFTER_HEADER), value);
            res
        }
        PlatformError::Rejected(_) => json_response_with(StatusCode::BAD_REQUEST, &message),
        PlatformError::Unavailable(_) | PlatformError::Ambiguous(_) => {
            let res = json_response_with(StatusCode::SERVICE_UNAVAILABLE, &message);
            res.map_body(|_, _| BoxBody::new(Bytes::new()))
        }
    }
}
