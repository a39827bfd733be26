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

/// How often the engines are compared with their desired states.
const PASS_PERIOD: Duration = Duration::from_secs(2);

/// How many instances of an availability zone tend its lease.
const LEASE_TENDERS: usize = 3;

/// How long an order may take.
const ORDER_LIMIT: Duration = Duration::from_secs(10);

/// How many loads may run at once.
const MAX_LOADS: usize = 2;

/// How long after a drain began a report must have been made to show that an engine is idle.
const DRAIN_SPREAD: Duration = Duration::from_secs(3);

/// The orders that this instance gave to the engines of its availability zone.
#[derive(Debug, Default)]
pub struct ZoneOrders(RefCell<BTreeMap<ServerName, GivenOrder>>);

/// What was done last about one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GivenOrder {
    /// What was done.
    pub step: OrderStep,
    /// The fencing number of the lease.
    pub fence: u64,
    /// Since when it has been so.
    pub since: Instant,
}

impl ZoneOrders {
    /// Returns what was done about each engine.
    pub fn all(&self) -> BTreeMap<ServerName, GivenOrder> {
        self.0.borrow().clone()
    }

    /// Notes what was done about an engine; returns whether it is new.
    fn put(&self, report: &OrderReport, fence: u64, now: Instant) -> bool {
        let mut orders = self.0.borrow_mut();
        let known = orders.get(&report.server);
        if known.is_some_and(|known| known.step == report.step && known.fence == fence) {
            return false;
        }
        let given = GivenOrder { step: report.step.clone(), fence, since: now };
        orders.insert(report.server.clone(), given);
        true
    }

    fn clear(&self) {
        self.0.borrow_mut().clear();
    }
}

/// Brings the engines of the zone to their desired states for as long as this instance may.
pub async fn tend_orders(
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
    life: Incarnation,
) {
    let lease = open_lease(&instance, life);
    let controller = Rc::new(open_controller(&instance, lease.clone()));
    let mut last_fence = None;
    loop {
        tokio::time::sleep(PASS_PERIOD).await;
        if !is_tender(&instance) {
            continue;
        }
        let Ok(held) = lease.acquire_or_renew().await else {
            instance.orders.clear();
            continue;
        };
        if last_fence.replace(held.fencing_token) != Some(held.fencing_token) {
            instance.journal.record_own(EventKind::OrderLeased { fence: held.fencing_token });
        }
        // A load may outlast many periods; passes leave out engines at work.
        let pass =
            run_pass(instance.clone(), connector.clone(), controller.clone(), held.fencing_token);
        actix_rt::spawn(pass);
    }
}

/// Returns the desired states of the engines of an availability zone.
pub fn desired_table(instance: &Instance, zone: &magnoliaspar_core::ZoneName) -> DesiredTable {
    let writer = format!("{}/{:032x}", instance.settings.instance, rand::random::<u128>());
    let table: Rc<dyn TableService> = instance.table.clone();
    DesiredTable::new(table, Backoff::new(Rc::new(TimerSleep)), zone, writer.into())
}

fn lease_name(instance: &Instance) -> Box<str> {
    // Names may contain slashes, but no percent sign.
    format!("orders/{}", instance.settings.zone.as_str().replace('/', "%2F")).into()
}

fn open_lease(instance: &Instance, incarnation: Incarnation) -> Rc<LeaseController> {
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

fn open_controller(instance: &Instance, lease: Rc<LeaseController>) -> OrderController {
    let weights = instance.settings.platform.weights;
    OrderController::new(OrderSettings {
        desired: Rc::new(desired_table(instance, &instance.settings.zone)),
        lease,
        weights: Rc::new(HttpWeightStore::new(weights, HttpTimeouts::default())),
        sleep: Rc::new(TimerSleep),
        order_timeout: ORDER_LIMIT,
        max_loads: MAX_LOADS,
    })
}

/// Whether this instance is one of the few of its zone that tend the lease.
fn is_tender(instance: &Instance) -> bool {
    let membership = instance.cluster.membership.borrow();
    let live = membership.live_instances(&instance.settings.zone);
    let names = live.iter().map(|contact| contact.instance.as_str());
    let ranked = rank_by_rendezvous(&lease_name(instance), names);
    ranked.iter().take(LEASE_TENDERS).any(|name| *name == instance.settings.instance.as_str())
}

async fn run_pass(
    instance: Rc<Instance>,
    connector: Rc<dyn EngineConnector>,
    controller: Rc<OrderController>,
    fence: u64,
) {
    let targets = targets(&instance, &*connector).await;
    match controller.pass(&targets).await {
        Ok(reports) => {
            for report in reports {
                record(&instance, &report, fence);
            }
        }
        Err(error) => warn!("the desired states of engines cannot be read: {error}"),
    }
}

async fn targets(instance: &Instance, connector: &dyn EngineConnector) -> Vec<OrderTarget> {
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

/// Returns since when an operator's drain of a server is known here.
fn drained_since(member: &Member) -> Option<Instant> {
    let is_drained = member.state() == MemberState::Leaving && member.standing.is_drained();
    is_drained.then_some(member.changed_at)
}

/// Whether an engine reports that it has had nothing to do since all instances know of its drain.
async fn is_idle_since(
    instance: &Instance,
    engine: &dyn magnoliaspar_engine::Engine,
    since: Instant,
) -> bool {
    let Ok(load) = engine.load().await else { return false };
    let age = Duration::from_millis(load.age_ms);
    let made_at = instance.clock.now().checked_sub(age);
    let is_recent = made_at.is_some_and(|made_at| made_at >= since + DRAIN_SPREAD);
    is_recent && load.running == 0 && load.waiting == 0 && load.used_pieces == 0
}

fn record(instance: &Instance, report: &OrderReport, fence: u64) {
    if report.step == OrderStep::Undeclared {
        return;
    }
    if !instance.orders.put(report, fence, instance.clock.now()) {
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
