use std::cell::RefCell;
use std::rc::Rc;

use async_trait::async_trait;
use magnoliaspar_core::Clock;

use crate::{PlatformError, RateBudget, Row, RowKey, TableService, Transaction, WriteOutcome};

/// Divides the platform's rates between instances that do not talk about it.
///
/// Each instance divides the total by the number of live instances that it sees. The counts differ
/// for as long as the list lags, so a part of the total is left undivided: the sum of all shares
/// stays below the total as long as nobody sees fewer than `1 - HEADROOM` of the live instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InstanceBudget {
    /// The writes that all instances together may make in a second.
    pub writes_per_second: f64,
    /// The reads that all instances together may make in a second.
    pub reads_per_second: f64,
}

impl InstanceBudget {
    /// The part of the total that is not divided.
    pub const HEADROOM: f64 = 0.25;

    /// The number of instances at which shares stop shrinking.
    pub const MOST_INSTANCES: u32 = 16_384;

    /// Returns the part of `total_per_second` that belongs to one of `live_instances`.
    ///
    /// An instance that sees no list counts as one of [`MOST_INSTANCES`](Self::MOST_INSTANCES).
    pub fn share(total_per_second: f64, live_instances: u32) -> f64 {
        let divisor = match live_instances {
            0 => Self::MOST_INSTANCES,
            live => live.min(Self::MOST_INSTANCES),
        };
        total_per_second * (1.0 - Self::HEADROOM) / f64::from(divisor)
    }
}

impl Default for InstanceBudget {
    fn default() -> Self {
        Self { writes_per_second: 300.0, reads_per_second: 2000.0 }
    }
}

/// A table service that stays within the share of one instance.
///
/// A call above the share is refused as rate-limited before it is sent.
pub struct BudgetedTable {
    inner: Rc<dyn TableService>,
    clock: Rc<dyn Clock>,
    total: InstanceBudget,
    reads: RefCell<RateBudget>,
    writes: RefCell<RateBudget>,
}

impl BudgetedTable {
    /// Creates a decorator with the share of an instance that has seen no list yet.
    pub fn new(inner: Rc<dyn TableService>, clock: Rc<dyn Clock>, total: InstanceBudget) -> Self {
        let now = clock.now();
        let bucket = |total: f64| {
            let share = InstanceBudget::share(total, 0);
            RefCell::new(RateBudget::new(now, share, burst(share)))
        };
        let reads = bucket(total.reads_per_second);
        let writes = bucket(total.writes_per_second);
        Self { inner, clock, total, reads, writes }
    }

    /// Divides by another number of live instances from now on.
    pub fn set_live_instances(&self, live: u32) {
        let now = self.clock.now();
        let reads = InstanceBudget::share(self.total.reads_per_second, live);
        let writes = InstanceBudget::share(self.total.writes_per_second, live);
        self.reads.borrow_mut().set_rate(now, reads, burst(reads));
        self.writes.borrow_mut().set_rate(now, writes, burst(writes));
    }

    fn take(&self, budget: &RefCell<RateBudget>) -> Result<(), PlatformError> {
        budget
            .borrow_mut()
            .try_take(self.clock.now(), 1.0)
            .map_err(|retry_after| PlatformError::RateLimited { retry_after })
    }
}

#[async_trait(?Send)]
impl TableService for BudgetedTable {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.take(&self.reads)?;
        self.inner.read(key).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        self.take(&self.reads)?;
        self.inner.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<WriteOutcome, PlatformError> {
        self.take(&self.writes)?;
        self.inner.commit(transaction).await
    }
}

/// Returns a burst of one second, and at least [`MIN_BURST`].
fn burst(per_second: f64) -> f64 {
    per_second.max(MIN_BURST)
}

/// The fewest calls that may follow each other at once.
const MIN_BURST: f64 = 2.0;
