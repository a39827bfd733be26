//! Controller that claims idempotency keys and stores the outcomes of attempts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use magnoliaspar_core::{Clock, Incarnation, InstanceName};
use magnoliaspar_store::{
    Backoff, Condition, PlatformError, Row, RowKey, RowVersion, TableService, Write,
};

use crate::batcher::{WriteBatcher, WriteResult};
use crate::pending::{PendingWrite, PendingWrites};
use crate::row::{ClaimRow, ClaimState, fingerprint_hex, row_key};
use crate::{ClaimOwner, ClaimRequest, ClaimTicket, ClaimVerdict, NotRunReason, StoredOutcome};

/// Decides which attempts of non-idempotent requests are dispatched.
///
/// A clone is a handle to the same controller. The controller writes through tasks of the current
/// thread, so it must be used within a local task set.
#[derive(Clone)]
pub struct ClaimController(Rc<Inner>);

struct Inner {
    settings: ClaimSettings,
    batcher: Rc<WriteBatcher>,
    /// Number of attempts so far, from which attempt ids are formed.
    attempts: Cell<u64>,
    /// Ids of the attempts that this instance is working on.
    in_progress: RefCell<BTreeSet<Box<str>>>,
    recently_dispatched: RefCell<RecentKeys>,
    pending: RefCell<PendingWrites>,
}

/// Dependencies and parameters of a [`ClaimController`].
#[derive(Clone)]
pub struct ClaimSettings {
    /// The table that holds the claims.
    pub table: Rc<dyn TableService>,
    /// The clock of this process.
    pub clock: Rc<dyn Clock>,
    /// Retry schedule of writes to the table.
    pub backoff: Backoff,
    /// The name of this instance.
    pub instance: InstanceName,
    /// The incarnation of this instance, which changes with each start.
    pub incarnation: Incarnation,
    /// A random number that keeps attempt ids unique even if an incarnation is used twice.
    pub nonce: u64,
    /// Time that the first write of a transaction waits for further writes.
    pub linger: Duration,
    /// Time for which outcomes are kept, counted from the start of the attempt.
    pub retention: Duration,
}

impl ClaimSettings {
    /// Default of [`linger`](Self::linger).
    pub const LINGER: Duration = Duration::from_millis(2);

    /// Default of [`retention`](Self::retention).
    pub const RETENTION: Duration = Duration::from_hours(7 * 24);
}

