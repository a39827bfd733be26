//! Helpers for the tests of the whole system.
//!
//! They run clusters of instances and stand-ins, send requests as callers and operators do, and
//! wait for conditions.

mod caller;
mod cluster;
mod known_red;
mod local;
mod operator;
mod process;
mod raw;
mod reply;

pub use self::caller::{AnswerEnd, Caller, StreamedAnswer};
pub use self::cluster::{Cluster, SECOND_OPERATOR_KEY, wait_until};
pub use self::known_red::run_unless_known_red;
pub use self::local::LocalCluster;
pub use self::operator::{CommandOutput, Operator, column_of};
pub use self::process::InstanceProcess;
pub use self::raw::RawConnection;
pub use self::reply::{Call, Reply};
