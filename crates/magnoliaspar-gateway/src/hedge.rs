//! Decides when a further attempt is started beside one that is silent, and which of the two is kept.
//!
//! An attempt in hand is given up only for a successor that has begun to respond, because a server that is
//! silent may still go on.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::route::{Route, ServiceName};

/// The attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that reached a server, including those in flight.
    pub dispatches: u32,
    /// Servers that may have run the request, including those that it is in flight at.
    pub runs: u32,
    /// Requests to a server that may have run the request before.
    pub returns: u32,
}

/// Maximum number of times that a request goes back to servers that may have run it.
const MAX_RETURNS: u32 = 2;

impl Tally {
    /// Counts a request that is about to be sent.
    pub fn start(&mut self) {
        self.dispatches += 1;
        self.runs += 1;
    }

    /// Takes back the count of a request that was not sent.
    pub fn take_back(&mut self) {
        self.dispatches -= 1;
        self.runs -= 1;
    }

    /// Records that a server has refused a request without running it.
    pub fn refuse(&mut self) {
        self.runs -= 1;
    }

    /// Counts a request that is about to be sent to a server that may have run it.
    pub fn start_return(&mut self) {
        self.dispatches += 1;
        self.returns += 1;
    }

    /// Takes back the count of a request that was not sent to a server that may have run it.
    pub fn take_back_return(&mut self) {
        self.dispatches -= 1;
        self.returns -= 1;
    }

    /// Records that a server that may have run the request has refused it without running it once more.
    pub fn refuse_return(&mut self) {
        self.returns -= 1;
    }

    /// Returns whether a further attempt may be started now at another server.
    pub fn allows_attempt(&self, route: &Route) -> bool {
        self.runs == 0 || route.allows_retry(self.runs)
    }

    /// Returns whether a further attempt may be started now at a server that may have run the request.
    ///
    /// The route limits the number of servers, not that of the requests.
    pub fn allows_return(&self, route: &Route) -> bool {
        route.kind.is_retryable() && self.returns < MAX_RETURNS
    }
}

/// Minimum time between two attempts to start a successor, also for a route whose latency target is zero.
const MIN_PATIENCE: Duration = Duration::from_millis(10);

/// Time after which another attempt is started beside a silent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// The time for which an attempt may be silent.
    limit: Duration,
    /// The end of the last attempt to start a successor, if there was one.
    asked_at: Option<Instant>,
}

impl Patience {
    /// Creates the patience for an attempt without a successor so far.
    pub fn new(limit: Duration) -> Self {
        Self { limit: limit.max(MIN_PATIENCE), asked_at: None }
    }

    /// Returns the time for which an attempt may be silent.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Returns whether a successor was asked for.
    pub fn has_asked(&self) -> bool {
        self.asked_at.is_some()
    }

    /// Starts again after a successor was started.
    pub fn renew(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }

    /// Starts again after there was no successor, and waits twice as long.
    pub fn back_off(&mut self, now: Instant) {
        self.renew(now);
        self.limit = self.limit.saturating_mul(2);
    }

    /// Returns the time left before a successor is started for an attempt that is silent since `silent_since`.
    pub fn left(&self, silent_since: Instant, now: Instant) -> Duration {
        let since = self.asked_at.map_or(silent_since, |asked_at| asked_at.max(silent_since));
        let waited = now.saturating_duration_since(since);
        self.limit.saturating_sub(waited)
    }
}

/// Maximum time for which two engines run one completion. Afterwards one of them is given up.
const MAX_OVERLAP: Duration = Duration::from_millis(330);

/// The course of the successor of a silent stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Course {
    /// The time at which the completion was sent to the successor's engine.
    pub sent_at: Option<Instant>,
    /// Whether that engine has begun to respond.
    pub has_begun: bool,
    /// Whether that engine may have run the completion before.
    pub is_return: bool,
}

impl Course {
    /// Returns the time for which two engines may still run the completion; `None` before it was sent to the
    /// second one.
    pub fn overlap_left(&self, now: Instant) -> Option<Duration> {
        Some((self.sent_at? + MAX_OVERLAP).saturating_duration_since(now))
    }

    /// Returns whether the successor is given up at the end of the overlap, rather than the silent stream.
    ///
    /// `is_first_alive` tells whether the engine of the silent stream has responded to another call meanwhile. Nothing in
    /// hand is given up for a return that has not begun.
    pub fn keeps_first(&self, is_first_alive: bool) -> bool {
        !self.has_begun && (is_first_alive || self.is_return)
    }
}

/// A retry taken out of the budget, which is returned on drop unless it was used.
pub struct ReservedRetry<'a> {
    gateway: &'a Gateway,
    service: &'a ServiceName,
    /// Whether the retry has reached a server, or may still reach one.
    pub is_used: bool,
}

