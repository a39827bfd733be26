//! Shared parts of the tests of whole behaviour: instances as real processes, and callers.

mod caller;
mod cluster;
mod process;

pub use self::caller::{AnswerEnd, Caller, StreamedAnswer};
pub use self::cluster::{Cluster, wait_until};
pub use self::process::InstanceProcess;
