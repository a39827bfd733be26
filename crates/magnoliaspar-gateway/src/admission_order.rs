//! The order in which waiting completions are admitted, and which of them wait in vain.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::WorkspaceName;
use magnoliaspar_fair::{Entry, FairOrder, Rank};

use crate::coordinator::{AdmissionRequest, START_LATENCY};
use crate::route::{Priority, ServiceName};

/// Maximum cost of a completion, in tokens. Callers may state any number, and one must not use up the range of the virtual
/// time.
const MAX_COST: u64 = 1_000_000;

/// A completion that waits for engines.
#[derive(Debug, Clone, Copy)]
pub struct Waiting<'a> {
    /// The request for admission.
    pub request: &'a AdmissionRequest,
    /// The time at which the completion arrived at its instance.
    pub arrived_at: Instant,
    /// The time at which it leaves the queue.
    pub expires_at: Instant,
}

impl Waiting<'_> {
    fn waited(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived_at)
    }

    fn is_in_time(&self, now: Instant) -> bool {
        self.waited(now) + START_LATENCY <= Duration::from_millis(self.request.target_ms)
    }

    /// Returns the order among completions of equally entitled workspaces: the newest that can still be in time, then
    /// the oldest of the others. In a burst, the order of arrival would delay all until none is in time.
    fn tie_break(&self, now: Instant) -> i128 {
        let waited_us = self.waited(now).as_micros() as i128;
        match !self.request.is_resumption && self.is_in_time(now) {
            true => waited_us,
            false => -waited_us,
        }
    }
}

/// Position of a waiting completion; the lowest one is admitted first. Resumptions have no rank, and come before all
/// others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    rank: Option<Rank<Priority>>,
    tie_break: i128,
}

/// The order of admission at a coordinator, by service.
#[derive(Debug, Default)]
pub struct AdmissionOrder {
    by_service: BTreeMap<ServiceName, FairOrder<Priority>>,
    /// Whether priorities and workspaces count. Without workspaces in the configuration, completions go by time only.
    pub has_workspaces: bool,
}

impl AdmissionOrder {
    /// Returns the position of a waiting completion among those of its service.
    pub fn position(&self, waiting: Waiting<'_>, now: Instant) -> Position {
        self.position_behind(waiting, 0, now)
    }

    /// Returns the position of a waiting completion once its workspace has used `tokens` more.
    fn position_behind(&self, waiting: Waiting<'_>, tokens: u64, now: Instant) -> Position {
        let Waiting { request, .. } = waiting;
        let tie_break = waiting.tie_break(now);
        if request.is_resumption {
            return Position { rank: None, tie_break };
        }
        let idle = FairOrder::default();
        let order = self.by_service.get(&request.service).unwrap_or(&idle);
        let (priority, workspace) = self.class(request);
        let entry = Entry { priority, workspace, is_in_time: waiting.is_in_time(now) };
        Position { rank: Some(order.rank_behind(entry, tokens)), tie_break }
    }

    /// Charges the workspace of a completion that is granted engines, while the completions of `waiting` keep waiting.
    pub fn charge<'a>(
        &mut self,
        request: &AdmissionRequest,
        waiting: impl IntoIterator<Item = &'a AdmissionRequest>,
    ) {
        if request.is_resumption {
            return;
        }
        let mut passed_over = Vec::new();
        for other in waiting {
            if other.service == request.service && !other.is_resumption {
                passed_over.push(self.class(other).0);
            }
        }
        let (priority, workspace) = self.class(request);
        let order = self.by_service.entry(request.service.clone()).or_default();
        order.charge(priority, workspace, cost(request), passed_over);
    }

    /// Returns those of the waiting completions of one service that would leave the queue before their turn.
    ///
    /// `rate` is the number of completions per second for which there is room. What stands before a completion in the
    /// order counts, and not what is refused itself.
    pub fn hopeless<K: Clone>(
        &self,
        waiting: &[(K, Waiting<'_>)],
        rate: f64,
        now: Instant,
    ) -> Vec<K> {
        let places = |waiting: &Waiting<'_>| {
            let left = waiting.expires_at.saturating_duration_since(now).as_secs_f64();
            likely_maximum(rate * left)
        };
        let least = waiting.iter().map(|(_, waiting)| places(waiting)).fold(f64::MAX, f64::min);
        if waiting.len() as f64 <= least {
            return Vec::new();
        }
        let mut hopeless = Vec::new();
        let mut ahead = 0_u32;
        for (key, waiting) in self.in_order(waiting, now) {
            let is_hopeless = f64::from(ahead) > places(&waiting);
            if is_hopeless && !waiting.request.is_resumption {
                hopeless.push(key);
                continue;
            }
            ahead += 1;
        }
        hopeless
    }

    /// Returns the waiting completions of one service in the order in which they would be admitted if no other one came.
    fn in_order<'a, K: Clone>(
        &self,
        waiting: &[(K, Waiting<'a>)],
        now: Instant,
    ) -> Vec<(K, Waiting<'a>)> {
        let mut own_order = waiting.to_vec();
        own_order.sort_by_key(|(_, waiting)| self.position(*waiting, now));
        let mut used: BTreeMap<(Priority, Option<WorkspaceName>), u64> = BTreeMap::new();
        let mut positions = Vec::new();
        for (key, waiting) in own_order {
            let (priority, workspace) = self.class(waiting.request);
            let used = used.entry((priority, workspace.clone())).or_default();
            positions.push((self.position_behind(waiting, *used, now), key, waiting));
            *used += cost(waiting.request);
        }
        positions.sort_by_key(|(position, ..)| *position);
        positions.into_iter().map(|(_, key, waiting)| (key, waiting)).collect()
    }

    /// Returns the priority and the workspace that count for a completion.
    fn class<'a>(&self, request: &'a AdmissionRequest) -> (Priority, &'a Option<WorkspaceName>) {
        match self.has_workspaces {
            true => (request.priority, &request.workspace),
            false => (Priority::default(), &None),
        }
    }
}

