//! The interface to the services of the platform: traits with adapters over HTTP and JSON, rate
//! limits, backoff and idempotent commits.

mod backoff;
mod client;
mod commit;
mod error;
mod http;
mod instances;
mod objects;
pub mod protocol;
mod share;
mod table;
mod token_bucket;
mod weights;

pub use self::backoff::{Backoff, Sleep, TimerSleep};
pub use self::client::HttpTimeouts;
pub use self::commit::{CommitOutcome, TOKEN_FIELD, WriteToken, commit_idempotent};
pub use self::error::PlatformError;
pub use self::http::{HttpInstanceList, HttpObjectStore, HttpTableService, HttpWeightStore};
pub use self::instances::{InstanceList, ListEntry, ListState, ListedKind, ServerRole};
pub use self::objects::ObjectStore;
pub use self::share::{PlatformRates, RateLimitedTable};
pub use self::table::{
    Condition, Row, RowKey, RowVersion, TableService, Transaction, Write, WriteOutcome,
};
pub use self::token_bucket::TokenBucket;
pub use self::weights::WeightStore;
