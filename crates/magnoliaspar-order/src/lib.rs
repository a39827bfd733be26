//! Orders to engines under a lease with a fencing token.
//!
//! Operators write the desired state of each model engine into a table. The holder of the zone's
//! lease compares the desired states with the reported ones and sends the missing orders.

mod controller;
mod desired;
mod lease;
mod loads;

pub use self::controller::{OrderController, OrderReport, OrderSettings, OrderStep, OrderTarget};
pub use self::desired::{
    DesiredError, DesiredRole, DesiredRow, DesiredState, DesiredTable, OperatorName,
};
pub use self::lease::{Lease, LeaseController, LeaseError, LeaseSettings};
