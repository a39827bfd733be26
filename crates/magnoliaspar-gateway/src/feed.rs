//! Follows the feeds of the configuration and of the list of servers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use displaydoc::Display;
use magnoliaspar_core::{Epoch, Position};
use magnoliaspar_retry::Backoff;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;

use crate::guarantees::{Guarantee, is_disabled};

/// Backoff between calls to a store that does not answer.
const BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(100), longest: Duration::from_secs(1) };

/// Delay after a batch, so that the next call returns the changes that follow it together.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// The rows of one kind in the store, and their changes.
#[async_trait(?Send)]
pub trait Feed<T> {
    /// Reads all rows.
    async fn read(&self) -> Result<Batch<T>, FeedError>;

    /// Waits up to `wait` for changes after a position; an empty batch means that there were none.
    ///
    /// The batch may be of another epoch than the position.
    async fn changes(&self, after: Position, wait: Duration) -> Result<Batch<T>, FeedError>;

    /// Returns the highest epoch that a response of the store has named, whatever it responded to.
    fn epoch(&self) -> Epoch;

    /// Waits until a response of the store has named a later epoch.
    async fn later_epoch(&self, epoch: Epoch);
}

/// Rows that were read together.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch<T> {
    /// The position that the reader has reached with the batch, in the epoch of the response that it came in.
    pub position: Position,
    /// The rows by key; `None` for a row that was removed or is not usable.
    pub rows: Vec<(Box<str>, Option<T>)>,
    /// The keys of the rows that exist and are not usable.
    pub unreadable: BTreeSet<Box<str>>,
}

/// Reason why there is no batch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum FeedError {
    /// the changes since the last batch are no longer known
    Compacted,
    /// the store was restored from a copy
    Restored,
    /// no complete answer came: {0}
    Incomplete(Box<str>),
    /// {0}
    Unavailable(Box<str>),
}

impl std::error::Error for FeedError {}

/// Receives the batches of a feed.
#[async_trait(?Send)]
pub trait Follower<T> {
    /// Applies a batch. With `is_complete`, rows that are not in the batch do not exist.
    fn apply(&self, batch: Batch<T>, is_complete: bool);

    /// Called after each failed call to the store.
    fn call_failed(&self, error: &FeedError);

    /// Called when the store answers again.
    fn recovered(&self);

    /// Returns the maximum wait of the next call for changes.
    fn max_wait(&self) -> Duration;

    /// Returns the position in the feed.
    fn position(&self) -> &FeedPosition;

    /// Waits until the store has to be called for changes, rather than other instances.
    async fn wait_to_follow(&self);

    /// Called after each answer of the store.
    fn answered(&self);

    /// Called before each call; returns the time, which [`confirmed`](Self::confirmed) gets.
    fn called(&self) -> Duration;

    /// Waits until the store has to be called at once, whatever call is under way.
    async fn wait_until_unproven(&self);

    /// Called when what an answer holds has been applied: all that was written before the call was sent.
    fn confirmed(&self, called: Duration);

    /// Passes changes on to other instances; `since` covers all changes before them.
    fn spread(&self, batch: &Batch<T>, since: Position);
}

/// Position in a feed, on this instance and on its peers.
#[derive(Debug, Default)]
pub struct FeedPosition {
    applied: Cell<Position>,
    last_change: Cell<Position>,
    highest_remote: Cell<Position>,
    remote_advanced: Notify,
    /// Peers that have applied changes which this instance lacks: the position that they have
    /// reached, and the time since when they are ahead.
    peers_ahead: RefCell<BTreeMap<Box<str>, (Position, Instant)>>,
}

impl FeedPosition {
    /// Returns the position that this instance has reached.
    pub fn applied(&self) -> Position {
        self.applied.get()
    }

    /// Returns a position that covers the last change applied here.
    pub fn last_change(&self) -> Position {
        self.last_change.get()
    }

    /// Records that another instance has applied a change that `position` covers.
    pub fn observe_remote(&self, position: Position) {
        if position > self.highest_remote.get() {
            self.highest_remote.set(position);
            self.remote_advanced.notify_waiters();
        }
    }

    /// Records the position that a peer has reached.
    pub fn observe_peer(&self, instance: &str, position: Position, now: Instant) {
        self.observe_remote(position);
        let mut peers_ahead = self.peers_ahead.borrow_mut();
        if position > self.applied.get() {
            peers_ahead.entry(instance.into()).or_insert((position, now)).0 = position;
        } else {
            peers_ahead.remove(instance);
        }
    }

