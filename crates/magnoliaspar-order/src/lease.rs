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

/// Holds one lease, or waits for it.
///
/// No clock is compared with another. The holder counts from before it sent its request; others
/// count from when they first saw the row, which is later, and by a clock that may run faster by
/// [`CLOCK_MARGIN`](Self::CLOCK_MARGIN) on each side.
pub struct LeaseController {
    settings: LeaseSettings,
    key: RowKey,
    holder: Box<str>,
    state: RefCell<State>,
    writes: Cell<u64>,
    /// Held while the row is written, so that no renewal shortens another one.
    writing: Mutex<()>,
}

/// What a lease controller works with.
#[derive(Clone)]
pub struct LeaseSettings {
    /// The table that holds the lease.
    pub table: Rc<dyn TableService>,
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// How long the controller tries to settle a write.
    pub backoff: Backoff,
    /// The name of this instance.
    pub instance: InstanceName,
    /// The life of this instance.
    pub incarnation: Incarnation,
    /// A random number, which keeps holders apart should a life's number ever be used twice.
    pub nonce: u64,
    /// What the lease is for, such as `orders/mid-a`.
    pub name: Box<str>,
    /// How long the lease lasts without a renewal.
    pub duration: Duration,
}

impl LeaseSettings {
    /// How long a lease lasts without a renewal, by default.
    pub const DURATION: Duration = Duration::from_secs(15);
}

/// A lease as its holder sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The fencing number, which is higher than that of any earlier holder.
    pub number: u64,
    /// When the lease lapses unless it is renewed.
    pub expires: Instant,
}

/// Why a lease is not held.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum LeaseError {
    /// the lease is held by {holder} with fencing number {number}
    Held {
        /// The holder.
        holder: Box<str>,
        /// Its fencing number.
        number: u64,
    },
    /// the lease has lapsed or was taken by another instance
    Lost,
    /// it is not known whether the lease was written
    Unsettled,
    /// the table cannot be used: {0}
    Platform(PlatformError),
    /// the row of the lease is not readable
    Unreadable,
}

impl std::error::Error for LeaseError {}

impl LeaseController {
    /// How much faster or slower a clock may run, as a part of the measured time.
    pub const CLOCK_MARGIN: f64 = 0.02;

