//! Lifecycle of one instance: listeners, feeds, background tasks and shutdown.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use magnoliaspar_core::{Incarnation, InstanceName};
use magnoliaspar_http::{ConnectionLimits, Handler, Limits, Server, ServerError};
use magnoliaspar_order::{LeaseController, LeaseSettings};
use magnoliaspar_store::{Backoff, TableService, TimerSleep};
use tokio::signal::unix::{SignalKind, signal};

use crate::copy::{copy_configuration, copy_servers};
use crate::departures::learn_departures;
use crate::directory::ServerRecord;
use crate::feed::{Feed, follow};
use crate::gateway::{Gateway, RoutingFollower};
use crate::guarantees::{Guarantee, is_disabled};
use crate::peers::{self, Peers};
use crate::permits::spread_limits;
use crate::quarantine_page;
use crate::roles::{RoleController, RoleOrders};
use crate::route::{CallerLimits, Routing};
use crate::stored_quarantine::keep_quarantine;
use crate::{copy, handler, memory};

/// Interval at which idle connections and removed servers are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Margin beyond the callers' idle timeout for which connections are kept open, so that no request
/// crosses a close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(5);

/// Time for which a stopping instance still accepts connections, until the balancer has noticed.
///
/// The balancer checks once per second and redirects connections after two failures.
const CLOSE_DELAY: Duration = Duration::from_millis(3_200);

/// Margin between the latest exit of the process and the end of the grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Interval at which a stopping instance checks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Duration of the lease for role orders; much longer than an engine takes to check the sender.
const LEASE_DURATION: Duration = Duration::from_secs(15);

/// Maximum number of free ports to try for the address of the other instances.
const MAX_BIND_ATTEMPTS: u32 = 10;

/// Name of the lease for role orders.
const LEASE_NAME: &str = "roles";

/// Services of the platform that the gateway uses.
pub struct Platform {
    /// The feed of the configuration.
    pub routing: Rc<dyn Feed<Routing>>,
    /// The feed of the list of servers.
    pub servers: Rc<dyn Feed<ServerRecord>>,
    /// The durable table that holds the lease for role orders.
    pub table: Rc<dyn TableService>,
    /// Sender of role orders.
    pub orders: Rc<dyn RoleOrders>,
}

/// Reloads the settings and logs the result.
pub type Reload = Rc<dyn Fn(&Gateway)>;

/// One instance with its listeners.
pub struct Instance {
    gateway: Rc<Gateway>,
    requests: Server,
    readiness: Server,
    metrics: Server,
    peers: Rc<Peers>,
    copies: Server,
    limits: Rc<Limits>,
}

/// Addresses on which an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub requests: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For the other instances: datagrams, and copies over TCP.
    pub peers: SocketAddr,
}

impl Instance {
    /// Opens the listeners in the settings; port 0 selects a free port.
    pub async fn bind(gateway: Rc<Gateway>) -> Result<Self, ServerError> {
        let settings = gateway.settings();
        let limits = Limits::new(connection_limits(&CallerLimits::default()));
        let limits = Rc::new(limits.with_connections(memory::create_connections(&gateway)));
        let requests = Server::bind(settings.requests, request_handler(&gateway)).await?;
        let requests = requests.with_limits(limits.clone());
        let readiness = Server::bind(settings.readiness, readiness_handler(&gateway)).await?;
        let metrics = Server::bind(settings.metrics, metrics_handler(&gateway)).await?;
        let (peers, copies) = bind_peers(&gateway).await?;
        gateway.set_peers(peers.clone());
        gateway.request_address.set(Some(requests.address()));
        Ok(Self { gateway, requests, readiness, metrics, peers, copies, limits })
    }

