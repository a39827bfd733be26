//! Leases with a fencing token.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{Clock, Incarnation, InstanceName};
use magnoliaspar_store::{
    Backoff, CommitOutcome, Condition, PlatformError, Row, RowKey, RowVersion, TableService,
    Transaction, Write, WriteToken, commit_idempotent,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

/// Acquires, renews and releases one lease.
///
/// Clocks of different instances are never compared. The holder measures the duration from before
/// it sent its write. Others measure it from when they first saw the row, which is later. As clocks
/// may run at different rates, the holder subtracts [`CLOCK_MARGIN`](Self::CLOCK_MARGIN) and the
/// others add it.
pub struct LeaseController {
    settings: LeaseSettings,
    key: RowKey,
    /// Unique name of this holder.
    holder: Box<str>,
    state: RefCell<LeaseState>,
    /// Number of writes so far, from which write tokens are formed.
    writes: Cell<u64>,
    /// Locked while the row is written, so that no renewal shortens a concurrent one.
    write_lock: Mutex<()>,
}

/// Dependencies and parameters of a [`LeaseController`].
#[derive(Clone)]
pub struct LeaseSettings {
    /// The table that holds the lease.
    pub table: Rc<dyn TableService>,
    /// The clock of this process.
    pub clock: Rc<dyn Clock>,
    /// Retry schedule of writes to the table.
    pub backoff: Backoff,
    /// The name of this instance.
    pub instance: InstanceName,
    /// The incarnation of this instance, which changes with each start.
    pub incarnation: Incarnation,
    /// A random number that keeps holder names unique even if an incarnation is used twice.
    pub nonce: u64,
    /// The name of the lease, such as `orders/mid-a`.
    pub name: Box<str>,
    /// Time for which the lease is held without a renewal.
    pub duration: Duration,
}

impl LeaseSettings {
    /// Default of [`duration`](Self::duration).
    pub const DURATION: Duration = Duration::from_secs(15);
}

/// A lease as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The fencing token, which is higher than that of any earlier holder.
    pub fencing_token: u64,
    /// Expiry of the lease unless it is renewed, by the holder's clock.
    pub expires: Instant,
}

/// The reason why a lease is not held.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum LeaseError {
    /// the lease is held by {holder} with fencing token {fencing_token}
    Held {
        /// The holder.
        holder: Box<str>,
        /// Its fencing token.
        fencing_token: u64,
    },
    /// the lease has expired or was taken by another instance
    Lost,
    /// it is unknown whether the lease was written
    Ambiguous,
    /// the table cannot be used: {0}
    Platform(PlatformError),
    /// the row of the lease cannot be parsed
    Unreadable,
}

impl std::error::Error for LeaseError {}

impl LeaseController {
    /// Maximum deviation of a clock's rate, as a fraction of the measured time.
    pub const CLOCK_MARGIN: f64 = 0.02;

    /// Creates a controller that does not hold the lease.
    pub fn new(settings: LeaseSettings) -> Self {
        let key = RowKey(format!("lease/{}", settings.name).into());
        let holder =
            format!("{}/{}/{:016x}", settings.instance, settings.incarnation, settings.nonce)
                .into();
        Self {
            settings,
            key,
            holder,
            state: RefCell::default(),
            writes: Cell::new(0),
            write_lock: Mutex::new(()),
        }
    }

    /// Returns the lease if it is held now.
    pub fn current(&self) -> Option<Lease> {
        let held = self.state.borrow().held?;
        let is_valid = held.lease.expires > self.settings.clock.now();
        is_valid.then_some(held.lease)
    }

    /// Returns the time from now on for which the lease is certainly held.
    pub fn remaining(&self) -> Duration {
        let Some(lease) = self.current() else { return Duration::ZERO };
        lease.expires.saturating_duration_since(self.settings.clock.now())
    }

    /// Acquires the lease, or renews it once a third of its duration has passed.
    ///
    /// It should be called several times within the lease's duration. Only a few instances should
    /// compete for the lease, because each call of an instance that does not hold it reads the row.
    pub async fn acquire_or_renew(&self) -> Result<Lease, LeaseError> {
        let Some(lease) = self.current() else { return self.acquire().await };
        if self.remaining() > self.settings.duration.mul_f64(RENEW_BELOW_FRACTION) {
            return Ok(lease);
        }
        self.renew(Duration::ZERO).await
    }

