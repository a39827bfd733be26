//! The platform's services as traits, with adapters over HTTP and JSON.

mod budget;
mod error;
mod instances;
mod objects;
mod table;
mod weights;

pub use self::budget::RateBudget;
pub use self::error::PlatformError;
pub use self::instances::{InstanceList, ListEntry, ListState, ListedKind, ServerRole};
pub use self::objects::ObjectStore;
pub use self::table::{
    Condition, Row, RowKey, RowVersion, TableService, Transaction, Write, WriteOutcome,
};
pub use self::weights::WeightStore;
