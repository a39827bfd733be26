//! Requests for claims and the decisions about them.

use std::time::Duration;

use displaydoc::Display;
use magnoliaspar_core::{IdempotencyKey, Incarnation, InstanceName, RouteName, WorkspaceName};
use magnoliaspar_store::{RowKey, RowVersion};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::StoredOutcome;
use crate::row::ClaimRow;

/// A non-idempotent request that is about to be dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The workspace of the caller, within which the key is unique.
    pub workspace: WorkspaceName,
    /// The idempotency key, which is the same for all resends of a request.
    pub key: IdempotencyKey,
    /// Hash of the request, as computed by [`fingerprint`].
    pub fingerprint: u64,
    /// The route of the request.
    pub route: RouteName,
}

/// Returns a hash of a request, which detects a different request with the same key.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// The decision about a request.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Dispatch the request, then complete or abandon the ticket.
    Dispatch(ClaimTicket),
    /// Answer with the stored outcome of an earlier attempt.
    Replay(StoredOutcome),
    /// An earlier attempt may have run, so the request must not be dispatched.
    MayHaveRun {
        /// The instance that made the earlier attempt, if it is known.
        owner: Option<ClaimOwner>,
        /// True if this instance is still working on the earlier attempt.
        is_in_progress: bool,
    },
    /// The key was used before for a different request.
    Mismatch,
    /// This attempt is not dispatched and never will be.
    ///
    /// It is not known whether attempts with the same key have run through other instances.
    NotRun {
        /// The reason.
        reason: NotRunReason,
        /// Recommended delay before a retry, if it is known.
        retry_after: Option<Duration>,
    },
}

/// The reason why an attempt is not dispatched.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum NotRunReason {
    /// the claim could not be written: {0}
    StoreUnavailable(Box<str>),
    /// the rate of claims is exhausted
    RateLimited,
    /// it is not known whether the claim was written
    Ambiguous,
    /// too many attempts under the same key are made at once
    Contended,
}

/// The instance that wrote a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimOwner {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
}

/// Permission to dispatch one attempt once.
///
/// If a ticket is dropped, the request counts as one that may have run.
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
    fn fingerprints_depend_on_the_boundaries_between_parts() {
        assert_eq!(fingerprint("POST", "/a", b"x"), fingerprint("POST", "/a", b"x"));
        assert_ne!(fingerprint("POST", "/a", b"x"), fingerprint("POST", "/ax", b""));
        assert_ne!(fingerprint("POST", "/a", b"x"), fingerprint("PUT", "/a", b"x"));
    }
}
