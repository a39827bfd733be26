//! Retry budgets, hedging and outlier ejection for plain services.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::{Clock, PoolName, RouteName, ServerName};
use magnoliaspar_declaration::RepeatRule;
use magnoliaspar_event::{EventKind, ServerState};
use magnoliaspar_retry::{
    Backoff, HedgeConfig, HedgePolicy, OutlierConfig, OutlierDetector, RetryBudget,
    RetryBudgetConfig,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::directory::KnownServer;
use crate::journal::Journal;

/// Backoff before a retry: the first delay and the upper bound of all delays.
const RETRY_BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(20), longest: Duration::from_millis(500) };

/// Limits the retries and hedged calls of each route, and ejects failing servers from their pools.
#[derive(Clone)]
pub struct ServiceResilience(Rc<Inner>);

struct Inner {
    clock: Rc<dyn Clock>,
    journal: Rc<Journal>,
    rng: RefCell<StdRng>,
    routes: RefCell<BTreeMap<RouteName, RouteState>>,
    detectors: RefCell<BTreeMap<PoolName, OutlierDetector>>,
}

struct RouteState {
    retries: RetryBudget,
    hedges: HedgePolicy,
}

impl ServiceResilience {
    /// Creates a state with full budgets and no ejected server.
    pub fn new(clock: Rc<dyn Clock>, journal: Rc<Journal>) -> Self {
        Self(Rc::new(Inner {
            clock,
            journal,
            rng: RefCell::new(StdRng::from_os_rng()),
            routes: RefCell::default(),
            detectors: RefCell::default(),
        }))
    }

    /// Returns the servers of a pool that are not ejected, or all of them if all are ejected.
    pub fn usable(&self, pool: &PoolName, servers: Vec<KnownServer>) -> Vec<KnownServer> {
        let now = self.0.clock.now();
        let mut detectors = self.0.detectors.borrow_mut();
        let detector = detectors.entry(pool.clone()).or_insert_with(new_detector);
        let mut usable = Vec::with_capacity(servers.len());
        for server in &servers {
            detector.add_server(server.name.clone());
            if !detector.is_ejected(now, &server.name) {
                usable.push(server.clone());
            }
        }
        if usable.is_empty() { servers } else { usable }
    }

    /// Records the outcome of a call for the detection of outliers.
    pub fn record(&self, pool: &PoolName, server: &KnownServer, is_ok: bool) {
        let now = self.0.clock.now();
        let mut detectors = self.0.detectors.borrow_mut();
        let Some(detector) = detectors.get_mut(pool) else { return };
        for ejection in detector.record(now, &server.name, is_ok) {
            self.record_ejection(&ejection.server, server);
        }
    }

    /// Takes one retry from a route's budget; returns whether there was one.
    pub fn take_retry(&self, route: &RouteName) -> bool {
        let now = self.0.clock.now();
        self.with_route(route, |state| state.retries.take(now))
    }

    /// Returns the delay before a retry; `retry` counts from 0.
    pub fn backoff(&self, retry: u32) -> Duration {
        RETRY_BACKOFF.wait(retry, &mut *self.0.rng.borrow_mut())
    }

    /// Returns the time without an answer after which a hedged call may start, if the route hedges.
    pub fn hedge_delay(&self, route: &RouteName, rule: RepeatRule) -> Option<Duration> {
        self.with_route(route, |state| state.hedges.started(rule))
    }

    /// Takes one hedged call from the allowed share; returns whether there was one.
    pub fn take_hedge(&self, route: &RouteName, rule: RepeatRule) -> bool {
        self.with_route(route, |state| state.hedges.take(rule))
    }

    /// Records that a call was answered after `latency`.
    pub fn answered(&self, route: &RouteName, latency: Duration) {
        self.with_route(route, |state| {
            state.retries.succeeded();
            state.hedges.answered(latency);
        });
    }

    fn with_route<T>(&self, route: &RouteName, change: impl FnOnce(&mut RouteState) -> T) -> T {
        let now = self.0.clock.now();
        let mut routes = self.0.routes.borrow_mut();
        let state = routes.entry(route.clone()).or_insert_with(|| RouteState {
            retries: RetryBudget::new(RetryBudgetConfig::default(), now),
            hedges: HedgePolicy::new(HedgeConfig::default()),
        });
        change(state)
    }

    fn record_ejection(&self, ejected: &ServerName, server: &KnownServer) {
        let state = ServerState::Ejected;
        let incarnation = server.incarnation;
        self.0.journal.record_server(ejected, EventKind::ServerState { state, incarnation });
    }
}

fn new_detector() -> OutlierDetector {
    OutlierDetector::new(OutlierConfig::default())
}

#[cfg(test)]
mod tests {
    use std::rc::Rc;

    use super::ServiceResilience;
    use crate::directory::KnownServer;
    use crate::journal::Journal;
    use magnoliaspar_core::{Clock, InstanceName, ManualClock, RouteName};

    fn resilience() -> ServiceResilience {
        let clock: Rc<dyn Clock> = Rc::new(ManualClock::new());
        let instance = InstanceName::try_from("a-1").unwrap();
        ServiceResilience::new(clock.clone(), Journal::new(clock, instance))
    }

    #[test]
    fn a_server_that_fails_repeatedly_is_ejected() {
        let resilience = resilience();
        let servers = vec![KnownServer::for_test("a"), KnownServer::for_test("b")];
        let pool = servers[0].pool.clone();
        assert_eq!(resilience.usable(&pool, servers.clone()).len(), 2);
        for _ in 0..10 {
            resilience.record(&pool, &servers[0], false);
        }
        assert_eq!(resilience.usable(&pool, servers.clone()), [servers[1].clone()]);
    }

    #[test]
    fn retries_without_successes_exhaust_the_budget() {
        let resilience = resilience();
        let route = RouteName::try_from("status").unwrap();
        let mut retries = 0;
        while resilience.take_retry(&route) {
            retries += 1;
        }
        assert_eq!(retries, 10);
    }
}
