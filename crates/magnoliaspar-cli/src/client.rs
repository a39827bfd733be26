//! The HTTP client of an instance's operators' interface.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use magnoliaspar_query::api::{ErrorCode, ErrorResponse};
use magnoliaspar_settings::Secret;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::failure::Failure;

/// The environment variable with the address of an instance's operators' interface.
const ADDRESS_ENV_VAR: &str = "MAGNOLIASPAR_OPERATORS";

/// The environment variable with the operator's key.
const KEY_ENV_VAR: &str = "MAGNOLIASPAR_KEY";

/// Timeout of a request; it covers the time in which the instance queries the other instances.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client of an instance's operators' interface.
pub(crate) struct Client {
    address: SocketAddr,
    key: Secret,
    http: awc::Client,
}

impl Client {
    /// Creates a client from arguments; environment variables replace missing ones.
    pub(crate) fn new(operators: Option<&str>, key_file: Option<&str>) -> Result<Self, Failure> {
        let address = read_address(operators)?;
        let key = read_key(key_file)?;
        let http = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
        Ok(Self { address, key, http })
    }

    /// Sends a GET request to `path` and parses the response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let req = self.request(Method::GET, path);
        self.read_response(req.send().await).await
    }

    /// Sends `body` to `path` in a POST request and parses the response.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let req = self.request(Method::POST, path);
        self.read_response(req.send_json(body).await).await
    }

    fn request(&self, method: Method, path: &str) -> awc::ClientRequest {
        let url = format!("http://{}{path}", self.address);
        self.http.request(method, url).bearer_auth(self.key.expose())
    }

    async fn read_response<T: DeserializeOwned>(
        &self,
        result: Result<awc::ClientResponse, awc::error::SendRequestError>,
    ) -> Result<T, Failure> {
        let mut response = result.map_err(|err| self.connection_failure(&err.to_string()))?;
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|err| self.connection_failure(&err.to_string()))?;
        let status = response.status();
        if !status.is_success() {
            return Err(self.error_response(status.as_u16(), &body));
        }
        serde_json::from_slice(&body)
            .map_err(|err| self.connection_failure(&format!("the response is malformed: {err}")))
    }

    fn error_response(&self, status: u16, body: &[u8]) -> Failure {
        let message = match serde_json::from_slice::<ErrorResponse>(body) {
            Ok(ErrorResponse { code: ErrorCode::Syntax, syntax: Some(err), .. }) => {
                return err.into();
            }
            Ok(error) => error.message,
            Err(_) => "no reason was given".into(),
        };
        Failure::Refused { address: self.address.to_string().into(), status, message }
    }

    fn connection_failure(&self, cause: &str) -> Failure {
        Failure::Connection { address: self.address.to_string().into(), cause: cause.into() }
    }
}

/// Runs a future to completion on this thread.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

fn read_address(operators: Option<&str>) -> Result<SocketAddr, Failure> {
    let text = match operators {
        Some(text) => text.into(),
        None => std::env::var(ADDRESS_ENV_VAR).map_err(|_| {
            let message = format!("--operators is missing, and {ADDRESS_ENV_VAR} is not set");
            Failure::Usage(message.into())
        })?,
    };
    let message = || format!("{text:?} is not an IP address and a port");
    text.parse().map_err(|_| Failure::Usage(message().into()))
}

fn read_key(key_file: Option<&str>) -> Result<Secret, Failure> {
    let text = match key_file {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|cause| Failure::File { file: file.into(), cause })?,
        None => std::env::var(KEY_ENV_VAR).map_err(|_| {
            let message = format!("--key-file is missing, and {KEY_ENV_VAR} is not set");
            Failure::Usage(message.into())
        })?,
    };
    let key = text.trim();
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(Failure::Usage("the operator's key is empty or malformed".into()));
    }
    Ok(Secret::new(key))
}
