use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use magnoliaspar_core::JobKey;

use super::dispatcher::Dispatcher;

/// The job of a run at its dispatcher.
#[derive(Clone)]
pub struct JobHandle {
    /// The dispatcher.
    pub dispatcher: Rc<Dispatcher>,
    /// The job.
    pub key: JobKey,
}

impl JobHandle {
    /// Returns why the job waits, if it does.
    pub fn waiting(&self) -> Option<Waiting> {
        self.dispatcher.explain_wait(self.key)
    }
}

impl fmt::Debug for JobHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JobHandle").field("key", &self.key).finish_non_exhaustive()
    }
}

/// Why a job waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The reason.
    pub reason: Box<str>,
    /// When it was decided.
    pub decided_at: Instant,
    /// The servers that were considered and not taken, each with the reason.
    pub rejected: Box<[Box<str>]>,
}
