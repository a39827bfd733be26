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

/// How long the first and any other wait before a retry may be.
const BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(20), longest: Duration::from_millis(500) };

/// Limits retries and second calls by route, and keeps failing servers out of use.
#[derive(Clone)]
pub struct ServiceGuard(Rc<Inner>);

struct Inner {
    clock: Rc<dyn Clock>,
    journal: Rc<Journal>,
    rng: RefCell<StdRng>,
    routes: RefCell<BTreeMap<RouteName, RouteGuard>>,
    pools: RefCell<BTreeMap<PoolName, OutlierDetector>>,
}

struct RouteGuard {
    retries: RetryBudget,
    hedges: HedgePolicy,
}

impl ServiceGuard {
    /// Creates a guard with full budgets and no server out of use.
    pub fn new(clock: Rc<dyn Clock>, journal: Rc<Journal>) -> Self {
        Self(Rc::new(Inner {
            clock,
            journal,
            rng: RefCell::new(StdRng::from_os_rng()),
            routes: RefCell::default(),
            pools: RefCell::default(),
        }))
    }

    /// Returns the servers of a pool that are in use, or all if none is.
    pub fn usable(&self, pool: &PoolName, servers: Vec<KnownServer>) -> Vec<KnownServer> {
        let now = self.0.clock.now();
        let mut pools = self.0.pools.borrow_mut();
        let detector = pools.entry(pool.clone()).or_insert_with(new_detector);
        let mut usable = Vec::with_capacity(servers.len());
        for server in &servers {
            detector.add_server(server.name.clone());
            if !detector.is_ejected(now, &server.name) {
                usable.push(server.clone());
            }
        }
        if usable.is_empty() { servers } else { usable }
    }

    /// Takes in the outcome of a call.
    pub fn record(&self, pool: &PoolName, server: &KnownServer, is_ok: bool) {
        let now = self.0.clock.now();
        let mut pools = self.0.pools.borrow_mut();
        let Some(detector) = pools.get_mut(pool) else { return };
        for ejection in detector.record(now, &server.name, is_ok) {
            self.record_ejection(&ejection.server, server);
        }
    }

    /// Takes one retry out of a route's budget, if there is one.
    pub fn take_retry(&self, route: &RouteName) -> bool {
        let now = self.0.clock.now();
        self.with(route, |guard| guard.retries.take(now))
    }

    /// Returns how long to wait before a retry, counted from 0.
    pub fn backoff(&self, retry: u32) -> Duration {
        BACKOFF.wait(retry, &mut *self.0.rng.borrow_mut())
    }

    /// Returns after which time without an answer a second call may be made.
    pub fn hedge_delay(&self, route: &RouteName, rule: RepeatRule) -> Option<Duration> {
        self.with(route, |guard| guard.hedges.started(rule))
    }

    /// Takes one second call out of the allowed share, if there is one.
    pub fn take_hedge(&self, route: &RouteName, rule: RepeatRule) -> bool {
        self.with(route, |guard| guard.hedges.take(rule))
    }

    /// Takes in that a call was answered after `latency`.
    pub fn answered(&self, route: &RouteName, latency: Duration) {
        self.with(route, |guard| {
            guard.retries.succeeded();
            guard.hedges.answered(latency);
        });
    }

    fn with<T>(&self, route: &RouteName, change: impl FnOnce(&mut RouteGuard) -> T) -> T {
        let now = self.0.clock.now();
        let mut routes = self.0.routes.borrow_mut();
        let guard = routes.entry(route.clone()).or_insert_with(|| RouteGuard {
            retries: RetryBudget::new(RetryBudgetConfig::default(), now),
            hedges: HedgePolicy::new(HedgeConfig::default()),
        });
        change(guard)
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

    use super::ServiceGuard;
    use crate::directory::KnownServer;
    use crate::journal::Journal;
    use magnoliaspar_core::{Clock, InstanceName, ManualClock, RouteName};

    fn guard() -> ServiceGuard {
        let clock: Rc<dyn Clock> = Rc::new(ManualClock::new());
        let instance = InstanceName::try_from("a-1").unwrap();
        ServiceGuard::new(clock.clone(), Journal::new(clock, instance))
    }

    #[test]
    fn a_server_that_fails_again_and_again_is_out_of_use() {
        let guard = guard();
        let servers = vec![KnownServer::for_test("a"), KnownServer::for_test("b")];
        let pool = servers[0].pool.clone();
        assert_eq!(guard.usable(&pool, servers.clone()).len(), 2);
        for _ in 0..10 {
            guard.record(&pool, &servers[0], false);
        }
        assert_eq!(guard.usable(&pool, servers.clone()), [servers[1].clone()]);
    }

    #[test]
    fn retries_without_successes_run_out() {
        let guard = guard();
        let route = RouteName::try_from("status").unwrap();
        let mut retries = 0;
        while guard.take_retry(&route) {
            retries += 1;
        }
        assert_eq!(retries, 10);
    }
}
