//! Starts, drains and stops an instance.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use displaydoc::Display;
use log::info;
use magnoliaspar_claim::{ClaimController, ClaimSettings};
use magnoliaspar_configuration::ConfigurationStore;
use magnoliaspar_core::{Clock, Incarnation, SystemClock};
use magnoliaspar_engine::HttpConnector;
use magnoliaspar_http::{Handler, Server, ServerError, StopHandle};
use magnoliaspar_reaper::ReaperId;
use magnoliaspar_settings::Settings;
use magnoliaspar_store::{
    Backoff, HttpInstanceList, HttpObjectStore, HttpTableService, HttpTimeouts, ListEntry,
    ListState, ListedKind, PlatformRates, RateLimitedTable, TimerSleep, TokenBucket,
};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::caller::{self, ServiceLoad, ServiceResilience};
use crate::claims;
use crate::cluster::{self, ClusterDependents, ClusterState};
use crate::directory::Directory;
use crate::engines::EngineMonitor;
use crate::instance::{AUTH_EVENTS_BURST, AUTH_EVENTS_PER_SECOND, ConfigurationSlot, Instance};
use crate::journal::Journal;
use crate::limit::ConcurrencyLimits;
use crate::metrics::Metrics;
use crate::operator::{self, ZoneOrders};
use crate::peer::{PeerClients, PeerServer, RendezvousHomeChooser};
use crate::progress::InProgress;
use crate::quarantine::QuarantineState;
use crate::reaping::{ReapingController, StreamOwnership};
use crate::run::{AttemptIdGenerator, Driver, LocalHome, RunOpener, ShardMap};
use crate::service::ServiceClient;

/// Timeout for progress on a connection to an engine.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before an instance stops after a drain, so that the last bytes of answers are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(100);

/// Incarnation of this instance until the platform's list provides the actual one.
const UNLISTED_INCARNATION: Incarnation = Incarnation(0);

/// Rate budget of the table service for claims, shared by all instances.
const CLAIM_RATE_BUDGET: PlatformRates =
    PlatformRates { writes_per_second: 200.0, reads_per_second: 1_000.0 };

/// Rate budget of the table service for everything else, separate so that claims cannot delay it.
const STATE_RATE_BUDGET: PlatformRates =
    PlatformRates { writes_per_second: 100.0, reads_per_second: 1_000.0 };

/// Interval between two checks of the unfinished requests during a drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All requests ended before the drain's time limit.
    Drained,
    /// The drain reached its time limit, and requests were cut off.
    Cut {
        /// The number of unfinished requests and of claim outcomes that were not written.
        requests: usize,
    },
}

/// An error when starting an instance.
#[derive(Debug)]
#[derive(Display)]
pub enum ServeError {
    /// {0}
    Listen(ServerError),
    /// signals cannot be received: {0}
    Signal(std::io::Error),
}

impl std::error::Error for ServeError {}

/// Runs an instance until SIGTERM or SIGINT, then drains it.
pub async fn serve(settings: Settings) -> Result<Exit, ServeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(ServeError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(ServeError::Signal)?;
    let handle = start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(handle.drain().await)
}

/// Starts an instance on the current thread.
pub async fn start(settings: Settings) -> Result<InstanceHandle, ServeError> {
    let callers = BoundListener::bind(settings.callers).await?;
    let peers = BoundListener::bind(settings.peers).await?;
    let operators = BoundListener::bind(settings.operators).await?;
    let addresses =
        Addresses { callers: callers.address, peers: peers.address, operators: operators.address };
    let connector = Rc::new(HttpConnector::new(PROGRESS_TIMEOUT));
    let instance = build_instance(settings, addresses, connector.clone());
    spawn_background_tasks(&instance, connector);
    let caller_stop = callers.serve(caller_handler(instance.clone()));
    let operator_stop = operators.serve(operator_handler(instance.clone()));
    let peer_server = PeerServer::start(instance.clone(), peers.listener);
    log_addresses(&instance, &addresses);
    Ok(InstanceHandle { instance, addresses, caller_stop, operator_stop, peer_server })
}

/// The listening addresses of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
}

/// A listener that is bound but not served yet.
struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
}

impl BoundListener {
    async fn bind(address: SocketAddr) -> Result<Self, ServeError> {
        let bound = TcpListener::bind(address).await;
        let bound = bound.and_then(|listener| Ok((listener.local_addr()?, listener)));
        match bound {
            Ok((address, listener)) => Ok(Self { listener, address }),
            Err(error) => {
                let message = error.to_string().into();
                Err(ServeError::Listen(ServerError::Bind { address, message }))
            }
        }
    }

