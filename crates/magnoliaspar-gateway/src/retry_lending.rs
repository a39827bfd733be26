//! Retries that the coordinator lends to instances whose own budget is used up.
//!
//! Servers that fail hit the requests of a few instances, while the budgets of all others lie idle. Of the retries that
//! all instances share, each therefore has few to itself, and the coordinator lends the others, one at a time, to the
//! instance that needs one. What is lent is reported to the other coordinators, so that a successor does not lend it
//! again. Instances that are cut off from the others lend by their share of the instances.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_retry::{RetryBudget, RetryBudgetConfig};

use crate::gateway::Gateway;
use crate::peers::Payload;
use crate::replies::Replies;
use crate::route::ServiceName;

/// Timeout of a request to the coordinator for a retry: about ten round trips.
const LOAN_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which no retry of a service is requested after the coordinator has refused one or was silent.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// State of the retries that this instance borrows and lends.
#[derive(Debug, Default)]
pub struct RetryLending {
    /// Requests to the coordinator, and whether it lends a retry.
    pub(crate) decisions: Replies<bool>,
    /// The times until which no retry of a service is requested.
    paused_until: RefCell<BTreeMap<ServiceName, Instant>>,
    /// The retries that are left to lend.
    pools: RefCell<BTreeMap<ServiceName, RetryBudget>>,
}

impl RetryLending {
    fn is_paused(&self, service: &ServiceName, now: Instant) -> bool {
        self.paused_until.borrow().get(service).is_some_and(|until| now < *until)
    }

    fn with_pool<T>(
        &self,
        service: &ServiceName,
        cfg: RetryBudgetConfig,
        now: Instant,
        run: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(service.clone()).or_insert_with(|| RetryBudget::new(cfg, now));
        pool.set_config(cfg);
        run(pool)
    }
}

/// Requests a retry of a service from the coordinator; returns whether it has lent one in time.
pub async fn borrow_retry(gateway: &Rc<Gateway>, service: &ServiceName) -> bool {
    let lending = &gateway.retry_lending;
    if lending.is_paused(service, gateway.clock.now()) {
        return false;
    }
    let is_lent = match gateway.coordinator() {
        None => lend_retry(gateway, service),
        Some(coordinator) => {
            let send = |number| {
                gateway.send(coordinator.address, Payload::BorrowRetry(number, service.clone()));
            };
            lending.decisions.request(LOAN_TIMEOUT, send).await.unwrap_or(false)
        }
    };
    gateway.metrics.count_loan(is_lent);
    if !is_lent {
        let until = gateway.clock.now() + REFUSAL_PAUSE;
        lending.paused_until.borrow_mut().insert(service.clone(), until);
    }
    is_lent
}

/// Lends a retry of a service, if one is left, and reports it to the other coordinators.
pub fn lend_retry(gateway: &Gateway, service: &ServiceName) -> bool {
    let now = gateway.clock.now();
    let cfg = gateway.lendable_retries();
    let is_lent = gateway.retry_lending.with_pool(service, cfg, now, |pool| pool.take(now));
    if is_lent {
        gateway.send_to_other_coordinators(Payload::RetryLent(service.clone()), None);
    }
    log::debug!(service = &**service, is_lent; "retry_requested");
    is_lent
}

/// Counts a retry that another coordinator has lent.
pub fn record_lent(gateway: &Gateway, service: &ServiceName) {
    let now = gateway.clock.now();
    let cfg = gateway.lendable_retries();
    // The two sides of a cut may have lent more than one pool holds.
    gateway.retry_lending.with_pool(service, cfg, now, |pool| {
        if !pool.is_overdrawn(now) {
            pool.charge(now);
        }
    });
}
