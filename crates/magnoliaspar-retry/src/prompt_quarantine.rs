//! Quarantine of prompts with parts that crash the engines that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::backoff::Backoff;
use crate::part::PartId;

/// Number of crashes after which a part is refused.
const CRASHES_TO_REFUSE: u32 = 3;

/// Minimum time between two crashes that count separately. Engines that crash together have one
/// cause, which need not be a request.
const CRASH_SPACING: Duration = Duration::from_millis(100);

/// Number of other completions that must have started since the first crash; without any, the
/// engines and not the part may be the cause.
const MIN_OTHER_STARTS: u32 = 1;

/// Maximum probability that all requests with a part crashed by chance, if they crash as often as
/// those without it.
const MAX_CHANCE: f64 = 1e-3;

/// Time after its last crash at which a part is no longer suspected.
const SUSPICION_TTL: Duration = Duration::from_secs(60);

/// Time for which a part is refused; it doubles each time that the part crashes an engine again.
const REFUSAL_BACKOFF: Backoff =
    Backoff { first: Duration::from_secs(30), longest: Duration::from_secs(3_600) };

/// Time for which one prompt is tried after a refusal has ended, before the next one.
const TRIAL_TIME: Duration = Duration::from_secs(3);

/// Maximum number of suspected parts.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of crashes to remember for each part.
const MAX_CRASHES: usize = 64;

/// Maximum number of refused combinations of parts.
const MAX_REFUSED: usize = 32;

/// Maximum number of parts of a refused combination, so that all of them fit into one heartbeat.
const MAX_COMBINED_PARTS: usize = 8;

/// Learns from crashes which parts of prompts crash the engines of one service, and refuses prompts
/// with them.
///
/// A crash speaks against the parts of each completion that had not started on the engine. A
/// completion that starts clears its parts: a part that crashes engines never lets one start. If
/// other parts were hit by all crashes of a part, only prompts with all of them are refused.
#[derive(Debug, Clone, Default)]
pub struct PromptQuarantine {
    suspects: BTreeMap<PartId, Suspect>,
    refused: BTreeMap<BTreeSet<PartId>, RefusedState>,
}

/// Identifies the crash of one process of an engine, which may hit several completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

/// Evidence against a part.
#[derive(Debug, Clone)]
struct Suspect {
    /// The crashes at which a request with the part had not started.
    crashes: BTreeSet<CrashId>,
    /// The number of these that count separately.
    separate_crashes: u32,
    last_crash: Instant,
    /// Completions without the part that have started since its first crash.
    other_starts: u32,
    /// The crashes since then at which only requests without the part had not started.
    other_crashes: BTreeSet<CrashId>,
}

/// State of a refused combination of parts.
#[derive(Debug, Clone, Copy)]
struct RefusedState {
    until: Instant,
    /// The end of the trial of one prompt, after the refusal has ended.
    trial_until: Option<Instant>,
    /// How often it was refused again after its time had passed.
    rounds: u32,
}

impl PromptQuarantine {
    /// Returns for how long prompts with these parts are still refused, if they are.
    pub fn refused_for(&self, now: Instant, parts: &[PartId]) -> Option<Duration> {
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        let mut longest = None;
        for (refused, state) in &self.refused {
            if now < state.until && refused.is_subset(&parts) {
                longest = longest.max(Some(state.until - now));
            }
        }
        longest
    }

    /// Returns whether a prompt with these parts may be tried although its refusal has ended without a
    /// start: one at a time, until one starts or crashes an engine.
    ///
    /// Only the instance that admits all prompts may call this, since it records the trial.
    pub fn allows_trial(&mut self, now: Instant, parts: &[PartId]) -> bool {
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        let ended = |(refused, state): &(&BTreeSet<PartId>, &mut RefusedState)| {
            now >= state.until && refused.is_subset(&parts)
        };
        let ended: Vec<_> = self.refused.iter_mut().filter(ended).map(|(_, state)| state).collect();
        if ended.iter().any(|state| state.trial_until.is_some_and(|until| now < until)) {
            return false;
        }
        for state in ended {
            state.trial_until = Some(now + TRIAL_TIME);
        }
        true
    }

    /// Returns whether requests with one of these parts were hit by several crashes, and none with it
    /// has started since.
    pub fn is_suspected(&self, now: Instant, parts: &[PartId]) -> bool {
        let suspects = parts.iter().filter_map(|part| self.suspects.get(part));
        let mut suspects = suspects.filter(|suspect| !suspect.is_expired(now));
        suspects.any(|suspect| suspect.crashes.len() > 1)
    }

