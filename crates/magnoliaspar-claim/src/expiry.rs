//! Expiry of old claims.

use std::time::Duration;

use magnoliaspar_store::{Condition, PlatformError, Row, RowKey, Write};

use crate::ClaimController;
use crate::row::{CLAIM_PREFIX, ClaimRow, ClaimState};

impl ClaimController {
    /// Expires claims older than the retention among the next `limit` rows after `after`.
    ///
    /// Returns the key after which to continue, or `None` at the end. An expired claim loses its
    /// outcome but keeps its row, so that its key can never be dispatched again. The row of an
    /// attempt that was not dispatched is not needed and is deleted.
    pub async fn expire(
        &self,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Option<RowKey>, PlatformError> {
        let rows = self.settings().table.scan(CLAIM_PREFIX, after, limit).await?;
        for row in &rows {
            let Some(claim) = ClaimRow::from_row(row) else { continue };
            if claim.state == ClaimState::Expired || !self.is_past_retention(&claim) {
                continue;
            }
            self.expire_row(row, &claim).await?;
        }
        match rows.last() {
            Some(row) if rows.len() == limit => Ok(Some(row.key.clone())),
            _ => Ok(None),
        }
    }

    async fn expire_row(&self, row: &Row, claim: &ClaimRow) -> Result<(), PlatformError> {
        let value = match claim.state {
            ClaimState::Abandoned => None,
            _ => Some(claim.with_state(ClaimState::Expired).to_value()),
        };
        let key = row.key.clone();
        let write = Write { key, condition: Condition::Version(row.version), value };
        let transaction = magnoliaspar_store::Transaction { writes: vec![write] };
        // After a lost answer or a conflict, the next scan checks the row again.
        match self.settings().table.commit(&transaction).await {
            Ok(_) | Err(PlatformError::Ambiguous(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn is_past_retention(&self, claim: &ClaimRow) -> bool {
        let age = self.unix_time_ms().saturating_sub(claim.began_ms);
        Duration::from_millis(age) > self.settings().retention
    }
}
