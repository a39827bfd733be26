//! Starting and stopping an instance.

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

use crate::caller::{self, ServiceGuard, ServiceLoad};
use crate::claims;
use crate::cluster::{self, ClusterState, Services};
use crate::directory::Directory;
use crate::engines::EngineWatch;
use crate::instance::{AUTH_EVENTS_BURST, AUTH_EVENTS_PER_SECOND, ConfigurationInForce, Instance};
use crate::journal::Journal;
use crate::limit::ConcurrencyLimits;
use crate::metrics::Metrics;
use crate::operator::{self, ZoneOrders};
use crate::peer::{PeerClients, PeerServer, ZoneHomes};
use crate::progress::InProgress;
use crate::quarantine::QuarantineState;
use crate::reaping::{ReapingController, StreamOwnership};
use crate::run::{AttemptIds, Driver, Homes, LocalHome, ShardMap};
use crate::service::ServiceCaller;

/// How long an engine may go without progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the last bytes of answers have to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// The life of an instance that the platform has not listed yet; the list tells the real one.
const UNLISTED: Incarnation = Incarnation(0);

/// The rates of the table service for claims, over all instances.
const CLAIM_BUDGET: PlatformRates =
    PlatformRates { writes_per_second: 200.0, reads_per_second: 1_000.0 };

/// The rates of the table service for everything else, so that claims cannot hold it up.
const STATE_BUDGET: PlatformRates =
    PlatformRates { writes_per_second: 100.0, reads_per_second: 1_000.0 };

/// How often a drain checks whether all requests have ended.
const DRAIN_CHECK: Duration = Duration::from_millis(50);

/// How an instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The drain has finished; no request was cut.
    Drained,
    /// The drain took longer than it may, and requests were cut.
    Cut {
        /// How many requests were cut.
        requests: usize,
    },
}

/// Why an instance cannot run.
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
    let callers = Listening::bind(settings.callers).await?;
    let peers = Listening::bind(settings.peers).await?;
    let operators = Listening::bind(settings.operators).await?;
    let addresses =
        Addresses { callers: callers.address, peers: peers.address, operators: operators.address };
    let connector = Rc::new(HttpConnector::new(PROGRESS_TIMEOUT));
    let instance = assemble(settings, addresses, connector.clone());
    spawn_controllers(&instance, connector);
    let caller_stop = callers.serve(caller_handler(instance.clone()));
    let operator_stop = operators.serve(operator_handler(instance.clone()));
    let peer_server = PeerServer::start(instance.clone(), peers.listener);
    announce(&instance, &addresses);
    Ok(InstanceHandle { instance, addresses, caller_stop, operator_stop, peer_server })
}

/// Where an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
}

