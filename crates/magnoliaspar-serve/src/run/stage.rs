use displaydoc::Display;
use magnoliaspar_core::{AttemptId, ServerName};
use magnoliaspar_event::EventKind;

/// How far a run has come, and on which engines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunStage {
    /// What happens to the run now.
    pub step: RunStep,
    /// The latest attempt.
    pub attempt: Option<AttemptId>,
    /// The prefill engine of the latest attempt.
    pub prefill: Option<ServerName>,
    /// The decode engine of the latest attempt.
    pub decode: Option<ServerName>,
}

/// What happens to a run.
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
    /// Takes in what happened to the run.
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

    /// Returns the engine that works on the run now.
    pub fn server(&self) -> Option<&ServerName> {
        match self.step {
            RunStep::Waiting => None,
            RunStep::Prefill | RunStep::Held => self.prefill.as_ref(),
            RunStep::Transfer | RunStep::Decode => self.decode.as_ref(),
        }
    }
}
