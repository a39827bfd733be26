//! Proofs that the configuration of an instance was the newest one at a moment.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliaspar_core::Epoch;
use serde::{Deserialize, Serialize};

/// Number of questions to other instances whose answers are still accepted.
const MAX_QUESTIONS: usize = 8;

/// Difference of two clocks' rates, and of a moment and its record, that a bound on the age of a proof leaves room for.
const PROOF_MARGIN: Duration = Duration::from_millis(250);

/// Share of the maximum age of a proof at which a new one is due.
const REFRESH_SHARE: f64 = 0.68;

/// Age up to which a proof counts where the settings name no bound.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(3);

/// What orders configurations: the operator's version, then the epoch of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ConfigurationMark {
    /// Version set by the operator.
    pub version: u64,
    /// Epoch of the store in which the configuration was read last.
    pub epoch: Epoch,
}

/// What the settings say of keys that are revoked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Revocation {
    /// Whether a revoked key must not be used after the bound in any case.
    pub is_strict: bool,
    /// Time from the acknowledgement of a configuration within which the keys that it revokes become unusable.
    pub bound: Option<Duration>,
}

impl Revocation {
    /// Returns the age of a proof at which an instance that calls the store gets a new one itself. In calm, others pass
    /// on younger ones, also if one message is lost.
    pub fn refresh_age(&self) -> Duration {
        self.max_proof_age().mul_f64(REFRESH_SHARE)
    }

    /// Returns the maximum age of a proof with which a key may be accepted or refused for good.
    pub fn max_proof_age(&self) -> Duration {
        match self.bound {
            Some(bound) => bound.saturating_sub(PROOF_MARGIN),
            None => DEFAULT_MAX_AGE,
        }
    }
}

/// A proof as an instance passes it on to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProofReport {
    /// Time since the moment at which the configuration was the newest, in milliseconds.
    pub age_ms: u64,
    /// The configuration.
    pub configuration: ConfigurationMark,
}

/// The last proof of one instance.
///
/// All moments are on a clock that also runs while the machine is suspended.
#[derive(Debug)]
pub struct Freshness {
    proven_at: Option<Duration>,
    /// Numbers of the last questions to other instances and the moments at which they were sent.
    questions: VecDeque<(u64, Duration)>,
    next_question: u64,
}

impl Freshness {
    /// Creates the state without a proof. The first number of a question should differ between processes of an
    /// instance, which may get answers to the former process.
    pub fn new(first_question: u64) -> Self {
        Self { proven_at: None, questions: VecDeque::new(), next_question: first_question }
    }

    /// Records that `newest` was the newest configuration at a moment, while the instance has `own`. Returns whether
    /// that proves `own` to be as new.
    pub fn record(
        &mut self,
        own: ConfigurationMark,
        newest: ConfigurationMark,
        at: Duration,
    ) -> bool {
        if own < newest {
            return false;
        }
        self.proven_at = self.proven_at.max(Some(at));
        true
    }

    /// Returns the number of a question that is about to be sent to other instances.
    pub fn ask(&mut self, now: Duration) -> u64 {
        let number = self.next_question;
        self.next_question = number.wrapping_add(1);
        if self.questions.len() == MAX_QUESTIONS {
            self.questions.pop_front();
        }
        self.questions.push_back((number, now));
        number
    }

    /// Applies the proof of another instance that has answered a question.
    ///
    /// The answer was given after the question was sent, so that the proof's age then dates its moment; the time that
    /// the answer took only makes the proof older. Answers to unknown questions prove nothing.
    pub fn apply(&mut self, own: ConfigurationMark, question: u64, report: ProofReport) -> bool {
        let asked = self.questions.iter().find(|(number, _)| *number == question);
        let Some((_, asked_at)) = asked else { return false };
        match asked_at.checked_sub(Duration::from_millis(report.age_ms)) {
            Some(at) => self.record(own, report.configuration, at),
            None => false,
        }
    }

    /// Returns the age of the last proof; `None` if there is none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.proven_at?))
    }

    /// Returns whether the configuration was the newest one at a moment at most `max_age` ago.
    pub fn is_proven(&self, now: Duration, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns what is passed on to other instances.
    pub fn report(&self, own: ConfigurationMark, now: Duration) -> Option<ProofReport> {
        // Rounded up, so that the proof does not become younger.
        let age_ms = self.age(now)?.as_millis() as u64 + 1;
        Some(ProofReport { age_ms, configuration: own })
    }
}
