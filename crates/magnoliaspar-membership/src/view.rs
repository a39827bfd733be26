//! Read access to a [`Membership`], and the election of instances for shared work of the zone.

use std::time::{Duration, Instant};

use magnoliaspar_core::{InstanceName, PoolName, ServerName, ZoneName};
use magnoliaspar_store::ListedKind;

use crate::ring::rendezvous;
use crate::{
    Change, Member, MemberId, MemberState, Membership, Standing, ZoneContact, ZoneSummary,
};

/// Number of instances of a zone that probe each backend server.
const PROBERS_PER_SERVER: usize = 1;

/// Number of instances of a zone that are elected to read from the platform in one turn.
const READERS_PER_TURN: usize = 2;

/// Number of instances of a zone that exchange messages with other zones.
const BRIDGES_PER_ZONE: usize = 2;

impl Membership {
    /// Returns the name of this instance.
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Returns a member of the own zone.
    pub fn member(&self, id: &MemberId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Returns the state of a member of the own zone.
    pub fn state_of(&self, id: &MemberId) -> Option<MemberState> {
        self.members.get(id).map(Member::state)
    }

    /// Iterates over all members of the own zone, including dead ones until they are removed.
    pub fn members(&self) -> impl Iterator<Item = (&MemberId, &Member)> {
        self.members.iter()
    }

    /// Returns the live instances of the own zone, or the known contacts of another zone.
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

    /// Returns the servers of a pool in the own zone, in any state.
    pub fn servers(&self, pool: &PoolName) -> Vec<(ServerName, &Member)> {
        let mut servers = Vec::new();
        for (id, member) in &self.members {
            let MemberId::Server(name) = id else { continue };
            let ListedKind::Server { pool: server_pool, .. } = &member.entry.kind else { continue };
            if server_pool == pool {
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

    /// Returns whether this instance received a message from another zone within the last `age`.
    pub fn is_zone_heard(&self, zone: &ZoneName, now: Instant, age: Duration) -> bool {
        self.zones.is_heard(zone, now, age)
    }

    /// Returns the home of a server: the live instance that probes it and reaps its orphaned
    /// streams.
    pub fn home_of(&self, server: &ServerName) -> Option<InstanceName> {
        let live = self.live_names();
        rendezvous(server.as_str(), live.iter(), PROBERS_PER_SERVER)
            .first()
            .map(|name| (*name).clone())
    }

    /// Returns the servers that this instance probes.
    pub fn probes(&self) -> Vec<ServerName> {
        let live = self.live_names();
        let mut servers = Vec::new();
        for id in self.members.keys() {
            let MemberId::Server(server) = id else { continue };
            if rendezvous(server.as_str(), live.iter(), PROBERS_PER_SERVER).contains(&&self.name) {
                servers.push(server.clone());
            }
        }
        servers
    }

    /// Returns whether this instance is elected to read from the platform in this turn.
    ///
    /// `turn` is the number of the current time interval, which all instances of the zone derive
    /// from the wall clock. The readers change with each turn, which spreads the cost over the
    /// instances.
    pub fn is_elected_reader(&self, turn: u64) -> bool {
        let live = self.live_names();
        rendezvous(&format!("list/{turn}"), live.iter(), READERS_PER_TURN).contains(&&self.name)
    }

    /// Returns whether this instance exchanges messages with other zones on behalf of its own zone.
    pub fn is_bridge(&self) -> bool {
        let live = self.live_names();
        rendezvous("bridge", live.iter(), BRIDGES_PER_ZONE).contains(&&self.name)
    }

    /// Returns the changes with a number above `after`, or `None` if the log no longer holds all of
    /// them.
    pub fn changes_since(&self, after: u64) -> Option<Vec<Change>> {
        let first = self.change_log.front().map_or(self.last_change + 1, |change| change.number);
        if after + 1 < first {
            return None;
        }
        Some(self.change_log.iter().filter(|change| change.number > after).cloned().collect())
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
