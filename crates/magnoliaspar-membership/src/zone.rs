use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, ZoneName};

use crate::{ZoneContact, ZoneSummary};

/// How many instances of another zone are kept to turn to.
pub(crate) const CONTACTS: usize = 4;

/// How many times a changed summary is sent to each neighbour.
const ROUNDS: u32 = 2;

/// What is known of the other availability zones.
#[derive(Debug, Clone, Default)]
pub(crate) struct Zones {
    summaries: BTreeMap<ZoneName, ZoneSummary>,
    heard: BTreeMap<ZoneName, Instant>,
    sent: BTreeMap<(ZoneName, InstanceName), (u64, u32)>,
    turn: usize,
}

impl Zones {
    pub(crate) fn summary(&self, zone: &ZoneName) -> Option<&ZoneSummary> {
        self.summaries.get(zone)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &ZoneSummary> {
        self.summaries.values()
    }

    /// Adds contacts from the platform's list to a zone that has told nothing of itself yet.
    pub(crate) fn suggest(&mut self, zone: &ZoneName, contact: ZoneContact) {
        let summary = self.summaries.entry(zone.clone()).or_insert_with(|| ZoneSummary {
            zone: zone.clone(),
            version: 0,
            contacts: Vec::new(),
            instances: 0,
            servers: BTreeMap::new(),
        });
        let is_known = summary.contacts.iter().any(|known| known.instance == contact.instance);
        if summary.contacts.len() < CONTACTS && !is_known {
            summary.contacts.push(contact);
        }
    }

    /// Takes in a summary and returns whether it is news.
    pub(crate) fn merge(&mut self, summary: &ZoneSummary) -> bool {
        let known = self.summaries.get(&summary.zone);
        if known.is_some_and(|known| known.version >= summary.version) {
            return false;
        }
        self.summaries.insert(summary.zone.clone(), summary.clone());
        true
    }

    /// Notes that a zone answered.
    pub(crate) fn heard(&mut self, zone: &ZoneName, now: Instant) {
        self.heard.insert(zone.clone(), now);
    }

    /// Whether an instance of the zone was heard here within `age`.
    pub(crate) fn is_heard(&self, zone: &ZoneName, now: Instant, age: Duration) -> bool {
        self.heard.get(zone).is_some_and(|at| now.saturating_duration_since(*at) <= age)
    }

    /// Notes that `peer` knows a summary.
    pub(crate) fn known_by(&mut self, summary: &ZoneSummary, peer: &InstanceName) {
        let key = (summary.zone.clone(), peer.clone());
        self.sent.insert(key, (summary.version, ROUNDS));
    }

    /// Returns one contact of each zone, another one at each turn.
    pub(crate) fn next_contacts(&mut self) -> Vec<(ZoneName, ZoneContact)> {
        self.turn += 1;
        let mut contacts = Vec::new();
        for summary in self.summaries.values() {
            if summary.contacts.is_empty() {
                continue;
            }
            let contact = &summary.contacts[self.turn % summary.contacts.len()];
            contacts.push((summary.zone.clone(), contact.clone()));
        }
        contacts
    }

    /// Takes the summaries that `peer` has not been sent often enough.
    pub(crate) fn take(&mut self, peer: &InstanceName) -> Vec<ZoneSummary> {
        let mut due = Vec::new();
        for (zone, summary) in &self.summaries {
            if summary.version == 0 {
                continue;
            }
            let sent = self.sent.entry((zone.clone(), peer.clone())).or_default();
            if sent.0 != summary.version {
                *sent = (summary.version, 0);
            }
            if sent.1 >= ROUNDS {
                continue;
            }
            sent.1 += 1;
            due.push(summary.clone());
        }
        due
    }

    /// Forgets what was sent to peers that are not in `keep`.
    pub(crate) fn retain_peers(&mut self, keep: impl Fn(&InstanceName) -> bool) {
        self.sent.retain(|(_, peer), _| keep(peer));
    }
}
