//! Calls of plain services and their replies.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use magnoliaspar_standin::CALLER_KEY;
use serde_json::Value;

/// Timeout of a call, after which its reply counts as broken.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's call of a plain HTTP service through the router.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: Box<str>,
    key: Option<Box<str>>,
    body: Box<str>,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The HTTP status; 0 if the connection failed or timed out.
    pub status: u16,
    /// The error code of a refusal; empty otherwise.
    pub code: Box<str>,
    /// The outcome in a refusal, such as `not_run`; empty otherwise.
    pub outcome: Box<str>,
    /// True if the answer is the stored answer of an earlier attempt.
    pub is_replayed: bool,
    /// The body as JSON; null if it is not JSON.
    pub body: Value,
}

impl Call {
    /// Creates a GET call.
    pub fn get(path: &str) -> Self {
        Self { method: Method::GET, path: path.into(), key: None, body: "".into() }
    }

    /// Creates a POST call.
    pub fn post(path: &str, body: &str) -> Self {
        Self { method: Method::POST, path: path.into(), key: None, body: body.into() }
    }

    /// Adds an idempotency key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sends the call to an instance and reads the whole reply.
    pub async fn send(&self, entry: SocketAddr) -> Reply {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        let url = format!("http://{entry}{}", self.path);
        let mut req = client
            .request(self.method.clone(), url)
            .insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
        if let Some(key) = &self.key {
            req = req.insert_header(("idempotency-key", &**key));
        }
        let Ok(mut res) = req.send_body(self.body.to_string()).await else {
            return Reply::broken();
        };
        let Ok(bytes) = res.body().await else { return Reply::broken() };
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let text = |name: &str| body["error"][name].as_str().unwrap_or_default().into();
        Reply {
            status: res.status().as_u16(),
            code: text("code"),
            outcome: text("outcome"),
            is_replayed: res.headers().contains_key("idempotency-replayed"),
            body,
        }
    }
}

impl Reply {
    /// Returns whether this is a successful answer of the service.
    pub fn is_answer(&self) -> bool {
        self.status == 200
    }

    /// Returns whether this is a refusal with this code and outcome.
    pub fn is_refusal(&self, code: &str, outcome: &str) -> bool {
        &*self.code == code && &*self.outcome == outcome
    }

    fn broken() -> Self {
        Self {
            status: 0,
            code: "".into(),
            outcome: "".into(),
            is_replayed: false,
            body: Value::Null,
        }
    }
}
