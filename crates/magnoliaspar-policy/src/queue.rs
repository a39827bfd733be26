//! Fair queue of the jobs that wait for a prefill.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, WorkspaceKey, WorkspaceName};
use slotmap::SlotMap;

/// The divisors by which a waiting class earns credit from the engine time of higher classes.
///
/// With a divisor of 20, a class earns 1 s of credit for each 20 s of engine time that higher
/// classes are charged. Interactive jobs are served first and need no credit.
const CREDIT_DIVISORS: [u64; CLASS_COUNT] = [1, 20, 40];

/// The credit in nanoseconds of engine time at which a lower class is served first.
const CREDIT_THRESHOLD_NS: u64 = 1_000_000_000;

/// The number of workspaces at which idle ones that have not exceeded their share are removed.
const IDLE_CLEANUP_THRESHOLD: usize = 4_096;

/// The waiting jobs, ordered by deadline within a workspace and fairly between workspaces.
///
/// Between workspaces the order is start-time fair queueing: every workspace has a virtual time
/// that advances by the engine time it is charged, divided by its share, and the workspace with
/// the lowest virtual time is served next.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    workspaces: SlotMap<WorkspaceKey, Workspace>,
    names: BTreeMap<WorkspaceName, WorkspaceKey>,
    /// For each class, the workspaces with waiting jobs, ordered by virtual time.
    by_class: [BTreeSet<(u64, WorkspaceKey)>; CLASS_COUNT],
    /// The workspaces with waiting jobs, ordered by the number of these jobs.
    by_length: BTreeSet<(usize, WorkspaceKey)>,
    len: usize,
    /// The highest virtual time of a workspace that was served, in nanoseconds.
    virtual_time: u64,
    /// The engine time in nanoseconds that each class has accumulated as credit.
    credits: [u64; CLASS_COUNT],
}

#[derive(Debug)]
struct Workspace {
    name: WorkspaceName,
    share: u64,
    /// The charged engine time divided by the share, in nanoseconds.
    virtual_time: u64,
    /// The waiting jobs of each class, in the order in which they are served.
    jobs: [BTreeSet<(Instant, JobKey)>; CLASS_COUNT],
    /// The number of jobs of the workspace that wait or run.
    active_jobs: usize,
}

/// The priority class of a job, the highest first.
///
/// A class is served after the higher ones, except for a small share that prevents starvation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PriorityClass {
    /// A person waits for the answer.
    Interactive,
    /// The job is deferrable and can still meet its target.
    Deferrable,
    /// The job is deferrable and has missed its target.
    PastTarget,
}

/// The number of priority classes.
const CLASS_COUNT: usize = 3;

/// The position of a job in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QueueEntry {
    /// The workspace of the job.
    pub(crate) workspace: WorkspaceKey,
    /// The priority class of the job.
    pub(crate) class: PriorityClass,
    /// The time by which the job is ordered within its workspace.
    pub(crate) order_at: Instant,
}

impl Queue {
    /// Registers a new job of a workspace, and updates the workspace's share.
    pub(crate) fn register_job(&mut self, name: &WorkspaceName, share: u32) -> WorkspaceKey {
        let key = match self.names.get(name) {
            Some(key) => *key,
            None => self.add_workspace(name),
        };
        let workspace = &mut self.workspaces[key];
        workspace.share = u64::from(share.max(1));
        workspace.active_jobs += 1;
        key
    }

    /// Unregisters a job that has ended.
    pub(crate) fn unregister_job(&mut self, key: WorkspaceKey) {
        let Some(workspace) = self.workspaces.get_mut(key) else { return };
        workspace.active_jobs = workspace.active_jobs.saturating_sub(1);
        if workspace.active_jobs == 0 && workspace.virtual_time <= self.virtual_time {
            self.remove_workspace(key);
        }
    }

