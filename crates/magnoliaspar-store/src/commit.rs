//! Commits that are retried after ambiguous answers and still take effect at most once.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    Backoff, PlatformError, Row, RowKey, RowVersion, TableService, Transaction, WriteOutcome,
};

/// Commits a transaction and determines its outcome, even if answers are lost.
///
/// Every written value must be a JSON object; its field [`TOKEN_FIELD`] is set to `token`, which no
/// other transaction may use. After an ambiguous answer a row is read back: if it has the token,
/// the whole transaction took effect. Otherwise the transaction may still arrive late, so it is
/// sent again under the same conditions, which hold for at most one of the sends. Therefore the
/// transaction must contain a value, no condition may be
/// [`Condition::Always`](crate::Condition::Always), and a row created under
/// [`Condition::Absent`](crate::Condition::Absent) must exist until no send can arrive any more.
pub async fn commit_idempotent(
    table: &dyn TableService,
    backoff: &Backoff,
    transaction: &Transaction,
    token: &WriteToken,
) -> CommitOutcome {
    let transaction = match add_token(transaction, token) {
        Ok(transaction) => transaction,
        Err(error) => return CommitOutcome::NotApplied(error),
    };
    let attempt = Attempt { table, transaction: &transaction, token };
    let mut is_ambiguous = false;
    let mut last_error = PlatformError::Unavailable("no attempt was made".into());
    for number in 0..backoff.max_attempts {
        if number > 0 {
            wait(backoff, number, token, &last_error).await;
        }
        match attempt.run(is_ambiguous).await {
            Ok(outcome) => return outcome,
            Err(error @ PlatformError::Rejected(_)) if !is_ambiguous => {
                return CommitOutcome::NotApplied(error);
            }
            Err(error) => {
                is_ambiguous |= matches!(error, PlatformError::Ambiguous(_));
                last_error = error;
            }
        }
    }
    match is_ambiguous {
        true => CommitOutcome::Unknown,
        false => CommitOutcome::NotApplied(last_error),
    }
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All writes took effect; the versions are in the order of the writes, with
    /// [`RowVersion::OVERWRITTEN`] for rows that have been deleted or overwritten since.
    Applied(Vec<RowVersion>),
    /// A condition does not hold.
    Conflict {
        /// The key whose condition failed.
        key: RowKey,
        /// The current row, if it exists.
        current: Option<Row>,
        /// True if the writes may have taken effect and been overwritten since.
        may_have_applied: bool,
    },
    /// No write took effect, and none will.
    NotApplied(PlatformError),
    /// The writes may have taken effect or may still take effect.
    Unknown,
}

/// A unique token that identifies the rows written by one transaction.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WriteToken(pub Box<str>);

impl WriteToken {
    /// Returns true if the last write of the row had this token.
    pub fn is_on(&self, row: &Row) -> bool {
        row.value.get(TOKEN_FIELD).and_then(Value::as_str) == Some(&*self.0)
    }

    fn jitter_seed(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.0.hash(&mut hasher);
        hasher.finish()
    }
}

/// The field of a row's value that contains the token of its last write.
pub const TOKEN_FIELD: &str = "token";

/// The parameters of each attempt to commit a transaction.
struct Attempt<'a> {
    table: &'a dyn TableService,
    transaction: &'a Transaction,
    token: &'a WriteToken,
}

impl Attempt<'_> {
    /// Sends the transaction; if an earlier attempt is ambiguous, checks first if it took effect.
    async fn run(&self, is_ambiguous: bool) -> Result<CommitOutcome, PlatformError> {
        if is_ambiguous && self.first_row_has_token().await? {
            return Ok(CommitOutcome::Applied(self.versions_with_token().await?.into()));
        }
        match self.table.commit(self.transaction).await? {
            WriteOutcome::Applied(versions) => Ok(CommitOutcome::Applied(versions)),
            WriteOutcome::Conflict { key, current } => {
                if !is_ambiguous {
                    return Ok(CommitOutcome::Conflict { key, current, may_have_applied: false });
                }
                let versions = self.versions_with_token().await?;
                if versions.iter().any(|version| *version != RowVersion::OVERWRITTEN) {
                    return Ok(CommitOutcome::Applied(versions.into()));
                }
                Ok(CommitOutcome::Conflict { key, current, may_have_applied: true })
            }
        }
    }

    async fn first_row_has_token(&self) -> Result<bool, PlatformError> {
        for write in &self.transaction.writes {
            if write.value.is_none() {
                continue;
            }
            let row = self.table.read(&write.key).await?;
            return Ok(row.is_some_and(|row| self.token.is_on(&row)));
        }
        Ok(false)
    }

    /// Returns the version of each written row, or [`RowVersion::OVERWRITTEN`] if the row does not
    /// have the token.
    async fn versions_with_token(&self) -> Result<Box<[RowVersion]>, PlatformError> {
        let mut versions = Vec::with_capacity(self.transaction.writes.len());
        for write in &self.transaction.writes {
            let row = match write.value {
                Some(_) => self.table.read(&write.key).await?,
                None => None,
            };
            let own = row.filter(|row| self.token.is_on(row));
            versions.push(own.map_or(RowVersion::OVERWRITTEN, |row| row.version));
        }
        Ok(versions.into())
    }
}

/// Waits before the next attempt: the backoff, after the delay that a rate limit asks for.
async fn wait(backoff: &Backoff, attempt: u32, token: &WriteToken, error: &PlatformError) {
    if let PlatformError::RateLimited { retry_after } = error {
        let wait: Duration = (*retry_after).min(backoff.max_delay);
        backoff.sleep.sleep(wait).await;
    }
    backoff.wait(attempt, token.jitter_seed()).await;
}

/// Adds the token to all values and checks the requirements of [`commit_idempotent`].
fn add_token(transaction: &Transaction, token: &WriteToken) -> Result<Transaction, PlatformError> {
    let mut tagged = transaction.clone();
    let mut has_value = false;
    for write in &mut tagged.writes {
        if write.condition == crate::Condition::Always {
            return Err(rejected("an idempotent write needs a condition"));
        }
        let Some(value) = &mut write.value else { continue };
        let Some(fields) = value.as_object_mut() else {
            return Err(rejected("an idempotent write needs an object as its value"));
        };
        fields.insert(TOKEN_FIELD.to_owned(), Value::from(&*token.0));
        has_value = true;
    }
    match has_value {
        true => Ok(tagged),
        false => Err(rejected("an idempotent transaction needs a write with a value")),
    }
}

fn rejected(message: &str) -> PlatformError {
    PlatformError::Rejected(message.into())
}
