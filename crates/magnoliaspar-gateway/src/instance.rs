//! The life of one instance: listeners, followers, and the end.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use magnoliaspar_core::{Incarnation, InstanceName};
use magnoliaspar_http::{ConnectionLimits, Handler, Server, ServerError};
use magnoliaspar_order::{LeaseController, LeaseSettings};
use magnoliaspar_store::{Backoff, TableService, TimerSleep};
use tokio::signal::unix::{SignalKind, signal};

use crate::directory::ServerRecord;
use crate::feed::{Feed, follow};
use crate::gateway::{Gateway, RoutingFollower};
use crate::guarantees::{Guarantee, is_disabled};
use crate::handler;
use crate::peers::{self, Peers};
use crate::roles::{RoleController, RoleOrders};
use crate::route::{CallerLimits, Routing};

/// How often idle connections and vanished servers are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How much longer than callers may be idle their connections are kept, so that no request meets a
/// close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(5);

/// How long an instance that stops takes new connections, until the balancer has noticed.
///
/// The balancer asks once a second and turns away after two misses.
const CLOSE_DELAY: Duration = Duration::from_millis(3_200);

/// How long before the end of the grace period the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// How often a stopping instance looks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// How long the lease for orders to engines lasts; much longer than engines take to see who orders.
const LEASE_DURATION: Duration = Duration::from_secs(15);

/// What the lease for orders to engines is called.
const LEASE_NAME: &str = "roles";

/// What the gateway takes from the platform.
pub struct Platform {
    /// The configuration.
    pub routing: Rc<dyn Feed<Routing>>,
    /// The list of servers.
    pub servers: Rc<dyn Feed<ServerRecord>>,
    /// What lasts: the lease for orders.
    pub table: Rc<dyn TableService>,
    /// Orders to engines.
    pub orders: Rc<dyn RoleOrders>,
}

/// Reads the settings again; logs what it finds.
pub type Reload = Rc<dyn Fn(&Gateway)>;

/// One instance with its listeners.
pub struct Instance {
    gateway: Rc<Gateway>,
    requests: Server,
    readiness: Server,
    metrics: Server,
    peers: Rc<Peers>,
    limits: Rc<Cell<ConnectionLimits>>,
}

/// Where an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub requests: SocketAddr,
    /// For the question whether it is ready.
    pub readiness: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For the other instances.
    pub peers: SocketAddr,
}

impl Instance {
    /// Opens the listeners that the settings name; port 0 takes a free port.
    pub async fn bind(gateway: Rc<Gateway>) -> Result<Self, ServerError> {
        let settings = gateway.settings();
        let limits = Rc::new(Cell::new(connection_limits(&CallerLimits::default())));
        let requests = Server::bind(settings.requests, request_handler(&gateway)).await?;
        let requests = requests.with_limits(limits.clone());
        let readiness = Server::bind(settings.readiness, readiness_handler(&gateway)).await?;
        let metrics = Server::bind(settings.metrics, metrics_handler(&gateway)).await?;
        let peers = bind_peers(&gateway).await?;
        gateway.set_peers(peers.clone());
        Ok(Self { gateway, requests, readiness, metrics, peers, limits })
    }

    /// Returns where the instance listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            requests: self.requests.address(),
            readiness: self.readiness.address(),
            metrics: self.metrics.address(),
            peers: self.peers.address(),
        }
    }

    /// Runs until `stop` is ready and the requests have ended.
    pub async fn run(self, platform: Platform, reload: Reload, stop: impl Future<Output = ()>) {
        let Self { gateway, requests, readiness, metrics, peers, limits } = self;
        let settings = gateway.settings();
        let instance = &*settings.instance;
        let zone = &*settings.zone;
        log::info!(instance, zone, requests:% = requests.address(), metrics:% = metrics.address(), peers:% = peers.address(); "started");
        let request_stop = requests.stop_handle();
        actix_rt::spawn(requests.run());
        actix_rt::spawn(readiness.run());
        actix_rt::spawn(metrics.run());
        let routing = Rc::new(RoutingFollower(gateway.clone()));
        actix_rt::spawn(follow("configuration", platform.routing, routing));
        actix_rt::spawn(follow("servers", platform.servers, gateway.clone()));
        actix_rt::spawn(peers::listen(gateway.clone(), peers.clone()));
        actix_rt::spawn(peers::heartbeat(gateway.clone(), peers));
        match lease(&gateway, platform.table) {
            Some(lease) => {
                let roles = RoleController::new(gateway.clone(), lease, platform.orders);
                actix_rt::spawn(roles.run());
            }
            None => log::warn!(instance; "name_gives_no_lease"),
        }
        tokio::select! {
            () = stop => {}
            () = maintain(&gateway, &limits, &reload) => {}
        }
        log::info!(instance, in_flight = gateway.in_flight(); "stopping");
        let limit = settings.grace.saturating_sub(GRACE_MARGIN);
        gateway.stop(gateway.clock.now() + limit);
        gateway.announce_end(false);
        drain(&gateway, &request_stop, limit).await;
        if is_disabled(Guarantee::Stop) {
            std::future::pending::<()>().await;
        }
        gateway.is_stopped.set(true);
        gateway.announce_end(true);
        log::info!(instance, in_flight = gateway.in_flight(); "stopped");
    }
}

