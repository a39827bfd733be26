//! Schedule of KV transfers on the link of a server.

use std::time::{Duration, Instant};

use magnoliaspar_core::JobKey;

/// The time past its expected end for which a transfer still counts as using the link.
const STALL_GRACE: Duration = Duration::from_millis(250);

/// The time past its expected end after which a transfer marks its servers as unresponsive.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(100);

/// The time past its expected end after which a transfer no longer marks its servers.
const UNRESPONSIVE_UNTIL: Duration = Duration::from_secs(5);

/// The schedule of planned and running transfers on one server's link.
///
/// Concurrent transfers would delay each other, so each gets the full rate in its own window.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    windows: Vec<TransferWindow>,
}

#[derive(Debug, Clone, Copy)]
struct TransferWindow {
    start: Instant,
    end: Instant,
    job: JobKey,
    is_running: bool,
}

impl Link {
    /// Returns the earliest start at or after `from` at which a transfer of `duration` fits.
    ///
    /// Planned transfers that are late to start delay the ones after them.
    pub(crate) fn earliest_start(
        &self,
        now: Instant,
        from: Instant,
        duration: Duration,
    ) -> Instant {
        let mut start = from.max(now);
        let mut free_at = now;
        for window in &self.windows {
            let (window_start, end) = if window.is_running {
                (window.start, window.end)
            } else {
                let window_start = window.start.max(free_at);
                (window_start, window_start + (window.end - window.start))
            };
            if start + duration <= window_start {
                break;
            }
            start = start.max(end);
            free_at = free_at.max(end);
        }
        start
    }

    /// Plans a transfer.
    pub(crate) fn plan_transfer(&mut self, job: JobKey, start: Instant, duration: Duration) {
        self.insert(TransferWindow { start, end: start + duration, job, is_running: false });
    }

    /// Records that a transfer starts at `start`, which replaces the one planned for its job.
    pub(crate) fn start_transfer(&mut self, job: JobKey, start: Instant, duration: Duration) {
        self.remove_transfer(job);
        self.insert(TransferWindow { start, end: start + duration, job, is_running: true });
    }

    /// Removes the transfer of a job.
    pub(crate) fn remove_transfer(&mut self, job: JobKey) {
        self.windows.retain(|window| window.job != job);
    }

    /// Returns the expected end of the running transfers, if there are any.
    ///
    /// A transfer that is overdue by [`STALL_GRACE`] counts as stalled and doesn't block others.
    pub(crate) fn busy_until(&self, now: Instant) -> Option<Instant> {
        let mut until = None;
        for window in &self.windows {
            if window.is_running && window.end + STALL_GRACE > now {
                until = until.max(Some(window.end));
            }
        }
        until
    }

    /// Returns whether a transfer is so overdue that a server at one of its ends may be gone.
    pub(crate) fn is_unresponsive(&self, now: Instant) -> bool {
        for window in &self.windows {
            let overdue = now.saturating_duration_since(window.end);
            if window.is_running && overdue > UNRESPONSIVE_AFTER && overdue < UNRESPONSIVE_UNTIL {
                return true;
            }
        }
        false
    }

    /// Returns the number of planned and running transfers.
    pub(crate) fn transfer_count(&self) -> usize {
        self.windows.len()
    }

    fn insert(&mut self, window: TransferWindow) {
        let at = self.windows.partition_point(|other| other.start <= window.start);
        self.windows.insert(at, window);
    }
}

/// Returns the earliest start at or after `from` at which a transfer fits on both links.
pub(crate) fn earliest_common_start(
    a: &Link,
    b: &Link,
    now: Instant,
    from: Instant,
    duration: Duration,
) -> Instant {
    let mut start = from.max(now);
    // Each iteration skips at least one window of either link, which bounds their number.
    for _ in 0..=a.transfer_count() + b.transfer_count() {
        let next = b.earliest_start(now, a.earliest_start(now, start, duration), duration);
        if next == start {
            break;
        }
        start = next;
    }
    start
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::JobKey;
    use slotmap::SlotMap;

    use super::{Link, STALL_GRACE, earliest_common_start};

    const STEP: Duration = Duration::from_millis(100);

    fn keys() -> [JobKey; 2] {
        let mut jobs: SlotMap<JobKey, ()> = SlotMap::with_key();
        [jobs.insert(()), jobs.insert(())]
    }

    #[test]
    fn transfers_use_the_first_gap() {
        let [a, b] = keys();
        let now = Instant::now();
        let mut link = Link::default();
        link.plan_transfer(a, now + STEP, STEP);
        link.plan_transfer(b, now + 4 * STEP, STEP);
        assert_eq!(link.earliest_start(now, now, STEP), now);
        assert_eq!(link.earliest_start(now, now, 2 * STEP), now + 2 * STEP);
        assert_eq!(link.earliest_start(now, now, 3 * STEP), now + 5 * STEP);
        // A planned transfer that is late delays the next one.
        let later = now + 5 * STEP;
        assert_eq!(link.earliest_start(later, later, STEP), now + 7 * STEP);
        link.remove_transfer(a);
        assert_eq!(link.earliest_start(now, now, 3 * STEP), now);
    }

    #[test]
    fn a_transfer_fits_on_both_links() {
        let [a, b] = keys();
        let now = Instant::now();
        let (mut one, mut other) = (Link::default(), Link::default());
        one.plan_transfer(a, now, STEP);
        other.plan_transfer(b, now + 2 * STEP, STEP);
        assert_eq!(earliest_common_start(&one, &other, now, now, STEP), now + STEP);
        assert_eq!(earliest_common_start(&one, &other, now, now, 2 * STEP), now + 3 * STEP);
    }

    #[test]
    fn a_stalled_transfer_blocks_for_a_limited_time() {
        let [a, _] = keys();
        let now = Instant::now();
        let mut link = Link::default();
        link.start_transfer(a, now, STEP);
        assert_eq!(link.busy_until(now), Some(now + STEP));
        assert!(!link.is_unresponsive(now + STEP));
        assert!(link.is_unresponsive(now + STEP + STALL_GRACE));
        assert_eq!(link.busy_until(now + STEP + STALL_GRACE), None);
        assert_eq!(link.transfer_count(), 1);
    }
}
