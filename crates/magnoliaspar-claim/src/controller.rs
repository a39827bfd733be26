use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use magnoliaspar_core::{Clock, Incarnation, InstanceName};
use magnoliaspar_store::{
    Backoff, Condition, PlatformError, Row, RowKey, RowVersion, TableService, Write,
};

use crate::lane::{Lane, WriteResult};
use crate::pending::{PendingWrite, PendingWrites};
use crate::row::{ClaimRow, ClaimState, hex, row_key};
use crate::{ClaimOwner, ClaimRequest, ClaimTicket, ClaimVerdict, NotRunReason, StoredOutcome};

/// Decides which attempts of non-idempotent requests are dispatched.
///
/// A clone is a handle to the same controller. The controller writes through tasks of the current
/// thread, so it must be used within a local task set.
#[derive(Clone)]
pub struct ClaimController(Rc<Inner>);

struct Inner {
    settings: ClaimSettings,
    lane: Rc<Lane>,
    attempts: Cell<u64>,
    open: RefCell<BTreeSet<Box<str>>>,
    dispatched: RefCell<RecentKeys>,
    pending: RefCell<PendingWrites>,
}

/// What a controller works with.
#[derive(Clone)]
pub struct ClaimSettings {
    /// The table that holds the claims.
    pub table: Rc<dyn TableService>,
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// How long the controller tries to settle a write.
    pub backoff: Backoff,
    /// The name of this instance.
    pub instance: InstanceName,
    /// The life of this instance.
    pub incarnation: Incarnation,
    /// A random number, which keeps attempts apart should a life's number ever be used twice.
    pub nonce: u64,
    /// How long the first write of a transaction waits for others.
    pub linger: Duration,
    /// How long outcomes are kept.
    pub retention: Duration,
}

impl ClaimSettings {
    /// How long the first write of a transaction waits for others, by default.
    pub const LINGER: Duration = Duration::from_millis(2);

    /// How long outcomes are kept, by default.
    pub const RETENTION: Duration = Duration::from_hours(7 * 24);
}

impl ClaimController {
    /// Creates a controller that has claimed nothing.
    pub fn new(settings: ClaimSettings) -> Self {
        let name = attempt_prefix(&settings).into();
        let lane =
            Lane::new(settings.table.clone(), settings.backoff.clone(), settings.linger, name);
        Self(Rc::new(Inner {
            settings,
            lane: Rc::new(lane),
            attempts: Cell::new(0),
            open: RefCell::default(),
            dispatched: RefCell::default(),
            pending: RefCell::default(),
        }))
    }

    /// Claims the key of a request, and says what to do with the request.
    ///
    /// If the returned future is dropped, the claim is released later.
    pub async fn claim(&self, request: &ClaimRequest) -> ClaimVerdict {
        let key = row_key(&request.workspace, &request.key);
        let row = self.claimed_row(request);
        let mut guard = ReleaseGuard { controller: self, key: &key, row: &row, is_armed: true };
        let mut condition = Condition::Absent;
        for _ in 0..MAX_ROUNDS {
            match self.write(&key, &row, condition).await {
                WriteResult::Applied(version) => {
                    guard.is_armed = false;
                    return self.dispatch(&key, version, row.clone());
                }
                WriteResult::Conflict(None) => condition = Condition::Absent,
                WriteResult::Conflict(Some(current)) => match self.judge(&row, &current) {
                    Judgement::Free => condition = Condition::Version(current.version),
                    Judgement::Verdict(verdict) => {
                        guard.is_armed = false;
                        return verdict;
                    }
                },
                WriteResult::NotApplied(error) => {
                    guard.is_armed = false;
                    return self.refuse(&key, error);
                }
                // The guard releases the claim, should it have been written.
                WriteResult::Unknown => return self.not_run(&key, NotRunReason::Unsettled, None),
            }
        }
        self.not_run(&key, NotRunReason::Contended, None)
    }

    /// Keeps the outcome of a dispatched attempt for resends.
    ///
    /// Returns whether it is kept by now; if not, [`retry_pending`](Self::retry_pending) goes on.
    pub async fn complete(&self, ticket: ClaimTicket, outcome: StoredOutcome) -> bool {
        let row = ticket.row.with_state(ClaimState::Finished(outcome));
        self.settle_ticket(PendingWrite::after(ticket.key, ticket.version, row)).await
    }

    /// Frees the key of an attempt that was certainly not dispatched.
    ///
    /// Returns whether it is free by now; if not, [`retry_pending`](Self::retry_pending) goes on.
    pub async fn abandon(&self, ticket: ClaimTicket) -> bool {
        self.0.dispatched.borrow_mut().remove(&ticket.key);
        self.0.pending.borrow_mut().mark_undispatched(&ticket.row.attempt);
        let row = ticket.row.with_state(ClaimState::Abandoned);
        self.settle_ticket(PendingWrite::after(ticket.key, ticket.version, row)).await
    }

    /// Ends a dispatched attempt whose outcome will never be known; its key stays claimed.
    pub fn lose(&self, ticket: ClaimTicket) {
        self.0.open.borrow_mut().remove(&ticket.row.attempt);
    }

    /// Tries again to write outcomes and releases that the platform has not taken yet.
    ///
    /// It is meant to be called every second or so; it returns how many writes are left.
    pub async fn retry_pending(&self) -> usize {
        let writes = self.0.pending.borrow().to_vec();
        let mut settles = Vec::with_capacity(writes.len());
        for write in writes {
            settles.push(self.settle(write));
        }
        futures_util::future::join_all(settles).await;
        self.pending_writes()
    }

