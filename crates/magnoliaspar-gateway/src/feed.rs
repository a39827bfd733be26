//! Follows the feeds of the configuration and of the list of servers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use displaydoc::Display;
use magnoliaspar_retry::Backoff;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;

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

    /// Waits up to `wait` for changes after a revision; an empty batch means that there were none.
    async fn changes(&self, after: u64, wait: Duration) -> Result<Batch<T>, FeedError>;
}

/// Rows that were read together.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch<T> {
    /// The revision that the reader has reached with the batch.
    pub revision: u64,
    /// The rows by key; `None` for a row that was removed or is not usable.
    pub rows: Vec<(Box<str>, Option<T>)>,
}

/// Reason why there is no batch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum FeedError {
    /// the changes since the last batch are no longer known
    Compacted,
    /// no complete answer came: {0}
    Incomplete(Box<str>),
    /// {0}
    Unavailable(Box<str>),
}

impl std::error::Error for FeedError {}

/// Receives the batches of a feed.
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
}

/// Position in a feed, on this instance and on its peers.
#[derive(Debug, Default)]
pub struct FeedPosition {
    applied: Cell<u64>,
    last_change: Cell<u64>,
    highest_remote: Cell<u64>,
    remote_advanced: Notify,
    /// Peers that have applied changes which this instance lacks: the revision that they have
    /// reached, and the time since when they are ahead.
    peers_ahead: RefCell<BTreeMap<Box<str>, (u64, Instant)>>,
}

impl FeedPosition {
    /// Returns the revision that this instance has reached.
    pub fn applied(&self) -> u64 {
        self.applied.get()
    }

    /// Returns a revision that covers the last change applied here.
    pub fn last_change(&self) -> u64 {
        self.last_change.get()
    }

    /// Records that another instance has applied a change that `revision` covers.
    pub fn observe_remote(&self, revision: u64) {
        if revision > self.highest_remote.get() {
            self.highest_remote.set(revision);
            self.remote_advanced.notify_waiters();
        }
    }

    /// Records the revision that a peer has reached.
    pub fn observe_peer(&self, instance: &str, revision: u64, now: Instant) {
        self.observe_remote(revision);
        let mut peers_ahead = self.peers_ahead.borrow_mut();
        if revision > self.applied.get() {
            peers_ahead.entry(instance.into()).or_insert((revision, now)).0 = revision;
        } else {
            peers_ahead.remove(instance);
        }
    }

    /// Returns the number of peers that have been ahead for longer than a change takes to arrive
    /// here.
    pub fn peers_ahead(&self, now: Instant) -> usize {
        let mut peers_ahead = self.peers_ahead.borrow_mut();
        peers_ahead.retain(|_, (revision, _)| *revision > self.applied.get());
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= BEHIND_THRESHOLD;
        peers_ahead.values().filter(|(_, since)| is_overdue(*since)).count()
    }

    /// Forgets a peer that is gone.
    pub fn forget_peer(&self, instance: &str) {
        self.peers_ahead.borrow_mut().remove(instance);
    }

    /// Moves the position to a later revision.
    pub(crate) fn advance(&self, revision: u64, has_changes: bool) {
        self.applied.set(revision);
        if has_changes {
            self.last_change.set(revision);
        }
    }

    fn is_behind(&self) -> bool {
        self.highest_remote.get() > self.applied.get()
    }

    /// Waits until a change that a peer has applied is overdue here.
    async fn wait_until_behind(&self) {
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

/// Follows a feed for as long as the process runs.
pub async fn follow<T>(name: &'static str, feed: Rc<dyn Feed<T>>, follower: Rc<dyn Follower<T>>) {
    let mut rng = StdRng::from_os_rng();
    let position = follower.position();
    let mut is_complete = true;
    let mut failures = 0_u32;
    let mut compactions = 0_u32;
    loop {
        // A copy from a peer may have moved the position since the last call.
        let after = position.applied();
        let read = match is_complete {
            true => feed.read().await,
            false => tokio::select! {
                read = feed.changes(after, follower.max_wait()) => read,
                () = position.wait_until_behind() => {
                    log::info!(feed = name, revision = after; "feed_behind");
                    feed.changes(after, Duration::ZERO).await
                }
            },
        };
        match read {
            Ok(batch) => {
                if failures > 0 {
                    log::info!(feed = name, failures, revision = batch.revision; "feed_regained");
                    follower.recovered();
                }
                failures = 0;
                let was_complete = std::mem::replace(&mut is_complete, false);
                if !was_complete {
                    compactions = 0;
                }
                if batch.revision < position.applied() {
                    let (revision, applied) = (batch.revision, position.applied());
                    log::info!(feed = name, revision, applied; "feed_stale");
                    continue;
                }
                let has_changes = !batch.rows.is_empty();
                position.advance(batch.revision, has_changes);
                follower.apply(batch, was_complete);
                if has_changes && !was_complete {
                    // Changes often come in series; one call returns those that follow soon.
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
            Err(FeedError::Compacted) => {
                log::info!(feed = name, revision = after, compactions; "feed_compacted");
                is_complete = true;
                if compactions > 0 {
                    // The store returned rows that are older than its history. Without a pause,
                    // reads would follow each other in a busy loop.
                    tokio::time::sleep(BACKOFF.wait(compactions, &mut rng)).await;
                }
                compactions = compactions.saturating_add(1);
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(feed = name, revision = after, reason:% = error; "feed_lost");
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
                tokio::time::sleep(wait).await;
            }
        }
    }
}