/// Returns how many completions may end in a time in which `mean` are expected to: two standard deviations more, and one
/// for a rate that is hardly known.
fn likely_maximum(mean: f64) -> f64 {
    mean + 2.0 * mean.sqrt() + 1.0
}

/// Returns what a completion uses of the engines, in tokens.
fn cost(request: &AdmissionRequest) -> u64 {
    request.prompt_tokens.saturating_add(request.expected_tokens).min(MAX_COST)
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::WorkspaceName;

    use super::{AdmissionOrder, Waiting};
    use crate::coordinator::AdmissionRequest;
    use crate::route::Priority;

    fn request(workspace: usize, priority: u8, tokens: u64) -> AdmissionRequest {
        AdmissionRequest {
            service: "engines".into(),
            zone: "a".into(),
            prompt_tokens: tokens,
            expected_tokens: 0,
            max_tokens: 0,
            is_resumption: false,
            waited_ms: 0,
            max_gap_ms: 0,
            target_ms: 800,
            limit_ms: 2_640,
            excluded: Vec::new(),
            only: Vec::new(),
            parts: Box::default(),
            part_tokens: Box::default(),
            has_crashed: false,
            workspace: WorkspaceName::try_from(&*format!("workspace-{workspace}")).ok(),
            priority: Priority { workspace: 0, route: priority },
            limit_cost: 0,
        }
    }

    /// A completion that arrived so many milliseconds after the start, at an instance where it may wait for 2,640 ms.
    fn waiting(request: &AdmissionRequest, start: Instant, arrived_ms: u64) -> Waiting<'_> {
        let arrived_at = start + Duration::from_millis(arrived_ms);
        Waiting { request, arrived_at, expires_at: arrived_at + Duration::from_millis(2_640) }
    }

    fn order(has_workspaces: bool) -> AdmissionOrder {
        AdmissionOrder { has_workspaces, ..AdmissionOrder::default() }
    }

    /// Returns the places of the completions in the order of admission.
    fn sorted(order: &AdmissionOrder, waiting: &[Waiting<'_>], now: Instant) -> Vec<usize> {
        let mut places: Vec<usize> = (0..waiting.len()).collect();
        places.sort_by_key(|place| order.position(waiting[*place], now));
        places
    }

    #[test]
    fn without_workspaces_in_the_configuration_only_time_counts() {
        let start = Instant::now();
        let now = start + Duration::from_millis(3_000);
        let mut requests: Vec<_> = (0..6).map(|n| request(n, 5 - n as u8, 5_000)).collect();
        requests[2].is_resumption = true;
        let arrived = [2_900, 400, 2_800, 2_700, 500, 2_980];
        let waiting: Vec<_> =
            requests.iter().zip(arrived).map(|(request, at)| waiting(request, start, at)).collect();
        let mut order = order(false);
        for _ in 0..30 {
            // Neither who was served nor which priority was passed over matters.
            order.charge(&requests[0], &requests);
        }
        assert_eq!(sorted(&order, &waiting, now), [2, 5, 0, 3, 1, 4]);
    }

    #[test]
    fn resumptions_go_first_then_priorities_and_inside_of_them_what_can_be_in_time() {
        let start = Instant::now();
        let now = start + Duration::from_millis(3_000);
        let requests = [
            request(0, 1, 5_000),
            request(0, 0, 5_000),
            request(0, 0, 5_000),
            request(0, 0, 5_000),
        ];
        let mut resumption = request(0, 1, 5_000);
        resumption.is_resumption = true;
        let waiting = [
            waiting(&requests[0], start, 2_990),
            waiting(&requests[1], start, 1_000),
            waiting(&requests[2], start, 2_800),
            waiting(&requests[3], start, 2_900),
            waiting(&resumption, start, 2_999),
        ];
        assert_eq!(sorted(&order(true), &waiting, now), [4, 3, 2, 1, 0]);
    }

    /// With three times as many as there is room for, an arrival used to be refused for those that waited in vain.
    #[test]
    fn an_arrival_that_goes_next_is_not_refused_for_those_that_come_after_it() {
        let start = Instant::now();
        let now = start + Duration::from_millis(2_500);
        let request = request(0, 0, 5_000);
        let mut queue: Vec<_> =
            (0..60).map(|n| (n, waiting(&request, start, 40 * n as u64))).collect();
        queue.push((60, waiting(&request, start, 2_500)));
        let hopeless = order(true).hopeless(&queue, 10.0, now);
        assert!(hopeless.len() >= 20, "{hopeless:?}");
        assert!(!hopeless.contains(&60));
        // What is left has its turn in time.
        queue.retain(|(n, _)| !hopeless.contains(n));
        assert!(order(true).hopeless(&queue, 10.0, now).is_empty());
    }

    #[test]
    fn the_completions_of_a_workspace_that_floods_the_queue_are_refused_and_no_others() {
        let start = Instant::now();
        let requests: Vec<_> = (0..4).map(|n| request(n, 0, 5_000)).collect();
        let mut queue = Vec::new();
        for n in 0..60 {
            queue.push((0, waiting(&requests[0], start, n)));
        }
        for (number, request) in requests.iter().enumerate().skip(1) {
            queue.push((number, waiting(request, start, 60)));
        }
        let now = start + Duration::from_millis(60);
        let hopeless = order(true).hopeless(&queue, 10.0, now);
        assert!((20..40).contains(&hopeless.len()), "{hopeless:?}");
        assert!(hopeless.iter().all(|workspace| *workspace == 0), "{hopeless:?}");
    }

    /// What became of the completions of a play.
    #[derive(Default)]
    struct Played {
        /// Completions that were admitted in time, by workspace.
        in_time: [u32; 16],
        /// Completions that came and that were admitted, of the largest tenth and of all.
        large: (u32, u32),
        all: (u32, u32),
    }

    /// Plays 20 s in steps of 10 ms: 16 workspaces send 30 completions a second, the first one `flood` times its usual from
    /// second 5 to 12, for engines that hold `room` tokens. A completion of `size` tokens holds them for 3 s.
    fn play(flood: u64, room: u64) -> Played {
        let start = Instant::now();
        let mut order = order(true);
        let mut waiters: Vec<(AdmissionRequest, u64)> = Vec::new();
        let mut running: Vec<(u64, u64)> = Vec::new();
        let mut played = Played::default();
        let mut arrivals = 0;
        for ms in (0..20_000).step_by(10) {
            let now = start + Duration::from_millis(ms);
            for number in 0..16 {
                let is_flooding = number == 0 && (5_000..12_000).contains(&ms);
                let period = 530 / if is_flooding { flood } else { 1 };
                if (ms + number * 33) % period < 10 {
                    arrivals += 1;
                    let size = if arrivals % 10 == 0 { 16_000 } else { 7_000 };
                    waiters.push((request(number as usize, 0, size), ms));
                    played.all.0 += 1;
                    played.large.0 += u32::from(size > 10_000);
                }
            }
            running.retain(|(ends, _)| ms < *ends);
            waiters.retain(|(_, arrived)| ms - arrived < 2_640);
            loop {
                let position = |place: &usize| {
                    let (request, arrived) = &waiters[*place];
                    order.position(waiting(request, start, *arrived), now)
                };
                let Some(next) = (0..waiters.len()).min_by_key(position) else { break };
                let tokens = waiters[next].0.prompt_tokens;
                let held: u64 = running.iter().map(|(_, tokens)| tokens).sum();
                if held + tokens > room {
                    break;
                }
                let (request, arrived) = waiters.remove(next);
                order.charge(&request, waiters.iter().map(|(request, _)| request));
                running.push((ms + 3_000, tokens));
                played.all.1 += 1;
                played.large.1 += u32::from(tokens > 10_000);
                if ms - arrived <= 550 {
                    let name: Box<str> = request.workspace.unwrap().into();
                    let number: usize = name.trim_start_matches("workspace-").parse().unwrap();
                    played.in_time[number] += 1;
                }
            }
        }
        played
    }

    #[test]
    fn a_workspace_that_sends_six_times_its_usual_delays_no_other_one() {
        // The usual load needs 720,000 tokens.
        for room in [800_000, 700_000] {
            let (without, with) = (play(1, room), play(6, room));
            for number in 1..16 {
                let (without, with) = (without.in_time[number], with.in_time[number]);
                assert!(with * 10 >= without * 9, "{number} at {room}: {with} of {without}");
            }
        }
    }

    #[test]
    fn the_largest_tenth_is_admitted_at_least_half_as_often_as_all() {
        let Played { large, all, .. } = play(6, 500_000);
        let share = |(came, admitted): (u32, u32)| f64::from(admitted) / f64::from(came);
        assert!(share(all) < 0.8, "the engines are full");
        assert!(share(large) > 0.5 * share(all), "{large:?} {all:?}");
    }
}
