use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, PoolName, ServerName, ZoneName};
use magnoliaspar_store::ListedKind;

use crate::ring::rendezvous;
use crate::{
    Change, Member, MemberId, MemberState, Membership, Standing, ZoneContact, ZoneSummary,
};

/// How many instances of a zone probe each backend server.
const PROBERS: usize = 1;

/// How many instances of a zone read the platform's list in one turn.
const LIST_READERS: usize = 2;

/// How many instances of a zone talk to other zones.
const BRIDGES: usize = 2;

impl Membership {
    /// Returns the name of this instance.
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Returns what is known of a member of the own zone.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the state of a member of the own zone.
    pub fn state_of(&self, id: &MemberId) -> Option<MemberState> {
        self.members.get(id).map(Member::state)
    }

    /// Iterates over all members of the own zone, dead ones included until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter()
    }

    /// Returns the live instances of the own zone, or the known contacts of another one.
    pub fn live_instances(&self, zone: &ZoneName) -> Vec<ZoneContact> {
        if *zone != self.zone {
            return self
                .zones
                .summary(zone)
                .map(|known| known.contacts.clone())
                .unwrap_or_default();
        }
        let mut live = Vec::new();
        for (id, member) in &self.members {
            let Some(instance) = id.as_instance() else { continue };
            if member.state() == MemberState::Live {
                let address = member.entry.address;
                live.push(ZoneContact { instance: instance.clone(), address });
            }
        }
        live
    }

    /// Returns the servers of a pool in the own zone, with their states.
    pub fn servers(&self, pool: &PoolName) -> Vec<(ServerName, &Member)> {
        let mut servers = Vec::new();
        for (id, member) in &self.members {
            let MemberId::Server(name) = id else { continue };
            let ListedKind::Server { pool: own, .. } = &member.entry.kind else { continue };
            if own == pool {
                servers.push((name.clone(), member));
            }
        }
        servers
    }

    /// Returns the summary of another availability zone.
    pub fn zone_summary(&self, zone: &ZoneName) -> Option<&ZoneSummary> {
        self.zones.summary(zone)
    }

    /// Iterates over the summaries of the other availability zones.
    pub fn zone_summaries(&self) -> impl Iterator<Item = &ZoneSummary> {
        self.zones.iter()
    }

    /// Whether an instance of another zone was heard on this instance within `age`.
    pub fn is_zone_heard(&self, zone: &ZoneName, now: Instant, age: Duration) -> bool {
        self.zones.is_heard(zone, now, age)
    }

    /// Returns the home of a server: the live instance that keeps its books and probes it.
    pub fn home_of(&self, server: &ServerName) -> Option<InstanceName> {
        let live = self.live_names();
        rendezvous(server.as_str(), live.iter(), PROBERS).first().map(|name| (*name).clone())
    }

    /// Returns the servers that this instance has to probe.
    pub fn probes(&self) -> Vec<ServerName> {
        let live = self.live_names();
        let mut servers = Vec::new();
        for id in self.members.keys() {
            let MemberId::Server(server) = id else { continue };
            if rendezvous(server.as_str(), live.iter(), PROBERS).contains(&&self.name) {
                servers.push(server.clone());
            }
        }
        servers
    }

    /// Whether this instance reads the platform's list in the turn with this number.
    ///
    /// Turns pass the work around, so that its cost divides between the instances of the zone.
    pub fn is_list_reader(&self, turn: u64) -> bool {
        let live = self.live_names();
        rendezvous(&format!("list/{turn}"), live.iter(), LIST_READERS).contains(&&self.name)
    }

    /// Whether this instance talks to other availability zones for its own.
    pub fn is_bridge(&self) -> bool {
        let live = self.live_names();
        rendezvous("bridge", live.iter(), BRIDGES).contains(&&self.name)
    }

    /// Returns the changes after the one with number `after`, or none if the log misses some.
    pub fn changes_since(&self, after: u64) -> Option<Vec<Change>> {
        let first = self.log.front().map_or(self.last_change + 1, |change| change.number);
        if after + 1 < first {
            return None;
        }
        Some(self.log.iter().filter(|change| change.number > after).cloned().collect())
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    pub(crate) fn live_names(&self) -> Vec<InstanceName> {
        let mut live = Vec::new();
        for (id, member) in &self.members {
            let Some(instance) = id.as_instance() else { continue };
            if member.state() == MemberState::Live {
                live.push(instance.clone());
            }
        }
        live
    }

    pub(crate) fn standing(&self, id: &MemberId) -> Standing {
        self.members.get(id).map(|member| member.standing).unwrap_or_default()
    }
}
