//! The HTTP client that the adapters share.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::{Method, StatusCode};
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use magnoliaspar_http::is_never_sent;

use crate::PlatformError;
use crate::protocol::RETRY_AFTER_HEADER;

/// Timeouts of the HTTP adapters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpTimeouts {
    /// Timeout for opening a connection.
    pub connect: Duration,
    /// Timeout of a call, from its start to the last byte of the answer.
    pub request: Duration,
    /// Maximum age of a connection; older ones are replaced.
    pub connection_age: Duration,
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            request: Duration::from_secs(2),
            connection_age: Duration::from_secs(60),
        }
    }
}

/// A client of one service of the platform with its connection pool.
pub(crate) struct ServiceClient {
    address: SocketAddr,
    timeouts: HttpTimeouts,
    client: RefCell<Client>,
}

/// A successful answer, or the answer that the path does not exist.
pub(crate) enum Answer {
    /// The body of a successful answer.
    Content(Bytes),
    /// The path does not exist.
    NotFound,
}

/// The effect of a call on the state of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The call only reads, so a lost answer leaves no ambiguity.
    None,
    /// The call writes.
    Write,
}

impl Effect {
    /// Returns the error of a call that failed after it was sent.
    pub(crate) fn error_after_send(self, message: &str) -> PlatformError {
        match self {
            Self::None => PlatformError::Unavailable(message.into()),
            Self::Write => PlatformError::Ambiguous(message.into()),
        }
    }
}

impl ServiceClient {
    pub(crate) fn new(address: SocketAddr, timeouts: HttpTimeouts) -> Self {
        Self { address, timeouts, client: RefCell::new(build_client(timeouts)) }
    }

    /// Makes one call and reads the whole answer.
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        effect: Effect,
    ) -> Result<Answer, PlatformError> {
        let url = format!("http://{}{path}", self.address);
        let client = self.client.borrow().clone();
        let request = client.request(method, url).timeout(self.timeouts.request);
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) => return Err(self.map_send_error(&error, effect)),
        };
        if let Some(error) = status_error(&response, effect) {
            return Err(error);
        }
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(Answer::NotFound);
        }
        match response.body().limit(MAX_ANSWER_BYTES).await {
            Ok(content) => Ok(Answer::Content(content)),
            Err(error) => {
                self.drop_connections();
                Err(effect.error_after_send(&error.to_string()))
            }
        }
    }

    fn map_send_error(&self, error: &SendRequestError, effect: Effect) -> PlatformError {
        match error {
            SendRequestError::Url(_) | SendRequestError::Http(_) => {
                PlatformError::Rejected(error.to_string().into())
            }
            error if is_never_sent(error) => PlatformError::Unavailable(error.to_string().into()),
            SendRequestError::Timeout => {
                self.drop_connections();
                effect.error_after_send("no answer in time")
            }
            error => effect.error_after_send(&error.to_string()),
        }
    }

    /// Drops all pooled connections, since others may be stalled too; later calls open new ones.
    fn drop_connections(&self) {
        self.client.replace(build_client(self.timeouts));
    }
}

fn status_error<S>(response: &ClientResponse<S>, effect: Effect) -> Option<PlatformError> {
    let status = response.status();
    if status.is_success() || status == StatusCode::NOT_FOUND {
        return None;
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Some(PlatformError::RateLimited { retry_after: retry_after(response) });
    }
    let message = status.to_string();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Some(PlatformError::Unavailable(message.into()));
    }
    if status.is_client_error() {
        return Some(PlatformError::Rejected(message.into()));
    }
    Some(effect.error_after_send(&message))
}

fn retry_after<S>(response: &ClientResponse<S>) -> Duration {
    let Some(value) = response.headers().get(RETRY_AFTER_HEADER) else {
        return DEFAULT_RETRY_AFTER;
    };
    let Some(millis) = value.to_str().ok().and_then(|text| text.parse().ok()) else {
        return DEFAULT_RETRY_AFTER;
    };
    Duration::from_millis(millis)
}

fn build_client(timeouts: HttpTimeouts) -> Client {
    let connector = Connector::new()
        .timeout(timeouts.connect)
        .conn_lifetime(timeouts.connection_age)
        .conn_keep_alive(timeouts.connection_age);
    // A redirect would send a write twice.
    Client::builder().connector(connector).disable_redirects().finish()
}

/// The time to wait before a retry if a rate-limited answer names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
