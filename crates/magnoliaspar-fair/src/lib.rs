//! Order of waiting requests by priority and fairly between workspaces, without any I/O.
//!
//! Between the workspaces of a priority the order is start-time fair queueing in tokens. The caller keeps the
//! waiting requests, serves the one with the lowest [`Rank`], and reports what it has served.

use std::collections::BTreeMap;

use magnoliaspar_core::WorkspaceName;

/// A waiting priority is served after this many others have been served while it waited, so that it gets one in 20.
const MAX_PASSED_OVER: u32 = 19;

/// Order of service between priorities and workspaces.
///
/// `P` is the priority; the lowest one goes first.
#[derive(Debug, Clone)]
pub struct FairOrder<P> {
    levels: BTreeMap<P, Level>,
    weights: BTreeMap<WorkspaceName, u32>,
}

/// The workspaces of one priority.
#[derive(Debug, Clone, Default)]
struct Level {
    /// Start tag of the last request that was served, in tokens.
    virtual_time: u64,
    /// Finish tags of the workspaces that are ahead of the virtual time. `None` stands for requests without a workspace.
    finish_tags: BTreeMap<Option<WorkspaceName>, u64>,
    /// Requests of other priorities that were served while requests of this one waited.
    passed_over: u32,
}

impl Level {
    fn start_tag(&self, workspace: &Option<WorkspaceName>) -> u64 {
        self.finish_tags.get(workspace).copied().unwrap_or_default().max(self.virtual_time)
    }
}

/// A request in the order of service.
#[derive(Debug, Clone, Copy)]
pub struct Entry<'a, P> {
    /// The priority.
    pub priority: P,
    /// The workspace of the caller; `None` for an anonymous one.
    pub workspace: &'a Option<WorkspaceName>,
    /// Whether the request can still be in time if it is served now.
    pub is_in_time: bool,
}

/// Position of a waiting request in the order; the lowest one is served first.
///
/// Ranks are valid until the next request is charged. Requests with equal ranks are of workspaces that are equally
/// entitled; their order is for the caller to decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank<P> {
    /// Zero for a priority whose share is due, more for all others.
    due: u32,
    priority: P,
    is_late: bool,
    start_tag: u64,
}

impl<P> Default for FairOrder<P> {
    fn default() -> Self {
        Self { levels: BTreeMap::new(), weights: BTreeMap::new() }
    }
}

impl<P: Copy + Ord> FairOrder<P> {
    /// Sets the share of a workspace relative to others, which have a weight of 1.
    pub fn set_weight(&mut self, workspace: WorkspaceName, weight: u32) {
        self.weights.insert(workspace, weight.max(1));
    }

    /// Returns the position of a waiting request.
    pub fn rank(&self, entry: Entry<'_, P>) -> Rank<P> {
        self.rank_behind(entry, 0)
    }

    /// Returns the position of a waiting request once its workspace has been charged with `tokens` more.
    pub fn rank_behind(&self, entry: Entry<'_, P>, tokens: u64) -> Rank<P> {
        let Entry { priority, workspace, is_in_time } = entry;
        let level = self.levels.get(&priority);
        let passed_over = level.map_or(0, |level| level.passed_over);
        // Of several priorities whose share is due, the one that has been passed over most often goes first.
        let due = match passed_over < MAX_PASSED_OVER {
            true => u32::MAX,
            false => u32::MAX - passed_over,
        };
        let start_tag = level.map_or(0, |level| level.start_tag(workspace));
        let start_tag = start_tag.saturating_add(tokens / self.weight(workspace));
        Rank { due, priority, is_late: !is_in_time, start_tag }
    }

    /// Charges the workspace of a request that is served now with `cost` tokens.
    ///
    /// `waiting` are the priorities of the requests that keep waiting; repetitions are allowed.
    pub fn charge(
        &mut self,
        priority: P,
        workspace: &Option<WorkspaceName>,
        cost: u64,
        waiting: impl IntoIterator<Item = P>,
    ) {
        let weight = self.weight(workspace);
        let level = self.levels.entry(priority).or_default();
        let start_tag = level.start_tag(workspace);
        let finish_tag = start_tag.saturating_add(cost / weight);
        // A workspace that was idle starts here, and gains nothing from the time before.
        level.virtual_time = start_tag;
        level.finish_tags.insert(workspace.clone(), finish_tag);
        level.finish_tags.retain(|_, tag| *tag > start_tag);
        self.count_passed_over(priority, waiting);
    }

    fn weight(&self, workspace: &Option<WorkspaceName>) -> u64 {
        let weight = workspace.as_ref().and_then(|name| self.weights.get(name));
        u64::from(weight.copied().unwrap_or(1))
    }