/// A listener that is bound and not served yet.
struct Listening {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listening {
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

/// Logs where the instance listens, since the settings may leave the choice of ports open.
fn announce(instance: &Instance, addresses: &Addresses) {
    let Addresses { callers, peers, operators } = addresses;
    info!(
        instance = instance.settings.instance.as_str(),
        callers:%,
        peers:%,
        operators:%;
        "the instance listens on {callers}"
    );
}

fn assemble(
    settings: Settings,
    addresses: Addresses,
    connector: Rc<HttpConnector>,
) -> Rc<Instance> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let configuration = Rc::new(ConfigurationInForce::default());
    let directory = Rc::new(Directory::default());
    let journal = Journal::new(clock.clone(), settings.instance.clone());
    let life = incarnation_at(&*clock);
    let ownership = StreamOwnership::new(clock.clone(), settings.instance.clone(), life);
    let quarantine = QuarantineState::new(clock.clone(), journal.clone(), connector.clone());
    let driver = Driver {
        clock: clock.clone(),
        connector,
        attempts: Rc::new(AttemptIds::default()),
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
    let zone_homes = Rc::new(ZoneHomes::new(
        settings.instance.clone(),
        settings.zone.clone(),
        configuration.clone(),
        home.clone(),
        clients.clone(),
    ));
    let table = open_table(&settings, clock.clone(), STATE_BUDGET);
    let claim_table = open_table(&settings, clock.clone(), CLAIM_BUDGET);
    let services = Services {
        in_force: configuration.clone(),
        directory: directory.clone(),
        zone_homes: zone_homes.clone(),
        table: table.clone(),
        claim_table: claim_table.clone(),
        quarantine: quarantine.clone(),
    };
    let cluster =
        open_cluster(&settings, addresses, life, clock.clone(), journal.clone(), services);
    let reaper_id = ReaperId { instance: settings.instance.clone(), incarnation: life };
    let auth_events = TokenBucket::new(clock.now(), AUTH_EVENTS_PER_SECOND, AUTH_EVENTS_BURST);
    Rc::new(Instance {
        configuration,
        cluster,
        homes: Homes::new(zone_homes.clone()),
        home,
        zone_homes,
        quarantine,
        ownership,
        reaper: ReapingController::reaper(reaper_id),
        clients,
        services: ServiceCaller::new(),
        service_load: ServiceLoad::default(),
        service_guard: ServiceGuard::new(clock.clone(), journal.clone()),
        claims: open_claims(&settings, life, clock.clone(), claim_table),
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
        is_draining: Cell::new(false),
        is_drained_by_operator: Cell::new(false),
        settings,
    })
}

/// Starts everything that keeps the instance's state fresh.
fn spawn_controllers(instance: &Rc<Instance>, connector: Rc<HttpConnector>) {
    let cluster = &instance.cluster;
    let seeds = instance.settings.seeds.clone();
    let gossip = cluster::spread_changes(cluster.clone(), instance.clients.clone(), seeds);
    actix_rt::spawn(gossip);
    actix_rt::spawn(cluster::read_list(cluster.clone()));
    actix_rt::spawn(cluster::read_configuration(cluster.clone()));
    actix_rt::spawn(cluster::probe_servers(cluster.clone(), connector.clone()));
    actix_rt::spawn(claims::settle_claims(instance.clone()));
    actix_rt::spawn(claims::expire_claims(instance.clone()));
    actix_rt::spawn(operator::read_drains(instance.clone()));
    let life = incarnation_at(&*instance.clock);
    actix_rt::spawn(operator::tend_orders(instance.clone(), connector.clone(), life));
    ReapingController::new(instance.clone(), connector.clone()).spawn();
    EngineWatch::new(instance.clone(), connector).spawn();
}

fn open_cluster(
    settings: &Settings,
    addresses: Addresses,
    life: Incarnation,
    clock: Rc<dyn Clock>,
    journal: Rc<Journal>,
    services: Services,
) -> Rc<ClusterState> {
    let timeouts = HttpTimeouts::default();
    let objects = Rc::new(HttpObjectStore::new(settings.platform.objects, timeouts));
    let list = Rc::new(HttpInstanceList::new(settings.platform.instances, timeouts));
    let backoff = Backoff::new(Rc::new(TimerSleep));
    let store = ConfigurationStore::new(services.table.clone(), objects, backoff);
    let own = ListEntry {
        name: settings.instance.as_str().into(),
        kind: ListedKind::Instance { callers: addresses.callers, operators: addresses.operators },
        zone: settings.zone.clone(),
        address: addresses.peers,
        incarnation: UNLISTED,
        state: ListState::Live,
    };
    ClusterState::new(clock, journal, own, life, store, list, services)
}

fn open_table(
    settings: &Settings,
    clock: Rc<dyn Clock>,
    budget: PlatformRates,
) -> Rc<RateLimitedTable> {
    let table = HttpTableService::new(settings.platform.table, HttpTimeouts::default());
    Rc::new(RateLimitedTable::new(Rc::new(table), clock, budget))
}

fn open_claims(
    settings: &Settings,
    life: Incarnation,
    clock: Rc<dyn Clock>,
    table: Rc<RateLimitedTable>,
) -> ClaimController {
    ClaimController::new(ClaimSettings {
        table,
        incarnation: life,
        clock,
        backoff: Backoff::new(Rc::new(TimerSleep)),
        instance: settings.instance.clone(),
        nonce: rand::random(),
        linger: ClaimSettings::LINGER,
        retention: ClaimSettings::RETENTION,
    })
}

/// Returns the life of an instance that starts now: the wall-clock time in milliseconds.
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
    /// Returns where the instance listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Takes no more requests and waits for those in progress, up to the limit in the settings.
    pub async fn drain(self) -> Exit {
        self.instance.is_draining.set(true);
        self.instance.cluster.leave();
        self.instance.home.set_draining(true);
        let deadline = self.instance.clock.now() + self.instance.settings.drain_limit;
        loop {
            let left = self.left();
            if left == 0 {
                tokio::time::sleep(FLUSH_TIME).await;
                self.stop();
                return Exit::Drained;
            }
            if self.instance.clock.now() >= deadline {
                self.stop();
                return Exit::Cut { requests: left };
            }
            tokio::time::sleep(DRAIN_CHECK).await;
        }
    }

    /// Returns how many requests and outcomes the instance still has to finish.
    fn left(&self) -> usize {
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
