//! Tests that a lease has one holder at a time, and fencing tokens that only rise, when its table is
//! restored from a copy or another writer changes its row.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::{Clock, Epoch, ManualClock};
use magnoliaspar_fake::{Fault, MemoryTable};
use magnoliaspar_order::{LeaseController, LeaseError, LeaseSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use crate::common::advance_time;
use crate::leases::settings;

const DURATION: Duration = LeaseSettings::DURATION;
const ROW: &str = "lease/orders/mid-a";
const MAX_JSON_INTEGER: u64 = 1 << 53;

/// An order that an engine has received.
#[derive(Debug, Clone, Copy)]
struct ReceivedOrder {
    at: Instant,
    holder: usize,
    token: u64,
    epoch: Epoch,
}

/// Instances that compete for a lease, and the orders that they have sent.
struct Setup {
    clock: Rc<ManualClock>,
    table: MemoryTable,
    leases: Vec<LeaseController>,
    orders: RefCell<Vec<ReceivedOrder>>,
    epoch: Cell<Epoch>,
}

impl Setup {
    fn new(instances: usize) -> Self {
        let clock = Rc::new(ManualClock::new());
        let table = MemoryTable::new(clock.clone());
        table.tell_epochs();
        let mut setup = Self {
            clock,
            table,
            leases: Vec::new(),
            orders: RefCell::default(),
            epoch: Cell::default(),
        };
        for _ in 0..instances {
            setup.start();
        }
        setup
    }

    /// Starts another instance, which knows nothing of the table.
    fn start(&mut self) {
        let name = format!("i{}", self.leases.len());
        self.leases.push(LeaseController::new(settings(&self.table.client(), &self.clock, &name)));
    }

    fn restore(&self) {
        self.table.restore();
        self.epoch.set(Epoch(self.epoch.get().0 + 1));
    }

    /// Lets an instance take the lease if it can, and send an order if the lease is confirmed.
    async fn order(&self, holder: usize) -> Result<u64, LeaseError> {
        self.leases[holder].acquire().await?;
        self.order_if_held(holder).await
    }

    /// Lets an instance send an order if it holds the lease.
    async fn order_if_held(&self, holder: usize) -> Result<u64, LeaseError> {
        let token = self.leases[holder].confirm().await?.fencing_token;
        let order = ReceivedOrder { at: self.clock.now(), holder, token, epoch: self.epoch.get() };
        self.orders.borrow_mut().push(order);
        self.check_orders();
        Ok(token)
    }

    /// Lets an instance try each second until it sends an order; returns the time that this took.
    async fn order_after_waiting(&self, holder: usize) -> Duration {
        let start = self.clock.now();
        for _ in 0..100 {
            if self.order(holder).await.is_ok() {
                return self.clock.now() - start;
            }
            self.clock.advance(Duration::from_secs(1));
        }
        panic!("the lease is never taken")
    }

    /// Checks the last order against those before it.
    fn check_orders(&self) {
        let orders = self.orders.borrow();
        let [.., before, last] = &**orders else { return };
        assert!(last.token < MAX_JSON_INTEGER, "{last:?}");
        if last.holder == before.holder {
            assert!(last.token >= before.token, "a lower token: {before:?}, {last:?}");
            return;
        }
        assert!(last.token > before.token, "no higher token: {before:?}, {last:?}");
        let waited = last.at - before.at;
        assert!(
            last.epoch == before.epoch || waited >= DURATION,
            "two holders at a time: {before:?}, {last:?}"
        );
    }
}

#[actix_rt::test]
async fn a_token_that_was_given_out_before_a_restore_is_not_given_out_again() {
    let setup = Setup::new(2);
    setup.order(0).await.unwrap();
    setup.table.save_copy();
    setup.order_after_waiting(1).await;
    setup.restore();
    setup.order_after_waiting(0).await;
}

#[actix_rt::test]
async fn a_lease_whose_row_was_lost_is_waited_out() {
    let setup = Setup::new(2);
    setup.table.save_copy();
    setup.order(0).await.unwrap();
    setup.restore();
    assert_eq!(setup.order_if_held(0).await, Err(LeaseError::Lost));
    setup.order_after_waiting(1).await;
}

#[actix_rt::test]
async fn an_instance_that_starts_after_a_restore_waits_out_a_lost_lease() {
    let mut setup = Setup::new(1);
    setup.table.save_copy();
    setup.order(0).await.unwrap();
    setup.restore();
    setup.start();
    setup.order_after_waiting(1).await;
}

#[actix_rt::test]
async fn a_row_that_was_released_before_a_restore_is_not_free_after_it() {
    let setup = Setup::new(3);
    setup.order(0).await.unwrap();
    setup.leases[0].release().await;
    setup.table.save_copy();
    setup.clock.advance(DURATION);
    setup.order(1).await.unwrap();
    setup.restore();
    setup.order_after_waiting(2).await;
}

#[actix_rt::test]
async fn a_suspended_holder_is_not_confirmed_by_its_row_of_an_earlier_epoch() {
    let setup = Setup::new(1);
    setup.order(0).await.unwrap();
    setup.table.save_copy();
    // Another instance takes the lease while the clock of the holder stands still.
    let clock = Rc::new(ManualClock::new());
    let other = LeaseController::new(settings(&setup.table.client(), &clock, "other"));
    assert!(other.acquire().await.is_err());
    clock.advance(2 * DURATION);
    other.acquire().await.unwrap();
    setup.restore();
    assert_eq!(setup.order_if_held(0).await, Err(LeaseError::Lost));
}

#[actix_rt::test]
async fn a_version_that_is_assigned_again_does_not_make_a_row_older() {
    let setup = Setup::new(3);
    setup.table.save_copy();
    setup.order(0).await.unwrap();
    assert!(setup.order(1).await.is_err());
    setup.restore();
    setup.order_after_waiting(2).await;
    assert!(setup.order(1).await.is_err());
    setup.order_if_held(2).await.unwrap();
}

#[actix_rt::test]
async fn a_renewal_by_a_version_of_an_earlier_epoch_makes_no_second_holder() {
    let setup = Setup::new(2);
    setup.table.save_copy();
    setup.order(0).await.unwrap();
    let long = 4 * DURATION;
    setup.restore();
    setup.order_after_waiting(1).await;
    // The row has the version again that the former holder has written.
    assert!(setup.leases[0].renew(long).await.is_err());
    assert!(setup.order_if_held(0).await.is_err());
    setup.order_after_waiting(0).await;
}

#[actix_rt::test]
async fn a_write_without_an_answer_that_a_restore_has_lost_gives_no_lease() {
    let setup = Setup::new(2);
    setup.table.save_copy();
    setup.table.faults().on_next_write(Fault::LostAnswer);
    let taking = setup.leases[0].acquire();
    let restoring = async {
        tokio::task::yield_now().await;
        setup.restore();
        advance_time(&setup.clock, Duration::from_secs(5)).await;
    };
    let taken = futures_util::future::join(taking, restoring).await.0;
    assert!(taken.is_err(), "{taken:?}");
    setup.order_after_waiting(1).await;
    setup.order_after_waiting(0).await;
}

#[actix_rt::test]
async fn two_restores_from_the_same_copy_give_higher_tokens() {
    let setup = Setup::new(3);
    setup.order(0).await.unwrap();
    setup.table.save_copy();
    for holder in [1, 2, 1, 0] {
        setup.restore();
        setup.order_after_waiting(holder).await;
    }
}

#[actix_rt::test]
async fn after_a_restore_the_lease_is_taken_soon() {
    let setup = Setup::new(2);
    setup.table.save_copy();
    setup.order(0).await.unwrap();
    setup.restore();
    let waited = setup.order_after_waiting(0).await;
    assert!(waited <= DURATION + Duration::from_secs(2), "{waited:?}");
    setup.leases[0].release().await;
    setup.clock.advance(DURATION);
    setup.order(1).await.unwrap();
}

#[actix_rt::test]
async fn restores_losses_and_late_writes_never_give_two_holders_or_a_lower_token() {
    for seed in 0..80 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut setup = Setup::new(3);
        for _ in 0..150 {
            let holder = rng.random_range(0..setup.leases.len());
            match rng.random_range(0..40) {
                0 => setup.table.save_copy(),
                1 => setup.restore(),
                2 => setup.table.faults().on_next_write(Fault::LateEffect),
                3 => setup.table.faults().on_next_write(Fault::LostAnswer),
                4 if setup.leases.len() < 6 => setup.start(),
                5 => setup.clock.advance(DURATION),
                6..10 => {
                    let _ = setup.order_if_held(holder).await;
                }
                10 => {
                    let renewal = setup.leases[holder].renew(Duration::ZERO);
                    let ticks = advance_time(&setup.clock, Duration::from_secs(10));
                    let _ = futures_util::future::join(renewal, ticks).await;
                }
                _ => {
                    let order = setup.order(holder);
                    let ticks = advance_time(&setup.clock, Duration::from_secs(2));
                    let _ = futures_util::future::join(order, ticks).await;
                }
            }
        }
        assert!(setup.orders.borrow().len() > 5, "seed {seed}");
    }
}

