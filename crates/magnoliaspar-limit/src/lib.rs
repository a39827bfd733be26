//! Limits on the use of workspaces that all instances share, without any I/O.
//!
//! The coordinator charges the [`Buckets`] of the workspaces, and those that may succeed it are told of each charge.
//! [`Usage`] is what an instance has let pass without asking, and [`Tenure`] the share of the limits that an instance
//! may issue while it does not hear from all others.

mod bucket;
mod tenure;
mod usage;

pub use self::bucket::{Buckets, Demand};
pub use self::tenure::Tenure;
pub use self::usage::{Exhausted, LimitReport, Usage, UsageTotals};
