//! State of one instance that its requests share.

mod followers;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use magnoliaspar_access::Freshness;
use magnoliaspar_core::{Clock, Epoch, ServerKey};
use magnoliaspar_retry::{CrashId, PartId, RequestQuarantine, RetryBudget, RetryBudgetConfig};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, mpsc};

pub use self::followers::RoutingFollower;
pub(crate) use self::followers::apply_routing;
use crate::access::{is_isolated, report_proof_state};
use crate::admission::Eligible;
use crate::call::Incoming;
use crate::coordinator::{
    AdmissionRequest, Decision, Queue, START_LATENCY, apply_update, serve_queue,
};
use crate::dialect::Dialect;
use crate::directory::{Directory, EngineRole, ServerRecord};
use crate::exchange::{CallError, Connection};
use crate::failing_engines::FailingEngines;
use crate::feed::FeedPosition;
use crate::following::StoreContact;
use crate::guarantees::{Guarantee, is_disabled};
use crate::memory;
use crate::metrics::Metrics;
use crate::peers::{Coordinator, Payload, Peers, reported_refusals};
use crate::permits::{Permits, mark_changed};
use crate::plain_load::PlainLoads;
use crate::pool::{MAX_IDLE, Pool};
use crate::prompt_cache::PromptCaches;
use crate::replies::Replies;
use crate::request_limit::{LimitState, RequestLimit};
use crate::reservations::{ReservationId, Reservations};
use crate::response_memory::ResponseMemory;
use crate::retry_lending::{RetryLending, borrow_retry};
use crate::roles::Sizes;
use crate::route::{EngineSpec, Route, RouteKind, Routing, Service, ServiceName};
use crate::selection::{Candidate, effective_limit, list_candidates, without_resting};
use crate::settings::GatewaySettings;
use crate::shared_limits::{self, SharedLimits};
use crate::shutdown::{DropCause, Extent, RequestState, Shutdown};
use crate::withheld::WithheldEntries;

/// Number of instances that share the retry budget until others are known, so that a restart of all
/// instances at once does not overdraw it.
const ASSUMED_INSTANCES: usize = 100;

/// Time after the start for which an instance without known peers assumes that it has not yet
/// discovered them.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(5);

/// Maximum wait of a coordinator's feed call to the store. Together with the response time it stays
/// below the two seconds within which a change must take effect.
const COORDINATOR_FEED_WAIT: Duration = Duration::from_millis(1_000);

/// Maximum wait of any other instance's feed call; long, since each call to the store is charged.
const FEED_WAIT: Duration = Duration::from_secs(15);

/// Maximum `Retry-After` as a share of the caller's remaining time; callers wait for up to a third of it.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// Ratio of the duration on a slow engine to the mean.
const SLOW_ENGINE_FACTOR: f64 = 1.3;

/// Source of a limit or of a leaving that a response to this instance has named.
pub const OWN_RESPONSE: &str = "response";

/// State of one instance.
pub struct Gateway {
    /// The settings, which are replaced on reload.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Mapping of headers to the data of the gateway.
    pub dialect: Rc<dyn Dialect>,
    /// The metrics.
    pub metrics: Metrics,
    /// The known servers.
    pub directory: RefCell<Directory>,
    /// Idle connections to the servers.
    pub pool: RefCell<Pool>,
    /// Referred to by each copy that is sent to a peer.
    pub(crate) sent_copies: Rc<()>,
    /// Memory of all responses.
    pub response_memory: Rc<ResponseMemory>,
    /// Engine memory reserved by all instances.
    pub reservations: RefCell<Reservations>,
    /// What prefill engines hold of prompts.
    pub(crate) prompt_caches: RefCell<PromptCaches>,
    /// Engines that several instances failed to use.
    pub failing_engines: RefCell<FailingEngines>,
    /// Requests that crash servers, by service: the servers of one may fail for reasons of their own.
    pub quarantines: RefCell<BTreeMap<ServiceName, RequestQuarantine>>,
    /// Notified when requests are refused that were not before, or for longer, and when a refusal was lifted.
    pub(crate) refusals_changed: Notify,
    /// Questions to the coordinator about requests that may crash a server, and whether these may run.
    pub(crate) run_decisions: Replies<bool>,
    /// Completions of all instances that are queued here for engine memory.
    pub queue: Queue,
    /// Admission requests of this instance without a decision.
    pub pending_admissions: RefCell<BTreeMap<ReservationId, mpsc::UnboundedSender<Decision>>>,
    /// Permits for requests to limited servers.
    pub(crate) permits: Permits,
    /// Limits of workspaces that all instances share.
    pub(crate) limits: SharedLimits,
    /// Load of plain services, as all instances observe it.
    pub(crate) plain_loads: PlainLoads,
    /// Retries that this instance borrows and lends.
    pub(crate) retry_lending: RetryLending,
    /// Whether the instance has stopped.
    pub is_stopped: Cell<bool>,
    peers: RefCell<Option<Rc<Peers>>>,
    sizes: RefCell<BTreeMap<ServiceName, Sizes>>,
    next_reservation_id: Cell<ReservationId>,
    max_instances: Cell<usize>,
    created: Instant,
    /// The last answers of the store.
    pub(crate) store_contact: StoreContact,
    /// Position in the feed of the configuration.
    pub routing_position: FeedPosition,
    /// Position in the feed of the list of servers.
    pub servers_position: Rc<FeedPosition>,
    this: Weak<Gateway>,
    routing: RefCell<Option<Rc<Routing>>>,
    /// The services of all configurations so far whose servers are listed.
    last_services: RefCell<BTreeMap<ServiceName, Service>>,
    /// Epoch of the store in which the configuration was read last.
    configuration_epoch: Cell<Epoch>,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    rng: RefCell<StdRng>,
    in_flight: RefCell<BTreeMap<u64, Rc<RequestState>>>,
    next_in_flight: Cell<u64>,
    shutdown: Cell<Option<Shutdown>>,
    /// Notified when the instance begins to stop.
    stop_begun: Notify,
    /// The address on which callers' requests are accepted.
    pub(crate) request_address: Cell<Option<SocketAddr>>,
    knows_servers: Cell<bool>,
    servers_regained_at: Cell<Option<Instant>>,
    /// Epoch of the store in which the list of servers was read last.
    servers_epoch: Cell<Epoch>,
    /// Time at which the list of a restored store was read first.
    servers_restored_at: Cell<Option<Instant>>,
    removed_during_outage: RefCell<BTreeMap<Box<str>, Instant>>,
    withheld_entries: RefCell<WithheldEntries>,
    /// Time since when a peer has had a newer configuration.
    pub(crate) outdated_since: Cell<Option<Instant>>,
    /// Whether the configuration is known to have been the newest one recently.
    pub(crate) freshness: RefCell<Freshness>,
    /// Whether the last proof is too old to accept keys.
    pub(crate) lacks_proof: Cell<bool>,
}

