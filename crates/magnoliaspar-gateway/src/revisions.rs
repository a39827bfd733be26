//! What an instance reports of its configuration and of its list of servers.

use magnoliaspar_access::ProofReport;
use magnoliaspar_core::{Epoch, Position};
use serde::{Deserialize, Serialize};

use crate::access::report_proof;
use crate::departures::DeparturesMark;
use crate::gateway::Gateway;

/// Feed revisions that cover the last changes that an instance has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeedRevisions {
    /// Revision of the configuration.
    pub(crate) routing: u64,
    /// Revision of the list of servers.
    pub(crate) servers: u64,
    /// Version of the configuration; former versions of the gateway do not send it.
    #[serde(default)]
    pub(crate) version: u64,
    /// Epoch of the revision of the configuration; former versions of the gateway send no epochs.
    #[serde(default)]
    pub(crate) routing_epoch: Epoch,
    /// Epoch of the revision of the list of servers.
    #[serde(default)]
    pub(crate) servers_epoch: Epoch,
    /// Epoch in which the configuration was read last.
    #[serde(default)]
    pub(crate) version_epoch: Epoch,
    /// Time since the store has answered the sender, in milliseconds; former versions of the gateway do not send it.
    #[serde(default)]
    pub(crate) store_age_ms: Option<u64>,
    /// Number of the question that the message is, or that it answers; former versions of the gateway do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) question: Option<u64>,
    /// The sender's proof that its configuration was the newest; former versions of the gateway do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) proof: Option<ProofReport>,
    /// What the sender knows of a restore of the store, if that was recently; former versions of the gateway do not
    /// send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) restore: Option<RestoreReport>,
}

/// What an instance knows of a restore of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RestoreReport {
    /// Time since it has read the restored list of servers first, in milliseconds.
    pub age_ms: u64,
    /// Number of departed servers that it knows.
    pub departures: usize,
}

impl FeedRevisions {
    /// Returns the revisions without the ages, which are different in each report.
    pub(crate) fn without_ages(self) -> Self {
        let restore = self.restore.map(|restore| RestoreReport { age_ms: 0, ..restore });
        Self { store_age_ms: None, question: None, proof: None, restore, ..self }
    }

    /// Returns the position in the feed of the configuration.
    pub(crate) fn routing_position(&self) -> Position {
        Position { epoch: self.routing_epoch, revision: self.routing }
    }

    /// Returns the position in the feed of the list of servers.
    pub(crate) fn servers_position(&self) -> Position {
        Position { epoch: self.servers_epoch, revision: self.servers }
    }

    /// Returns which departures the instance knows after a restore of the store, if there was one recently.
    pub(crate) fn departures_mark(&self) -> Option<DeparturesMark> {
        let departures = self.restore?.departures;
        Some(DeparturesMark { epoch: self.servers_epoch, departures })
    }

    /// Returns what orders configurations: the version, and for equal ones the epoch.
    pub(crate) fn configuration(&self) -> (u64, Epoch) {
        (self.version, self.version_epoch)
    }
}

/// Returns the feed revisions that this instance has reached.
pub(crate) fn revisions(gateway: &Gateway) -> FeedRevisions {
    let routing = gateway.routing_position.last_change();
    let servers = gateway.servers_position.last_change();
    let age = gateway.store_contact.age(gateway.clock.now());
    FeedRevisions {
        routing: routing.revision,
        servers: servers.revision,
        version: gateway.routing().map_or(0, |routing| routing.version),
        routing_epoch: routing.epoch,
        servers_epoch: servers.epoch,
        version_epoch: gateway.configuration_epoch(),
        question: None,
        proof: report_proof(gateway),
        store_age_ms: age.map(|age| age.as_millis() as u64),
        restore: gateway.restore_report(),
    }
}