impl ClaimController {
    /// Creates a controller without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        let token_prefix = attempt_prefix(&settings).into();
        let batcher = WriteBatcher::new(
            settings.table.clone(),
            settings.backoff.clone(),
            settings.linger,
            token_prefix,
        );
        Self(Rc::new(Inner {
            settings,
            batcher: Rc::new(batcher),
            attempts: Cell::new(0),
            in_progress: RefCell::default(),
            recently_dispatched: RefCell::default(),
            pending: RefCell::default(),
        }))
    }

    /// Claims the idempotency key of a request and decides what to do with the request.
    ///
    /// If the returned future is dropped, the claim is released later.
    pub async fn claim(&self, request: &ClaimRequest) -> ClaimVerdict {
        let key = row_key(&request.workspace, &request.key);
        let row = self.claimed_row(request);
        let mut guard = ReleaseGuard { controller: self, key: &key, row: &row, is_armed: true };
        let mut condition = Condition::Absent;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.write(&key, &row, condition).await {
                WriteResult::Applied(version) => {
                    guard.is_armed = false;
                    return self.dispatch(&key, version, row.clone());
                }
                WriteResult::Conflict(None) => condition = Condition::Absent,
                WriteResult::Conflict(Some(current)) => match self.evaluate(&row, &current) {
                    ExistingRow::Replaceable => condition = Condition::Version(current.version),
                    ExistingRow::Verdict(verdict) => {
                        guard.is_armed = false;
                        return verdict;
                    }
                },
                WriteResult::NotApplied(error) => {
                    guard.is_armed = false;
                    return self.not_run_after(&key, error);
                }
                // The guard releases the claim in case it was or will be written.
                WriteResult::Unknown => return self.not_run(&key, NotRunReason::Ambiguous, None),
            }
        }
        self.not_run(&key, NotRunReason::Contended, None)
    }

    /// Stores the outcome of a dispatched attempt for resends.
    ///
    /// Returns true if it is stored; if not, [`retry_pending`](Self::retry_pending) tries again.
    pub async fn complete(&self, ticket: ClaimTicket, outcome: StoredOutcome) -> bool {
        let row = ticket.row.with_state(ClaimState::Finished(outcome));
        self.end_ticket(PendingWrite::after(ticket.key, ticket.version, row)).await
    }

    /// Releases the key of an attempt that was certainly not dispatched.
    ///
    /// Returns true if it is free; if not, [`retry_pending`](Self::retry_pending) tries again.
    pub async fn abandon(&self, ticket: ClaimTicket) -> bool {
        self.0.recently_dispatched.borrow_mut().remove(&ticket.key);
        self.0.pending.borrow_mut().mark_undispatched(&ticket.row.attempt);
        let row = ticket.row.with_state(ClaimState::Abandoned);
        self.end_ticket(PendingWrite::after(ticket.key, ticket.version, row)).await
    }

    /// Ends a dispatched attempt whose outcome will never be known. Its key stays claimed.
    pub fn mark_outcome_unknown(&self, ticket: ClaimTicket) {
        self.0.in_progress.borrow_mut().remove(&ticket.row.attempt);
    }

    /// Tries again to write the outcomes and releases that could not be written so far.
    ///
    /// Returns the number of writes that remain. It should be called about once a second.
    pub async fn retry_pending(&self) -> usize {
        let writes = self.0.pending.borrow().to_vec();
        let mut futures = Vec::with_capacity(writes.len());
        for write in writes {
            futures.push(self.write_pending(write));
        }
        futures_util::future::join_all(futures).await;
        self.pending_writes()
    }

    /// Returns the number of writes that wait to be retried.
    pub fn pending_writes(&self) -> usize {
        self.0.pending.borrow().len()
    }

    pub(crate) fn settings(&self) -> &ClaimSettings {
        &self.0.settings
    }

    /// Returns the Unix time in milliseconds by the wall clock.
    pub(crate) fn unix_time_ms(&self) -> u64 {
        let wall = self.0.settings.clock.wall();
        let elapsed = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    fn claimed_row(&self, request: &ClaimRequest) -> ClaimRow {
        let settings = &self.0.settings;
        let number = self.0.attempts.get();
        self.0.attempts.set(number + 1);
        ClaimRow {
            state: ClaimState::Claimed,
            attempt: format!("{}/{number}", attempt_prefix(settings)).into(),
            fingerprint: fingerprint_hex(request.fingerprint),
            route: request.route.clone(),
            owner: ClaimOwner {
                instance: settings.instance.clone(),
                incarnation: settings.incarnation,
            },
            began_ms: self.unix_time_ms(),
        }
    }

    async fn write(&self, key: &RowKey, row: &ClaimRow, condition: Condition) -> WriteResult {
        let value = Some(row.to_value());
        self.0.batcher.submit(Write { key: key.clone(), condition, value }).await
    }

    fn dispatch(&self, key: &RowKey, version: RowVersion, row: ClaimRow) -> ClaimVerdict {
        self.0.in_progress.borrow_mut().insert(row.attempt.clone());
        self.0.recently_dispatched.borrow_mut().insert(key);
        ClaimVerdict::Dispatch(ClaimTicket { key: key.clone(), version, row })
    }

    /// Evaluates the existing row that a claim conflicts with.
    fn evaluate(&self, own: &ClaimRow, current: &Row) -> ExistingRow {
        let Some(claim) = ClaimRow::from_row(current) else {
            let verdict = ClaimVerdict::MayHaveRun { owner: None, is_in_progress: false };
            return ExistingRow::Verdict(verdict);
        };
        if claim.state == ClaimState::Abandoned {
            return ExistingRow::Replaceable;
        }
        if self.0.pending.borrow().is_undispatched(&claim.attempt) {
            return ExistingRow::Replaceable;
        }
        if claim.fingerprint != own.fingerprint {
            return ExistingRow::Verdict(ClaimVerdict::Mismatch);
        }
        if let ClaimState::Finished(outcome) = claim.state {
            return ExistingRow::Verdict(ClaimVerdict::Replay(outcome));
        }
        let is_in_progress = self.0.in_progress.borrow().contains(&claim.attempt);
        let owner = Some(claim.owner);
        ExistingRow::Verdict(ClaimVerdict::MayHaveRun { owner, is_in_progress })
    }

    fn not_run_after(&self, key: &RowKey, error: PlatformError) -> ClaimVerdict {
        match error {
            PlatformError::RateLimited { retry_after } => {
                self.not_run(key, NotRunReason::RateLimited, Some(retry_after))
            }
            error => {
                let message = error.to_string().into();
                self.not_run(key, NotRunReason::StoreUnavailable(message), None)
            }
        }
    }

    /// Refuses an attempt. If this instance dispatched an earlier one, that one may have run.
    fn not_run(
        &self,
        key: &RowKey,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) -> ClaimVerdict {
        if self.0.recently_dispatched.borrow().contains(key) {
            return ClaimVerdict::MayHaveRun { owner: None, is_in_progress: false };
        }
        ClaimVerdict::NotRun { reason, retry_after }
    }

    /// Makes the write that ends a ticket, or leaves it pending.
    async fn end_ticket(&self, write: PendingWrite) -> bool {
        let attempt = write.row.attempt.clone();
        self.0.in_progress.borrow_mut().remove(&attempt);
        if !self.0.pending.borrow_mut().insert(write.clone()) {
            log::warn!(
                "too many pending claim writes; if this one fails, {attempt} counts as possibly run"
            );
        }
        self.write_pending(write).await
    }

    /// Makes a pending write unless it is obsolete. Returns false if it has to be retried.
    async fn write_pending(&self, mut write: PendingWrite) -> bool {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.write(&write.key, &write.row, write.condition).await {
                WriteResult::Applied(_) => {
                    self.0.pending.borrow_mut().remove(&write.row.attempt);
                    return true;
                }
                WriteResult::Conflict(current) => {
                    let Some(condition) = next_condition(&write.row, current.as_ref()) else {
                        self.0.pending.borrow_mut().remove(&write.row.attempt);
                        return true;
                    };
                    write.condition = condition;
                }
                WriteResult::NotApplied(_) | WriteResult::Unknown => return false,
            }
        }
        false
    }

    /// Marks an attempt as never dispatched, and queues the release of a claim that may be written.
    fn release_later(&self, key: &RowKey, row: &ClaimRow) {
        let mut pending = self.0.pending.borrow_mut();
        pending.mark_undispatched(&row.attempt);
        let row = row.with_state(ClaimState::Abandoned);
        let condition = Condition::Absent;
        if !pending.insert(PendingWrite { key: key.clone(), row, condition }) {
            log::warn!("too many pending claim writes; row {} may stay claimed", key.0);
        }
    }
}