    /// Acquires the lease if no other instance holds it.
    ///
    /// Another holder's lease counts as expired once its row was observed unchanged for its
    /// duration, so at least two calls are needed: one before and one after that time.
    pub async fn acquire(&self) -> Result<Lease, LeaseError> {
        let _write_guard = self.write_lock.lock().await;
        if let Some(lease) = self.current() {
            return Ok(lease);
        }
        let row = self.settings.table.read(&self.key).await.map_err(LeaseError::Platform)?;
        let (condition, fencing_token) = match row {
            None => (Condition::Absent, FIRST_FENCING_TOKEN),
            Some(row) => {
                let current = LeaseRow::from_row(&row)?;
                if !self.is_free(row.version, &current) {
                    return Err(LeaseError::Held {
                        holder: current.holder,
                        fencing_token: current.fencing_token,
                    });
                }
                (Condition::Version(row.version), current.fencing_token + 1)
            }
        };
        self.write(condition, fencing_token, self.settings.duration).await
    }

    /// Renews the lease for its duration, or for `at_least` if that is longer.
    pub async fn renew(&self, at_least: Duration) -> Result<Lease, LeaseError> {
        let _write_guard = self.write_lock.lock().await;
        let held = self.state.borrow().held.ok_or(LeaseError::Lost)?;
        self.rewrite(held, held.lease.fencing_token, at_least).await
    }

    /// Ensures that the lease is held for `needed` from now on, and renews it if necessary.
    pub async fn ensure_held_for(&self, needed: Duration) -> Result<Lease, LeaseError> {
        let lease = self.current().ok_or(LeaseError::Lost)?;
        if self.remaining() >= needed {
            return Ok(lease);
        }
        self.renew(needed.mul_f64(EXTENSION_FACTOR)).await
    }

    /// Raises the fencing token above one that a backend server has seen.
    pub async fn raise_token_above(&self, seen: u64) -> Result<Lease, LeaseError> {
        let _write_guard = self.write_lock.lock().await;
        let held = self.state.borrow().held.ok_or(LeaseError::Lost)?;
        self.rewrite(held, held.lease.fencing_token.max(seen) + 1, Duration::ZERO).await
    }

    /// Reads the row and returns the lease if it is still held with the same fencing token.
    pub async fn confirm(&self) -> Result<Lease, LeaseError> {
        let row = self.settings.table.read(&self.key).await.map_err(LeaseError::Platform)?;
        let lease = self.current().ok_or(LeaseError::Lost)?;
        let row = row.ok_or(LeaseError::Lost)?;
        let written = LeaseRow::from_row(&row)?;
        if !self.is_own(&written, lease.fencing_token) {
            self.state.borrow_mut().held = None;
            return Err(LeaseError::Lost);
        }
        Ok(lease)
    }

    /// Releases the lease, so that other instances need not wait for its expiry.
    ///
    /// It must not be called while an order is in flight.
    pub async fn release(&self) {
        let _write_guard = self.write_lock.lock().await;
        let Some(held) = self.state.borrow_mut().held.take() else { return };
        let row = self.row(held.lease.fencing_token, self.settings.duration, true);
        // If the write fails, the lease still expires after its duration.
        self.commit(Condition::Version(held.version), &row).await;
    }

    /// Writes the row of the held lease again.
    ///
    /// An earlier write of this holder with unknown result may have changed the version of the row.
    /// After a conflict, the row is therefore read and written once more.
    async fn rewrite(
        &self,
        held: HeldLease,
        fencing_token: u64,
        at_least: Duration,
    ) -> Result<Lease, LeaseError> {
        // A write whose result stays unknown must not shorten the lease that the holder relies on.
        let remaining_with_margin = self.remaining().mul_f64(1.0 / (1.0 - Self::CLOCK_MARGIN));
        let duration = self.settings.duration.max(at_least).max(remaining_with_margin);
        match self.write(Condition::Version(held.version), fencing_token, duration).await {
            Err(LeaseError::Lost) => {}
            result => return result,
        }
        let row = self.settings.table.read(&self.key).await.map_err(LeaseError::Platform)?;
        let row = row.ok_or(LeaseError::Lost)?;
        if !self.is_own(&LeaseRow::from_row(&row)?, held.lease.fencing_token) {
            self.state.borrow_mut().held = None;
            return Err(LeaseError::Lost);
        }
        self.write(Condition::Version(row.version), fencing_token, duration).await
    }