    /// Returns the number of peers that have been ahead for longer than a change takes to arrive
    /// here.
    pub fn peers_ahead(&self, now: Instant) -> usize {
        let mut peers_ahead = self.peers_ahead.borrow_mut();
        peers_ahead.retain(|_, (position, _)| *position > self.applied.get());
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= BEHIND_THRESHOLD;
        peers_ahead.values().filter(|(_, since)| is_overdue(*since)).count()
    }

    /// Forgets a peer that is gone.
    pub fn forget_peer(&self, instance: &str) {
        self.peers_ahead.borrow_mut().remove(instance);
    }

    /// Moves to a later position. A new epoch counts as a change even without rows, so that peers learn of it.
    pub(crate) fn advance(&self, position: Position, has_changes: bool) {
        let applied = self.applied.replace(position);
        if has_changes || position.epoch > applied.epoch {
            self.last_change.set(position);
        }
    }

    fn is_behind(&self) -> bool {
        self.highest_remote.get() > self.applied.get()
    }

    /// Waits until a change that a peer has applied is overdue here.
    pub(crate) async fn wait_until_behind(&self) {
        loop {
            let advanced = self.remote_advanced.notified();
            if !self.is_behind() {
                advanced.await;
            }
            tokio::time::sleep(REMOTE_CHANGE_GRACE).await;
            if self.is_behind() {
                return;
            }
        }
    }
}

/// Time that a change applied by a peer may take to arrive here before the store is asked for it.
const REMOTE_CHANGE_GRACE: Duration = Duration::from_millis(250);

/// Time that a change applied by peers may be missing here before this instance counts as behind;
/// enough for several attempts to read it.
const BEHIND_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Use of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The batch is applied.
    Apply,
    /// The batch is older than what this instance has.
    Drop,
    /// The batch holds changes since a position of another epoch: what the store lost or got in between is not
    /// among them.
    ReadAll,
}

/// Judges a batch that reaches `position`, by what this instance has `applied`. `since` is the position after
/// which changes were requested; `None` if all rows were.
fn judge(position: Position, since: Option<Position>, applied: Position) -> Verdict {
    let is_former = match is_disabled(Guarantee::StoreEpoch) {
        true => position.revision < applied.revision,
        false => position < applied,
    };
    if is_former {
        return Verdict::Drop;
    }
    match since {
        Some(since) if since.epoch != position.epoch => Verdict::ReadAll,
        _ => Verdict::Apply,
    }
}

