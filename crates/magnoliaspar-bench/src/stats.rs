//! The counts of a run and the outcomes and violations that they are made of.

use std::collections::BTreeMap;
use std::time::Duration;

use displaydoc::Display;
use hdrhistogram::Histogram;
use magnoliaspar_policy::RefuseReason;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// The caller received the whole answer.
    Answered,
    /// The policy refused the request.
    Refused(RefuseReason),
    /// The caller cancelled.
    Cancelled,
    /// The caller's deadline passed.
    DeadlinePassed,
}

/// The reason why the result of a prefill was discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub(crate) enum WasteCause {
    /// no decode slot
    NoDecodeSlot,
    /// hold ran out
    HoldExpired,
    /// cancelled
    Cancelled,
    /// engine lost
    EngineLost,
    /// given up by the policy
    GivenUp,
}

/// A violation of the rules that every policy must keep.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub(crate) enum Violation {
    /// request {0} was refused after it had produced tokens
    RefusedAfterTokens(usize),
    /// request {0} was refused with the untrue reason "{1}"
    UntrueReason(usize, RefuseReason),
    /// request {0} ended {1} times
    WrongOutcomeCount(usize, u32),
    /// request {0} was answered with {1} tokens instead of {2}
    WrongTokenCount(usize, u32, u32),
    /// server {0} still holds {1} requests after the end
    LeftOnServer(Box<str>, usize),
    /// the policy keeps {0} of {1} decode slots from new requests although all are free
    LeakedSlots(u32, u32),
    /// the policy ordered a stage of request {0} that does not follow from its state
    WrongStage(usize),
    /// the policy named a job or server that does not exist
    UnknownKey,
    /// the policy kept returning actions at one instant
    EndlessActions,
    /// the run did not end within its time limit
    RunNotFinished,
}

impl Violation {
    /// Returns true if the violation is an untruthful refusal.
    pub(crate) fn is_untrue_refusal(&self) -> bool {
        matches!(self, Self::RefusedAfterTokens(_) | Self::UntrueReason(_, _))
    }
}

/// The counts that are collected during a run.
#[derive(Debug)]
pub(crate) struct RunStats {
    /// The prompt tokens that prefill engines computed.
    pub(crate) computed_tokens: u64,
    /// The prompt tokens that prefill engines found in their prefix caches.
    pub(crate) cached_tokens: u64,
    /// The computed prompt tokens whose result was discarded, by cause.
    pub(crate) wasted_tokens: BTreeMap<WasteCause, u64>,
    /// The ITL of the requests in the measurement window, in microseconds.
    pub(crate) itl: Histogram<u64>,
    pub(crate) violations: Vec<Violation>,
}

/// Maximum latency of the histograms, in microseconds. Longer ones are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

impl RunStats {
    pub(crate) fn new() -> Self {
        Self {
            computed_tokens: 0,
            cached_tokens: 0,
            wasted_tokens: BTreeMap::new(),
            itl: histogram(),
            violations: Vec::new(),
        }
    }

    pub(crate) fn add_waste(&mut self, cause: WasteCause, tokens: u32) {
        if tokens > 0 {
            *self.wasted_tokens.entry(cause).or_default() += u64::from(tokens);
        }
    }
}

/// Records a latency in microseconds.
pub(crate) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

/// Creates an empty histogram of latencies in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}