    async fn write(
        &self,
        condition: Condition,
        fencing_token: u64,
        duration: Duration,
    ) -> Result<Lease, LeaseError> {
        let sent_at = self.settings.clock.now();
        match self.commit(condition, &self.row(fencing_token, duration, false)).await {
            CommitOutcome::Applied(versions) => {
                let expires = sent_at + duration.mul_f64(1.0 - Self::CLOCK_MARGIN);
                let lease = Lease { fencing_token, expires };
                let version = versions[0];
                let is_overwritten = version == RowVersion::OVERWRITTEN;
                self.state.borrow_mut().held =
                    (!is_overwritten).then_some(HeldLease { lease, version });
                self.current().ok_or(LeaseError::Lost)
            }
            CommitOutcome::Conflict { .. } => Err(LeaseError::Lost),
            CommitOutcome::NotApplied(error) => Err(LeaseError::Platform(error)),
            CommitOutcome::Unknown => Err(LeaseError::Ambiguous),
        }
    }

    async fn commit(&self, condition: Condition, row: &LeaseRow) -> CommitOutcome {
        let value = Some(serde_json::to_value(row).expect("a lease has only text keys"));
        let write = Write { key: self.key.clone(), condition, value };
        let number = self.writes.get();
        self.writes.set(number + 1);
        let token = WriteToken(format!("{}/{number}", self.holder).into());
        let transaction = Transaction { writes: vec![write] };
        commit_idempotent(&*self.settings.table, &self.settings.backoff, &transaction, &token).await
    }

    fn row(&self, fencing_token: u64, duration: Duration, is_released: bool) -> LeaseRow {
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        LeaseRow { holder: self.holder.clone(), fencing_token, duration_ms, is_released }
    }

    /// Returns true if a row allows taking the lease. Remembers when the row was first seen.
    fn is_free(&self, version: RowVersion, row: &LeaseRow) -> bool {
        if row.is_released || row.holder == self.holder {
            return true;
        }
        let now = self.settings.clock.now();
        let mut state = self.state.borrow_mut();
        let since = match state.observed {
            Some(observed) if observed.version == version => observed.since,
            _ => {
                state.observed = Some(ObservedRow { version, since: now });
                now
            }
        };
        let duration = Duration::from_millis(row.duration_ms);
        now.saturating_duration_since(since) > duration.mul_f64(1.0 + Self::CLOCK_MARGIN)
    }

    fn is_own(&self, row: &LeaseRow, fencing_token: u64) -> bool {
        row.holder == self.holder && row.fencing_token == fencing_token && !row.is_released
    }
}

#[derive(Default)]
struct LeaseState {
    held: Option<HeldLease>,
    observed: Option<ObservedRow>,
}

#[derive(Clone, Copy)]
struct HeldLease {
    lease: Lease,
    version: RowVersion,
}

/// Another holder's row and the time when it was first seen.
#[derive(Clone, Copy)]
struct ObservedRow {
    version: RowVersion,
    since: Instant,
}

/// The stored row of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct LeaseRow {
    holder: Box<str>,
    #[serde(rename = "number")]
    fencing_token: u64,
    duration_ms: u64,
    is_released: bool,
}

impl LeaseRow {
    fn from_row(row: &Row) -> Result<Self, LeaseError> {
        serde_json::from_value(row.value.clone()).map_err(|_| LeaseError::Unreadable)
    }
}

/// Fencing token of the first holder.
const FIRST_FENCING_TOKEN: u64 = 1;

/// Fraction of its duration below which the remaining time of a lease triggers a renewal.
const RENEW_BELOW_FRACTION: f64 = 2.0 / 3.0;

/// Factor by which an extended lease exceeds the needed time.
const EXTENSION_FACTOR: f64 = 1.25;
