//! Dissemination of the configuration between instances.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::InstanceName;

use crate::{ConfigDelta, Configuration};

/// Time that a peer has to apply changes, or to answer a request for them, before they are sent or
/// requested again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which peers receive changes of the configuration.
///
/// Each message between instances carries the version of its sender. A peer that is behind receives
/// the missing changes. A peer that is ahead receives a reply with the lower version, so that it
/// sends the changes missing here.
#[derive(Debug, Clone, Default)]
pub struct Spread {
    peers: BTreeMap<InstanceName, Peer>,
    /// The newest version that was sent to the neighbours.
    announced_version: u64,
    reply_targets: BTreeSet<InstanceName>,
}

#[derive(Debug, Clone, Default)]
struct Peer {
    version: Option<u64>,
    /// The newest version that was sent to the peer, and the time of sending.
    last_sent: Option<(u64, Instant)>,
    /// Time of the last request for changes to the peer.
    asked_at: Option<Instant>,
}

impl Spread {
    /// Creates the state of an instance without known peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the version of a peer, given the `own` version of this instance.
    pub fn record_peer_version(
        &mut self,
        now: Instant,
        peer: &InstanceName,
        version: u64,
        own: u64,
    ) {
        let known_peer = self.peers.entry(peer.clone()).or_default();
        known_peer.version = Some(version);
        if version < own {
            self.reply_targets.insert(peer.clone());
            return;
        }
        let is_asked_recently = known_peer.asked_at.is_some_and(|at| is_recent(now, at));
        if version > own && !is_asked_recently {
            known_peer.asked_at = Some(now);
            self.reply_targets.insert(peer.clone());
        }
    }

    /// Returns the messages that are due: new versions to the neighbours, and replies.
    pub fn tick(
        &mut self,
        now: Instant,
        configuration: &Configuration,
        neighbours: &BTreeSet<InstanceName>,
    ) -> Vec<ConfigMessage> {
        let mut targets = std::mem::take(&mut self.reply_targets);
        if self.announced_version < configuration.version() {
            self.announced_version = configuration.version();
            targets.extend(neighbours.iter().cloned());
        }
        let mut messages = Vec::new();
        for to in targets {
            let is_request = self.peers.get(&to).is_some_and(|peer| peer.asked_at == Some(now));
            let deltas = self.deltas_for(now, &to, configuration);
            if deltas.is_empty() && !is_request {
                continue;
            }
            messages.push(ConfigMessage { to, version: configuration.version(), deltas });
        }
        messages
    }

    /// Removes the peers for which `is_member` returns false.
    pub fn retain(&mut self, is_member: impl Fn(&InstanceName) -> bool) {
        self.peers.retain(|peer, _| is_member(peer));
    }

    fn deltas_for(
        &mut self,
        now: Instant,
        to: &InstanceName,
        configuration: &Configuration,
    ) -> Vec<ConfigDelta> {
        let peer = self.peers.entry(to.clone()).or_default();
        // A peer of unknown version most likely lacks only the last change.
        let last = configuration.version().saturating_sub(1);
        // Changes in flight to the peer count as received until the resend interval has passed.
        let in_flight_version =
            peer.last_sent.filter(|(_, at)| is_recent(now, *at)).map_or(0, |sent| sent.0);
        let deltas =
            configuration.deltas_since(peer.version.unwrap_or(last).max(in_flight_version));
        if !deltas.is_empty() {
            peer.last_sent = Some((configuration.version(), now));
        }
        deltas
    }
}

/// A message about the configuration to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigMessage {
    /// The receiving instance.
    pub to: InstanceName,
    /// The version of the sender.
    pub version: u64,
    /// The changes that the receiver lacks, in order. Empty if the sender is behind.
    pub deltas: Vec<ConfigDelta>,
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < RESEND_INTERVAL
}
