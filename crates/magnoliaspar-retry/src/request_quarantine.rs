//! Quarantine of requests with parts that crash the servers that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::backoff::Backoff;
use crate::part::PartId;

/// Number of crashes after which a part is refused.
const CRASHES_TO_REFUSE: u32 = 3;

/// Minimum time between two crashes that count separately, unless the request was sent after the first
/// one, and between the first and the last of the crashes that make a part refused. Servers that crash
/// together have one cause, which need not be a request.
const CRASH_SPACING: Duration = Duration::from_millis(100);

/// Number of runs without the part that must have gone well; without any, the servers and not the
/// part may be the cause.
const MIN_OTHER_RUNS: u32 = 1;

/// Maximum number of runs that one crash adds to those without the part. A process that has lived for
/// long says little of one that has just started.
const MAX_RUNS_SURVIVED: u32 = 16;

/// Maximum probability that all requests with a part crashed by chance, if they crash as often as
/// those without it.
const MAX_CHANCE: f64 = 1e-3;

/// Time after its last crash at which a part is no longer suspected.
const SUSPICION_TTL: Duration = Duration::from_secs(60);

/// Time for which a part is refused; it doubles each time that the part crashes an engine again.
const REFUSAL_BACKOFF: Backoff =
    Backoff { first: Duration::from_secs(30), longest: Duration::from_secs(3_600) };

/// Time for which one request is tried after a refusal has ended, before the next one of the service.
const TRIAL_TIME: Duration = Duration::from_secs(3);

/// Time for which a part is refused while another request was hit by the same crashes. Trials then
/// tell which of the two crashes servers.
const UNDECIDED_REFUSAL: Duration = TRIAL_TIME;

/// Time after its end for which a refusal is remembered, so that requests with its parts are tried one
/// at a time.
const REFUSAL_MEMORY: Duration = Duration::from_secs(3_600);

/// Time after its end for which a refusal that was lifted is remembered, so that it is not taken over
/// again from an instance that does not know.
const LIFTED_MEMORY: Duration = Duration::from_secs(60);

/// Time for which suspects that another instance has reported are watched.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Maximum number of suspected parts.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of crashes to remember for each part.
const MAX_CRASHES: usize = 64;

/// Maximum number of parts that came in one request with a suspected part to remember.
const MAX_COMPANIONS: usize = 16;

/// Maximum number of refused combinations of parts.
const MAX_REFUSED: usize = 32;

/// Maximum number of parts of a refused combination, so that all of them fit into one heartbeat.
const MAX_COMBINED_PARTS: usize = 8;

/// Learns from crashes which parts of requests crash the servers of one service, and refuses requests
/// with them.
///
/// A crash speaks against the parts of each request that had not started on the server: a completion
/// without its first event, a plain call without its whole response. A request that starts clears its
/// parts: a part that crashes servers never lets one start. If other parts of the same requests were
/// hit by all crashes of a part, only requests with all of them are refused.
#[derive(Debug, Clone, Default)]
pub struct RequestQuarantine {
    suspects: BTreeMap<PartId, Suspect>,
    refused: BTreeMap<BTreeSet<PartId>, RefusedState>,
    /// The times until which suspects of other instances are watched.
    watched: BTreeMap<PartId, Instant>,
}

/// Identifies the crash of one process of an engine, which may hit several completions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Identifies the end of a process by the name of its server and its start time, in milliseconds
    /// since the Unix epoch.
    pub fn of_process(server: &str, started_ms: u64) -> Self {
        Self(xxh3_64(format!("{server}/{started_ms}").as_bytes()))
    }
}

/// The crash of a server before a request had started on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The process that has ended.
    pub id: CrashId,
    /// The run of a plain call; `None` for a completion.
    ///
    /// Each part of a plain call stands for the whole call, the first one for that of any caller. The
    /// parts of a completion's prompt may crash servers together.
    pub call: Option<CallRun>,
}