    fn serve(self, handler: Handler) -> StopHandle {
        let server = Server::from_listener(self.listener, handler);
        let stop = server.stop_handle();
        actix_rt::spawn(server.run());
        stop
    }
}

/// Logs the listening addresses, since the settings may leave the choice of ports to the system.
fn log_addresses(instance: &Instance, addresses: &Addresses) {
    let Addresses { callers, peers, operators } = addresses;
    info!(
        instance = instance.settings.instance.as_str(),
        callers:%,
        peers:%,
        operators:%;
        "the instance listens on {callers}"
    );
}

fn build_instance(
    settings: Settings,
    addresses: Addresses,
    connector: Rc<HttpConnector>,
) -> Rc<Instance> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let configuration = Rc::new(ConfigurationSlot::default());
    let directory = Rc::new(Directory::default());
    let journal = Journal::new(clock.clone(), settings.instance.clone());
    let own_incarnation = incarnation_at(&*clock);
    let ownership = StreamOwnership::new(clock.clone(), settings.instance.clone(), own_incarnation);
    let quarantine = QuarantineState::new(clock.clone(), journal.clone(), connector.clone());
    let driver = Driver {
        clock: clock.clone(),
        connector,
        attempts: Rc::new(AttemptIdGenerator::default()),
        ownership: ownership.clone(),
        directory: directory.clone(),
        journal: journal.clone(),
        quarantine: quarantine.clone(),
    };
    let shards = ShardMap::new(directory.clone());
    let home = LocalHome::new(
        settings.instance.clone(),
        clock.clone(),
        configuration.clone(),
        driver,
        shards,
    );
    let key = settings.peer_keys.current.clone();
    let metrics = Rc::new(Metrics::new());
    let clients = Rc::new(PeerClients::new(clock.clone(), journal.clone(), key, metrics.clone()));
    let home_chooser = Rc::new(RendezvousHomeChooser::new(
        settings.instance.clone(),
        settings.zone.clone(),
        configuration.clone(),
        home.clone(),
        clients.clone(),
    ));
    let table = new_table(&settings, clock.clone(), STATE_RATE_BUDGET);
    let claim_table = new_table(&settings, clock.clone(), CLAIM_RATE_BUDGET);
    let dependents = ClusterDependents {
        active_configuration: configuration.clone(),
        directory: directory.clone(),
        home_chooser: home_chooser.clone(),
        table: table.clone(),
        claim_table: claim_table.clone(),
        quarantine: quarantine.clone(),
    };
    let cluster = new_cluster(
        &settings,
        addresses,
        own_incarnation,
        clock.clone(),
        journal.clone(),
        dependents,
    );
    let reaper_id = ReaperId { instance: settings.instance.clone(), incarnation: own_incarnation };
    let auth_events = TokenBucket::new(clock.now(), AUTH_EVENTS_PER_SECOND, AUTH_EVENTS_BURST);
    Rc::new(Instance {
        configuration,
        cluster,
        run_opener: RunOpener::new(home_chooser.clone()),
        home,
        home_chooser,
        quarantine,
        ownership,
        reaper: ReapingController::reaper(reaper_id),
        clients,
        services: ServiceClient::new(),
        service_load: ServiceLoad::default(),
        service_resilience: ServiceResilience::new(clock.clone(), journal.clone()),
        claims: new_claims(&settings, own_incarnation, clock.clone(), claim_table),
        journal,
        directory,
        in_progress: InProgress::default(),
        concurrency: ConcurrencyLimits::default(),
        metrics,
        started_at: clock.now(),
        clock,
        table,
        orders: ZoneOrders::default(),
        auth_events: RefCell::new(auth_events),
        is_shutting_down: Cell::new(false),
        is_drained_by_operator: Cell::new(false),
        settings,
    })
}

