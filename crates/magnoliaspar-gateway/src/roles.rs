//! Decides how many engines read prompts, and orders engines to change their role.
//!
//! Decode memory binds in bursts while prefill engines have time to spare. The home therefore has as
//! many engines produce tokens as the others can read prompts for.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use magnoliaspar_core::ServerKey;
use magnoliaspar_order::{LeaseController, LeaseError};

use crate::directory::EngineRole;
use crate::gateway::Gateway;
use crate::home::Want;
use crate::place::DEFAULT_READING_SPEED;
use crate::route::ServiceName;

/// The part of their time for which prefill engines may be busy when decode engines are full; the
/// rest keeps prompts from waiting.
const PREFILL_LOAD: f64 = 0.75;

/// The load of prefill engines above which a decode engine is ordered back.
const PREFILL_OVERLOAD: f64 = 1.1;

/// The fewest prefill engines of a service.
const MIN_PREFILLS: usize = 2;

/// How many completions are asked for before their sizes are taken as known.
const MIN_WANTS: u64 = 20;

/// How much a completion counts for the mean sizes.
const SIZE_GAIN: f64 = 0.05;

/// How often the number of prefill engines is reconsidered.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// How long after an order the engines of a service are left as they are; a change takes some seconds
/// and shows in the list of servers a moment later.
const REST: Duration = Duration::from_secs(12);

/// How long an engine that changes its role is out of use, unless it shows its new role before.
pub const CHANGE_TIME: Duration = Duration::from_secs(8);

/// Orders engines to change their role.
#[async_trait(?Send)]
pub trait RoleOrders {
    /// Gives one order; `holder` and `fencing` tell engines who may.
    async fn order_role(&self, order: &RoleOrder) -> Result<(), OrderError>;
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder {
    /// Where the engine is.
    pub address: SocketAddr,
    /// The engine; another one at the address refuses.
    pub server: Box<str>,
    /// The role that it shall have.
    pub role: EngineRole,
    /// The instance that orders.
    pub holder: Box<str>,
    /// The fencing number of its lease.
    pub fencing: u64,
}

/// Why an order was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub enum OrderError {
    /// the engine refused with status {0}
    Refused(u16),
    /// no answer, it may have been taken: {0}
    Unanswered(Box<str>),
}

impl std::error::Error for OrderError {}

/// The mean sizes of the completions of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sizes {
    count: u64,
    prompt_tokens: f64,
    output_tokens: f64,
}

impl Sizes {
    /// Takes in one completion.
    pub fn add(&mut self, want: &Want) {
        self.count += 1;
        let gain = SIZE_GAIN.max(1.0 / self.count as f64);
        self.prompt_tokens += gain * (want.prompt_tokens as f64 - self.prompt_tokens);
        self.output_tokens += gain * (want.expected_tokens as f64 - self.output_tokens);
    }
}

/// What the number of prefill engines depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The sizes of completions.
    pub sizes: Sizes,
    /// The memory of an engine, in tokens.
    pub capacity: u64,
    /// How long a completion holds memory.
    pub holding: Duration,
}

impl Demand {
    /// Returns for how long a second's completions of one full decode engine keep a prefill engine
    /// busy, in seconds.
    fn reading_for_one(&self) -> f64 {
        let mean_held = self.sizes.prompt_tokens + self.sizes.output_tokens / 2.0;
        let places = self.capacity as f64 / mean_held.max(1.0);
        let rate = places / self.holding.as_secs_f64().max(0.001);
        rate * self.sizes.prompt_tokens / DEFAULT_READING_SPEED / 1_000.0
    }
}

/// Returns by how many the prefill engines should become more, or less if it is negative.
///
/// Answers bursts of long answers, for which decode memory runs out, and shifts to long prompts, for
/// which prefill engines do.
pub fn change_of_prefills(prefills: usize, decodes: usize, demand: &Demand) -> isize {
    if demand.sizes.count < MIN_WANTS || prefills + decodes <= MIN_PREFILLS {
        return 0;
    }
    let total = prefills + decodes;
    let reading = demand.reading_for_one();
    let load = |prefills: usize| (total - prefills) as f64 * reading / prefills as f64;
    let mut wanted = MIN_PREFILLS;
    while wanted < total - 1 && load(wanted) > PREFILL_LOAD {
        wanted += 1;
    }
    let is_short = prefills < wanted && (prefills == 0 || load(prefills) > PREFILL_OVERLOAD);
    match is_short || prefills > wanted {
        true => wanted as isize - prefills as isize,
        false => 0,
    }
}

/// Has engines change their roles while this instance is the home.
pub struct RoleController {
    gateway: Rc<Gateway>,
    lease: LeaseController,
    orders: Rc<dyn RoleOrders>,
    rest_until: Cell<Option<Instant>>,
    reported: RefCell<Option<Box<str>>>,
}

