use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use magnoliaspar_core::{Outcome, Refusal, RefusalCode};

use super::completion::{CompletionRequest, ScopedId};
use super::running::{Run, RunOrigin};

/// How long a finished run is kept for a caller that comes back.
const FINISHED_KEPT: Duration = Duration::from_secs(60);

/// How many finished runs are kept at most.
const MAX_FINISHED: usize = 10_000;

/// The runs of which this instance is the home.
#[derive(Debug, Default)]
pub struct RunRegistry {
    inner: RefCell<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<ScopedId, Rc<Run>>,
    finished: VecDeque<(Instant, ScopedId)>,
}

/// A run that was opened.
#[derive(Debug)]
pub struct Opened {
    /// The run.
    pub run: Rc<Run>,
    /// Whether it must be driven, since it is new.
    pub is_new: bool,
}

impl RunRegistry {
    /// Finds the run of a request or creates it.
    ///
    /// A request whose answer was delivered is refused with its outcome, and so is one that uses
    /// the identifier of another request.
    pub fn open(&self, req: &CompletionRequest) -> Result<Opened, Refusal> {
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
            return Ok(Opened { run: run.clone(), is_new: false });
        }
        let run = Rc::new(Run::new(req.id.clone(), fingerprint, req.emitted.clone()));
        run.set_origin(RunOrigin { route: req.route.clone(), accepted_at: req.accepted_at });
        inner.runs.insert(req.id.clone(), run.clone());
        Ok(Opened { run, is_new: true })
    }

    /// Whether the run of a request is known.
    pub fn contains(&self, id: &ScopedId) -> bool {
        self.inner.borrow().runs.contains_key(id)
    }

    /// Keeps a run that has ended for a while, or forgets it at once if it gave no answer.
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
            let is_old = now.duration_since(*finished_at) > FINISHED_KEPT;
            if !is_old && self.finished.len() <= MAX_FINISHED {
                return;
            }
            self.runs.remove(id);
            self.finished.pop_front();
        }
    }
}
