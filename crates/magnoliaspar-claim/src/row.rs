use magnoliaspar_core::{IdempotencyKey, RouteName, WorkspaceName};
use magnoliaspar_store::{Row, RowKey};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{ClaimOwner, StoredBody, StoredOutcome};

/// What stands before the workspace in the key of a claim's row.
pub(crate) const CLAIM_PREFIX: &str = "claim/";

/// The row of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ClaimRow {
    /// How far the claim has come.
    pub state: ClaimState,
    /// Identifies the attempt that wrote the row, over all instances and times.
    pub attempt: Box<str>,
    /// The fingerprint of the request in hexadecimal, since not all JSON readers keep 64 bits.
    pub fingerprint: Box<str>,
    /// The route of the request.
    pub route: RouteName,
    /// Who wrote the row.
    pub owner: ClaimOwner,
    /// When the attempt began, in milliseconds of wall-clock time since 1970.
    pub began_ms: u64,
}

/// How far a claim has come.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// The attempt may be dispatched by the instance that wrote it, so it may have run.
    Claimed,
    /// The attempt ran and has an outcome.
    Finished(StoredOutcome),
    /// The attempt was certainly not dispatched, so the key is free.
    Abandoned,
    /// The claim is old; whether it ran is no longer told.
    Expired,
}

impl ClaimRow {
    /// Reads a row; none if another program wrote it.
    pub(crate) fn from_row(row: &Row) -> Option<Self> {
        serde_json::from_value(row.value.clone()).ok()
    }

    pub(crate) fn to_value(&self) -> Value {
        serde_json::to_value(self).expect("a claim has only text keys")
    }

    /// Returns the size of the kept body.
    pub(crate) fn body_bytes(&self) -> usize {
        let ClaimState::Finished(outcome) = &self.state else { return 0 };
        outcome.body.as_bytes().map_or(0, <[u8]>::len)
    }

    /// Keeps the outcome without its body.
    pub(crate) fn omit_body(&mut self) {
        let bytes = self.body_bytes() as u64;
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
    // Both names may contain slashes, and neither may contain a percent sign.
    let workspace = workspace.as_str().replace('/', "%2F");
    RowKey(format!("{CLAIM_PREFIX}{workspace}/{key}").into())
}

/// Returns a fingerprint as the row holds it.
pub(crate) fn hex(fingerprint: u64) -> Box<str> {
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
    }
}
