//! History of ended grants, for comparison with delayed load reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The maximum age of ended grants. No report is expected to be older.
const MAX_AGE: Duration = Duration::from_secs(10);

/// The maximum number of ended grants in a history.
const MAX_LEN: usize = 512;

/// The grants that have ended recently, which a delayed load report may still include.
#[derive(Debug, Default)]
pub(crate) struct History {
    ended: VecDeque<EndedGrant>,
}

#[derive(Debug, Clone, Copy)]
struct EndedGrant {
    granted_at: Instant,
    ended_at: Instant,
    amount: u32,
}

impl History {
    /// Records a grant of `amount` that ends now.
    pub(crate) fn record_end(&mut self, now: Instant, granted_at: Instant, amount: u32) {
        while self.ended.front().is_some_and(|first| first.ended_at + MAX_AGE < now) {
            self.ended.pop_front();
        }
        if self.ended.len() == MAX_LEN {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedGrant { granted_at, ended_at: now, amount });
    }

    /// Returns the sum of the ended grants that were active at a time in the past.
    pub(crate) fn amount_at(&self, at: Instant) -> u32 {
        let mut sum = 0;
        for ended in self.ended.iter().rev() {
            if ended.ended_at <= at {
                break;
            }
            if ended.granted_at <= at {
                sum += ended.amount;
            }
        }
        sum
    }

    /// Returns the number of ended grants that were active at a time in the past.
    pub(crate) fn count_at(&self, at: Instant) -> u32 {
        let mut count = 0;
        for ended in self.ended.iter().rev() {
            if ended.ended_at <= at {
                break;
            }
            count += u32::from(ended.granted_at <= at);
        }
        count
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{History, MAX_LEN};

    #[test]
    fn a_time_in_the_past_is_reconstructed() {
        let start = Instant::now();
        let at = |n| start + Duration::from_millis(n);
        let mut history = History::default();
        history.record_end(at(10), at(0), 5);
        history.record_end(at(30), at(20), 7);
        assert_eq!(history.amount_at(at(5)), 5);
        assert_eq!(history.amount_at(at(15)), 0);
        assert_eq!(history.amount_at(at(25)), 7);
        assert_eq!(history.count_at(at(25)), 1);
        assert_eq!(history.amount_at(at(30)), 0);
    }

    #[test]
    fn memory_is_bounded() {
        let now = Instant::now();
        let mut history = History::default();
        for _ in 0..10_000 {
            history.record_end(now, now, 1);
        }
        assert_eq!(history.ended.len(), MAX_LEN);
        history.record_end(now + Duration::from_secs(60), now, 1);
        assert_eq!(history.ended.len(), 1);
    }
}
