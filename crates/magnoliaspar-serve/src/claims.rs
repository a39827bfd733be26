//! Keeping the claims at the platform complete and bounded.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use log::warn;

use crate::instance::Instance;

/// How often the outcomes of claims that could not be written are written again.
const SETTLE_PERIOD: Duration = Duration::from_secs(1);

/// How often a page of claims is looked through for old ones.
const EXPIRY_PERIOD: Duration = Duration::from_secs(60);

/// How many claims one page has.
const PAGE_ROWS: usize = 200;

/// Writes the outcomes of claims again that could not be written before.
pub async fn settle_claims(instance: Rc<Instance>) {
    loop {
        tokio::time::sleep(SETTLE_PERIOD).await;
        instance.claims.retry_pending().await;
    }
}

/// Takes the outcome from old claims, page by page, whenever it is this instance's turn.
pub async fn expire_claims(instance: Rc<Instance>) {
    let mut after = None;
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let wall = instance.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let turn = wall.as_secs() / EXPIRY_PERIOD.as_secs();
        if !instance.cluster.membership.borrow().is_list_reader(turn) {
            continue;
        }
        match instance.claims.expire(after.as_ref(), PAGE_ROWS).await {
            Ok(next) => after = next,
            Err(error) => warn!("old claims cannot be looked through: {error}"),
        }
    }
}
