//! Orders to engines under a lease with a fencing number.
//!
//! Operators write the desired state of each model engine into the table; the holder of the zone's
//! lease compares it with what the engines report, and orders what is missing.

mod controller;
mod desired;
mod lease;
mod loads;

pub use self::controller::{OrderController, OrderReport, OrderSettings, OrderStep, OrderTarget};
pub use self::desired::{
    DesiredError, DesiredRole, DesiredRow, DesiredState, DesiredTable, OperatorName,
};
pub use self::lease::{Lease, LeaseController, LeaseError, LeaseSettings};