    /// Adds a job to the queue.
    pub(crate) fn push(&mut self, entry: QueueEntry, job: JobKey) {
        let min_virtual_time = self.virtual_time;
        self.update_workspace(entry.workspace, |workspace| {
            if workspace.len() == 0 {
                workspace.virtual_time = workspace.virtual_time.max(min_virtual_time);
            }
            workspace.jobs[entry.class as usize].insert((entry.order_at, job));
        });
    }

    /// Removes a job from the queue.
    pub(crate) fn remove(&mut self, entry: QueueEntry, job: JobKey) {
        self.update_workspace(entry.workspace, |workspace| {
            workspace.jobs[entry.class as usize].remove(&(entry.order_at, job));
        });
    }

    /// Returns the job that is served next, except for those in `skipped`.
    pub(crate) fn next(&self, skipped: &BTreeSet<JobKey>) -> Option<JobKey> {
        for class in self.class_order() {
            for (_, key) in &self.by_class[class] {
                for (_, job) in &self.workspaces[*key].jobs[class] {
                    if !skipped.contains(job) {
                        return Some(*job);
                    }
                }
            }
        }
        None
    }

    /// Charges a workspace for the engine time of a job that starts.
    pub(crate) fn charge(&mut self, key: WorkspaceKey, class: PriorityClass, cost: Duration) {
        let cost = saturating_nanos(cost);
        let class = class as usize;
        self.credits[class] = self.credits[class].saturating_sub(cost);
        for (lower, divisor) in CREDIT_DIVISORS.iter().enumerate().skip(class + 1) {
            if self.by_class[lower].is_empty() {
                self.credits[lower] = 0;
                continue;
            }
            self.credits[lower] += cost / divisor;
        }
        if let Some(workspace) = self.workspaces.get(key) {
            self.virtual_time = self.virtual_time.max(workspace.virtual_time);
        }
        self.update_workspace(key, |workspace| workspace.virtual_time += cost / workspace.share);
    }

    /// Corrects an earlier charge of `charged` once the actual `cost` is known.
    pub(crate) fn adjust_charge(&mut self, key: WorkspaceKey, charged: Duration, cost: Duration) {
        let (charged, cost) = (saturating_nanos(charged), saturating_nanos(cost));
        self.update_workspace(key, |workspace| {
            let increase = cost.saturating_sub(charged) / workspace.share;
            let decrease = charged.saturating_sub(cost) / workspace.share;
            workspace.virtual_time = (workspace.virtual_time + increase).saturating_sub(decrease);
        });
    }

    /// Returns the workspace with the most waiting jobs, and their number.
    pub(crate) fn longest_backlog(&self) -> Option<(WorkspaceKey, usize)> {
        self.by_length.last().map(|(len, key)| (*key, *len))
    }

    /// Returns the job of a workspace that would be served last.
    pub(crate) fn last_job_of(&self, key: WorkspaceKey) -> Option<JobKey> {
        let workspace = self.workspaces.get(key)?;
        for jobs in workspace.jobs.iter().rev() {
            if let Some((_, job)) = jobs.last() {
                return Some(*job);
            }
        }
        None
    }

    /// Returns the number of waiting jobs of a workspace.
    pub(crate) fn workspace_len(&self, key: WorkspaceKey) -> usize {
        self.workspaces.get(key).map_or(0, Workspace::len)
    }

    /// Returns the number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of known workspaces.
    #[cfg(test)]
    pub(crate) fn workspaces(&self) -> usize {
        self.workspaces.len()
    }

    fn add_workspace(&mut self, name: &WorkspaceName) -> WorkspaceKey {
        if self.workspaces.len() >= IDLE_CLEANUP_THRESHOLD {
            self.remove_idle_workspaces();
        }
        let key = self.workspaces.insert(Workspace {
            name: name.clone(),
            share: 1,
            virtual_time: self.virtual_time,
            jobs: Default::default(),
            active_jobs: 0,
        });
        self.names.insert(name.clone(), key);
        key
    }

    fn remove_idle_workspaces(&mut self) {
        let mut idle = Vec::new();
        for (key, workspace) in &self.workspaces {
            if workspace.active_jobs == 0 && workspace.virtual_time <= self.virtual_time {
                idle.push(key);
            }
        }
        for key in idle {
            self.remove_workspace(key);
        }
    }

