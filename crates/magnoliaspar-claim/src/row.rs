//! Table rows of claims.

use magnoliaspar_core::{IdempotencyKey, RouteName, WorkspaceName};
use magnoliaspar_store::{Row, RowKey};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{ClaimOwner, StoredBody, StoredOutcome};

/// Prefix of the keys of all claim rows.
pub(crate) const CLAIM_PREFIX: &str = "claim/";

/// The stored row of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ClaimRow {
    /// The state of the claim.
    pub state: ClaimState,
    /// Globally unique id of the attempt that wrote the row.
    pub attempt: Box<str>,
    /// The fingerprint in hexadecimal, because many JSON parsers cannot represent 64-bit integers.
    pub fingerprint: Box<str>,
    /// The route of the request.
    pub route: RouteName,
    /// The instance that wrote the row.
    pub owner: ClaimOwner,
    /// Start of the attempt as Unix time in milliseconds.
    pub began_ms: u64,
}

/// The state of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// The instance that wrote the row may dispatch the attempt, so it may have run.
    Claimed,
    /// The attempt ran and has an outcome.
    Finished(StoredOutcome),
    /// The attempt was certainly not dispatched, so the key may be claimed again.
    Abandoned,
    /// The claim is past its retention; the attempt may have run.
    Expired,
}

impl ClaimRow {
    /// Parses a row. Returns `None` if it is not the row of a claim.
    pub(crate) fn from_row(row: &Row) -> Option<Self> {
        serde_json::from_value(row.value.clone()).ok()
    }

    pub(crate) fn to_value(&self) -> Value {
        serde_json::to_value(self).expect("a claim has only text keys")
    }

    /// Returns the size of the stored body in bytes.
    pub(crate) fn body_len(&self) -> usize {
        let ClaimState::Finished(outcome) = &self.state else { return 0 };
        outcome.body.as_bytes().map_or(0, <[u8]>::len)
    }

    /// Removes the body from the outcome.
    pub(crate) fn omit_body(&mut self) {
        let bytes = self.body_len() as u64;
        let ClaimState::Finished(outcome) = &mut self.state else { return };
        outcome.body = StoredBody::Omitted { bytes };
    }

    /// Returns the same claim in another state.
    pub(crate) fn with_state(&self, state: ClaimState) -> Self {
        Self { state, ..self.clone() }
    }
}

/// Returns the key of a claim's row.
pub(crate) fn row_key(workspace: &WorkspaceName, key: &IdempotencyKey) -> RowKey {
    // Both names may contain slashes.
    let workspace = workspace.as_str().replace('%', "%25").replace('/', "%2F");
    RowKey(format!("{CLAIM_PREFIX}{workspace}/{key}").into())
}

/// Formats a fingerprint as it is stored.
pub(crate) fn fingerprint_hex(fingerprint: u64) -> Box<str> {
    format!("{fingerprint:016x}").into()
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::{IdempotencyKey, WorkspaceName};

    use super::row_key;

    #[test]
    fn keys_of_different_workspaces_differ() {
        let one = row_key(
            &WorkspaceName::try_from("a/b").unwrap(),
            &IdempotencyKey::try_from("c").unwrap(),
        );
        let other = row_key(
            &WorkspaceName::try_from("a").unwrap(),
            &IdempotencyKey::try_from("b/c").unwrap(),
        );
        assert_ne!(one, other);
        let slash = row_key(
            &WorkspaceName::try_from("a/b").unwrap(),
            &IdempotencyKey::try_from("c").unwrap(),
        );
        let escaped = row_key(
            &WorkspaceName::try_from("a%2Fb").unwrap(),
            &IdempotencyKey::try_from("c").unwrap(),
        );
        assert_ne!(slash, escaped);
    }
}
