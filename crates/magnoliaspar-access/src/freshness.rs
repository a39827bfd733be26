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
    /// Version in force, and epoch of the store, when the store was found to hold a configuration that the instance
    /// cannot read; `None` once it holds another.
    unreadable_since: Option<ConfigurationMark>,
}

impl Freshness {
    /// Creates the state without a proof. The first number of a question should differ between processes of an
    /// instance, which may get answers to the former process.
    pub fn new(first_question: u64) -> Self {
        Self {
            proven_at: None,
            questions: VecDeque::new(),
            next_question: first_question,
            unreadable_since: None,
        }
    }

    /// Records that the store holds a configuration that the instance cannot read; `own` is the version in force and the
    /// epoch of the store. Which keys the unreadable one revokes is unknown, so nothing proves the one in force until the
    /// store holds another.
    pub fn record_unreadable(&mut self, own: ConfigurationMark) {
        self.unreadable_since = Some(own);
    }

    /// Records the configuration that the store holds and the instance can read, with version 0 for none.
    ///
    /// A store that was restored from a copy may have lost the unreadable one, which the operator writes again: in
    /// another epoch only a version above the one that was in force tells that there is another.
    pub fn record_readable(&mut self, read: ConfigurationMark) {
        let Some(since) = self.unreadable_since else { return };
        if read.epoch == since.epoch || read.version > since.version {
            self.unreadable_since = None;
        }
    }

    /// Returns whether the store holds a configuration that the instance cannot read.
    pub fn has_unreadable(&self) -> bool {
        self.unreadable_since.is_some()
    }

    /// Records that `newest` was the newest configuration at a moment, while the instance has `own`. Returns whether
    /// that proves `own` to be as new.
    pub fn record(
        &mut self,
        own: ConfigurationMark,
        newest: ConfigurationMark,
        at: Duration,
    ) -> bool {
        if own < newest || self.has_unreadable() {
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

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use magnoliaspar_core::Epoch;

    use super::{ConfigurationMark, Freshness, ProofReport};

    const MAX_AGE: Duration = Duration::from_secs(4);

    fn mark(version: u64, epoch: u64) -> ConfigurationMark {
        ConfigurationMark { version, epoch: Epoch(epoch) }
    }

    /// Guards against a proof for the configuration in force while a newer one cannot be read, by the store or by an
    /// instance that does not know of it.
    #[test]
    fn an_unreadable_configuration_leaves_only_earlier_proofs() {
        let second = Duration::from_secs(1);
        let mut freshness = Freshness::new(0);
        assert!(freshness.record(mark(7, 1), mark(7, 1), second));
        freshness.record_unreadable(mark(7, 1));
        assert!(!freshness.record(mark(7, 1), mark(7, 1), 2 * second));
        let question = freshness.ask(2 * second);
        let report = ProofReport { age_ms: 10, configuration: mark(7, 1) };
        assert!(!freshness.apply(mark(7, 1), question, report));
        assert!(freshness.is_proven(5 * second, MAX_AGE));
        assert!(!freshness.is_proven(5 * second + Duration::from_millis(1), MAX_AGE));
        freshness.record_readable(mark(7, 1));
        assert!(freshness.record(mark(7, 1), mark(7, 1), 6 * second));
    }

    /// Guards against a proof from a store whose copy is older than the unreadable configuration.
    #[test]
    fn a_restored_store_without_the_unreadable_configuration_proves_nothing() {
        let mut freshness = Freshness::new(0);
        freshness.record_unreadable(mark(7, 1));
        freshness.record_readable(mark(7, 2));
        assert!(!freshness.record(mark(7, 2), mark(7, 2), MAX_AGE));
        // Another instance may have passed it on before.
        freshness.record_readable(mark(9, 2));
        assert!(freshness.record(mark(9, 2), mark(9, 2), MAX_AGE));
    }
}
