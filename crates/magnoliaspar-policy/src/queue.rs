//! Fair queue of the jobs that wait for a prefill.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::{JobKey, WorkspaceKey, WorkspaceName};
use slotmap::SlotMap;

/// The divisor of the engine time of higher classes that each waiting class earns as credit.
///
/// Interactive jobs are served first and need no credit.
const LOWER_SHARES: [u64; CLASSES] = [1, 20, 40];

/// The credit in nanoseconds of engine time at which a lower class is served first.
const TURN: u64 = 1_000_000_000;

/// The number of workspaces from which idle ones that are not ahead of their share are removed.
const MAX_IDLE_WORKSPACES: usize = 4_096;

/// The waiting jobs, ordered by deadline within a workspace and fairly between workspaces.
///
/// Between workspaces the order is start-time fair queueing: every workspace has a virtual time
/// that advances by the engine time it is charged, divided by its share, and the workspace with
/// the lowest virtual time is served next.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    workspaces: SlotMap<WorkspaceKey, Workspace>,
    names: BTreeMap<WorkspaceName, WorkspaceKey>,
    classes: [BTreeSet<(u64, WorkspaceKey)>; CLASSES],
    lengths: BTreeSet<(usize, WorkspaceKey)>,
    len: usize,
    virtual_time: u64,
    /// The engine time in nanoseconds that each class has accumulated as credit.
    credits: [u64; CLASSES],
}

#[derive(Debug)]
struct Workspace {
    name: WorkspaceName,
    share: u64,
    virtual_time: u64,
    jobs: [BTreeSet<(Instant, JobKey)>; CLASSES],
    /// The number of jobs of the workspace that wait or run.
    members: usize,
}

/// The priority class of a job, the highest first.
///
/// A class is served after the higher ones, except for a small share that prevents starvation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    /// A person waits for the answer.
    Interactive,
    /// The job is deferrable and can still meet its target.
    Deferrable,
    /// The job is deferrable and has missed its target.
    Behind,
}

/// The number of priority classes.
const CLASSES: usize = 3;

/// The position of a job in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Ticket {
    /// The workspace of the job.
    pub(crate) workspace: WorkspaceKey,
    /// The priority class of the job.
    pub(crate) class: Class,
    /// The time by which the job is ordered within its workspace.
    pub(crate) order_at: Instant,
}

impl Queue {
    /// Registers a new job of a workspace, and updates the workspace's share.
    pub(crate) fn enter(&mut self, name: &WorkspaceName, share: u32) -> WorkspaceKey {
        let key = match self.names.get(name) {
            Some(key) => *key,
            None => self.add_workspace(name),
        };
        let workspace = &mut self.workspaces[key];
        workspace.share = u64::from(share.max(1));
        workspace.members += 1;
        key
    }

    /// Unregisters a job that has ended.
    pub(crate) fn leave(&mut self, key: WorkspaceKey) {
        let Some(workspace) = self.workspaces.get_mut(key) else { return };
        workspace.members = workspace.members.saturating_sub(1);
        if workspace.members == 0 && workspace.virtual_time <= self.virtual_time {
            self.remove_workspace(key);
        }
    }

    /// Adds a job to the queue.
    pub(crate) fn push(&mut self, ticket: Ticket, job: JobKey) {
        let floor = self.virtual_time;
        self.rekey(ticket.workspace, |workspace| {
            if workspace.len() == 0 {
                workspace.virtual_time = workspace.virtual_time.max(floor);
            }
            workspace.jobs[ticket.class as usize].insert((ticket.order_at, job));
        });
    }

    /// Removes a job from the queue.
    pub(crate) fn remove(&mut self, ticket: Ticket, job: JobKey) {
        self.rekey(ticket.workspace, |workspace| {
            workspace.jobs[ticket.class as usize].remove(&(ticket.order_at, job));
        });
    }

