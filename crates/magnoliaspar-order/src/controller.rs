use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, join_all, select};
use magnoliaspar_core::ServerName;
use magnoliaspar_engine::{Engine, EngineError, EngineStatus, Order, OrderKind};
use magnoliaspar_store::{PlatformError, RowVersion, Sleep, WeightStore};

use crate::loads::{LoadLimiter, LoadPermit, LoadRefusal};
use crate::{DesiredState, DesiredTable, LeaseController, LeaseError};

/// Brings the engines of one availability zone to their desired states.
///
/// Every pass compares what is desired with what the engines report, whatever happened before, and
/// gives each engine at most one order. Only the holder of the lease orders.
pub struct OrderController {
    settings: OrderSettings,
    loads: LoadLimiter,
    busy: RefCell<BTreeSet<ServerName>>,
}

/// What an order controller works with.
pub struct OrderSettings {
    /// The desired states.
    pub desired: Rc<DesiredTable>,
    /// The lease under which the orders are given, one for the availability zone.
    pub lease: Rc<LeaseController>,
    /// The store that limits downloads of weights.
    pub weights: Rc<dyn WeightStore>,
    /// What bounds the time of an order.
    pub sleep: Rc<dyn Sleep>,
    /// How long an order may take.
    pub order_limit: Duration,
    /// How many loads may run at once.
    pub max_loads: usize,
}

/// An engine that may be given orders.
#[derive(Clone)]
pub struct OrderTarget {
    /// The name of the engine.
    pub server: ServerName,
    /// The engine.
    pub engine: Rc<dyn Engine>,
    /// Whether it refuses orders that carry an old fencing number.
    pub is_fencing: bool,
    /// Whether it is drained, so that an order cuts no stream.
    pub is_drained: bool,
}

/// What a pass did about one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// The engine.
    pub server: ServerName,
    /// What was done.
    pub step: OrderStep,
    /// The version of the desired state, if there is one.
    pub desired: Option<RowVersion>,
}

/// What was done about one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// Nothing is desired of it.
    Undeclared,
    /// It has the desired state.
    InForce,
    /// An order was carried out, and the state was read back as ordered.
    Ordered(OrderKind),
    /// An order was given, but the state does not show it yet.
    NotSeen(OrderKind),
    /// An earlier pass is still at work on it.
    Busy,
    /// Its streams must end first.
    AwaitsDrain,
    /// As many loads run as may run at once.
    LoadsLimited,
    /// The weight store limits downloads.
    WeightsLimited {
        /// After how long a retry is worthwhile.
        retry_after: Duration,
    },
    /// The weight store cannot be used.
    WeightsUnavailable(PlatformError),
    /// The lease is not held for long enough.
    NoLease(LeaseError),
    /// The engine failed.
    Failed(EngineError),
}

impl OrderController {
    /// Creates a controller.
    pub fn new(settings: OrderSettings) -> Self {
        let loads = LoadLimiter::new(settings.weights.clone(), settings.max_loads);
        Self { settings, loads, busy: RefCell::default() }
    }

    /// Compares all engines with their desired states and orders what is missing.
    ///
    /// Passes may overlap: an engine on which one is at work is left out of the others.
    pub async fn pass(&self, targets: &[OrderTarget]) -> Result<Vec<OrderReport>, PlatformError> {
        if self.settings.lease.current().is_none() {
            return Ok(Vec::new());
        }
        let states = self.settings.desired.list().await?;
        let mut steps = Vec::with_capacity(targets.len());
        for target in targets {
            let row = states.get(&target.server);
            steps.push(async move {
                let step = match row.and_then(|row| row.state.as_ref()) {
                    Some(state) => self.reconcile(target, state).await,
                    None => OrderStep::Undeclared,
                };
                let desired = row.map(|row| row.version);
                OrderReport { server: target.server.clone(), step, desired }
            });
        }
        Ok(join_all(steps).await)
    }

    /// Gives one engine the order that it needs next, if any.
    pub async fn reconcile(&self, target: &OrderTarget, desired: &DesiredState) -> OrderStep {
        let Some(_busy) = BusyGuard::enter(&self.busy, &target.server) else {
            return OrderStep::Busy;
        };
        let status = match target.engine.status().await {
            Ok(status) => status,
            Err(error) => return OrderStep::Failed(error),
        };
        let Some(kind) = next_order(desired, &status) else { return OrderStep::InForce };
        let cuts_streams = !desired.has_role(&status) || !desired.has_model(&status);
        if cuts_streams && !target.is_drained {
            return OrderStep::AwaitsDrain;
        }
        let _permit = match self.permit(target, desired, &kind).await {
            Ok(permit) => permit,
            Err(step) => return step,
        };
        match self.order(target, &kind).await {
            Ok(()) => self.read_back(target, desired, kind).await,
            Err(step) => step,
        }
    }