/// Evaluation of the existing row that a claim conflicts with.
enum ExistingRow {
    /// Its attempt was not dispatched, so the row may be replaced.
    Replaceable,
    /// It decides what to do with the request.
    Verdict(ClaimVerdict),
}

/// Releases a claim if its future is dropped, or if it ends while the claim may still be written.
struct ReleaseGuard<'a> {
    controller: &'a ClaimController,
    key: &'a RowKey,
    row: &'a ClaimRow,
    /// True until the result of the claim is known.
    is_armed: bool,
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.controller.release_later(self.key, self.row);
        }
    }
}

/// Keys that this instance dispatched recently; the oldest is evicted first.
#[derive(Default)]
struct RecentKeys {
    keys: BTreeSet<RowKey>,
    order: VecDeque<RowKey>,
}

impl RecentKeys {
    fn insert(&mut self, key: &RowKey) {
        if !self.keys.insert(key.clone()) {
            return;
        }
        self.order.push_back(key.clone());
        if self.order.len() <= MAX_RECENT_KEYS {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.keys.remove(&oldest);
        }
    }

    fn remove(&mut self, key: &RowKey) {
        self.keys.remove(key);
        self.order.retain(|known| known != key);
    }

    fn contains(&self, key: &RowKey) -> bool {
        self.keys.contains(key)
    }
}

/// Returns the condition for a pending write on top of `current`, or `None` if it is obsolete.
fn next_condition(own: &ClaimRow, current: Option<&Row>) -> Option<Condition> {
    let current = current?;
    let claim = ClaimRow::from_row(current)?;
    let is_own = claim.attempt == own.attempt;
    let is_open = match claim.state {
        ClaimState::Claimed => is_own,
        // The write of the claim, conditional on this row's version, may still arrive late. Writing
        // a new version makes its condition fail.
        ClaimState::Abandoned => own.state == ClaimState::Abandoned && !is_own,
        ClaimState::Finished(_) | ClaimState::Expired => false,
    };
    is_open.then_some(Condition::Version(current.version))
}

/// Returns the unique prefix of the attempt ids and write tokens of this process.
fn attempt_prefix(settings: &ClaimSettings) -> String {
    format!("{}/{}/{:016x}", settings.instance, settings.incarnation, settings.nonce)
}

/// Maximum number of attempts of a write if other writers keep changing the row.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Maximum number of recently dispatched keys that are remembered.
const MAX_RECENT_KEYS: usize = 4096;