    fn remove_workspace(&mut self, key: WorkspaceKey) {
        let Some(workspace) = self.workspaces.remove(key) else { return };
        self.names.remove(&workspace.name);
    }

    /// Changes a workspace and updates the indexes over workspaces.
    fn update_workspace(&mut self, key: WorkspaceKey, change: impl FnOnce(&mut Workspace)) {
        let Some(workspace) = self.workspaces.get_mut(key) else { return };
        let old = (workspace.virtual_time, workspace.len());
        let old_classes = workspace.waiting_classes();
        change(workspace);
        let new = (workspace.virtual_time, workspace.len());
        let classes = workspace.waiting_classes();
        if old.1 != new.1 {
            self.by_length.remove(&(old.1, key));
            if new.1 > 0 {
                self.by_length.insert((new.1, key));
            }
            self.len = self.len + new.1 - old.1;
        }
        if old.0 == new.0 && old_classes == classes {
            return;
        }
        for (class, order) in self.by_class.iter_mut().enumerate() {
            if old_classes[class] {
                order.remove(&(old.0, key));
            }
            if classes[class] {
                order.insert((new.0, key));
            }
        }
    }

    /// Returns the indexes of the classes in the order in which they are served now.
    fn class_order(&self) -> [usize; CLASS_COUNT] {
        for class in 1..CLASS_COUNT {
            if self.credits[class] < CREDIT_THRESHOLD_NS || self.by_class[class].is_empty() {
                continue;
            }
            let mut order = [0, 1, 2];
            order[..=class].rotate_right(1);
            return order;
        }
        [0, 1, 2]
    }
}

impl Workspace {
    fn len(&self) -> usize {
        let mut len = 0;
        for jobs in &self.jobs {
            len += jobs.len();
        }
        len
    }

    /// Returns for each class whether the workspace has waiting jobs in it.
    fn waiting_classes(&self) -> [bool; CLASS_COUNT] {
        let mut classes = [false; CLASS_COUNT];
        for (class, jobs) in self.jobs.iter().enumerate() {
            classes[class] = !jobs.is_empty();
        }
        classes
    }
}

