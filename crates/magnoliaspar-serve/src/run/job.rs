//! Handles for querying scheduled jobs, and the reasons why jobs wait.

use std::fmt;
use std::rc::Rc;
use std::time::Instant;

use magnoliaspar_core::JobKey;

use super::dispatcher::Dispatcher;

/// A handle for querying a job of a dispatcher.
#[derive(Clone)]
pub struct JobHandle {
    /// The dispatcher.
    pub dispatcher: Rc<Dispatcher>,
    /// The key of the job.
    pub key: JobKey,
}

impl JobHandle {
    /// Returns the reason why the job waits, or `None` if it does not wait.
    pub fn waiting(&self) -> Option<WaitExplanation> {
        self.dispatcher.explain_wait(self.key)
    }
}

impl fmt::Debug for JobHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JobHandle").field("key", &self.key).finish_non_exhaustive()
    }
}

/// The explanation of a decision to let a job wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitExplanation {
    /// The reason.
    pub reason: Box<str>,
    /// The time of the decision.
    pub decided_at: Instant,
    /// The rejected candidate servers, each with the reason.
    pub rejected: Box<[Box<str>]>,
}
