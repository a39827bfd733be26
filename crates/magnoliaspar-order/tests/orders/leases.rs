use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use magnoliaspar_core::{Clock, Incarnation, ManualClock};
use magnoliaspar_fake::{Fault, MemoryTable};
use magnoliaspar_order::{LeaseController, LeaseError, LeaseSettings};
use magnoliaspar_store::{PlatformError, Row, RowKey, TableService, Transaction, WriteOutcome};

use crate::common::{Gate, SkewedClock, backoff, pass_time};

const DURATION: Duration = LeaseSettings::DURATION;

/// Returns the settings of one instance that wants the lease.
pub fn settings<C: Clock + 'static>(
    table: &MemoryTable,
    clock: &Rc<C>,
    instance: &str,
) -> LeaseSettings {
    LeaseSettings {
        table: Rc::new(table.clone()),
        clock: clock.clone(),
        backoff: backoff(clock.clone()),
        instance: instance.try_into().unwrap(),
        incarnation: Incarnation(1),
        nonce: 0,
        name: "orders/mid-a".into(),
        duration: DURATION,
    }
}

struct World {
    clock: Rc<ManualClock>,
    table: MemoryTable,
}

impl World {
    fn new() -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        Self { clock, table }
    }

    fn lease(&self, instance: &str) -> LeaseController {
        LeaseController::new(settings(&self.table, &self.clock, instance))
    }

    /// Lets another instance try all the time while one counts on the lease.
    async fn check_exclusive(&self, one: &LeaseController, other: &LeaseController) {
        while one.current().is_some() {
            assert!(other.acquire().await.is_err(), "two instances hold the lease");
            self.clock.advance(Duration::from_millis(50));
        }
    }
}

#[actix_rt::test]
async fn a_lease_is_taken_when_it_was_seen_unchanged_for_its_duration() {
    let world = World::new();
    let (one, other) = (world.lease("one"), world.lease("other"));
    assert_eq!(one.acquire().await.unwrap().number, 1);
    world.clock.advance(DURATION);
    // The row is seen for the first time, so nothing is known of its age.
    assert!(matches!(other.acquire().await, Err(LeaseError::Held { number: 1, .. })));
    assert_eq!(one.current(), None);
    world.clock.advance(DURATION);
    assert!(matches!(other.acquire().await, Err(LeaseError::Held { number: 1, .. })));
    world.clock.advance(DURATION.mul_f64(LeaseController::CLOCK_MARGIN));
    world.clock.advance(Duration::from_millis(1));
    assert_eq!(other.acquire().await.unwrap().number, 2);
    assert_eq!(one.renew(Duration::ZERO).await, Err(LeaseError::Lost));
    other.release().await;
    assert_eq!(one.acquire().await.unwrap().number, 3);
}

#[actix_rt::test]
async fn a_late_renewal_never_shortens_what_the_holder_counts_on() {
    let world = World::new();
    let (one, other) = (world.lease("one"), world.lease("other"));
    one.acquire().await.unwrap();
    one.ensure(4 * DURATION).await.unwrap();
    world.table.faults().on_next_write(Fault::LateEffect);
    for _ in 0..4 {
        world.table.faults().on_next_read(Fault::Unavailable);
    }
    let renewal = one.renew(Duration::ZERO);
    let ticks = pass_time(&world.clock, Duration::from_secs(10));
    let renewed = futures_util::future::join(renewal, ticks).await.0;
    assert_eq!(renewed, Err(LeaseError::Unsettled));
    world.table.apply_late_writes();
    world.check_exclusive(&one, &other).await;
}

#[actix_rt::test]
async fn clocks_may_run_at_different_rates() {
    let world = World::new();
    let slow = SkewedClock::new(world.clock.clone(), 0.985);
    let fast = SkewedClock::new(world.clock.clone(), 1.015);
    let one = LeaseController::new(settings(&world.table, &slow, "one"));
    let other = LeaseController::new(settings(&world.table, &fast, "other"));
    one.acquire().await.unwrap();
    world.check_exclusive(&one, &other).await;
}

/// A table that keeps back the answer to its first write until a gate opens.
struct LateAnswer {
    inner: MemoryTable,
    gate: Gate,
    is_first: Cell<bool>,
}

#[async_trait(?Send)]
impl TableService for LateAnswer {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.inner.read(key).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.inner.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError> {
        let result = self.inner.commit(transaction).await;
        if self.gate.0.get() && self.is_first.replace(false) {
            self.gate.pass().await;
        }
        result
    }
}

#[actix_rt::test]
async fn a_renewal_never_shortens_another_one_that_is_under_way() {
    let world = World::new();
    let gate = Gate::default();
    let table =
        LateAnswer { inner: world.table.clone(), gate: gate.clone(), is_first: Cell::new(true) };
    let one = settings(&world.table, &world.clock, "one");
    let one = LeaseController::new(LeaseSettings { table: Rc::new(table), ..one });
    let other = world.lease("other");
    one.acquire().await.unwrap();
    gate.0.set(true);
    let renewals = async {
        let (long, short) =
            futures_util::future::join(one.ensure(4 * DURATION), one.renew(Duration::ZERO)).await;
        long.unwrap();
        short.unwrap();
    };
    let opening = async {
        pass_time(&world.clock, Duration::from_secs(1)).await;
        gate.0.set(false);
    };
    futures_util::future::join(renewals, opening).await;
    world.check_exclusive(&one, &other).await;
}