    async fn permit(
        &self,
        target: &OrderTarget,
        desired: &DesiredState,
        kind: &OrderKind,
    ) -> Result<Option<LoadPermit<'_>>, OrderStep> {
        if !matches!(kind, OrderKind::Load { .. }) {
            return Ok(None);
        }
        match self.loads.acquire(&target.server, desired).await {
            Ok(permit) => Ok(Some(permit)),
            Err(LoadRefusal::Busy) => Err(OrderStep::LoadsLimited),
            Err(LoadRefusal::RateLimited(retry_after)) => {
                Err(OrderStep::WeightsLimited { retry_after })
            }
            Err(LoadRefusal::Platform(error)) => Err(OrderStep::WeightsUnavailable(error)),
        }
    }

    /// Gives an order under a lease that outlasts it.
    async fn order(&self, target: &OrderTarget, kind: &OrderKind) -> Result<(), OrderStep> {
        let lease = &self.settings.lease;
        let needed = self.lease_needed(target);
        lease.ensure(needed).await.map_err(OrderStep::NoLease)?;
        let confirmed = lease.confirm().await.map_err(OrderStep::NoLease)?;
        // The process may have been paused since; from here on there is no wait before the call.
        if lease.remaining() < needed {
            return Err(OrderStep::NoLease(LeaseError::Lost));
        }
        let order = Order { fence: confirmed.number, kind: kind.clone() };
        let result = self.call(target, &order).await;
        let is_run = result.as_ref().err().is_none_or(|error| !error.is_not_run());
        if is_run && matches!(kind, OrderKind::Load { .. }) {
            self.loads.use_up(&target.server);
        }
        match result {
            Ok(()) => Ok(()),
            Err(EngineError::Fenced { given, seen }) => {
                // If the lease is still held, the engine saw the number of a lost table.
                let _ = lease.advance_past(seen).await;
                Err(OrderStep::Failed(EngineError::Fenced { given, seen }))
            }
            Err(error) => Err(OrderStep::Failed(error)),
        }
    }

    async fn call(&self, target: &OrderTarget, order: &Order) -> Result<(), EngineError> {
        let limit = self.settings.order_limit;
        let call = target.engine.order(order);
        match select(call, self.settings.sleep.sleep(limit)).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Err(EngineError::Stalled(limit)),
        }
    }

    /// Returns how much of the lease must be left when an order is given.
    fn lease_needed(&self, target: &OrderTarget) -> Duration {
        match target.is_fencing {
            // The engine itself refuses what comes too late.
            true => MIN_REMAINING,
            false => self.settings.order_limit + MIN_REMAINING,
        }
    }

    async fn read_back(
        &self,
        target: &OrderTarget,
        desired: &DesiredState,
        kind: OrderKind,
    ) -> OrderStep {
        let status = match target.engine.status().await {
            Ok(status) => status,
            Err(error) => return OrderStep::Failed(error),
        };
        match next_order(desired, &status) {
            Some(next) if next == kind => OrderStep::NotSeen(kind),
            _ => OrderStep::Ordered(kind),
        }
    }
}

/// Returns the order that brings an engine nearer to its desired state.
fn next_order(desired: &DesiredState, status: &EngineStatus) -> Option<OrderKind> {
    if !desired.has_model(status) || !desired.has_adapters(status) {
        return Some(OrderKind::Load {
            model: desired.model.clone(),
            version: desired.version.clone(),
            adapters: desired.adapters.iter().cloned().collect(),
        });
    }
    if !desired.has_role(status) {
        return Some(OrderKind::ChangeRole { role: desired.role.as_str().into() });
    }
    None
}

/// Keeps other passes off an engine.
struct BusyGuard<'a> {
    busy: &'a RefCell<BTreeSet<ServerName>>,
    server: &'a ServerName,
}

impl<'a> BusyGuard<'a> {
    fn enter(busy: &'a RefCell<BTreeSet<ServerName>>, server: &'a ServerName) -> Option<Self> {
        let is_new = busy.borrow_mut().insert(server.clone());
        is_new.then_some(Self { busy, server })
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.busy.borrow_mut().remove(self.server);
    }
}

/// How much of the lease must be left at least when an order is given.
const MIN_REMAINING: Duration = Duration::from_secs(1);
