use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::{Clock, ManualClock, ServerName};
use magnoliaspar_engine::EngineError;
use magnoliaspar_fake::{Fault, MemoryTable, MemoryWeights};
use magnoliaspar_order::{
    DesiredError, DesiredTable, LeaseController, LeaseError, LeaseSettings, OperatorName,
    OrderController, OrderSettings, OrderStep, OrderTarget,
};

use crate::common::{ClockSleep, FakeEngine, backoff, desired, pass_time};
use crate::leases::settings;

const DURATION: Duration = LeaseSettings::DURATION;

struct World {
    clock: Rc<ManualClock>,
    table: MemoryTable,
    weights: MemoryWeights,
    desired: Rc<DesiredTable>,
    operator: OperatorName,
}

impl World {
    fn new() -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        let weights = MemoryWeights::new(clock.clone());
        let zone = "mid-a".try_into().unwrap();
        let writer = "operators".into();
        let desired =
            DesiredTable::new(Rc::new(table.clone()), backoff(clock.clone()), &zone, writer);
        let operator = OperatorName("ayu".into());
        Self { clock, table, weights, desired: Rc::new(desired), operator }
    }

    fn lease(&self, instance: &str) -> Rc<LeaseController> {
        Rc::new(LeaseController::new(settings(&self.table, &self.clock, instance)))
    }

    fn orders(&self, lease: &Rc<LeaseController>) -> OrderController {
        let clock: Rc<dyn Clock> = self.clock.clone();
        OrderController::new(OrderSettings {
            desired: self.desired.clone(),
            lease: lease.clone(),
            weights: Rc::new(self.weights.clone()),
            sleep: Rc::new(ClockSleep(clock)),
            order_limit: Duration::from_secs(5),
            max_loads: 2,
        })
    }

    async fn target(&self, name: &str, engine: &FakeEngine) -> OrderTarget {
        let server = ServerName::try_from(name).unwrap();
        self.desired.set(&server, Some(&desired(1)), None, &self.operator).await.unwrap();
        let is_fencing = engine.is_fencing();
        OrderTarget { server, engine: Rc::new(engine.clone()), is_fencing, is_drained: true }
    }
}

async fn steps(orders: &OrderController, targets: &[OrderTarget]) -> Vec<OrderStep> {
    let mut steps = Vec::new();
    for report in orders.pass(targets).await.unwrap() {
        steps.push(report.step);
    }
    steps
}

#[actix_rt::test]
async fn the_loser_of_two_operators_is_told_who_won() {
    let world = World::new();
    let server = ServerName::try_from("engine").unwrap();
    let first = world.desired.set(&server, Some(&desired(0)), None, &world.operator).await.unwrap();
    let other = OperatorName("budi".into());
    world.table.faults().on_next_write(Fault::LostAnswer);
    let winning = desired(1);
    let won = world.desired.set(&server, Some(&winning), Some(first), &other);
    let ticks = pass_time(&world.clock, Duration::from_secs(1));
    let second = futures_util::future::join(won, ticks).await.0.unwrap();
    let lost = world.desired.set(&server, Some(&desired(2)), Some(first), &world.operator).await;
    let winner = Some(other.clone());
    assert_eq!(lost, Err(DesiredError::Conflict { winner, at_version: Some(second) }));
    assert_eq!(world.desired.read(&server).await.unwrap().unwrap().state, Some(desired(1)));
    let cleared = world.desired.set(&server, None, Some(second), &other).await.unwrap();
    let lost = world.desired.set(&server, None, Some(second), &world.operator).await;
    let winner = Some(other);
    assert_eq!(lost, Err(DesiredError::Conflict { winner, at_version: Some(cleared) }));
}

#[actix_rt::test]
async fn a_holder_that_was_paused_gives_no_order() {
    let world = World::new();
    let lease = world.lease("one");
    let engine = FakeEngine::new(false, 0);
    let target = world.target("engine", &engine).await;
    let orders = world.orders(&lease);
    lease.acquire().await.unwrap();
    world.clock.advance(DURATION);
    let step = orders.reconcile(&target, &desired(1)).await;
    assert_eq!(step, OrderStep::NoLease(LeaseError::Lost));
    assert_eq!(orders.pass(&[target]).await, Ok(Vec::new()));
    assert!(engine.accepted().is_empty());
}