#[actix_rt::test]
async fn a_row_that_another_writer_removes_or_spoils_is_waited_out() {
    let row = |token: Value, duration: Value| json!({ "holder": "x", "number": token, "duration_ms": duration, "is_released": false });
    for odd in [
        None,
        Some(json!(null)),
        Some(json!([])),
        Some(json!({ "holder": 7 })),
        Some(row(json!(-1), json!(15_000))),
        Some(row(json!(u64::MAX), json!(15_000))),
        Some(row(json!(1_u64 << 53), json!(15_000))),
        Some(row(json!(7), json!(u64::MAX))),
        Some(row(json!(7), json!(1e300))),
        Some(row(json!(0), json!(0))),
        Some(row(json!((1_u64 << 52) - 1), json!(15_000))),
    ] {
        let setup = Setup::new(2);
        setup.order(0).await.unwrap();
        assert!(setup.order(1).await.is_err());
        setup.table.overwrite(ROW, odd.clone());
        assert!(setup.order_if_held(0).await.is_err(), "{odd:?}");
        let waited = setup.order_after_waiting(1).await;
        let expected = DURATION..=DURATION + Duration::from_secs(2);
        assert!(expected.contains(&waited), "{odd:?}: {waited:?}");
        setup.order_after_waiting(0).await;
    }
}

#[actix_rt::test]
async fn a_number_that_an_engine_claims_to_have_seen_does_not_end_the_process() {
    let setup = Setup::new(1);
    setup.order(0).await.unwrap();
    assert!(setup.leases[0].raise_token_above(u64::MAX).await.is_err());
    setup.leases[0].raise_token_above(100).await.unwrap();
    assert!(setup.order(0).await.unwrap() > 100);
}
