//! The HTTP client for plain services.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_http::{Method, Payload, StatusCode};
use awc::{Client, ClientResponse, Connector};
use displaydoc::Display;
use futures_util::TryStreamExt;
use magnoliaspar_core::RequestId;
use magnoliaspar_http::{is_never_sent, is_valid_status};

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
        let is_head = call.method == Method::HEAD;
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
            Ok(Ok(res)) if !is_valid_status(res.status()) => {
                Err(ServiceError::Lost(format!("status {}", res.status()).into()))
            }
            Ok(Ok(res)) if is_head || has_announced_end(&res) => Ok(res),
            Ok(Ok(_)) => Err(ServiceError::Lost(UNANNOUNCED_END.into())),
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

/// Message for a response that only the end of its connection would end.
const UNANNOUNCED_END: &str = "the response has neither a length nor chunks";

/// Returns whether a response has a length, chunks or no body.
///
/// The HTTP client takes other bodies for empty, and the connections of a process that ends are closed like those
/// of one that has sent all.
fn has_announced_end(res: &ClientResponse) -> bool {
    let has_no_body = matches!(res.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = res.headers();
    let encoding = headers.get(header::TRANSFER_ENCODING);
    let is_chunked =
        encoding.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    has_no_body || is_chunked || headers.contains_key(header::CONTENT_LENGTH)
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

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;
    use std::time::Duration;

    use actix_http::header::HeaderMap;
    use actix_http::{Method, Payload};
    use magnoliaspar_core::RequestId;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    use super::{ServiceCall, ServiceClient, ServiceError};

    /// Calls a service that sends a response and closes its connection; returns the body.
    async fn call(response: &'static str) -> Result<Box<str>, ServiceError> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            stream.write_all(response.as_bytes()).await.unwrap();
        });
        let call = ServiceCall {
            method: Method::GET,
            path: "/",
            headers: &HeaderMap::new(),
            request_id: &RequestId::random(),
            time_left: None,
            body: Payload::None,
        };
        let mut res = ServiceClient::new().call(address, call, Duration::from_secs(2)).await?;
        let body = res.body().await.unwrap();
        Ok(String::from_utf8_lossy(&body).into())
    }

    /// Guards against a status that HTTP does not have reaching a caller.
    #[actix_rt::test]
    async fn an_answer_with_an_invalid_status_is_lost() {
        for status in ["000", "099", "600", "999"] {
            let head = format!("HTTP/1.1 {status} Status\r\nContent-Length: 4\r\n\r\nbody");
            let result = call(head.leak()).await;
            assert!(matches!(result, Err(ServiceError::Lost(_))), "{status}: {result:?}");
        }
    }

    #[actix_rt::test]
    async fn an_answer_that_only_the_end_of_its_connection_ends_is_lost() {
        for head in ["HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody"] {
            let result = call(head).await;
            assert!(matches!(result, Err(ServiceError::Lost(_))), "{head:?}: {result:?}");
        }
        let whole = call("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody").await;
        assert_eq!(whole.unwrap(), "body".into());
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        assert_eq!(call(chunked).await.unwrap(), "body".into());
        assert_eq!(call("HTTP/1.1 204 No Content\r\n\r\n").await.unwrap(), "".into());
    }
}
