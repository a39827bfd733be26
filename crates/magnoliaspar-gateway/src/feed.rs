//! Follows the configuration and the list of servers at their source.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use displaydoc::Display;
use magnoliaspar_retry::Backoff;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The backoff between two calls to a source that does not answer.
const BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(100), longest: Duration::from_secs(1) };

/// Rows of one kind at their source, and what changes in them.
#[async_trait(?Send)]
pub trait Feed<T> {
    /// Reads all rows.
    async fn read(&self) -> Result<Batch<T>, FeedError>;

    /// Waits for changes after a revision; an empty batch says that there were none for a while.
    async fn changes(&self, after: u64) -> Result<Batch<T>, FeedError>;
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
    fn take(&self, batch: Batch<T>, is_complete: bool);

    /// Takes in that the source does not answer.
    fn lost(&self, error: &FeedError);

    /// Takes in that the source answers again.
    fn regained(&self);
}

/// Follows a feed for as long as the process runs.
pub async fn follow<T>(name: &'static str, feed: Rc<dyn Feed<T>>, follower: Rc<dyn Follower<T>>) {
    let mut rng = StdRng::from_os_rng();
    let mut revision = None;
    let mut failures = 0_u32;
    loop {
        let read = match revision {
            None => feed.read().await,
            Some(after) => feed.changes(after).await,
        };
        match read {
            Ok(batch) => {
                if failures > 0 {
                    log::info!(feed = name, failures, revision = batch.revision; "feed_regained");
                    follower.regained();
                }
                failures = 0;
                let is_complete = revision.is_none();
                revision = Some(batch.revision);
                follower.take(batch, is_complete);
            }
            Err(FeedError::Compacted) => {
                log::info!(feed = name, revision:?; "feed_compacted");
                revision = None;
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
