//! An HTTP server with adjustable connection limits and a stop handle.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Payload, Protocol, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use displaydoc::Display;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection::{BodyReader, CallerEnd, Connection, HeldBody, linger};
use crate::connections::Connections;

/// A function that answers one request.
pub type Handler =
    Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response<BoxBody>>>> + 'static>;

/// Default idle timeout of a connection between two requests.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(30);

/// Default timeout for receiving the head of a request.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of the connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Idle timeout of a connection between two requests.
    pub keep_alive: Duration,
    /// Timeout for receiving the head of the first request; a change applies to new connections.
    pub head_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self { keep_alive: DEFAULT_KEEP_ALIVE, head_timeout: DEFAULT_HEAD_TIMEOUT }
    }
}

/// The limits in force of a listener's connections, which may be changed while its server runs.
#[derive(Debug, Default)]
pub struct Limits {
    current: Cell<ConnectionLimits>,
    connections: Option<Rc<Connections>>,
    changed: Notify,
}

impl Limits {
    /// Creates the limits of a listener.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { current: Cell::new(limits), connections: None, changed: Notify::new() }
    }

    /// Sets a maximum of open connections.
    pub fn with_connections(mut self, connections: Rc<Connections>) -> Self {
        self.connections = Some(connections);
        self
    }

    /// Returns the open connections, if they have a maximum.
    pub fn connections(&self) -> Option<&Rc<Connections>> {
        self.connections.as_ref()
    }

    /// Returns the limits in force.
    pub fn get(&self) -> ConnectionLimits {
        self.current.get()
    }

    /// Sets the limits in force.
    pub fn set(&self, limits: ConnectionLimits) {
        if self.current.replace(limits) != limits {
            self.changed.notify_waiters();
        }
    }

    /// Waits until a connection has been idle for the idle timeout in force.
    async fn idle_timeout(&self, end: &CallerEnd) {
        loop {
            let changed = self.changed.notified();
            let keep_alive = self.get().keep_alive;
            let now = Instant::now();
            let due = end.idle_since().unwrap_or(now) + keep_alive;
            if end.idle_since().is_some() && due <= now {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = changed => {}
            }
        }
    }
}

/// A listener and the handler for its requests.
pub struct Server {
    listener: TcpListener,
    handler: Handler,
    stop: StopHandle,
    limits: Rc<Limits>,
}

impl Server {
    /// Listens on `address`; port 0 selects a free port.
    pub async fn bind(address: SocketAddr, handler: Handler) -> Result<Self, ServerError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| ServerError::Bind { address, message: error.to_string().into() })?;
        Ok(Self::from_listener(listener, handler))
    }

    /// Creates a server for a listener that is already bound.
    pub fn from_listener(listener: TcpListener, handler: Handler) -> Self {
        let limits = Rc::default();
        Self { listener, handler, stop: StopHandle::default(), limits }
    }

    /// Sets the connection limits, which may be changed while the server runs.
    pub fn with_limits(mut self, limits: Rc<Limits>) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound listener has an address")
    }

    /// Returns a handle that stops the server.
    pub fn stop_handle(&self) -> StopHandle {
        self.stop.clone()
    }

    /// Accepts connections until the server is stopped, with those that were made before, and serves each in its
    /// own task.
    pub async fn run(self) {
        let mut limits = self.limits.get();
        let Some(mut service) = build_service(&self.handler, limits).await else { return };
        loop {
            let accepted = tokio::select! {
                // Connections that the kernel has accepted before the stop are served: closing the listener
                // resets them.
                biased;
                accepted = self.listener.accept() => accepted,
                () = self.stop.stopped() => return,
            };
            let Ok((stream, _)) = accepted else {
                if self.stop.0.is_stopped.get() {
                    return;
                }
                // The process is out of file descriptors; wait for connections to close.
                actix_rt::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if limits != self.limits.get() {
                limits = self.limits.get();
                service = match build_service(&self.handler, limits).await {
                    Some(service) => service,
                    None => return,
                };
            }
            spawn_connection(service.clone(), self.stop.clone(), self.limits.clone(), stream);
        }
    }
}

