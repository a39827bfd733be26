//! Reconciliation of the engines of the zone with their desired states.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use log::warn;
use magnoliaspar_core::{Incarnation, ServerName};
use magnoliaspar_engine::{EngineConnector, OrderKind};
use magnoliaspar_event::EventKind;
use magnoliaspar_membership::{Member, MemberId, MemberState};
use magnoliaspar_order::{
    DesiredTable, LeaseController, LeaseSettings, OrderController, OrderReport, OrderSettings,
    OrderStep, OrderTarget,
};
use magnoliaspar_policy::rank_by_rendezvous;
use magnoliaspar_store::{
    Backoff, HttpTimeouts, HttpWeightStore, ListedKind, ServerRole, TableService, TimerSleep,
};

use crate::instance::Instance;

/// Period at which the engines are compared with their desired states.
const RECONCILE_PERIOD: Duration = Duration::from_secs(2);

/// Number of instances of an availability zone that try to hold its order lease.
const LEASE_CANDIDATES: usize = 3;

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of model loads in progress at once.
const MAX_LOADS: usize = 2;

/// Time for a drain to become known to all instances. Only a load report made later than this after
/// the drain shows that an engine is idle.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(3);

/// The orders that this instance gave to the engines of its availability zone.
#[derive(Debug, Default)]
pub struct ZoneOrders(RefCell<BTreeMap<ServerName, OrderRecord>>);

/// The latest step of the reconciliation of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// The step.
    pub step: OrderStep,
    /// The fencing token of the lease under which it was taken.
    pub fence: u64,
    /// The time at which this step was first reported.
    pub since: Instant,
}

impl ZoneOrders {
    /// Returns the latest step of each engine.
    pub fn all(&self) -> BTreeMap<ServerName, OrderRecord> {
        self.0.borrow().clone()
    }

    /// Stores the latest step of an engine; returns whether it differs from the one before.
    fn update(&self, report: &OrderReport, fence: u64, now: Instant) -> bool {
        let mut orders = self.0.borrow_mut();
        let known = orders.get(&report.server);
        if known.is_some_and(|known| known.step == report.step && known.fence == fence) {
            return false;
        }
        let record = OrderRecord { step: report.step.clone(), fence, since: now };
        orders.insert(report.server.clone(), record);
        true
    }

    fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Reconciles the engines of the zone with their desired states while this instance holds the
/// lease.
pub async fn reconcile_engines(
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
    incarnation: Incarnation,
) {
    let lease_controller = new_lease_controller(&instance, incarnation);
    let controller = Rc::new(new_order_controller(&instance, lease_controller.clone()));
    let mut last_fence = None;
    loop {
        tokio::time::sleep(RECONCILE_PERIOD).await;
        if !is_lease_candidate(&instance) {
            continue;
        }
        let Ok(lease) = lease_controller.acquire_or_renew().await else {
            instance.orders.clear();
            continue;
        };
        if last_fence.replace(lease.fencing_token) != Some(lease.fencing_token) {
            instance.journal.record_own(EventKind::OrderLeased { fence: lease.fencing_token });
        }
        // A load may take many periods, so the loop does not wait for the pass; later passes skip
        // engines with an order in progress.
        let pass =
            run_pass(instance.clone(), connector.clone(), controller.clone(), lease.fencing_token);
        actix_rt::spawn(pass);
    }
}

/// Returns the table of the desired states of the engines of an availability zone.
pub fn desired_table(instance: &Instance, zone: &magnoliaspar_core::ZoneName) -> DesiredTable {
    let writer = format!("{}/{:032x}", instance.settings.instance, rand::random::<u128>());
    let table: Rc<dyn TableService> = instance.table.clone();
    DesiredTable::new(table, Backoff::new(Rc::new(TimerSleep)), zone, writer.into())
}

fn lease_name(instance: &Instance) -> Box<str> {
    // Names may contain slashes but no percent sign, so the escaped name is unique.
    format!("orders/{}", instance.settings.zone.as_str().replace('/', "%2F")).into()
}

fn new_lease_controller(instance: &Instance, incarnation: Incarnation) -> Rc<LeaseController> {
    Rc::new(LeaseController::new(LeaseSettings {
        table: instance.table.clone(),
        clock: instance.clock.clone(),
        backoff: Backoff::new(Rc::new(TimerSleep)),
        instance: instance.settings.instance.clone(),
        incarnation,
        nonce: rand::random(),
        name: lease_name(instance),
        duration: LeaseSettings::DURATION,
    }))
}

fn new_order_controller(instance: &Instance, lease: Rc<LeaseController>) -> OrderController {
    let weights = instance.settings.platform.weights;
    OrderController::new(OrderSettings {
        desired: Rc::new(desired_table(instance, &instance.settings.zone)),
        lease,
        weights: Rc::new(HttpWeightStore::new(weights, HttpTimeouts::default())),
        sleep: Rc::new(TimerSleep),
        order_timeout: ORDER_TIMEOUT,
        max_loads: MAX_LOADS,
    })
}

/// Returns whether this instance is one of those of its zone that try to hold the lease.
fn is_lease_candidate(instance: &Instance) -> bool {
    let membership = instance.cluster.membership.borrow();
    let live = membership.live_instances(&instance.settings.zone);
    let names = live.iter().map(|contact| contact.instance.as_str());
    let ranked = rank_by_rendezvous(&lease_name(instance), names);
    ranked.iter().take(LEASE_CANDIDATES).any(|name| *name == instance.settings.instance.as_str())
}

async fn run_pass(
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
    controller: Rc<OrderController>,
    fence: u64,
) {
    let targets = find_targets(&instance, &*connector).await;
    match controller.pass(&targets).await {
        Ok(reports) => {
            for report in reports {
                record_report(&instance, &report, fence);
            }
        }
        Err(error) => warn!("failed to read the desired states of the engines: {error}"),
    }
}

/// Returns the engines of the zone. `is_drained` is set for those that are drained and idle.
async fn find_targets(instance: &Instance, connector: &dyn EngineConnector) -> Vec<OrderTarget> {
    let mut targets = Vec::new();
    for server in instance.directory.all() {
        if server.role == ServerRole::Service {
            continue;
        }
        let id = MemberId::Server(server.name.clone());
        let member = instance.cluster.membership.borrow().member(&id).cloned();
        let Some(member) = member else { continue };
        let ListedKind::Server { is_fencing, .. } = member.entry.kind else { continue };
        let engine = connector.connect(server.address);
        let is_drained = match drained_since(&member) {
            Some(since) => is_idle_since(instance, &*engine, since).await,
            None => false,
        };
        targets.push(OrderTarget { server: server.name, engine, is_fencing, is_drained });
    }
    targets
}

/// Returns the time at which this instance learned of an operator's drain of a server.
fn drained_since(member: &Member) -> Option<Instant> {
    let is_drained = member.state() == MemberState::Leaving && member.standing.is_drained();
    is_drained.then_some(member.changed_at)
}

/// Returns whether an engine has reported, after all instances know of its drain, that it has no
/// work.
async fn is_idle_since(
    instance: &Instance,
    engine: &dyn magnoliaspar_engine::Engine,
    since: Instant,
) -> bool {
    let Ok(load) = engine.load().await else { return false };
    let age = Duration::from_millis(load.age_ms);
    let reported_at = instance.clock.now().checked_sub(age);
    let is_recent = reported_at.is_some_and(|reported_at| reported_at >= since + DRAIN_PROPAGATION);
    is_recent && load.running == 0 && load.waiting == 0 && load.used_pieces == 0
}

/// Stores the step that a report names, and records the events of a new one.
fn record_report(instance: &Instance, report: &OrderReport, fence: u64) {
    if report.step == OrderStep::Undeclared {
        return;
    }
    if !instance.orders.update(report, fence, instance.clock.now()) {
        return;
    }
    let server = &report.server;
    match &report.step {
        OrderStep::Ordered(kind) => {
            let order = describe(kind);
            instance.journal.record_server(server, EventKind::OrderSent { fence, order });
            instance.journal.record_server(server, EventKind::OrderConfirmed { fence });
        }
        OrderStep::Unconfirmed(kind) => {
            let order = describe(kind);
            instance.journal.record_server(server, EventKind::OrderSent { fence, order });
        }
        OrderStep::Failed(error) => {
            let cause = error.to_string().into();
            instance.journal.record_server(server, EventKind::OrderFailed { fence, cause });
        }
        _ => {}
    }
}

fn describe(kind: &OrderKind) -> Box<str> {
    match kind {
        OrderKind::Load { model, version, adapters } => {
            let mut order = format!("load {model} {version}");
            for adapter in adapters {
                order.push_str(&format!(" +{adapter}"));
            }
            order.into()
        }
        OrderKind::ChangeRole { role } => format!("change role to {role}").into(),
    }
}
