//! Reads the configuration from the platform and proposes changes to it.

use std::rc::Rc;
use std::time::Duration;

use log::warn;

use magnoliaspar_configuration::{Acceptance, CatchUpError, Proposal};
use magnoliaspar_core::RequestId;
use magnoliaspar_declaration::DocumentDelta;
use magnoliaspar_store::WriteToken;

use super::state::ClusterState;

/// Maximum retries of a proposal whose acceptance is unknown.
const MAX_PROPOSAL_RETRIES: u32 = 3;

/// Interval between two checks of the schedule for reading the configuration.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Reads the configuration from the platform whenever it is due, forever.
pub async fn read_configuration(cluster: Rc<ClusterState>) {
    loop {
        let now = cluster.clock.now();
        if cluster.reader_schedule.borrow_mut().is_due(now) {
            cluster.poll_platform().await;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

impl ClusterState {
    /// Proposes a change of the configuration to the platform, and applies it if accepted.
    pub async fn propose(
        &self,
        expected_version: u64,
        delta: DocumentDelta,
        operator: &str,
        command: &str,
    ) -> Acceptance {
        let proposal = Proposal {
            expected_version,
            delta,
            operator: operator.into(),
            command: command.into(),
            at: self.clock.wall(),
            token: WriteToken(RequestId::random().into()),
        };
        let mut configuration = self.configuration.borrow().clone();
        let mut acceptance = self.store.accept(&mut configuration, &proposal).await;
        for _ in 0..MAX_PROPOSAL_RETRIES {
            if acceptance != Acceptance::Unknown {
                break;
            }
            // The write token makes the retry idempotent.
            acceptance = self.store.accept(&mut configuration, &proposal).await;
        }
        self.adopt_configuration(configuration);
        acceptance
    }

    /// Updates the configuration to the newest version at the platform.
    pub async fn catch_up(&self) -> Result<(), CatchUpError> {
        let version = self.configuration.borrow().version();
        let update = self.store.updates_since(version).await?;
        self.startup.borrow_mut().platform_answered(Some(update.newest));
        self.apply_deltas(update.deltas);
        Ok(())
    }

    async fn poll_platform(&self) {
        let Err(error) = self.catch_up().await else { return };
        warn!("failed to read the configuration from the platform: {error}");
        self.startup.borrow_mut().platform_answered(None);
        self.reader_schedule.borrow_mut().read_failed(self.clock.now());
    }
}
