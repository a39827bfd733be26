use std::collections::{BTreeMap, BTreeSet};

use magnoliaspar_core::InstanceName;

use crate::{Member, MemberDelta, MemberId, MemberState};

/// How many times a change is sent to each neighbour that has not sent it itself.
const ROUNDS: u32 = 3;

/// The changes that are still to be passed on.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rumors {
    rumors: BTreeMap<MemberId, Rumor>,
}

#[derive(Debug, Clone)]
struct Rumor {
    is_urgent: bool,
    is_full: bool,
    sent: BTreeMap<InstanceName, u32>,
}

impl Rumors {
    pub(crate) fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    /// Starts to spread the present state of a member, which replaces an older rumor of it.
    pub(crate) fn start(&mut self, id: &MemberId, state: MemberState, is_full: bool) {
        let is_full = is_full || self.rumors.get(id).is_some_and(|old| old.is_full);
        let is_urgent = state == MemberState::Leaving;
        self.rumors.insert(id.clone(), Rumor { is_urgent, is_full, sent: BTreeMap::new() });
    }

    /// Ends the spreading of a member's state.
    pub(crate) fn drop(&mut self, id: &MemberId) {
        self.rumors.remove(id);
    }

    /// Notes that `peer` knows the present state of a member.
    pub(crate) fn known_by(&mut self, id: &MemberId, peer: &InstanceName) {
        let Some(rumor) = self.rumors.get_mut(id) else { return };
        rumor.sent.insert(peer.clone(), ROUNDS);
    }

    /// Takes the changes for one message to `peer`, urgent ones first, up to `bytes` bytes.
    pub(crate) fn take(
        &mut self,
        peer: &InstanceName,
        members: &BTreeMap<MemberId, Member>,
        bytes: usize,
    ) -> Vec<MemberDelta> {
        let mut due = Vec::new();
        for (id, rumor) in &self.rumors {
            let sent = rumor.sent.get(peer).copied().unwrap_or(0);
            if sent < ROUNDS {
                due.push((!rumor.is_urgent, sent, id.clone()));
            }
        }
        due.sort_unstable();
        let mut deltas = Vec::new();
        let mut left = bytes;
        for (_, _, id) in due {
            let (Some(rumor), Some(member)) = (self.rumors.get_mut(&id), members.get(&id)) else {
                continue;
            };
            let delta = delta_of(&id, member, rumor.is_full);
            let len = delta.encoded_len();
            if len > left && !deltas.is_empty() {
                break;
            }
            left = left.saturating_sub(len);
            *rumor.sent.entry(peer.clone()).or_default() += 1;
            deltas.push(delta);
        }
        deltas
    }

    /// Drops the changes that all `neighbours` have been sent often enough.
    pub(crate) fn settle(&mut self, neighbours: &BTreeSet<InstanceName>) {
        self.rumors.retain(|_, rumor| {
            neighbours.iter().any(|peer| rumor.sent.get(peer).is_none_or(|sent| *sent < ROUNDS))
        });
    }
}

/// Returns the change that tells of a member's present state.
pub(crate) fn delta_of(id: &MemberId, member: &Member, is_full: bool) -> MemberDelta {
    let entry = is_full.then(|| member.entry.clone());
    MemberDelta { id: id.clone(), standing: member.standing, entry }
}
