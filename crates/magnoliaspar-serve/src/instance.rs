//! What all parts of one instance share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use displaydoc::Display;
use magnoliaspar_claim::ClaimController;
use magnoliaspar_configuration::Readiness as ConfigurationReadiness;
use magnoliaspar_core::Clock;
use magnoliaspar_declaration::{Declarations, Document};
use magnoliaspar_event::{EventKind, Listener};
use magnoliaspar_reaper::Reaper;
use magnoliaspar_settings::Settings;
use magnoliaspar_store::{RateLimitedTable, TokenBucket};

use crate::caller::{ServiceGuard, ServiceLoad};
use crate::cluster::ClusterState;
use crate::directory::Directory;
use crate::journal::Journal;
use crate::limit::ConcurrencyLimits;
use crate::metrics::Metrics;
use crate::operator::ZoneOrders;
use crate::peer::{PeerClients, ZoneHomes};
use crate::progress::InProgress;
use crate::quarantine::QuarantineState;
use crate::reaping::StreamOwnership;
use crate::run::{Homes, LocalHome};
use crate::service::ServiceCaller;

/// How many events about wrong keys are recorded in a second, once there was a burst of them.
pub const AUTH_EVENTS_PER_SECOND: f64 = 2.0;

/// How many events about wrong keys are recorded at once.
pub const AUTH_EVENTS_BURST: f64 = 100.0;

/// One entry instance.
pub struct Instance {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The configuration in force.
    pub configuration: Rc<ConfigurationInForce>,
    /// What the instances of the deployment agree on.
    pub cluster: Rc<ClusterState>,
    /// Reads answers from their home instances.
    pub homes: Homes,
    /// This instance as a home.
    pub home: Rc<LocalHome>,
    /// Chooses home instances.
    pub zone_homes: Rc<ZoneHomes>,
    /// What is known of requests that crash engines.
    pub quarantine: Rc<QuarantineState>,
    /// The streams on engines that this instance drives.
    pub ownership: Rc<StreamOwnership>,
    /// Finds streams that nobody drives.
    pub reaper: RefCell<Reaper>,
    /// The links to other instances.
    pub clients: Rc<PeerClients>,
    /// Calls plain services.
    pub services: ServiceCaller,
    /// Spreads calls over the servers of plain services.
    pub service_load: ServiceLoad,
    /// Limits retries, and keeps failing servers of plain services out of use.
    pub service_guard: ServiceGuard,
    /// Claims calls that must be dispatched at most once.
    pub claims: ClaimController,
    /// Records events.
    pub journal: Rc<Journal>,
    /// The backend servers.
    pub directory: Rc<Directory>,
    /// Counts the requests of callers that are in progress.
    pub in_progress: InProgress,
    /// Limits how many requests are in progress.
    pub concurrency: ConcurrencyLimits,
    /// Counts what happens.
    pub metrics: Rc<Metrics>,
    /// When the instance started.
    pub started_at: Instant,
    /// The table service, within this instance's share of its rates.
    pub table: Rc<RateLimitedTable>,
    /// The orders that this instance gave to the engines of its availability zone.
    pub orders: ZoneOrders,
    /// Bounds the events about wrong keys.
    pub auth_events: RefCell<TokenBucket>,
    /// Whether the instance drains since its process ends.
    pub is_draining: Cell<bool>,
    /// Whether the instance drains since an operator wants it to.
    pub is_drained_by_operator: Cell<bool>,
}

impl Instance {
    /// Returns the configuration in force, if one is known.
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.configuration.current()
    }

    /// Whether the instance takes no more requests, for whatever reason.
    pub fn is_draining(&self) -> bool {
        self.is_draining.get() || self.is_drained_by_operator.get()
    }

    /// Counts and records a wrong or missing key, or one without the needed right.
    pub fn record_auth_failure(&self, listener: Listener, status: u16) {
        let who = match listener {
            Listener::Callers => "caller",
            Listener::Peers => "peer",
            Listener::Operators => "operator",
        };
        self.metrics.count_auth_failure(who);
        // A flood of wrong keys must not push all other events out of the ring.
        if self.auth_events.borrow_mut().try_take(self.clock.now(), 1.0).is_err() {
            return;
        }
        self.journal.record_own(EventKind::AuthFailed { listener, status });
    }

    /// Whether the instance can take requests.
    pub fn readiness(&self) -> Readiness {
        if self.is_draining() {
            return Readiness::Draining;
        }
        if self.configuration.current().is_none() {
            return Readiness::NoConfiguration;
        }
        match self.cluster.readiness() {
            ConfigurationReadiness::Ready => Readiness::Ready,
            ConfigurationReadiness::NoConfiguration => Readiness::NoConfiguration,
            ConfigurationReadiness::Behind { .. } | ConfigurationReadiness::Learning => {
                Readiness::Learning
            }
        }
    }
}

/// Whether an instance can take requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Readiness {
    /// the instance takes requests
    Ready,
    /// the instance could not learn any configuration yet
    NoConfiguration,
    /// the instance does not know yet whether its configuration is the newest
    Learning,
    /// the instance drains and takes no more requests
    Draining,
}

/// The configuration that an instance serves by.
#[derive(Debug, Default)]
pub struct ConfigurationInForce(RefCell<Option<Rc<InForce>>>);

impl ConfigurationInForce {
    /// Returns the configuration, if one is known.
    pub fn current(&self) -> Option<Rc<InForce>> {
        self.0.borrow().clone()
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    pub fn set(&self, fresh: InForce) {
        let mut current = self.0.borrow_mut();
        if current.as_ref().is_some_and(|current| current.version >= fresh.version) {
            return;
        }
        *current = Some(Rc::new(fresh));
    }
}

/// One version of the configuration.
#[derive(Debug, Clone)]
pub struct InForce {
    /// The version.
    pub version: u64,
    /// The declarations.
    pub declarations: Declarations,
    /// The declarations as they are stored and sent.
    pub document: Document,
}