/// The run of a plain call on a server that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRun {
    /// Time from the sending of the call to the crash.
    pub run_time: Duration,
    /// Number of runs as long as this one that the process had time for before.
    pub survived: u32,
}

impl From<CrashId> for Crash {
    fn from(id: CrashId) -> Self {
        Self { id, call: None }
    }
}

/// A refused combination of parts, as instances report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Requests with all of these parts are refused.
    pub parts: BTreeSet<PartId>,
    /// Time for which they are still refused; zero once requests are tried one at a time.
    pub remaining: Duration,
    /// Time since its end; zero while it lasts.
    pub ended: Duration,
    /// Number of times that the parts were refused before. Of two reports the one with more counts.
    pub version: u32,
    /// Whether a request with the parts has started since, which outweighs the refusal.
    pub is_lifted: bool,
}

/// Evidence against a part.
#[derive(Debug, Clone)]
struct Suspect {
    /// The crashes at which a request with the part had not started.
    crashes: BTreeSet<CrashId>,
    /// The number of these that count separately.
    separate_crashes: u32,
    first_crash: Instant,
    last_crash: Instant,
    /// The parts that came in one request with this one.
    companions: BTreeSet<PartId>,
    /// Runs without the part that went well: requests that have started since its first crash, and
    /// those that the crashed processes had time for before.
    other_runs: u32,
    /// The crashes since then at which only requests without the part had not started.
    other_crashes: BTreeSet<CrashId>,
}

/// State of a refused combination of parts.
#[derive(Debug, Clone, Copy)]
struct RefusedState {
    until: Instant,
    /// The end of the trial of one request, after the refusal has ended.
    trial_until: Option<Instant>,
    /// How often it was refused again after its time had passed.
    rounds: u32,
    /// The number of refusals before this one.
    version: u32,
    /// Whether a request with the parts has started since.
    is_lifted: bool,
}

impl RefusedState {
    fn is_in_force(&self, now: Instant) -> bool {
        !self.is_lifted && now < self.until
    }

    /// Returns whether the refusal has ended without a start, so that requests are tried one at a time.
    fn is_on_trial(&self, now: Instant) -> bool {
        !self.is_lifted && now >= self.until && !self.is_expired(now)
    }

    fn lift(&mut self) {
        self.is_lifted = true;
        self.trial_until = None;
    }

    /// Returns whether the refusal has ended so long ago that it is forgotten.
    fn is_expired(&self, now: Instant) -> bool {
        let memory = if self.is_lifted { LIFTED_MEMORY } else { REFUSAL_MEMORY };
        now.saturating_duration_since(self.until) >= memory
    }

    /// Returns what orders two reports of one refusal.
    fn order(&self) -> (u32, bool) {
        (self.version, self.is_lifted)
    }
}

impl RequestQuarantine {
    /// Returns for how long requests with these parts are still refused, if they are.
    pub fn refused_for(&self, now: Instant, parts: &[PartId]) -> Option<Duration> {
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        let mut longest = None;
        for (refused, state) in &self.refused {
            if state.is_in_force(now) && refused.is_subset(&parts) {
                longest = longest.max(Some(state.until - now));
            }
        }
        longest
    }

    /// Returns whether requests with these parts may only be tried one at a time.
    pub fn is_on_trial(&self, now: Instant, parts: &[PartId]) -> bool {
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        let mut refused = self.refused.iter();
        refused.any(|(refused, state)| state.is_on_trial(now) && refused.is_subset(&parts))
    }

    /// Returns whether a request with these parts may be tried although its refusal has ended without a
    /// start: one of the service at a time, until it starts or crashes a server.
    ///
    /// Only the instance that decides for all may call this, since it records the trial.
    pub fn allows_trial(&mut self, now: Instant, parts: &[PartId]) -> bool {
        if !self.is_on_trial(now, parts) {
            return true;
        }
        if self.refused.values().any(|state| state.trial_until.is_some_and(|until| now < until)) {
            return false;
        }
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        for (refused, state) in &mut self.refused {
            if state.is_on_trial(now) && refused.is_subset(&parts) {
                state.trial_until = Some(now + TRIAL_TIME);
            }
        }
        true
    }

