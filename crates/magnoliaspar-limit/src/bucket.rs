//! The token buckets of the workspaces.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_access::{TokenLimit, Workspace};
use magnoliaspar_core::WorkspaceName;

/// Units by which small requests may overdraw a bucket before they are refused, too.
///
/// They are let pass without a question, and large requests, which ask, leave nothing in the bucket of a workspace at
/// its limit.
const OVERDRAFT: f64 = 5_000.0;

/// Maximum time until a request fits that is told to a caller, for a limit that is close to zero.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Units that a bucket holds at most when an instance begins to decide, less a tenth of what it gains in a second.
///
/// The former coordinator may go on for a second without knowing of the new one, with a full bucket before that. The bound
/// leaves 0.9 of that second and 120,000 units, of which three quarters are for what passes unasked, single requests and a
/// second change of the coordinator.
const TAKEOVER_LEVEL: f64 = 30_000.0;

/// Time for which a workspace may be refused at most after it has used more than its limit.
const MAX_DEBT: Duration = Duration::from_secs(8);

/// The buckets of all limited workspaces.
#[derive(Debug, Default)]
pub struct Buckets {
    buckets: BTreeMap<WorkspaceName, Bucket>,
}

/// What a request needs of its workspace's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand<'a> {
    /// The workspace.
    pub workspace: &'a WorkspaceName,
    /// Units that the request counts as.
    pub cost: u64,
}

/// The bucket of one workspace.
///
/// A new bucket is empty: unknown earlier use was never more than what it would hold.
#[derive(Debug)]
struct Bucket {
    limit: TokenLimit,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(limit: TokenLimit, now: Instant) -> Self {
        Self { limit, level: 0.0, at: now }
    }

    /// Adds what the workspace has gained by a share of its limit, and returns the most that the bucket may hold.
    fn fill(&mut self, share: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let max = self.limit.burst * share;
        self.level = (self.level + elapsed * self.limit.per_second * share).min(max);
        self.at = self.at.max(now);
        max
    }

    /// Returns the time until the bucket holds so many units.
    fn wait_for(&self, units: f64, share: f64) -> Duration {
        let missing = units - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / (self.limit.per_second * share);
        Duration::try_from_secs_f64(seconds).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }
}

impl Bucket {
    /// Returns the time until small requests pass that do not ask.
    fn overdrawn_for(&mut self, share: f64, now: Instant) -> Duration {
        self.fill(share, now);
        // A limit of zero holds nothing and gains nothing.
        if self.limit.per_second <= 0.0 && self.level <= 0.0 {
            return MAX_WAIT;
        }
        self.wait_for(-OVERDRAFT * share, share)
    }
}

