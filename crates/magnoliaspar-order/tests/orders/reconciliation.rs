//! Tests of orders and desired states.

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

use crate::common::{FakeEngine, PollingSleep, advance_time, backoff, desired};
use crate::leases::settings;

const DURATION: Duration = LeaseSettings::DURATION;

struct Setup {
    clock: Rc<ManualClock>,
    table: MemoryTable,
    weights: MemoryWeights,
    desired: Rc<DesiredTable>,
    operator: OperatorName,
}

impl Setup {
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
            sleep: Rc::new(PollingSleep(clock)),
            order_timeout: Duration::from_secs(5),
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
    let setup = Setup::new();
    let server = ServerName::try_from("engine").unwrap();
    let first = setup.desired.set(&server, Some(&desired(0)), None, &setup.operator).await.unwrap();
    let other = OperatorName("budi".into());
    setup.table.faults().on_next_write(Fault::LostAnswer);
    let winning = desired(1);
    let won = setup.desired.set(&server, Some(&winning), Some(first), &other);
    let ticks = advance_time(&setup.clock, Duration::from_secs(1));
    let second = futures_util::future::join(won, ticks).await.0.unwrap();
    let lost = setup.desired.set(&server, Some(&desired(2)), Some(first), &setup.operator).await;
    let winner = Some(other.clone());
    assert_eq!(lost, Err(DesiredError::Conflict { winner, at_version: Some(second) }));
    assert_eq!(setup.desired.read(&server).await.unwrap().unwrap().state, Some(desired(1)));
    let cleared = setup.desired.set(&server, None, Some(second), &other).await.unwrap();
    let lost = setup.desired.set(&server, None, Some(second), &setup.operator).await;
    let winner = Some(other);
    assert_eq!(lost, Err(DesiredError::Conflict { winner, at_version: Some(cleared) }));
}

#[actix_rt::test]
async fn a_holder_that_was_paused_gives_no_order() {
    let setup = Setup::new();
    let lease = setup.lease("one");
    let engine = FakeEngine::new(false, 0);
    let target = setup.target("engine", &engine).await;
    let orders = setup.orders(&lease);
    lease.acquire().await.unwrap();
    setup.clock.advance(DURATION);
    let step = orders.reconcile(&target, &desired(1)).await;
    assert_eq!(step, OrderStep::NoLease(LeaseError::Lost));
    assert_eq!(orders.pass(&[target]).await, Ok(Vec::new()));
    assert!(engine.accepted().is_empty());
}

#[actix_rt::test]
async fn a_lease_that_expires_before_the_order_prevents_it() {
    let setup = Setup::new();
    let lease = setup.lease("one");
    let engine = FakeEngine::new(false, 0);
    let target = setup.target("engine", &engine).await;
    let orders = setup.orders(&lease);
    lease.acquire().await.unwrap();
    // From here on, each call of the table takes two thirds of the lease's duration.
    let clock = setup.clock.clone();
    let sleeper = move |delay| {
        clock.advance(delay);
        let future: Pin<Box<dyn Future<Output = ()>>> = Box::pin(std::future::ready(()));
        future
    };
    setup.table.faults().set_delay(DURATION.mul_f64(2.0 / 3.0), Rc::new(sleeper));
    let step = orders.reconcile(&target, &desired(1)).await;
    assert_eq!(step, OrderStep::NoLease(LeaseError::Lost));
    assert!(engine.accepted().is_empty());
}

#[actix_rt::test]
async fn a_holder_whose_clock_stood_still_reads_that_it_lost_the_lease() {
    let setup = Setup::new();
    let stopped = Rc::new(ManualClock::new());
    let lease = Rc::new(LeaseController::new(settings(&setup.table, &stopped, "one")));
    let engine = FakeEngine::new(false, 0);
    let target = setup.target("engine", &engine).await;
    let orders = setup.orders(&lease);
    lease.acquire().await.unwrap();
    let other = setup.lease("other");
    assert!(other.acquire().await.is_err());
    setup.clock.advance(2 * DURATION);
    other.acquire().await.unwrap();
    assert!(lease.current().is_some());
    let step = orders.reconcile(&target, &desired(1)).await;
    assert_eq!(step, OrderStep::NoLease(LeaseError::Lost));
    assert!(engine.accepted().is_empty());
}

#[actix_rt::test]
async fn loads_respect_the_rate_limit_of_the_weight_store() {
    let setup = Setup::new();
    setup.weights.set_rate(100.0);
    let lease = setup.lease("one");
    lease.acquire().await.unwrap();
    let orders = setup.orders(&lease);
    let mut targets = Vec::new();
    for index in 0..4 {
        let engine = FakeEngine::new(true, 0);
        targets.push(setup.target(&format!("engine-{index}"), &engine).await);
    }
    let first = steps(&orders, &targets).await;
    let retry_after = Duration::from_secs(1);
    assert!(matches!(first[0], OrderStep::Ordered(_)));
    assert_eq!(first[1], OrderStep::WeightsLimited { retry_after });
    assert_eq!(setup.weights.granted().len(), 1);
    for _ in 0..8 {
        setup.clock.advance(Duration::from_secs(1));
        lease.acquire_or_renew().await.unwrap();
        steps(&orders, &targets).await;
    }
    assert_eq!(setup.weights.granted().len(), 4);
    assert_eq!(steps(&orders, &targets).await, vec![OrderStep::UpToDate; 4]);
}

#[actix_rt::test]
async fn a_granted_download_whose_order_did_not_run_is_used_again() {
    let setup = Setup::new();
    let lease = setup.lease("one");
    lease.acquire().await.unwrap();
    let orders = setup.orders(&lease);
    let engine = FakeEngine::new(true, 0);
    let target = setup.target("engine", &engine).await;
    for (error, granted) in
        [(EngineError::Full, 1), (EngineError::Lost("cut".into()), 1), (EngineError::Full, 2)]
    {
        engine.fail_next(error.clone());
        let step = orders.reconcile(&target, &desired(1)).await;
        assert_eq!(step, OrderStep::Failed(error));
        assert_eq!(setup.weights.granted().len(), granted);
    }
}

#[actix_rt::test]
async fn an_engine_with_streams_is_drained_before_its_model_changes() {
    let setup = Setup::new();
    let lease = setup.lease("one");
    lease.acquire().await.unwrap();
    let orders = setup.orders(&lease);
    let engine = FakeEngine::new(true, 0);
    let mut target = setup.target("engine", &engine).await;
    target.is_drained = false;
    assert_eq!(orders.reconcile(&target, &desired(1)).await, OrderStep::AwaitsDrain);
    target.is_drained = true;
    assert!(matches!(orders.reconcile(&target, &desired(1)).await, OrderStep::Ordered(_)));
    assert!(matches!(orders.reconcile(&target, &desired(1)).await, OrderStep::Ordered(_)));
    assert_eq!(orders.reconcile(&target, &desired(1)).await, OrderStep::UpToDate);
}

#[actix_rt::test]
async fn the_fencing_token_is_raised_above_one_that_the_engine_has_seen() {
    let setup = Setup::new();
    let lease = setup.lease("one");
    lease.acquire().await.unwrap();
    let orders = setup.orders(&lease);
    let engine = FakeEngine::new(true, 0);
    engine.set_seen_token(50);
    let target = setup.target("engine", &engine).await;
    let refused = orders.reconcile(&target, &desired(1)).await;
    assert!(matches!(refused, OrderStep::Failed(_)));
    assert!(matches!(orders.reconcile(&target, &desired(1)).await, OrderStep::Ordered(_)));
    assert_eq!(engine.accepted(), [51]);
}