impl Gateway {
    /// Creates an instance without configuration and servers.
    pub fn new(
        settings: GatewaySettings,
        clock: Rc<dyn Clock>,
        dialect: Rc<dyn Dialect>,
    ) -> Rc<Self> {
        let created = clock.now();
        Rc::new_cyclic(|this| Self {
            created,
            clock,
            dialect,
            metrics: Metrics::new(),
            directory: RefCell::default(),
            pool: RefCell::default(),
            sent_copies: Rc::default(),
            response_memory: memory::create(&settings),
            routing: RefCell::default(),
            last_services: RefCell::default(),
            configuration_epoch: Cell::default(),
            budgets: RefCell::default(),
            rng: RefCell::new(StdRng::from_os_rng()),
            in_flight: RefCell::default(),
            next_in_flight: Cell::new(0),
            shutdown: Cell::new(None),
            stop_begun: Notify::new(),
            request_address: Cell::new(None),
            knows_servers: Cell::new(false),
            servers_regained_at: Cell::new(None),
            servers_epoch: Cell::default(),
            servers_restored_at: Cell::new(None),
            removed_during_outage: RefCell::default(),
            withheld_entries: RefCell::default(),
            outdated_since: Cell::new(None),
            lacks_proof: Cell::new(false),
            freshness: RefCell::new(Freshness::new(rand::rng().random())),
            reservations: RefCell::new(Reservations::new(settings.instance.clone())),
            prompt_caches: RefCell::default(),
            failing_engines: RefCell::default(),
            quarantines: RefCell::default(),
            refusals_changed: Notify::new(),
            run_decisions: Replies::default(),
            queue: Queue::default(),
            pending_admissions: RefCell::default(),
            permits: Permits::new(rand::rng().random()),
            limits: SharedLimits::new(rand::rng().random()),
            plain_loads: PlainLoads::default(),
            retry_lending: RetryLending::default(),
            is_stopped: Cell::new(false),
            peers: RefCell::default(),
            sizes: RefCell::default(),
            // Numbers of a former process are known to others as charged.
            next_reservation_id: Cell::new(u64::from(rand::rng().random::<u32>()) << 20),
            max_instances: Cell::new(1),
            store_contact: StoreContact::default(),
            routing_position: FeedPosition::default(),
            servers_position: Rc::default(),
            this: this.clone(),
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    /// Sets the [`Peers`] that exchange messages with the other instances.
    pub fn set_peers(&self, peers: Rc<Peers>) {
        self.peers.replace(Some(peers));
    }

    /// Returns the [`Peers`] that exchange messages with the other instances, if they are set.
    pub fn peers(&self) -> Option<Rc<Peers>> {
        self.peers.borrow().clone()
    }

    /// Sends a message to an address of another instance.
    pub fn send(&self, to: SocketAddr, payload: Payload) {
        if let Some(peers) = self.peers() {
            peers.send_payload(to, payload);
        }
    }

    /// Sends an update from this instance to the coordinators, and applies it locally.
    pub fn send_to_coordinators(&self, payload: Payload) {
        let instance = self.settings().instance.clone();
        self.send_to_other_coordinators(payload.clone(), None);
        if let Some(this) = self.this.upgrade() {
            apply_update(&this, &instance, &payload);
        }
    }

    /// Records that a call to a server failed. Returns the duration for which this instance avoids
    /// the server.
    ///
    /// Timeouts are not reported to the coordinators, since they may only reflect load.
    pub fn record_call_failure(&self, server: ServerKey, error: &CallError) -> Option<Duration> {
        let avoided = self.directory.borrow_mut().record_failure(server, self.clock.now());
        if !matches!(error, CallError::TimedOut) {
            self.report_engine(server);
        }
        avoided
    }

    /// Reports an unusable engine to the coordinators, so that they do not grant it to other
    /// instances.
    pub fn report_engine(&self, server: ServerKey) {
        let directory = self.directory.borrow();
        let engine = directory.get(server).filter(|server| server.record.role.is_some());
        let Some(id) = engine.map(|engine| engine.record.id.clone()) else { return };
        drop(directory);
        self.send_to_coordinators(Payload::EngineUnusable(id));
    }

    /// Reports to the coordinators that an engine refused a completion which it was granted for.
    pub fn report_rejection(&self, server: ServerKey) {
        let directory = self.directory.borrow();
        let engine =
            directory.get(server).filter(|server| server.record.role == Some(EngineRole::Decode));
        let Some(id) = engine.map(|engine| engine.record.id.clone()) else { return };
        drop(directory);
        self.send_to_coordinators(Payload::EngineRejected(id));
    }

    /// Records that a server says in a response that it leaves. The coordinators are told of engines, which
    /// they choose for all instances.
    pub fn record_leaving(&self, server: ServerKey) {
        let now = self.clock.now();
        if is_disabled(Guarantee::Leaving)
            || !self.directory.borrow_mut().record_leaving(server, now)
        {
            return;
        }
        let directory = self.directory.borrow();
        let Some(server) = directory.get(server) else { return };
        let ServerRecord { id, started_ms, role, .. } = server.record.clone();
        drop(directory);
        log::info!(server = &*id, source = OWN_RESPONSE; "server_leaving");
        if role.is_some() {
            self.send_to_other_coordinators(Payload::EngineLeaving(id, started_ms), None);
        }
    }

    /// Records that an engine has told another instance that it leaves, if it is still the same process.
    pub fn record_reported_leaving(&self, engine: &str, started_ms: u64, source: &str) {
        let mut directory = self.directory.borrow_mut();
        let Some(key) = directory.key(engine) else { return };
        let is_same =
            directory.get(key).is_some_and(|engine| engine.record.started_ms == started_ms);
        if is_same && directory.record_leaving(key, self.clock.now()) {
            log::info!(server = engine, source; "server_leaving");
        }
    }

    /// Reports that an engine crashed before a completion had started on it.
    pub fn report_crash(&self, server: ServerKey, service: &ServiceName, parts: &[PartId]) {
        let directory = self.directory.borrow();
        let started_ms = directory.get(server).map_or(0, |server| server.record.started_ms);
        drop(directory);
        let name = self.server_name(server);
        log::warn!(server = &*name, parts = &*display_parts(parts); "engine_crashed");
        let crash = CrashId::of_process(&name, started_ms);
        self.send_to_coordinators(Payload::Crashed(crash, service.clone(), parts.into()));
    }

    /// Returns for how long requests of a service with these parts are refused, if they are.
    pub fn quarantined_for(&self, service: &str, parts: &[PartId]) -> Option<Duration> {
        if is_disabled(Guarantee::Quarantine) {
            return None;
        }
        let quarantines = self.quarantines.borrow();
        quarantines.get(service)?.refused_for(self.clock.now(), parts)
    }

    /// Returns whether requests of a service with these parts may only be tried one at a time.
    pub fn is_on_trial(&self, service: &str, parts: &[PartId]) -> bool {
        let quarantines = self.quarantines.borrow();
        let quarantine = quarantines.get(service);
        quarantine.is_some_and(|quarantine| quarantine.is_on_trial(self.clock.now(), parts))
    }

    /// Returns whether a start of a request of a service with these parts is to be reported.
    pub fn concerns_quarantine(&self, service: &str, parts: &[PartId]) -> bool {
        let quarantines = self.quarantines.borrow();
        quarantines.get(service).is_some_and(|quarantine| quarantine.concerns(parts))
    }

    /// Returns whether a request whose refusal has ended may be tried now; records the trial.
    pub fn allows_trial(&self, service: &str, parts: &[PartId]) -> bool {
        let mut quarantines = self.quarantines.borrow_mut();
        let quarantine = quarantines.get_mut(service);
        quarantine.is_none_or(|quarantine| quarantine.allows_trial(self.clock.now(), parts))
    }

    /// Returns whether a request may not run once more after it has crashed a server.
    pub fn is_suspected(&self, service: &str, parts: &[PartId]) -> bool {
        let quarantines = self.quarantines.borrow();
        let quarantine = quarantines.get(service);
        quarantine.is_some_and(|quarantine| quarantine.is_suspected(self.clock.now(), parts))
    }

    /// Returns whether the entry of a server has the address of this instance, so that requests to it
    /// would go round.
    pub fn has_address_of(&self, server: &str) -> bool {
        let Some(own) = self.request_address.get() else { return false };
        let directory = self.directory.borrow();
        let Some(address) = directory.find(server).map(|server| server.record.address) else {
            return false;
        };
        let is_own_ip = own.ip().is_unspecified() || own.ip() == address.ip();
        is_own_ip && own.port() == address.port()
    }

    /// Calls `run` with the quarantine of a service.
    pub fn with_quarantine<T>(
        &self,
        service: &str,
        run: impl FnOnce(&mut RequestQuarantine) -> T,
    ) -> T {
        run(self.quarantines.borrow_mut().entry(service.into()).or_default())
    }

    /// Stores refusals that have changed, and as coordinator sends them to all instances.
    pub fn spread_refusals(&self) {
        self.refusals_changed.notify_one();
        let Some(peers) = self.peers().filter(|_| self.coordinator().is_none()) else { return };
        peers.send_to_all(&Payload::Refusals(reported_refusals(self, self.clock.now())));
    }

    /// Sends a message to all coordinators except one.
    pub fn send_to_other_coordinators(&self, payload: Payload, except: Option<&Coordinator>) {
        if let Some(peers) = self.peers() {
            peers.send_to_coordinators(&payload, except, self.clock.now());
        }
    }

    /// Notifies all instances that this one is stopping, or with `is_gone` that it has stopped.
    pub fn announce_end(&self, is_gone: bool) {
        if let Some(peers) = self.peers() {
            peers.announce_end(is_gone, self.clock.now());
        }
    }

    /// Returns the coordinator; `None` if it is this instance.
    pub fn coordinator(&self) -> Option<Coordinator> {
        self.peers()?.coordinator(self.clock.now())
    }

    /// Ranks a coordinator after all others for a while, since it did not answer.
    pub fn suspect_coordinator(&self, instance: &str) {
        if let Some(peers) = self.peers() {
            peers.suspect(instance, self.clock.now());
        }
    }

    /// Delivers a decision of the coordinator. A grant that no request waits for is released.
    pub fn receive_decision(&self, id: ReservationId, decision: Decision) {
        let is_grant = matches!(decision, Decision::Granted(_));
        let waiter = self.pending_admissions.borrow().get(&id).cloned();
        let is_received = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
        let instance = self.settings().instance.clone();
        let is_reserved = self.reservations.borrow().reservation(&instance, id).is_some();
        if is_grant && !is_received && !is_reserved {
            self.send_to_coordinators(Payload::Released(id));
        }
    }

    /// Sends a decision to the instance that requested admission.
    pub fn deliver_decision(&self, instance: &str, id: ReservationId, decision: Decision) {
        if instance == &*self.settings().instance {
            self.receive_decision(id, decision);
            return;
        }
        if let Some(peers) = self.peers() {
            peers.send_to_instance(instance, Payload::Decision(id, decision));
        }
    }

    /// Returns the number of live instances, including this one.
    pub fn live_instances(&self) -> usize {
        self.peers().map_or(1, |peers| peers.live(self.clock.now()))
    }

    /// Returns the maximum wait of a feed call to the store.
    ///
    /// A long call detects a dead connection late. Coordinators therefore use short
    /// calls, and notify other instances that lag behind.
    fn feed_max_wait(&self) -> Duration {
        let peers = self.peers();
        let is_coordinator = peers.is_none_or(|peers| peers.is_coordinator(self.clock.now()));
        if is_coordinator { COORDINATOR_FEED_WAIT } else { FEED_WAIT }
    }

    /// Returns the number of a new reservation.
    pub fn next_reservation_id(&self) -> ReservationId {
        self.next_reservation_id.set(self.next_reservation_id.get() + 1);
        self.next_reservation_id.get()
    }

    /// Admits queued completions after engine memory may have become free.
    pub fn admit_queued(&self) {
        if let Some(this) = self.this.upgrade() {
            serve_queue(&this);
        }
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Returns the current routing, if a configuration has been received.
    pub fn routing(&self) -> Option<Rc<Routing>> {
        self.routing.borrow().clone()
    }

    /// Returns the epoch of the store in which the configuration was read last, here or by the peer that it was
    /// copied from.
    pub fn configuration_epoch(&self) -> Epoch {
        self.configuration_epoch.get()
    }

    /// Returns whether a complete list of servers has been received.
    pub fn knows_servers(&self) -> bool {
        self.knows_servers.get()
    }

    /// Returns whether the instance is ready for new connections.
    pub fn is_ready(&self) -> bool {
        let knows_all = self.routing.borrow().is_some() && self.knows_servers.get();
        knows_all && !self.is_stopping() && !is_isolated(self)
    }

    /// Returns whether the instance is stopping or has stopped.
    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Marks the instance as stopping, with `end` as the latest end of the process.
    pub fn stop(&self, end: Instant) {
        self.shutdown.set(Some(Shutdown { begun: self.clock.now(), end }));
        self.stop_begun.notify_waiters();
    }

    /// Returns the time until the process ends at the latest, if the instance is stopping.
    pub fn stops_in(&self) -> Option<Duration> {
        let shutdown = self.shutdown.get()?;
        Some(shutdown.end.saturating_duration_since(self.clock.now()))
    }

    /// Returns whether a request may be sent to a server: the instance is not stopping, or has time for it, or the
    /// request may have run and can no longer be refused as not run.
    pub fn may_start(&self, req: &Incoming) -> bool {
        let Some(shutdown) = self.shutdown.get() else { return true };
        req.state.may_have_run()
            || shutdown.can_finish(self.extent(req), self.clock.now())
            || is_disabled(Guarantee::FinishBeforeEnd)
    }

    /// Waits until a request that no server may have run must not be started any more.
    pub async fn closed_for(&self, req: &Incoming) {
        let shutdown = self.stopping().await;
        match shutdown.closes_at(self.extent(req)) {
            Some(closes_at) if !req.state.may_have_run() => self.wait_until(closes_at).await,
            _ => std::future::pending().await,
        }
    }

    /// Waits until requests without a response have to get one, since the process ends.
    pub async fn final_responses_due(&self) {
        let shutdown = self.stopping().await;
        self.wait_until(shutdown.responses_due()).await;
    }

    async fn stopping(&self) -> Shutdown {
        loop {
            let begun = self.stop_begun.notified();
            if let Some(shutdown) = self.shutdown.get() {
                return shutdown;
            }
            begun.await;
        }
    }

    /// Waits until a time, which may have passed.
    pub(crate) async fn wait_until(&self, at: Instant) {
        tokio::time::sleep(at.saturating_duration_since(self.clock.now())).await;
    }

    /// Returns the longest time that a request takes.
    ///
    /// The callers' estimates of the length of a stream are too inaccurate: streams would be cut.
    fn extent(&self, req: &Incoming) -> Extent {
        match req.route.kind {
            RouteKind::Stream { .. } => {
                let duration = self.reservations.borrow().duration_of(req.facts.max_tokens);
                let longest = START_LATENCY + duration.mul_f64(SLOW_ENGINE_FACTOR);
                Extent::of_stream(req.received, longest)
            }
            RouteKind::Idempotent | RouteKind::AtMostOnce => {
                Extent::of_call(req.received, req.deadline)
            }
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Logs each request that is still in flight when the process ends.
    pub fn log_cut_requests(&self) {
        let now = self.clock.now();
        for state in self.in_flight.borrow().values() {
            let request = &**state.id.borrow();
            let server = &**state.server.borrow();
            let has_responded = state.has_responded.get();
            let may_have_run = state.may_have_run();
            let elapsed_ms = now.saturating_duration_since(state.received).as_millis() as u64;
            log::error!(request, server, has_responded, may_have_run, elapsed_ms; "cut_by_stop");
        }
    }

    /// Returns why a request that is dropped now ends before its answer does.
    pub fn drop_cause(&self) -> DropCause {
        match self.is_stopped.get() {
            _ if std::thread::panicking() => DropCause::Panic,
            true => DropCause::Stop,
            false => DropCause::Connection,
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> InFlight {
        let key = self.next_in_flight.get();
        self.next_in_flight.set(key + 1);
        let state = Rc::new(RequestState::new(self.clock.now()));
        self.in_flight.borrow_mut().insert(key, state.clone());
        self.metrics.in_flight.inc();
        InFlight { gateway: self.clone(), key, state }
    }

    /// Returns a random number in `0.0..1.0`.
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Calls `choose` with the instance's random number generator.
    pub fn with_rng<T>(&self, choose: impl FnOnce(&mut dyn rand::RngCore) -> T) -> T {
        choose(&mut *self.rng.borrow_mut())
    }

    /// Returns the servers of a service that accept requests, except those in `tried`.
    pub fn candidates(&self, service: &str, tried: &[ServerKey]) -> Vec<Candidate> {
        let zone = &self.settings().zone;
        list_candidates(&self.directory.borrow(), service, zone, tried, self.clock.now())
    }

    /// Returns the mean sizes of the completions requested here, by service.
    pub fn sizes(&self) -> Vec<(ServiceName, Sizes)> {
        self.sizes.borrow().iter().map(|(service, sizes)| (service.clone(), *sizes)).collect()
    }

    /// Adds a completion to the mean sizes of its service.
    pub fn record_sizes(&self, request: &AdmissionRequest) {
        self.sizes.borrow_mut().entry(request.service.clone()).or_default().add(request);
    }

    /// Returns the time for which a completion of `tokens` output tokens holds engine memory.
    pub fn expected_holding(&self, tokens: u64) -> Duration {
        START_LATENCY + self.reservations.borrow().expected_duration(tokens)
    }

    /// Returns the usable engines of a service that have a role or are changing to it.
    pub fn engines_of_role(&self, service: &str, role: EngineRole) -> Vec<ServerKey> {
        let mut engines = Vec::new();
        for (key, server) in self.directory.borrow().iter() {
            let record = &server.record;
            let is_usable = !record.is_draining && !server.is_unreachable;
            let current = server.changing.or(record.role);
            if &*record.service == service && is_usable && current == Some(role) {
                engines.push(key);
            }
        }
        engines
    }

    /// Selects up to `count` of `engines`, each from the zone that has the most left.
    pub fn pick_across_zones(&self, engines: &[ServerKey], count: usize) -> Vec<ServerKey> {
        let directory = self.directory.borrow();
        let mut by_zone: BTreeMap<&str, Vec<ServerKey>> = BTreeMap::new();
        for engine in engines {
            let Some(server) = directory.get(*engine) else { continue };
            by_zone.entry(&server.record.zone).or_default().push(*engine);
        }
        let mut chosen = Vec::new();
        while chosen.len() < count {
            let Some(largest) = by_zone.values_mut().max_by_key(|engines| engines.len()) else {
                break;
            };
            let Some(engine) = largest.pop() else { break };
            chosen.push(engine);
        }
        chosen
    }

    /// Records that an engine is ordered to change its role. It is out of use until it reports that role.
    pub fn begin_role_change(&self, engine: ServerKey, role: EngineRole) {
        if let Some(server) = self.directory.borrow_mut().get_mut(engine) {
            server.changing = Some(role).filter(|role| server.record.role != Some(*role));
        }
    }

    /// Returns the role to which an engine was ordered to change, until it reports that role.
    pub fn role_change(&self, engine: ServerKey) -> Option<EngineRole> {
        self.directory.borrow().get(engine)?.changing
    }

    /// Records that an engine does not change its role.
    pub fn cancel_role_change(&self, engine: ServerKey) {
        if let Some(server) = self.directory.borrow_mut().get_mut(engine) {
            server.changing = None;
        }
        self.admit_queued();
    }

    /// Returns the servers of a service that this instance has tried, avoids or cannot use. Those that are only
    /// silent are among them while there is another decode engine, and with `only`, so are those that are avoided for
    /// another reason.
    pub fn unusable_servers(&self, service: &str, engines: Eligible) -> Vec<Box<str>> {
        let now = self.clock.now();
        let mut unusable_servers = Vec::new();
        let mut silent_servers = Vec::new();
        let mut has_engine = false;
        for (key, server) in self.directory.borrow().iter() {
            if &*server.record.service != service {
                continue;
            }
            let id = server.record.id.clone();
            let rests = !server.wait_left(now).is_zero();
            let is_decode = server.record.role == Some(EngineRole::Decode);
            let is_unusable = server.record.is_draining || rests || server.is_unreachable;
            if is_unusable || engines.tried.contains(&key) {
                unusable_servers.push(id);
                continue;
            }
            let is_choice = engines.only.contains(&key);
            if !server.is_avoided(now) {
                has_engine |= is_decode && (engines.only.is_empty() || is_choice);
                continue;
            }
            match is_choice || server.is_only_silent(now) {
                true => silent_servers.push(id),
                false => unusable_servers.push(id),
            }
        }
        if has_engine {
            unusable_servers.extend(silent_servers);
        }
        unusable_servers
    }

    /// Returns whether an engine is in the directory with a role and is not draining.
    pub fn can_use_engine(&self, id: &str, role: EngineRole) -> bool {
        let directory = self.directory.borrow();
        let Some(server) = directory.find(id) else { return false };
        let is_leaving = server.record.is_draining && !is_disabled(Guarantee::Drain);
        let rests = !server.wait_left(self.clock.now()).is_zero();
        !is_leaving && !rests && server.record.role == Some(role)
    }

    /// Returns the time until one of the servers of a service that can run requests, other than those in
    /// `tried`, ends its rest; `None` if one of them does not rest or there is none.
    pub fn rest_of_service(&self, service: &str, tried: &[ServerKey]) -> Option<Duration> {
        let mut candidates = self.candidates(service, tried);
        candidates.retain(|candidate| candidate.role != Some(EngineRole::Prefill));
        without_resting(&candidates).err().filter(|wait| !wait.is_zero())
    }

    /// Returns why a server that was chosen must not get a request any more, if so.
    pub fn reason_not_to_send(&self, server: ServerKey) -> Option<&'static str> {
        let directory = self.directory.borrow();
        let Some(server) = directory.get(server) else { return Some("the server is gone") };
        let is_leaving = server.record.is_draining && !is_disabled(Guarantee::Drain);
        if is_leaving {
            return Some("the server leaves");
        }
        // The request that is about to be sent counts as in flight.
        if server.awaits_report || (server.is_on_trial && server.in_flight > 1) {
            return Some("the server may leave or rest, and another request finds out");
        }
        let rests = !server.rest_left(self.clock.now()).is_zero();
        rests.then_some("the server rests")
    }

    /// Returns whether a server gets no requests of this instance for now.
    pub fn must_wait_for(&self, server: ServerKey) -> bool {
        let directory = self.directory.borrow();
        let wait = directory.get(server).map(|server| server.wait_left(self.clock.now()));
        wait.is_some_and(|wait| !wait.is_zero())
    }

    /// Returns whether a server wants no requests of this instance for now.
    pub fn is_resting(&self, server: ServerKey) -> bool {
        let directory = self.directory.borrow();
        let rest = directory.get(server).map(|server| server.rest_left(self.clock.now()));
        rest.is_some_and(|rest| !rest.is_zero())
    }

    /// Updates the limit of a server with `update`, and logs a change with its `source`:
    /// [`OWN_RESPONSE`] or a peer.
    pub fn update_limit(
        &self,
        server: ServerKey,
        source: &str,
        update: impl FnOnce(Option<LimitState>) -> Option<LimitState>,
    ) {
        let (share, now) = (self.limit_share(), self.clock.now());
        let change = self.directory.borrow_mut().update_limit(server, share, now, update);
        let Some(change) = change else { return };
        if self.peers().is_none_or(|peers| peers.is_coordinator(now)) {
            // Each permit that is issued from now on is reported here, so that a successor's count is that of
            // its predecessor.
            self.directory.borrow_mut().permit_due_in(server, share, now);
        }
        let is_own = source == OWN_RESPONSE;
        if is_own || self.coordinator().is_none() {
            mark_changed(self, server);
        }
        if change.is_raised() {
            self.admit_queued();
        }
        let name = self.server_name(server);
        let per_second = |limit: Option<RequestLimit>| limit.map(RequestLimit::per_second);
        let (limit, previous) = (per_second(change.current), per_second(change.previous));
        log::info!(server = &*name, limit:?, previous:?, source; "server_limit_changed");
    }

    /// Returns the limit of a server on the requests of all instances, if it names one.
    pub fn limit_of(&self, server: ServerKey) -> Option<RequestLimit> {
        let directory = self.directory.borrow();
        effective_limit(directory.get(server)?)
    }

    /// Returns the part of each server's limit that this instance issues permits by as coordinator: the
    /// share of the instances that it is in touch with.
    ///
    /// The others may be cut off and send requests by a coordinator of their own.
    pub fn limit_share(&self) -> f64 {
        let Some(peers) = self.peers() else { return 1.0 };
        let known = self.known_instances();
        peers.present(self.clock.now()).min(known) as f64 / known as f64
    }

    /// Returns the largest recent number of live instances, including this one.
    pub(crate) fn known_instances(&self) -> usize {
        match self.peers().map_or(1, |peers| peers.known(self.clock.now())) {
            1 if self.is_discovering() => ASSUMED_INSTANCES,
            known => known,
        }
    }

    /// Returns the time until a permit for one of the decode engines of a service is due; `None` if no
    /// engine is limited.
    pub fn decode_permit_wait(&self, service: &str) -> Option<Duration> {
        let (share, now) = (self.limit_share(), self.clock.now());
        let engines = self.engines_of_role(service, EngineRole::Decode);
        let mut directory = self.directory.borrow_mut();
        let mut earliest: Option<Duration> = None;
        for engine in engines {
            let Some(wait) = directory.permit_due_in(engine, share, now) else { continue };
            earliest = Some(earliest.map_or(wait, |earliest| earliest.min(wait)));
        }
        earliest
    }

    /// Returns the completions per second that the limits of the decode engines of a service allow.
    pub fn decode_rate_limit(&self, service: &str) -> f64 {
        let share = self.limit_share();
        let mut sum = 0.0;
        for engine in self.engines_of_role(service, EngineRole::Decode) {
            sum += self.limit_of(engine).map_or(f64::INFINITY, |limit| limit.rate(share));
        }
        sum
    }

    /// Returns a connection to the pool, which keeps the share of this instance of the connections that
    /// a server accepts from all instances.
    pub fn keep_idle(
        &self,
        server: ServerKey,
        connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let now = self.clock.now();
        let max_idle = self.max_idle_connections(server, now);
        self.pool.borrow_mut().put(server, connection, now, idle_timeout, max_idle);
    }

    /// Returns a connection to the pool that was not used.
    pub fn keep_unused(&self, server: ServerKey, connection: Connection) {
        let now = self.clock.now();
        let max_idle = self.max_idle_connections(server, now);
        self.pool.borrow_mut().put_back(server, connection, now, max_idle);
    }

    fn max_idle_connections(&self, server: ServerKey, now: Instant) -> usize {
        let directory = self.directory.borrow();
        let services = self.last_services.borrow();
        let service = directory.get(server).map(|server| &server.record.service);
        let service = service.and_then(|name| services.get(name));
        // Zero stands for a service without a stated maximum.
        let accepted =
            service.map(|service| service.max_connections as usize).filter(|max| *max > 0);
        let Some(accepted) = accepted else { return MAX_IDLE };
        let known = self.peers().map_or(1, |peers| peers.known(now));
        (accepted / known).clamp(1, MAX_IDLE)
    }

    /// Sends limits to the coordinators, or as coordinator to all instances.
    pub fn send_limits(&self, payload: Payload) {
        let Some(peers) = self.peers() else { return };
        match self.coordinator() {
            Some(_) => peers.send_to_coordinators(&payload, None, self.clock.now()),
            None => peers.send_to_all(&payload),
        }
    }

    /// Returns the identifier of a server for logs.
    pub fn server_name(&self, server: ServerKey) -> Box<str> {
        let directory = self.directory.borrow();
        directory.get(server).map_or("gone".into(), |server| server.record.id.clone())
    }

    /// Returns the common properties of the engines of a service.
    pub fn engine_spec(&self, service: &str) -> Option<EngineSpec> {
        self.routing.borrow().as_ref()?.services.get(service)?.engine
    }

    /// Returns the common properties of the engines of a service, also of one that the configuration no longer names:
    /// its engines still run streams.
    pub fn last_engine_spec(&self, service: &str) -> Option<EngineSpec> {
        self.last_services.borrow().get(service)?.engine
    }

    /// Replaces the routing. Services that it no longer names are kept while servers of them are listed.
    pub(crate) fn set_routing(&self, routing: Routing) {
        let mut services = self.last_services.borrow_mut();
        let directory = self.directory.borrow();
        services
            .retain(|name, _| directory.iter().any(|(_, server)| server.record.service == *name));
        for (name, service) in &routing.services {
            services.insert(name.clone(), service.clone());
        }
        shared_limits::configure(self, &routing);
        self.routing.replace(Some(Rc::new(routing)));
    }

    /// Returns the path at which the servers of a service answer whether they are healthy.
    pub fn health_path(&self, service: &str) -> Box<str> {
        let services = self.last_services.borrow();
        let service = services.get(service);
        let path = service.map(|service| service.health_path.clone()).unwrap_or_default();
        if path.is_empty() { "/".into() } else { path }
    }

    /// Adds the share of one request to the retry budget of its service.
    pub fn fund_retries(&self, service: &ServiceName) {
        self.with_budget(service, |budget, _| budget.succeeded());
    }

    /// Charges one retry to the own budget of a service. Returns whether that allowed it.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let is_allowed = self.with_budget(service, RetryBudget::take);
        if !is_allowed {
            self.metrics.budget_exhausted.inc();
        }
        is_allowed || is_disabled(Guarantee::Budget)
    }

    /// Charges one retry to the own budget of a service, or borrows one from the coordinator. Returns whether there
    /// was one.
    pub async fn obtain_retry(self: &Rc<Self>, service: &ServiceName) -> bool {
        self.take_retry(service) || borrow_retry(self, service).await
    }

    /// Returns the limits of the retries of each service that this instance lends as coordinator.
    pub(crate) fn lendable_retries(&self) -> RetryBudgetConfig {
        let pool = self.settings().budget.pool(self.budget_instances());
        let share = self.limit_share();
        RetryBudgetConfig {
            retries_per_second: pool.retries_per_second * share,
            burst: pool.burst * share,
            ..pool
        }
    }

    /// Returns whether a retry is due within a time, by what accrues to the own budgets and to what the coordinator
    /// lends without further requests.
    pub fn is_retry_due_within(&self, wait: Duration) -> bool {
        let local = self.settings().budget.local(self.budget_instances());
        let per_second = local.retries_per_second + self.lendable_retries().retries_per_second;
        per_second * wait.as_secs_f64() >= 1.0
    }

    /// Returns an unused retry to the budget.
    pub fn return_retry(&self, service: &ServiceName) {
        self.with_budget(service, |budget, _| budget.give_back());
    }

    /// Charges a retry that was recognized as one only after it was sent. If the own budget lacks it, one is borrowed.
    pub fn charge_retry(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::charge);
        let Some(this) = self.this.upgrade().filter(|this| this.is_budget_overdrawn(service))
        else {
            return;
        };
        let service = service.clone();
        actix_rt::spawn(async move {
            if borrow_retry(&this, &service).await {
                this.return_retry(&service);
            }
        });
    }

    /// Returns whether more retries of a service were charged than its budget allowed.
    pub fn is_budget_overdrawn(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::is_overdrawn)
    }

    /// Updates the maximum number of live instances seen so far.
    pub fn update_max_instances(&self) {
        let live = self.live_instances();
        self.max_instances.set(self.max_instances.get().max(live));
        if let Some(peers) = self.peers() {
            peers.record_known(live, self.clock.now());
        }
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        run: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let now = self.clock.now();
        let cfg = self.settings().budget.local(self.budget_instances());
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(cfg, now));
        // The settings and the number of instances may have changed.
        budget.set_config(cfg);
        run(budget, now)
    }

    /// Returns the number of instances that share the retry budget.
    ///
    /// Instances that are cut off still use their share, so the maximum number seen so far counts.
    fn budget_instances(&self) -> usize {
        match self.max_instances.get() {
            1 if self.is_discovering() => ASSUMED_INSTANCES,
            known => known,
        }
    }

    /// Returns the time since the start of the instance.
    pub fn uptime(&self) -> Duration {
        self.clock.now() - self.created
    }

    /// Returns whether an instance that knows no peers may not have discovered them yet.
    fn is_discovering(&self) -> bool {
        let is_new = self.uptime() < PEER_DISCOVERY_TIME;
        is_new && self.peers().is_some_and(|peers| peers.has_seeds())
    }

    /// Returns the `Retry-After` of a refused request.
    pub fn retry_after(&self, route: &Route, remaining: Duration) -> Duration {
        // The caller retries early enough to be served, and spread out from other callers.
        let max_wait = remaining.mul_f64(RETRY_AFTER_SHARE).min(route.target_latency);
        max_wait.mul_f64(0.5 + 0.5 * self.random_fraction())
    }

    /// Returns the `Retry-After` of a request that is refused since there is no capacity.
    ///
    /// A caller who returns within a burst is refused again, and one who returns after the latency target is late
    /// whenever that is. So it returns as late as it still can, and leaves the capacity until then to others who can
    /// be in time.
    pub fn retry_after_overload(&self, remaining: Duration) -> Duration {
        remaining.mul_f64(RETRY_AFTER_SHARE).mul_f64(0.5 + 0.5 * self.random_fraction())
    }

    /// Closes unusable idle connections, and removes servers that did not register again.
    pub fn sweep(&self) {
        let now = self.clock.now();
        self.metrics.queued.set(self.queue.len() as i64);
        memory::report(self);
        for (service, budget) in &*self.budgets.borrow() {
            self.metrics.set_budget_left(service, budget.left());
        }
        self.update_max_instances();
        report_proof_state(self);
        self.log_engine_speeds();
        if let Some(peers) = self.peers() {
            let sent = peers.sent();
            let metrics = &self.metrics;
            metrics.peer_messages.inc_by(sent.messages - metrics.peer_messages.get());
            metrics.peer_bytes.inc_by(sent.bytes - metrics.peer_bytes.get());
        }
        let directory = self.directory.borrow();
        let limited = directory.iter().filter(|(_, server)| server.limit().is_some());
        self.metrics.limited_servers.set(limited.count() as i64);
        self.pool.borrow_mut().sweep(now, |key| directory.get(key).is_some());
        drop(directory);
        self.remove_overdue_servers();
    }
}

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Joins the identifiers of a prompt's parts for logs.
pub fn display_parts<'a>(parts: impl IntoIterator<Item = &'a PartId>) -> Box<str> {
    let mut text = String::new();
    for part in parts.into_iter().take(MAX_LOGGED_PARTS) {
        if !text.is_empty() {
            text.push(',');
        }
        text.push_str(&part.to_string());
    }
    text.into()
}

/// A request in flight.
pub struct InFlight {
    gateway: Rc<Gateway>,
    key: u64,
    /// State of the request.
    pub state: Rc<RequestState>,
}

impl InFlight {
    /// Logs and counts a request that is dropped before its response.
    fn report_dropped(&self) {
        let cause = self.gateway.drop_cause();
        let request = &**self.state.id.borrow();
        let server = &**self.state.server.borrow();
        let may_have_run = self.state.may_have_run();
        let elapsed = self.gateway.clock.now().saturating_duration_since(self.state.received);
        let elapsed_ms = elapsed.as_millis() as u64;
        log::info!(request, server, may_have_run, elapsed_ms, cause = cause.as_str(); "request_dropped");
        self.gateway.metrics.count_dropped("head", cause);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.in_flight.borrow_mut().remove(&self.key);
        self.gateway.metrics.in_flight.dec();
        if !self.state.has_responded.get() {
            self.report_dropped();
        }
    }
}
