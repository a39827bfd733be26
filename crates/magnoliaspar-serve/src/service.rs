//! The HTTP client for plain services.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, Payload};
use awc::{Client, ClientResponse, Connector};
use displaydoc::Display;
use futures_util::TryStreamExt;
use magnoliaspar_core::RequestId;
use magnoliaspar_http::is_never_sent;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum age of a pooled connection.
const CONNECTION_MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum idle time of a pooled connection.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Header with the identifier of the request.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the time until the caller's deadline in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
];

/// Calls plain services over HTTP.
pub struct ServiceClient {
    client: Client,
}

/// A call to forward.
pub struct ServiceCall<'a> {
    /// The method.
    pub method: Method,
    /// The path with the query string.
    pub path: &'a str,
    /// The headers of the caller.
    pub headers: &'a HeaderMap,
    /// The identifier of the request.
    pub request_id: &'a RequestId,
    /// The time until the caller's deadline, if it has one.
    pub time_left: Option<Duration>,
    /// The body.
    pub body: Payload,
}

impl ServiceClient {
    /// Creates a client with its own connection pool.
    pub fn new() -> Self {
        let connector = Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_lifetime(CONNECTION_MAX_AGE)
            .conn_keep_alive(CONNECTION_IDLE_TIMEOUT);
        let client =
            Client::builder().connector(connector).disable_timeout().disable_redirects().finish();
        Self { client }
    }

    /// Forwards a call and waits up to `timeout` for the head of the response.
    pub async fn call(
        &self,
        server: SocketAddr,
        call: ServiceCall<'_>,
        timeout: Duration,
    ) -> Result<ClientResponse, ServiceError> {
        let url = format!("http://{server}{}", call.path);
        let mut req = self.client.request(call.method, url);
        for (name, value) in call.headers {
            if is_forwarded(name.as_str()) {
                req = req.insert_header((name.clone(), value.clone()));
            }
        }
        if let Some(time_left) = call.time_left {
            req = req.insert_header((DEADLINE_HEADER, time_left.as_millis().to_string()));
        }
        req = req.insert_header((REQUEST_ID_HEADER, call.request_id.as_str()));
        let sent = req.send_stream(call.body.map_err(|error| error.to_string()));
        match tokio::time::timeout(timeout, sent).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(error)) if is_never_sent(&error) => {
                Err(ServiceError::NotReached(error.to_string().into()))
            }
            Ok(Err(error)) => Err(ServiceError::Lost(error.to_string().into())),
            Err(_) => Err(ServiceError::Stalled(timeout)),
        }
    }
}

impl Default for ServiceClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether a header is forwarded to the next hop.
pub fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name) && name != "authorization"
}

/// An error when calling a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum ServiceError {
    /// the server cannot be reached, so the call was not run: {0}
    NotReached(Box<str>),
    /// the connection broke, and the call may have run: {0}
    Lost(Box<str>),
    /// no answer within {0:?}, and the call may have run
    Stalled(Duration),
}

impl std::error::Error for ServiceError {}
