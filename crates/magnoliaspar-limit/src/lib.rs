//! Limits on the use of workspaces that all instances share, without any I/O.
//!
//! The coordinator charges the [`Buckets`] of the workspaces, and those that may succeed it are told of each charge.
//! [`Ledger`] holds all of this for one instance and decides. [`Usage`] is what an instance has let pass without asking, and [`Tenure`] the share of the limits that an instance
//! may issue while it does not hear from all others.

mod bucket;
mod ledger;
mod tenure;
mod usage;

pub use self::bucket::{Buckets, Demand};
pub use self::ledger::{ChargeNumber, Ledger, Verdict};
pub use self::tenure::Tenure;
pub use self::usage::{Exhausted, LimitReport, Usage, UsageTotals};
