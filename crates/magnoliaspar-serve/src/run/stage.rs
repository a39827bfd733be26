//! The stage of a run, derived from its events.

use displaydoc::Display;
use magnoliaspar_core::{AttemptId, ServerName};
use magnoliaspar_event::EventKind;

/// The current step of a run and the engines of its latest attempt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunStage {
    /// The current step.
    pub step: RunStep,
    /// The latest attempt.
    pub attempt: Option<AttemptId>,
    /// The prefill engine of the latest attempt.
    pub prefill: Option<ServerName>,
    /// The decode engine of the latest attempt.
    pub decode: Option<ServerName>,
}

/// A step of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Display)]
pub enum RunStep {
    /// waiting
    #[default]
    Waiting,
    /// prefill
    Prefill,
    /// held
    Held,
    /// transfer
    Transfer,
    /// decode
    Decode,
}

impl RunStage {
    /// Updates the stage from an event of the run.
    pub fn observe(&mut self, server: Option<&ServerName>, kind: &EventKind) {
        match kind {
            EventKind::Planned(plan) => {
                self.attempt = Some(plan.attempt);
                self.prefill = Some(plan.prefill_server.clone());
                self.decode = Some(plan.decode_server.clone());
            }
            EventKind::PrefillStarted { attempt } => {
                self.step = RunStep::Prefill;
                self.attempt = Some(*attempt);
                self.prefill = server.cloned();
            }
            EventKind::Prefilled { .. } => self.step = RunStep::Held,
            EventKind::TransferStarted { attempt, to } => {
                self.step = RunStep::Transfer;
                self.attempt = Some(*attempt);
                self.decode = Some(to.clone());
            }
            EventKind::FirstToken { .. } => self.step = RunStep::Decode,
            EventKind::Resumed { attempt, .. } => {
                self.step = RunStep::Decode;
                self.attempt = Some(*attempt);
                self.decode = server.cloned();
            }
            EventKind::AttemptFailed { .. } => self.step = RunStep::Waiting,
            _ => {}
        }
    }

    /// Returns the engine of the current step, if there is one.
    pub fn server(&self) -> Option<&ServerName> {
        match self.step {
            RunStep::Waiting => None,
            RunStep::Prefill | RunStep::Held => self.prefill.as_ref(),
            RunStep::Transfer | RunStep::Decode => self.decode.as_ref(),
        }
    }
}
