use std::rc::Rc;
use std::time::Duration;

use log::warn;

use magnoliaspar_configuration::{Acceptance, CatchUpError, Proposal};
use magnoliaspar_core::RequestId;
use magnoliaspar_declaration::DocumentDelta;
use magnoliaspar_store::WriteToken;

use super::state::ClusterState;

/// How often a proposal is sent again whose acceptance is not known.
const MAX_RESENDS: u32 = 3;

/// How often it is checked whether the configuration is to be read.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Reads the configuration at the platform whenever it is due.
pub async fn read_configuration(cluster: Rc<ClusterState>) {
    loop {
        let now = cluster.clock.now();
        if cluster.readers.borrow_mut().is_due(now) {
            cluster.read_news().await;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

impl ClusterState {
    /// Proposes a change of the configuration to the platform, and puts it in force if accepted.
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
        for _ in 0..MAX_RESENDS {
            if acceptance != Acceptance::Unknown {
                break;
            }
            // The store settles a proposal that is sent again by its token.
            acceptance = self.store.accept(&mut configuration, &proposal).await;
        }
        self.adopt_configuration(configuration);
        acceptance
    }

    /// Brings the configuration to the newest version at the platform.
    pub async fn catch_up(&self) -> Result<(), CatchUpError> {
        let version = self.configuration.borrow().version();
        let news = self.store.updates_since(version).await?;
        self.startup.borrow_mut().platform_answered(Some(news.newest));
        self.take_deltas(news.deltas);
        Ok(())
    }

    async fn read_news(&self) {
        let Err(error) = self.catch_up().await else { return };
        warn!("the configuration cannot be read: {error}");
        self.startup.borrow_mut().platform_answered(None);
        self.readers.borrow_mut().read_failed(self.clock.now());
    }
}