    /// Records that an engine crashed before a completion with these parts had started on it.
    /// Returns the parts that are refused from now on, if any.
    pub fn record_crash(
        &mut self,
        now: Instant,
        crash: CrashId,
        parts: &[PartId],
    ) -> Option<BTreeSet<PartId>> {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        for (part, suspect) in &mut self.suspects {
            if !parts.contains(part) {
                suspect.add_other(crash);
            }
        }
        for part in &parts {
            self.suspects.entry(*part).or_insert_with(|| Suspect::new(now)).add(now, crash);
        }
        let refused = self.refused_again(now, &parts).or_else(|| self.find_culprits(crash, &parts));
        if let Some(refused) = &refused {
            self.refuse(now, refused.clone());
        }
        self.evict();
        refused
    }

    /// Records that a completion with these parts has started, which clears them.
    pub fn record_start(&mut self, parts: &[PartId]) {
        if self.suspects.is_empty() && self.refused.is_empty() {
            return;
        }
        for part in parts {
            self.suspects.remove(part);
        }
        for suspect in self.suspects.values_mut() {
            suspect.other_starts = suspect.other_starts.saturating_add(1);
        }
        let is_cleared =
            |refused: &BTreeSet<PartId>| parts.iter().any(|part| refused.contains(part));
        let cleared: Vec<_> =
            self.refused.extract_if(.., |refused, _| is_cleared(refused)).collect();
        for (mut refused, state) in cleared {
            for part in parts {
                refused.remove(part);
            }
            // The cause is among the parts that are left.
            if !refused.is_empty() {
                self.refused.insert(refused, state);
            }
        }
    }

    /// Adds a combination of parts that another instance refuses for `remaining`; returns whether it
    /// is new here.
    pub fn merge(&mut self, now: Instant, parts: BTreeSet<PartId>, remaining: Duration) -> bool {
        let until = now + remaining.min(REFUSAL_BACKOFF.longest);
        if parts.is_empty() || parts.len() > MAX_COMBINED_PARTS || remaining.is_zero() {
            return false;
        }
        let is_new = !self.refused.contains_key(&parts);
        let state = self.refused.entry(parts).or_insert(RefusedState {
            until,
            trial_until: None,
            rounds: 0,
        });
        state.until = state.until.max(until);
        self.evict();
        is_new
    }

    /// Returns the refused combinations of parts and the time for which they are still refused.
    pub fn refused(&self, now: Instant) -> Vec<(BTreeSet<PartId>, Duration)> {
        let mut refused = Vec::new();
        for (parts, state) in &self.refused {
            if now < state.until {
                refused.push((parts.clone(), state.until - now));
            }
        }
        refused
    }

    /// Returns a combination whose refusal has passed, if a request with it has crashed an engine.
    fn refused_again(&self, now: Instant, parts: &BTreeSet<PartId>) -> Option<BTreeSet<PartId>> {
        let passed = self.refused.iter().filter(|(_, state)| now >= state.until);
        let mut passed = passed.filter(|(refused, _)| refused.is_subset(parts));
        passed.next().map(|(refused, _)| refused.clone())
    }

    /// Returns a convicted part among `parts`, with those that were hit by all of its crashes.
    ///
    /// The latest crash is left out of the comparison, since reports of other requests that it hit
    /// may follow.
    fn find_culprits(&self, latest: CrashId, parts: &BTreeSet<PartId>) -> Option<BTreeSet<PartId>> {
        for part in parts {
            let Some(suspect) = self.suspects.get(part) else { continue };
            if !suspect.is_convicted() {
                continue;
            }
            let mut culprits = BTreeSet::from([*part]);
            for (other, candidate) in &self.suspects {
                if culprits.len() < MAX_COMBINED_PARTS && suspect.is_always_with(candidate, latest)
                {
                    culprits.insert(*other);
                }
            }
            return Some(culprits);
        }
        None
    }

    fn refuse(&mut self, now: Instant, parts: BTreeSet<PartId>) {
        let rounds = self.refused.get(&parts).map_or(0, |state| state.rounds + 1);
        let until = now + REFUSAL_BACKOFF.ceiling(rounds);
        self.refused.insert(parts, RefusedState { until, trial_until: None, rounds });
    }

