//! Summaries of the other availability zones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, ZoneName};

use crate::{ZoneContact, ZoneSummary};

/// Maximum number of contacts in the summary of a zone.
pub(crate) const MAX_CONTACTS: usize = 4;

/// Number of times that a changed summary is sent to each neighbour.
const SENDS_PER_PEER: u32 = 2;

/// The known summaries of the other availability zones.
#[derive(Debug, Clone, Default)]
pub(crate) struct Zones {
    summaries: BTreeMap<ZoneName, ZoneSummary>,
    last_heard_at: BTreeMap<ZoneName, Instant>,
    /// Version and number of sends of the last summary of each zone sent to each peer.
    sends: BTreeMap<(ZoneName, InstanceName), (u64, u32)>,
    round: usize,
}

impl Zones {
    pub(crate) fn summary(&self, zone: &ZoneName) -> Option<&ZoneSummary> {
        self.summaries.get(zone)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &ZoneSummary> {
        self.summaries.values()
    }

    /// Adds a contact from the platform's list if the zone has fewer than [`MAX_CONTACTS`].
    ///
    /// A zone that has not sent a summary yet gets one with version 0.
    pub(crate) fn add_listed_contact(&mut self, zone: &ZoneName, contact: ZoneContact) {
        let summary = self.summaries.entry(zone.clone()).or_insert_with(|| ZoneSummary {
            zone: zone.clone(),
            version: 0,
            contacts: Vec::new(),
            instances: 0,
            servers: BTreeMap::new(),
        });
        let is_known = summary.contacts.iter().any(|known| known.instance == contact.instance);
        if summary.contacts.len() < MAX_CONTACTS && !is_known {
            summary.contacts.push(contact);
        }
    }

    /// Stores a summary if it is newer than the known one, and returns whether it is.
    pub(crate) fn merge(&mut self, summary: &ZoneSummary) -> bool {
        let known = self.summaries.get(&summary.zone);
        if known.is_some_and(|known| known.version >= summary.version) {
            return false;
        }
        self.summaries.insert(summary.zone.clone(), summary.clone());
        true
    }

    /// Records a message from a zone.
    pub(crate) fn record_message(&mut self, zone: &ZoneName, now: Instant) {
        self.last_heard_at.insert(zone.clone(), now);
    }

    /// Returns whether a message from the zone arrived within the last `age`.
    pub(crate) fn is_heard(&self, zone: &ZoneName, now: Instant, age: Duration) -> bool {
        self.last_heard_at.get(zone).is_some_and(|at| now.saturating_duration_since(*at) <= age)
    }

    /// Records that `peer` knows a summary, so that it is not sent there.
    pub(crate) fn mark_known_by(&mut self, summary: &ZoneSummary, peer: &InstanceName) {
        let key = (summary.zone.clone(), peer.clone());
        self.sends.insert(key, (summary.version, SENDS_PER_PEER));
    }

    /// Returns one contact of each zone, in round-robin order.
    pub(crate) fn next_contacts(&mut self) -> Vec<(ZoneName, ZoneContact)> {
        self.round += 1;
        let mut contacts = Vec::new();
        for summary in self.summaries.values() {
            if summary.contacts.is_empty() {
                continue;
            }
            let contact = &summary.contacts[self.round % summary.contacts.len()];
            contacts.push((summary.zone.clone(), contact.clone()));
        }
        contacts
    }

    /// Returns the summaries to send to `peer`, and counts them as sent.
    pub(crate) fn take_due(&mut self, peer: &InstanceName) -> Vec<ZoneSummary> {
        let mut due = Vec::new();
        for (zone, summary) in &self.summaries {
            if summary.version == 0 {
                continue;
            }
            let sent = self.sends.entry((zone.clone(), peer.clone())).or_default();
            if sent.0 != summary.version {
                *sent = (summary.version, 0);
            }
            if sent.1 >= SENDS_PER_PEER {
                continue;
            }
            sent.1 += 1;
            due.push(summary.clone());
        }
        due
    }

    /// Drops the send counts of the peers for which `keep` returns false.
    pub(crate) fn retain_peers(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.sends.retain(|(_, peer), _| keep(peer));
    }
}
