//! Background tasks that write pending claim outcomes and expire old claims at the platform.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use log::warn;

use crate::instance::Instance;

/// Interval between two retries of failed writes of claim outcomes.
const RETRY_PERIOD: Duration = Duration::from_secs(1);

/// Duration of a turn, in which only the elected instances of a zone read a page of claims.
const EXPIRY_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of claims read in one turn.
const PAGE_SIZE: usize = 200;

/// Retries failed writes of claim outcomes, forever.
pub async fn retry_claim_writes(instance: Rc<Instance>) {
    loop {
        tokio::time::sleep(RETRY_PERIOD).await;
        instance.claims.retry_pending().await;
    }
}

/// Expires old claims, which removes their outcomes, forever.
///
/// Each time this instance is elected, it reads one page.
pub async fn expire_claims(instance: Rc<Instance>) {
    let mut after = None;
    loop {
        tokio::time::sleep(EXPIRY_PERIOD).await;
        let wall = instance.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let turn = wall.as_secs() / EXPIRY_PERIOD.as_secs();
        if !instance.cluster.membership.borrow().is_elected_reader(turn) {
            continue;
        }
        match instance.claims.expire(after.as_ref(), PAGE_SIZE).await {
            Ok(next) => after = next,
            Err(error) => warn!("failed to expire old claims: {error}"),
        }
    }
}
