//! Decides which requests a stopping instance accepts, and records what is known of a request in flight.
//!
//! A stopping instance starts a request only if it ends before the process does, even if its server is silent for some
//! time. As nothing bounds how often a server falls silent, such requests are only started as long as balancers send new
//! connections. Every other request is refused as not run, since another instance can take it at once. Shortly before
//! the process ends, requests whose response has not begun get a response that is true for what has become of them.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use crate::refusal::Refusal;

/// Minimum time that is left for silences of the server within a response. It may fall silent more than once.
const MIN_SILENCE_ALLOWANCE: Duration = Duration::from_secs(3);

/// Time from the begin of the stop in which requests are started whose server could hold them beyond its end. Balancers
/// check readiness once per second and send new connections elsewhere after two failures. A caller that sends later
/// has only a kept connection to lose.
const START_WINDOW: Duration = Duration::from_millis(2_500);

/// Maximum duration of a plain call whose server is not silent. They take about ten milliseconds, the slowest a hundred.
const MAX_PLAIN_DURATION: Duration = Duration::from_secs(1);

/// Time before the end of the process at which requests without a response get one.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(150);

/// The end of a stopping instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// The begin of the stop.
    pub begun: Instant,
    /// The latest end of the process.
    pub end: Instant,
}

impl Shutdown {
    /// Returns the time at which requests without a response get one.
    pub fn responses_due(self) -> Instant {
        self.end.checked_sub(FINAL_RESPONSE_TIME).unwrap_or(self.end)
    }

    /// Returns the time from which a request must not be started; `None` if it has ended in any case before the process
    /// does.
    pub fn closes_at(self, extent: Extent) -> Option<Instant> {
        let due = self.responses_due();
        if extent.latest_end.is_some_and(|latest_end| latest_end < due) {
            return None;
        }
        let latest_start = due.checked_sub(extent.duration).unwrap_or(extent.received);
        Some(latest_start.min(self.begun + START_WINDOW))
    }

    /// Returns whether a request may be started now.
    pub fn can_finish(self, extent: Extent, now: Instant) -> bool {
        self.closes_at(extent).is_none_or(|closes_at| now < closes_at)
    }
}

/// The longest time that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Extent {
    /// The time at which the head was read.
    pub received: Instant,
    /// The time at which the request ends in any case, if there is one.
    pub latest_end: Option<Instant>,
    /// Longest duration from the start, with some silence of the server.
    pub duration: Duration,
}

impl Extent {
    /// Returns the extent of a plain call, which ends at its deadline.
    pub fn of_call(received: Instant, deadline: Instant) -> Self {
        let duration = MAX_PLAIN_DURATION + MIN_SILENCE_ALLOWANCE;
        Self { received, latest_end: Some(deadline), duration }
    }

    /// Returns the extent of a stream that takes at most `longest` if its engine is not silent.
    ///
    /// The deadline is left out: an engine that does not pause may send events after it.
    pub fn of_stream(received: Instant, longest: Duration) -> Self {
        Self { received, latest_end: None, duration: longest + MIN_SILENCE_ALLOWANCE }
    }
}

/// Reason why a request ends before its answer does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropCause {
    /// The connection of the caller has ended.
    Connection,
    /// The process ends.
    Stop,
    /// The task has panicked.
    Panic,
}

impl DropCause {
    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Stop => "stop",
            Self::Panic => "panic",
        }
    }
}

/// State of a request in flight.
#[derive(Debug)]
pub struct RequestState {
    /// The caller's identifier.
    pub id: RefCell<Box<str>>,
    /// The time at which the head was read.
    pub received: Instant,
    /// The server that the request was sent to last; empty before that.
    pub server: RefCell<Box<str>>,
    /// Whether the head of the response has been handed to the connection.
    pub has_responded: Cell<bool>,
    /// Whether the request was charged to the limit of its workspace.
    pub is_charged: Cell<bool>,
    /// Time until the request is within the limit of its workspace, if it was refused as beyond it.
    pub over_limit_for: Cell<Duration>,
    /// Number of times that the request was sent and has not been proven not to have run.
    possible_runs: Cell<u32>,
}

impl RequestState {
    /// Creates the state of a request that was received at `received`.
    pub fn new(received: Instant) -> Self {
        Self {
            id: RefCell::default(),
            received,
            server: RefCell::default(),
            has_responded: Cell::new(false),
            is_charged: Cell::new(false),
            over_limit_for: Cell::default(),
            possible_runs: Cell::new(0),
        }
    }

    /// Records that the request is about to be sent to a server, which may run it.
    pub fn record_sent(&self, server: &str) {
        self.server.replace(server.into());
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Records that a server to which the request was sent has not run it.
    pub fn record_not_run(&self) {
        self.possible_runs.set(self.possible_runs.get().saturating_sub(1));
    }

    /// Returns whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0
    }

    /// Returns the response that is true for the request if the instance ends now.
    pub fn final_refusal(&self) -> Refusal {
        if self.may_have_run() { Refusal::MayHaveRun } else { Refusal::Stopping }
    }

    /// Returns the response that is true for the request if it is given up since its caller has closed the sending
    /// side.
    pub fn refusal_to_closed_caller(&self) -> Refusal {
        if self.may_have_run() { Refusal::MayHaveRun } else { Refusal::CallerClosed }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{Extent, RequestState, Shutdown};
    use crate::refusal::Refusal;

    #[test]
    fn a_call_is_started_only_if_its_deadline_or_its_longest_duration_ends_before_the_process() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let shutdown = Shutdown { begun: at(2_000), end: at(8_000) };
        let call =
            |now, deadline| shutdown.can_finish(Extent::of_call(at(now), at(deadline)), at(now));
        assert!(call(6_000, 7_500) && !call(6_500, 8_000) && !call(6_000, 60_000));
        assert!(call(3_800, 60_000) && !call(3_900, 60_000));
    }

    #[test]
    fn a_stream_is_started_only_if_it_ends_in_time_at_its_longest_with_a_silence() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let shutdown = Shutdown { begun: at(2_000), end: at(8_000) };
        let extent = Extent::of_stream(at(0), Duration::from_millis(1_500));
        assert!(shutdown.can_finish(extent, at(3_300)) && !shutdown.can_finish(extent, at(3_400)));
    }

    /// Guards against requests that are started late in a stop, since their server is assumed to be silent for a bounded
    /// time in all.
    #[test]
    fn a_request_that_silences_can_prolong_is_started_only_early_in_a_stop() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let shutdown = Shutdown { begun: at(0), end: at(60_000) };
        let stream = Extent::of_stream(at(0), Duration::ZERO);
        for extent in [stream, Extent::of_call(at(0), at(70_000))] {
            assert!(shutdown.can_finish(extent, at(2_400)), "{extent:?}");
            assert!(!shutdown.can_finish(extent, at(2_500)), "{extent:?}");
        }
        assert!(shutdown.can_finish(Extent::of_call(at(0), at(50_000)), at(40_000)));
    }

    #[test]
    fn a_request_without_a_response_may_have_run_unless_all_servers_proved_the_contrary() {
        let state = RequestState::new(Instant::now());
        assert_eq!(state.final_refusal(), Refusal::Stopping);
        state.record_sent("s1");
        state.record_sent("s2");
        state.record_not_run();
        assert_eq!(state.final_refusal(), Refusal::MayHaveRun);
        state.record_not_run();
        assert_eq!(state.final_refusal(), Refusal::Stopping);
    }
}