    /// Returns whether requests with one of these parts were hit by several crashes, and none with it
    /// has started since.
    pub fn is_suspected(&self, now: Instant, parts: &[PartId]) -> bool {
        parts.iter().any(|part| self.is_watched(now, *part) || self.is_suspect(now, *part))
    }

    fn is_watched(&self, now: Instant, part: PartId) -> bool {
        self.watched.get(&part).is_some_and(|until| now < *until)
    }

    fn is_suspect(&self, now: Instant, part: PartId) -> bool {
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|suspect| !suspect.is_expired(now) && suspect.crashes.len() > 1)
    }

    /// Returns the parts that were hit by several crashes, the latest first.
    pub fn suspected(&self, now: Instant) -> Vec<PartId> {
        let mut suspected = Vec::new();
        for (part, suspect) in &self.suspects {
            if self.is_suspect(now, *part) {
                suspected.push((std::cmp::Reverse(suspect.last_crash), *part));
            }
        }
        suspected.sort();
        suspected.into_iter().map(|(_, part)| part).collect()
    }

    /// Watches parts that another instance suspects, so that a start of one of them is reported.
    pub fn watch(&mut self, now: Instant, parts: &[PartId]) {
        self.watched.retain(|_, until| now < *until);
        for part in parts {
            if self.watched.len() < MAX_SUSPECTS {
                self.watched.insert(*part, now + WATCH_TIME);
            }
        }
    }

    /// Returns whether a start of a request with these parts says something new.
    pub fn concerns(&self, parts: &[PartId]) -> bool {
        let is_known = |part| self.suspects.contains_key(part) || self.watched.contains_key(part);
        let is_refused = || {
            let mut refused = self.refused.iter().filter(|(_, state)| !state.is_lifted);
            refused.any(|(refused, _)| parts.iter().any(|part| refused.contains(part)))
        };
        parts.iter().any(is_known) || is_refused()
    }

    /// Records that a server crashed before a request with these parts had started on it. Returns the
    /// parts that are refused from now on, if any.
    pub fn record_crash(
        &mut self,
        now: Instant,
        crash: impl Into<Crash>,
        parts: &[PartId],
    ) -> Option<BTreeSet<PartId>> {
        let crash = crash.into();
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        for (part, suspect) in &mut self.suspects {
            if !parts.contains(part) {
                suspect.add_other(crash.id);
            }
        }
        for part in parts {
            let suspect = self.suspects.entry(*part).or_insert_with(|| Suspect::new(now));
            suspect.add(now, crash);
            suspect.add_companions(parts);
        }
        let culprits = match self.refused_again(now, parts) {
            Some(parts) => Some(Culprits { parts, is_undecided: false }),
            None => self.find_culprits(now, crash, parts),
        };
        let refused = culprits.map(|culprits| {
            self.refuse(now, &culprits);
            culprits.parts
        });
        self.evict(now);
        refused
    }

    /// Records that a request with these parts has started, which clears them; returns whether a
    /// refusal was lifted.
    pub fn record_start(&mut self, parts: &[PartId]) -> bool {
        if self.suspects.is_empty() && self.refused.is_empty() && self.watched.is_empty() {
            return false;
        }
        for part in parts {
            self.suspects.remove(part);
            self.watched.remove(part);
        }
        for suspect in self.suspects.values_mut() {
            suspect.other_runs = suspect.other_runs.saturating_add(1);
        }
        let mut rest = Vec::new();
        let mut is_lifted = false;
        for (refused, state) in &mut self.refused {
            if state.is_lifted || !parts.iter().any(|part| refused.contains(part)) {
                continue;
            }
            let left: BTreeSet<PartId> =
                refused.iter().copied().filter(|part| !parts.contains(part)).collect();
            // The cause is among the parts that are left.
            if !left.is_empty() {
                rest.push((left, *state));
            }
            state.lift();
            is_lifted = true;
        }
        for (refused, state) in rest {
            self.refused.entry(refused).or_insert(state);
        }
        is_lifted
    }

    /// Lifts the refusals that contain one of these parts, and forgets what speaks against the requests with
    /// them; returns whether there was one.
    pub fn release(&mut self, parts: &[PartId]) -> bool {
        let mut released = Vec::new();
        for (refused, state) in &mut self.refused {
            if state.is_lifted || !parts.iter().any(|part| refused.contains(part)) {
                continue;
            }
            state.lift();
            released.push(refused.clone());
        }
        for refused in &released {
            self.forget_suspects(refused);
        }
        !released.is_empty()
    }

    /// Forgets what speaks against parts, and against those that came in one request with them.
    fn forget_suspects(&mut self, parts: &BTreeSet<PartId>) {
        for part in parts {
            self.watched.remove(part);
            let Some(suspect) = self.suspects.remove(part) else { continue };
            for companion in &suspect.companions {
                self.watched.remove(companion);
                self.suspects.remove(companion);
            }
        }
    }

    /// Adds a combination of parts that is refused for `remaining`, by no report of an instance; returns
    /// whether it is new here.
    pub fn merge(&mut self, now: Instant, parts: BTreeSet<PartId>, remaining: Duration) -> bool {
        if remaining.is_zero() {
            return false;
        }
        self.merge_refusal(
            now,
            Refusal { parts, remaining, ended: Duration::ZERO, version: 0, is_lifted: false },
        )
    }

    /// Adds what another instance reports of a combination of parts; returns whether it is news.
    pub fn merge_refusal(&mut self, now: Instant, refusal: Refusal) -> bool {
        let Refusal { parts, remaining, ended, version, is_lifted } = refusal;
        let Some(ended_at) = now.checked_sub(ended) else { return false };
        if parts.is_empty() || parts.len() > MAX_COMBINED_PARTS {
            return false;
        }
        let until = ended_at + remaining.min(REFUSAL_BACKOFF.longest);
        let reported = RefusedState { until, trial_until: None, rounds: 0, version, is_lifted };
        if reported.is_expired(now) {
            return false;
        }
        if let Some(state) = self.refused.get_mut(&parts) {
            if reported.order() <= state.order() {
                if reported.order() == state.order() {
                    state.until = state.until.max(until);
                }
                return false;
            }
            let rounds = state.rounds;
            *state = RefusedState { rounds, ..reported };
        } else {
            self.refused.insert(parts.clone(), reported);
        }
        if is_lifted {
            self.forget_suspects(&parts);
        }
        self.evict(now);
        true
    }

    /// Returns all that is known of refused combinations of parts, for other instances.
    pub fn refusals(&self, now: Instant) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        for (parts, state) in &self.refused {
            if state.is_expired(now) {
                continue;
            }
            refusals.push(Refusal {
                parts: parts.clone(),
                remaining: state.until.saturating_duration_since(now),
                ended: now.saturating_duration_since(state.until),
                version: state.version,
                is_lifted: state.is_lifted,
            });
        }
        refusals
    }

    /// Returns the refused combinations of parts and the time for which they are still refused.
    pub fn refused(&self, now: Instant) -> Vec<(BTreeSet<PartId>, Duration)> {
        let mut refused = Vec::new();
        for (parts, state) in &self.refused {
            if state.is_in_force(now) {
                refused.push((parts.clone(), state.until - now));
            }
        }
        refused
    }

    /// Returns a combination whose refusal has passed, if a request with it has crashed a server.
    fn refused_again(&self, now: Instant, parts: &[PartId]) -> Option<BTreeSet<PartId>> {
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        let passed = self.refused.iter().filter(|(_, state)| state.is_on_trial(now));
        let mut passed = passed.filter(|(refused, _)| refused.is_subset(&parts));
        passed.next().map(|(refused, _)| refused.clone())
    }

    /// Returns the first convicted part among `parts`, for a completion with the parts of the same requests that
    /// were hit by all of its crashes.
    ///
    /// The latest crash is left out of the comparison, since reports of other requests that it hit
    /// may follow.
    fn find_culprits(&self, now: Instant, latest: Crash, parts: &[PartId]) -> Option<Culprits> {
        // Requests that were in flight when they were refused may crash servers later.
        if self.refused_for(now, parts).is_some() {
            return None;
        }
        for part in parts {
            let Some(suspect) = self.suspects.get(part) else { continue };
            if !suspect.is_convicted() {
                continue;
            }
            let mut culprits = Culprits { parts: [*part].into(), is_undecided: false };
            for (other, candidate) in &self.suspects {
                if other == part || !suspect.is_always_with(candidate, latest.id) {
                    continue;
                }
                if !suspect.companions.contains(other) {
                    culprits.is_undecided = true;
                } else if latest.call.is_none() && culprits.parts.len() < MAX_COMBINED_PARTS {
                    culprits.parts.insert(*other);
                }
            }
            return Some(culprits);
        }
        None
    }

    fn refuse(&mut self, now: Instant, culprits: &Culprits) {
        let previous = self.refused.get(&culprits.parts);
        let version = previous.map_or(0, |state| state.version + 1);
        let previous = previous.filter(|state| !state.is_lifted);
        let rounds = previous.map_or(0, |state| state.rounds + 1);
        let duration = match culprits.is_undecided && rounds == 0 {
            true => UNDECIDED_REFUSAL,
            false => REFUSAL_BACKOFF.ceiling(rounds),
        };
        let until = now + duration;
        let state = RefusedState { until, trial_until: None, rounds, version, is_lifted: false };
        self.refused.insert(culprits.parts.clone(), state);
    }

    /// Removes the oldest entries above the limits.
    fn evict(&mut self, now: Instant) {
        self.refused.retain(|_, state| !state.is_expired(now));
        while self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last_crash);
            let Some(part) = oldest.map(|(part, _)| *part) else { return };
            self.suspects.remove(&part);
        }
        while self.refused.len() > MAX_REFUSED {
            let earliest =
                self.refused.iter().min_by_key(|(_, state)| (!state.is_lifted, state.until));
            let Some(parts) = earliest.map(|(parts, _)| parts.clone()) else { return };
            self.refused.remove(&parts);
        }
    }
}

