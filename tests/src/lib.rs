//! Shared parts of the tests of whole behaviour: instances as real processes, and callers.

mod caller;
mod cluster;
mod operator;
mod process;

pub use self::caller::{AnswerEnd, Caller, StreamedAnswer};
pub use self::cluster::{Cluster, SECOND_OPERATOR_KEY, wait_until};
pub use self::operator::{CommandOutput, Operator, column_of};
pub use self::process::InstanceProcess;