    /// Removes the oldest entries above the limits.
    fn evict(&mut self) {
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash);
            let Some(part) = oldest.map(|(part, _)| *part) else { return };
            self.suspects.remove(&part);
        }
        while self.refused.len() > MAX_REFUSED {
            let earliest = self.refused.iter().min_by_key(|(_, state)| state.until);
            let Some(parts) = earliest.map(|(parts, _)| parts.clone()) else { return };
            self.refused.remove(&parts);
        }
    }
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: BTreeSet::new(),
            separate_crashes: 0,
            last_crash: now,
            other_starts: 0,
            other_crashes: BTreeSet::new(),
        }
    }

    fn is_convicted(&self) -> bool {
        self.separate_crashes >= CRASHES_TO_REFUSE
            && self.other_starts >= MIN_OTHER_STARTS
            && self.chance() <= MAX_CHANCE
    }

    /// Returns the probability of this many crashes in a row, if the requests with the part crash as
    /// often as those without it.
    fn chance(&self) -> f64 {
        let crashes = self.other_crashes.len() as f64 + 1.0;
        let all = crashes + f64::from(self.other_starts) + 1.0;
        (crashes / all).powi(self.separate_crashes as i32)
    }

    /// Returns whether all crashes of this part but the latest also hit requests with the other one.
    fn is_always_with(&self, other: &Self, latest: CrashId) -> bool {
        self.crashes.iter().all(|crash| *crash == latest || other.crashes.contains(crash))
    }

    fn add(&mut self, now: Instant, crash: CrashId) {
        self.other_crashes.remove(&crash);
        if self.crashes.len() >= MAX_CRASHES || !self.crashes.insert(crash) {
            return;
        }
        let since_last = now.saturating_duration_since(self.last_crash);
        if self.separate_crashes == 0 || since_last >= CRASH_SPACING {
            self.separate_crashes += 1;
            self.last_crash = now;
        }
    }

    /// Adds a crash at which a request without the part had not started.
    fn add_other(&mut self, crash: CrashId) {
        if self.other_crashes.len() < MAX_CRASHES && !self.crashes.contains(&crash) {
            self.other_crashes.insert(crash);
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) >= SUSPICION_TTL
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::{
        CrashId, MAX_COMBINED_PARTS, MAX_REFUSED, MAX_SUSPECTS, PromptQuarantine, REFUSAL_BACKOFF,
        SUSPICION_TTL,
    };
    use crate::part::PartId;

    const SECOND: Duration = Duration::from_secs(1);
    const COMMON: PartId = PartId(1);
    const DEADLY: PartId = PartId(2);

    /// Lets requests with `parts` crash engines a second apart, while others start.
    fn crash(quarantine: &mut PromptQuarantine, start: Instant, parts: &[PartId], count: u32) {
        for index in 0..count {
            let id = u64::from(index) + 100 * parts.len() as u64;
            quarantine.record_crash(start + index * SECOND, CrashId(id), parts);
            for other in 90..100 {
                quarantine.record_start(&[PartId(other)]);
            }
        }
    }

    #[test]
    fn a_part_that_crashes_engines_is_refused_and_one_that_starts_is_not() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        crash(&mut quarantine, start, &[COMMON, DEADLY], 2);
        assert_eq!(quarantine.refused_for(start + 2 * SECOND, &[COMMON, DEADLY]), None);
        quarantine.record_start(&[COMMON]);
        crash(&mut quarantine, start + 2 * SECOND, &[COMMON, DEADLY, PartId(7)], 2);
        let now = start + 4 * SECOND;
        assert!(quarantine.refused_for(now, &[PartId(8), DEADLY]).is_some());
        assert_eq!(quarantine.refused_for(now, &[COMMON, PartId(7)]), None);
    }

    #[test]
    fn parts_that_always_crash_together_are_refused_only_together_until_one_starts() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        crash(&mut quarantine, start, &[COMMON, DEADLY], 3);
        let now = start + 3 * SECOND;
        assert!(quarantine.refused_for(now, &[COMMON, DEADLY, PartId(5)]).is_some());
        assert_eq!(quarantine.refused_for(now, &[COMMON, PartId(5)]), None);
        assert_eq!(quarantine.refused_for(now, &[DEADLY, PartId(5)]), None);
        quarantine.record_start(&[COMMON]);
        assert!(quarantine.refused_for(now, &[DEADLY, PartId(5)]).is_some());
    }

    #[test]
    fn engines_that_crash_together_or_while_nothing_starts_make_no_part_refused() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        for request in 0..20 {
            quarantine.record_crash(start, CrashId(request), &[COMMON]);
            quarantine.record_start(&[DEADLY]);
        }
        assert!(quarantine.refused(start).is_empty());
        let mut quarantine = PromptQuarantine::default();
        for request in 0..20 {
            quarantine.record_crash(start + SECOND * request, CrashId(request.into()), &[COMMON]);
        }
        assert!(quarantine.refused(start + 20 * SECOND).is_empty());
    }

    #[test]
    fn a_part_whose_requests_crash_as_often_as_others_is_not_refused() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        for request in 0..6 {
            let now = start + SECOND * request;
            quarantine.record_crash(now, CrashId(request.into()), &[COMMON]);
            quarantine.record_crash(now, CrashId(100 + u64::from(request)), &[PartId(50)]);
            quarantine.record_start(&[PartId(51)]);
        }
        assert!(quarantine.refused(start + 6 * SECOND).is_empty());
    }

    #[test]
    fn a_process_that_fails_again_and_again_counts_as_one_crash() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        for index in 0..10 {
            quarantine.record_crash(start + SECOND * index, CrashId(1), &[COMMON]);
            for other in 100..120 {
                quarantine.record_start(&[PartId(other)]);
            }
        }
        assert!(quarantine.refused(start + 10 * SECOND).is_empty());
    }

    #[test]
    fn a_part_of_requests_that_are_hit_by_the_crash_of_another_is_not_refused() {
        let start = Instant::now();
        for is_victim_first in [true, false] {
            let mut quarantine = PromptQuarantine::default();
            for index in 0..5 {
                let now = start + SECOND * index;
                let crash = CrashId(index.into());
                let victim = [COMMON, PartId(100 + u64::from(index))];
                if is_victim_first {
                    quarantine.record_crash(now, crash, &victim);
                }
                quarantine.record_crash(now, crash, &[COMMON, DEADLY]);
                quarantine.record_crash(now, crash, &victim);
                for other in 200..210 {
                    quarantine.record_start(&[PartId(other)]);
                }
            }
            let now = start + 5 * SECOND;
            assert!(quarantine.refused_for(now, &[COMMON, DEADLY, PartId(7)]).is_some());
            assert_eq!(quarantine.refused_for(now, &[COMMON, PartId(7)]), None);
        }
    }

    #[test]
    fn a_refused_part_is_tried_again_and_refused_for_longer_if_it_crashes_an_engine() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        crash(&mut quarantine, start, &[DEADLY], 3);
        let passed = start + 3 * SECOND + REFUSAL_BACKOFF.first;
        assert_eq!(quarantine.refused_for(passed, &[DEADLY]), None);
        quarantine.record_crash(passed, CrashId(70), &[DEADLY]);
        assert_eq!(quarantine.refused_for(passed, &[DEADLY]), Some(2 * REFUSAL_BACKOFF.first));
        let passed = passed + 2 * REFUSAL_BACKOFF.first;
        quarantine.record_start(&[DEADLY]);
        quarantine.record_crash(passed, CrashId(71), &[DEADLY]);
        assert_eq!(quarantine.refused_for(passed, &[DEADLY]), None);
    }

    #[test]
    fn evidence_expires_and_stays_within_its_limits() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        crash(&mut quarantine, start, &[DEADLY], 2);
        crash(&mut quarantine, start + 2 * SUSPICION_TTL, &[DEADLY], 2);
        assert!(quarantine.refused(start + 2 * SUSPICION_TTL + 2 * SECOND).is_empty());
        for index in 0..2_000 {
            quarantine.record_crash(start + 3 * SUSPICION_TTL, CrashId(index), &[PartId(index)]);
            quarantine.merge(start, [PartId(index)].into(), SECOND);
        }
        assert_eq!(quarantine.suspects.len(), MAX_SUSPECTS);
        assert_eq!(quarantine.refused.len(), MAX_REFUSED);
    }

    #[test]
    fn a_refused_combination_is_short_however_many_parts_a_prompt_has() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        let parts: Vec<PartId> = (100..164).map(PartId).collect();
        crash(&mut quarantine, start, &parts, 3);
        let now = start + 3 * SECOND;
        assert!(quarantine.refused_for(now, &parts).is_some());
        for (refused, _) in quarantine.refused(now) {
            assert_eq!(refused.len(), MAX_COMBINED_PARTS);
        }
        assert!(!quarantine.merge(now, parts.into_iter().collect(), SECOND));
    }

    #[test]
    fn a_refusal_of_another_instance_holds_for_its_remaining_time() {
        let start = Instant::now();
        let mut quarantine = PromptQuarantine::default();
        assert!(quarantine.merge(start, [DEADLY].into(), 5 * SECOND));
        assert!(!quarantine.merge(start, [DEADLY].into(), 2 * SECOND));
        assert_eq!(quarantine.refused_for(start + SECOND, &[DEADLY]), Some(4 * SECOND));
        assert_eq!(quarantine.refused_for(start + 5 * SECOND, &[DEADLY]), None);
    }
}