    /// Returns the job that is served next, except for those in `skipped`.
    pub(crate) fn next(&self, skipped: &BTreeSet<JobKey>) -> Option<JobKey> {
        for class in self.order() {
            for (_, key) in &self.classes[class] {
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
    pub(crate) fn charge(&mut self, key: WorkspaceKey, class: Class, cost: Duration) {
        let cost = nanoseconds(cost);
        let class = class as usize;
        self.credits[class] = self.credits[class].saturating_sub(cost);
        for (lower, share) in LOWER_SHARES.iter().enumerate().skip(class + 1) {
            if self.classes[lower].is_empty() {
                self.credits[lower] = 0;
                continue;
            }
            self.credits[lower] += cost / share;
        }
        if let Some(workspace) = self.workspaces.get(key) {
            self.virtual_time = self.virtual_time.max(workspace.virtual_time);
        }
        self.rekey(key, |workspace| workspace.virtual_time += cost / workspace.share);
    }

    /// Corrects an earlier charge of `charged` once the actual `cost` is known.
    pub(crate) fn correct(&mut self, key: WorkspaceKey, charged: Duration, cost: Duration) {
        let (charged, cost) = (nanoseconds(charged), nanoseconds(cost));
        self.rekey(key, |workspace| {
            let more = cost.saturating_sub(charged) / workspace.share;
            let less = charged.saturating_sub(cost) / workspace.share;
            workspace.virtual_time = (workspace.virtual_time + more).saturating_sub(less);
        });
    }

    /// Returns the workspace with the most waiting jobs, and their number.
    pub(crate) fn longest(&self) -> Option<(WorkspaceKey, usize)> {
        self.lengths.last().map(|(len, key)| (*key, *len))
    }

    /// Returns the job of a workspace that would be served last.
    pub(crate) fn last_of(&self, key: WorkspaceKey) -> Option<JobKey> {
        let workspace = self.workspaces.get(key)?;
        for jobs in workspace.jobs.iter().rev() {
            if let Some((_, job)) = jobs.last() {
                return Some(*job);
            }
        }
        None
    }

    /// Returns the number of waiting jobs of a workspace.
    pub(crate) fn len_of(&self, key: WorkspaceKey) -> usize {
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
        if self.workspaces.len() >= MAX_IDLE_WORKSPACES {
            self.forget_idle();
        }
        let key = self.workspaces.insert(Workspace {
            name: name.clone(),
            share: 1,
            virtual_time: self.virtual_time,
            jobs: Default::default(),
            members: 0,
        });
        self.names.insert(name.clone(), key);
        key
    }

    fn forget_idle(&mut self) {
        let mut idle = Vec::new();
        for (key, workspace) in &self.workspaces {
            if workspace.members == 0 && workspace.virtual_time <= self.virtual_time {
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
    fn rekey(&mut self, key: WorkspaceKey, change: impl FnOnce(&mut Workspace)) {
        let Some(workspace) = self.workspaces.get_mut(key) else { return };
        let old = (workspace.virtual_time, workspace.len());
        let old_classes = workspace.classes();
        change(workspace);
        let new = (workspace.virtual_time, workspace.len());
        let classes = workspace.classes();
        if old.1 != new.1 {
            self.lengths.remove(&(old.1, key));
            if new.1 > 0 {
                self.lengths.insert((new.1, key));
            }
            self.len = self.len + new.1 - old.1;
        }
        if old.0 == new.0 && old_classes == classes {
            return;
        }
        for (class, order) in self.classes.iter_mut().enumerate() {
            if old_classes[class] {
                order.remove(&(old.0, key));
            }
            if classes[class] {
                order.insert((new.0, key));
            }
        }
    }

    /// Returns the indexes of the classes in the order in which they are served now.
    fn order(&self) -> [usize; CLASSES] {
        for class in 1..CLASSES {
            if self.credits[class] < TURN || self.classes[class].is_empty() {
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
    fn classes(&self) -> [bool; CLASSES] {
        let mut classes = [false; CLASSES];
        for (class, jobs) in self.jobs.iter().enumerate() {
            classes[class] = !jobs.is_empty();
        }
        classes
    }
}

fn nanoseconds(duration: Duration) -> u64 {
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

    use super::{Class, Queue, Ticket};

    struct Bench {
        queue: Queue,
        jobs: SlotMap<JobKey, Ticket>,
        start: Instant,
    }

    impl Bench {
        fn new() -> Self {
            Self { queue: Queue::default(), jobs: SlotMap::with_key(), start: Instant::now() }
        }

        fn workspace(&mut self, name: &str, share: u32) -> WorkspaceKey {
            self.queue.enter(&WorkspaceName::try_from(name).unwrap(), share)
        }

        fn push(&mut self, workspace: WorkspaceKey, class: Class, due: u64) -> JobKey {
            let order_at = self.start + Duration::from_millis(due);
            let ticket = Ticket { workspace, class, order_at };
            let job = self.jobs.insert(ticket);
            self.queue.push(ticket, job);
            job
        }

        fn serve(&mut self, cost: Duration) -> Option<(JobKey, WorkspaceKey)> {
            let job = self.queue.next(&BTreeSet::new())?;
            let ticket = self.jobs[job];
            self.queue.remove(ticket, job);
            self.queue.charge(ticket.workspace, ticket.class, cost);
            Some((job, ticket.workspace))
        }
    }

    #[test]
    fn the_earliest_deadline_goes_first_within_a_workspace() {
        let mut bench = Bench::new();
        let a = bench.workspace("a", 1);
        let late = bench.push(a, Class::Interactive, 30);
        let soon = bench.push(a, Class::Interactive, 10);
        let batch = bench.push(a, Class::Deferrable, 1);
        let cost = Duration::from_millis(10);
        let mut order = Vec::new();
        while let Some((job, _)) = bench.serve(cost) {
            order.push(job);
        }
        assert_eq!(order, [soon, late, batch]);
        assert_eq!(bench.queue.len(), 0);
    }

    #[test]
    fn lower_classes_are_not_starved() {
        let mut bench = Bench::new();
        let a = bench.workspace("a", 1);
        let mut served = [0; 3];
        for n in 0..1_000 {
            for class in [Class::Interactive, Class::Deferrable, Class::Behind] {
                bench.push(a, class, n);
            }
            let (job, _) = bench.serve(Duration::from_millis(500)).unwrap();
            served[bench.jobs[job].class as usize] += 1;
        }
        // Each lower class gets its share of the engine time that higher classes use.
        assert!((40..=50).contains(&served[1]), "{served:?}");
        assert!((20..=25).contains(&served[2]), "{served:?}");
    }

    #[test]
    fn a_workspace_that_was_idle_gets_no_credit_for_it() {
        let mut bench = Bench::new();
        let (a, b) = (bench.workspace("a", 1), bench.workspace("b", 1));
        for n in 0..100 {
            bench.push(a, Class::Interactive, n);
        }
        for _ in 0..50 {
            bench.serve(Duration::from_millis(100));
        }
        for n in 0..50 {
            bench.push(b, Class::Interactive, n);
        }
        let mut of_b = 0;
        for _ in 0..20 {
            let (_, workspace) = bench.serve(Duration::from_millis(100)).unwrap();
            of_b += usize::from(workspace == b);
        }
        assert!((9..=11).contains(&of_b), "{of_b}");
    }

    #[test]
    fn corrections_settle_what_a_job_cost() {
        let mut bench = Bench::new();
        let (a, b) = (bench.workspace("a", 1), bench.workspace("b", 1));
        for n in 0..10 {
            bench.push(a, Class::Interactive, n);
            bench.push(b, Class::Interactive, n);
        }
        let (_, first) = bench.serve(Duration::from_millis(10)).unwrap();
        bench.queue.correct(first, Duration::from_millis(10), Duration::from_millis(35));
        let other = if first == a { b } else { a };
        for _ in 0..3 {
            assert_eq!(bench.serve(Duration::from_millis(10)).unwrap().1, other);
        }
    }

    #[test]
    fn workspaces_without_jobs_are_forgotten() {
        let mut bench = Bench::new();
        for n in 0..100 {
            let key = bench.workspace(&format!("w{n}"), 1);
            bench.queue.leave(key);
        }
        assert_eq!(bench.queue.workspaces(), 0);
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
            let mut bench = Bench::new();
            let mut keys = Vec::new();
            for (n, share) in shares.iter().enumerate() {
                let key = bench.workspace(&format!("w{n}"), *share);
                for due in 0..200 {
                    bench.push(key, Class::Interactive, due);
                }
                keys.push(key);
            }
            let mut used = vec![0.0; keys.len()];
            for cost in costs {
                let (_, key) = bench.serve(Duration::from_millis(cost)).unwrap();
                let at = keys.iter().position(|other| *other == key).unwrap();
                used[at] += cost as f64 / f64::from(shares[at]);
            }
            let most = used.iter().copied().fold(f64::MIN, f64::max);
            let least = used.iter().copied().fold(f64::MAX, f64::min);
            prop_assert!(most - least <= 400.0, "{used:?}");
        }
    }
}
