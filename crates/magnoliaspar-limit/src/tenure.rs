//! The share of the limits that an instance may issue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time for which an instance counts as present after a message from it; one heartbeat and its delay.
const PRESENCE_WINDOW: Duration = Duration::from_millis(1_000);

/// Time without a decision after which an instance that is not the coordinator by its own ranking no longer decides.
const MAX_DECISION_PAUSE: Duration = Duration::from_millis(1_000);

/// Time in which the others answer an instance that begins to decide; many round trips.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// How long this instance has been deciding on the limits, and which others it has heard from since.
///
/// When the instances are cut into two parts, one has the former coordinator and the other makes a new one. The new one
/// asks all others and counts only those that it has heard from since it began to decide; the former one counts those of
/// the last second. So the shares of both soon add up to one.
#[derive(Debug, Default)]
pub struct Tenure {
    began_at: Option<Instant>,
    decided_at: Option<Instant>,
    heard_at: BTreeMap<Box<str>, Instant>,
}

impl Tenure {
    /// Records a message from another instance.
    pub fn hear(&mut self, instance: &str, now: Instant) {
        match self.heard_at.get_mut(instance) {
            Some(at) => *at = now,
            None => {
                self.heard_at.insert(instance.into(), now);
            }
        }
    }

    /// Records whether this instance is the coordinator by its own ranking. Returns whether it begins to decide, so
    /// that all others have to be asked.
    pub fn observe(&mut self, is_coordinator: bool, now: Instant) -> bool {
        if is_coordinator {
            return self.begin(now);
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_DECISION_PAUSE;
        if !self.decided_at.is_some_and(is_recent) {
            self.began_at = None;
        }
        false
    }

    /// Records a decision for another instance or for this one. Returns whether it is the first one, so that all others
    /// have to be asked.
    pub fn decide(&mut self, now: Instant) -> bool {
        self.decided_at = Some(now);
        self.begin(now)
    }

    fn begin(&mut self, now: Instant) -> bool {
        let begins = self.began_at.is_none();
        self.began_at.get_or_insert(now);
        begins
    }

    /// Returns whether this instance decides.
    pub fn is_deciding(&self) -> bool {
        self.began_at.is_some()
    }

    /// Returns the ratio of the instances that this one has heard from lately, with itself, to `known`.
    pub fn presence(&self, known: usize, now: Instant) -> f64 {
        let is_present = |at: &&Instant| now.saturating_duration_since(**at) < PRESENCE_WINDOW;
        let present = self.heard_at.values().filter(is_present).count() + 1;
        (present as f64 / known.max(1) as f64).min(1.0)
    }

    /// Returns the share of the limits that this instance may issue, among `known` instances with itself; `None` while
    /// the others have had no time to answer.
    pub fn share(&mut self, known: usize, now: Instant) -> Option<f64> {
        let began_at = self.began_at?;
        if known > 1 && now.saturating_duration_since(began_at) < SETTLING_TIME {
            return None;
        }
        self.heard_at.retain(|_, at| now.saturating_duration_since(*at) < PRESENCE_WINDOW);
        let present = self.heard_at.values().filter(|at| **at >= began_at).count() + 1;
        Some((present as f64 / known.max(1) as f64).min(1.0))
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::Tenure;

    /// Guards against two parts of a cut that both issue the whole limit.
    #[test]
    fn the_shares_of_both_parts_of_a_cut_add_up_to_one_within_a_second() {
        let start = Instant::now();
        let (mut former, mut new) = (Tenure::default(), Tenure::default());
        former.observe(true, start);
        for name in ["b", "c", "new"] {
            former.hear(name, start);
            new.hear(name, start);
        }
        let settled = start + Duration::from_millis(100);
        assert_eq!(former.share(4, settled), Some(1.0));
        let cut = start + Duration::from_millis(500);
        assert!(new.decide(cut), "it asks the others");
        assert_eq!(new.share(4, cut), None);
        new.hear("c", cut + Duration::from_millis(2));
        let settled = cut + Duration::from_millis(100);
        assert_eq!(new.share(4, settled), Some(0.5), "only those that it has heard from since");
        let later = start + Duration::from_millis(1_200);
        former.hear("b", later);
        new.hear("c", later);
        assert_eq!((former.share(4, later), new.share(4, later)), (Some(0.5), Some(0.5)));
    }

    /// Guards against callers that are refused after a calm time, in which nothing was decided.
    #[test]
    fn a_coordinator_without_requests_keeps_its_share() {
        let start = Instant::now();
        let mut tenure = Tenure::default();
        for tenth in 0..100 {
            let now = start + Duration::from_millis(100 * tenth);
            tenure.observe(true, now);
            tenure.hear("b", now);
        }
        let now = start + Duration::from_secs(10);
        assert!(!tenure.decide(now));
        assert_eq!(tenure.share(2, now), Some(1.0));
    }
}
