//! Controller that reconciles engines with their desired states.

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

/// Reconciles the engines of one availability zone with their desired states.
///
/// Every pass compares the desired with the reported states, independent of earlier passes, and
/// sends each engine at most one order. Only the holder of the lease sends orders.
pub struct OrderController {
    settings: OrderSettings,
    loads: LoadLimiter,
    /// Engines that a pass is working on.
    busy: RefCell<BTreeSet<ServerName>>,
}

/// Dependencies and parameters of an [`OrderController`].
pub struct OrderSettings {
    /// The desired states.
    pub desired: Rc<DesiredTable>,
    /// The lease of the availability zone, under which all orders are sent.
    pub lease: Rc<LeaseController>,
    /// The weight store, which limits the rate of downloads.
    pub weights: Rc<dyn WeightStore>,
    /// The timer for the timeout of an order.
    pub sleep: Rc<dyn Sleep>,
    /// Timeout of an order.
    pub order_timeout: Duration,
    /// Maximum number of concurrent model loads.
    pub max_loads: usize,
}

/// An engine that may receive orders.
#[derive(Clone)]
pub struct OrderTarget {
    /// The name of the engine.
    pub server: ServerName,
    /// The engine.
    pub engine: Rc<dyn Engine>,
    /// True if the engine refuses orders with an outdated fencing token.
    pub is_fencing: bool,
    /// True if the engine is drained, so that an order interrupts no stream.
    pub is_drained: bool,
}

/// The report of a pass on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// The engine.
    pub server: ServerName,
    /// The action of the pass, or the reason why there was none.
    pub step: OrderStep,
    /// The version of the desired state, if there is one.
    pub desired: Option<RowVersion>,
}

/// The action of a pass on one engine, or the reason why there was none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStep {
    /// The engine has no desired state.
    Undeclared,
    /// The engine already has the desired state.
    UpToDate,
    /// An order was carried out, and the status that was read back confirms it.
    Ordered(OrderKind),
    /// An order was carried out, but the status that was read back does not show it yet.
    Unconfirmed(OrderKind),
    /// An earlier pass is still working on the engine.
    Busy,
    /// The engine has to be drained first.
    AwaitsDrain,
    /// The maximum number of concurrent loads is reached.
    LoadsLimited,
    /// The rate limit of the weight store is reached.
    WeightsLimited {
        /// Recommended delay before a retry.
        retry_after: Duration,
    },
    /// The weight store returned an error.
    WeightsUnavailable(PlatformError),
    /// The lease is not held, or could not be made to last long enough for the order.
    NoLease(LeaseError),
    /// The engine returned an error or timed out.
    Failed(EngineError),
}

impl OrderController {
    /// Creates a controller.
    pub fn new(settings: OrderSettings) -> Self {
        let loads = LoadLimiter::new(settings.weights.clone(), settings.max_loads);
        Self { settings, loads, busy: RefCell::default() }
    }

    /// Compares all engines with their desired states and sends the missing orders.
    ///
    /// Passes may overlap: an engine on which one pass is working is skipped by the others.
    pub async fn pass(&self, targets: &[OrderTarget]) -> Result<Vec<OrderReport>, PlatformError> {
        if self.settings.lease.current().is_none() {
            return Ok(Vec::new());
        }
        let states = self.settings.desired.list().await?;
        let mut reports = Vec::with_capacity(targets.len());
        for target in targets {
            let row = states.get(&target.server);
            reports.push(async move {
                let step = match row.and_then(|row| row.state.as_ref()) {
                    Some(state) => self.reconcile(target, state).await,
                    None => OrderStep::Undeclared,
                };
                let desired = row.map(|row| row.version);
                OrderReport { server: target.server.clone(), step, desired }
            });
        }
        Ok(join_all(reports).await)
    }

