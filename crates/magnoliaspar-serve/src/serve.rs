//! Starting and stopping an instance.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use displaydoc::Display;
use log::info;
use magnoliaspar_claim::{ClaimController, ClaimSettings};
use magnoliaspar_core::{Clock, Incarnation, SystemClock};
use magnoliaspar_engine::HttpConnector;
use magnoliaspar_http::{Handler, Server, ServerError, StopHandle};
use magnoliaspar_platform::{
    Backoff, BudgetedTable, HttpTableService, HttpTimeouts, InstanceBudget, TimerSleep,
};
use magnoliaspar_settings::Settings;
use tokio::signal::unix::{SignalKind, signal};

use crate::caller::{self, ServiceLoad};
use crate::directory::Directory;
use crate::instance::{ConfigurationInForce, Instance};
use crate::journal::Journal;
use crate::limit::ConcurrencyLimits;
use crate::metrics::Metrics;
use crate::operator::{self, HeadWriter, NoQuarantine, ServerDrains};
use crate::peer::{PeerClients, PeerError, PeerServer, ZoneHomes};
use crate::refresh::Refresh;
use crate::run::{AttemptIds, Driver, Homes, LocalHome, ShardMap};
use crate::service::ServiceCaller;

/// How long an engine may go without progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

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
#[derive(Debug, Display)]
pub enum ServeError {
    /// {0}
    Listen(ServerError),
    /// {0}
    Peers(PeerError),
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
    let connector = Rc::new(HttpConnector::new(PROGRESS_TIMEOUT));
    let instance = assemble(settings, connector.clone());
    Refresh::new(instance.clone(), connector).spawn();
    actix_rt::spawn(operator::read_drains(instance.clone()));
    let peers = PeerServer::start(instance.clone()).await.map_err(ServeError::Peers)?;
    let callers = listen(instance.settings.callers, caller_handler(instance.clone())).await?;
    let operators = listen(instance.settings.operators, operator_handler(instance.clone())).await?;
    announce(&instance, callers.address, peers.address(), operators.address);
    Ok(InstanceHandle { instance, callers, operators, peers })
}

/// Logs where the instance listens, since the settings may leave the choice of ports open.
fn announce(instance: &Instance, callers: SocketAddr, peers: SocketAddr, operators: SocketAddr) {
    info!(
        instance = instance.settings.instance.as_str(),
        callers:%,
        peers:%,
        operators:%;
        "the instance listens on {callers}"
    );
}

fn assemble(settings: Settings, connector: Rc<HttpConnector>) -> Rc<Instance> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let configuration = Rc::new(ConfigurationInForce::default());
    let directory = Rc::new(Directory::default());
    let journal = Journal::new(clock.clone(), settings.instance.clone());
    let driver = Driver {
        clock: clock.clone(),
        connector,
        attempts: Rc::new(AttemptIds::default()),
        owner: settings.instance.as_str().into(),
        journal: journal.clone(),
    };
    let table = open_table(&settings, clock.clone());
    let claims = open_claims(&settings, clock.clone(), table.clone());
    let configuration_writer = Rc::new(HeadWriter::new(table.clone(), &settings.instance));
    let shards = ShardMap::new(directory.clone());
    let home = LocalHome::new(clock.clone(), configuration.clone(), driver, shards);
    let clients =
        PeerClients::new(clock.clone(), journal.clone(), settings.peer_keys.current.clone());
    let zone_homes = Rc::new(ZoneHomes::new(
        settings.instance.clone(),
        settings.zone.clone(),
        configuration.clone(),
        home.clone(),
        Rc::new(clients),
    ));
    Rc::new(Instance {
        configuration,
        homes: Homes::new(zone_homes.clone()),
        home,
        zone_homes,
        services: ServiceCaller::new(),
        service_load: ServiceLoad::default(),
        claims,
        table,
        journal,
        directory,
        concurrency: ConcurrencyLimits::default(),
        metrics: Rc::new(Metrics::new()),
        started_at: clock.now(),
        clock,
        drains: ServerDrains::default(),
        configuration_writer,
        quarantine: Rc::new(NoQuarantine),
        is_draining: Cell::new(false),
        is_drained_by_operator: Cell::new(false),
        settings,
    })
}

fn open_table(settings: &Settings, clock: Rc<dyn Clock>) -> Rc<BudgetedTable> {
    let table = HttpTableService::new(settings.platform.table, HttpTimeouts::default());
    Rc::new(BudgetedTable::new(Rc::new(table), clock, InstanceBudget::default()))
}

fn open_claims(
    settings: &Settings,
    clock: Rc<dyn Clock>,
    table: Rc<BudgetedTable>,
) -> ClaimController {
    ClaimController::new(ClaimSettings {
        table,
        incarnation: incarnation_at(&*clock),
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
    callers: Listening,
    operators: Listening,
    peers: PeerServer,
}

struct Listening {
    address: SocketAddr,
    stop: StopHandle,
}

impl InstanceHandle {
    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// Returns the address for other instances.
    pub fn peers(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Takes no more requests and waits for those in progress, up to the limit in the settings.
    pub async fn drain(self) -> Exit {
        self.instance.is_draining.set(true);
        let deadline = self.instance.clock.now() + self.instance.settings.drain_limit;
        loop {
            let live = self.instance.home.registry().live().len();
            if live == 0 {
                self.stop();
                return Exit::Drained;
            }
            if self.instance.clock.now() >= deadline {
                self.stop();
                return Exit::Cut { requests: live };
            }
            tokio::time::sleep(DRAIN_CHECK).await;
        }
    }

    fn stop(self) {
        self.callers.stop.stop();
        self.operators.stop.stop();
        self.peers.stop();
    }
}

async fn listen(address: SocketAddr, handler: Handler) -> Result<Listening, ServeError> {
    let server = Server::bind(address, handler).await.map_err(ServeError::Listen)?;
    let listening = Listening { address: server.address(), stop: server.stop_handle() };
    actix_rt::spawn(server.run());
    Ok(listening)
}

fn caller_handler(instance: Rc<Instance>) -> Handler {
    Rc::new(move |req| Box::pin(caller::handle(instance.clone(), req)))
}

fn operator_handler(instance: Rc<Instance>) -> Handler {
    Rc::new(move |req| Box::pin(operator::handle(instance.clone(), req)))
}
