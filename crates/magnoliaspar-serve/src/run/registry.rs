//! The registry of runs, with deduplication by request identifier.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::{Outcome, Refusal, RefusalCode};

use super::completion::{CompletionRequest, ScopedId};
use super::running::{Run, RunOrigin};

/// Retention of a finished run, for callers that reconnect.
const FINISHED_RUN_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of retained finished runs.
const MAX_FINISHED_RUNS: usize = 10_000;

/// The runs whose home is this instance.
#[derive(Debug, Default)]
pub struct RunRegistry {
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<ScopedId, Rc<Run>>,
    finished: VecDeque<(Instant, ScopedId)>,
}

/// Result of [`RunRegistry::open`].
#[derive(Debug)]
pub struct OpenedRun {
    /// The run.
    pub run: Rc<Run>,
    /// True if the run was created by this call and must be driven.
    pub is_new: bool,
}

impl RunRegistry {
    /// Returns the run of a request, or creates it.
    ///
    /// Refuses a request whose answer was already delivered, and one that reuses the identifier of
    /// a different request.
    pub fn open(&self, req: &CompletionRequest) -> Result<OpenedRun, Refusal> {
        let mut inner = self.inner.borrow_mut();
        let fingerprint = req.fingerprint();
        if let Some(run) = inner.runs.get(&req.id) {
            if run.fingerprint != fingerprint {
                let message = "the request id was used for a different request";
                return Err(Refusal::not_run(RefusalCode::BadRequest, message));
            }
            if run.is_delivered() {
                let message = "the answer to this request was delivered before";
                let mut refusal = Refusal::not_run(RefusalCode::AlreadyAnswered, message);
                refusal.outcome = Outcome::Answered;
                return Err(refusal);
            }
            return Ok(OpenedRun { run: run.clone(), is_new: false });
        }
        let run = Rc::new(Run::new(req.id.clone(), fingerprint, req.emitted.clone()));
        run.set_origin(RunOrigin { route: req.route.clone(), accepted_at: req.accepted_at });
        inner.runs.insert(req.id.clone(), run.clone());
        Ok(OpenedRun { run, is_new: true })
    }

    /// Returns whether there is a run for a request.
    pub fn contains(&self, id: &ScopedId) -> bool {
        self.inner.borrow().runs.contains_key(id)
    }

    /// Retains an ended run for a limited time, or removes it at once if it gave no answer.
    pub fn retire(&self, now: Instant, run: &Rc<Run>, has_answer: bool) {
        let mut inner = self.inner.borrow_mut();
        if has_answer {
            inner.finished.push_back((now, run.id.clone()));
        } else {
            inner.runs.remove(&run.id);
        }
        inner.expire(now);
    }

    /// Returns the runs that have not ended.
    pub fn live(&self) -> Vec<Rc<Run>> {
        let inner = self.inner.borrow();
        let mut live = Vec::new();
        for run in inner.runs.values() {
            if !run.is_finished() {
                live.push(run.clone());
            }
        }
        live
    }
}

impl Inner {
    fn expire(&mut self, now: Instant) {
        while let Some((finished_at, id)) = self.finished.front() {
            let is_old = now.duration_since(*finished_at) > FINISHED_RUN_RETENTION;
            if !is_old && self.finished.len() <= MAX_FINISHED_RUNS {
                return;
            }
            self.runs.remove(id);
            self.finished.pop_front();
        }
    }
}
