//! Leases with a fencing token.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::{Clock, Epoch, Incarnation, InstanceName};
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
///
/// An epoch of the table ends all that was held and observed in it: its versions are assigned again, and
/// rows that were written last may be lost. So a lease that may have been taken in a former epoch is
/// waited out in full, from the first read in the current one.
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
    /// the lease may be held by an instance whose row was lost or overwritten
    MayBeHeld,
    /// the fencing token {0} is out of range
    TokenOutOfRange(u64),
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
        let is_of_epoch = held.epoch == self.settings.table.epoch();
        let is_valid = is_of_epoch && held.lease.expires > self.settings.clock.now();
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
    /// duration, so at least two calls are needed: one before and one after that time. The same holds
    /// for a row that was lost.
    pub async fn acquire(&self) -> Result<Lease, LeaseError> {
        let _write_guard = self.write_lock.lock().await;
        if let Some(lease) = self.current() {
            return Ok(lease);
        }
        let (row, epoch) = self.read_row().await?;
        self.check_free(row.as_ref(), epoch)?;
        let fencing_token = self.next_token(row.as_ref(), epoch);
        let condition = row.map_or(Condition::Absent, |row| Condition::Version(row.version));
        self.write(condition, epoch, fencing_token, self.settings.duration).await
    }

    /// Renews the lease for its duration, or for `at_least` if that is longer.
    pub async fn renew(&self, at_least: Duration) -> Result<Lease, LeaseError> {
        let _write_guard = self.write_lock.lock().await;
        let held = self.held()?;
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
        let held = self.held()?;
        if seen >= MAX_FENCING_TOKEN {
            return Err(LeaseError::TokenOutOfRange(seen));
        }
        self.rewrite(held, held.lease.fencing_token.max(seen) + 1, Duration::ZERO).await
    }

    /// Reads the row and returns the lease if it is still held with the same fencing token.
    pub async fn confirm(&self) -> Result<Lease, LeaseError> {
        let (row, _) = self.read_row().await?;
        let lease = self.current().ok_or(LeaseError::Lost)?;
        self.check_own(row.as_ref(), lease.fencing_token)?;
        Ok(lease)
    }

    /// Releases the lease, so that other instances need not wait for its expiry.
    ///
    /// It must not be called while an order is in flight.
    pub async fn release(&self) {
        let _write_guard = self.write_lock.lock().await;
        let Some(held) = self.state.borrow_mut().held.take() else { return };
        if held.epoch != self.settings.table.epoch() {
            return;
        }
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
        let condition = Condition::Version(held.version);
        match self.write(condition, held.epoch, fencing_token, duration).await {
            Err(LeaseError::Lost) => {}
            result => return result,
        }
        let (row, epoch) = self.read_row().await?;
        self.held()?;
        let version = self.check_own(row.as_ref(), held.lease.fencing_token)?;
        self.write(Condition::Version(version), epoch, fencing_token, duration).await
    }

    /// Returns the lease as last written, which may have expired; fails in another epoch of the table.
    fn held(&self) -> Result<HeldLease, LeaseError> {
        let held = self.state.borrow().held.ok_or(LeaseError::Lost)?;
        match held.epoch == self.settings.table.epoch() {
            true => Ok(held),
            false => Err(LeaseError::Lost),
        }
    }

    /// Reads the row, and forgets what belongs to a former epoch. Returns the epoch in which it was read.
    async fn read_row(&self) -> Result<(Option<Row>, Epoch), LeaseError> {
        let table = &self.settings.table;
        for _ in 0..MAX_READS {
            let epoch = table.epoch();
            let row = table.read(&self.key).await.map_err(LeaseError::Platform)?;
            // Else another call has met a new epoch meanwhile, and the row may be of either.
            if table.epoch() == epoch {
                self.state.borrow_mut().enter(epoch);
                return Ok((row, epoch));
            }
        }
        Err(LeaseError::Ambiguous)
    }

    /// Writes the row under a condition that was met in an epoch; the lease is only held if the write
    /// was answered in the same one.
    async fn write(
        &self,
        condition: Condition,
        epoch: Epoch,
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
                let mut state = self.state.borrow_mut();
                state.held = (!is_overwritten).then_some(HeldLease { lease, version, epoch });
                state.has_met_row = true;
                state.highest_token = state.highest_token.max(fencing_token);
                drop(state);
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

    /// Checks that nobody can hold the lease. Remembers when the row was first seen as it is.
    fn check_free(&self, row: Option<&Row>, epoch: Epoch) -> Result<(), LeaseError> {
        let current = row.and_then(LeaseRow::from_row);
        if self.is_free_at_once(row, current.as_ref(), epoch) {
            return Ok(());
        }
        let now = self.settings.clock.now();
        let mut state = self.state.borrow_mut();
        let version = row.map(|row| row.version);
        let observed = match state.observed {
            Some(observed) if observed.version == version => observed,
            _ => ObservedRow { version, since: now },
        };
        state.observed = Some(observed);
        state.has_met_row |= row.is_some();
        // A row that was lost, overwritten or is of another epoch does not tell for how long the lease holds.
        let stated = current.as_ref().map_or(Duration::ZERO, LeaseRow::duration);
        let duration = stated.max(self.settings.duration);
        if now.saturating_duration_since(observed.since)
            > duration.mul_f64(1.0 + Self::CLOCK_MARGIN)
        {
            return Ok(());
        }
        Err(match current {
            Some(LeaseRow { holder, fencing_token, is_released: false, .. })
                if holder != self.holder =>
            {
                LeaseError::Held { holder, fencing_token }
            }
            _ => LeaseError::MayBeHeld,
        })
    }

    /// Returns whether the row shows that nobody holds the lease, however long it has been there.
    fn is_free_at_once(&self, row: Option<&Row>, current: Option<&LeaseRow>, epoch: Epoch) -> bool {
        let Some(current) = current else {
            let was_never_written = row.is_none() && !self.state.borrow().has_met_row;
            return was_never_written && epoch <= Epoch::FIRST;
        };
        current.proves_epoch(epoch) && (current.is_released || current.holder == self.holder)
    }

    /// Returns a fencing token above all that were given out.
    ///
    /// It orders by the epoch, then by the newest version of the table at the time of the read, which is
    /// above that of each earlier read whose lease was written, also if its row is lost.
    fn next_token(&self, row: Option<&Row>, epoch: Epoch) -> u64 {
        let of_row = row.and_then(LeaseRow::from_row).map_or(0, |row| row.fencing_token);
        let version = self.settings.table.newest_version().0.min(MAX_TOKEN_VERSION);
        let of_table = first_token(epoch) | version;
        let highest = self.state.borrow().highest_token.max(of_row);
        match highest + 1 {
            next if next < MAX_FENCING_TOKEN => of_table.max(next),
            _ => of_table,
        }
    }

    /// Checks that a row is that of the held lease; returns its version.
    fn check_own(&self, row: Option<&Row>, fencing_token: u64) -> Result<RowVersion, LeaseError> {
        let version = row.and_then(|row| {
            let written = LeaseRow::from_row(row)?;
            let is_own = written.holder == self.holder && written.fencing_token == fencing_token;
            (is_own && !written.is_released).then_some(row.version)
        });
        if version.is_none() {
            self.state.borrow_mut().held = None;
        }
        version.ok_or(LeaseError::Lost)
    }
}

