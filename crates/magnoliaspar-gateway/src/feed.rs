//! Follows the configuration and the list of servers at their source.

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

/// The backoff between two calls to a source that does not answer.
const BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(100), longest: Duration::from_secs(1) };

/// How long to wait after a change for those that follow it.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Rows of one kind at their source, and what changes in them.
#[async_trait(?Send)]
pub trait Feed<T> {
    /// Reads all rows.
    async fn read(&self) -> Result<Batch<T>, FeedError>;

    /// Waits for changes after a revision, for `wait` at most; an empty batch says that there were
    /// none.
    async fn changes(&self, after: u64, wait: Duration) -> Result<Batch<T>, FeedError>;
}

/// Rows that were read together.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch<T> {
    /// The revision of the source that the batch brings the reader to.
    pub revision: u64,
    /// The rows by key; none for a row that was removed or names nothing that can be used.
    pub rows: Vec<(Box<str>, Option<T>)>,
}

/// Why there is no batch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum FeedError {
    /// the changes since the last batch are no longer known
    Compacted,
    /// {0}
    Unavailable(Box<str>),
}

impl std::error::Error for FeedError {}

/// Takes in what a feed brings.
pub trait Follower<T> {
    /// Takes in a batch; `is_complete` says that rows that are not in it do not exist.
    fn apply(&self, batch: Batch<T>, is_complete: bool);

    /// Takes in that the source does not answer.
    fn lost(&self, error: &FeedError);

    /// Takes in that the source answers again.
    fn regained(&self);

    /// Returns how long the next call may wait for changes.
    fn max_wait(&self) -> Duration;

    /// Returns how far the feed was followed.
    fn position(&self) -> &FeedPosition;
}

/// How far a feed was followed, here and elsewhere.
#[derive(Debug, Default)]
pub struct FeedPosition {
    applied: Cell<u64>,
    changed: Cell<u64>,
    highest_remote: Cell<u64>,
    remote_advanced: Notify,
    /// Instances that had taken in changes that had not come here, up to which revision, and since
    /// when.
    peers_ahead: RefCell<BTreeMap<Box<str>, (u64, Instant)>>,
}

impl FeedPosition {
    /// Returns a revision by which the last change that was taken in had been made.
    pub fn last_change(&self) -> u64 {
        self.changed.get()
    }

    /// Takes in that another instance has taken in a change that had been made by `revision`.
    pub fn observe_remote(&self, revision: u64) {
        if revision > self.highest_remote.get() {
            self.highest_remote.set(revision);
            self.remote_advanced.notify_one();
        }
    }

    /// Takes in how far another instance has come.
    pub fn observe_peer(&self, instance: &str, revision: u64, now: Instant) {
        self.observe_remote(revision);
        let mut peers_ahead = self.peers_ahead.borrow_mut();
        if revision > self.applied.get() {
            peers_ahead.entry(instance.into()).or_insert((revision, now)).0 = revision;
        } else {
            peers_ahead.remove(instance);
        }
    }

    /// Returns how many instances have been ahead for longer than a change takes to come here.
    pub fn peers_ahead(&self, now: Instant) -> usize {
        let mut peers_ahead = self.peers_ahead.borrow_mut();
        peers_ahead.retain(|_, (revision, _)| *revision > self.applied.get());
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= BEHIND_THRESHOLD;
        peers_ahead.values().filter(|(_, since)| is_overdue(*since)).count()
    }

    /// Forgets an instance that is gone.
    pub fn forget_peer(&self, instance: &str) {
        self.peers_ahead.borrow_mut().remove(instance);
    }

    fn advance(&self, revision: u64, has_changes: bool) {
        self.applied.set(revision);
        if has_changes {
            self.changed.set(revision);
        }
    }

    fn is_behind(&self) -> bool {
        self.highest_remote.get() > self.applied.get()
    }

    /// Waits until another instance has had a change for a while that has not come here.
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

/// How long a change may take that another instance has, before the source is asked for it.
const REMOTE_CHANGE_GRACE: Duration = Duration::from_millis(250);

/// How long a change that others have may be missing here before this instance counts as behind:
/// some tries to read it again.
const BEHIND_THRESHOLD: Duration = Duration::from_millis(1_000);

/// Follows a feed for as long as the process runs.
pub async fn follow<T>(name: &'static str, feed: Rc<dyn Feed<T>>, follower: Rc<dyn Follower<T>>) {
    let mut rng = StdRng::from_os_rng();
    let mut revision = None;
    let mut failures = 0_u32;
    let mut compactions = 0_u32;
    loop {
        let read = match revision {
            None => feed.read().await,
            Some(after) => tokio::select! {
                read = feed.changes(after, follower.max_wait()) => read,
                () = follower.position().wait_until_behind() => {
                    log::info!(feed = name, revision = after; "feed_behind");
                    feed.changes(after, Duration::ZERO).await
                }
            },
        };
        match read {
            Ok(batch) => {
                if failures > 0 {
                    log::info!(feed = name, failures, revision = batch.revision; "feed_regained");
                    follower.regained();
                }
                failures = 0;
                let is_complete = revision.is_none();
                if !is_complete {
                    compactions = 0;
                }
                let has_changes = !batch.rows.is_empty();
                revision = Some(batch.revision);
                follower.position().advance(batch.revision, has_changes);
                follower.apply(batch, is_complete);
                if has_changes && !is_complete {
                    // Changes often come in series; one call brings those that follow soon.
                    tokio::time::sleep(BATCH_DELAY).await;
                }
            }
            Err(FeedError::Compacted) => {
                log::info!(feed = name, revision:?, compactions; "feed_compacted");
                revision = None;
                if compactions > 0 {
                    // A source that gives rows older than its history is not asked without a pause.
                    tokio::time::sleep(BACKOFF.wait(compactions, &mut rng)).await;
                }
                compactions = compactions.saturating_add(1);
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(feed = name, revision:?, reason:% = error; "feed_lost");
                }
                follower.lost(&error);
                failures = failures.saturating_add(1);
                let wait = BACKOFF.wait(failures, &mut rng);
                tokio::time::sleep(wait).await;
            }
        }
    }
}
