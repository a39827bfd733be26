//! A stand-in for a plain HTTP service, which records the calls it runs.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Request, Response};
use magnoliaspar_http::{Server, ServerError, StopHandle};
use serde_json::json;

use crate::web::{json_response, read_body};

/// A stand-in for a plain HTTP service; it runs on the thread that started it.
#[derive(Clone)]
pub struct PlainService {
    address: SocketAddr,
    calls: Rc<RefCell<Vec<ServiceCall>>>,
    delay: Rc<Cell<Duration>>,
    dropped_answers: Rc<Cell<u32>>,
    stop: StopHandle,
}

/// A call that a service has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: Box<str>,
    /// The path.
    pub path: Box<str>,
    /// The value of the `idempotency-key` header, if there was one.
    pub key: Option<Box<str>>,
    /// The body.
    pub body: Box<str>,
}

impl PlainService {
    /// Starts a service on `address`; port 0 selects a free port.
    pub async fn start(address: SocketAddr) -> Result<Self, ServerError> {
        let calls = Rc::new(RefCell::new(Vec::new()));
        let delay = Rc::new(Cell::new(Duration::ZERO));
        let dropped_answers = Rc::new(Cell::new(0));
        let state = (calls.clone(), delay.clone(), dropped_answers.clone());
        let handler = Rc::new(move |req| {
            let (calls, delay, dropped_answers) = state.clone();
            let call = record_and_respond(req, calls, delay.get(), dropped_answers);
            Box::pin(call) as std::pin::Pin<Box<dyn Future<Output = Response<BoxBody>>>>
        });
        let server = Server::bind(address, handler).await?;
        let service = Self {
            address: server.address(),
            calls,
            delay,
            dropped_answers,
            stop: server.stop_handle(),
        };
        actix_rt::spawn(server.run());
        Ok(service)
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the calls that the service has run, in order of arrival.
    pub fn calls(&self) -> Vec<ServiceCall> {
        self.calls.borrow().clone()
    }

    /// Delays the response to each call by `delay`; the call is recorded before the delay.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    /// Runs the next `count` calls but never responds to them.
    pub fn drop_answers(&self, count: u32) {
        self.dropped_answers.set(count);
    }

    /// Stops the service as a crash would: open connections are closed without a response.
    pub fn crash(&self) {
        self.stop.abort();
    }
}

async fn record_and_respond(
    req: Request,
    calls: Rc<RefCell<Vec<ServiceCall>>>,
    delay: Duration,
    dropped_answers: Rc<Cell<u32>>,
) -> Response<BoxBody> {
    let method = req.method().as_str().into();
    let path = req.path().into();
    let key = req.headers().get("idempotency-key").and_then(|key| key.to_str().ok());
    let key = key.map(Box::from);
    let body = match read_body(req).await {
        Ok(body) => String::from_utf8_lossy(&body).into(),
        Err(refused) => return refused,
    };
    let call = ServiceCall { method, path, key, body };
    let receipt = calls.borrow().len() + 1;
    let reply = json!({ "receipt": receipt, "path": call.path });
    calls.borrow_mut().push(call);
    tokio::time::sleep(delay).await;
    if dropped_answers.get() > 0 {
        dropped_answers.set(dropped_answers.get() - 1);
        std::future::pending::<()>().await;
    }
    json_response(&reply)
}
