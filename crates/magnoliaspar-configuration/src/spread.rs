use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use magnoliaspar_core::InstanceName;

use crate::{ConfigDelta, Configuration};

/// How long a peer has for taking in what was sent before it is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Decides which peers are told of changes of the configuration.
///
/// Each message between instances names the version of its sender. Whoever is behind is sent what
/// it lacks; whoever is ahead is answered, so that it learns of the lag.
#[derive(Debug, Clone, Default)]
pub struct Spread {
    peers: BTreeMap<InstanceName, Peer>,
    told: u64,
    replies: BTreeSet<InstanceName>,
}

#[derive(Debug, Clone, Default)]
struct Peer {
    version: Option<u64>,
    sent: Option<(u64, Instant)>,
    asked: Option<Instant>,
}

impl Spread {
    /// Creates the state of an instance that has heard of nobody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the version that a peer has.
    pub fn hear(&mut self, now: Instant, peer: &InstanceName, version: u64, own: u64) {
        let known = self.peers.entry(peer.clone()).or_default();
        known.version = Some(version);
        if version < own {
            self.replies.insert(peer.clone());
            return;
        }
        let is_asked = known.asked.is_some_and(|at| is_recent(now, at));
        if version > own && !is_asked {
            known.asked = Some(now);
            self.replies.insert(peer.clone());
        }
    }

    /// Returns the messages that are due: changes to neighbours after a new version, and answers.
    pub fn tick(
        &mut self,
        now: Instant,
        configuration: &Configuration,
        neighbours: &BTreeSet<InstanceName>,
    ) -> Vec<ConfigMessage> {
        let mut targets = std::mem::take(&mut self.replies);
        if self.told < configuration.version() {
            self.told = configuration.version();
            targets.extend(neighbours.iter().cloned());
        }
        let mut messages = Vec::new();
        for to in targets {
            let is_ask = self.peers.get(&to).is_some_and(|peer| peer.asked == Some(now));
            let deltas = self.deltas_for(now, &to, configuration);
            if deltas.is_empty() && !is_ask {
                continue;
            }
            messages.push(ConfigMessage { to, version: configuration.version(), deltas });
        }
        messages
    }

    /// Forgets peers that are gone.
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
        // A peer that was never heard is likely to lack the last change only.
        let last = configuration.version().saturating_sub(1);
        // What is under way to the peer counts as known until it had time to arrive.
        let under_way = peer.sent.filter(|(_, at)| is_recent(now, *at)).map_or(0, |sent| sent.0);
        let deltas = configuration.offer(peer.version.unwrap_or(last).max(under_way));
        if !deltas.is_empty() {
            peer.sent = Some((configuration.version(), now));
        }
        deltas
    }
}

/// A message about the configuration to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigMessage {
    /// The instance to send to.
    pub to: InstanceName,
    /// The version that the sender has.
    pub version: u64,
    /// What the receiver lacks, in order; empty if the sender is behind.
    pub deltas: Vec<ConfigDelta>,
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < RESEND_INTERVAL
}