    /// Returns the addresses on which the instance listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            requests: self.requests.address(),
            readiness: self.readiness.address(),
            metrics: self.metrics.address(),
            peers: self.peers.address(),
        }
    }

    /// Runs until `stop` completes and the requests have ended.
    pub async fn run(self, platform: Platform, reload: Reload, stop: impl Future<Output = ()>) {
        let Self { gateway, requests, readiness, metrics, peers, copies, limits } = self;
        let settings = gateway.settings();
        let instance = &*settings.instance;
        let zone = &*settings.zone;
        log::info!(instance, zone, requests:% = requests.address(), metrics:% = metrics.address(), peers:% = peers.address(); "started");
        let request_stop = requests.stop_handle();
        actix_rt::spawn(requests.run());
        actix_rt::spawn(readiness.run());
        actix_rt::spawn(metrics.run());
        actix_rt::spawn(copies.run());
        actix_rt::spawn(keep_quarantine(gateway.clone(), platform.table.clone()));
        let routing = Rc::new(RoutingFollower(gateway.clone()));
        actix_rt::spawn(follow("configuration", platform.routing, routing));
        actix_rt::spawn(follow("servers", platform.servers, gateway.clone()));
        actix_rt::spawn(peers::listen(gateway.clone(), peers.clone()));
        actix_rt::spawn(spread_limits(gateway.clone()));
        actix_rt::spawn(copy_configuration(gateway.clone(), peers.clone()));
        actix_rt::spawn(copy_servers(gateway.clone(), peers.clone()));
        actix_rt::spawn(learn_departures(gateway.clone(), peers.clone()));
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
        gateway.log_cut_requests();
        log::info!(instance, in_flight = gateway.in_flight(); "stopped");
    }
}

/// Runs periodic maintenance: idle connections, removed servers, changed settings.
async fn maintain(gateway: &Gateway, limits: &Limits, reload: &Reload) {
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        sweep.tick().await;
        gateway.sweep();
        reload(gateway);
        if let Some(connections) = limits.connections() {
            memory::report_connections(gateway, connections);
        }
        if let Some(routing) = gateway.routing() {
            limits.set(connection_limits(&routing.limits));
        }
    }
}

/// Waits for SIGTERM or SIGINT; SIGHUP reloads the settings.
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

/// Returns the controller of the lease for role orders; `None` if the instance's name is not valid
/// in a lease.
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

/// Binds the address for the other instances, for datagrams and over TCP.
async fn bind_peers(gateway: &Rc<Gateway>) -> Result<(Rc<Peers>, Server), ServerError> {
    let settings = gateway.settings();
    let mut attempts = 0;
    loop {
        // Free ports are chosen for TCP, where closed connections keep thousands of them for a minute.
        let copies = Server::bind(settings.peers, copy_handler(gateway)).await?;
        let address = copies.address();
        let servers_position = gateway.servers_position.clone();
        let now = gateway.clock.now();
        attempts += 1;
        match Peers::bind(&settings, address, servers_position, now).await {
            Ok(peers) => return Ok((Rc::new(peers), copies)),
            // A port that is free for TCP may be taken for datagrams.
            Err(_) if settings.peers.port() == 0 && attempts < MAX_BIND_ATTEMPTS => {}
            Err(error) => {
                return Err(ServerError::Bind { address, message: error.to_string().into() });
            }
        }
    }
}

/// Accepts connections until the balancer has redirected callers, then waits for the last request.
async fn drain(gateway: &Gateway, stop_handle: &magnoliaspar_http::StopHandle, limit: Duration) {
    let start = gateway.clock.now();
    tokio::time::sleep(CLOSE_DELAY.min(limit)).await;
    stop_handle.stop();
    loop {
        // Connections that were made before have time to send their requests.
        tokio::time::sleep(DRAIN_POLL).await;
        if gateway.in_flight() == 0 || gateway.clock.now() - start >= limit {
            return;
        }
    }
}

fn connection_limits(limits: &CallerLimits) -> ConnectionLimits {
    ConnectionLimits {
        keep_alive: limits.idle_timeout + KEEP_ALIVE_MARGIN,
        head_timeout: limits.head_timeout,
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
    Rc::new(move |req: Request| -> ResponseFuture {
        let response = quarantine_page::respond(&gateway, &req).unwrap_or_else(|| {
            Response::new(StatusCode::OK).set_body(gateway.metrics.encode().boxed())
        });
        Box::pin(async move { response })
    })
}

fn copy_handler(gateway: &Rc<Gateway>) -> Handler {
    let gateway = gateway.clone();
    Rc::new(move |req: Request| -> ResponseFuture {
        let response = copy::respond(&gateway, &req);
        Box::pin(async move { response })
    })
}
