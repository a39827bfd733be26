//! Tests of leases.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use magnoliaspar_core::{Clock, Incarnation, ManualClock};
use magnoliaspar_fake::{Fault, MemoryTable};
use magnoliaspar_order::{LeaseController, LeaseError, LeaseSettings};
use magnoliaspar_store::{PlatformError, Row, RowKey, TableService, Transaction, WriteOutcome};

use crate::common::{PauseGate, SkewedClock, advance_time, backoff};

const DURATION: Duration = LeaseSettings::DURATION;

/// Returns the lease settings of one instance.
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

struct Setup {
    clock: Rc<ManualClock>,
    table: MemoryTable,
}

impl Setup {
    fn new() -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        Self { clock, table }
    }

    fn lease(&self, instance: &str) -> LeaseController {
        LeaseController::new(settings(&self.table, &self.clock, instance))
    }

    /// Checks that another instance cannot acquire the lease for as long as `one` holds it.
    async fn check_exclusive(&self, one: &LeaseController, other: &LeaseController) {
        while one.current().is_some() {
            assert!(other.acquire().await.is_err(), "two instances hold the lease");
            self.clock.advance(Duration::from_millis(50));
        }
    }
}

#[actix_rt::test]
async fn a_lease_is_acquired_after_its_row_was_unchanged_for_its_duration() {
    let setup = Setup::new();
    let (one, other) = (setup.lease("one"), setup.lease("other"));
    assert_eq!(one.acquire().await.unwrap().fencing_token, 1);
    setup.clock.advance(DURATION);
    // The row is seen for the first time, so its age is unknown.
    assert!(matches!(other.acquire().await, Err(LeaseError::Held { fencing_token: 1, .. })));
    assert_eq!(one.current(), None);
    setup.clock.advance(DURATION);
    assert!(matches!(other.acquire().await, Err(LeaseError::Held { fencing_token: 1, .. })));
    setup.clock.advance(DURATION.mul_f64(LeaseController::CLOCK_MARGIN));
    setup.clock.advance(Duration::from_millis(1));
    assert_eq!(other.acquire().await.unwrap().fencing_token, 2);
    assert_eq!(one.renew(Duration::ZERO).await, Err(LeaseError::Lost));
    other.release().await;
    assert_eq!(one.acquire().await.unwrap().fencing_token, 3);
}

#[actix_rt::test]
async fn a_late_renewal_never_shortens_the_lease_that_the_holder_relies_on() {
    let setup = Setup::new();
    let (one, other) = (setup.lease("one"), setup.lease("other"));
    one.acquire().await.unwrap();
    one.ensure_held_for(4 * DURATION).await.unwrap();
    setup.table.faults().on_next_write(Fault::LateEffect);
    for _ in 0..4 {
        setup.table.faults().on_next_read(Fault::Unavailable);
    }
    let renewal = one.renew(Duration::ZERO);
    let ticks = advance_time(&setup.clock, Duration::from_secs(10));
    let renewed = futures_util::future::join(renewal, ticks).await.0;
    assert_eq!(renewed, Err(LeaseError::Ambiguous));
    setup.table.apply_late_writes();
    setup.check_exclusive(&one, &other).await;
}

#[actix_rt::test]
async fn clocks_may_run_at_different_rates() {
    let setup = Setup::new();
    let slow = SkewedClock::new(setup.clock.clone(), 0.985);
    let fast = SkewedClock::new(setup.clock.clone(), 1.015);
    let one = LeaseController::new(settings(&setup.table, &slow, "one"));
    let other = LeaseController::new(settings(&setup.table, &fast, "other"));
    one.acquire().await.unwrap();
    setup.check_exclusive(&one, &other).await;
}

/// A table that holds back the answer to the first write made while the gate is set, until the gate
/// is cleared.
struct DelayedAnswerTable {
    inner: MemoryTable,
    gate: PauseGate,
    is_first: Cell<bool>,
}

#[async_trait(?Send)]
impl TableService for DelayedAnswerTable {
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
            self.gate.wait_while_paused().await;
        }
        result
    }
}

#[actix_rt::test]
async fn a_renewal_never_shortens_a_concurrent_one() {
    let setup = Setup::new();
    let gate = PauseGate::default();
    let table = DelayedAnswerTable {
        inner: setup.table.clone(),
        gate: gate.clone(),
        is_first: Cell::new(true),
    };
    let one = settings(&setup.table, &setup.clock, "one");
    let one = LeaseController::new(LeaseSettings { table: Rc::new(table), ..one });
    let other = setup.lease("other");
    one.acquire().await.unwrap();
    gate.0.set(true);
    let renewals = async {
        let (long, short) = futures_util::future::join(
            one.ensure_held_for(4 * DURATION),
            one.renew(Duration::ZERO),
        )
        .await;
        long.unwrap();
        short.unwrap();
    };
    let opening = async {
        advance_time(&setup.clock, Duration::from_secs(1)).await;
        gate.0.set(false);
    };
    futures_util::future::join(renewals, opening).await;
    setup.check_exclusive(&one, &other).await;
}