    /// Sends one engine the order that it needs next, if any.
    pub async fn reconcile(&self, target: &OrderTarget, desired: &DesiredState) -> OrderStep {
        let Some(_busy) = BusyGuard::acquire(&self.busy, &target.server) else {
            return OrderStep::Busy;
        };
        let status = match target.engine.status().await {
            Ok(status) => status,
            Err(error) => return OrderStep::Failed(error),
        };
        let Some(kind) = next_order(desired, &status) else { return OrderStep::UpToDate };
        let interrupts_streams = !desired.has_role(&status) || !desired.has_model(&status);
        if interrupts_streams && !target.is_drained {
            return OrderStep::AwaitsDrain;
        }
        let _permit = match self.load_permit(target, desired, &kind).await {
            Ok(permit) => permit,
            Err(step) => return step,
        };
        match self.send_order(target, &kind).await {
            Ok(()) => self.read_back(target, desired, kind).await,
            Err(step) => step,
        }
    }

    /// Acquires a permit if the order is a load.
    async fn load_permit(
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
            Err(LoadRefusal::ConcurrencyLimit) => Err(OrderStep::LoadsLimited),
            Err(LoadRefusal::RateLimited(retry_after)) => {
                Err(OrderStep::WeightsLimited { retry_after })
            }
            Err(LoadRefusal::Platform(error)) => Err(OrderStep::WeightsUnavailable(error)),
        }
    }

    /// Sends an order under a lease that is held until the order has ended.
    async fn send_order(&self, target: &OrderTarget, kind: &OrderKind) -> Result<(), OrderStep> {
        let lease = &self.settings.lease;
        let needed = self.min_lease_time(target);
        lease.ensure_held_for(needed).await.map_err(OrderStep::NoLease)?;
        let confirmed = lease.confirm().await.map_err(OrderStep::NoLease)?;
        // The process may have been paused since. From here on, nothing is awaited before the call.
        if lease.remaining() < needed {
            return Err(OrderStep::NoLease(LeaseError::Lost));
        }
        let order = Order { fence: confirmed.fencing_token, kind: kind.clone() };
        let result = self.call_with_timeout(target, &order).await;
        let may_have_run = result.as_ref().err().is_none_or(|error| !error.is_not_run());
        if may_have_run && matches!(kind, OrderKind::Load { .. }) {
            self.loads.consume_grant(&target.server);
        }
        match result {
            Ok(()) => Ok(()),
            Err(EngineError::Fenced { given, seen }) => {
                // If the lease is still held, the higher token is from a table that lost its data.
                let _ = lease.raise_token_above(seen).await;
                Err(OrderStep::Failed(EngineError::Fenced { given, seen }))
            }
            Err(error) => Err(OrderStep::Failed(error)),
        }
    }

    async fn call_with_timeout(
        &self,
        target: &OrderTarget,
        order: &Order,
    ) -> Result<(), EngineError> {
        let timeout = self.settings.order_timeout;
        let call = target.engine.order(order);
        match select(call, self.settings.sleep.sleep(timeout)).await {
            Either::Left((result, _)) => result,
            Either::Right(((), _)) => Err(EngineError::Stalled(timeout)),
        }
    }

    /// Returns the minimum remaining time of the lease when an order is sent.
    fn min_lease_time(&self, target: &OrderTarget) -> Duration {
        match target.is_fencing {
            // The engine itself refuses orders that arrive after another holder's.
            true => MIN_LEASE_REMAINING,
            false => self.settings.order_timeout + MIN_LEASE_REMAINING,
        }
    }

    /// Reads the status back after an order and compares it with the desired state.
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
            Some(next) if next == kind => OrderStep::Unconfirmed(kind),
            _ => OrderStep::Ordered(kind),
        }
    }
}

/// Returns the next order on the way to the desired state, or `None` if it is reached.
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

/// Marks an engine as busy until it is dropped, so that other passes skip the engine.
struct BusyGuard<'a> {
    busy: &'a RefCell<BTreeSet<ServerName>>,
    server: &'a ServerName,
}

impl<'a> BusyGuard<'a> {
    fn acquire(busy: &'a RefCell<BTreeSet<ServerName>>, server: &'a ServerName) -> Option<Self> {
        let is_new = busy.borrow_mut().insert(server.clone());
        is_new.then_some(Self { busy, server })
    }
}

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.busy.borrow_mut().remove(self.server);
    }
}

/// Minimum remaining time of the lease when an order is sent.
const MIN_LEASE_REMAINING: Duration = Duration::from_secs(1);
