//! What responses say of the process that sends them: that it leaves, or wants no requests for a time.

use std::time::Instant;

/// Maximum number of rests to remember. Only one that ends before all earlier ones adds to their number.
const MAX_RESTS: usize = 16;

/// What the responses of a process say of it, with the times at which they said so.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Notices {
    /// The last time at which it said that it leaves.
    leaving_at: Option<Instant>,
    /// The rests that it asked for, each of which ends before the ones asked for earlier.
    rests: Vec<Rest>,
}

/// A time for which a process wants no requests of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Rest {
    asked_at: Instant,
    until: Instant,
}

impl Notices {
    /// Records that the process leaves.
    pub fn record_leaving(&mut self, now: Instant) {
        self.leaving_at = Some(now);
    }

    /// Records that the process wants no requests before a time. An earlier wish for longer still holds.
    pub fn record_rest(&mut self, now: Instant, until: Instant) {
        self.rests.retain(|rest| rest.until > until);
        self.rests.truncate(MAX_RESTS - 1);
        self.rests.push(Rest { asked_at: now, until });
    }

    /// Adds what was said otherwise.
    pub fn merge(&mut self, other: &Self) {
        self.leaving_at = self.leaving_at.max(other.leaving_at);
        let mut rests = std::mem::take(&mut self.rests);
        rests.extend(&other.rests);
        rests.sort_by_key(|rest| rest.asked_at);
        for Rest { asked_at, until } in rests {
            self.record_rest(asked_at, until);
        }
    }

    /// Returns whether the process has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving_at.is_some()
    }

    /// Returns the time before which the process wants no requests, which may have passed.
    pub fn rests_until(&self) -> Option<Instant> {
        self.rests.first().map(|rest| rest.until)
    }

    /// Returns whether the process leaves or rests.
    pub fn are_in_force(&self, now: Instant) -> bool {
        self.is_leaving() || self.rests_until().is_some_and(|until| now < until)
    }

    /// Returns the time at which something was said last.
    pub fn last_at(&self) -> Option<Instant> {
        self.leaving_at.max(self.rests.last().map(|rest| rest.asked_at))
    }

    /// Returns what was said at a time or later.
    pub fn since(&self, from: Instant) -> Self {
        let mut rests = self.rests.clone();
        rests.retain(|rest| rest.asked_at >= from);
        Self { leaving_at: self.leaving_at.filter(|at| *at >= from), rests }
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{MAX_RESTS, Notices};

    #[test]
    fn a_later_wish_for_less_rest_does_not_end_an_earlier_one() {
        let start = Instant::now();
        let at = |s| start + Duration::from_secs(s);
        let mut notices = Notices::default();
        notices.record_rest(at(0), at(10));
        notices.record_rest(at(1), at(3));
        assert_eq!(notices.rests_until(), Some(at(10)));
        assert_eq!(notices.since(at(1)).rests_until(), Some(at(3)));
        notices.record_rest(at(2), at(12));
        assert_eq!(notices.since(at(1)).rests_until(), Some(at(12)));
        assert!(!notices.are_in_force(at(12)));
    }

    #[test]
    fn what_was_said_before_a_time_is_left_out() {
        let start = Instant::now();
        let at = |s| start + Duration::from_secs(s);
        let mut notices = Notices::default();
        notices.record_leaving(at(1));
        notices.record_rest(at(2), at(5));
        assert!(!notices.since(at(2)).is_leaving());
        assert!(notices.since(at(1)).is_leaving());
        assert_eq!(notices.since(at(3)), Notices::default());
        let mut merged = Notices::default();
        merged.record_rest(at(3), at(4));
        merged.merge(&notices);
        assert_eq!(merged.rests_until(), Some(at(5)));
        assert_eq!(merged.last_at(), Some(at(3)));
    }

    #[test]
    fn the_number_of_rests_is_bounded() {
        let start = Instant::now();
        let mut notices = Notices::default();
        for index in 0..100 {
            let until = start + Duration::from_secs(1_000 - index);
            notices.record_rest(start + Duration::from_secs(index), until);
        }
        assert_eq!(notices.rests.len(), MAX_RESTS);
        assert_eq!(notices.rests_until(), Some(start + Duration::from_secs(1_000)));
        assert_eq!(notices.last_at(), Some(start + Duration::from_secs(99)));
    }
}
