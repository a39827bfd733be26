//! Decides how many engines prefill prompts, and orders engines to change their role.
//!
//! In bursts decode memory is the bottleneck while prefill engines have spare time. The coordinator
//! therefore assigns as many engines to decode as the remaining ones can prefill prompts for.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use async_trait::async_trait;
use magnoliaspar_core::ServerKey;
use magnoliaspar_order::{LeaseController, LeaseError};

use crate::call::observe_server;
use crate::coordinator::AdmissionRequest;
use crate::dialect::ResponseFacts;
use crate::directory::EngineRole;
use crate::gateway::Gateway;
use crate::liveness::request_engine_state;
use crate::route::ServiceName;
use crate::selection::DEFAULT_PREFILL_TOKENS_PER_MS;

/// Maximum utilization of prefill engines when all decode engines are full. The rest keeps prompts
/// from queueing.
const MAX_PREFILL_UTILIZATION: f64 = 0.75;

/// Utilization of prefill engines above which decode engines are ordered to prefill.
const PREFILL_OVERLOAD_UTILIZATION: f64 = 1.1;

/// Minimum number of prefill engines of a service.
const MIN_PREFILL_ENGINES: usize = 2;

/// Number of admission requests before the mean sizes are used.
const MIN_SAMPLES: u64 = 20;

/// Weight of a new completion in the mean sizes.
const SIZE_SMOOTHING: f64 = 0.05;

/// Interval at which the number of prefill engines is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after orders until the roles are checked again. A role change takes some seconds, and
/// appears in the list of servers a moment later.
const COOLDOWN: Duration = Duration::from_secs(12);

/// Time after an order from which on an engine that has not reported its new role is asked whether it still
/// changes.
pub const ROLE_CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which it is asked.
const ROLE_CHANGE_POLL: Duration = Duration::from_secs(2);

/// Maximum number of reports that are requested of it. One that does not answer is as it was before.
const MAX_ROLE_CHANGE_POLLS: u32 = 10;

/// Number of checks in a row that must ask for more engines of a role. A burst is over before a change of role is.
const MIN_AGREEING_CHECKS: u32 = 3;

/// Maximum part of the decode engines that are ordered to prefill at once, since they are out of use meanwhile.
const MAX_DECODE_ENGINES_PART: usize = 10;

/// Sends orders to engines to change their role.
#[async_trait(?Send)]
pub trait RoleOrders {
    /// Sends one order. `holder` and `fencing` prove to the engine that the order is authorized.
    async fn order_role(&self, order: &RoleOrder) -> Result<OrderResponse, OrderError>;
}

/// The response of an engine to an order.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderResponse {
    /// The status.
    pub status: StatusCode,
    /// What the response says of the engine.
    pub facts: ResponseFacts,
}

/// An order to one engine to change its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Identifier of the engine; another engine at the address refuses the order.
    pub server: Box<str>,
    /// The new role.
    pub role: EngineRole,
    /// The instance that sends the order.
    pub holder: Box<str>,
    /// Fencing token of the instance's lease.
    pub fencing: u64,
}

/// Reason why an order failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum OrderError {
    /// the engine refused the order with status {0}
    Refused(u16),
    /// no answer, the engine may have taken the order: {0}
    Unanswered(Box<str>),
}

impl std::error::Error for OrderError {}

/// Moving averages of the sizes of a service's completions, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sizes {
    count: u64,
    prompt_tokens: f64,
    output_tokens: f64,
}

impl Sizes {
    /// Adds one completion.
    pub fn add(&mut self, request: &AdmissionRequest) {
        self.count += 1;
        let gain = SIZE_SMOOTHING.max(1.0 / self.count as f64);
        self.prompt_tokens += gain * (request.prompt_tokens as f64 - self.prompt_tokens);
        self.output_tokens += gain * (request.expected_tokens as f64 - self.output_tokens);
    }
}

/// Inputs that determine the number of prefill engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Mean sizes of completions.
    pub sizes: Sizes,
    /// Memory of an engine, in tokens.
    pub capacity: u64,
    /// Time for which a completion holds memory.
    pub holding: Duration,
}

impl Demand {
    /// Returns the prefill time that the completions of one full decode engine cause per second, in
    /// seconds.
    fn prefill_load_per_decode_engine(&self) -> f64 {
        let mean_held = self.sizes.prompt_tokens + self.sizes.output_tokens / 2.0;
        let concurrency = self.capacity as f64 / mean_held.max(1.0);
        let rate = concurrency / self.holding.as_secs_f64().max(0.001);
        rate * self.sizes.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_MS / 1_000.0
    }
}

