use std::time::Duration;

use displaydoc::Display;
use magnoliaspar_core::{IdempotencyKey, Incarnation, InstanceName, RouteName, WorkspaceName};
use magnoliaspar_store::{RowKey, RowVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::StoredOutcome;
use crate::row::ClaimRow;

/// A non-idempotent request that asks to be dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The workspace of the caller, within which the key is unique.
    pub workspace: WorkspaceName,
    /// The key by which the caller marks resends.
    pub key: IdempotencyKey,
    /// What the request consists of, by [`fingerprint`].
    pub fingerprint: u64,
    /// The route of the request.
    pub route: RouteName,
}

/// Returns a number that differs for requests that differ.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// What to do with a request.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Dispatch the request, and then complete or abandon the ticket.
    Dispatch(ClaimTicket),
    /// Give the kept outcome of an earlier attempt.
    Resend(StoredOutcome),
    /// An earlier attempt may have run, so the request must not be dispatched.
    MayHaveRun {
        /// Who made the earlier attempt, as far as it is known.
        owner: Option<ClaimOwner>,
        /// Whether this instance is still working on the earlier attempt.
        is_in_progress: bool,
    },
    /// The key was used before for another request.
    Mismatch,
    /// This attempt is not dispatched and never will be.
    ///
    /// Whether attempts through other instances under the same key have run is not known then.
    NotRun {
        /// Why it is not dispatched.
        reason: NotRunReason,
        /// After how long a retry is worthwhile, if it is known.
        retry_after: Option<Duration>,
    },
}

/// Why an attempt is not dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum NotRunReason {
    /// the claim could not be written: {0}
    StoreUnavailable(Box<str>),
    /// the rate of claims is exhausted
    RateLimited,
    /// it is not known whether the claim was written
    Unsettled,
    /// too many attempts under the same key are made at once
    Contended,
}

/// Who made a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimOwner {
    /// The instance.
    pub instance: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
}

/// The right to dispatch one attempt once.
///
/// A ticket that is dropped leaves the request as one that may have run.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket must be completed or abandoned"]
pub struct ClaimTicket {
    pub(crate) key: RowKey,
    pub(crate) version: RowVersion,
    pub(crate) row: ClaimRow,
}

#[cfg(test)]
mod tests {
    use super::fingerprint;

    #[test]
    fn a_fingerprint_keeps_the_parts_apart() {
        assert_eq!(fingerprint("POST", "/a", b"x"), fingerprint("POST", "/a", b"x"));
        assert_ne!(fingerprint("POST", "/a", b"x"), fingerprint("POST", "/ax", b""));
        assert_ne!(fingerprint("POST", "/a", b"x"), fingerprint("PUT", "/a", b"x"));
    }
}