    fn count_passed_over(&mut self, served: P, waiting: impl IntoIterator<Item = P>) {
        let mut before = BTreeMap::new();
        for (priority, level) in &mut self.levels {
            before.insert(*priority, std::mem::take(&mut level.passed_over));
        }
        for priority in waiting {
            let passed_over = before.get(&priority).copied().unwrap_or_default();
            let passed_over = match priority == served {
                true => passed_over.saturating_sub(MAX_PASSED_OVER),
                false => passed_over.saturating_add(1),
            };
            self.levels.entry(priority).or_default().passed_over = passed_over;
        }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use magnoliaspar_core::WorkspaceName;

    use super::{Entry, FairOrder};

    type Workspace = Option<WorkspaceName>;

    fn workspace(number: usize) -> Workspace {
        Some(WorkspaceName::try_from(&*format!("workspace-{number}")).unwrap())
    }

    /// A waiting request: its priority, its workspace and the step in which it arrived.
    type Waiting = (u8, usize, u32);

    /// Serves up to `rate` requests of 5,000 tokens a step, for `steps` steps in which `arrivals` come; a request leaves
    /// after 20 steps. Returns how many were served for each priority and workspace.
    fn play(steps: u32, rate: usize, arrivals: &[(u8, usize, u32)]) -> BTreeMap<(u8, usize), u32> {
        let names: Vec<Workspace> = (0..16).map(workspace).collect();
        let mut order = FairOrder::default();
        let mut waiting: Vec<Waiting> = Vec::new();
        let mut served = BTreeMap::new();
        for step in 0..steps {
            for (priority, number, count) in arrivals {
                waiting.extend((0..*count).map(|_| (*priority, *number, step)));
            }
            waiting.retain(|(.., arrived)| step - arrived < 20);
            for _ in 0..rate {
                let rank = |&(priority, number, arrived): &Waiting| {
                    let is_in_time = step - arrived < 8;
                    let entry = Entry { priority, workspace: &names[number], is_in_time };
                    (order.rank(entry), std::cmp::Reverse(arrived))
                };
                let next = (0..waiting.len()).min_by_key(|index| rank(&waiting[*index]));
                let Some(next) = next else { break };
                let (priority, number, _) = waiting.remove(next);
                let left = waiting.iter().map(|(priority, ..)| *priority);
                order.charge(priority, &names[number], 5_000, left);
                *served.entry((priority, number)).or_default() += 1;
            }
        }
        served
    }

    #[test]
    fn a_workspace_that_sends_six_times_its_usual_takes_nothing_from_others() {
        let usual: Vec<Waiting> = (0..16).map(|number| (0, number, 2)).collect();
        let mut crowded = usual.clone();
        crowded[0].2 = 12;
        // A few more places than the usual load needs, and a few less.
        for rate in [36, 30, 24] {
            let without = play(80, rate, &usual);
            let with = play(80, rate, &crowded);
            for number in 1..16 {
                let (without, with) = (without[&(0, number)], with[&(0, number)]);
                assert!(with * 10 >= without * 9, "{number} at {rate}: {with} of {without}");
            }
            assert!(with[&(0, 0)] * 10 >= without[&(0, 0)] * 9);
        }
    }

    #[test]
    fn no_waiting_priority_starves_and_the_first_one_gets_the_rest() {
        let arrivals: Vec<Waiting> =
            (0..4).map(|priority| (priority, usize::from(priority), 20)).collect();
        let served = play(100, 10, &arrivals);
        let share = |priority: u8| f64::from(served[&(priority, usize::from(priority))]) / 1_000.0;
        for lower in 1..4 {
            assert!((0.045..0.06).contains(&share(lower)), "{served:?}");
        }
        assert!(share(0) >= 0.82);
    }

    #[test]
    fn more_priorities_than_the_shares_allow_are_served_in_turn() {
        let arrivals: Vec<Waiting> =
            (0..40).map(|priority| (priority, usize::from(priority % 16), 3)).collect();
        let served = play(400, 3, &arrivals);
        for (priority, number, _) in arrivals {
            assert!(served[&(priority, number)] >= 20, "{served:?}");
        }
    }

    #[test]
    fn a_workspace_gains_nothing_from_having_been_idle() {
        let (busy, idle) = (workspace(0), workspace(1));
        let mut order = FairOrder::default();
        for _ in 0..100 {
            order.charge(0, &busy, 5_000, []);
        }
        let mut served = Vec::new();
        for _ in 0..10 {
            let rank = |workspace| order.rank(Entry { priority: 0, workspace, is_in_time: true });
            let is_idle = rank(&idle) < rank(&busy);
            order.charge(0, if is_idle { &idle } else { &busy }, 5_000, [0]);
            served.push(is_idle);
        }
        assert_eq!(served.iter().filter(|is_idle| **is_idle).count(), 5, "{served:?}");
    }

    #[test]
    fn a_request_that_can_be_in_time_goes_before_a_late_one_of_its_priority_only() {
        let order = FairOrder::default();
        let rank = |priority, is_in_time| {
            order.rank(Entry { priority, workspace: &workspace(0), is_in_time })
        };
        assert!(rank(0, true) < rank(0, false));
        assert!(rank(0, false) < rank(1, true));
    }

    #[test]
    fn a_workspace_of_twice_the_weight_gets_twice_as_much() {
        let names = [workspace(0), workspace(1)];
        let mut order = FairOrder::default();
        order.set_weight(names[0].clone().unwrap(), 2);
        let mut served = [0, 0];
        for _ in 0..300 {
            let rank = |index: &usize| {
                order.rank(Entry { priority: 0, workspace: &names[*index], is_in_time: true })
            };
            let next = [0, 1].into_iter().min_by_key(rank).unwrap();
            order.charge(0, &names[next], 5_000, [0]);
            served[next] += 1;
        }
        assert!((198..=202).contains(&served[0]), "{served:?}");
    }
}