/// Returns the number of engines to add to the prefill engines; negative to remove some.
///
/// Bursts of long outputs exhaust decode memory; shifts to long prompts overload the prefill
/// engines.
pub fn prefill_engine_delta(
    prefill_engines: usize,
    decode_engines: usize,
    demand: &Demand,
) -> isize {
    if demand.sizes.count < MIN_SAMPLES || prefill_engines + decode_engines <= MIN_PREFILL_ENGINES {
        return 0;
    }
    let total = prefill_engines + decode_engines;
    let load_per_engine = demand.prefill_load_per_decode_engine();
    let load = |prefill_engines: usize| {
        (total - prefill_engines) as f64 * load_per_engine / prefill_engines as f64
    };
    let mut target = MIN_PREFILL_ENGINES;
    while target < total - 1 && load(target) > MAX_PREFILL_UTILIZATION {
        target += 1;
    }
    let is_overloaded = prefill_engines < target
        && (prefill_engines == 0 || load(prefill_engines) > PREFILL_OVERLOAD_UTILIZATION);
    match is_overloaded || prefill_engines > target {
        true => target as isize - prefill_engines as isize,
        false => 0,
    }
}

/// Orders engines to change their role while this instance is the coordinator.
pub struct RoleController {
    gateway: Rc<Gateway>,
    lease: LeaseController,
    orders: Rc<dyn RoleOrders>,
    cooldown_until: Cell<Option<Instant>>,
    /// The role that each service has lacked engines of, and in how many checks in a row.
    agreeing_checks: RefCell<BTreeMap<ServiceName, (EngineRole, u32)>>,
    last_lease_error: RefCell<Option<Box<str>>>,
}

impl RoleController {
    /// Creates a controller that has not sent any orders.
    pub fn new(gateway: Rc<Gateway>, lease: LeaseController, orders: Rc<dyn RoleOrders>) -> Self {
        Self {
            gateway,
            lease,
            orders,
            cooldown_until: Cell::new(None),
            agreeing_checks: RefCell::default(),
            last_lease_error: RefCell::default(),
        }
    }

    /// Checks the roles at an interval, for as long as the process runs.
    pub async fn run(self) {
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        loop {
            interval.tick().await;
            let is_coordinator =
                self.gateway.coordinator().is_none() && !self.gateway.is_stopping();
            let now = self.gateway.clock.now();
            if !is_coordinator || self.cooldown_until.get().is_some_and(|until| now < until) {
                continue;
            }
            for (service, sizes) in self.gateway.sizes() {
                self.adjust_roles(&service, sizes).await;
            }
        }
    }

    async fn adjust_roles(&self, service: &ServiceName, sizes: Sizes) {
        let Some(spec) = self.gateway.engine_spec(service) else { return };
        let output = sizes.output_tokens as u64;
        let holding = self.gateway.expected_holding(output);
        let demand = Demand { sizes, capacity: spec.kv_capacity, holding };
        let prefill_engines = self.unlimited_engines(service, EngineRole::Prefill);
        let decode_engines = self.unlimited_engines(service, EngineRole::Decode);
        let change = prefill_engine_delta(prefill_engines.len(), decode_engines.len(), &demand);
        let change = change.min(decode_engines.len().div_ceil(MAX_DECODE_ENGINES_PART) as isize);
        let (pool, role) = match change {
            0 => {
                self.agreeing_checks.borrow_mut().remove(service);
                return;
            }
            1.. => (decode_engines, EngineRole::Prefill),
            _ => (prefill_engines, EngineRole::Decode),
        };
        if self.count_agreeing(service, role) < MIN_AGREEING_CHECKS {
            return;
        }
        // Until the speed is known, engines count as fast, and their completions as needing more prefill than they
        // may.
        if role == EngineRole::Prefill && !self.gateway.reservations.borrow().knows_speed() {
            return;
        }
        let chosen = self.gateway.pick_across_zones(&pool, change.unsigned_abs());
        log::info!(service = &**service, change, chosen = chosen.len(), role:?, holding:?; "roles_reconsidered");
        for engine in chosen {
            if let Err(reason) = self.order(engine, role).await {
                log::warn!(server = self.gateway.server_name(engine), role:?, reason:% = reason; "role_not_ordered");
                if reason == OrderFailure::NoLease {
                    return;
                }
            }
        }
        self.cooldown_until.set(Some(self.gateway.clock.now() + COOLDOWN));
    }

    /// Counts a check that asks for more engines of a role; returns how many in a row have.
    fn count_agreeing(&self, service: &ServiceName, role: EngineRole) -> u32 {
        let mut agreeing = self.agreeing_checks.borrow_mut();
        let (last_role, checks) = agreeing.entry(service.clone()).or_insert((role, 0));
        if *last_role != role {
            (*last_role, *checks) = (role, 0);
        }
        *checks += 1;
        *checks
    }

    /// Returns the engines of a role that neither limit their requests nor rest.
    ///
    /// Such an engine does the work of a part of an engine, and gets no orders, which are requests too.
    fn unlimited_engines(&self, service: &str, role: EngineRole) -> Vec<ServerKey> {
        let mut engines = self.gateway.engines_of_role(service, role);
        engines.retain(|engine| {
            self.gateway.limit_of(*engine).is_none() && !self.gateway.is_resting(*engine)
        });
        engines
    }