fn saturating_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX >> 8)
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;
    use std::time::{Duration, Instant};

    use magnoliaspar_core::{JobKey, WorkspaceKey, WorkspaceName};
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use slotmap::SlotMap;

    use super::{PriorityClass, Queue, QueueEntry};

    struct TestQueue {
        queue: Queue,
        jobs: SlotMap<JobKey, QueueEntry>,
        start: Instant,
    }

    impl TestQueue {
        fn new() -> Self {
            Self { queue: Queue::default(), jobs: SlotMap::with_key(), start: Instant::now() }
        }

        fn workspace(&mut self, name: &str, share: u32) -> WorkspaceKey {
            self.queue.register_job(&WorkspaceName::try_from(name).unwrap(), share)
        }

        fn push(&mut self, workspace: WorkspaceKey, class: PriorityClass, due_ms: u64) -> JobKey {
            let order_at = self.start + Duration::from_millis(due_ms);
            let entry = QueueEntry { workspace, class, order_at };
            let job = self.jobs.insert(entry);
            self.queue.push(entry, job);
            job
        }

        fn serve(&mut self, cost: Duration) -> Option<(JobKey, WorkspaceKey)> {
            let job = self.queue.next(&BTreeSet::new())?;
            let entry = self.jobs[job];
            self.queue.remove(entry, job);
            self.queue.charge(entry.workspace, entry.class, cost);
            Some((job, entry.workspace))
        }
    }

    #[test]
    fn the_earliest_deadline_is_served_first_within_a_workspace() {
        let mut test = TestQueue::new();
        let a = test.workspace("a", 1);
        let late = test.push(a, PriorityClass::Interactive, 30);
        let soon = test.push(a, PriorityClass::Interactive, 10);
        let batch = test.push(a, PriorityClass::Deferrable, 1);
        let cost = Duration::from_millis(10);
        let mut order = Vec::new();
        while let Some((job, _)) = test.serve(cost) {
            order.push(job);
        }
        assert_eq!(order, [soon, late, batch]);
        assert_eq!(test.queue.len(), 0);
    }

    #[test]
    fn lower_classes_are_not_starved() {
        let mut test = TestQueue::new();
        let a = test.workspace("a", 1);
        let mut served = [0; 3];
        for n in 0..1_000 {
            for class in
                [PriorityClass::Interactive, PriorityClass::Deferrable, PriorityClass::PastTarget]
            {
                test.push(a, class, n);
            }
            let (job, _) = test.serve(Duration::from_millis(500)).unwrap();
            served[test.jobs[job].class as usize] += 1;
        }
        // Each lower class gets its share of the engine time that higher classes use.
        assert!((40..=50).contains(&served[1]), "{served:?}");
        assert!((20..=25).contains(&served[2]), "{served:?}");
    }

    #[test]
    fn a_workspace_that_was_idle_gets_no_credit_for_it() {
        let mut test = TestQueue::new();
        let (a, b) = (test.workspace("a", 1), test.workspace("b", 1));
        for n in 0..100 {
            test.push(a, PriorityClass::Interactive, n);
        }
        for _ in 0..50 {
            test.serve(Duration::from_millis(100));
        }
        for n in 0..50 {
            test.push(b, PriorityClass::Interactive, n);
        }
        let mut of_b = 0;
        for _ in 0..20 {
            let (_, workspace) = test.serve(Duration::from_millis(100)).unwrap();
            of_b += usize::from(workspace == b);
        }
        assert!((9..=11).contains(&of_b), "{of_b}");
    }

    #[test]
    fn adjustments_charge_the_actual_cost_of_a_job() {
        let mut test = TestQueue::new();
        let (a, b) = (test.workspace("a", 1), test.workspace("b", 1));
        for n in 0..10 {
            test.push(a, PriorityClass::Interactive, n);
            test.push(b, PriorityClass::Interactive, n);
        }
        let (_, first) = test.serve(Duration::from_millis(10)).unwrap();
        test.queue.adjust_charge(first, Duration::from_millis(10), Duration::from_millis(35));
        let other = if first == a { b } else { a };
        for _ in 0..3 {
            assert_eq!(test.serve(Duration::from_millis(10)).unwrap().1, other);
        }
    }

    #[test]
    fn workspaces_without_jobs_are_removed() {
        let mut test = TestQueue::new();
        for n in 0..100 {
            let key = test.workspace(&format!("w{n}"), 1);
            test.queue.unregister_job(key);
        }
        assert_eq!(test.queue.workspaces(), 0);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 64,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(17),
            ..ProptestConfig::default()
        })]

        /// The engine time per unit of share never differs between backlogged workspaces by more
        /// than two of the largest jobs.
        #[test]
        fn engine_time_follows_the_shares(
            shares in prop::collection::vec(1u32..5, 2..6),
            costs in prop::collection::vec(1u64..200, 50..200),
        ) {
            let mut test = TestQueue::new();
            let mut keys = Vec::new();
            for (n, share) in shares.iter().enumerate() {
                let key = test.workspace(&format!("w{n}"), *share);
                for due_ms in 0..200 {
                    test.push(key, PriorityClass::Interactive, due_ms);
                }
                keys.push(key);
            }
            let mut used = vec![0.0; keys.len()];
            for cost in costs {
                let (_, key) = test.serve(Duration::from_millis(cost)).unwrap();
                let at = keys.iter().position(|other| *other == key).unwrap();
                used[at] += cost as f64 / f64::from(shares[at]);
            }
            let most = used.iter().copied().fold(f64::MIN, f64::max);
            let least = used.iter().copied().fold(f64::MAX, f64::min);
            prop_assert!(most - least <= 400.0, "{used:?}");
        }
    }
}