/// Parts that crash servers.
struct Culprits {
    parts: BTreeSet<PartId>,
    /// Whether another request was hit by the same crashes.
    is_undecided: bool,
}

impl Suspect {
    fn new(now: Instant) -> Self {
        Self {
            crashes: BTreeSet::new(),
            separate_crashes: 0,
            first_crash: now,
            last_crash: now,
            companions: BTreeSet::new(),
            other_runs: 0,
            other_crashes: BTreeSet::new(),
        }
    }

    fn is_convicted(&self) -> bool {
        self.separate_crashes >= CRASHES_TO_REFUSE
            && self.last_crash.saturating_duration_since(self.first_crash) >= CRASH_SPACING
            && self.other_runs >= MIN_OTHER_RUNS
            && self.chance() <= MAX_CHANCE
    }

    /// Returns the probability of this many crashes in a row, if the requests with the part crash as
    /// often as those without it.
    fn chance(&self) -> f64 {
        let crashes = self.other_crashes.len() as f64 + 1.0;
        let all = crashes + f64::from(self.other_runs) + 1.0;
        (crashes / all).powi(self.separate_crashes as i32)
    }

    /// Returns whether all crashes of this part but the latest also hit requests with the other one.
    fn is_always_with(&self, other: &Self, latest: CrashId) -> bool {
        self.crashes.iter().all(|crash| *crash == latest || other.crashes.contains(crash))
    }