impl Buckets {
    /// Sets the limits of a configuration. What is left of a limit stays, up to the new burst.
    pub fn configure<'a>(
        &mut self,
        workspaces: impl IntoIterator<Item = &'a Workspace>,
        now: Instant,
    ) {
        let mut buckets = BTreeMap::new();
        for workspace in workspaces {
            let Some(limit) = workspace.limit else { continue };
            let mut bucket =
                self.buckets.remove(&workspace.name).unwrap_or_else(|| Bucket::new(limit, now));
            bucket.fill(1.0, now);
            bucket.limit = limit;
            bucket.level = bucket.level.min(limit.burst);
            buckets.insert(workspace.name.clone(), bucket);
        }
        self.buckets = buckets;
    }

    /// Returns the time until a request fits; zero if it fits now. `share` is the part of the limits that this instance
    /// issues.
    ///
    /// A request that is larger than a full bucket fits into one that is full, which then makes up for it.
    pub fn wait_for(&mut self, demand: Demand<'_>, share: f64, now: Instant) -> Duration {
        let Some(bucket) = self.buckets.get_mut(demand.workspace) else { return Duration::ZERO };
        let max = bucket.fill(share, now);
        bucket.wait_for(max.min(demand.cost as f64), share)
    }

    /// Charges a request, whether it fits or not.
    pub fn charge(&mut self, demand: Demand<'_>, share: f64, now: Instant) {
        let Some(bucket) = self.buckets.get_mut(demand.workspace) else { return };
        bucket.fill(share, now);
        let max_debt = bucket.limit.per_second * MAX_DEBT.as_secs_f64() + bucket.limit.burst;
        let lowest = -max_debt.max(demand.cost as f64);
        bucket.level = (bucket.level - demand.cost as f64).max(lowest);
    }

    /// Lowers the levels to what an instance may issue that begins to decide.
    pub fn take_over(&mut self, now: Instant) {
        for bucket in self.buckets.values_mut() {
            bucket.fill(1.0, now);
            let max = (TAKEOVER_LEVEL - 0.1 * bucket.limit.per_second).max(0.0);
            bucket.level = bucket.level.min(max);
        }
    }

    /// Lowers the level of a workspace to one that is used up for this time.
    pub fn lower(&mut self, workspace: &WorkspaceName, wait: Duration, share: f64, now: Instant) {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return };
        bucket.fill(share, now);
        let debt = bucket.limit.per_second * wait.min(MAX_DEBT).as_secs_f64();
        bucket.level = bucket.level.min((-OVERDRAFT - debt) * share);
    }

    /// Returns the time until requests of a workspace pass that do not ask; zero if they do.
    pub fn overdrawn_for(
        &mut self,
        workspace: &WorkspaceName,
        share: f64,
        now: Instant,
    ) -> Duration {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Duration::ZERO };
        bucket.overdrawn_for(share, now)
    }

    /// Returns the time in which a workspace gains what a request counts as, in seconds.
    pub fn seconds_of(&self, demand: Demand<'_>) -> f64 {
        let Some(bucket) = self.buckets.get(demand.workspace) else { return 0.0 };
        (demand.cost as f64 / bucket.limit.per_second.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Returns the workspaces whose limit is used up also for requests that do not ask, and the time until it is not.
    pub fn exhausted(&mut self, share: f64, now: Instant) -> Vec<(WorkspaceName, Duration)> {
        let mut exhausted = Vec::new();
        for (workspace, bucket) in &mut self.buckets {
            let wait = bucket.overdrawn_for(share, now);
            if !wait.is_zero() {
                exhausted.push((workspace.clone(), wait));
            }
        }
        exhausted
    }

    /// Returns whether no workspace has a limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns what the bucket of a workspace holds; negative if it is overdrawn, `None` without a limit.
    pub fn level(&self, workspace: &WorkspaceName) -> Option<f64> {
        self.buckets.get(workspace).map(|bucket| bucket.level)
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_access::{LimitUnit, TokenLimit, Workspace};
    use magnoliaspar_core::WorkspaceName;

    use super::{Buckets, Demand};

    fn workspace(per_second: f64, burst: f64) -> Workspace {
        Workspace {
            name: WorkspaceName::try_from("a").expect("the name is valid"),
            priority: None,
            limit: Some(TokenLimit { per_second, burst }),
            unit: LimitUnit::Tokens,
            plain_tokens: 200,
            keys: [].into(),
        }
    }

    /// Guards against a limit that no request fits into since it is smaller than one, and against the use that this
    /// would add.
    #[test]
    fn a_request_that_is_larger_than_the_burst_fits_and_is_made_up_for() {
        let start = Instant::now();
        let workspace = workspace(1_000.0, 1_000.0);
        let mut buckets = Buckets::default();
        buckets.configure([&workspace], start);
        let demand = Demand { workspace: &workspace.name, cost: 5_000 };
        assert_eq!(buckets.wait_for(demand, 1.0, start), Duration::from_secs(1));
        let later = start + Duration::from_secs(1);
        assert_eq!(buckets.wait_for(demand, 1.0, later), Duration::ZERO);
        buckets.charge(demand, 1.0, later);
        assert_eq!(buckets.wait_for(demand, 1.0, later), Duration::from_secs(5));
    }

    /// Guards against callers of short calls that are refused although the limit leaves room for them.
    #[test]
    fn large_requests_at_the_limit_do_not_shut_out_small_ones() {
        let start = Instant::now();
        let workspace = workspace(10_000.0, 10_000.0);
        let mut buckets = Buckets::default();
        buckets.configure([&workspace], start);
        let large = Demand { workspace: &workspace.name, cost: 6_000 };
        let small = Demand { workspace: &workspace.name, cost: 200 };
        for tenth in 10..200 {
            let now = start + Duration::from_millis(100 * tenth);
            if buckets.wait_for(large, 1.0, now).is_zero() {
                buckets.charge(large, 1.0, now);
            }
            assert!(buckets.exhausted(1.0, now).is_empty());
            buckets.charge(small, 1.0, now);
        }
    }

    /// Guards against a limit that is lowered and goes on as before.
    #[test]
    fn a_lower_limit_binds_at_once() {
        let start = Instant::now();
        let mut buckets = Buckets::default();
        buckets.configure([&workspace(10_000.0, 10_000.0)], start);
        let later = start + Duration::from_secs(5);
        let lowered = workspace(100.0, 100.0);
        buckets.configure([&lowered], later);
        assert_eq!(buckets.level(&lowered.name), Some(100.0));
    }
}
