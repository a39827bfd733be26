//! Pace of the grants of a coordinator that does not know yet what the engines run.
//!
//! After all instances have lost power at once, engines go on with completions that no instance knows of, and until the
//! instances know each other several of them are coordinators.

use std::time::Duration;

use crate::directory::EngineRole;
use crate::gateway::Gateway;
use crate::selection::Candidate;

/// Time after its start for which a coordinator paces its grants, unless all known instances have reported before.
/// Instances find each other within it.
const COLD_TIME: Duration = Duration::from_secs(2);

/// Completions that all coordinators together let an engine start meanwhile: a fourth of the usual number of slots, which
/// an engine with memory for the rest of its former completions has room for.
const INITIAL_COMPLETIONS: usize = 3;

/// What a coordinator knows of the reservations of all instances.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge {
    /// Time since the start of the coordinator.
    pub uptime: Duration,
    /// Number of known instances, including the coordinator.
    pub known: usize,
    /// Number of other instances that have reported their reservations.
    pub reported: usize,
    /// Share of the instances with which the coordinator is in touch.
    pub share: f64,
}

impl Knowledge {
    /// Returns what this instance knows.
    pub fn of(gateway: &Gateway) -> Self {
        Self {
            uptime: gateway.uptime(),
            known: gateway.known_instances(),
            reported: gateway.reservations.borrow().reporting_instances(),
            share: gateway.limit_share(),
        }
    }

    /// Returns whether reservations of other instances may be missing.
    pub fn is_cold(self) -> bool {
        self.uptime < COLD_TIME && self.reported + 1 < self.known
    }

    /// Leaves out decode engines that have their initial completions, or all if this coordinator has granted its share.
    pub fn restrict(self, candidates: &mut [Candidate]) {
        if !self.is_cold() {
            return;
        }
        let mut engines = 0;
        let mut running = 0;
        for candidate in candidates.iter() {
            if candidate.role == Some(EngineRole::Decode) {
                engines += 1;
                running += candidate.running;
            }
        }
        let most = ((engines * INITIAL_COMPLETIONS) as f64 * self.share).ceil() as usize;
        for candidate in candidates {
            if candidate.running >= INITIAL_COMPLETIONS || running >= most.max(1) {
                candidate.fill = f64::INFINITY;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use magnoliaspar_core::ServerKey;
    use slotmap::SlotMap;

    use super::{INITIAL_COMPLETIONS, Knowledge};
    use crate::directory::EngineRole;
    use crate::selection::Candidate;

    /// Grants as many completions as the knowledge allows, each to the emptiest engine.
    fn granted(knowledge: Knowledge, engines: usize) -> Vec<usize> {
        let mut keys: SlotMap<ServerKey, ()> = SlotMap::with_key();
        let mut running = vec![0; engines];
        for _ in 0..12 * engines {
            let mut candidates = Vec::new();
            for running in &running {
                candidates.push(Candidate {
                    key: keys.insert(()),
                    is_local: true,
                    is_avoided: false,
                    in_flight: 0,
                    slots: 12,
                    queued_prefill_tokens: 0,
                    held_prompt_tokens: 0,
                    latency: None,
                    fill: 0.0,
                    prefill_speed: 1.0,
                    running: *running,
                    role: Some(EngineRole::Decode),
                    permit_wait: None,
                    rest: Duration::ZERO,
                    full: Duration::ZERO,
                    share: None,
                });
            }
            knowledge.restrict(&mut candidates);
            let free = (0..engines).filter(|engine| candidates[*engine].fill < 1.0);
            let Some(next) = free.min_by_key(|engine| running[*engine]) else { break };
            running[next] += 1;
        }
        running
    }

    /// After a loss of power, coordinators with empty records filled the engines several times over.
    #[test]
    fn all_coordinators_together_start_a_few_completions_on_each_engine() {
        let uptime = Duration::from_millis(500);
        let cold = Knowledge { uptime, known: 60, reported: 10, share: 1.0 };
        assert_eq!(granted(cold, 10), [INITIAL_COMPLETIONS; 10]);
        let alone = Knowledge { known: 60, reported: 0, share: 1.0 / 60.0, ..cold };
        assert_eq!(granted(alone, 40).iter().sum::<usize>(), 2);
        assert_eq!(granted(alone, 2).iter().sum::<usize>(), 1, "an instance on its own serves");
    }

    #[test]
    fn a_coordinator_that_knows_all_reservations_grants_at_once() {
        let uptime = Duration::from_millis(500);
        let all = Knowledge { uptime, known: 3, reported: 2, share: 1.0 };
        assert_eq!(granted(all, 2), [12; 2]);
        let alone = Knowledge { known: 1, reported: 0, ..all };
        assert_eq!(granted(alone, 2), [12; 2], "an instance without peers");
        let old = Knowledge { uptime: Duration::from_secs(2), reported: 0, ..all };
        assert_eq!(granted(old, 2), [12; 2]);
    }
}
