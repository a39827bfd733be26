//! The platform's services as traits, with adapters over HTTP and JSON.

mod backoff;
mod budget;
mod error;
mod http;
mod instances;
mod link;
mod objects;
pub mod protocol;
mod settle;
mod share;
mod table;
mod weights;

pub use self::backoff::{Backoff, Sleep, TimerSleep};
pub use self::budget::RateBudget;
pub use self::error::PlatformError;
pub use self::http::{HttpInstanceList, HttpObjectStore, HttpTableService, HttpWeightStore};
pub use self::instances::{InstanceList, ListEntry, ListState, ListedKind, ServerRole};
pub use self::link::HttpTimeouts;
pub use self::objects::ObjectStore;
pub use self::settle::{Settled, TOKEN_FIELD, WriteToken, commit_settled};
pub use self::share::{BudgetedTable, InstanceBudget};
pub use self::table::{
    Condition, Row, RowKey, RowVersion, TableService, Transaction, Write, WriteOutcome,
};
pub use self::weights::WeightStore;