impl RoleController {
    /// Creates a controller that has ordered nothing.
    pub fn new(gateway: Rc<Gateway>, lease: LeaseController, orders: Rc<dyn RoleOrders>) -> Self {
        let (rest_until, reported) = (Cell::new(None), RefCell::default());
        Self { gateway, lease, orders, rest_until, reported }
    }

    /// Reconsiders the roles at an interval, for as long as the process runs.
    pub async fn run(self) {
        let mut interval = tokio::time::interval(INTERVAL);
        loop {
            interval.tick().await;
            let is_home = self.gateway.home().is_none() && !self.gateway.is_stopping();
            let now = self.gateway.clock.now();
            if !is_home || self.rest_until.get().is_some_and(|until| now < until) {
                continue;
            }
            for (service, sizes) in self.gateway.sizes() {
                self.reconsider(&service, sizes).await;
            }
        }
    }

    async fn reconsider(&self, service: &ServiceName, sizes: Sizes) {
        let Some(spec) = self.gateway.engine_spec(service) else { return };
        let output = sizes.output_tokens as u64;
        let holding = self.gateway.expected_holding(output);
        let demand = Demand { sizes, capacity: spec.kv_capacity, holding };
        let prefills = self.gateway.engines_of_role(service, EngineRole::Prefill);
        let decodes = self.gateway.engines_of_role(service, EngineRole::Decode);
        let change = change_of_prefills(prefills.len(), decodes.len(), &demand);
        let (pool, role) = match change {
            0 => return,
            1.. => (decodes, EngineRole::Prefill),
            _ => (prefills, EngineRole::Decode),
        };
        let chosen = self.gateway.spread_over_zones(&pool, change.unsigned_abs());
        log::info!(service = &**service, change, chosen = chosen.len(), role:?, holding:?; "roles_reconsidered");
        for engine in chosen {
            if let Err(reason) = self.order(engine, role).await {
                log::warn!(server = self.gateway.server_name(engine), role:?, reason:% = reason; "role_not_ordered");
                if reason == OrderFailure::NoLease {
                    return;
                }
            }
        }
        self.rest_until.set(Some(self.gateway.clock.now() + REST));
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
        // The steady clock stands still while the machine is suspended, so the row is read again.
        let lease = self.lease.confirm().await.map_err(|error| {
            self.report_lease(&error);
            OrderFailure::NoLease
        })?;
        let holder = self.gateway.settings().instance.clone();
        let order = RoleOrder { address, server, role, holder, fencing: lease.fencing_token };
        self.gateway.changes_role(engine, role);
        let result = self.orders.order_role(&order).await;
        log::info!(server = &*order.server, role:?, fencing = lease.fencing_token, outcome:? = result; "role_ordered");
        result.map_err(OrderFailure::Order)
    }

    /// Logs why there is no lease, once for each reason.
    fn report_lease(&self, error: &LeaseError) {
        let reason: Box<str> = error.to_string().into();
        if self.reported.replace(Some(reason.clone())).as_ref() != Some(&reason) {
            log::warn!(reason:% = reason; "lease_not_held");
        }
    }
}

/// Why an engine was not ordered to change its role.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(displaydoc::Display)]
enum OrderFailure {
    /// the engine is gone
    Gone,
    /// the lease for orders is not held
    NoLease,
    /// {0}
    Order(OrderError),
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::{Demand, Sizes, change_of_prefills};

    fn demand(prompt_tokens: f64, output_tokens: f64) -> Demand {
        let sizes = Sizes { count: 100, prompt_tokens, output_tokens };
        let holding = Duration::from_secs_f64(0.25 + output_tokens / 1_300.0);
        Demand { sizes, capacity: 73_808, holding }
    }

    #[test]
    fn long_answers_get_more_decode_engines() {
        let change = change_of_prefills(5, 9, &demand(5_200.0, 4_900.0));
        assert!((-3..0).contains(&change), "{change}");
        let prefills = (5 + change) as usize;
        assert_eq!(change_of_prefills(prefills, 14 - prefills, &demand(5_200.0, 4_900.0)), 0);
    }

    #[test]
    fn long_prompts_get_more_prefill_engines() {
        let change = change_of_prefills(3, 11, &demand(10_000.0, 700.0));
        assert!(change > 0, "{change}");
        let prefills = 3 + change as usize;
        assert_eq!(change_of_prefills(prefills, 14 - prefills, &demand(10_000.0, 700.0)), 0);
    }

    #[test]
    fn nothing_changes_before_sizes_are_known_or_with_few_engines() {
        let unknown = Demand { sizes: Sizes::default(), ..demand(5_200.0, 4_900.0) };
        assert_eq!(change_of_prefills(5, 9, &unknown), 0);
        assert_eq!(change_of_prefills(1, 1, &demand(5_200.0, 4_900.0)), 0);
    }
}