impl<'a> ReservedRetry<'a> {
    /// Takes a retry out of the instance's own budget of a service, if it has one.
    pub fn take(gateway: &'a Gateway, service: &'a ServiceName) -> Option<Self> {
        gateway.take_retry(service).then(|| Self { gateway, service, is_used: false })
    }

    /// Takes a retry out of the budget of a service that all instances share, if it has one.
    pub async fn obtain(gateway: &'a Rc<Gateway>, service: &'a ServiceName) -> Option<Self> {
        let is_obtained = gateway.obtain_retry(service).await;
        is_obtained.then(|| Self { gateway, service, is_used: false })
    }
}

impl Drop for ReservedRetry<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.gateway.return_retry(self.service);
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{Course, MAX_OVERLAP, MAX_RETURNS, Patience, Tally};
    use crate::route::{Route, RouteKind};

    fn route(kind: RouteKind, max_attempts: u32) -> Route {
        Route {
            name: "r".into(),
            path_prefix: "/".into(),
            kind,
            timeout: Duration::from_secs(5),
            target_latency: Duration::from_millis(500),
            max_gap: Duration::ZERO,
            priority: 0,
            split: [].into(),
            max_attempts,
            is_anonymous: false,
        }
    }

    #[test]
    fn attempts_in_flight_count_as_runs() {
        let mut tally = Tally::default();
        let idempotent = route(RouteKind::Idempotent, 2);
        let at_most_once = route(RouteKind::AtMostOnce, 2);
        assert!(tally.allows_attempt(&at_most_once));
        tally.start();
        assert!(tally.allows_attempt(&idempotent));
        assert!(!tally.allows_attempt(&at_most_once));
        tally.start();
        assert!(!tally.allows_attempt(&idempotent));
        tally.refuse();
        assert!(tally.allows_attempt(&idempotent));
        tally.take_back();
        assert!(tally.allows_attempt(&at_most_once));
        assert_eq!(tally.dispatches, 1);
    }

    #[test]
    fn a_return_to_a_server_counts_as_no_further_server() {
        let mut tally = Tally::default();
        let (idempotent, at_most_once) =
            (route(RouteKind::Idempotent, 1), route(RouteKind::AtMostOnce, 1));
        tally.start();
        assert!(!tally.allows_attempt(&idempotent) && tally.allows_return(&idempotent));
        assert!(!tally.allows_return(&at_most_once));
        tally.start_return();
        tally.take_back_return();
        assert_eq!((tally.dispatches, tally.runs), (1, 1));
        for _ in 0..MAX_RETURNS {
            assert!(tally.allows_return(&idempotent));
            tally.start_return();
        }
        assert!(!tally.allows_return(&idempotent));
        assert_eq!((tally.dispatches, tally.runs), (1 + MAX_RETURNS, 1));
    }

    #[test]
    fn patience_starts_again_with_each_sign_of_life_and_each_refused_successor() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut patience = Patience::new(Duration::from_millis(300));
        assert_eq!(patience.left(at(0), at(100)), Duration::from_millis(200));
        assert!(patience.left(at(0), at(300)).is_zero());
        patience.renew(at(300));
        assert_eq!(patience.left(at(0), at(400)), Duration::from_millis(200));
        assert_eq!(patience.left(at(350), at(400)), Duration::from_millis(250));
        patience.back_off(at(400));
        assert_eq!(patience.left(at(0), at(400)), Duration::from_millis(600));
        patience.back_off(at(1_000));
        assert_eq!(patience.left(at(0), at(1_000)), Duration::from_millis(1_200));
    }

    #[test]
    fn a_latency_target_of_zero_leaves_time_between_two_requests_for_a_successor() {
        let now = Instant::now();
        let mut patience = Patience::new(Duration::ZERO);
        patience.renew(now);
        assert!(!patience.left(now, now).is_zero());
    }

    #[test]
    fn a_silent_stream_is_kept_beyond_the_overlap_only_if_its_engine_is_known_to_live() {
        let now = Instant::now();
        let mut course = Course::default();
        assert_eq!(course.overlap_left(now), None);
        course.sent_at = Some(now);
        assert_eq!(course.overlap_left(now), Some(MAX_OVERLAP));
        assert!(course.overlap_left(now + MAX_OVERLAP).unwrap().is_zero());
        assert!(course.keeps_first(true));
        assert!(!course.keeps_first(false));
        course.is_return = true;
        assert!(course.keeps_first(false));
        course.has_begun = true;
        assert!(!course.keeps_first(true));
    }
}
