//! Division of the platform's rate limits between instances.

use std::cell::RefCell;
use std::rc::Rc;

use async_trait::async_trait;
use magnoliaspar_core::{Clock, Epoch};

use crate::{
    PlatformError, Row, RowKey, RowVersion, TableService, TokenBucket, Transaction, WriteOutcome,
};

/// The platform's rate limits, which instances divide without coordination.
///
/// Each instance divides the total by the number of live instances that it sees. These numbers
/// differ while the list is stale, so a part of the total stays undivided: the sum of all shares
/// stays below the total if every instance sees at least `1 - HEADROOM` of the live instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlatformRates {
    /// The limit for the writes of all instances together.
    pub writes_per_second: f64,
    /// The limit for the reads of all instances together.
    pub reads_per_second: f64,
}

impl PlatformRates {
    /// The fraction of the total that is not divided.
    pub const HEADROOM: f64 = 0.25;

    /// The number of instances above which shares do not get smaller.
    pub const MAX_INSTANCES: u32 = 16_384;

    /// Returns the share of `total_per_second` of one of `live_instances`.
    ///
    /// An instance that has no list yet, with `live_instances` 0, assumes
    /// [`MAX_INSTANCES`](Self::MAX_INSTANCES).
    pub fn share(total_per_second: f64, live_instances: u32) -> f64 {
        let divisor = match live_instances {
            0 => Self::MAX_INSTANCES,
            live => live.min(Self::MAX_INSTANCES),
        };
        total_per_second * (1.0 - Self::HEADROOM) / f64::from(divisor)
    }
}

impl Default for PlatformRates {
    fn default() -> Self {
        Self { writes_per_second: 300.0, reads_per_second: 2000.0 }
    }
}

/// A table service that limits calls to the share of one instance.
///
/// A call above the share fails as rate-limited without being sent.
pub struct RateLimitedTable {
    inner: Rc<dyn TableService>,
    clock: Rc<dyn Clock>,
    total: PlatformRates,
    reads: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
}

impl RateLimitedTable {
    /// Creates a decorator with the share of an instance that has no list yet.
    pub fn new(inner: Rc<dyn TableService>, clock: Rc<dyn Clock>, total: PlatformRates) -> Self {
        let now = clock.now();
        let bucket = |total: f64| {
            let share = PlatformRates::share(total, 0);
            RefCell::new(TokenBucket::new(now, share, burst(share)))
        };
        let reads = bucket(total.reads_per_second);
        let writes = bucket(total.writes_per_second);
        Self { inner, clock, total, reads, writes }
    }

    /// Changes the number of live instances by which the total is divided.
    pub fn set_live_instances(&self, live: u32) {
        let now = self.clock.now();
        let reads = PlatformRates::share(self.total.reads_per_second, live);
        let writes = PlatformRates::share(self.total.writes_per_second, live);
        self.reads.borrow_mut().set_rate(now, reads, burst(reads));
        self.writes.borrow_mut().set_rate(now, writes, burst(writes));
    }

    fn take(&self, bucket: &RefCell<TokenBucket>) -> Result<(), PlatformError> {
        bucket
            .borrow_mut()
            .try_take(self.clock.now(), 1.0)
            .map_err(|retry_after| PlatformError::RateLimited { retry_after })
    }
}

#[async_trait(?Send)]
impl TableService for RateLimitedTable {
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

    fn epoch(&self) -> Epoch {
        self.inner.epoch()
    }

    fn newest_version(&self) -> RowVersion {
        self.inner.newest_version()
    }
}

/// Returns the burst for a rate: the calls of one second, at least [`MIN_BURST`].
fn burst(per_second: f64) -> f64 {
    per_second.max(MIN_BURST)
}

/// Minimum burst in calls.
const MIN_BURST: f64 = 2.0;