    /// Returns how many writes wait for the platform.
    pub fn pending_writes(&self) -> usize {
        self.0.pending.borrow().len()
    }

    pub(crate) fn settings(&self) -> &ClaimSettings {
        &self.0.settings
    }

    pub(crate) fn wall_ms(&self) -> u64 {
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
            fingerprint: hex(request.fingerprint),
            route: request.route.clone(),
            owner: ClaimOwner {
                instance: settings.instance.clone(),
                incarnation: settings.incarnation,
            },
            began_ms: self.wall_ms(),
        }
    }

    async fn write(&self, key: &RowKey, row: &ClaimRow, condition: Condition) -> WriteResult {
        let value = Some(row.to_value());
        self.0.lane.submit(Write { key: key.clone(), condition, value }).await
    }

    fn dispatch(&self, key: &RowKey, version: RowVersion, row: ClaimRow) -> ClaimVerdict {
        self.0.open.borrow_mut().insert(row.attempt.clone());
        self.0.dispatched.borrow_mut().insert(key);
        ClaimVerdict::Dispatch(ClaimTicket { key: key.clone(), version, row })
    }

    /// Judges the row that stands in the way of a claim.
    fn judge(&self, own: &ClaimRow, current: &Row) -> Judgement {
        let Some(claim) = ClaimRow::from_row(current) else {
            let verdict = ClaimVerdict::MayHaveRun { owner: None, is_in_progress: false };
            return Judgement::Verdict(verdict);
        };
        if claim.state == ClaimState::Abandoned {
            return Judgement::Free;
        }
        if self.0.pending.borrow().is_undispatched(&claim.attempt) {
            return Judgement::Free;
        }
        if claim.fingerprint != own.fingerprint {
            return Judgement::Verdict(ClaimVerdict::Mismatch);
        }
        if let ClaimState::Finished(outcome) = claim.state {
            return Judgement::Verdict(ClaimVerdict::Resend(outcome));
        }
        let is_in_progress = self.0.open.borrow().contains(&claim.attempt);
        let owner = Some(claim.owner);
        Judgement::Verdict(ClaimVerdict::MayHaveRun { owner, is_in_progress })
    }

    fn refuse(&self, key: &RowKey, error: PlatformError) -> ClaimVerdict {
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

    /// Refuses an attempt, and tells if an earlier one was dispatched from here.
    fn not_run(
        &self,
        key: &RowKey,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) -> ClaimVerdict {
        if self.0.dispatched.borrow().contains(key) {
            return ClaimVerdict::MayHaveRun { owner: None, is_in_progress: false };
        }
        ClaimVerdict::NotRun { reason, retry_after }
    }

    /// Settles the write that ends a ticket, or leaves it pending.
    async fn settle_ticket(&self, write: PendingWrite) -> bool {
        let attempt = write.row.attempt.clone();
        self.0.open.borrow_mut().remove(&attempt);
        if !self.0.pending.borrow_mut().insert(write.clone()) {
            log::warn!("too many claims wait for the platform; {attempt} may have run for good");
        }
        self.settle(write).await
    }

    /// Tries once to settle a pending write; returns whether it is settled.
    async fn settle(&self, mut write: PendingWrite) -> bool {
        for _ in 0..MAX_ROUNDS {
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

    /// Marks an attempt as not dispatched, and has its claim released, should it be written.
    fn release_later(&self, key: &RowKey, row: &ClaimRow) {
        let mut pending = self.0.pending.borrow_mut();
        pending.mark_undispatched(&row.attempt);
        let row = row.with_state(ClaimState::Abandoned);
        let condition = Condition::Absent;
        if !pending.insert(PendingWrite { key: key.clone(), row, condition }) {
            log::warn!("too many claims wait for the platform; {} stays claimed", key.0);
        }
    }
}

/// What the row in the way of a claim means.
enum Judgement {
    /// No attempt was dispatched under it, so it may be replaced.
    Free,
    /// It decides what to do.
    Verdict(ClaimVerdict),
}

/// Releases a claim whose future ends without a verdict that settles it.
struct ReleaseGuard<'a> {
    controller: &'a ClaimController,
    key: &'a RowKey,
    row: &'a ClaimRow,
    is_armed: bool,
}

impl Drop for ReleaseGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.controller.release_later(self.key, self.row);
        }
    }
}

/// Keys that were dispatched lately, the oldest of which is forgotten first.
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
        if self.order.len() <= MAX_RECENT {
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

/// Returns the condition under which a pending write still has to be made, if it has to be.
fn next_condition(own: &ClaimRow, current: Option<&Row>) -> Option<Condition> {
    let current = current?;
    let claim = ClaimRow::from_row(current)?;
    let is_own = claim.attempt == own.attempt;
    let is_open = match claim.state {
        ClaimState::Claimed => is_own,
        // A claim on top of another's abandoned row may still arrive late. A new version of the
        // row stands in its way.
        ClaimState::Abandoned => own.state == ClaimState::Abandoned && !is_own,
        ClaimState::Finished(_) | ClaimState::Expired => false,
    };
    is_open.then_some(Condition::Version(current.version))
}

fn attempt_prefix(settings: &ClaimSettings) -> String {
    format!("{}/{}/{:016x}", settings.instance, settings.incarnation, settings.nonce)
}

/// How often a write is made on top of a row that has changed.
const MAX_ROUNDS: usize = 4;

/// How many dispatched keys are remembered.
const MAX_RECENT: usize = 4096;
