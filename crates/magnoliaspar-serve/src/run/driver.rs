//! Drives runs up to their end, cancellation or deadline.

use std::rc::Rc;

use magnoliaspar_core::Clock;
use magnoliaspar_declaration::CompletionRoute;
use magnoliaspar_engine::EngineConnector;

use super::attempt::AttemptIdGenerator;
use super::completion::CompletionRequest;
use super::dispatcher::Dispatcher;
use super::refusal::{cancelled, timed_out};
use super::running::{Run, RunResult};
use super::task::RunTask;
use crate::directory::Directory;
use crate::journal::Journal;
use crate::quarantine::QuarantineState;
use crate::reaping::StreamOwnership;

/// Drives runs through prefill, transfer and decode.
pub struct Driver {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Connects to engines.
    pub connector: Rc<dyn EngineConnector>,
    /// Generates attempt IDs.
    pub attempts: Rc<AttemptIdGenerator>,
    /// The engine streams that this instance drives.
    pub ownership: Rc<StreamOwnership>,
    /// The backend servers.
    pub directory: Rc<Directory>,
    /// The event journal.
    pub journal: Rc<Journal>,
    /// The quarantine of requests that crash engines.
    pub quarantine: Rc<QuarantineState>,
}

impl Driver {
    /// Drives a run until it ends, is cancelled or reaches its deadline.
    ///
    /// When this returns, all engine memory of the run is freed or being freed in the background.
    pub async fn drive(
        &self,
        dispatcher: &Rc<Dispatcher>,
        run: &Rc<Run>,
        req: &CompletionRequest,
        settings: &RunSettings,
    ) {
        let mut task = RunTask::new(self, run, req, settings);
        let deadline = tokio::time::Instant::from_std(req.deadline);
        tokio::select! {
            result = task.run_to_end(dispatcher) => run.finish(result),
            () = run.cancelled() => run.finish(RunResult::Refused(cancelled(run))),
            () = tokio::time::sleep_until(deadline) => {
                run.finish(RunResult::Refused(timed_out(run)));
            }
        }
        task.record_end();
    }
}

/// The settings of a run that come from the declarations.
#[derive(Debug, Clone)]
pub struct RunSettings {
    /// The route.
    pub route: CompletionRoute,
    /// The fair share of the caller's workspace.
    pub share: u32,
}