    async fn order(&self, engine: ServerKey, role: EngineRole) -> Result<(), OrderFailure> {
        let (server, address) = {
            let directory = self.gateway.directory.borrow();
            let server = directory.get(engine).ok_or(OrderFailure::Gone)?;
            (server.record.id.clone(), server.record.address)
        };
        if let Err(error) = self.lease.acquire().await {
            self.report_lease(&error);
            return Err(OrderFailure::NoLease);
        }
        // The monotonic clock stops while the machine is suspended, so the lease is read again.
        let lease = self.lease.confirm().await.map_err(|error| {
            self.report_lease(&error);
            OrderFailure::NoLease
        })?;
        if let Some(reason) = self.gateway.reason_not_to_send(engine) {
            return Err(OrderFailure::OutOfUse(reason));
        }
        let holder = self.gateway.settings().instance.clone();
        let order = RoleOrder { address, server, role, holder, fencing: lease.fencing_token };
        self.gateway.begin_role_change(engine, role);
        let response = self.orders.order_role(&order).await;
        if let Ok(OrderResponse { facts, .. }) = &response {
            observe_server(&self.gateway, engine, facts);
        }
        let result = match response {
            Ok(OrderResponse { status, .. }) if status.is_success() => Ok(()),
            Ok(OrderResponse { status, .. }) => {
                self.gateway.cancel_role_change(engine);
                Err(OrderError::Refused(status.as_u16()))
            }
            // An order without a response may have been accepted.
            Err(error) => Err(error),
        };
        log::info!(server = &*order.server, role:?, fencing = lease.fencing_token, outcome:? = result; "role_ordered");
        if self.gateway.role_change(engine) == Some(role) {
            actix_rt::spawn(watch_role_change(self.gateway.clone(), engine, role));
        }
        result.map_err(OrderFailure::Order)
    }

    /// Logs why the lease is not held, once per reason.
    fn report_lease(&self, error: &LeaseError) {
        let reason: Box<str> = error.to_string().into();
        if self.last_lease_error.replace(Some(reason.clone())).as_ref() != Some(&reason) {
            log::warn!(reason:% = reason; "lease_not_held");
        }
    }
}

/// Asks an engine that takes long to change its role whether it still does. It is used as it was before only once it
/// has said that it does not: one that changes rejects all requests, and so looks empty.
async fn watch_role_change(gateway: Rc<Gateway>, engine: ServerKey, role: EngineRole) {
    tokio::time::sleep(ROLE_CHANGE_TIMEOUT).await;
    for _ in 0..MAX_ROLE_CHANGE_POLLS {
        if gateway.role_change(engine) != Some(role) {
            return;
        }
        let state = request_engine_state(&gateway, engine).await;
        log::info!(server = gateway.server_name(engine), role:?, state:?; "role_change_asked");
        if state.is_some_and(|state| !state.is_changing && state.role != role) {
            break;
        }
        tokio::time::sleep(ROLE_CHANGE_POLL).await;
    }
    if gateway.role_change(engine) == Some(role) {
        log::warn!(server = gateway.server_name(engine), role:?; "role_not_changed");
        gateway.cancel_role_change(engine);
    }
}

/// Reason why an engine was not ordered to change its role.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
enum OrderFailure {
    /// the engine is no longer known
    Gone,
    /// the lease for role orders is not held
    NoLease,
    /// {0}
    OutOfUse(&'static str),
    /// {0}
    Order(OrderError),
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::{Demand, Sizes, prefill_engine_delta};

    fn demand(prompt_tokens: f64, output_tokens: f64) -> Demand {
        let sizes = Sizes { count: 100, prompt_tokens, output_tokens };
        let holding = Duration::from_secs_f64(0.25 + output_tokens / 1_300.0);
        Demand { sizes, capacity: 73_808, holding }
    }

    #[test]
    fn long_answers_get_more_decode_engines() {
        let change = prefill_engine_delta(5, 9, &demand(5_200.0, 4_900.0));
        assert!((-3..0).contains(&change), "{change}");
        let prefill_engines = (5 + change) as usize;
        assert_eq!(
            prefill_engine_delta(prefill_engines, 14 - prefill_engines, &demand(5_200.0, 4_900.0)),
            0
        );
    }

    #[test]
    fn long_prompts_get_more_prefill_engines() {
        let change = prefill_engine_delta(3, 11, &demand(10_000.0, 700.0));
        assert!(change > 0, "{change}");
        let prefill_engines = 3 + change as usize;
        assert_eq!(
            prefill_engine_delta(prefill_engines, 14 - prefill_engines, &demand(10_000.0, 700.0)),
            0
        );
    }

    #[test]
    fn nothing_changes_before_sizes_are_known_or_with_few_engines() {
        let unknown = Demand { sizes: Sizes::default(), ..demand(5_200.0, 4_900.0) };
        assert_eq!(prefill_engine_delta(5, 9, &unknown), 0);
        assert_eq!(prefill_engine_delta(1, 1, &demand(5_200.0, 4_900.0)), 0);
    }
}