    fn add(&mut self, now: Instant, crash: Crash) {
        self.other_crashes.remove(&crash.id);
        if self.crashes.len() >= MAX_CRASHES || !self.crashes.insert(crash.id) {
            return;
        }
        let survived = crash.call.map_or(0, |run| run.survived.min(MAX_RUNS_SURVIVED));
        self.other_runs = self.other_runs.saturating_add(survived);
        let since_last = now.saturating_duration_since(self.last_crash);
        let was_sent_after = crash.call.is_some_and(|run| run.run_time < since_last);
        if self.separate_crashes == 0 || since_last >= CRASH_SPACING || was_sent_after {
            self.separate_crashes += 1;
            self.last_crash = now;
        }
    }

    fn add_companions(&mut self, parts: &[PartId]) {
        for part in parts {
            if self.companions.len() < MAX_COMPANIONS {
                self.companions.insert(*part);
            }
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
        CallRun, Crash, CrashId, MAX_COMBINED_PARTS, MAX_REFUSED, MAX_SUSPECTS, REFUSAL_BACKOFF,
        REFUSAL_MEMORY, Refusal, RequestQuarantine, SUSPICION_TTL, UNDECIDED_REFUSAL,
    };
    use crate::part::PartId;

    const SECOND: Duration = Duration::from_secs(1);
    const COMMON: PartId = PartId(1);
    const DEADLY: PartId = PartId(2);

    /// Lets requests with `parts` crash engines a second apart, while others start.
    fn crash(quarantine: &mut RequestQuarantine, start: Instant, parts: &[PartId], count: u32) {
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
        let mut quarantine = RequestQuarantine::default();
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
        let mut quarantine = RequestQuarantine::default();
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
        let mut quarantine = RequestQuarantine::default();
        for request in 0..20 {
            quarantine.record_crash(start, CrashId(request), &[COMMON]);
            quarantine.record_start(&[DEADLY]);
        }
        assert!(quarantine.refused(start).is_empty());
        let mut quarantine = RequestQuarantine::default();
        for request in 0..20 {
            quarantine.record_crash(start + SECOND * request, CrashId(request.into()), &[COMMON]);
        }
        assert!(quarantine.refused(start + 20 * SECOND).is_empty());
    }

    #[test]
    fn a_part_whose_requests_crash_as_often_as_others_is_not_refused() {
        let start = Instant::now();
        let mut quarantine = RequestQuarantine::default();
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
        let mut quarantine = RequestQuarantine::default();
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
            let mut quarantine = RequestQuarantine::default();
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
        let mut quarantine = RequestQuarantine::default();
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
        let mut quarantine = RequestQuarantine::default();
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
        let mut quarantine = RequestQuarantine::default();
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
        let mut quarantine = RequestQuarantine::default();
        assert!(quarantine.merge(start, [DEADLY].into(), 5 * SECOND));
        assert!(!quarantine.merge(start, [DEADLY].into(), 2 * SECOND));
        assert_eq!(quarantine.refused_for(start + SECOND, &[DEADLY]), Some(4 * SECOND));
        assert_eq!(quarantine.refused_for(start + 5 * SECOND, &[DEADLY]), None);
    }

    /// Returns the crash of a process that had lived for ten runs before one of `run_time`.
    fn crash_of_run(id: u64, run_time: Duration) -> Crash {
        Crash { id: CrashId(id), call: Some(CallRun { run_time, survived: 10 }) }
    }

    #[test]
    fn a_call_whose_servers_had_lived_for_long_is_refused_without_any_other_call() {
        let start = Instant::now();
        let run_time = SECOND / 20;
        let mut quarantine = RequestQuarantine::default();
        // The second server got the call right after the crash of the first one.
        for (index, at) in [start, start + run_time * 2, start + SECOND].into_iter().enumerate() {
            assert_eq!(quarantine.refused_for(at, &[DEADLY]), None);
            quarantine.record_crash(at, crash_of_run(index as u64, run_time), &[DEADLY]);
        }
        assert!(quarantine.refused_for(start + SECOND, &[DEADLY]).is_some());
    }

    #[test]
    fn a_call_is_refused_for_all_callers_unless_that_of_another_one_is_answered() {
        let start = Instant::now();
        let (first, second) = (PartId(11), PartId(12));
        for is_other_answered in [true, false] {
            let mut quarantine = RequestQuarantine::default();
            for index in 0..4 {
                let now = start + SECOND * index as u32;
                let crash = crash_of_run(index, SECOND / 20);
                quarantine.record_crash(now, crash, &[COMMON, first]);
                if is_other_answered {
                    quarantine.record_start(&[COMMON, second]);
                }
            }
            let now = start + 4 * SECOND;
            assert!(quarantine.refused_for(now, &[COMMON, first]).is_some());
            let is_refused = quarantine.refused_for(now, &[COMMON, second]).is_some();
            assert_eq!(is_refused, !is_other_answered);
        }
    }

    #[test]
    fn a_call_that_is_under_way_when_servers_crash_together_is_not_refused() {
        let start = Instant::now();
        let mut quarantine = RequestQuarantine::default();
        for index in 0..10 {
            let now = start + SECOND / 200 * index as u32;
            quarantine.record_crash(now, crash_of_run(index, SECOND), &[COMMON]);
            quarantine.record_start(&[DEADLY]);
        }
        assert!(quarantine.refused(start + SECOND).is_empty());
    }

    #[test]
    fn calls_that_are_hit_by_the_same_crashes_are_refused_shortly_and_tried_one_at_a_time() {
        let start = Instant::now();
        let mut quarantine = RequestQuarantine::default();
        for index in 0..4 {
            let now = start + SECOND * index as u32;
            for part in [COMMON, DEADLY] {
                quarantine.record_crash(now, crash_of_run(index, SECOND / 20), &[part]);
            }
        }
        let now = start + 3 * SECOND;
        for part in [COMMON, DEADLY] {
            assert!(quarantine.refused_for(now, &[part]).unwrap() <= UNDECIDED_REFUSAL);
        }
        let passed = now + UNDECIDED_REFUSAL;
        assert!(quarantine.allows_trial(passed, &[COMMON]));
        assert!(!quarantine.allows_trial(passed, &[DEADLY]));
        assert!(quarantine.record_start(&[COMMON]));
        assert!(quarantine.allows_trial(passed, &[COMMON]));
        assert!(quarantine.allows_trial(passed, &[DEADLY]));
        quarantine.record_crash(passed, crash_of_run(9, SECOND / 20), &[DEADLY]);
        assert!(quarantine.refused_for(passed, &[DEADLY]).unwrap() > UNDECIDED_REFUSAL);
        assert_eq!(quarantine.refused_for(passed, &[COMMON]), None);
    }

    #[test]
    fn a_refusal_that_was_lifted_is_not_taken_over_again_and_a_later_one_is() {
        let start = Instant::now();
        let (mut one, mut other) = (RequestQuarantine::default(), RequestQuarantine::default());
        crash(&mut one, start, &[DEADLY], 3);
        let now = start + 3 * SECOND;
        for refusal in one.refusals(now) {
            assert!(other.merge_refusal(now, refusal));
        }
        let outdated = other.refusals(now);
        assert!(one.record_start(&[DEADLY]));
        for refusal in outdated {
            assert!(!one.merge_refusal(now, refusal));
        }
        for refusal in one.refusals(now) {
            assert!(other.merge_refusal(now, refusal));
        }
        assert_eq!(one.refused_for(now, &[DEADLY]), None);
        assert_eq!(other.refused_for(now, &[DEADLY]), None);
        crash(&mut one, now, &[DEADLY], 3);
        let now = now + 3 * SECOND;
        let later: Vec<Refusal> = one.refusals(now);
        assert!(later.into_iter().any(|refusal| other.merge_refusal(now, refusal)));
        assert!(other.refused_for(now, &[DEADLY]).is_some());
    }

    #[test]
    fn instances_that_report_to_each_other_forget_a_refusal_in_the_end() {
        let start = Instant::now();
        let (mut one, mut other) = (RequestQuarantine::default(), RequestQuarantine::default());
        crash(&mut one, start, &[DEADLY], 3);
        crash(&mut one, start, &[COMMON], 3);
        assert!(one.release(&[COMMON]));
        let mut now = start + 3 * SECOND;
        let end = now + REFUSAL_BACKOFF.first + REFUSAL_MEMORY;
        while now < end {
            now += 20 * SECOND;
            let (of_one, of_other) = (one.refusals(now), other.refusals(now));
            for refusal in of_one {
                other.merge_refusal(now, refusal);
            }
            for refusal in of_other {
                one.merge_refusal(now, refusal);
            }
        }
        assert!(one.refusals(now).is_empty() && other.refusals(now).is_empty());
    }

    #[test]
    fn a_released_call_is_refused_again_only_after_three_more_crashes_on_any_instance() {
        let start = Instant::now();
        let (mut one, mut other) = (RequestQuarantine::default(), RequestQuarantine::default());
        let mut crashes = 0;
        let mut crash_both = |one: &mut RequestQuarantine, other: &mut RequestQuarantine| {
            crashes += 1;
            let now = start + SECOND * crashes;
            let crash = crash_of_run(crashes.into(), SECOND / 20);
            one.record_crash(now, crash, &[COMMON, DEADLY]);
            other.record_crash(now, crash, &[COMMON, DEADLY]);
            (one.refused(now).len(), other.refused(now).len())
        };
        for _ in 0..2 {
            assert_eq!(crash_both(&mut one, &mut other), (0, 0));
            assert_eq!(crash_both(&mut one, &mut other), (0, 0));
            assert_eq!(crash_both(&mut one, &mut other), (1, 1));
            assert!(one.release(&[COMMON]));
            for refusal in one.refusals(start + 4 * SECOND) {
                other.merge_refusal(start + 4 * SECOND, refusal);
            }
        }
    }

    #[test]
    fn instances_that_hear_of_a_refusal_after_its_end_try_one_request_at_a_time() {
        let start = Instant::now();
        let (mut one, mut other) = (RequestQuarantine::default(), RequestQuarantine::default());
        crash(&mut one, start, &[DEADLY], 3);
        let passed = start + 3 * SECOND + REFUSAL_BACKOFF.first;
        for refusal in one.refusals(passed) {
            assert!(other.merge_refusal(passed, refusal));
        }
        assert_eq!(other.refused_for(passed, &[DEADLY]), None);
        assert!(other.is_on_trial(passed, &[DEADLY]) && other.allows_trial(passed, &[DEADLY]));
        assert!(!other.allows_trial(passed, &[DEADLY]));
        other.record_crash(passed, CrashId(50), &[DEADLY]);
        assert!(other.refused_for(passed, &[DEADLY]).is_some());
    }

    #[test]
    fn a_suspect_of_another_instance_is_watched_until_it_starts() {
        let start = Instant::now();
        let (mut one, mut other) = (RequestQuarantine::default(), RequestQuarantine::default());
        crash(&mut one, start, &[DEADLY], 2);
        let now = start + SECOND;
        other.watch(now, &one.suspected(now));
        assert!(other.concerns(&[DEADLY]) && other.is_suspected(now, &[DEADLY]));
        other.record_start(&[DEADLY]);
        assert!(!other.concerns(&[DEADLY]));
    }
}