/// Starts the background tasks of the instance.
fn spawn_background_tasks(instance: &Rc<Instance>, connector: Rc<HttpConnector>) {
    let cluster = &instance.cluster;
    let seeds = instance.settings.seeds.clone();
    let gossip = cluster::run_gossip(cluster.clone(), instance.clients.clone(), seeds);
    actix_rt::spawn(gossip);
    actix_rt::spawn(cluster::read_list(cluster.clone()));
    actix_rt::spawn(cluster::read_configuration(cluster.clone()));
    actix_rt::spawn(cluster::probe_servers(cluster.clone(), connector.clone()));
    actix_rt::spawn(claims::retry_claim_writes(instance.clone()));
    actix_rt::spawn(claims::expire_claims(instance.clone()));
    actix_rt::spawn(operator::apply_operator_drains(instance.clone()));
    let incarnation = incarnation_at(&*instance.clock);
    actix_rt::spawn(operator::reconcile_engines(instance.clone(), connector.clone(), incarnation));
    ReapingController::new(instance.clone(), connector.clone()).spawn();
    EngineMonitor::new(instance.clone(), connector).spawn();
}

fn new_cluster(
    settings: &Settings,
    addresses: Addresses,
    own_incarnation: Incarnation,
    clock: Rc<dyn Clock>,
    journal: Rc<Journal>,
    dependents: ClusterDependents,
) -> Rc<ClusterState> {
    let timeouts = HttpTimeouts::default();
    let objects = Rc::new(HttpObjectStore::new(settings.platform.objects, timeouts));
    let list = Rc::new(HttpInstanceList::new(settings.platform.instances, timeouts));
    let backoff = Backoff::new(Rc::new(TimerSleep));
    let store = ConfigurationStore::new(dependents.table.clone(), objects, backoff);
    let own = ListEntry {
        name: settings.instance.as_str().into(),
        kind: ListedKind::Instance { callers: addresses.callers, operators: addresses.operators },
        zone: settings.zone.clone(),
        address: addresses.peers,
        incarnation: UNLISTED_INCARNATION,
        state: ListState::Live,
    };
    ClusterState::new(clock, journal, own, own_incarnation, store, list, dependents)
}

fn new_table(
    settings: &Settings,
    clock: Rc<dyn Clock>,
    budget: PlatformRates,
) -> Rc<RateLimitedTable> {
    let table = HttpTableService::new(settings.platform.table, HttpTimeouts::default());
    Rc::new(RateLimitedTable::new(Rc::new(table), clock, budget))
}

fn new_claims(
    settings: &Settings,
    own_incarnation: Incarnation,
    clock: Rc<dyn Clock>,
    table: Rc<RateLimitedTable>,
) -> ClaimController {
    ClaimController::new(ClaimSettings {
        table,
        incarnation: own_incarnation,
        clock,
        backoff: Backoff::new(Rc::new(TimerSleep)),
        instance: settings.instance.clone(),
        nonce: rand::random(),
        linger: ClaimSettings::LINGER,
        retention: ClaimSettings::RETENTION,
    })
}

/// Returns the incarnation of a process that starts now: the wall-clock time in milliseconds.
fn incarnation_at(clock: &dyn Clock) -> Incarnation {
    let since_epoch = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Incarnation(since_epoch.as_millis() as u64)
}

/// A running instance.
pub struct InstanceHandle {
    instance: Rc<Instance>,
    addresses: Addresses,
    caller_stop: StopHandle,
    operator_stop: StopHandle,
    peer_server: PeerServer,
}

impl InstanceHandle {
    /// Returns the listening addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Stops accepting requests and waits for those in progress, up to the limit in the settings.
    pub async fn drain(self) -> Exit {
        self.instance.is_shutting_down.set(true);
        self.instance.cluster.leave();
        self.instance.home.set_draining(true);
        let deadline = self.instance.clock.now() + self.instance.settings.drain_limit;
        loop {
            let unfinished = self.unfinished();
            if unfinished == 0 {
                tokio::time::sleep(FLUSH_DELAY).await;
                self.stop();
                return Exit::Drained;
            }
            if self.instance.clock.now() >= deadline {
                self.stop();
                return Exit::Cut { requests: unfinished };
            }
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Returns the number of requests in progress and of claim outcomes that are not yet written.
    fn unfinished(&self) -> usize {
        let live = self.instance.home.registry().live().len();
        live + self.instance.in_progress.count() + self.instance.claims.pending_writes()
    }

    fn stop(self) {
        self.caller_stop.stop();
        self.operator_stop.stop();
        self.peer_server.stop();
    }
}

fn caller_handler(instance: Rc<Instance>) -> Handler {
    Rc::new(move |req| Box::pin(caller::handle(instance.clone(), req)))
}

fn operator_handler(instance: Rc<Instance>) -> Handler {
    Rc::new(move |req| Box::pin(operator::handle(instance.clone(), req)))
}