#[actix_rt::test]
async fn time_that_passes_before_the_order_counts() {
    let world = World::new();
    let lease = world.lease("one");
    let engine = FakeEngine::new(false, 0);
    let target = world.target("engine", &engine).await;
    let orders = world.orders(&lease);
    lease.acquire().await.unwrap();
    // Each call of the table now takes two thirds of the lease.
    let clock = world.clock.clone();
    let sleeper = move |delay| {
        clock.advance(delay);
        let future: Pin<Box<dyn Future<Output = ()>>> = Box::pin(std::future::ready(()));
        future
    };
    world.table.faults().set_delay(DURATION.mul_f64(2.0 / 3.0), Rc::new(sleeper));
    let step = orders.reconcile(&target, &desired(1)).await;
    assert_eq!(step, OrderStep::NoLease(LeaseError::Lost));
    assert!(engine.accepted().is_empty());
}

#[actix_rt::test]
async fn a_holder_whose_clock_stood_still_reads_that_it_lost_the_lease() {
    let world = World::new();
    let stopped = Rc::new(ManualClock::new());
    let lease = Rc::new(LeaseController::new(settings(&world.table, &stopped, "one")));
    let engine = FakeEngine::new(false, 0);
    let target = world.target("engine", &engine).await;
    let orders = world.orders(&lease);
    lease.acquire().await.unwrap();
    let other = world.lease("other");
    assert!(other.acquire().await.is_err());
    world.clock.advance(2 * DURATION);
    other.acquire().await.unwrap();
    assert!(lease.current().is_some());
    let step = orders.reconcile(&target, &desired(1)).await;
    assert_eq!(step, OrderStep::NoLease(LeaseError::Lost));
    assert!(engine.accepted().is_empty());
}

#[actix_rt::test]
async fn loads_share_the_weight_store() {
    let world = World::new();
    world.weights.set_rate(100.0);
    let lease = world.lease("one");
    lease.acquire().await.unwrap();
    let orders = world.orders(&lease);
    let mut targets = Vec::new();
    for index in 0..4 {
        let engine = FakeEngine::new(true, 0);
        targets.push(world.target(&format!("engine-{index}"), &engine).await);
    }
    let first = steps(&orders, &targets).await;
    let retry_after = Duration::from_secs(1);
    assert!(matches!(first[0], OrderStep::Ordered(_)));
    assert_eq!(first[1], OrderStep::WeightsLimited { retry_after });
    assert_eq!(world.weights.granted().len(), 1);
    for _ in 0..8 {
        world.clock.advance(Duration::from_secs(1));
        lease.tend().await.unwrap();
        steps(&orders, &targets).await;
    }
    assert_eq!(world.weights.granted().len(), 4);
    assert_eq!(steps(&orders, &targets).await, vec![OrderStep::InForce; 4]);
}

#[actix_rt::test]
async fn a_permit_whose_order_did_not_run_is_kept() {
    let world = World::new();
    let lease = world.lease("one");
    lease.acquire().await.unwrap();
    let orders = world.orders(&lease);
    let engine = FakeEngine::new(true, 0);
    let target = world.target("engine", &engine).await;
    for (error, granted) in
        [(EngineError::Full, 1), (EngineError::Lost("cut".into()), 1), (EngineError::Full, 2)]
    {
        engine.fail_next(error.clone());
        let step = orders.reconcile(&target, &desired(1)).await;
        assert_eq!(step, OrderStep::Failed(error));
        assert_eq!(world.weights.granted().len(), granted);
    }
}

#[actix_rt::test]
async fn an_engine_with_streams_is_drained_before_its_model_changes() {
    let world = World::new();
    let lease = world.lease("one");
    lease.acquire().await.unwrap();
    let orders = world.orders(&lease);
    let engine = FakeEngine::new(true, 0);
    let mut target = world.target("engine", &engine).await;
    target.is_drained = false;
    assert_eq!(orders.reconcile(&target, &desired(1)).await, OrderStep::AwaitsDrain);
    target.is_drained = true;
    assert!(matches!(orders.reconcile(&target, &desired(1)).await, OrderStep::Ordered(_)));
    assert!(matches!(orders.reconcile(&target, &desired(1)).await, OrderStep::Ordered(_)));
    assert_eq!(orders.reconcile(&target, &desired(1)).await, OrderStep::InForce);
}

#[actix_rt::test]
async fn an_engine_that_saw_a_higher_number_is_overtaken() {
    let world = World::new();
    let lease = world.lease("one");
    lease.acquire().await.unwrap();
    let orders = world.orders(&lease);
    let engine = FakeEngine::new(true, 0);
    engine.set_seen(50);
    let target = world.target("engine", &engine).await;
    let refused = orders.reconcile(&target, &desired(1)).await;
    assert!(matches!(refused, OrderStep::Failed(_)));
    assert!(matches!(orders.reconcile(&target, &desired(1)).await, OrderStep::Ordered(_)));
    assert_eq!(engine.accepted(), [51]);
}
