//! Rumors: changes of members that are still being gossiped.

use std::collections::{BTreeMap, BTreeSet};

use magnoliaspar_core::InstanceName;

use crate::{Member, MemberDelta, MemberId, MemberState};

/// Number of times that a change is sent to each neighbour from which it has not been received.
const SENDS_PER_PEER: u32 = 3;

/// The rumors of one instance, at most one for each member.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<MemberId, Rumor>,
}

/// A change of one member and the record of its sends.
#[derive(Debug, Clone)]
struct Rumor {
    is_urgent: bool,
    includes_entry: bool,
    /// Number of sends to each peer.
    sends: BTreeMap<InstanceName, u32>,
}

impl Rumors {
    pub(crate) fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    /// Starts a rumor of the current state of a member and replaces an older one.
    pub(crate) fn start(&mut self, id: &MemberId, state: MemberState, includes_entry: bool) {
        let includes_entry =
            includes_entry || self.rumors.get(id).is_some_and(|old| old.includes_entry);
        let is_urgent = state == MemberState::Leaving;
        self.rumors.insert(id.clone(), Rumor { is_urgent, includes_entry, sends: BTreeMap::new() });
    }

    /// Removes the rumor of a member.
    pub(crate) fn remove(&mut self, id: &MemberId) {
        self.rumors.remove(id);
    }

    /// Records that `peer` knows the current state of a member, so that it is not sent there.
    pub(crate) fn mark_known_by(&mut self, id: &MemberId, peer: &InstanceName) {
        let Some(rumor) = self.rumors.get_mut(id) else { return };
        rumor.sends.insert(peer.clone(), SENDS_PER_PEER);
    }

    /// Returns the changes for one message to `peer` and counts them as sent.
    ///
    /// Urgent changes come first. The changes take up to `max_bytes` bytes, or more if the first
    /// one alone is larger.
    pub(crate) fn take_due(
        &mut self,
        peer: &InstanceName,
        members: &BTreeMap<MemberId, Member>,
        max_bytes: usize,
    ) -> Vec<MemberDelta> {
        let mut due = Vec::new();
        for (id, rumor) in &self.rumors {
            let sent = rumor.sends.get(peer).copied().unwrap_or(0);
            if sent < SENDS_PER_PEER {
                due.push((!rumor.is_urgent, sent, id.clone()));
            }
        }
        due.sort_unstable();
        let mut deltas = Vec::new();
        let mut remaining_bytes = max_bytes;
        for (_, _, id) in due {
            let (Some(rumor), Some(member)) = (self.rumors.get_mut(&id), members.get(&id)) else {
                continue;
            };
            let delta = delta_of(&id, member, rumor.includes_entry);
            let len = delta.encoded_len();
            if len > remaining_bytes && !deltas.is_empty() {
                break;
            }
            remaining_bytes = remaining_bytes.saturating_sub(len);
            *rumor.sends.entry(peer.clone()).or_default() += 1;
            deltas.push(delta);
        }
        deltas
    }

    /// Removes the rumors that have been sent to all `neighbours` often enough.
    pub(crate) fn drop_delivered(&mut self, neighbours: &BTreeSet<InstanceName>) {
        self.rumors.retain(|_, rumor| {
            neighbours
                .iter()
                .any(|peer| rumor.sends.get(peer).is_none_or(|sent| *sent < SENDS_PER_PEER))
        });
    }
}

/// Returns the current state of a member as a change, with its entry if `includes_entry` is set.
pub(crate) fn delta_of(id: &MemberId, member: &Member, includes_entry: bool) -> MemberDelta {
    let entry = includes_entry.then(|| member.entry.clone());
    MemberDelta { id: id.clone(), standing: member.standing, entry }
}
