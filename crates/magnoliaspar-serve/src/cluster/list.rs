//! Reads the platform's list of instances and servers.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use log::warn;
use magnoliaspar_core::InstanceName;
use magnoliaspar_membership::ListScope;
use magnoliaspar_store::{ListEntry, ListedKind};

use super::state::ClusterState;

/// Duration of a turn, in which only the elected instances of a zone read the platform's list.
const TURN_LENGTH: Duration = Duration::from_secs(2);

/// Number of turns from one read of the list of all zones to the next. The turns in between read
/// the list of the own zone.
const ALL_ZONES_TURN_INTERVAL: u64 = 30;

/// Interval between two checks for a turn; an instance that knows no other one reads the list at
/// each check.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Reads the platform's list whenever this instance is elected, forever.
pub async fn read_list(cluster: Rc<ClusterState>) {
    let mut last_turn = None;
    loop {
        let turn = current_turn(&cluster);
        let is_turn =
            last_turn != Some(turn) && cluster.membership.borrow().is_elected_reader(turn);
        if is_turn || last_turn.is_none() {
            // Other zones are known by gossip; their list entries are for instances that have
            // no contact in them yet.
            let is_all_zones = last_turn.is_none() || turn.is_multiple_of(ALL_ZONES_TURN_INTERVAL);
            last_turn = Some(turn);
            cluster.read_list_once(is_all_zones).await;
        }
        let is_alone = cluster.membership.borrow().members().count() <= 1;
        if is_alone {
            last_turn = None;
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

impl ClusterState {
    async fn read_list_once(&self, is_all_zones: bool) {
        let zone = self.zone().clone();
        let (asked, scope) = match is_all_zones {
            true => (None, ListScope::All),
            false => (Some(&zone), ListScope::Zone(zone.clone())),
        };
        let entries = match self.list.list(asked).await {
            Ok(entries) => entries,
            Err(error) => return warn!("failed to read the platform's instance list: {error}"),
        };
        self.record_listed_instances(&entries);
        let now = self.clock.now();
        let changes = self.membership.borrow_mut().merge_platform_list(now, &entries, &scope);
        self.apply_membership_changes(&changes);
    }

    /// Records the listed instances of the zone, and the peers that can report the version of the
    /// configuration.
    fn record_listed_instances(&self, entries: &[ListEntry]) {
        let mut listed = BTreeSet::new();
        for entry in entries {
            if !matches!(entry.kind, ListedKind::Instance { .. }) {
                continue;
            }
            let Ok(name) = InstanceName::try_from(&*entry.name) else { continue };
            if name != *self.name() {
                self.startup.borrow_mut().peer_asked(name.clone());
            }
            if entry.zone == *self.zone() {
                listed.insert(name);
            }
        }
        self.set_listed_instances(listed);
    }
}

fn current_turn(cluster: &ClusterState) -> u64 {
    let wall = cluster.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    wall.as_secs() / TURN_LENGTH.as_secs()
}