/// Follows a feed for as long as the process runs.
pub async fn follow<T>(name: &'static str, feed: Rc<dyn Feed<T>>, follower: Rc<dyn Follower<T>>) {
    let mut rng = StdRng::from_os_rng();
    let position = follower.position();
    let mut is_complete = true;
    let mut failures = 0_u32;
    let mut repeated_reads = 0_u32;
    loop {
        if !is_complete {
            tokio::select! {
                () = follower.wait_to_follow() => {}
                () = feed.later_epoch(position.applied().epoch) => {}
            }
        }
        // A copy from a peer may have moved the position since the last call.
        let after = position.applied();
        let mut called = follower.called();
        let read = match is_complete {
            true => feed.read().await,
            false => tokio::select! {
                read = feed.changes(after, follower.max_wait()) => read,
                () = feed.later_epoch(after.epoch) => Err(FeedError::Restored),
                () = position.wait_until_behind() => {
                    log::info!(feed = name, epoch = after.epoch.0, revision = after.revision; "feed_behind");
                    feed.changes(after, Duration::ZERO).await
                }
                () = follower.wait_until_unproven() => {
                    called = follower.called();
                    feed.changes(after, Duration::ZERO).await
                }
            },
        };
        let since = (!is_complete).then_some(after);
        match read.and_then(|batch| judged(name, batch, since, position.applied())) {
            Ok(batch) => {
                if failures > 0 {
                    let revision = position.applied().revision;
                    log::info!(feed = name, failures, revision; "feed_regained");
                    follower.recovered();
                }
                failures = 0;
                follower.answered();
                let was_complete = std::mem::replace(&mut is_complete, false);
                if !was_complete {
                    repeated_reads = 0;
                }
                let Some(batch) = batch else { continue };
                let has_changes = !batch.rows.is_empty();
                let since = position.last_change();
                position.advance(batch.position, has_changes);
                if has_changes && !was_complete {
                    follower.spread(&batch, since);
                }
                follower.apply(batch, was_complete);
                follower.confirmed(called);
                if has_changes && !was_complete {
                    // Changes often come in series; one call returns those that follow soon.
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
            Err(error @ (FeedError::Compacted | FeedError::Restored)) => {
                let Position { epoch, revision } = after;
                let current = feed.epoch();
                log::info!(
                    feed = name, epoch = epoch.0, revision, current = current.0, repeated_reads,
                    reason:% = error;
                    "feed_compacted"
                );
                is_complete = true;
                if repeated_reads > 0 {
                    // The store returned rows that are older than its history or its epoch. Without a
                    // pause, reads would follow each other in a busy loop.
                    let wait = BACKOFF.wait(repeated_reads, &mut rng);
                    wait_for_retry(&*feed, current, wait).await;
                }
                repeated_reads = repeated_reads.saturating_add(1);
            }
            Err(error) => {
                if failures == 0 {
                    let Position { epoch, revision } = after;
                    log::warn!(feed = name, epoch = epoch.0, revision, reason:% = error; "feed_lost");
                }
                follower.call_failed(&error);
                failures = failures.saturating_add(1);
                // The changes may be too long to arrive in time however often they are requested;
                // the rows are as long as they are, whatever was missed.
                let is_incomplete = matches!(error, FeedError::Incomplete(_));
                if is_incomplete && !std::mem::replace(&mut is_complete, true) {
                    continue;
                }
                let wait = BACKOFF.wait(failures, &mut rng);
                wait_for_retry(&*feed, feed.epoch(), wait).await;
            }
        }
    }
}

/// Returns a batch that is to be applied, or `None` if it is dropped.
fn judged<T>(
    name: &'static str,
    batch: Batch<T>,
    since: Option<Position>,
    applied: Position,
) -> Result<Option<Batch<T>>, FeedError> {
    match judge(batch.position, since, applied) {
        Verdict::Apply => Ok(Some(batch)),
        Verdict::ReadAll => Err(FeedError::Restored),
        Verdict::Drop => {
            let Position { epoch, revision } = batch.position;
            let (applied_epoch, applied) = (applied.epoch.0, applied.revision);
            log::info!(feed = name, epoch = epoch.0, revision, applied_epoch, applied; "feed_stale");
            Ok(None)
        }
    }
}

/// Waits before a call is repeated. The wait ends early if a response names a later epoch than `epoch`, since
/// the store is back then.
async fn wait_for_retry<T>(feed: &dyn Feed<T>, epoch: Epoch, wait: Duration) {
    tokio::select! {
        () = tokio::time::sleep(wait) => {}
        () = feed.later_epoch(epoch) => {}
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::{Epoch, Position};

    use super::{FeedPosition, Verdict, judge};

    fn at(epoch: u64, revision: u64) -> Position {
        Position { epoch: Epoch(epoch), revision }
    }

    #[test]
    fn rows_of_a_later_epoch_are_applied_whatever_their_revision() {
        assert_eq!(judge(at(2, 40), None, at(1, 90)), Verdict::Apply);
        assert_eq!(judge(at(3, 40), None, at(1, 40)), Verdict::Apply);
        assert_eq!(judge(at(2, 95), None, at(2, 40)), Verdict::Apply);
        assert_eq!(judge(at(2, 39), None, at(2, 40)), Verdict::Drop);
    }

    #[test]
    fn a_response_of_the_former_epoch_that_arrives_late_is_dropped() {
        assert_eq!(judge(at(1, 95), None, at(2, 40)), Verdict::Drop);
        assert_eq!(judge(at(1, 95), Some(at(1, 90)), at(2, 40)), Verdict::Drop);
    }

    #[test]
    fn changes_since_a_position_of_another_epoch_are_not_applied() {
        // The restored store may have reached the revision already, so that nothing looks stale.
        assert_eq!(judge(at(2, 95), Some(at(1, 90)), at(1, 90)), Verdict::ReadAll);
        assert_eq!(judge(at(2, 95), Some(at(1, 90)), at(2, 40)), Verdict::ReadAll);
        assert_eq!(judge(at(2, 95), Some(at(2, 90)), at(2, 90)), Verdict::Apply);
        assert_eq!(judge(at(0, 95), Some(at(0, 90)), at(0, 90)), Verdict::Apply);
    }

    #[test]
    fn a_peer_of_a_later_epoch_is_ahead_and_one_of_an_earlier_epoch_is_not() {
        let start = Instant::now();
        let later = start + Duration::from_secs(2);
        let position = FeedPosition::default();
        position.advance(at(1, 90), true);
        position.observe_peer("restored", at(2, 40), start);
        assert_eq!(position.peers_ahead(later), 1);
        assert!(position.is_behind());
        position.advance(at(2, 40), false);
        assert_eq!(position.last_change(), at(2, 40));
        position.observe_peer("former", at(1, 95), start);
        assert_eq!(position.peers_ahead(later), 0);
        assert!(!position.is_behind());
    }
}