/// A connection as the HTTP service takes it.
type Accepted = (Connection, Protocol, Option<SocketAddr>);

async fn build_service(
    handler: &Handler,
    limits: ConnectionLimits,
) -> Option<Rc<impl Service<Accepted> + 'static>> {
    let handler = handler.clone();
    let service = HttpService::build()
        // The idle timeout in force is watched beside the service.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(limits.head_timeout)
        // The handlers see the end of their caller and give up by themselves, with a response.
        .h1_allow_half_closed(true)
        .on_connect_ext(|connection: &Connection, data| {
            data.insert(connection.end().clone());
        })
        .finish(fn_service(move |mut req: Request| {
            let end = CallerEnd::of(&req);
            let in_hand = end.take_in_hand();
            if let Payload::H1 { payload } = req.take_payload() {
                *req.payload() = Payload::Stream { payload: Box::pin(BodyReader { payload, end }) };
            }
            let answer = handler(req);
            async move {
                let response = answer.await.map_body(|_, body| HeldBody::new(body, in_hand));
                Ok::<_, Infallible>(response)
            }
        }));
    service.new_service(()).await.ok().map(Rc::new)
}

fn spawn_connection<S>(service: Rc<S>, stop: StopHandle, limits: Rc<Limits>, stream: TcpStream)
where
    S: Service<Accepted> + 'static,
{
    let _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().ok();
    let end = CallerEnd::default();
    if let Some(connections) = limits.connections() {
        // Without room, the connection is closed.
        let Some(place) = connections.admit(&end) else { return };
        end.set_place(place);
    }
    let stream = Rc::new(RefCell::new(stream));
    let connection = Connection::new(stream.clone(), end.clone());
    let accepted = (connection, Protocol::Http1, peer);
    let place = PlaceGuard(end.clone());
    actix_rt::spawn(async move {
        let _place = place;
        tokio::select! {
            // A request that has arrived goes before the idle timeout.
            biased;
            _ = service.call(accepted) => {}
            () = stop.aborted() => return,
            () = limits.idle_timeout(&end) => {}
            () = end.closing() => {}
        }
        drop(service);
        // A connection that gives way has nothing left to be read by its caller.
        if end.is_closed() || end.is_evicted() {
            return;
        }
        let Some(stream) = Rc::into_inner(stream) else { return };
        tokio::select! {
            () = linger(stream.into_inner()) => {}
            () = end.evicted() => {}
            () = stop.aborted() => {}
        }
    });
}

/// Gives back the place of a connection when its task ends: the place and the connection's state hold each other.
struct PlaceGuard(CallerEnd);

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        self.0.leave();
    }
}

/// A handle that stops a server.
#[derive(Debug, Clone, Default)]
pub struct StopHandle(Rc<StopState>);

#[derive(Debug, Default)]
struct StopState {
    is_stopped: Cell<bool>,
    is_aborted: Cell<bool>,
    changed: Notify,
}

impl StopHandle {
    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        self.0.is_stopped.set(true);
        self.0.changed.notify_waiters();
    }

    /// Stops accepting connections and closes the open ones at once, like a crash.
    pub fn abort(&self) {
        self.0.is_aborted.set(true);
        self.stop();
    }

    async fn stopped(&self) {
        self.wait(|state| state.is_stopped.get()).await;
    }

    async fn aborted(&self) {
        self.wait(|state| state.is_aborted.get()).await;
    }

    async fn wait(&self, condition: impl Fn(&StopState) -> bool) {
        loop {
            let changed = self.0.changed.notified();
            if condition(&self.0) {
                return;
            }
            changed.await;
        }
    }
}

/// The reason why a server cannot start.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum ServerError {
    /// cannot listen on {address}: {message}
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error message of the operating system.
        message: Box<str>,
    },
}

impl std::error::Error for ServerError {}