    /// Creates a controller that holds nothing.
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
            writing: Mutex::new(()),
        }
    }

    /// Returns the lease if it is held at this moment.
    pub fn current(&self) -> Option<Lease> {
        let held = self.state.borrow().held?;
        let is_valid = held.lease.expires > self.settings.clock.now();
        is_valid.then_some(held.lease)
    }

    /// Returns for how long the lease is certainly held from this moment on.
    pub fn remaining(&self) -> Duration {
        let Some(lease) = self.current() else { return Duration::ZERO };
        lease.expires.saturating_duration_since(self.settings.clock.now())
    }

    /// Acquires the lease, or renews it once a third of it has passed.
    ///
    /// It is meant to be called several times within the lease's duration, by a few instances of
    /// those that may hold it: each call of one that waits is a read.
    pub async fn tend(&self) -> Result<Lease, LeaseError> {
        let Some(lease) = self.current() else { return self.acquire().await };
        if self.remaining() > self.settings.duration.mul_f64(RENEW_BELOW) {
            return Ok(lease);
        }
        self.renew(Duration::ZERO).await
    }

    /// Takes the lease if nobody holds it.
    ///
    /// Another holder's lease counts as lapsed once its row has been seen unchanged for its
    /// duration, so a wait needs calls before and after.
    pub async fn acquire(&self) -> Result<Lease, LeaseError> {
        let _writing = self.writing.lock().await;
        if let Some(lease) = self.current() {
            return Ok(lease);
        }
        let row = self.settings.table.read(&self.key).await.map_err(LeaseError::Platform)?;
        let (condition, number) = match row {
            None => (Condition::Absent, FIRST_NUMBER),
            Some(row) => {
                let lease = LeaseRow::from_row(&row)?;
                if !self.is_free(row.version, &lease) {
                    return Err(LeaseError::Held { holder: lease.holder, number: lease.number });
                }
                (Condition::Version(row.version), lease.number + 1)
            }
        };
        self.write(condition, number, self.settings.duration).await
    }

    /// Renews the lease for its duration, or for `at_least` if that is longer.
    pub async fn renew(&self, at_least: Duration) -> Result<Lease, LeaseError> {
        let _writing = self.writing.lock().await;
        let held = self.state.borrow().held.ok_or(LeaseError::Lost)?;
        self.rewrite(held, held.lease.number, at_least).await
    }

    /// Makes the lease last for `needed` from now on, by a renewal if need be.
    pub async fn ensure(&self, needed: Duration) -> Result<Lease, LeaseError> {
        let lease = self.current().ok_or(LeaseError::Lost)?;
        if self.remaining() >= needed {
            return Ok(lease);
        }
        self.renew(needed.mul_f64(EXTENSION)).await
    }

    /// Raises the fencing number above one that a backend server has seen.
    pub async fn advance_past(&self, seen: u64) -> Result<Lease, LeaseError> {
        let _writing = self.writing.lock().await;
        let held = self.state.borrow().held.ok_or(LeaseError::Lost)?;
        self.rewrite(held, held.lease.number.max(seen) + 1, Duration::ZERO).await
    }

    /// Reads the row back and returns the lease if it is still held under the same number.
    pub async fn confirm(&self) -> Result<Lease, LeaseError> {
        let row = self.settings.table.read(&self.key).await.map_err(LeaseError::Platform)?;
        let lease = self.current().ok_or(LeaseError::Lost)?;
        let row = row.ok_or(LeaseError::Lost)?;
        let written = LeaseRow::from_row(&row)?;
        if !self.is_own(&written, lease.number) {
            self.state.borrow_mut().held = None;
            return Err(LeaseError::Lost);
        }
        Ok(lease)
    }

    /// Gives the lease up, so that others need not wait until it lapses.
    ///
    /// No order may be under way any more.
    pub async fn release(&self) {
        let _writing = self.writing.lock().await;
        let Some(held) = self.state.borrow_mut().held.take() else { return };
        let row = self.row(held.lease.number, self.settings.duration, true);
        // If the write fails, the lease lapses by itself.
        self.commit(Condition::Version(held.version), &row).await;
    }

    /// Writes the held row again; the row may have moved on under an earlier write in doubt.
    async fn rewrite(
        &self,
        held: Held,
        number: u64,
        at_least: Duration,
    ) -> Result<Lease, LeaseError> {
        // A row in doubt must never announce less than what the holder still counts on.
        let counted_on = self.remaining().mul_f64(1.0 / (1.0 - Self::CLOCK_MARGIN));
        let duration = self.settings.duration.max(at_least).max(counted_on);
        match self.write(Condition::Version(held.version), number, duration).await {
            Err(LeaseError::Lost) => {}
            result => return result,
        }
        let row = self.settings.table.read(&self.key).await.map_err(LeaseError::Platform)?;
        let row = row.ok_or(LeaseError::Lost)?;
        if !self.is_own(&LeaseRow::from_row(&row)?, held.lease.number) {
            self.state.borrow_mut().held = None;
            return Err(LeaseError::Lost);
        }
        self.write(Condition::Version(row.version), number, duration).await
    }

    async fn write(
        &self,
        condition: Condition,
        number: u64,
        duration: Duration,
    ) -> Result<Lease, LeaseError> {
        let sent = self.settings.clock.now();
        match self.commit(condition, &self.row(number, duration, false)).await {
            CommitOutcome::Applied(versions) => {
                let expires = sent + duration.mul_f64(1.0 - Self::CLOCK_MARGIN);
                let lease = Lease { number, expires };
                let version = versions[0];
                let is_overwritten = version == RowVersion::OVERWRITTEN;
                self.state.borrow_mut().held = (!is_overwritten).then_some(Held { lease, version });
                self.current().ok_or(LeaseError::Lost)
            }
            CommitOutcome::Conflict { .. } => Err(LeaseError::Lost),
            CommitOutcome::NotApplied(error) => Err(LeaseError::Platform(error)),
            CommitOutcome::Unknown => Err(LeaseError::Unsettled),
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

    fn row(&self, number: u64, duration: Duration, is_released: bool) -> LeaseRow {
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        LeaseRow { holder: self.holder.clone(), number, duration_ms, is_released }
    }

    /// Whether a row leaves the lease to be taken; remembers when it was first seen.
    fn is_free(&self, version: RowVersion, row: &LeaseRow) -> bool {
        if row.is_released || row.holder == self.holder {
            return true;
        }
        let now = self.settings.clock.now();
        let mut state = self.state.borrow_mut();
        let since = match state.watched {
            Some(watched) if watched.version == version => watched.since,
            _ => {
                state.watched = Some(Watched { version, since: now });
                now
            }
        };
        let duration = Duration::from_millis(row.duration_ms);
        now.saturating_duration_since(since) > duration.mul_f64(1.0 + Self::CLOCK_MARGIN)
    }

    fn is_own(&self, row: &LeaseRow, number: u64) -> bool {
        row.holder == self.holder && row.number == number && !row.is_released
    }
}

#[derive(Default)]
struct State {
    held: Option<Held>,
    watched: Option<Watched>,
}

#[derive(Clone, Copy)]
struct Held {
    lease: Lease,
    version: RowVersion,
}

/// Another holder's row, and when it was first seen.
#[derive(Clone, Copy)]
struct Watched {
    version: RowVersion,
    since: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct LeaseRow {
    holder: Box<str>,
    number: u64,
    duration_ms: u64,
    is_released: bool,
}

impl LeaseRow {
    fn from_row(row: &Row) -> Result<Self, LeaseError> {
        serde_json::from_value(row.value.clone()).map_err(|_| LeaseError::Unreadable)
    }
}

/// The fencing number of the first holder.
const FIRST_NUMBER: u64 = 1;

/// Below which part of its duration a lease is renewed.
const RENEW_BELOW: f64 = 2.0 / 3.0;

/// How much longer than needed a lease is made to last.
const EXTENSION: f64 = 1.25;
