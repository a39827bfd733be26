//! The state that all parts of one instance share.

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

use crate::caller::{ServiceLoad, ServiceResilience};
use crate::cluster::ClusterState;
use crate::directory::Directory;
use crate::journal::Journal;
use crate::limit::ConcurrencyLimits;
use crate::metrics::Metrics;
use crate::operator::ZoneOrders;
use crate::peer::{PeerClients, RendezvousHomeChooser};
use crate::progress::InProgress;
use crate::quarantine::QuarantineState;
use crate::reaping::StreamOwnership;
use crate::run::{LocalHome, RunOpener};
use crate::service::ServiceClient;

/// Maximum rate of recorded authentication failures per second, after a burst.
pub const AUTH_EVENTS_PER_SECOND: f64 = 2.0;

/// Maximum burst of recorded authentication failures.
pub const AUTH_EVENTS_BURST: f64 = 100.0;

/// One entry instance.
pub struct Instance {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The active configuration.
    pub configuration: Rc<ConfigurationSlot>,
    /// The state that the instances of the deployment share.
    pub cluster: Rc<ClusterState>,
    /// Opens runs on their home instances.
    pub run_opener: RunOpener,
    /// This instance as the home of runs.
    pub home: Rc<LocalHome>,
    /// Selects the home instances of requests.
    pub home_chooser: Rc<RendezvousHomeChooser>,
    /// The quarantine of requests that crash engines.
    pub quarantine: Rc<QuarantineState>,
    /// The engine streams that this instance drives.
    pub ownership: Rc<StreamOwnership>,
    /// Finds orphaned engine streams.
    pub reaper: RefCell<Reaper>,
    /// The clients of other instances.
    pub clients: Rc<PeerClients>,
    /// Calls plain services.
    pub services: ServiceClient,
    /// Balances calls over the servers of plain services.
    pub service_load: ServiceLoad,
    /// Limits retries, and ejects failing servers of plain services.
    pub service_resilience: ServiceResilience,
    /// Claims calls that must be dispatched at most once.
    pub claims: ClaimController,
    /// The event journal.
    pub journal: Rc<Journal>,
    /// The backend servers.
    pub directory: Rc<Directory>,
    /// Counts the requests in progress.
    pub in_progress: InProgress,
    /// Limits the number of concurrent requests.
    pub concurrency: ConcurrencyLimits,
    /// The metrics.
    pub metrics: Rc<Metrics>,
    /// The time at which the instance started.
    pub started_at: Instant,
    /// The table service, limited to this instance's share of the rate budget.
    pub table: Rc<RateLimitedTable>,
    /// The orders that this instance has given to the engines of its availability zone.
    pub orders: ZoneOrders,
    /// Limits the rate of recorded authentication failures.
    pub auth_events: RefCell<TokenBucket>,
    /// True while the instance drains because its process is about to end.
    pub is_shutting_down: Cell<bool>,
    /// True while the instance drains at the command of an operator.
    pub is_drained_by_operator: Cell<bool>,
}

impl Instance {
    /// Returns the active configuration, if one is known.
    pub fn active_configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.configuration.current()
    }

    /// Returns whether the instance accepts no more requests, for any reason.
    pub fn is_draining(&self) -> bool {
        self.is_shutting_down.get() || self.is_drained_by_operator.get()
    }

    /// Counts and records a wrong or missing key, or one that lacks the required permission.
    pub fn record_auth_failure(&self, listener: Listener, status: u16) {
        let who = match listener {
            Listener::Callers => "caller",
            Listener::Peers => "peer",
            Listener::Operators => "operator",
        };
        self.metrics.count_auth_failure(who);
        // A flood of wrong keys must not evict all other events from the ring buffer.
        if self.auth_events.borrow_mut().try_take(self.clock.now(), 1.0).is_err() {
            return;
        }
        self.journal.record_own(EventKind::AuthFailed { listener, status });
    }

    /// Returns whether the instance can accept requests.
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

/// The readiness of an instance to accept requests.
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

/// Holds the active configuration, if one is known.
#[derive(Debug, Default)]
pub struct ConfigurationSlot(RefCell<Option<Rc<ActiveConfiguration>>>);

impl ConfigurationSlot {
    /// Returns the configuration, if one is known.
    pub fn current(&self) -> Option<Rc<ActiveConfiguration>> {
        self.0.borrow().clone()
    }

    /// Replaces the configuration if `fresh` has a higher version.
    pub fn set(&self, fresh: ActiveConfiguration) {
        let mut current = self.0.borrow_mut();
        if current.as_ref().is_some_and(|current| current.version >= fresh.version) {
            return;
        }
        *current = Some(Rc::new(fresh));
    }
}

/// The version of the configuration with which an instance serves.
#[derive(Debug, Clone)]
pub struct ActiveConfiguration {
    /// The version.
    pub version: u64,
    /// The declarations.
    pub declarations: Declarations,
    /// The declarations as they are stored and sent.
    pub document: Document,
}