#[derive(Default)]
struct LeaseState {
    /// The epoch of the last read.
    epoch: Epoch,
    held: Option<HeldLease>,
    observed: Option<ObservedRow>,
    /// Whether the row has existed.
    has_met_row: bool,
    /// The highest fencing token that this instance has given out.
    highest_token: u64,
}

impl LeaseState {
    /// Forgets what was held and observed in a former epoch.
    fn enter(&mut self, epoch: Epoch) {
        if self.epoch == epoch {
            return;
        }
        if self.held.is_some() {
            log::info!(epoch = epoch.0, previous = self.epoch.0; "lease_forgotten");
        }
        *self = Self { epoch, held: None, observed: None, ..*self };
    }
}

#[derive(Clone, Copy)]
struct HeldLease {
    lease: Lease,
    version: RowVersion,
    /// The epoch in which the row was written.
    epoch: Epoch,
}

/// The row as it was first seen, and the time of that.
#[derive(Clone, Copy)]
struct ObservedRow {
    /// The version; `None` if the row did not exist.
    version: Option<RowVersion>,
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
    /// Decodes a row; `None` if no holder of this lease can have written it.
    fn from_row(row: &Row) -> Option<Self> {
        let decoded: Self = serde_json::from_value(row.value.clone()).ok()?;
        let is_sound =
            decoded.fencing_token < MAX_FENCING_TOKEN && decoded.duration() <= MAX_DURATION;
        is_sound.then_some(decoded)
    }

    fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Returns whether the lease was taken in an epoch; always true in a table that was never restored.
    ///
    /// Whoever takes it has waited out all leases of former epochs.
    fn proves_epoch(&self, epoch: Epoch) -> bool {
        epoch <= Epoch::FIRST || self.fencing_token >= first_token(epoch)
    }
}

/// Returns the lowest fencing token of an epoch.
fn first_token(epoch: Epoch) -> u64 {
    match epoch <= Epoch::FIRST {
        true => FIRST_FENCING_TOKEN,
        false => epoch.0.min(MAX_TOKEN_EPOCH) << TOKEN_VERSION_BITS,
    }
}

/// Fencing token of the first holder.
const FIRST_FENCING_TOKEN: u64 = 1;

/// The number of low bits of a fencing token that hold a version of the table; the epoch is above them.
const TOKEN_VERSION_BITS: u32 = 40;

/// The highest version of the table in a fencing token.
const MAX_TOKEN_VERSION: u64 = (1 << TOKEN_VERSION_BITS) - 1;

/// The highest epoch in a fencing token.
const MAX_TOKEN_EPOCH: u64 = (1 << 11) - 1;

/// Fencing tokens are lower than this, so that each of them and its successors are exact in JSON.
const MAX_FENCING_TOKEN: u64 = 1 << 52;

/// Maximum duration of a lease in a row.
const MAX_DURATION: Duration = Duration::from_secs(3_600);

/// Maximum number of reads of the row until one lies within one epoch.
const MAX_READS: u32 = 4;

/// Fraction of its duration below which the remaining time of a lease triggers a renewal.
const RENEW_BELOW_FRACTION: f64 = 2.0 / 3.0;

/// Factor by which an extended lease exceeds the needed time.
const EXTENSION_FACTOR: f64 = 1.25;
