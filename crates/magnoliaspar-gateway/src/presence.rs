//! How many instances there are, of which some may be cut off.

use std::time::{Duration, Instant};

/// Time for which the largest number of live instances counts at least. Instances that are cut off for
/// longer are taken for gone.
const KNOWN_WINDOW: Duration = Duration::from_secs(60);

/// The largest of recent numbers of live instances, each of which counts for one to two of
/// [`KNOWN_WINDOW`].
#[derive(Debug, Clone, Copy)]
pub struct RecentMaximum {
    window_start: Instant,
    current: usize,
    previous: usize,
}

impl RecentMaximum {
    /// Creates a maximum of one instance.
    pub fn new(now: Instant) -> Self {
        Self { window_start: now, current: 1, previous: 1 }
    }

    /// Adds a number of live instances.
    pub fn record(&mut self, live: usize, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= KNOWN_WINDOW {
            self.previous = if elapsed < 2 * KNOWN_WINDOW { self.current } else { 1 };
            self.current = 1;
            self.window_start = now;
        }
        self.current = self.current.max(live);
    }

    /// Returns the maximum.
    pub fn value(&self, now: Instant) -> usize {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < 2 * KNOWN_WINDOW { self.current.max(self.previous) } else { 1 }
    }

    /// Takes out an instance that has announced its end.
    pub fn forget_one(&mut self) {
        self.current = self.current.saturating_sub(1).max(1);
        self.previous = self.previous.saturating_sub(1).max(1);
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use crate::request_limit::{PermitBucket, RequestLimit};

    use super::RecentMaximum;

    const MS: Duration = Duration::from_millis(1);

    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn lost_instances_count_for_a_minute_or_two_and_stopped_ones_do_not() {
        let start = Instant::now();
        let mut known = RecentMaximum::new(start);
        known.record(9, start);
        for second in 1..=59 {
            known.record(2, start + second * SECOND);
            assert_eq!(known.value(start + second * SECOND), 9);
        }
        for second in 60..=180 {
            known.record(2, start + second * SECOND);
        }
        assert_eq!(known.value(start + 180 * SECOND), 2);
        known.record(9, start + 181 * SECOND);
        known.forget_one();
        assert_eq!(known.value(start + 181 * SECOND), 8);
    }

    /// Returns the permits that a side of a cut issues from second `from` on for `seconds`, at a limit of
    /// 9 a second for all instances.
    fn permits_of_side(present: usize, start: Instant, seconds: u32) -> usize {
        let mut known = RecentMaximum::new(start);
        known.record(9, start);
        let limit = RequestLimit::try_from(9.0).unwrap();
        let mut bucket = PermitBucket::default();
        let mut permits = 0;
        for tick in 0..seconds * 1_000 {
            let now = start + tick * MS;
            if tick % 1_000 == 0 {
                known.record(present, now);
            }
            let rate = limit.rate(present as f64 / known.value(now) as f64);
            if bucket.wait(rate, now).is_zero() {
                bucket.take(rate, now);
                permits += 1;
            }
        }
        permits
    }

    #[test]
    fn both_sides_of_a_cut_together_keep_to_the_limit() {
        let start = Instant::now();
        for sides in [&[8, 1][..], &[7, 2], &[5, 4], &[3, 3, 3], &[1; 9]] {
            let mut permits = 0;
            for present in sides {
                permits += permits_of_side(*present, start, 20);
            }
            assert!((170..=180).contains(&permits), "{sides:?}: {permits}");
        }
    }
}