/// Does what comes up at an interval: idle connections, vanished servers, changed settings.
async fn maintain(gateway: &Gateway, limits: &Cell<ConnectionLimits>, reload: &Reload) {
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        sweep.tick().await;
        gateway.sweep();
        reload(gateway);
        if let Some(routing) = gateway.routing() {
            limits.set(connection_limits(&routing.limits));
        }
    }
}

/// Waits until the process is told to stop by SIGTERM or SIGINT; SIGHUP has settings read again.
pub async fn stop_signal(gateway: Rc<Gateway>, reload: Reload) {
    let mut term = signal(SignalKind::terminate()).expect("the runtime handles signals");
    let mut interrupt = signal(SignalKind::interrupt()).expect("the runtime handles signals");
    let mut hangup = signal(SignalKind::hangup()).expect("the runtime handles signals");
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => reload(&gateway),
        }
    }
}

/// Returns the lease for orders; none if the instance's name cannot be written into it.
fn lease(gateway: &Gateway, table: Rc<dyn TableService>) -> Option<LeaseController> {
    let settings = gateway.settings();
    let instance = InstanceName::try_from(&*settings.instance).ok()?;
    let nonce = gateway.with_rng(|rng| rng.next_u64());
    let backoff = Backoff::new(Rc::new(TimerSleep));
    Some(LeaseController::new(LeaseSettings {
        table,
        clock: gateway.clock.clone(),
        backoff,
        instance,
        incarnation: Incarnation(nonce),
        nonce,
        name: LEASE_NAME.into(),
        duration: LEASE_DURATION,
    }))
}

async fn bind_peers(gateway: &Gateway) -> Result<Rc<Peers>, ServerError> {
    let settings = gateway.settings();
    let address = settings.peers;
    let servers_position = gateway.servers_position.clone();
    let bound = Peers::bind(&settings, servers_position, gateway.clock.now()).await;
    let peers =
        bound.map_err(|error| ServerError::Bind { address, message: error.to_string().into() })?;
    Ok(Rc::new(peers))
}

/// Takes connections until callers are sent elsewhere, then waits for the last request.
async fn drain(gateway: &Gateway, stop_handle: &magnoliaspar_http::StopHandle, limit: Duration) {
    let start = gateway.clock.now();
    tokio::time::sleep(CLOSE_DELAY.min(limit)).await;
    stop_handle.stop();
    while gateway.in_flight() > 0 && gateway.clock.now() - start < limit {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

fn connection_limits(limits: &CallerLimits) -> ConnectionLimits {
    ConnectionLimits {
        keep_alive: limits.idle_timeout + KEEP_ALIVE_MARGIN,
        head_timeout: limits.head_timeout,
        allow_half_closed: false,
    }
}

type ResponseFuture = Pin<Box<dyn Future<Output = Response<BoxBody>>>>;

fn request_handler(gateway: &Rc<Gateway>) -> Handler {
    let gateway = gateway.clone();
    Rc::new(move |req: Request| -> ResponseFuture {
        Box::pin(handler::serve(gateway.clone(), req))
    })
}

fn readiness_handler(gateway: &Rc<Gateway>) -> Handler {
    let gateway = gateway.clone();
    Rc::new(move |_: Request| -> ResponseFuture {
        let status = match gateway.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        Box::pin(async move { Response::new(status) })
    })
}

fn metrics_handler(gateway: &Rc<Gateway>) -> Handler {
    let gateway = gateway.clone();
    Rc::new(move |_: Request| -> ResponseFuture {
        let text = gateway.metrics.encode();
        Box::pin(async move { Response::new(StatusCode::OK).set_body(text.boxed()) })
    })
}
